"""Clients that send requests without an end, and what a process then holds."""

from __future__ import annotations

import contextlib
import pathlib
import random
import socket
import time
import typing

import anyio

from standins import fleet as fleets
from tests import hosts

# Bound of the resident memory above that of the idle process.
MAX_GROWTH_KB = 48 * 1024
_BLOCK_BYTES = 65_536
# Receive buffer of clients that don't read, so that responses stay in the
# process under test.
_UNREAD_BUFFER_BYTES = 4096


class Shape(typing.NamedTuple):
    """A part of a request that is repeated without an end.

    HEAD in ``start`` and ``part`` stands for a request line and a Host field.
    """

    start: bytes
    part: bytes
    reads: bool = True


SHAPES = {
    "silence": Shape(b"", b""),
    "empty lines": Shape(b"", b"\r\n"),
    "line feeds": Shape(b"", b"\n"),
    "method": Shape(b"", b"G"),
    "target": Shape(b"GET /", b"a"),
    "query": Shape(b"GET /?", b"a"),
    "version": Shape(b"GET / HTTP/1.", b"1"),
    "field name": Shape(b"HEAD", b"a"),
    "field value": Shape(b"HEADx: ", b"a"),
    "space before a value": Shape(b"HEADx:", b" "),
    "fields": Shape(b"HEAD", b"a:\r\n"),
    "fields of 1 KiB": Shape(b"HEAD", b"x: %b\r\n" % (b"a" * 1018)),
    "folded value": Shape(b"HEADx: a\r\n", b" a\r\n"),
    "body": Shape(b"HEADContent-Length: 4194304\r\n\r\n", b"x"),
    "body above its limit": Shape(
        b"HEADContent-Length: 99999999999\r\n\r\n", b"x"
    ),
    "fields and a body above its limit": Shape(
        b"HEAD%bContent-Length: 99999999999\r\n\r\n" % (b"a:\r\n" * 2600),
        b"x",
    ),
    "chunks": Shape(b"HEADTransfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
    "chunk size": Shape(b"HEADTransfer-Encoding: chunked\r\n\r\n", b"0"),
    "chunk extension": Shape(
        b"HEADTransfer-Encoding: chunked\r\n\r\n1;", b"a"
    ),
    "trailer name": Shape(
        b"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", b"a"
    ),
    "trailer value": Shape(
        b"HEADTransfer-Encoding: chunked\r\n\r\n0\r\nx: ", b"a"
    ),
    "trailers": Shape(
        b"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"
    ),
    "bytes after a request": Shape(b"HEADContent-Length: 0\r\n\r\n", b"\0"),
    "lines after a request": Shape(b"HEADContent-Length: 0\r\n\r\n", b"\r\n"),
    "bytes after the last request": Shape(
        b"HEADConnection: close\r\n\r\n", b"x"
    ),
    "bytes after an upgrade": Shape(
        b"HEADConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", b"x"
    ),
    "bytes after CONNECT": Shape(b"CONNECT a:1 HTTP/1.1\r\n\r\n", b"x"),
    "pipelined": Shape(b"", b"HEAD\r\n"),
    "pipelined without fields": Shape(b"", b"GET / HTTP/1.1\r\n\r\n"),
    "pipelined, responses unread": Shape(b"", b"HEAD\r\n", reads=False),
    "fields within the limit, pipelined": Shape(
        b"", b"HEAD%b\r\n" % (b"a:\r\n" * 2600), reads=False
    ),
    "large bodies, pipelined": Shape(
        b"",
        b"HEADContent-Length: 100000\r\n\r\n" + b"x" * 100_000,
        reads=False,
    ),
}

# Sent in blocks of 1 to 2 bytes, each block reaches the application alone.
STARTED_BODY = Shape(b"HEADContent-Length: 4194304\r\n\r\nx", b"x")


def _expand(data: bytes, target: str) -> bytes:
    head = f"GET {target} HTTP/1.1\r\nHost: {hosts.HOST}\r\n"
    return data.replace(b"HEAD", head.encode())


class Crowd:
    """Clients at one port that connect again when they are disconnected.

    :param target: of the requests that are complete.
    :param block_bytes: how many bytes are sent at once.
    :param pause_s: time between two sends.
    """

    def __init__(
        self,
        port: int,
        target: str = "/safe/x",
        block_bytes: int = _BLOCK_BYTES,
        pause_s: float = 0.0,
    ) -> None:
        self._port = port
        self._target = target
        self._block_bytes = block_bytes
        self._pause_s = pause_s

    async def send(
        self, shapes: typing.Sequence[Shape], clients: int, duration_s: float
    ) -> None:
        """Have the clients send shapes in turn until the time has passed."""
        with anyio.move_on_after(duration_s):
            async with anyio.create_task_group() as group:
                for number in range(clients):
                    group.start_soon(
                        self._send_again, shapes[number % len(shapes)]
                    )

    async def _send_again(self, shape: Shape) -> None:
        start = _expand(shape.start, self._target)
        part = _expand(shape.part, self._target)
        while True:
            with contextlib.suppress(OSError):
                connection = await anyio.connect_tcp("127.0.0.1", self._port)
                async with connection:
                    await self._send_without_end(
                        connection, shape, start, part
                    )
            # A refused client doesn't occupy the machine with connecting.
            await anyio.sleep(0.02)

    async def _send_without_end(
        self,
        connection: anyio.abc.SocketStream,
        shape: Shape,
        start: bytes,
        part: bytes,
    ) -> None:
        if shape.reads:
            async with anyio.create_task_group() as group:
                group.start_soon(_discard, connection, group.cancel_scope)
                await self._send_parts(connection, start, part)
                # The process may have closed its sending side alone.
                await anyio.sleep_forever()
        else:
            connection.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BUFFER_BYTES
            )
            await self._send_parts(connection, start, part)

    async def _send_parts(
        self, connection: anyio.abc.SocketStream, start: bytes, part: bytes
    ) -> None:
        """Send until the connection ends."""
        if not part:
            await anyio.sleep_forever()
        repeated = part * max(1, _BLOCK_BYTES // len(part))
        size = self._block_bytes
        blocks = [
            repeated[position : position + size]
            for position in range(0, len(repeated), size)
        ]
        with contextlib.suppress(anyio.BrokenResourceError):
            if start:
                await connection.send(start)
            while True:
                for block in blocks:
                    await connection.send(block)
                    if self._pause_s:
                        await anyio.sleep(self._pause_s * random.random())


async def _discard(
    connection: anyio.abc.SocketStream, scope: anyio.CancelScope
) -> None:
    with contextlib.suppress(
        anyio.EndOfStream, anyio.BrokenResourceError, OSError
    ):
        while True:
            await connection.receive()
    scope.cancel()


class Meter:
    """Memory and descriptors of a process above those when it is idle."""

    def __init__(self, process: fleets.Process) -> None:
        self._process = process
        # Forgets the peak of the start; proc(5), clear_refs.
        pathlib.Path(f"/proc/{process.pid}/clear_refs").write_text("5")
        self._idle_kb = process.peak_kb()
        self.largest_files = 0

    @property
    def growth_kb(self) -> int:
        """The largest resident memory so far above that at the start."""
        return self._process.peak_kb() - self._idle_kb

    async def count_files(self) -> None:
        """Note the largest number of descriptors until cancelled."""
        folder = pathlib.Path(f"/proc/{self._process.pid}/fd")
        while True:
            with contextlib.suppress(FileNotFoundError):
                self.largest_files = max(
                    self.largest_files, len(list(folder.iterdir()))
                )
            await anyio.sleep(0.02)


async def check_still_serves(
    send: typing.Callable[[], typing.Awaitable[bool]], limit_s: float = 20.0
) -> None:
    """Check that one ordinary request is answered after the crowd left.

    Connections that the process closes in steps may delay it.
    """
    give_up = time.monotonic() + limit_s
    while time.monotonic() < give_up:
        with contextlib.suppress(OSError, TimeoutError):
            with anyio.fail_after(5):
                if await send():
                    return
        await anyio.sleep(0.1)
    raise AssertionError("no ordinary request was answered")
