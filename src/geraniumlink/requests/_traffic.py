"""Counts the bytes of control messages, including their HTTP headers."""

from __future__ import annotations

from collections.abc import Iterable

Headers = Iterable[tuple[bytes, bytes]]
# Estimate for a request line such as "POST /exchange HTTP/1.1", or a status
# line such as "HTTP/1.1 200 OK", with the empty line after the headers.
_FIRST_LINE_BYTES = 28


class Traffic:
    """Counters of the bytes of HTTP messages, without TCP and IP headers."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0

    def count_sent(self, headers: Headers, body: bytes) -> None:
        self.sent_bytes += _message_bytes(headers, body)

    def count_received(self, headers: Headers, body: bytes) -> None:
        self.received_bytes += _message_bytes(headers, body)


def _message_bytes(headers: Headers, body: bytes) -> int:
    """Return the size of a message; 4 bytes separate and end each header."""
    head = sum(len(name) + len(value) + 4 for name, value in headers)
    return _FIRST_LINE_BYTES + head + len(body)
