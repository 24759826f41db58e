"""Sends load and unload orders to engines.

An acknowledgement means that the engine accepted the order, not that it has
been applied; only the engine's report shows that. An order without an
acknowledgement may have been lost or may still arrive.
"""

from __future__ import annotations

import enum
import typing

import anyio

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.control import _ledger

# Nothing of an order leaves this process later than this after ``send``.
TIMEOUT_MS = 1000


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
    """What became of a sent order, as far as the sender can tell."""

    ACCEPTED = "accepted"
    # The engine has accepted an order of this or a higher number.
    FENCED = "fenced"
    UNKNOWN = "unknown"


async def send(
    client: _http.Client, address: _settings.Address, order: Order
) -> Reply:
    """Send an order once."""
    message = {
        "order_id": f"{order.fencing_number}-{order.copy}",
        "fencing_number": order.fencing_number,
        "action": order.action.value,
        "model": order.copy.model,
        "adapter": order.copy.adapter,
        "version": order.copy.version,
        "size_mb": order.size_mb,
    }
    with anyio.move_on_after(TIMEOUT_MS / 1000):
        try:
            answer = await client.post_json(
                address, "/orders", message, timeout_ms=TIMEOUT_MS
            )
        except (_http.NotSentError, _http.BrokenError):
            return Reply.UNKNOWN
        return _reply(answer.status)
    return Reply.UNKNOWN


def _reply(status: int) -> Reply:
    match status:
        case 200:
            return Reply.ACCEPTED
        case 409:
            return Reply.FENCED
        case _:
            return Reply.UNKNOWN
