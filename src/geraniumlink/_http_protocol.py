"""uvicorn's HTTP protocol, which drops no request as a connection ends.

A client may send a request before the response to the one before is complete
(pipelining, RFC 9112, section 9.3.2). uvicorn keeps such requests in a queue,
which is lost if a response has ``connection: close``.

A connection that is closed with unread bytes is reset, and the client may lose
the response. So a connection is closed in two steps (section 9.6): its sending
side first, the rest a little later.
"""

from __future__ import annotations

import asyncio
import contextlib
import http
import select
import typing

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

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


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """Serves the requests of one connection in turn.

    An ASGI scope has ``target`` besides, the request target as the client
    sent it, ``age_ms``, which tells how long ago its head was received, and
    ``has_next_request``, which tells whether a part of a further request has
    been received. A response to a request that isn't the last one must not
    have ``connection: close``.
    """

    # The request whose response is being sent, or was sent last.
    _current: httptools_impl.RequestResponseCycle | None = None
    _head_complete = True
    # The request being received asks for another protocol. It is parsed again
    # without that.
    _offers_upgrade = False
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
    # The client has asked to close the connection.
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
    def lingers(self) -> bool:
        """Whether only the sending side of the connection has been closed."""
        return self._linger_timer is not None

    def connection_made(self, transport: typing.Any) -> None:
        self._whole_transport = transport
        super().connection_made(
            typing.cast(typing.Any, _ClosingTransport(transport, self))
        )
        self._unparsed = bytearray()
        self.flow: _FlowControl = _FlowControl(
            self.transport, lambda: not self._unparsed and self._has_room
        )

    def connection_lost(self, exc: Exception | None) -> None:
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

    def refuse_rest(self, status: http.HTTPStatus, reason: str) -> None:
        """Refuse what is being received, after all responses before it.

        Nothing that is received later is served.
        """
        if self._refusal is not None or self.transport.is_closing():
            return
        _logs.event("bad_request", status=int(status), reason=reason)
        self._refusal = _Refusal(status, reason)
        self._unparsed.clear()
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
        status, reason = refusal
        self._whole_transport.write(
            f"HTTP/1.1 {int(status)} {status.phrase}\r\n"
            "content-type: text/plain; charset=utf-8\r\n"
            f"content-length: {len(reason)}\r\n"
            f"connection: close\r\n\r\n{reason}".encode()
        )
        self.close_connection()

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
                size = self._feed(bytes(self._unparsed[:MAX_PARSED_BYTES]))
                del self._unparsed[:size]
        except httptools.HttpParserError:
            self.refuse_rest(
                http.HTTPStatus.BAD_REQUEST, "this is not an HTTP request"
            )
        if self._unparsed and self._refusal is None:
            self.flow.pause_reading()

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
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        # Fields behind the body are not part of the head (RFC 9110, section
        # 6.5.1).
        if not self._head_complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self.parser.get_method() == b"CONNECT":
            self.refuse_rest(
                http.HTTPStatus.NOT_IMPLEMENTED, "this is no HTTP tunnel"
            )
            return
        self._offers_upgrade = self.parser.should_upgrade()
        if self._offers_upgrade:
            return
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
        super().on_message_complete()
        if self._reads_last:
            self.flow.end_reading()

    def on_response_complete(self) -> None:
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
        # It has been running if the head began before the last response ended.
        self._unset_keepalive_if_required()
        super()._start_asgi_task(cycle, app)
