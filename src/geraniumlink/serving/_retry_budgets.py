"""Bounds repeats to what a service may get from all instances together.

In a sliding window a service may get repeats up to a share of the requests
for it, and a constant besides. The share follows from an instance's own
requests; of the constant each instance takes an equal part. So no instance
needs to ask another before it repeats.
Source: B. Beyer et al. (ed.), "Site Reliability Engineering", 2016, chapter
"Handling Overload", for the ratio.
"""

from __future__ import annotations

import collections
import typing

from geraniumlink import _clock
from geraniumlink import _logs

# Left free, because the windows of two observers don't begin together and a
# machine's count of its peers lags.
SAFETY = 0.8
# Until peers are known: more than the users' smaller sites have.
ASSUMED_INSTANCES = 10


class RetryLimit(typing.NamedTuple):
    """What a service may get in a window."""

    ratio: float
    constant: int
    window_ms: int


class RetryBudgets:
    """This instance's part of the budget of each service."""

    def __init__(self, bound: RetryLimit, clock: _clock.Clock) -> None:
        self._bound = bound
        self._clock = clock
        self._instances = ASSUMED_INSTANCES
        self._requests: dict[str, collections.deque[int]] = {}
        self._repeats: dict[str, collections.deque[int]] = {}

    def retries_in_window(self) -> int:
        """Return the repeats in the window, of all services."""
        return sum(
            len(self._window(self._repeats, name)) for name in self._repeats
        )

    def set_instances(self, count: int) -> None:
        """Note how many instances share the budget."""
        self._instances = max(1, count)

    def set_limit(self, bound: RetryLimit) -> None:
        """Put another bound in force; what was counted stays counted."""
        self._bound = bound

    def deposit(self, service: str) -> None:
        """Count a client's request."""
        self._window(self._requests, service).append(self._clock.now())

    def try_withdraw(self, service: str, request_id: str = "") -> bool:
        """Return whether a repeat may be sent, and count it if so."""
        requests = len(self._window(self._requests, service))
        repeats = self._window(self._repeats, service)
        constant = self._bound.constant / self._instances
        allowed = SAFETY * (self._bound.ratio * requests + constant)
        if len(repeats) + 1 > allowed:
            _logs.event(
                "repeat_budget_used",
                request_id=request_id,
                service=service,
                repeats=len(repeats),
                requests=requests,
            )
            return False
        repeats.append(self._clock.now())
        return True

    def _window(
        self, counts: dict[str, collections.deque[int]], service: str
    ) -> collections.deque[int]:
        """Return the times within the window."""
        times = counts.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._bound.window_ms
        while times and times[0] < oldest:
            times.popleft()
        return times
