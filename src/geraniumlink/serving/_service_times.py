"""How fast a replica works now, from what it states with its responses.

Answers the load of replicas that share machines: they differ 1.3 to 2.4 times
in speed, some of them persistently. An instance has none or one of its
requests at a replica, so its own observations are few and noisy; what the
replica states changes many times a second, so it is smoothed.
"""

from __future__ import annotations

# Weight of the newest of many statements; the first few have equal weights.
MIN_WEIGHT = 0.2
# What was stated counts half after this time, towards the usual speed: a
# replica that isn't chosen states nothing, and would be avoided for good.
HALF_LIFE_MS = 10_000
# Bounds of what is believed.
MIN_PERCENT = 25.0
MAX_PERCENT = 1000.0


class ServiceTime:
    """A replica's service time, as a multiple of its usual one."""

    def __init__(self) -> None:
        self._percent = 100.0
        self._stated_at: int | None = None
        # Statements, up to the number whose weight is the least.
        self._count = 0

    @property
    def is_stated(self) -> bool:
        """Whether the replica ever stated it."""
        return self._stated_at is not None

    def factor(self, now: int) -> float:
        """Return the service time; 1.0 if the replica never stated it."""
        if self._stated_at is None:
            return 1.0
        fade = 0.5 ** ((now - self._stated_at) / HALF_LIFE_MS)
        return 1.0 + fade * (self._percent / 100 - 1.0)

    def note(self, percent: float, now: int) -> None:
        """Record the service time that the replica stated.

        :param percent: of its usual service time.
        """
        smoothed = 100 * self.factor(now)
        self._count = min(self._count + 1, round(1 / MIN_WEIGHT))
        bounded = min(MAX_PERCENT, max(MIN_PERCENT, percent))
        self._percent = smoothed + (bounded - smoothed) / self._count
        self._stated_at = now
