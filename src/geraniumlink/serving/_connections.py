"""HTTP/1.1 connections to replicas, and a pool of them.

They are built on httptools and asyncio's transports. The rest of the program
uses httpcore, but its connections don't support what is needed here: to skip
a response to an earlier request, to read a response before the request's body
has been written, and to know whether any byte of a request has left this
process.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable
import re
import select
import typing

import anyio
import httptools

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.serving import _types

# Within a region a connection is established within some ms. If it isn't, its
# first packet was lost, which the kernel resends only after 1 s.
CONNECT_TIMEOUT_MS = 400
# An idle connection is no longer used this long before the replica's idle
# timeout, at which the replica closes it.
IDLE_MARGIN_MS = 1000
# Assumed if a replica doesn't state its idle timeout; shorter than that of
# most servers.
DEFAULT_IDLE_TIMEOUT_MS = 2000
# Whatever the replica states: an idle connection may fail without a sign.
MAX_IDLE_MS = 4000
# Pauses before the probes that tell whether a process is ending.
PROBE_PAUSES_MS = (0, 20, 60)
# Ids of refused requests that a connection remembers; it isn't used again once
# it has more.
MAX_REFUSED_IDS = 64
# Idle connections kept for each replica, the most recently used.
MAX_IDLE_PER_REPLICA = 16
# Size of the receive buffer; the limits below may be exceeded by as much.
READ_BYTES = 8192
# High-water mark of the received and unread body: reading pauses above it.
MAX_UNREAD_BYTES = 8192
# Responses after the first one that may be received before it is read.
MAX_UNREAD_RESPONSES = 16
# Limits of the bytes of heads, chunk sizes and trailers without a byte of a
# body between them, and of the headers of one response.
MAX_FRAMING_BYTES = 8192
MAX_HEADERS = 128
# Limit of the body of a response to another request, which is discarded.
MAX_SKIPPED_BYTES = 1_048_576
# Up to this length the kernel takes a body in one write; a longer body is sent
# concurrently with reading the response.
SMALL_BODY_BYTES = 65536
# In a header or a reason phrase: a head that broke off within it, and the one
# that follows.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: |$)")
# Shared by all connections: what is received is parsed, and copied, at once.
_READ_BUFFER = bytearray(READ_BYTES)


class ResponseHead(typing.NamedTuple):
    """The status and the headers of a response as received."""

    status: int
    headers: _types.Headers


class _ParsedResponse:
    """The part of a response that has been parsed so far."""

    def __init__(self) -> None:
        self.status = 0
        self.reason = b""
        self.headers: _types.Headers = []
        self.has_head = False
        # Parts of the body that were not read yet.
        self.chunks: list[bytes] = []
        self.complete = False

    def ends_with_connection(self) -> bool:
        """Whether no header states the body's length: EOF ends it."""
        names = {name.lower() for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}


class Connection(asyncio.BufferedProtocol):
    """A connection to a replica, with at most one request in progress.

    It is the callback object of its transport and of its httptools parser.
    An anyio stream would register with the selector anew for each read.
    """

    def __init__(self, address: _settings.Address) -> None:
        self.address = address
        # When it was last released to the pool.
        self.idle_since = 0
        # The replica's idle timeout.
        self.idle_ms = DEFAULT_IDLE_TIMEOUT_MS
        # Whether it was ever released to the pool.
        self.used = False
        # Ids of requests that the replica refused on it. Such a refusal may
        # come once more, and looks like one of a request with the same id.
        self._refused_ids: set[bytes] = set()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        # Responses that were begun and not yet taken off; the first is read.
        self._responses: collections.deque[_ParsedResponse] = (
            collections.deque()
        )
        # Bytes of bodies that were received and not read yet.
        self._unread_bytes = 0
        # Bytes received since the last byte of a body, or the last response
        # that was taken off.
        self._framing_bytes = 0
        # Why nothing more can be received; empty if it can.
        self._failure = ""
        self._at_eof = False
        # Set while a read waits for bytes.
        self._read_waiter: asyncio.Future[None] | None = None
        # Whether all written bytes have been passed to the kernel.
        self._written = asyncio.Event()
        self._written.set()

    @property
    def is_reading(self) -> bool:
        """Whether a read waits for bytes."""
        return self._read_waiter is not None and not self._read_waiter.done()

    async def send(self, data: bytes) -> None:
        """Write bytes of a request.

        :raises _http.BrokenError: if the connection is closed.
        """
        if not self._transport.is_closing():
            self._transport.write(data)
            await self._written.wait()
        if self._transport.is_closing():
            raise _http.BrokenError("closed while writing")

    async def read_head(self) -> ResponseHead:
        """Return the head of the next response, informational ones excluded.

        :raises _http.BrokenError: if the connection ends before, or the bytes
            received are no HTTP response.
        """
        while True:
            while not (self._responses and self._responses[0].has_head):
                await self._receive()
            first = self._responses[0]
            if first.status >= 200:
                return ResponseHead(first.status, first.headers)
            self._responses.popleft()

    async def read_chunk(self) -> bytes | None:
        """Return what was received of the body; None after its end.

        :raises _http.BrokenError: if the connection ends before the body.
        """
        first = self._responses[0]
        while not first.chunks:
            if first.complete:
                return None
            await self._receive()
        data = b"".join(first.chunks)
        first.chunks.clear()
        self._unread_bytes -= len(data)
        return data

    async def skip_response(self) -> None:
        """Read a response to its end and drop it.

        :raises _http.BrokenError: if it is larger than MAX_SKIPPED_BYTES.
        """
        skipped_bytes = 0
        while (chunk := await self.read_chunk()) is not None:
            skipped_bytes += len(chunk)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise _http.BrokenError("a foreign answer without an end")
        self._take_off_response()

    def finish_response(self) -> bool:
        """Drop the response that was read.

        :returns: whether the connection can carry another request: the
            response was complete, and no bytes followed it.
        """
        finished = self._take_off_response()
        return (
            finished.complete
            and not self._responses
            and not finished.ends_with_connection()
        )

    def _take_off_response(self) -> _ParsedResponse:
        self._framing_bytes = 0
        return self._responses.popleft()

    def note_refusal(self, request_id: bytes) -> None:
        """Record that the replica refused a request on it."""
        self._refused_ids.add(request_id)

    def may_carry(self, request_id: bytes) -> bool:
        """Whether a refusal of a request would be known to be its own."""
        return (
            request_id not in self._refused_ids
            and len(self._refused_ids) <= MAX_REFUSED_IDS
        )

    def interrupt_read(self, error: Exception) -> bool:
        """Raise an error in the read that waits for bytes.

        :returns: whether there is one.
        """
        if self._read_waiter is None or self._read_waiter.done():
            return False
        self._read_waiter.set_exception(error)
        return True

    def is_idle_and_open(self) -> bool:
        """Whether nothing was received, also no EOF, since it was released.

        The kernel may have bytes that the event loop has not read yet.
        """
        if self._responses or self._failure or self._at_eof:
            return False
        if self._transport.is_closing():
            return False
        raw = self._transport.get_extra_info("socket")
        if raw is None:
            # Not a socket: nothing is buffered below the transport.
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close it and drop what wasn't sent."""
        self._transport.abort()

    async def _receive(self) -> None:
        """Wait until more was received, or the connection has ended.

        :raises _http.BrokenError: if nothing more can be received.
        """
        if self._at_eof:
            self._handle_eof()
            return
        if self._failure:
            raise _http.BrokenError(self._failure)
        self._transport.resume_reading()
        self._read_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    def _handle_eof(self) -> None:
        """End the body if EOF delimits it; otherwise raise an error."""
        first = self._responses[0] if self._responses else None
        if (
            first is None
            or not first.has_head
            or not first.ends_with_connection()
        ):
            raise _http.BrokenError("closed before the answer's end")
        first.complete = True

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    # Callbacks of the transport.
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        # "Written" means that the kernel has the bytes.
        self._transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint: int) -> bytearray:
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.feed(memoryview(_READ_BUFFER)[:nbytes])

    def feed(self, data: bytes | memoryview) -> None:
        """Take up to READ_BYTES that were received."""
        if self._failure:
            return
        self._parse(data)
        if self._failure or self._unread_bytes > MAX_UNREAD_BYTES:
            self._transport.pause_reading()
        self._wake_reader()

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes; record a failure if they are no HTTP."""
        self._framing_bytes += len(data)
        try:
            # Its callbacks reset the count if there are bytes of a body.
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._failure = f"no answer: {error}"
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._failure = "no answer: a head or trailer without an end"
        if self._failure and self._responses and self._responses[0].complete:
            # Invalid bytes after a complete response belong to no request.
            # An empty response stands for them, so that finish_response()
            # reports that the connection can't be reused.
            self._responses.append(_ParsedResponse())

    def eof_received(self) -> bool:
        self._at_eof = True
        self._wake_reader()
        # The transport stays open: a request may still be being written.
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._failure = self._failure or "reset while reading"
        self._wake_reader()
        self._written.set()

    def pause_writing(self) -> None:
        self._written.clear()

    def resume_writing(self) -> None:
        self._written.set()

    # Callbacks of the httptools parser.
    def on_message_begin(self) -> None:
        if len(self._responses) > MAX_UNREAD_RESPONSES:
            raise ValueError("too many answers")
        self._responses.append(_ParsedResponse())

    def on_status(self, status: bytes) -> None:
        # A part of the reason phrase, if it was received in several.
        self._responses[-1].reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self._responses[-1].headers
        if len(headers) == MAX_HEADERS:
            raise ValueError("too many headers")
        if _STATUS_LINE.search(value):
            raise ValueError("a head within a head")
        headers.append((name, value))

    def on_headers_complete(self) -> None:
        if _STATUS_LINE.search(self._responses[-1].reason):
            raise ValueError("a head within a head")
        status = self._parser.get_status_code()
        if not _http.MIN_STATUS <= status <= _http.MAX_STATUS:
            raise ValueError(f"status {status:03}")
        self._responses[-1].status = status
        self._responses[-1].has_head = True

    def on_body(self, body: bytes) -> None:
        self._responses[-1].chunks.append(body)
        self._unread_bytes += len(body)
        self._framing_bytes = 0

    def on_message_complete(self) -> None:
        self._responses[-1].complete = True


# Opens a connection; raises ``_http.NotSentError`` if that fails.
Dial = Callable[[_settings.Address], Awaitable[Connection]]


class ConnectionPool:
    """A pool of idle connections by replica."""

    def __init__(self, clock: _clock.Clock, dial: Dial | None = None) -> None:
        self._clock = clock
        self._dial = dial or _dial
        # By the replica's name; the most recently used is last.
        self._idle: dict[str, list[Connection]] = {}

    async def acquire(
        self,
        replica: str,
        address: _settings.Address,
        strict_freshness: bool,
        request_id: bytes = b"",
    ) -> Connection:
        """Return an idle connection, or a new one.

        One on which a request of the same id was refused isn't used again:
        the same id may come from a client's own repeat, or from a hop.

        :param address: idle connections to another address are closed.
        :param request_id: empty if the replica doesn't refuse requests.
        :param strict_freshness: halves the time for which a connection may
            have been idle. For requests that run at most once, which fail if
            the replica closes the connection at the same moment.
        :raises _http.NotSentError: if no connection could be opened.
        """
        idle = self._idle.get(replica, [])
        while idle:
            connection = idle.pop()
            if (
                connection.address == address
                and self._is_fresh(connection, strict_freshness)
                and connection.may_carry(request_id)
                and connection.is_idle_and_open()
            ):
                return connection
            connection.close()
        return await self._dial(address)

    async def check_listener(self, address: _settings.Address) -> None:
        """Return if a process listens at an address, and goes on to.

        A process that ends closes its connections before its listening
        socket, so new connections may succeed for a moment.

        :raises _http.NoListenerError: if a connection is refused.
        :raises _http.NotSentError: if one could not be opened otherwise.
        """
        for pause_ms in PROBE_PAUSES_MS:
            await self._clock.sleep(pause_ms)
            probe = await self._dial(address)
            probe.close()

    async def can_connect(self, address: _settings.Address) -> bool:
        """Return whether a new connection to an address is accepted."""
        try:
            connection = await self._dial(address)
        except _http.NotSentError:
            return False
        connection.close()
        return True

    def release(self, replica: str, connection: Connection) -> None:
        """Keep a connection after a complete response."""
        connection.idle_since = self._clock.now()
        connection.used = True
        self._idle.setdefault(replica, []).append(connection)

    def close_stale(self) -> None:
        """Close connections that were idle for too long or are too many."""
        for replica, idle in list(self._idle.items()):
            kept = [
                c for c in idle if self._is_fresh(c, strict_freshness=False)
            ]
            kept = kept[-MAX_IDLE_PER_REPLICA:]
            stale = [c for c in idle if c not in kept]
            self._idle[replica] = kept
            if not kept:
                del self._idle[replica]
            for connection in stale:
                connection.close()

    def _is_fresh(
        self, connection: Connection, strict_freshness: bool
    ) -> bool:
        """Whether it hasn't been idle for so long that it may be closing."""
        limit: float = min(connection.idle_ms - IDLE_MARGIN_MS, MAX_IDLE_MS)
        if strict_freshness:
            limit /= 2
        return self._clock.now() - connection.idle_since < limit


async def _dial(address: _settings.Address) -> Connection:
    """Open a TCP connection; asyncio turns off Nagle's algorithm.

    :raises _http.NoListenerError: if it is refused, or on another error of
        the OS.
    :raises _http.NotSentError: if it isn't established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_MS / 1000):
            _, connection = await loop.create_connection(
                lambda: Connection(address), address.host, address.port
            )
    except TimeoutError as error:
        raise _http.NotSentError(f"{address} is silent") from error
    except OSError as error:
        raise _http.NoListenerError(f"{address}: {error}") from error
    return connection
