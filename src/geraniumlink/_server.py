"""One listening HTTP server by uvicorn, run under our supervisor."""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Iterator

import uvicorn
from starlette import types

from geraniumlink import _settings


class _Quiet(uvicorn.Server):
    """A uvicorn server that leaves signals to the supervisor tree."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """Serves an ASGI application at an address until told to stop."""

    def __init__(
        self, application: types.ASGIApp, address: _settings.Address
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
            timeout_keep_alive=30,
            backlog=1024,
        )
        self._address = address
        self._server = _Quiet(config)

    async def run(self) -> None:
        """Listen; return after ``stop`` when every answer has been sent."""
        try:
            await self._server.serve()
        except SystemExit as error:
            # uvicorn exits the process when the address is taken.
            raise OSError(f"can't listen on {self._address}") from error

    def stop(self) -> None:
        """Accept no more connections, and finish the answers begun."""
        self._server.should_exit = True
