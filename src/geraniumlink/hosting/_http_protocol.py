"""The HTTP protocol with limits of the active configuration."""

from __future__ import annotations

import asyncio
import http
import typing

from geraniumlink import _http_protocol
from geraniumlink.serving import _active_configuration

# Limits until the first configuration is in force.
DEFAULT_IDLE_TIMEOUT_S = 30.0
DEFAULT_HEADER_TIMEOUT_S = 10.0
# The application rejects a request head above the operator's max_header_bytes
# once it is complete. Above this multiple of it, the parser stops reading
# the head, so as not to keep it in memory.
PARSER_HEADER_FACTOR = 4
# High-water mark of a client's write buffer: above it, no more of the response
# is read.
MAX_UNSENT_BYTES = 8192
# In place of max_header_bytes until the first configuration is in force.
DEFAULT_MAX_HEADER_BYTES = 65536


def make_limited_protocol(
    active_configuration: _active_configuration.ActiveConfiguration,
    is_draining: typing.Callable[[], bool],
) -> type[asyncio.Protocol]:
    """Return a protocol class with the limits of the active configuration.

    While the instance drains, a connection is closed after its response, even
    if the response began before and has no ``connection: close`` header.
    """

    class LimitedProtocol(_LimitedProtocol):
        _active_configuration = active_configuration
        _is_draining = staticmethod(is_draining)

    return LimitedProtocol


class _LimitedProtocol(_http_protocol.HttpProtocol):
    """Limits the time and size of heads, and the idle time of connections.

    The limits are read at each use, so that a new configuration also applies
    to open connections.
    """

    _active_configuration: _active_configuration.ActiveConfiguration
    _is_draining: typing.Callable[[], bool]
    _header_timer: asyncio.TimerHandle | None = None
    _header_bytes = 0

    @property
    def _idle_s(self) -> float:
        """How long a connection may stay open without a request."""
        current = self._active_configuration.current
        return (
            current.limits.idle_timeout_ms / 1000
            if current
            else DEFAULT_IDLE_TIMEOUT_S
        )

    @property
    def _header_timeout_s(self) -> float:
        """How long a client may take to send a request head."""
        current = self._active_configuration.current
        if current is None:
            return DEFAULT_HEADER_TIMEOUT_S
        return current.limits.header_timeout_ms / 1000

    @property
    def _parser_header_limit_bytes(self) -> int:
        """Size of header names and values at which parsing fails."""
        current = self._active_configuration.current
        if current is None:
            return PARSER_HEADER_FACTOR * DEFAULT_MAX_HEADER_BYTES
        return PARSER_HEADER_FACTOR * current.limits.max_header_bytes

    def connection_made(self, transport: typing.Any) -> None:
        super().connection_made(transport)
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_header_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._header_bytes = 0
        self._start_header_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._parser_header_limit_bytes:
            raise ValueError("the request head is too large")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._stop_header_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
        has_next = self.has_next_request
        super().on_response_complete()
        if self._is_draining() and not has_next:
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, or wait on if the limit was raised."""
        if self._idle_s > self.timeout_keep_alive:
            remaining_s = self._idle_s - self.timeout_keep_alive
            self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
            self.timeout_keep_alive_task = self.loop.call_later(
                remaining_s, self.timeout_keep_alive_handler
            )
            return
        super().timeout_keep_alive_handler()

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
                http.HTTPStatus.REQUEST_TIMEOUT, "the head takes too long"
            )

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            self._header_timeout_s, self._on_header_timeout
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
