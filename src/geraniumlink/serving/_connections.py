"""Connections to replicas, by httptools over anyio's streams.

httpcore serves everywhere else. Here an answer to an earlier request may
come first and has to be skipped, an answer may come before the request's
body is written, and it must be known whether a byte of a request left this
process; httpcore's connection tells none of these.
"""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable
import select
import socket
import typing

import anyio
import anyio.abc
import httptools

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.serving import _types

# Within a region a connection stands after some ms, or its first packet was
# lost, which the kernel repeats after 1 s.
CONNECT_MS = 400
# An idle connection is given up this much before the replica closes it.
IDLE_MARGIN_MS = 1000
# Where the replica doesn't say: shorter than most servers' idle timeout.
DEFAULT_IDLE_MS = 2000
# A connection may have gone silent while it was idle.
MAX_IDLE_MS = 4000
MAX_IDLE_CONNECTIONS = 16
_RECEIVE_BYTES = 65536
# What the kernel takes in one go; a longer body is written beside reading.
SMALL_BODY_BYTES = 65536


class Message(typing.NamedTuple):
    """The head of an answer as it came."""

    status: int
    headers: _types.Headers


class _Parsed:
    """An answer as far as it was parsed."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: _types.Headers = []
        self.has_head = False
        self.chunks: collections.deque[bytes] = collections.deque()
        self.complete = False

    def ends_with_connection(self) -> bool:
        """Whether the body has no length, so that EOF ends it."""
        names = {name.lower() for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}


class Connection:
    """One connection; at most one request is in progress on it."""

    def __init__(
        self, stream: anyio.abc.SocketStream, address: _settings.Address
    ) -> None:
        self.address = address
        self.idle_since = 0
        self.idle_ms = DEFAULT_IDLE_MS
        self.used = False
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._messages: collections.deque[_Parsed] = collections.deque()

    async def send(self, data: bytes) -> None:
        """Write a request; raises ``_http.BrokenError``."""
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise _http.BrokenError("closed while writing") from error

    async def read_head(self) -> Message:
        """Return the head of the next final answer.

        :raises _http.BrokenError: if the connection ends before, or what
            comes is no answer.
        """
        while True:
            while not (self._messages and self._messages[0].has_head):
                await self._receive()
            first = self._messages[0]
            if first.status >= 200:
                return Message(first.status, first.headers)
            self._messages.popleft()

    async def read_chunk(self) -> bytes | None:
        """Return a part of the body, or None after its end.

        :raises _http.BrokenError: if the body isn't whole.
        """
        first = self._messages[0]
        while not first.chunks:
            if first.complete:
                return None
            await self._receive()
        return first.chunks.popleft()

    async def skip_response(self) -> None:
        """Read an answer to the end and drop it."""
        while await self.read_chunk() is not None:
            pass
        self._messages.popleft()

    def finish_response(self) -> bool:
        """Drop the answer that was read; whether nothing came after it."""
        finished = self._messages.popleft()
        return (
            finished.complete
            and not self._messages
            and not finished.ends_with_connection()
        )

    def is_idle_and_open(self) -> bool:
        """Whether the kernel has neither bytes nor the end of the stream."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if raw.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def close(self) -> None:
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            self._take_end()
            return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise _http.BrokenError("reset while reading") from error
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not (self._messages and self._messages[0].complete):
                raise _http.BrokenError(f"no answer: {error}") from error
            # What follows a whole answer belongs to no request.
            self._messages.append(_Parsed())

    def _take_end(self) -> None:
        first = self._messages[0] if self._messages else None
        if (
            first is None
            or not first.has_head
            or not first.ends_with_connection()
        ):
            raise _http.BrokenError("closed before the answer's end")
        first.complete = True

    # Called by the parser.
    def on_message_begin(self) -> None:
        self._messages.append(_Parsed())

    def on_header(self, name: bytes, value: bytes) -> None:
        self._messages[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._messages[-1].status = self._parser.get_status_code()
        self._messages[-1].has_head = True

    def on_body(self, body: bytes) -> None:
        self._messages[-1].chunks.append(body)

    def on_message_complete(self) -> None:
        self._messages[-1].complete = True


# Opens a connection; raises ``_http.NotSentError`` when it can't be opened.
Dial = Callable[[_settings.Address], Awaitable[Connection]]


class ConnectionPool:
    """Keeps idle connections to the replicas by address and name."""

    def __init__(self, clock: _clock.Clock, dial: Dial | None = None) -> None:
        self._clock = clock
        self._dial = dial or _dial
        # The most recently used is last.
        self._idle: dict[str, list[Connection]] = {}

    async def acquire(
        self, replica: str, address: _settings.Address, strict_freshness: bool
    ) -> Connection:
        """Return an idle connection or a new one.

        ``strict_freshness`` asks for one that can't be closing: a request
        that runs at most once is lost with it.

        :raises _http.NotSentError: if no connection could be opened.
        """
        idle = self._idle.get(replica, [])
        while idle:
            connection = idle.pop()
            if (
                connection.address == address
                and self._is_fresh(connection, strict_freshness)
                and connection.is_idle_and_open()
            ):
                return connection
            await connection.close()
        return await self._dial(address)

    def release(self, replica: str, connection: Connection) -> None:
        """Keep a connection after a whole answer."""
        connection.idle_since = self._clock.now()
        connection.used = True
        self._idle.setdefault(replica, []).append(connection)

    async def close_stale(self) -> None:
        """Close what will not be used any more."""
        for replica, idle in list(self._idle.items()):
            kept = [
                c for c in idle if self._is_fresh(c, strict_freshness=False)
            ]
            kept = kept[-MAX_IDLE_CONNECTIONS:]
            stale = [c for c in idle if c not in kept]
            self._idle[replica] = kept
            if not kept:
                del self._idle[replica]
            for connection in stale:
                await connection.close()

    def _is_fresh(
        self, connection: Connection, strict_freshness: bool
    ) -> bool:
        limit: float = min(connection.idle_ms - IDLE_MARGIN_MS, MAX_IDLE_MS)
        if strict_freshness:
            limit /= 2
        return self._clock.now() - connection.idle_since < limit


async def _dial(address: _settings.Address) -> Connection:
    try:
        with anyio.fail_after(CONNECT_MS / 1000):
            stream = await anyio.connect_tcp(address.host, address.port)
    except TimeoutError as error:
        raise _http.NotSentError(f"{address} is silent") from error
    except OSError as error:
        raise _http.GoneError(f"{address}: {error}") from error
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(stream, address)
