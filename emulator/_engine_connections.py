"""Connections from instances to emulated engines, without a network.

The bytes follow the HTTP interface of the platform's engines, so that the
product's own code writes the requests and parses the responses.
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

# Between an instance and an engine of its region.
ONE_WAY_LATENCY_MS = 0.5
# Of requests without the header X-Request-Priority.
_DEFAULT_PRIORITY = 5


class _InstanceSide(asyncio.Transport):
    """The instance's side of a connection: passes bytes in both directions."""

    def __init__(
        self, engine: _engines.Engine, connection: _connections.Connection
    ) -> None:
        super().__init__()
        self._engine_side = _EngineSide(engine, self)
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self._loop.call_later(
            ONE_WAY_LATENCY_MS / 1000, self._engine_side.feed, bytes(data)
        )

    def abort(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._engine_side.close()
        self._loop.call_soon(self._connection.connection_lost, None)

    def is_closing(self) -> bool:
        return self._is_closed

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: all that is written is sent."""

    def pause_reading(self) -> None:
        """Do nothing: the engines' responses are short."""

    def resume_reading(self) -> None:
        """Do nothing: reading is never paused."""

    def receive_later(self, data: bytes) -> None:
        """Receive bytes from the engine after the network latency."""
        self._loop.call_later(ONE_WAY_LATENCY_MS / 1000, self._receive, data)

    def _receive(self, data: bytes) -> None:
        if not self._is_closed:
            self._connection.feed(data)


class _EngineSide:
    """The engine's side of a connection: parses requests, writes streams."""

    def __init__(
        self, engine: _engines.Engine, instance_side: _InstanceSide
    ) -> None:
        self._engine = engine
        self._instance_side = instance_side
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._engine_request: _engines.EngineRequest | None = None
        self._started = False

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def close(self) -> None:
        """Cancel the request in progress: the instance has disconnected."""
        if self._engine_request is not None:
            self._engine.cancel(self._engine_request)

    # Callbacks of the HTTP parser.

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_message_complete(self) -> None:
        headers, self._headers = self._headers, []
        target, self._target = self._target, b""
        request = platform.decode_request_head(b"POST", target, headers, 0)
        headers_by_name = dict(headers)
        if self._engine.is_missing(request.model, request.adapter):
            self._refuse(421)
        elif self._engine.is_refusing(request.model):
            self._refuse(503)
        else:
            priority = headers_by_name.get(b"x-request-priority", b"")
            self._started = False
            self._engine_request = _engines.EngineRequest(
                request,
                int(priority) if priority else _DEFAULT_PRIORITY,
                self._write_tokens,
                lambda: self._refuse(503),
            )
            self._engine.submit(self._engine_request)

    def _load_header(self) -> bytes:
        engine = self._engine
        return b"X-Server-Load: %d,%d,%d\r\n" % (
            len(engine.running),
            len(engine.waiting),
            engine.spec.slots,
        )

    def _refuse(self, status: int) -> None:
        self._engine_request = None
        self._instance_side.receive_later(
            b"HTTP/1.1 %d -\r\nX-Not-Executed: 1\r\n%bContent-Length: 0"
            b"\r\n\r\n" % (status, self._load_header())
        )

    def _write_tokens(self, generated_tokens: int, is_last: bool) -> None:
        engine_request = self._engine_request
        if engine_request is None:
            return
        data = b""
        if not self._started:
            self._started = True
            data = (
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n"
                b"X-Response-Seal: 1\r\n%bX-Request-Id: %b\r\n\r\n"
                % (self._load_header(), engine_request.client_request.id)
            )
        event = b"id: %d\ndata: t\n\n" % generated_tokens
        data += b"%x\r\n%b\r\n" % (len(event), event)
        if is_last:
            data += b"0\r\n\r\n"
            self._engine_request = None
        self._instance_side.receive_later(data)


class EngineNetwork:
    """Opens connections to engines by their addresses."""

    def __init__(self, engines: list[_engines.Engine]) -> None:
        self._engines = {engine.address: engine for engine in engines}
        self.connection_count = 0

    async def dial(
        self, address: _settings.Address
    ) -> _connections.Connection:
        """Open a connection.

        :raises _http.NoListenerError: if no engine listens there.
        """
        await anyio.sleep(2 * ONE_WAY_LATENCY_MS / 1000)
        engine = self._engines.get(address)
        if engine is None:
            raise _http.NoListenerError(f"{address}: connection refused")
        self.connection_count += 1
        connection = _connections.Connection(address)
        connection.connection_made(_InstanceSide(engine, connection))
        return connection
