"""Adapter to the users' platform: its names, formats and calls.

Each message of the platform is decoded here, once, into types of
``geraniumlink.serving``; no other package uses the platform's own names for
headers, fields and calls. This package only translates: which replica to use,
what to load or when to retry is decided by its callers. The formats are
defined by the users' protocol pages; ``docs/design/platform.md`` says what is
kept in the platform's store and why.
"""

from geraniumlink.platform._configuration import decode_configuration
from geraniumlink.platform._fields import FormatError
from geraniumlink.platform._heads import decode_announcement
from geraniumlink.platform._heads import decode_credential
from geraniumlink.platform._heads import decode_relayed_account
from geraniumlink.platform._heads import decode_relayed_attempts
from geraniumlink.platform._heads import decode_request_head
from geraniumlink.platform._heads import decode_response_head
from geraniumlink.platform._heads import encode_relayed_head
from geraniumlink.platform._heads import encode_request_head
from geraniumlink.platform._heads import refusal_headers
from geraniumlink.platform._heads import ResponseHead
from geraniumlink.platform._orders import Order
from geraniumlink.platform._orders import ORDER_TIMEOUT_MS
from geraniumlink.platform._orders import OrderClient
from geraniumlink.platform._orders import OrderResult
from geraniumlink.platform._replicas import decode_replica_entry
from geraniumlink.platform._replicas import encode_replica_entry
from geraniumlink.platform._settings import NodeSettings
from geraniumlink.platform._settings import read_settings
from geraniumlink.platform._settings import SETTINGS_PATH_VARIABLE
from geraniumlink.platform._store import StoreClient
from geraniumlink.platform._store import WATCH_TIMEOUT_MARGIN_MS

__all__ = [
    "FormatError",
    "NodeSettings",
    "ORDER_TIMEOUT_MS",
    "Order",
    "OrderClient",
    "OrderResult",
    "ResponseHead",
    "SETTINGS_PATH_VARIABLE",
    "StoreClient",
    "WATCH_TIMEOUT_MARGIN_MS",
    "decode_announcement",
    "decode_configuration",
    "decode_credential",
    "decode_relayed_account",
    "decode_relayed_attempts",
    "decode_replica_entry",
    "decode_request_head",
    "decode_response_head",
    "encode_relayed_head",
    "encode_replica_entry",
    "encode_request_head",
    "read_settings",
    "refusal_headers",
]
