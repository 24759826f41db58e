"""The load that all instances put on each replica, as they report it.

Each instance is told the sum of the others' loads several times a second.
Summing all reports for each answer would grow with the square of the number
of instances; the sum of all is kept for a moment instead, and an instance's
own part is taken from it.
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink.residency import _messages

# How long a sum is used: less than half of the time between two reports.
SUM_MS = 100
# A load that was reported earlier has changed.
STALE_MS = 1000

Loads = dict[str, _messages.Load]


class LoadTotals:
    """Sums up loads by replica."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._reported: dict[str, tuple[int, Loads]] = {}
        self._summed_at: int | None = None
        self._sum: Loads = {}
        # What each instance had reported when the sum was made.
        self._parts: dict[str, Loads] = {}

    def note(self, instance: str, loads: Loads) -> None:
        """Take an instance's report, in the place of its former one."""
        self._reported[instance] = (self._clock.now(), loads)

    def of_others(self, instance: str) -> Loads:
        """Return the load that all but one instance put on replicas."""
        now = self._clock.now()
        if self._summed_at is None or now - self._summed_at >= SUM_MS:
            self._sum_up(now)
        own = self._parts.get(instance, {})
        return {
            replica: total.minus(own[replica]) if replica in own else total
            for replica, total in self._sum.items()
        }

    def _sum_up(self, now: int) -> None:
        self._reported = {
            name: (at, loads)
            for name, (at, loads) in self._reported.items()
            if now - at <= STALE_MS
        }
        self._summed_at = now
        self._parts = {n: loads for n, (_, loads) in self._reported.items()}
        self._sum = {}
        for loads in self._parts.values():
            for replica, load in loads.items():
                known = self._sum.get(replica)
                self._sum[replica] = known.plus(load) if known else load
