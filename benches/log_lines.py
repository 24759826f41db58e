"""Measures what a log line costs: processor time and bytes.

    python -m benches.log_lines

Writes to /dev/null by way of the buffer that instances use, and prints the
median of some rounds.
"""

from __future__ import annotations

import os
import statistics
import time

from geraniumlink import _clock
from geraniumlink import _log_buffer
from geraniumlink import _logs

ROUNDS = 7
LINES = 2000


def _round(clock: _clock.ManualClock) -> float:
    """Return microseconds of processor time a line."""
    began = time.process_time_ns()
    for number in range(LINES):
        # So that the rate of a kind is not what is measured.
        clock.advance(10)
        _logs.event(
            "attempt",
            request_id=f"{number:016x}",
            replica="i-0123456789",
            attempt=1,
            expected_ms=84,
            left_ms=3999,
        )
    return (time.process_time_ns() - began) / LINES / 1000


def main() -> None:
    clock = _clock.ManualClock()
    sink = os.open(os.devnull, os.O_WRONLY)
    _log_buffer.start(sink, "front-1", clock)
    figures = [_round(clock) for _ in range(ROUNDS)]
    print(
        f"{statistics.median(figures):.1f} us a line"
        f" ({min(figures):.1f} to {max(figures):.1f}, {ROUNDS} rounds of"
        f" {LINES} lines)"
    )


if __name__ == "__main__":
    main()
