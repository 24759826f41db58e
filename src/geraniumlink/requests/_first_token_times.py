"""Detects slow replicas by the times to first token of this instance.

A replica is compared with the other replicas and not with a fixed time, so
no replica is avoided when the whole service is slow. The measured slowdown
decays with the age of the last observation: a slow replica is thus tried
again, and gets its full share of requests once it has recovered.
"""

from __future__ import annotations

from collections.abc import Iterable
import statistics
import weakref

from geraniumlink.backends import _backends

# Weight of the newest observation in the exponential moving average.
_EWMA_WEIGHT = 0.2
# A replica whose average is below this multiple of the median counts as
# normal, with slowdown 1.
SLOW_RATIO = 2.0
# Upper bound of a slowdown, before it decays.
MAX_SLOWDOWN = 10.0
# The excess of a slowdown over 1 halves in this time without observations.
HALF_LIFE_MS = 4000
# A replica with an average up to this has no requests queued inside it. It
# is about a quarter of the first-token target (610 ms, see ``_admission``).
NO_QUEUE_MS = 150


class _MovingAverage:
    """The average of a replica and the time of its last observation."""

    def __init__(self, first_ms: float, updated_at: int) -> None:
        self.milliseconds = first_ms
        self.updated_at = updated_at


class FirstTokenTimes:
    """Moving averages of the time to first token, for each replica.

    It is measured from when this instance sends a request.
    """

    def __init__(self) -> None:
        self._averages: weakref.WeakKeyDictionary[
            _backends.Backend, _MovingAverage
        ] = weakref.WeakKeyDictionary()

    def observe(
        self, backend: _backends.Backend, milliseconds: float, now: int
    ) -> None:
        """Add an observed time to first token to the average."""
        average = self._averages.get(backend)
        if average is None:
            self._averages[backend] = _MovingAverage(milliseconds, now)
            return
        average.milliseconds += _EWMA_WEIGHT * (
            milliseconds - average.milliseconds
        )
        average.updated_at = now

    def has_no_queue(self, backend: _backends.Backend) -> bool:
        """Whether first tokens are so fast that no request queues there.

        It is false while nothing was observed.
        """
        average = self._averages.get(backend)
        return average is not None and average.milliseconds <= NO_QUEUE_MS

    def median_ms(self, backends: Iterable[_backends.Backend]) -> float | None:
        """Return the median of the replicas' averages in milliseconds.

        It is the lower one of two middle values, and None if no replica
        has been observed.
        """
        averages = [
            average.milliseconds
            for backend in backends
            if (average := self._averages.get(backend)) is not None
        ]
        return statistics.median_low(averages) if averages else None

    def slowdown(
        self, backend: _backends.Backend, median_ms: float | None, now: int
    ) -> float:
        """Return the factor by which a replica is slower than the median.

        It is 1 for a normal replica, and from ``SLOW_RATIO`` up to
        ``MAX_SLOWDOWN`` for a slow one.
        """
        average = self._averages.get(backend)
        if average is None or not median_ms:
            return 1.0
        ratio = min(MAX_SLOWDOWN, average.milliseconds / median_ms)
        ratio = 1 + (ratio - 1) * 0.5 ** (
            (now - average.updated_at) / HALF_LIFE_MS
        )
        return ratio if ratio >= SLOW_RATIO else 1.0
