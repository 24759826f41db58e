"""Finds replicas that are alive and slow, by this instance's own requests.

A replica is compared with its peers and not with a fixed time, so a service
that is slow as a whole loses no replica. What was seen counts for less as it
gets older; so a slow replica is tried again, and gets its work back when it
has recovered.
"""

from __future__ import annotations

from collections.abc import Iterable
import statistics
import weakref

from geraniumlink.backends import _backends

# Weight of the newest observation in the moving average.
_EWMA_WEIGHT = 0.2
# A replica this many times slower than the median of its peers is slow.
SLOW_RATIO = 2.0
MAX_SLOWDOWN = 10.0
# The excess of an average over its peers halves in this time.
HALF_LIFE_MS = 4000
# A quarter of the target: nothing waits inside a replica that is as quick.
NO_QUEUE_MS = 150


class _MovingAverage:
    def __init__(self, first_ms: float, updated_at: int) -> None:
        self.milliseconds = first_ms
        self.updated_at = updated_at


class FirstTokenTimes:
    """Moving averages of the time from sending to the first token."""

    def __init__(self) -> None:
        self._averages: weakref.WeakKeyDictionary[
            _backends.Backend, _MovingAverage
        ] = weakref.WeakKeyDictionary()

    def observe(
        self, backend: _backends.Backend, milliseconds: float, now: int
    ) -> None:
        average = self._averages.get(backend)
        if average is None:
            self._averages[backend] = _MovingAverage(milliseconds, now)
            return
        average.milliseconds += _EWMA_WEIGHT * (
            milliseconds - average.milliseconds
        )
        average.updated_at = now

    def has_no_queue(self, backend: _backends.Backend) -> bool:
        """Whether first tokens come without a wait inside the replica."""
        average = self._averages.get(backend)
        return average is not None and average.milliseconds <= NO_QUEUE_MS

    def median_ms(self, backends: Iterable[_backends.Backend]) -> float | None:
        """Return the median over replicas in milliseconds, None if unseen."""
        averages = [
            average.milliseconds
            for backend in backends
            if (average := self._averages.get(backend)) is not None
        ]
        return statistics.median_low(averages) if averages else None

    def slowdown(
        self, backend: _backends.Backend, median_ms: float | None, now: int
    ) -> float:
        """Return 1 for a usual replica, up to 10 for a slow one."""
        average = self._averages.get(backend)
        if average is None or not median_ms:
            return 1.0
        ratio = min(MAX_SLOWDOWN, average.milliseconds / median_ms)
        ratio = 1 + (ratio - 1) * 0.5 ** (
            (now - average.updated_at) / HALF_LIFE_MS
        )
        return ratio if ratio >= SLOW_RATIO else 1.0
