"""One listening HTTP server by uvicorn, run under our supervisor."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import select
import socket
import typing

import anyio
from starlette import types
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


class Listener:
    """Serves an ASGI application at an address until told to stop."""

    def __init__(
        self,
        application: types.ASGIApp,
        address: _settings.Address,
        clock: _clock.Clock,
    ) -> None:
        config = uvicorn.Config(
            typing.cast(typing.Any, application),
            host=address.host,
            port=address.port,
            # uvloop may use io_uring, which the users rule out.
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=1024,
        )
        self._address = address
        self._server = _Server(config, clock)
        self._stopped = anyio.Event()

    async def run(self) -> None:
        """Listen; return after ``stop`` when every answer has been sent."""
        try:
            await self._server.serve()
        except SystemExit as error:
            # uvicorn exits the process when the address is taken.
            raise OSError(f"can't listen on {self._address}") from error
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Accept no more connections, and finish the answers begun."""
        self._server.should_exit = True

    async def stopped(self) -> None:
        """Wait until every answer has been sent and ``run`` returned."""
        await self._stopped.wait()
