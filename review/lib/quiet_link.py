"""A link to the store whose open connections may go silent for good."""

from __future__ import annotations

import asyncio
import contextlib
import re

import standins

_WATCH = re.compile(rb"GET /v1/objects/([a-z-]+)\?watch=")


class QuietLink:
    """Relays TCP connections; some go silent, and new ones work."""

    def __init__(self, to: standins.Server) -> None:
        self._to = to
        self.port = standins.free_port("127.0.0.1")
        self._connections: list[_Connection] = []
        # While set, nothing passes, and new connections hang.
        self.is_cut = False

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        await asyncio.start_server(self._relay, "127.0.0.1", self.port)

    def silence_watches(self, kind: str) -> int:
        """Silence the connections on which a watch of a kind waits.

        :returns: how many there are.
        """
        waiting = [c for c in self._connections if c.watched == kind]
        for connection in waiting:
            connection.silent = True
        return len(waiting)

    async def _relay(self, reader, writer) -> None:
        there, back = await asyncio.open_connection(
            self._to.host, self._to.port
        )
        connection = _Connection(self)
        self._connections.append(connection)
        await asyncio.gather(
            connection.pump(reader, back, True),
            connection.pump(there, writer, False),
        )
        self._connections.remove(connection)


class _Connection:
    def __init__(self, link: QuietLink) -> None:
        self._link = link
        self.silent = False
        # Kind of the watch that waits on it for an answer; else empty.
        self.watched = ""

    async def pump(self, source, sink, is_request: bool) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await source.read(65536):
                while self._link.is_cut:
                    # What is under way passes once the cut has healed.
                    await asyncio.sleep(0.01)
                if self.silent:
                    # Neither bytes nor the end of the connection pass.
                    continue
                found = _WATCH.match(data) if is_request else None
                self.watched = found[1].decode() if found else ""
                sink.write(data)
                await sink.drain()
        while self._link.is_cut:
            await asyncio.sleep(0.01)
        if not self.silent:
            sink.close()
