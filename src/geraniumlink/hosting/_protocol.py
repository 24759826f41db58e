"""uvicorn's HTTP protocol with the limits of the configuration in force."""

from __future__ import annotations

import asyncio
import typing

from uvicorn.protocols.http import httptools_impl

from geraniumlink.serving import _active_configuration

# Before there is a configuration.
DEFAULT_IDLE_S = 30.0
DEFAULT_HEADER_S = 10.0
# Past the operator's bound, a head is not even kept until its end.
HARD_HEADER_FACTOR = 4
DEFAULT_HEADER_BYTES = 65536


def limited_protocol(
    active_configuration: _active_configuration.ActiveConfiguration,
    is_draining: typing.Callable[[], bool],
) -> type[asyncio.Protocol]:
    """Return a protocol class that reads its limits from a configuration.

    While the instance drains, a connection is closed after its answer, also
    where the answer began before and couldn't announce it.
    """

    class LimitedProtocol(_LimitedProtocol):
        _active_configuration = active_configuration
        _is_draining = staticmethod(is_draining)

    return LimitedProtocol


class _LimitedProtocol(httptools_impl.HttpToolsProtocol):
    _active_configuration: _active_configuration.ActiveConfiguration
    _is_draining: typing.Callable[[], bool]
    _header_timer: asyncio.TimerHandle | None = None
    _header_bytes = 0

    @property
    def _idle_s(self) -> float:
        current = self._active_configuration.current
        return (
            current.limits.idle_timeout_ms / 1000
            if current
            else DEFAULT_IDLE_S
        )

    @property
    def _header_s(self) -> float:
        current = self._active_configuration.current
        if current is None:
            return DEFAULT_HEADER_S
        return current.limits.header_timeout_ms / 1000

    @property
    def _most_header_bytes(self) -> int:
        current = self._active_configuration.current
        if current is None:
            return HARD_HEADER_FACTOR * DEFAULT_HEADER_BYTES
        return HARD_HEADER_FACTOR * current.limits.max_header_bytes

    def connection_made(self, transport: typing.Any) -> None:
        super().connection_made(transport)
        self._arm_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_header_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._header_bytes = 0
        self._header_timer = self.loop.call_later(
            self._header_s, self._take_header_timeout
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._most_header_bytes:
            raise ValueError("the head is too large")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._stop_header_timer()
        super().on_headers_complete()
        # As it was sent; the path and query in the scope are split.
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
        super().on_response_complete()
        if self._is_draining():
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless the limit was raised meanwhile."""
        if self._idle_s > self.timeout_keep_alive:
            longer_s = self._idle_s - self.timeout_keep_alive
            self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
            self.timeout_keep_alive_task = self.loop.call_later(
                longer_s, self.timeout_keep_alive_handler
            )
            return
        super().timeout_keep_alive_handler()

    def _arm_idle(self) -> None:
        self.timeout_keep_alive = self._idle_s  # type: ignore[assignment]
        self.timeout_keep_alive_task = self.loop.call_later(
            self._idle_s, self.timeout_keep_alive_handler
        )

    def _take_header_timeout(self) -> None:
        self._header_timer = None
        if not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n"
                b"connection: close\r\n\r\n"
            )
            self.transport.close()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
