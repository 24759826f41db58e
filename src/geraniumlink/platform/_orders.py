"""Orders replicas to load or unload models and fetches their reports."""

from __future__ import annotations

from collections.abc import Callable
import enum
import typing

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.platform import _fields
from geraniumlink.platform import _heads
from geraniumlink.platform import _replicas
from geraniumlink.serving import _types

# A replica responds at once, before it carries an order out; the time leaves
# room for one retransmitted packet.
ORDER_TIMEOUT_MS = 250
# Limit of a response. A report names the models that are near the replica, in
# up to two lists; 1,300 models are planned for.
MAX_RESPONSE_BYTES = 2**18
_REPORT_PATH = "/v1/report"
_JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")


class OrderResult(enum.Enum):
    """What is known of an order after it was sent once."""

    ACCEPTED = "the replica is carrying it out"
    HOLDS = "the replica is in the ordered state now"
    CONFLICT = "another order is in progress, or the order count differs"
    REFUSED = "the replica refused it, or it was not sent"
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

    :param note_announcement: gets the replica's name and what it announces
        with each response.
    """

    def __init__(
        self,
        client: _http.Client,
        note_announcement: Callable[[str, _types.Announcement], None],
    ) -> None:
        self._client = client
        self._note_announcement = note_announcement

    async def send(
        self, order: Order, may_write: Callable[[], bool]
    ) -> OrderResult:
        """Send an order once and return what is known of it.

        No failure raises: one before the request was sent is ``REFUSED`` or
        ``NO_LISTENER``, and a later one is ``UNKNOWN``. An order that isn't
        answered in time is withdrawn: what wasn't delivered never will be.

        :param may_write: asked when the connection is open, immediately
            before the order is written.
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
        try:
            with anyio.fail_after(ORDER_TIMEOUT_MS / 1000):
                response = await self._call(
                    order.replica,
                    order.address,
                    "POST",
                    "/v1/order",
                    orjson.dumps(message),
                    _http.WritePermission(may_write, ORDER_TIMEOUT_MS),
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
                response = await self._call(
                    replica, address, "GET", _REPORT_PATH
                )
            if response.status != 200:
                raise _http.BrokenError(
                    f"the replica responded with status {response.status}"
                )
            return _replicas.decode_replica_report(response.json())
        except (_fields.FormatError, TimeoutError) as error:
            raise _http.BrokenError(repr(error)) from error

    async def gets_response(
        self, replica: str, address: _settings.Address
    ) -> bool:
        """Return whether a replica answers, with whatever status.

        The call is for a report: it needs no slot, and a replica without
        reports refuses it, as it has no request id.
        """
        try:
            with anyio.fail_after(ORDER_TIMEOUT_MS / 1000):
                await self._call(replica, address, "GET", _REPORT_PATH)
        except (_http.NotSentError, _http.BrokenError, TimeoutError):
            return False
        return True

    async def _call(
        self,
        replica: str,
        address: _settings.Address,
        method: str,
        path: str,
        body: bytes = b"",
        permission: _http.WritePermission | None = None,
    ) -> _http.Response:
        """Send a request to a replica and pass on what it announces."""
        headers = [(b"X-Expect-Instance", replica.encode())]
        if body:
            headers.append(_JSON_CONTENT_TYPE)
        response = await self._client.request(
            method,
            address,
            path,
            headers=headers,
            body=body,
            connect_ms=ORDER_TIMEOUT_MS,
            read_ms=ORDER_TIMEOUT_MS,
            max_body_bytes=MAX_RESPONSE_BYTES,
            permission=permission,
        )
        self._note_announcement(
            replica,
            _heads.decode_announcement(response.status, response.headers),
        )
        return response


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
