"""uvicorn's HTTP protocol, which drops no request as a connection ends.

A client may send a request before the response to the one before is complete
(pipelining, RFC 9112, section 9.3.2). uvicorn keeps such requests in a queue,
which is lost if a response has ``connection: close``.

A connection that is closed with unread bytes is reset, and the client may lose
the response. So a connection is closed in two steps (section 9.6): its sending
side first, the rest a little later.

Bytes that a client sends are bounded before they are kept: what is read at
once, what precedes a request, its head, what frames its body, and what all
connections hold (``_connection_limits``).
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http
import select
import typing

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from geraniumlink import _connection_limits
from geraniumlink import _logs

# After a response to a request that was not received whole, the rest of it is
# discarded: until the client closes the connection, but no longer and no more
# than this.
DISCARD_TIMEOUT_MS = 2000
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
# Requests that may wait behind another one before no more are read. While
# reading is paused, the client's end of the connection isn't noticed. As many
# bytes as are parsed at once may hold further ones.
MAX_QUEUED_REQUESTS = 4
MAX_PARSED_BYTES = 4096
# The end of a body in chunks isn't known before it is parsed, and as many
# bytes may hold further requests.
MAX_PARSED_CHUNK_BYTES = 512
# Size of the receive buffer. As much may be unparsed on each connection.
READ_BYTES = 8192
# Limit of empty lines before a request, which the parser skips without a call
# back. RFC 9112, section 2.2, asks to accept one; more are allowed for clients
# that send some between requests.
MAX_EMPTY_BYTES = 1024
# Limit of chunk sizes, chunk extensions and trailers without a byte of a body
# between them.
MAX_FRAMING_BYTES = 16_384
# Default limits of a request's head, as it is sent, and of its fields: one
# field for this many bytes. A field is kept in three objects of at least 33
# bytes each besides its text.
MAX_HEAD_BYTES = 65_536
MIN_FIELD_BYTES = 16
FIELD_OVERHEAD_BYTES = 128
# What a request takes besides its text.
REQUEST_OVERHEAD_BYTES = 2048
# How long a client may take to send a head, by default.
HEADER_TIMEOUT_S = 10.0
# How long a client has to receive a response behind which it has sent bytes
# that are not read.
UNREAD_LINGER_MS = 500


def has_unread_bytes(transport: typing.Any) -> bool:
    """Whether the socket's receive buffer has bytes, or the client's end."""
    sock = transport.get_extra_info("socket")
    if transport.is_closing() or sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _content_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the length of a body; None if it is in chunks.

    The parser has checked it.
    """
    length: int | None = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length


class _Refusal(typing.NamedTuple):
    status: http.HTTPStatus
    reason: str


class _FlowControl(flow_control.FlowControl):
    """Flow control that doesn't read what there is no room for.

    uvicorn reads on after each response, and as a request is begun.
    """

    def __init__(
        self,
        transport: typing.Any,
        has_room: typing.Callable[[], bool],
    ) -> None:
        super().__init__(transport)
        self._has_room = has_room
        self._ended = False

    @property
    def has_ended(self) -> bool:
        """Whether nothing more is read."""
        return self._ended

    def end_reading(self) -> None:
        """Leave what the client sends from now on unread."""
        self.pause_reading()
        self._ended = True

    def read_on(self) -> None:
        """Read on while what has been received is still being parsed."""
        if not self._ended:
            super().resume_reading()

    def resume_reading(self) -> None:
        if self._has_room():
            self.read_on()


class _ClosingTransport:
    """A transport that the protocol closes in its own way."""

    def __init__(self, transport: typing.Any, protocol: HttpProtocol) -> None:
        self._transport = transport
        self._protocol = protocol

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Whether the connection is being closed, also in the first step."""
        return self._protocol.lingers or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Send a part of a response."""
        self._transport.write(data)
        self._protocol.response_written()

    def close(self) -> None:
        """Close the connection once its response has been sent."""
        self._protocol.close_connection()


class HttpProtocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """Serves the requests of one connection in turn.

    An ASGI scope has ``target`` besides, the request target as the client
    sent it, ``age_ms``, which tells how long ago its head was received, and
    ``has_next_request``, which tells whether a part of a further request has
    been received. A response to a request that isn't the last one must not
    have ``connection: close``.
    """

    # All connections of the process, unless a subclass has another table.
    _table = _connection_limits.ConnectionTable(
        _connection_limits.DEFAULT_LIMITS
    )
    # Status of a refusal for want of room.
    _no_room_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    # Bytes are copied from it before the event loop reads again.
    _receive_buffer = memoryview(bytearray(READ_BYTES))
    # The request whose response is being sent, or was sent last.
    _current: httptools_impl.RequestResponseCycle | None = None
    _head_complete = True
    # The request being received asks for another protocol. It is parsed again
    # without that.
    _offers_upgrade = False
    # The bytes parsed last have the end of a request.
    _ended_request = False
    # A part of a request has been received, and its end hasn't.
    _receives_request = False
    # The response to what was received behind the last request in the queue
    # and can't be served.
    _refusal: _Refusal | None = None
    # Ends the second step of closing the connection.
    _linger_timer: asyncio.TimerHandle | None = None
    _discarded_bytes = 0
    # One further request is read at most.
    _reads_last = False
    # Bytes received since the last request ended, before the next one.
    _empty_bytes = 0
    # Of the request being received: the bytes of its head; those held, with
    # what they take besides; and those of the body that are still to come,
    # None for a body in chunks.
    _head_bytes = 0
    _request_bytes = 0
    _body_left: int | None = 0
    # Bytes that frame the body, received since its last byte.
    _framing_bytes = 0
    _header_timer: asyncio.TimerHandle | None = None
    # When a part of a response was written, or the client had read enough for
    # a further one, in seconds of the event loop.
    _last_written = 0.0
    # The client has asked to close the connection after the current response.
    _asks_to_close = False

    @property
    def has_next_request(self) -> bool:
        """Whether a part of a request behind the current one was received."""
        return (
            bool(self.pipeline or self._unparsed)
            or not self._head_complete
            or self._refusal is not None
        )

    @property
    def stage(self) -> _connection_limits.Stage:
        """See ``_connection_limits.Connection``."""
        stages = _connection_limits.Stage
        if self._whole_transport.get_write_buffer_size():
            stalled_s = self.loop.time() - self._last_written
            is_stalled = stalled_s > self._idle_s
            return stages.STALLED if is_stalled else stages.SERVING
        if self.lingers or self._whole_transport.is_closing():
            return stages.ENDING
        if self._is_serving and self._accepted:
            return stages.SERVING
        if self._current is None or self._receives_request:
            return stages.UNUSED
        if has_unread_bytes(self._whole_transport):
            # A request has arrived, and will be read next.
            return stages.SERVING
        return stages.IDLE

    @property
    def incomplete_bytes(self) -> int:
        """See ``_connection_limits.Connection``."""
        return self._request_bytes if self._receives_request else 0

    @property
    def _idle_s(self) -> float:
        """How long a connection may stay open without a request."""
        return self.config.timeout_keep_alive

    @property
    def _header_timeout_s(self) -> float:
        """How long a client may take to send a request head."""
        return HEADER_TIMEOUT_S

    @property
    def _max_head_bytes(self) -> int:
        """Size of a head, as it is sent, above which it isn't received."""
        return MAX_HEAD_BYTES

    @property
    def lingers(self) -> bool:
        """Whether only the sending side of the connection has been closed."""
        return self._linger_timer is not None

    def connection_made(self, transport: typing.Any) -> None:
        self._whole_transport = transport
        super().connection_made(
            typing.cast(typing.Any, _ClosingTransport(transport, self))
        )
        self._unparsed = bytearray()
        # Bytes held of the requests that were received whole, in turn.
        self._accepted: collections.deque[int] = collections.deque()
        self.flow: _FlowControl = _FlowControl(
            self.transport, lambda: not self._unparsed and self._has_room
        )
        self._start_idle_timer()
        self._table.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._table.remove(self)
        self._stop_header_timer()
        self._unset_keepalive_if_required()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self.pipeline and self._current is not None:
            _logs.event(
                "requests_dropped",
                requests=len(self.pipeline),
                response_complete=self._current.response_complete,
            )
        if self._current is not None:
            self._current.disconnected = True
            self._current.message_event.set()
        super().connection_lost(exc)

    def resume_writing(self) -> None:
        self._last_written = self.loop.time()
        super().resume_writing()

    def refuse_incomplete(self) -> None:
        """See ``_connection_limits.Connection``."""
        self.refuse_rest(
            self._no_room_status,
            "too much is being received",
            _connection_limits.Cause.RECEIVED_BYTES,
        )
        # It stays held if it can't be refused, as its response has begun.
        self._request_bytes = 0
        self._note_held()

    def close_for_room(self) -> None:
        """See ``_connection_limits.Connection``."""
        if (
            self.stage == _connection_limits.Stage.UNUSED
            and self._receives_request
        ):
            self._write_refusal(
                _Refusal(
                    self._no_room_status,
                    "there are too many connections",
                )
            )
        if self._current is not None:
            self._current.disconnected = True
            self._current.message_event.set()
        if self._whole_transport.get_write_buffer_size():
            # What the client doesn't read would keep it open.
            self._whole_transport.abort()
        else:
            self._whole_transport.close()

    def _note_held(self) -> None:
        """Tell how many received bytes this connection holds."""
        self._table.hold(
            self,
            len(self._unparsed) + self._request_bytes + sum(self._accepted),
        )

    def _drop_incomplete(self) -> None:
        """Forget what was received of a request that is refused."""
        self._stop_header_timer()
        self._unparsed.clear()
        self._request_bytes = 0
        if self._receives_request and self._head_complete:
            # A task that is due still starts with the head.
            self.loop.call_soon(self._forget, self.cycle)
            self.cycle.body = bytearray()
        # The parser and these keep the parts of a head. An application that
        # reads the request has them, too.
        self.url = b""
        self.headers = []
        self.scope = typing.cast(typing.Any, {})
        self._make_parser()
        self._note_held()

    def _forget(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Forget a request that was answered or refused.

        Its connection may stay open for long.
        """
        if self.scope is cycle.scope:
            self.url = b""
            self.headers = []
            self.scope = typing.cast(typing.Any, {})
        cycle.scope = typing.cast(typing.Any, {})
        cycle.body = bytearray()

    def _start_idle_timer(self) -> None:
        """Close a new connection on which no request begins in time."""
        self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
        self.timeout_keep_alive_task = self.loop.call_later(
            self._idle_s, self.timeout_keep_alive_handler
        )

    def _on_header_timeout(self) -> None:
        """Refuse a request whose head is incomplete."""
        self._header_timer = None
        if self.flow.read_paused:
            # The rest of the head may have arrived.
            self._start_header_timer()
        else:
            self.refuse_rest(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "the head takes too long",
                _connection_limits.Cause.TIMEOUT,
            )

    def _start_header_timer(self) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(
            self._header_timeout_s, self._on_header_timeout
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def close_connection(self) -> None:
        """Close the connection so that a response is not lost in a reset."""
        if self.lingers or self._whole_transport.is_closing():
            return
        if self._receives_request:
            self._linger(DISCARD_TIMEOUT_MS)
            self._unparsed.clear()
            self.flow.read_on()
        elif has_unread_bytes(self._whole_transport):
            self._linger(UNREAD_LINGER_MS)
            self.flow.pause_reading()
        else:
            self._whole_transport.close()

    def _linger(self, timeout_ms: int) -> None:
        self._unset_keepalive_if_required()
        # The client may have reset the connection already.
        with contextlib.suppress(OSError):
            self._whole_transport.write_eof()
        self._linger_timer = self.loop.call_later(
            timeout_ms / 1000, self._whole_transport.close
        )

    def response_written(self) -> None:
        """Read no further if the response says that it is the last one.

        A client that asks for that itself sends nothing more; reading goes on
        there, so that its end of the connection is noticed.
        """
        self._last_written = self.loop.time()
        if (
            self._current is not None
            and not self._current.keep_alive
            and not self._asks_to_close
            and not self._receives_request
        ):
            self.flow.end_reading()

    def read_last_request(self) -> None:
        """Serve what has been received, and one request at most.

        Otherwise a client that always sends a request before it has the
        response to the one before would hold up a shutdown.
        """
        self._reads_last = True

    @property
    def _has_room(self) -> bool:
        return len(self.pipeline) < MAX_QUEUED_REQUESTS

    @property
    def _is_serving(self) -> bool:
        return (
            self._current is not None and not self._current.response_complete
        )

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless a request has just arrived."""
        if has_unread_bytes(self._whole_transport):
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )
        else:
            super().timeout_keep_alive_handler()

    def shutdown(self) -> None:
        """Close the connection, or have its response be the last one."""
        if self.lingers:
            self._whole_transport.close()
        else:
            super().shutdown()

    def refuse_rest(
        self,
        status: http.HTTPStatus,
        reason: str,
        cause: _connection_limits.Cause,
    ) -> None:
        """Refuse what is being received, after all responses before it.

        Nothing that is received later is served.
        """
        if self._refusal is not None or self.transport.is_closing():
            return
        if self._table.may_log_refusal():
            _logs.event("bad_request", status=int(status), reason=reason)
        self._table.count_refusal(cause)
        self._refusal = _Refusal(status, reason)
        self._drop_incomplete()
        if not self._receives_request or not self._head_complete:
            if not self._is_serving:
                self._send_refusal(self._refusal)
        elif self.pipeline and self.pipeline[0][0] is self.cycle:
            self.pipeline.popleft()
        else:
            self._end_current(self._refusal)

    def _end_current(self, refusal: _Refusal) -> None:
        """Refuse the current request, unless its response has begun."""
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        if self.cycle.response_started:
            self.close_connection()
        else:
            self._send_refusal(refusal)

    def _send_refusal(self, refusal: _Refusal) -> None:
        self._write_refusal(refusal)
        self.close_connection()

    def _write_refusal(self, refusal: _Refusal) -> None:
        status, reason = refusal
        self._whole_transport.write(
            f"HTTP/1.1 {int(status)} {status.phrase}\r\n"
            "content-type: text/plain; charset=utf-8\r\n"
            f"content-length: {len(reason)}\r\n"
            f"connection: close\r\n\r\n{reason}".encode()
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the event loop has read."""
        self.data_received(bytes(self._receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.lingers:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._whole_transport.close()
        elif self._refusal is None:
            self._unparsed += data
            self._parse()

    def _parse(self) -> None:
        """Parse what has been received while there is room in the queue."""
        try:
            while self._unparsed and self._refusal is None and self._has_room:
                data = bytes(self._unparsed[: self._part_bytes])
                size = self._feed(data)
                del self._unparsed[:size]
                self._check_limits(size)
        except httptools.HttpParserError:
            self.refuse_rest(
                http.HTTPStatus.BAD_REQUEST,
                "this is not an HTTP request",
                _connection_limits.Cause.INVALID,
            )
        if self._unparsed and self._refusal is None:
            self.flow.pause_reading()
        self._note_held()

    @property
    def _part_bytes(self) -> int:
        """How many bytes to parse now, so that requests end with them.

        Otherwise the smallest requests would exceed the room in the queue
        many times.
        """
        if self._receives_request and self._head_complete:
            if self._body_left is None:
                return MAX_PARSED_CHUNK_BYTES
            return self._body_left or MAX_PARSED_BYTES
        end = self._unparsed.find(b"\n\r\n", 0, MAX_PARSED_BYTES)
        return end + 3 if end >= 0 else MAX_PARSED_BYTES

    def _check_limits(self, size: int) -> None:
        """Refuse a request with too large a part.

        :param size: how many bytes have just been parsed.
        """
        if self._refusal is not None:
            return
        if not self._receives_request:
            self._check_empty(size)
        elif not self._head_complete:
            self._head_bytes += size
            self._request_bytes += size
            self._check_head()
        else:
            self._framing_bytes += size
            if self._framing_bytes > MAX_FRAMING_BYTES:
                self.refuse_rest(
                    http.HTTPStatus.BAD_REQUEST,
                    "the framing of the body is too large",
                    _connection_limits.Cause.FRAMING,
                )

    def _check_empty(self, size: int) -> None:
        if self._ended_request:
            self._ended_request = False
            return
        self._empty_bytes += size
        # Behind a request that asks to close the connection, everything is
        # ignored.
        if self._empty_bytes > MAX_EMPTY_BYTES and (
            self.cycle is None or self.cycle.keep_alive
        ):
            self.refuse_rest(
                http.HTTPStatus.BAD_REQUEST,
                "there are too many empty lines before a request",
                _connection_limits.Cause.FRAMING,
            )

    def _check_head(self) -> None:
        limit = self._max_head_bytes
        if (
            self._head_bytes <= limit
            and len(self.headers) <= limit // MIN_FIELD_BYTES
        ):
            return
        if 2 * len(self.url) > self._head_bytes:
            self.refuse_rest(
                http.HTTPStatus.REQUEST_URI_TOO_LONG,
                "the target is too long",
                _connection_limits.Cause.TARGET,
            )
        else:
            self.refuse_rest(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head is too large",
                _connection_limits.Cause.HEAD,
            )

    def _feed(self, data: bytes) -> int:
        """Pass bytes to the parser; return how many it has used."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade()
            (used_bytes,) = upgrade.args
            return int(used_bytes)
        return len(data)

    def _decline_upgrade(self) -> None:
        """Parse the head again, without the offer to upgrade.

        The parser takes the body of such a request, too, for bytes of the
        other protocol. HTTP allows to ignore an offer (RFC 9110, section
        7.8).
        """
        if not self._offers_upgrade:
            return
        version = self.parser.get_http_version().encode()
        lines = [self.parser.get_method(), b" ", self.url, b" HTTP/", version]
        for name, value in self.headers:
            if name != b"upgrade":
                lines += [b"\r\n", name, b": ", value]
        self._offers_upgrade = False
        self._make_parser()
        self.parser.feed_data(b"".join([*lines, b"\r\n\r\n"]))

    def _make_parser(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        # As uvicorn sets it: requests behind one that asks to close the
        # connection are ignored, and no error.
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)

    def on_message_begin(self) -> None:
        self._unset_keepalive_if_required()
        self._head_complete = False
        self._receives_request = True
        self._empty_bytes = self._head_bytes = self._framing_bytes = 0
        self._request_bytes = REQUEST_OVERHEAD_BYTES
        self._start_header_timer()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        # Fields behind the body are not part of the head (RFC 9110, section
        # 6.5.1).
        if not self._head_complete:
            self._request_bytes += FIELD_OVERHEAD_BYTES
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        if self._refusal is not None:
            return
        self._framing_bytes = -len(body)
        if self._body_left is not None:
            self._body_left -= len(body)
        if not self.cycle.response_complete:
            self._request_bytes += len(body)
        super().on_body(body)

    def on_headers_complete(self) -> None:
        self._stop_header_timer()
        if self.parser.get_method() == b"CONNECT":
            self.refuse_rest(
                http.HTTPStatus.NOT_IMPLEMENTED,
                "this is no HTTP tunnel",
                _connection_limits.Cause.INVALID,
            )
            return
        self._offers_upgrade = self.parser.should_upgrade()
        if self._offers_upgrade:
            return
        # May refuse this request.
        self._note_held()
        if self._refusal is not None:
            return
        self._body_left = _content_length(self.headers)
        # Fails if the target is malformed.
        super().on_headers_complete()
        self._head_complete = True
        scope = typing.cast(dict[str, typing.Any], self.scope)
        if self._has_room:
            self.flow.read_on()
        # ASGI only has the decoded path and the query apart.
        scope["target"] = self.url
        scope["has_next_request"] = lambda: self.has_next_request
        received_at = self.loop.time()
        scope["age_ms"] = lambda: int(1000 * (self.loop.time() - received_at))

    def on_message_complete(self) -> None:
        if self._offers_upgrade or self._refusal is not None:
            return
        self._receives_request = False
        self._ended_request = True
        self._table.note_use(self)
        if self._is_serving:
            self._accepted.append(self._request_bytes)
        self._request_bytes = 0
        super().on_message_complete()
        if self._reads_last:
            self.flow.end_reading()

    def on_response_complete(self) -> None:
        if self._accepted:
            self._accepted.popleft()
        else:
            # The rest of the body is dropped.
            self._request_bytes = 0
        if self._current is not None:
            self._forget(self._current)
        self._note_held()
        self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._unparsed:
            self._parse()
            self.flow.resume_reading()
        if self._is_serving:
            return
        if self._refusal is not None:
            self._send_refusal(self._refusal)
        elif self.flow.has_ended:
            self.close_connection()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        self._current = cycle
        # Not yet changed by a response.
        self._asks_to_close = not cycle.keep_alive
        # It has been running if the head began before the last response ended.
        self._unset_keepalive_if_required()
        super()._start_asgi_task(cycle, app)


def make_protocol(
    table: _connection_limits.ConnectionTable,
) -> type[asyncio.Protocol]:
    """Return a protocol class whose connections are in a table."""

    class TableProtocol(HttpProtocol):
        _table = table

    return TableProtocol
