"""HTTP client for messages between instances.

It uses the connections to replicas: most of what an idle instance does is to
report to the controller, and httpcore's connections take more processor
time (``benches.replica_connections``).
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.serving import _connections


class MessageClient:
    """Posts messages over kept connections, without a timeout of its own."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._connections = _connections.ConnectionPool(clock)

    async def post(
        self, address: _settings.Address, path: str, body: bytes
    ) -> _http.Response:
        """Send a message and return the complete response.

        :raises _http.NotSentError: if no connection was established.
        :raises _http.BrokenError: on any later failure, or if the response's
            body is larger than ``_http.MAX_BODY_BYTES``.
        """
        self._connections.close_stale()
        connection = await self._connections.acquire(
            str(address), address, strict_freshness=False
        )
        reusable = False
        try:
            await connection.send(_encode_request(address, path, body))
            head = await connection.read_head()
            answer = await _read_body(connection)
            reusable = connection.finish_response()
        finally:
            if reusable:
                self._connections.release(str(address), connection)
            else:
                connection.close()
        return _http.Response(head.status, head.headers, answer)


def _encode_request(
    address: _settings.Address, path: str, body: bytes
) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"host: {address}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _read_body(connection: _connections.Connection) -> bytes:
    body = bytearray()
    while (chunk := await connection.read_chunk()) is not None:
        body += chunk
        if len(body) > _http.MAX_BODY_BYTES:
            raise _http.BrokenError("the response is larger than 4 MiB")
    return bytes(body)
