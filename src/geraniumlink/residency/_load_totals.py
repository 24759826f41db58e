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
SUM_REUSE_MS = 100
# A load that was reported earlier has changed.
REPORT_EXPIRY_MS = 1000

LoadsByReplica = dict[str, _messages.ReplicaLoad]


class LoadTotals:
    """Sums up loads by replica."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._reported: dict[str, tuple[int, LoadsByReplica]] = {}
        self._summed_at: int | None = None
        self._sum: LoadsByReplica = {}
        # What each instance had reported when the sum was made.
        self._summed_reports: dict[str, LoadsByReplica] = {}

    def record(self, instance: str, loads: LoadsByReplica) -> None:
        """Take an instance's report, in the place of its former one."""
        self._reported[instance] = (self._clock.now(), loads)

    def excluding(self, instance: str) -> LoadsByReplica:
        """Return the load that all but one instance put on replicas."""
        now = self._clock.now()
        if self._summed_at is None or now - self._summed_at >= SUM_REUSE_MS:
            self._compute_sum(now)
        own = self._summed_reports.get(instance, {})
        return {
            replica: total.minus(own[replica]) if replica in own else total
            for replica, total in self._sum.items()
        }

    def _compute_sum(self, now: int) -> None:
        self._reported = {
            name: (at, loads)
            for name, (at, loads) in self._reported.items()
            if now - at <= REPORT_EXPIRY_MS
        }
        self._summed_at = now
        self._summed_reports = {
            n: loads for n, (_, loads) in self._reported.items()
        }
        self._sum = {}
        for loads in self._summed_reports.values():
            for replica, load in loads.items():
                known = self._sum.get(replica)
                self._sum[replica] = known.plus(load) if known else load
