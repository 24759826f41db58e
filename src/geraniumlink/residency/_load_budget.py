"""Keeps loads within the weight store's rate and concurrency."""

from __future__ import annotations

import collections
import math

from geraniumlink import _clock

# Any window of this length may hold the rate's share of loads, and
# SPARE_LOADS besides. The users' ceiling leaves 10 % and three loads more;
# the difference is for loads that begin late.
WINDOW_MS = 5000
SPARE_LOADS = 1


class LoadBudget:
    """The loads begun lately, over all replicas of a service."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._begun: collections.deque[int] = collections.deque()
        self._running = 0

    def assume_used(self, loads_per_s: float, before_ms: int) -> None:
        """Count what a former controller may have begun until then."""
        ended_at = self._clock.now() - before_ms
        loads = math.ceil(loads_per_s * WINDOW_MS / 1000)
        self._begun.extend([ended_at] * loads)

    def free(self, loads_per_s: float, load_ms: float) -> int:
        """Return how many loads may begin now."""
        oldest = self._clock.now() - WINDOW_MS
        while self._begun and self._begun[0] < oldest:
            self._begun.popleft()
        by_rate = int(loads_per_s * WINDOW_MS / 1000) + SPARE_LOADS
        # More at once would each take longer in proportion.
        at_once = max(1, round(loads_per_s * load_ms / 1000))
        return min(by_rate - len(self._begun), at_once - self._running)

    def begin(self) -> None:
        self._begun.append(self._clock.now())
        self._running += 1

    def end(self) -> None:
        self._running -= 1
