"""Sends load and unload orders to engines.

A reply says whether the engine accepted the order, not that the order was
applied; only the engine's memory report shows that. An order without a
reply may have been lost or may still arrive.
"""

from __future__ import annotations

import enum
import typing

import anyio

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.control import _ledger

# After this time from the call of ``send``, the order can no longer leave
# this process. Releasing a charge by time depends on it.
SEND_TIMEOUT_MS = 1000


class Action(enum.Enum):
    """What an engine is ordered to do with a copy."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(typing.NamedTuple):
    """One order; its fencing number is unique for the replica."""

    fencing_number: int
    action: Action
    copy: _ledger.Copy
    size_mb: int


class Reply(enum.Enum):
    """The engine's reply to an order."""

    ACCEPTED = "accepted"
    # Refused: the engine has accepted an order with this number or higher.
    FENCED = "fenced"
    # No reply, or another status: the order may still be applied.
    UNKNOWN = "unknown"


async def send(
    client: _http.Client, address: _settings.Address, order: Order
) -> Reply:
    """Send an order once, without retries."""
    message = {
        "order_id": f"{order.fencing_number}-{order.copy}",
        "fencing_number": order.fencing_number,
        "action": order.action.value,
        "model": order.copy.model,
        "adapter": order.copy.adapter,
        "version": order.copy.version,
        "size_mb": order.size_mb,
    }
    with anyio.move_on_after(SEND_TIMEOUT_MS / 1000):
        try:
            answer = await client.post_json(
                address, "/orders", message, timeout_ms=SEND_TIMEOUT_MS
            )
        except (_http.NotSentError, _http.BrokenError):
            return Reply.UNKNOWN
        return _parse_reply(answer.status)
    return Reply.UNKNOWN


def _parse_reply(status: int) -> Reply:
    match status:
        case 200:
            return Reply.ACCEPTED
        case 409:
            return Reply.FENCED
        case _:
            return Reply.UNKNOWN
