"""Learns how fast the engines of a service read prompts.

Answers the load of prompts that engines read faster than assumed: the engines
are faster, or have read parts of the prompts for other instances before. With
a fixed rate such prompts would be refused as too late while engines idle, and
their models would seem to need more copies than they do.
"""

from __future__ import annotations

# Prefill rate assumed of every engine at first, in prompt tokens per
# millisecond; also the lowest rate assumed. A slower engine shows by its
# excess latency.
PREFILL_TOKENS_PER_MS = 20.0
# The time for a prompt is at least this part of that at the assumed rate.
LEAST_FACTOR = 0.1
# Shorter prompts take a time that hardly depends on their length.
MIN_TOKENS = 500
# Factor by which an observation changes the estimate. The estimate follows the
# median, so one engine that hangs for seconds counts like any late one.
STEP = 1.1


class PrefillSpeed:
    """The time that the prompts of one service take to be read."""

    def __init__(self) -> None:
        self._factor = 1.0

    @property
    def factor(self) -> float:
        """The time for a prompt, as a part of that at the assumed rate."""
        return self._factor

    def expected_ms(self, tokens: float) -> float:
        """Return how long an engine takes to read a number of tokens."""
        return self._factor * tokens / PREFILL_TOKENS_PER_MS

    def note_first_event(self, tokens: int, took_ms: float) -> None:
        """Record the time to a first event.

        :param tokens: prompt tokens that were to be read before it, those of
            requests ahead included, as far as they are known here.
        :param took_ms: as it were at the replica's usual service time.
        """
        if tokens < MIN_TOKENS:
            return
        if took_ms > self.expected_ms(tokens):
            self._factor = min(1.0, self._factor * STEP)
        else:
            self._factor = max(LEAST_FACTOR, self._factor / STEP)
