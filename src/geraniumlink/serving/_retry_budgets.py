"""Retry budgets: limit the retries of all instances together by service.

In a sliding window, a service may receive retries up to a ratio of its
requests plus a constant. Each instance applies the ratio to the requests it
has received itself, and takes an equal part of the constant, so it need not
ask another instance before a retry.
Source: B. Beyer et al. (ed.), "Site Reliability Engineering", 2016, chapter
"Handling Overload", for the ratio.
"""

from __future__ import annotations

import collections
import typing

from geraniumlink import _clock
from geraniumlink import _logs

# The part of the budget that is used. The rest is a margin, because the
# windows of two observers don't begin at the same time, and an instance's
# count of its peers lags.
SAFETY_FACTOR = 0.8
# Number of instances assumed until it is known; more than the users' smaller
# sites have.
ASSUMED_INSTANCES = 10
# Part of the budget that only retries with a claim to it may use, in whole
# retries: a small budget has none. In a storm of rejections all of the budget
# is used, and requests that broke off would be lost.
RESERVED_PART = 0.25


class RetryLimit(typing.NamedTuple):
    """Limit on the retries of one service in a window, from all instances."""

    # Retries per request.
    ratio: float
    # Retries allowed in addition, however few requests there are.
    constant: int
    window_ms: int


class RetryBudgets:
    """This instance's part of the budget of each service."""

    def __init__(self, limit: RetryLimit, clock: _clock.Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._instances = ASSUMED_INSTANCES
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def retries_in_window(self) -> int:
        """Return this instance's retries in the window, of all services."""
        return sum(
            len(self._window(self._retries, name)) for name in self._retries
        )

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share the budget."""
        self._instances = max(1, count)

    def set_limit(self, limit: RetryLimit) -> None:
        """Apply another limit; earlier requests and retries still count."""
        self._limit = limit

    def deposit(self, service: str) -> None:
        """Count a client's request."""
        self._window(self._requests, service).append(self._clock.now())

    def has_retry_left(
        self, service: str, keeps_reserve: bool = False
    ) -> bool:
        """Whether a retry may be sent now.

        :param keeps_reserve: whether it leaves RESERVED_PART of the budget to
            others.
        """
        requests = len(self._window(self._requests, service))
        retries = len(self._window(self._retries, service))
        constant = self._limit.constant / self._instances
        allowed = SAFETY_FACTOR * (self._limit.ratio * requests + constant)
        reserved = int(RESERVED_PART * allowed) if keeps_reserve else 0
        return retries + 1 + reserved <= allowed

    def try_withdraw(
        self, service: str, request_id: str = "", keeps_reserve: bool = False
    ) -> bool:
        """Return whether a retry may be sent, and count it if so.

        :param keeps_reserve: as for ``has_retry_left``.
        """
        retries = self._window(self._retries, service)
        if not self.has_retry_left(service, keeps_reserve):
            _logs.event(
                "repeat_budget_used",
                request_id=request_id,
                service=service,
                repeats=len(retries),
                requests=len(self._window(self._requests, service)),
            )
            return False
        retries.append(self._clock.now())
        return True

    def give_back(self, service: str) -> None:
        """Count a retry less: one that was withdrawn was not sent.

        The oldest is dropped, so that none counts for too short a time.
        """
        retries = self._window(self._retries, service)
        if retries:
            retries.popleft()

    def _window(
        self, counts: dict[str, collections.deque[int]], service: str
    ) -> collections.deque[int]:
        """Return the times in the window, after dropping older ones."""
        times = counts.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._limit.window_ms
        while times and times[0] < oldest:
            times.popleft()
        return times
