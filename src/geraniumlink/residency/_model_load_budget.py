"""Limits the rate and concurrency of model loads from the weight store."""

from __future__ import annotations

import collections
import math

from geraniumlink import _clock

# In any window of WINDOW_MS, rate x window + EXTRA_LOADS loads may start. The
# ceiling that users are promised is rate x window x 1.1 + 3; the difference
# allows for loads that start later than they are counted here.
WINDOW_MS = 5000
EXTRA_LOADS = 1


class ModelLoadBudget:
    """Budget of model loads from the weight store, for one service.

    It covers all replicas of the service.
    """

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Start times of the loads in the current window, oldest first.
        self._started_at: collections.deque[int] = collections.deque()
        self._running_count = 0

    def assume_earlier_loads(
        self, loads_per_s: float, min_age_ms: int
    ) -> None:
        """Count the most loads that an earlier leader may have started.

        :param min_age_ms: time since the last of them, at least.
        """
        latest_start = self._clock.now() - min_age_ms
        load_count = math.ceil(loads_per_s * WINDOW_MS / 1000)
        self._started_at.extend([latest_start] * load_count)

    def available(self, loads_per_s: float, load_ms: float) -> int:
        """Return how many loads may start now; it may be negative.

        :param loads_per_s: the weight store's rate.
        :param load_ms: the longest duration of a load.
        """
        window_start = self._clock.now() - WINDOW_MS
        while self._started_at and self._started_at[0] < window_start:
            self._started_at.popleft()
        by_rate = int(loads_per_s * WINDOW_MS / 1000) + EXTRA_LOADS
        # More loads at a time would each take longer in proportion.
        by_concurrency = max(1, round(loads_per_s * load_ms / 1000))
        return min(
            by_rate - len(self._started_at),
            by_concurrency - self._running_count,
        )

    def start_load(self) -> int:
        """Count a load that starts now; return the time of its start."""
        now = self._clock.now()
        self._started_at.append(now)
        self._running_count += 1
        return now

    def finish_load(self) -> None:
        """Count a load that has ended; its start stays in the window."""
        self._running_count -= 1

    def cancel_load(self, started_at: int) -> None:
        """Take back a load that was not ordered after all."""
        self._running_count -= 1
        if started_at in self._started_at:
            self._started_at.remove(started_at)
