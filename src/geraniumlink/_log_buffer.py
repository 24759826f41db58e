"""Writes log lines to a descriptor without blocking on its reader.

A line is written at once if the non-blocking descriptor accepts it.
Otherwise it is buffered, up to a limit, until the descriptor is writable
again. Lines about single requests are rate-limited by message and may fill
only part of the buffer, so that a surge of requests doesn't displace the
lines about the state of the process. Dropped lines are counted, and the
counts are logged.
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

# Size of the buffer for a reader that has stopped: enough for some minutes of
# an instance's lines about its state, and a small part of its memory.
MAX_BYTES = 1_048_576
# Lines about single requests are dropped beyond this size of the buffer.
MAX_REQUEST_BYTES = MAX_BYTES // 2
# Limit for the lines of one message about requests in a second. An instance
# completes fewer requests in a second, except in a surge of refusals.
LINES_PER_S = 200
# Interval of the attempts to write while the descriptor accepts no more.
RETRY_MS = 50
# Interval of the lines that report the dropped ones.
SUMMARY_MS = 1000


class LogBuffer:
    """Buffers the log lines of one process and writes them."""

    def __init__(self, descriptor: int, clock: _clock.Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._blocked = False
        self._current_second = 0
        self._lines_in_second: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._dropped_count = 0
        os.set_blocking(descriptor, False)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._size

    @property
    def dropped_count(self) -> int:
        """Number of lines dropped since the process started."""
        return self._dropped_count

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write, buffer or drop a message; eliot calls this for each."""
        message_type = str(message.get("message_type", ""))
        about_request = _log_messages.is_about_request(message_type)
        line = orjson.dumps(message, default=str) + b"\n"
        limit = MAX_REQUEST_BYTES if about_request else MAX_BYTES
        if self._size + len(line) > limit or (
            about_request and self._exceeds_rate(message_type)
        ):
            self._dropped[message_type] += 1
            self._dropped_count += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if not self._blocked:
            self._write()

    async def run(self) -> None:
        """Write buffered lines and report dropped ones until cancelled."""
        while True:
            await self._clock.sleep(RETRY_MS if self._blocked else SUMMARY_MS)
            self._write()
            self._report_dropped()

    def close(self) -> None:
        """Write what the descriptor accepts now; the rest is lost."""
        self._report_dropped()
        self._write()

    def _exceeds_rate(self, message_type: str) -> bool:
        """Count a line; return whether it exceeds its message's limit."""
        second = self._clock.now() // 1000
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second.clear()
        self._lines_in_second[message_type] += 1
        return self._lines_in_second[message_type] > LINES_PER_S

    def _report_dropped(self) -> None:
        if not self._dropped or self._blocked:
            return
        counts, self._dropped = dict(self._dropped), collections.Counter()
        _logs.event("lines_left_out", counts=counts)

    def _write(self) -> None:
        """Write buffered lines until the descriptor accepts no more."""
        self._blocked = False
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed its end, so no log line can report
                # these; the metrics still count them.
                self._dropped_count += len(self._lines) + 1
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
                self._blocked = True
                return


def start(descriptor: int, instance: str, clock: _clock.Clock) -> LogBuffer:
    """Create the buffer and make it the destination of all log lines."""
    buffer = LogBuffer(descriptor, clock)
    eliot.add_destinations(buffer)
    eliot.add_global_fields(instance=instance)
    return buffer


def open_log_descriptor(log_file: str) -> int:
    """Open the log file and return its descriptor; ``-`` is standard error.

    :raises OSError: if the file can't be opened.
    """
    if log_file == "-":
        return sys.stderr.fileno()
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    # Never closed: lines are written until the process ends.
    return os.open(pathlib.Path(log_file), flags, 0o644)
