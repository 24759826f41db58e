"""Writes log lines without ever waiting for the one who reads them.

A line goes to a non-blocking descriptor at once if that takes it. Otherwise
it is kept, up to a bound, and written when the descriptor takes more. Lines
about single requests are bounded by kind and second, and may fill only a
part of the buffer, so that those that tell what the process believes are
kept when requests come in a storm. What was left out is counted and told.
"""

from __future__ import annotations

import collections
import os
import pathlib
import sys
import typing

import eliot
import orjson

from geraniumlink import _clock
from geraniumlink import _log_messages
from geraniumlink import _logs

# Lines kept for a reader that has stopped, in bytes: some minutes of an
# instance's changes of belief, and a small part of its memory.
MAX_BYTES = 1_048_576
# Of that, what lines about single requests may fill.
MAX_REQUEST_BYTES = MAX_BYTES // 2
# Lines of one kind about requests in a second; an instance answers fewer
# than this many requests in one unless there is a storm of refusals.
LINES_PER_S = 200
# How often a descriptor that took no more is tried again.
RETRY_MS = 50
# How often the lines that were left out are told.
SUMMARY_MS = 1000


class LogBuffer:
    """The lines of one process on their way to a descriptor."""

    def __init__(self, descriptor: int, clock: _clock.Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._full = False
        self._second = 0
        self._in_second: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._left_out_in_all = 0
        os.set_blocking(descriptor, False)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait for the descriptor."""
        return self._size

    @property
    def dropped_count(self) -> int:
        """Lines left out since the start of the process."""
        return self._left_out_in_all

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Take a message, as eliot hands it over."""
        kind = str(message.get("message_type", ""))
        about_request = _log_messages.is_about_request(kind)
        line = orjson.dumps(message, default=str) + b"\n"
        most = MAX_REQUEST_BYTES if about_request else MAX_BYTES
        if self._size + len(line) > most or (
            about_request and self._is_too_many(kind)
        ):
            self._left_out[kind] += 1
            self._left_out_in_all += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if not self._full:
            self._write()

    async def run(self) -> None:
        """Write what was kept, and tell what was left out, for ever."""
        while True:
            await self._clock.sleep(RETRY_MS if self._full else SUMMARY_MS)
            self._write()
            self._tell_left_out()

    def close(self) -> None:
        """Write what the descriptor still takes; the rest is lost."""
        self._tell_left_out()
        self._write()

    def _is_too_many(self, kind: str) -> bool:
        second = self._clock.now() // 1000
        if second != self._second:
            self._second = second
            self._in_second.clear()
        self._in_second[kind] += 1
        return self._in_second[kind] > LINES_PER_S

    def _tell_left_out(self) -> None:
        if not self._left_out or self._full:
            return
        counts, self._left_out = dict(self._left_out), collections.Counter()
        _logs.event("lines_left_out", counts=counts)

    def _write(self) -> None:
        self._full = False
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has gone: only the metrics tell of these lines.
                self._left_out_in_all += len(self._lines) + 1
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
                self._full = True
                return


def start(descriptor: int, instance: str, clock: _clock.Clock) -> LogBuffer:
    """Send this process's log lines to a descriptor."""
    buffer = LogBuffer(descriptor, clock)
    eliot.add_destinations(buffer)
    eliot.add_global_fields(instance=instance)
    return buffer


def open_log_descriptor(log_file: str) -> int:
    """Return where to write; ``-`` is standard error.

    :raises OSError: if the file can't be opened.
    """
    if log_file == "-":
        return sys.stderr.fileno()
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    # It stays open until the process ends.
    return os.open(pathlib.Path(log_file), flags, 0o644)
