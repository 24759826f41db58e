"""Writes a client's response by ASGI."""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

Send = typing.Callable[[typing.Any], typing.Awaitable[None]]


class ResponseWriter:
    """Writes one response.

    A response that was started but not finished is cut off by the server.
    """

    def __init__(
        self, send: Send, closes_connection: typing.Callable[[], bool]
    ) -> None:
        self._send = send
        self._closes_connection = closes_connection
        self._status: int | None = None
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self._status is not None

    @property
    def finished(self) -> bool:
        """Whether all of the response has been sent."""
        return self._finished

    @property
    def status(self) -> int | None:
        """The status sent to the client; None before the head is sent."""
        return self._status

    async def start(self, status: int, headers: _types.Headers) -> None:
        """Send the head, with "connection: close" while draining."""
        if self._closes_connection():
            headers = [*headers, (b"connection", b"close")]
        self._status = status
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        self._finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def send_complete(
        self, status: int, headers: _types.Headers, body: bytes
    ) -> None:
        """Send a complete response, with its content length."""
        length = (b"content-length", b"%d" % len(body))
        kept = [h for h in headers if h[0].lower() != b"content-length"]
        await self.start(status, [*kept, length])
        await self.finish(body)
