"""Connections from instances to emulated engines, without a network.

The bytes are those of the users' platform, so that the product's own code
writes the requests and reads the answers.
"""

from __future__ import annotations

import asyncio

import anyio
import httptools

from emulator import _engines
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink import platform
from geraniumlink.serving import _connections

# One way between an instance and an engine of its region, in ms.
LINK_MS = 0.5
_DEFAULT_PRIORITY = 5


class _Stream:
    """One connection's bytes, on the instance's side."""

    def __init__(self, engine: _engines.Engine) -> None:
        self._serving = _Serving(engine, self)
        self._loop = asyncio.get_running_loop()
        self._received = bytearray()
        self._arrived = anyio.Event()
        self.closed = False

    @property
    def quiet(self) -> bool:
        return not self._received and not self.closed

    async def send(self, data: bytes) -> None:
        if self.closed:
            raise anyio.BrokenResourceError
        self._loop.call_later(LINK_MS / 1000, self._serving.feed, data)

    async def receive(self, max_bytes: int) -> bytes:
        while not self._received:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        return data

    async def aclose(self) -> None:
        self.closed = True
        self._serving.end()

    def answer(self, data: bytes) -> None:
        """Take bytes that the engine wrote."""
        self._loop.call_later(LINK_MS / 1000, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        self._received += data
        self._arrived.set()


class _Serving:
    """The engine's side of a connection."""

    def __init__(self, engine: _engines.Engine, stream: _Stream) -> None:
        self._engine = engine
        self._stream = stream
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._run: _engines.Run | None = None
        self._started = False

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def end(self) -> None:
        """Drop what runs: the connection was closed."""
        if self._run is not None:
            self._engine.cancel(self._run)

    # Called by the parser.
    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_message_complete(self) -> None:
        headers, self._headers = self._headers, []
        target, self._target = self._target, b""
        request = platform.decode_request_head(b"POST", target, headers, 0)
        found = dict(headers)
        if self._engine.lacks(request.model, request.adapter):
            self._refuse(421)
        elif self._engine.refuses(request.model):
            self._refuse(503)
        else:
            priority = found.get(b"x-request-priority", b"")
            self._started = False
            self._run = _engines.Run(
                request,
                int(priority) if priority else _DEFAULT_PRIORITY,
                self._write_tokens,
                lambda: self._refuse(503),
            )
            self._engine.submit(self._run)

    def _load(self) -> bytes:
        engine = self._engine
        return b"X-Server-Load: %d,%d,%d\r\n" % (
            len(engine.running),
            len(engine.waiting),
            engine.spec.slots,
        )

    def _refuse(self, status: int) -> None:
        self._run = None
        self._stream.answer(
            b"HTTP/1.1 %d -\r\nX-Not-Executed: 1\r\n%bContent-Length: 0"
            b"\r\n\r\n" % (status, self._load())
        )

    def _write_tokens(self, made: int, ended: bool) -> None:
        run = self._run
        if run is None:
            return
        data = b""
        if not self._started:
            self._started = True
            data = (
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n"
                b"X-Response-Seal: 1\r\n%bX-Request-Id: %b\r\n\r\n"
                % (self._load(), run.request.id)
            )
        event = b"id: %d\ndata: t\n\n" % made
        data += b"%x\r\n%b\r\n" % (len(event), event)
        if ended:
            data += b"0\r\n\r\n"
            self._run = None
        self._stream.answer(data)


class _Connection(_connections.Connection):
    """A connection whose kernel is emulated."""

    def __init__(self, stream: _Stream, address: _settings.Address) -> None:
        super().__init__(stream, address)  # type: ignore[arg-type]
        self._emulated = stream

    def is_idle_and_open(self) -> bool:
        return self._emulated.quiet


class Network:
    """Opens connections to engines by their addresses."""

    def __init__(self, engines: list[_engines.Engine]) -> None:
        self._engines = {engine.address: engine for engine in engines}
        self.opened = 0

    async def dial(
        self, address: _settings.Address
    ) -> _connections.Connection:
        """Open a connection.

        :raises _http.NoListenerError: if no engine listens there.
        """
        await anyio.sleep(2 * LINK_MS / 1000)
        engine = self._engines.get(address)
        if engine is None:
            raise _http.NoListenerError(f"{address}: refused")
        self.opened += 1
        return _Connection(_Stream(engine), address)
