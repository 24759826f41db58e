"""Stand-in for a network link: relays TCP to another address.

Fault switches: ``cut`` (connections are closed, new ones too), ``stall``
(nothing passes in either direction until it is unset) and ``refuse`` (new
connections are refused).
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

_POLL_S = 0.02
_CHUNK_BYTES = 65536


class Link(_base.StandIn):
    """Relays connections made to one port to an address."""

    def __init__(self, relay_port: int, to: str) -> None:
        super().__init__()
        self._relay_port = relay_port
        self._host, _, port = to.rpartition(":")
        self._port = int(port)
        self._connections = 0
        self._relaying: asyncio.Server | None = None

    def routes(self) -> list[routing.Route]:
        return []

    def record(self) -> typing.Any:
        return {"connections": self._connections}

    async def serve(self, port: int) -> None:
        await self._listen()
        await super().serve(port)

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        answer = await super()._set_faults(request)
        await self._listen()
        return answer

    async def _listen(self) -> None:
        """Listen for connections to relay, unless these are refused."""
        if self._relaying and self.faults.refuse:
            self._relaying.close()
            self._relaying = None
        elif not self._relaying and not self.faults.refuse:
            self._relaying = await asyncio.start_server(
                self._relay, "127.0.0.1", self._relay_port
            )

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        if self.faults.cut:
            writer.close()
            return
        try:
            there, back = await asyncio.open_connection(self._host, self._port)
        except ConnectionError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, back), self._pump(there, writer)
        )

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await self._read(source):
                while self.faults.stall and not self.faults.cut:
                    await asyncio.sleep(_POLL_S)
                if self.faults.cut:
                    break
                sink.write(chunk)
                await sink.drain()
        sink.close()

    async def _read(self, source: asyncio.StreamReader) -> bytes:
        """Return the next bytes; none at the end or when the link is cut."""
        reading = asyncio.ensure_future(source.read(_CHUNK_BYTES))
        while not self.faults.cut:
            done, _ = await asyncio.wait([reading], timeout=_POLL_S)
            if done:
                return reading.result()
        reading.cancel()
        return b""


if __name__ == "__main__":
    made = _base.parser(__doc__)
    made.add_argument("--relay-port", type=int, required=True)
    made.add_argument("--to", required=True)
    options = made.parse_args()
    _base.run(Link(options.relay_port, options.to), options.port)
