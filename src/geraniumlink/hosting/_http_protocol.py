"""The HTTP protocol with limits of the active configuration."""

from __future__ import annotations

import asyncio
import http
import typing

from geraniumlink import _connection_limits
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


class Tables(typing.NamedTuple):
    """The tables of an instance's connections, by the port of a listener."""

    client_port: int
    peer_port: int
    clients: _connection_limits.ConnectionTable
    # Of all other listeners.
    internal: _connection_limits.ConnectionTable

    def find(self, port: int) -> _connection_limits.ConnectionTable:
        """Return the table of a listener."""
        return self.clients if port == self.client_port else self.internal


def make_limited_protocol(
    active_configuration: _active_configuration.ActiveConfiguration,
    is_draining: typing.Callable[[], bool],
    tables: Tables | None = None,
) -> type[asyncio.Protocol]:
    """Return a protocol class with the limits of the active configuration.

    :param tables: of the connections, if the process has tables.

    While the instance drains, a connection is closed after its response, even
    if the response began before and has no ``connection: close`` header.
    """

    connection_tables = tables

    class LimitedProtocol(_LimitedProtocol):
        _tables = connection_tables
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
    _tables: Tables | None = None

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
    def _max_head_bytes(self) -> int:
        """Size of a head, as it is sent, above which it isn't received."""
        current = self._active_configuration.current
        if current is None:
            return PARSER_HEADER_FACTOR * DEFAULT_MAX_HEADER_BYTES
        return PARSER_HEADER_FACTOR * current.limits.max_header_bytes

    def connection_made(self, transport: typing.Any) -> None:
        if self._tables is not None:
            port = transport.get_extra_info("sockname")[1]
            self._table = self._tables.find(port)
            if port == self._tables.peer_port:
                # The instance that relays a request would take 503 for the
                # answer of a run, and goes elsewhere after this.
                self._no_room_status = http.HTTPStatus.MISDIRECTED_REQUEST
        super().connection_made(transport)
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)

    def on_response_complete(self) -> None:
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
