"""Reassembles the chunks of one answer in order, and detects its end.

The released tokens are always a prefix of the answer. A message that
contradicts an earlier one breaks the stream and releases nothing, because
there is no way to tell which of the two is correct.
"""

from __future__ import annotations

import typing

# With more tokens than this buffered after a gap, the missing chunks are
# taken as lost; the stream is broken and the answer is resumed at the gap.
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
    """The messages received can't make up a complete answer."""


class Reassembly:
    """Reassembles chunks that may be late, duplicated or reordered.

    Messages with the id of another request are dropped and counted.
    ``accept`` returns the tokens that can be sent to the caller now. The
    answer is complete when ``is_complete`` is true: an explicit end was
    received and no token before it is missing.
    """

    def __init__(self, request_id: str, max_tokens: int) -> None:
        self._request_id = request_id
        self._max_tokens = max_tokens
        self._offset = 0
        # Tokens after a gap, by their position in the answer.
        self._buffered: dict[int, str] = {}
        # The answer's token count, once an explicit end was received.
        self._end: int | None = None
        self._foreign_messages = 0

    @property
    def offset(self) -> int:
        """Number of tokens released, and the position to resume from."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        return self._end == self._offset

    @property
    def foreign_messages(self) -> int:
        """Number of messages dropped as belonging to another request."""
        return self._foreign_messages

    def resume(self) -> None:
        """Prepare for another stream of the same answer from ``offset`` on.

        The buffered tokens and the end of the former stream are dropped.
        That stream broke, so its messages may be wrong and must not make
        those of the next stream look contradictory.
        """
        self._buffered.clear()
        self._end = None

    def accept(self, message: Chunk | End) -> tuple[str, ...]:
        """Add a message; return the tokens that are now in order, if any.

        :raises BrokenStreamError: if the answer can't become complete;
            ``offset`` is then the same as before the call.
        """
        if message.request_id != self._request_id:
            self._foreign_messages += 1
            return ()
        match message:
            case Chunk():
                self._buffer_chunk(message)
            case End():
                self._accept_end(message)
        return self._release_ordered()

    def _buffer_chunk(self, chunk: Chunk) -> None:
        """Buffer the tokens of a chunk that were not released yet."""
        if chunk.offset < 0:
            raise BrokenStreamError(
                f"a chunk has the negative offset {chunk.offset}"
            )
        last = chunk.offset + len(chunk.tokens)
        if last > self._max_tokens:
            raise BrokenStreamError("more tokens than were requested")
        if self._end is not None and last > self._end:
            raise BrokenStreamError("a chunk has tokens after the end")
        for position, token in enumerate(chunk.tokens, start=chunk.offset):
            # On resumption, an engine may repeat tokens already released.
            if position < self._offset:
                continue
            if self._buffered.setdefault(position, token) != token:
                raise BrokenStreamError(
                    f"two different tokens at position {position}"
                )

    def _accept_end(self, end: End) -> None:
        """Record the explicit end, unless tokens or ends contradict it."""
        if self._end not in (None, end.token_count):
            raise BrokenStreamError("two ends have different token counts")
        if end.token_count < self._offset:
            raise BrokenStreamError("the end precedes released tokens")
        if any(position >= end.token_count for position in self._buffered):
            raise BrokenStreamError("the end precedes buffered tokens")
        self._end = end.token_count

    def _release_ordered(self) -> tuple[str, ...]:
        """Remove the tokens up to the first gap from the buffer."""
        released: list[str] = []
        while (token := self._buffered.pop(self._offset, None)) is not None:
            released.append(token)
            self._offset += 1
        if len(self._buffered) > MAX_BUFFERED_TOKENS:
            # The exception discards the tokens taken out of the buffer just
            # now, so ``offset`` must not count them.
            self._offset -= len(released)
            raise BrokenStreamError(
                f"tokens are missing from position {self._offset} on"
            )
        return tuple(released)
