"""Calls a replica to load and unload, and asks what it holds."""

from __future__ import annotations

import enum
import typing

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.platform import _fields
from geraniumlink.platform import _replicas
from geraniumlink.serving import _types

# A replica answers an order at once; the rest is for a packet that is sent
# again.
ORDER_MS = 250
_JSON = (b"Content-Type", b"application/json")


class OrderResult(enum.Enum):
    """What a replica said of an order."""

    ACCEPTED = "it is being carried out"
    HOLDS = "it holds already"
    CONFLICT = "another order is in progress, or others came before"
    REFUSED = "it can't be carried out there"
    UNKNOWN = "it may have been accepted, or may be later"


class Order(typing.NamedTuple):
    """A change of what a replica holds; without adapter, of a model."""

    replica: str
    address: _settings.Address
    load: bool
    model: str
    adapter: str
    # Orders that the replica must have accepted before, no more and no less.
    order_count: int
    # Who orders, and under which term of its lease.
    holder: str
    epoch: int


class OrderClient:
    """Sends orders; each is one request on a connection of its own."""

    def __init__(self, client: _http.Client) -> None:
        self._client = client

    async def send(self, order: Order) -> OrderResult:
        """Send an order once and say what is known of it."""
        message = {
            "operation": "load" if order.load else "unload",
            "model": order.model,
            "precondition": order.order_count,
            "holder": order.holder,
            "fencing_token": order.epoch,
        }
        if order.adapter:
            message["adapter"] = order.adapter
        headers = [_JSON, (b"X-Expect-Instance", order.replica.encode())]
        try:
            with anyio.fail_after(ORDER_MS / 1000):
                answer = await self._client.request(
                    "POST",
                    order.address,
                    "/v1/order",
                    headers=headers,
                    body=orjson.dumps(message),
                    connect_ms=ORDER_MS,
                    read_ms=ORDER_MS,
                )
        except _http.NotSentError:
            return OrderResult.REFUSED
        except (_http.BrokenError, TimeoutError):
            return OrderResult.UNKNOWN
        return _verdict(answer.status)

    async def fetch_report(
        self, replica: str, address: _settings.Address
    ) -> _types.ReplicaReport:
        """Ask a replica what it holds, as of some hundred ms ago.

        :raises _http.NotSentError: if no connection stood.
        :raises _http.BrokenError: if no whole answer came.
        """
        try:
            with anyio.fail_after(ORDER_MS / 1000):
                answer = await self._client.request(
                    "GET",
                    address,
                    "/v1/report",
                    headers=[(b"X-Expect-Instance", replica.encode())],
                    connect_ms=ORDER_MS,
                    read_ms=ORDER_MS,
                )
            if answer.status != 200:
                raise _http.BrokenError(f"answered {answer.status}")
            return _replicas.decode_replica_report(answer.json())
        except (_fields.FormatError, TimeoutError) as error:
            raise _http.BrokenError(repr(error)) from error


def _verdict(status: int) -> OrderResult:
    match status:
        case 202:
            return OrderResult.ACCEPTED
        case 200:
            return OrderResult.HOLDS
        case 409:
            return OrderResult.CONFLICT
        case 400 | 404 | 412 | 421:
            return OrderResult.REFUSED
        case _:
            return OrderResult.UNKNOWN
