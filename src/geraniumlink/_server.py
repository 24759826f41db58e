"""An HTTP listener on uvicorn, with a shutdown that cuts no request."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import socket
import typing

import anyio
import uvicorn

from geraniumlink import _clock
from geraniumlink import _http_protocol
from geraniumlink import _settings

# An idle connection is closed after this long. A client that reuses
# connections must discard idle ones earlier.
KEEP_ALIVE_S = 30
# During shutdown, a connection is closed after it has been idle for this
# long, because a request may still be in transit on it.
LINGER_MS = 500
# During shutdown, how long clients may take to read buffered responses after
# the last request has completed.
FLUSH_TIMEOUT_MS = 30_000
# Connections that wait to be accepted, and how many of them are accepted in
# one turn of the event loop, each with a descriptor, before any is refused.
BACKLOG = 1024
ACCEPTED_AT_ONCE = 16
# Interval of the check for idle connections during shutdown.
_IDLE_CHECK_INTERVAL_MS = 20


class _GracefulServer(uvicorn.Server):
    """A uvicorn server without signal handlers; the instance has them."""

    def __init__(self, config: uvicorn.Config, clock: _clock.Clock) -> None:
        super().__init__(config)
        self._clock = clock
        self._exit_requested = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start to listen.

        asyncio accepts as many connections at once as may wait. The second
        call of ``listen`` changes the latter alone.
        """
        await super().startup(sockets)
        for listening in sockets or []:
            listening.listen(BACKLOG)

    def request_exit(self) -> None:
        """Have the server shut down."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Wait for ``request_exit``; uvicorn looks every 100 ms instead.

        What else uvicorn does at that interval is not in use here.
        """
        await self._exit_requested.wait()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Close the listener, then each connection once it is idle.

        uvicorn would close idle connections at once, including accepted
        ones from which nothing has been read yet. It would close the others
        after the response in progress, which has no "connection: close".
        Either would lose a request in transit on the connection.
        """
        await self._clock.sleep(_IDLE_CHECK_INTERVAL_MS)
        await self._close_listeners(sockets or [])
        await self._close_idle()
        await super().shutdown(sockets)

    async def _close_listeners(self, sockets: list[socket.socket]) -> None:
        """Close the listeners' sockets; accept what is in their queues.

        Closing a socket resets the connections in its queue. The event loop
        accepts those only after the tasks that are due.
        """
        accepted: list[socket.socket] = []
        for listening in sockets:
            # The queue is empty, or no descriptors are left.
            with contextlib.suppress(OSError):
                while True:
                    accepted.append(listening.accept()[0])
        for server in self.servers:
            server.close()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(self._make_protocol, connection)

    def _make_protocol(self) -> asyncio.Protocol:
        protocol_class: typing.Any = self.config.http_protocol_class
        return protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    async def _close_idle(self) -> None:
        """Close connections as they become idle; return when none is left."""
        idle_since: dict[typing.Any, int] = {}
        while self.server_state.connections:
            now = self._clock.now()
            connections: set[typing.Any] = set(self.server_state.connections)
            for connection in connections:
                connection.read_last_request()
                if not _is_idle(connection) or _http_protocol.has_unread_bytes(
                    connection.transport
                ):
                    idle_since.pop(connection, None)
                elif now - idle_since.setdefault(connection, now) > LINGER_MS:
                    connection.shutdown()
            await self._clock.sleep(_IDLE_CHECK_INTERVAL_MS)


def _is_idle(connection: typing.Any) -> bool:
    cycle = connection.cycle
    return cycle is None or cycle.response_complete


def _bind(address: _settings.Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        # Connections of an earlier process of this instance may still be in
        # TIME_WAIT, which would prevent binding.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((address.host, address.port))
    except OSError as error:
        bound.close()
        raise OSError(f"can't listen on {address}: {error}") from error
    return bound


class Listener:
    """Serves an ASGI application on some addresses until stopped."""

    def __init__(
        self,
        application: typing.Any,
        addresses: list[_settings.Address],
        clock: _clock.Clock,
        http: type[asyncio.Protocol] = _http_protocol.HttpProtocol,
    ) -> None:
        config = uvicorn.Config(
            application,
            # Not uvloop, which may use io_uring: the users don't allow that.
            loop="asyncio",
            http=http,
            date_header=False,
            server_header=False,
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=ACCEPTED_AT_ONCE,
        )
        self._addresses = addresses
        self._server = _GracefulServer(config, clock)
        self._stopped = anyio.Event()

    async def run(self) -> None:
        """Listen; return after ``stop``, when all responses have been sent.

        :raises OSError: if an address can't be bound.
        """
        sockets: list[socket.socket] = []
        try:
            for address in self._addresses:
                sockets.append(_bind(address))
            await self._server.serve(sockets)
        finally:
            for bound in sockets:
                bound.close()
            self._stopped.set()

    def stop(self) -> None:
        """Accept no more connections; finish requests on existing ones."""
        self._server.request_exit()

    async def stopped(self) -> None:
        """Wait until ``run`` has ended and its sockets are closed."""
        await self._stopped.wait()
