"""Puts the chunks of one answer in order, and tells whole from cut."""

from __future__ import annotations

import typing

# An engine that leaves a longer gap open has lost chunks; the answer is then
# resumed at the gap.
MAX_WAITING_CHUNKS = 64


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

    def __init__(self, request_id: str, offset: int = 0) -> None:
        self._request_id = request_id
        self._offset = offset
        self._waiting: dict[int, tuple[str, ...]] = {}
        self._end: int | None = None
        self._foreign = 0

    @property
    def offset(self) -> int:
        """Tokens handed out, and where a resumed answer goes on."""
        return self._offset

    @property
    def ended(self) -> bool:
        return self._end == self._offset

    @property
    def foreign(self) -> int:
        """Chunks dropped because they belong to another request."""
        return self._foreign

    def take(self, message: Chunk | End) -> tuple[str, ...]:
        """Return the tokens that are now in order, perhaps none.

        :raises BrokenStreamError: if the answer can't become whole.
        """
        if message.request_id != self._request_id:
            self._foreign += 1
            return ()
        match message:
            case Chunk():
                self._keep(message)
            case End():
                self._take_end(message)
        return self._release()

    def _keep(self, chunk: Chunk) -> None:
        if chunk.offset + len(chunk.tokens) <= self._offset:
            return
        known = self._waiting.get(chunk.offset, ())
        if len(chunk.tokens) > len(known):
            self._waiting[chunk.offset] = chunk.tokens
        if len(self._waiting) > MAX_WAITING_CHUNKS:
            raise BrokenStreamError(
                f"tokens from {self._offset} on never arrived"
            )

    def _take_end(self, end: End) -> None:
        if self._end not in (None, end.token_count):
            raise BrokenStreamError("two ends disagree")
        if end.token_count < self._offset:
            raise BrokenStreamError("the end lies before tokens received")
        self._end = end.token_count

    def _release(self) -> tuple[str, ...]:
        released: list[str] = []
        while (found := self._next_waiting()) is not None:
            tokens = self._waiting.pop(found)
            # A resumed engine may repeat tokens that were handed out.
            fresh = tokens[self._offset - found :]
            released += fresh
            self._offset += len(fresh)
        if self._end is not None and self._offset > self._end:
            raise BrokenStreamError("tokens lie after the end")
        return tuple(released)

    def _next_waiting(self) -> int | None:
        for offset in sorted(self._waiting):
            if offset <= self._offset:
                return offset
        return None
