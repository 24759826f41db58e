"""A client's answer, written by ASGI."""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

Send = typing.Callable[[typing.Any], typing.Awaitable[None]]


class ResponseWriter:
    """Writes one answer; what was started and isn't finished is cut off."""

    def __init__(self, send: Send, closes: typing.Callable[[], bool]) -> None:
        self._send = send
        self._closes = closes
        self._status: int | None = None
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the head was sent."""
        return self._status is not None

    @property
    def finished(self) -> bool:
        return self._finished

    @property
    def status(self) -> int | None:
        """The status sent to the client, if any."""
        return self._status

    async def start(self, status: int, headers: _types.Headers) -> None:
        if self._closes():
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
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        self._finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def send_complete(
        self, status: int, headers: _types.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        length = (b"content-length", b"%d" % len(body))
        kept = [h for h in headers if h[0].lower() != b"content-length"]
        await self.start(status, [*kept, length])
        await self.finish(body)
