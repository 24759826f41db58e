"""Splits a stream of server-sent events into complete events.

Only complete events are relayed, so that a stream that breaks can be resumed
at another replica after the last one.
"""

from __future__ import annotations

import re

# WHATWG HTML Standard, "Server-sent events": a blank line ends an event, and
# CRLF, LF or CR ends a line. A CR that was received last may be half a CRLF.
_EVENT_END = re.compile(rb"\n\r?\n|\n\r(?=[^\n])|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Buffers bytes until they form a complete event."""

    def __init__(self) -> None:
        self._partial_event = b""
        self._first_id = b""
        self._last_id = b""

    @property
    def first_id(self) -> bytes:
        """The id of the first complete event that has one; else empty."""
        return self._first_id

    @property
    def last_id(self) -> bytes:
        """The id of the last complete event that has one; else empty."""
        return self._last_id

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event was received, but not its end."""
        return bool(self._partial_event.strip(b"\r\n"))

    @property
    def partial_event(self) -> bytes:
        """The bytes received after the last complete event."""
        return self._partial_event

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are complete now, unchanged."""
        data = self._partial_event + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        self._partial_event = data[end:]
        whole = data[:end]
        ids = _ID_LINE.findall(whole)
        if ids:
            self._first_id = self._first_id or ids[0]
            self._last_id = ids[-1]
        return whole
