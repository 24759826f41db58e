"""Total load of requests on each replica, as the instances report it.

Each instance gets the sum of the other instances' loads with every answer to
its report, several times a second. Summing all reports for each answer would
cost the square of the number of instances. So the sum over all instances is
cached for a short time, and each instance's own part is subtracted from it.
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink.residency import _messages

# How long a sum is reused: less than half of the interval between an
# instance's reports.
SUM_REUSE_MS = 100
# A report that is older is dropped, since the load has changed.
REPORT_EXPIRY_MS = 1000

LoadsByReplica = dict[str, _messages.ReplicaLoad]


class LoadTotals:
    """Sums the reported loads on each replica over the instances."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Each instance's last report, and when it was received.
        self._reports: dict[str, tuple[int, LoadsByReplica]] = {}
        self._summed_at: int | None = None
        self._sum: LoadsByReplica = {}
        # The reports that the sum was made of, by instance.
        self._summed_reports: dict[str, LoadsByReplica] = {}

    def record(self, instance: str, loads: LoadsByReplica) -> None:
        """Record an instance's report in place of its previous one."""
        self._reports[instance] = (self._clock.now(), loads)

    def excluding(self, instance: str) -> LoadsByReplica:
        """Return the load on each replica from all instances but one."""
        now = self._clock.now()
        if self._summed_at is None or now - self._summed_at >= SUM_REUSE_MS:
            self._compute_sum(now)
        own_part = self._summed_reports.get(instance, {})
        return {
            replica: total.minus(own_part[replica])
            if replica in own_part
            else total
            for replica, total in self._sum.items()
        }

    def _compute_sum(self, now: int) -> None:
        """Drop expired reports and sum the others."""
        self._reports = {
            name: (at, loads)
            for name, (at, loads) in self._reports.items()
            if now - at <= REPORT_EXPIRY_MS
        }
        self._summed_at = now
        self._summed_reports = {
            n: loads for n, (_, loads) in self._reports.items()
        }
        self._sum = {}
        for loads in self._summed_reports.values():
            for replica, load in loads.items():
                subtotal = self._sum.get(replica)
                self._sum[replica] = subtotal.plus(load) if subtotal else load
