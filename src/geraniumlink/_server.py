"""One listening HTTP server by uvicorn, run under our supervisor."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import select
import socket
import typing

import anyio
import uvicorn

from geraniumlink import _clock
from geraniumlink import _settings

# A client that leaves a connection unused must give it up before this.
KEEP_ALIVE_S = 30
# After the listener is closed, a connection is closed once it was idle for
# this long: a request may be on its way on it.
LINGER_MS = 500
# How long answers may take to flow off after the last one was made.
FLUSH_MS = 30_000
_POLL_MS = 20


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the supervisor tree."""

    def __init__(self, config: uvicorn.Config, clock: _clock.Clock) -> None:
        super().__init__(config)
        self._clock = clock

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Close the listener, then each connection when it has gone idle.

        uvicorn closes idle connections at once, those that were accepted
        and not yet read among them, and closes the others with their answer
        in progress without having announced it. Both cut a request that is
        on its way on the connection.
        """
        # Connections in the backlog of a closed socket are reset, so those
        # that have arrived are accepted first.
        await self._clock.sleep(_POLL_MS)
        for server in self.servers:
            server.close()
        await self._close_idle()
        await super().shutdown(sockets)

    async def _close_idle(self) -> None:
        idle_since: dict[typing.Any, int] = {}
        while self.server_state.connections:
            now = self._clock.now()
            for connection in list(self.server_state.connections):
                if not _is_idle(connection) or _has_unread(connection):
                    idle_since.pop(connection, None)
                elif now - idle_since.setdefault(connection, now) > LINGER_MS:
                    connection.shutdown()
            await self._clock.sleep(_POLL_MS)


def _is_idle(connection: typing.Any) -> bool:
    cycle = connection.cycle
    return cycle is None or cycle.response_complete


def _has_unread(connection: typing.Any) -> bool:
    """Whether the kernel has bytes of a request that we have not read."""
    listened = connection.transport.get_extra_info("socket")
    if connection.transport.is_closing() or listened is None:
        return False
    poll = select.poll()
    poll.register(listened.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _bound(address: _settings.Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        # A former process of this instance may have left connections there.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((address.host, address.port))
    except OSError as error:
        bound.close()
        raise OSError(f"can't listen on {address}: {error}") from error
    return bound


class Listener:
    """Serves an ASGI application at some addresses until told to stop."""

    def __init__(
        self,
        application: typing.Any,
        addresses: list[_settings.Address],
        clock: _clock.Clock,
        http: type[asyncio.Protocol] | str = "httptools",
    ) -> None:
        config = uvicorn.Config(
            application,
            # uvloop may use io_uring, which the users rule out.
            loop="asyncio",
            http=typing.cast(typing.Any, http),
            date_header=False,
            server_header=False,
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=1024,
        )
        self._addresses = addresses
        self._server = _Server(config, clock)
        self._stopped = anyio.Event()

    async def run(self) -> None:
        """Listen; return after ``stop`` when every answer has been sent."""
        sockets: list[socket.socket] = []
        try:
            for address in self._addresses:
                sockets.append(_bound(address))
            await self._server.serve(sockets)
        finally:
            for bound in sockets:
                bound.close()
            self._stopped.set()

    def stop(self) -> None:
        """Accept no more connections, and finish the answers begun."""
        self._server.should_exit = True

    async def stopped(self) -> None:
        """Wait until every answer has been sent and ``run`` returned."""
        await self._stopped.wait()
