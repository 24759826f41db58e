"""Counts the bytes of control messages, with their HTTP heads."""

from __future__ import annotations

from collections.abc import Iterable

Headers = Iterable[tuple[bytes, bytes]]
# "POST /exchange HTTP/1.1" or "HTTP/1.1 200 OK", and the empty line.
_FIRST_LINE_BYTES = 28


class Traffic:
    """Bytes of HTTP messages, without those of TCP and IP."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0

    def count_sent(self, headers: Headers, body: bytes) -> None:
        self.sent_bytes += _message_bytes(headers, body)

    def count_received(self, headers: Headers, body: bytes) -> None:
        self.received_bytes += _message_bytes(headers, body)


def _message_bytes(headers: Headers, body: bytes) -> int:
    head = sum(len(name) + len(value) + 4 for name, value in headers)
    return _FIRST_LINE_BYTES + head + len(body)
