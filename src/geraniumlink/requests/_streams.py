"""Puts the chunks of one answer in order, and tells whole from cut.

What is handed out is always a prefix of the answer. Nothing is handed out
from a stream that contradicts itself: there is no telling which side of the
contradiction is true.
"""

from __future__ import annotations

import typing

# An engine that leaves more tokens than this behind a gap has lost chunks;
# the answer is then resumed at the gap.
MAX_BUFFERED_TOKENS = 1024


class Chunk(typing.NamedTuple):
    """Tokens of an answer from ``offset`` on, as a backend server sent it."""

    request_id: str
    offset: int
    tokens: tuple[str, ...]


class End(typing.NamedTuple):
    """The explicit end: the answer has ``token_count`` tokens in all."""

    request_id: str
    token_count: int


class BrokenStreamError(Exception):
    """The chunks received can't become the whole answer."""


class Reassembly:
    """Accepts late, duplicated, reordered and foreign chunks of one answer.

    ``take`` returns the tokens that can go to the caller now. The answer is
    whole when ``ended`` is true: an end was received and no token before it
    is missing.
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._offset = 0
        # Tokens behind a gap, by their place in the answer.
        self._buffered: dict[int, str] = {}
        self._end: int | None = None
        self._foreign_chunks = 0

    @property
    def offset(self) -> int:
        """Tokens handed out, and where a resumed answer goes on."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        return self._end == self._offset

    @property
    def foreign_chunks(self) -> int:
        """Chunks dropped because they belong to another request."""
        return self._foreign_chunks

    def resume(self) -> None:
        """Begin with another stream of the same answer at ``offset``.

        What the former stream left behind a gap, and its end, are dropped:
        that stream broke, so its word is not held against the next one.
        """
        self._buffered.clear()
        self._end = None

    def accept(self, message: Chunk | End) -> tuple[str, ...]:
        """Return the tokens that are now in order, perhaps none.

        :raises BrokenStreamError: if the answer can't become whole; no
            token of this message has then been counted in ``offset``.
        """
        if message.request_id != self._request_id:
            self._foreign_chunks += 1
            return ()
        match message:
            case Chunk():
                self._buffer_chunk(message)
            case End():
                self._accept_end(message)
        return self._release_ordered()

    def _buffer_chunk(self, chunk: Chunk) -> None:
        if chunk.offset < 0:
            raise BrokenStreamError(f"a chunk lies at {chunk.offset}")
        last = chunk.offset + len(chunk.tokens)
        if self._end is not None and last > self._end:
            raise BrokenStreamError("tokens lie after the end")
        for position, token in enumerate(chunk.tokens, start=chunk.offset):
            # A resumed engine may repeat tokens that were handed out.
            if position < self._offset:
                continue
            if self._buffered.setdefault(position, token) != token:
                raise BrokenStreamError(f"two tokens at {position} disagree")

    def _accept_end(self, end: End) -> None:
        if self._end not in (None, end.token_count):
            raise BrokenStreamError("two ends disagree")
        if end.token_count < self._offset:
            raise BrokenStreamError("the end lies before tokens received")
        if any(position >= end.token_count for position in self._buffered):
            raise BrokenStreamError("tokens lie after the end")
        self._end = end.token_count

    def _release_ordered(self) -> tuple[str, ...]:
        released: list[str] = []
        while (token := self._buffered.pop(self._offset, None)) is not None:
            released.append(token)
            self._offset += 1
        if len(self._buffered) > MAX_BUFFERED_TOKENS:
            # The tokens released just now are lost with the exception.
            self._offset -= len(released)
            raise BrokenStreamError(
                f"tokens from {self._offset} on never arrived"
            )
        return tuple(released)
