"""The users' platform: its names, formats and calls, and nothing else.

Every message of the platform is decoded here once, into types of
``geraniumlink.serving``; no decision is made here. The formats are those of
the users' protocol pages; ``docs/design/platform.md`` says what is kept in
the platform's store and why.
"""

from geraniumlink.platform._configuration import decode_configuration
from geraniumlink.platform._fields import FormatError
from geraniumlink.platform._heads import AnswerHead
from geraniumlink.platform._heads import decode_answer
from geraniumlink.platform._heads import decode_request
from geraniumlink.platform._heads import encode_request
from geraniumlink.platform._heads import refusal_headers
from geraniumlink.platform._orders import Order
from geraniumlink.platform._orders import OrderCalls
from geraniumlink.platform._orders import Verdict
from geraniumlink.platform._replicas import decode_replica
from geraniumlink.platform._settings import NodeSettings
from geraniumlink.platform._settings import PATH_VARIABLE
from geraniumlink.platform._settings import read_settings
from geraniumlink.platform._store import Store

__all__ = [
    "AnswerHead",
    "FormatError",
    "NodeSettings",
    "Order",
    "PATH_VARIABLE",
    "OrderCalls",
    "Store",
    "Verdict",
    "decode_answer",
    "decode_configuration",
    "decode_replica",
    "decode_request",
    "encode_request",
    "read_settings",
    "refusal_headers",
]
