"""Splits a stream into whole events, so that it can go on elsewhere."""

from __future__ import annotations

import re

# WHATWG HTML, server-sent events: a blank line ends an event.
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Holds back what isn't a whole event yet."""

    def __init__(self) -> None:
        self._partial_event = b""
        self._last_id = b""

    @property
    def last_id(self) -> bytes:
        """The id of the last whole event; empty before the first."""
        return self._last_id

    @property
    def partial_event(self) -> bytes:
        """What came after the last whole event."""
        return self._partial_event

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole now, as they came."""
        data = self._partial_event + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        self._partial_event = data[end:]
        whole = data[:end]
        ids = _ID_LINE.findall(whole)
        if ids:
            self._last_id = ids[-1]
        return whole
