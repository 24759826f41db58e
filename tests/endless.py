"""A proxy before a server; some of its answers have no end."""

from __future__ import annotations

import asyncio
import collections
import contextlib

from standins import replica as replicas

_BLOCK_BYTES = 65_536
_HEAD = b"HTTP/1.1 200 OK\r\n"


class Proxy:
    """Passes requests on, or answers without end those for some paths.

    :param upstream: port of the server; 0 if there is none.
    :param part: part of an answer that has no end, see ``replicas.ENDLESS``;
        empty if all requests are passed on.
    :param prefix: of the paths whose answers have no end.
    """

    def __init__(
        self, upstream: int = 0, part: str = "", prefix: str = "/"
    ) -> None:
        self.upstream = upstream
        self.part = part
        self._prefix = prefix
        self.port = 0
        self._tasks: set[asyncio.Task] = set()
        # Bytes that were accepted by the sockets.
        self.sent_bytes = 0
        self.requests: collections.Counter[str] = collections.Counter()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @contextlib.asynccontextmanager
    async def serve(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        pump = upstream = None
        try:
            while True:
                request = await _read_request(reader)
                path = request.split(b" ", 2)[1].decode()
                if self.part and path.startswith(self._prefix):
                    self.requests[path] += 1
                    await self._answer_without_end(writer)
                if upstream is None:
                    there, upstream = await asyncio.open_connection(
                        "127.0.0.1", self.upstream
                    )
                    pump = asyncio.create_task(_pump(there, writer))
                upstream.write(request)
                await upstream.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            if pump is not None:
                pump.cancel()
                upstream.close()
            writer.close()

    async def _answer_without_end(self, writer) -> None:
        start, filler = replicas.ENDLESS[self.part]
        writer.write(start.replace(b"HEAD", _HEAD))
        block = filler * (_BLOCK_BYTES // len(filler))
        while True:
            writer.write(block)
            await writer.drain()
            self.sent_bytes += len(block)


async def _read_request(reader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head + await reader.readexactly(length)


async def _pump(reader, writer) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(_BLOCK_BYTES):
            writer.write(data)
            await writer.drain()
        writer.close()
