"""Orders replicas to load or unload models and fetches their reports."""

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

# A replica responds at once, before it carries an order out; the time leaves
# room for one retransmitted packet.
ORDER_TIMEOUT_MS = 250
_JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")


class OrderResult(enum.Enum):
    """What is known of an order after it was sent once."""

    ACCEPTED = "the replica is carrying it out"
    HOLDS = "the replica is in the ordered state now"
    CONFLICT = "another order is in progress, or the order count differs"
    REFUSED = "the replica refused it, or could not be connected to"
    NO_LISTENER = "the replica's process has ended: it refuses connections"
    UNKNOWN = (
        "no clear response; the replica may have accepted it, or still may"
    )


class Order(typing.NamedTuple):
    """An order to load or unload a model, or one adapter of a model."""

    replica: str
    address: _settings.Address
    # False to unload.
    load: bool
    model: str
    # Empty for the model itself.
    adapter: str
    # The exact number of orders that the replica must have accepted since it
    # started; otherwise it refuses this one as a conflict.
    order_count: int
    # The instance that sends the order, and the epoch of its lease, which the
    # replica gets as a fencing token.
    holder: str
    epoch: int


class OrderClient:
    """Sends orders to replicas and fetches their reports.

    Nothing is retried here. The HTTP client must not keep connections alive,
    so that each request has a connection of its own.
    """

    def __init__(self, client: _http.Client) -> None:
        self._client = client

    async def send(self, order: Order) -> OrderResult:
        """Send an order once and return what is known of it.

        No failure raises: one before the request was sent is ``REFUSED`` or
        ``NO_LISTENER``, and a later one is ``UNKNOWN``.
        """
        message = {
            "operation": "load" if order.load else "unload",
            "model": order.model,
            "precondition": order.order_count,
            "holder": order.holder,
            "fencing_token": order.epoch,
        }
        if order.adapter:
            message["adapter"] = order.adapter
        headers = [
            _JSON_CONTENT_TYPE,
            (b"X-Expect-Instance", order.replica.encode()),
        ]
        try:
            with anyio.fail_after(ORDER_TIMEOUT_MS / 1000):
                response = await self._client.request(
                    "POST",
                    order.address,
                    "/v1/order",
                    headers=headers,
                    body=orjson.dumps(message),
                    connect_ms=ORDER_TIMEOUT_MS,
                    read_ms=ORDER_TIMEOUT_MS,
                )
        except _http.NoListenerError:
            return OrderResult.NO_LISTENER
        except _http.NotSentError:
            return OrderResult.REFUSED
        except (_http.BrokenError, TimeoutError):
            return OrderResult.UNKNOWN
        return _result_from_status(response.status)

    async def fetch_report(
        self, replica: str, address: _settings.Address
    ) -> _types.ReplicaReport:
        """Return a replica's report, which may be some hundred ms old.

        :raises _http.NoListenerError: if the replica refuses connections.
        :raises _http.NotSentError: if the connection could not be opened.
        :raises _http.BrokenError: if no complete, valid report came in time.
        """
        try:
            with anyio.fail_after(ORDER_TIMEOUT_MS / 1000):
                response = await self._client.request(
                    "GET",
                    address,
                    "/v1/report",
                    headers=[(b"X-Expect-Instance", replica.encode())],
                    connect_ms=ORDER_TIMEOUT_MS,
                    read_ms=ORDER_TIMEOUT_MS,
                )
            if response.status != 200:
                raise _http.BrokenError(
                    f"the replica responded with status {response.status}"
                )
            return _replicas.decode_replica_report(response.json())
        except (_fields.FormatError, TimeoutError) as error:
            raise _http.BrokenError(repr(error)) from error


def _result_from_status(status: int) -> OrderResult:
    """Return what a status code says of an order."""
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
