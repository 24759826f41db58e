"""Keeps loads within the weight store's rate and concurrency."""

from __future__ import annotations

import collections
import math

from geraniumlink import _clock

# Any window of this length may hold the rate's share of loads, and
# SPARE_LOADS besides. The users' ceiling leaves 10 % and three loads more;
# the difference is for loads that begin late.
WINDOW_MS = 5000
EXTRA_LOADS = 1


class ModelLoadBudget:
    """The loads begun lately, over all replicas of a service."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._started_at: collections.deque[int] = collections.deque()
        self._running = 0

    def assume_earlier_loads(
        self, loads_per_s: float, min_age_ms: int
    ) -> None:
        """Count what a former controller may have begun until then."""
        latest_start = self._clock.now() - min_age_ms
        loads = math.ceil(loads_per_s * WINDOW_MS / 1000)
        self._started_at.extend([latest_start] * loads)

    def available(self, loads_per_s: float, load_ms: float) -> int:
        """Return how many loads may begin now."""
        oldest = self._clock.now() - WINDOW_MS
        while self._started_at and self._started_at[0] < oldest:
            self._started_at.popleft()
        by_rate = int(loads_per_s * WINDOW_MS / 1000) + EXTRA_LOADS
        # More at once would each take longer in proportion.
        by_concurrency = max(1, round(loads_per_s * load_ms / 1000))
        return min(
            by_rate - len(self._started_at), by_concurrency - self._running
        )

    def start_load(self) -> None:
        self._started_at.append(self._clock.now())
        self._running += 1

    def finish_load(self) -> None:
        self._running -= 1
