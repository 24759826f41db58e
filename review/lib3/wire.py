"""Reads and writes HTTP/1.1 messages for the stand-ins, and nothing else.

Only the standard library is used, so that a case needs no installation.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections.abc import Awaitable, Callable


class Request(typing.NamedTuple):
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(typing.NamedTuple):
    """A response as a client received it; status 0 if none was complete."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> list[str]:
    """Return the lines of a head; raises at the connection's end."""
    data = await reader.readuntil(b"\r\n\r\n")
    return data.decode("latin-1").strip("\r\n").split("\r\n")


def parse_headers(lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request:
    lines = await read_head(reader)
    method, target, _ = lines[0].split(" ")
    headers = parse_headers(lines[1:])
    return Request(method, target, headers, await read_body(reader, headers))


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a whole response."""
    lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Server:
    """Listens on one address; can be closed like an ended process."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host, self.port = host, port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**24
        )

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._handler(
                await read_request(reader), reader, writer
            ):
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection; return its answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1"]
    sent = {"Host": address, **(headers or {})}
    lines += [f"{name}: {value}" for name, value in sent.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**24
            )
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            found = parse_headers(head[1:])
            return Answer(
                int(head[0].split(" ")[1]),
                found,
                await read_body(reader, found),
            )
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        ValueError,
    ):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
