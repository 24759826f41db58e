"""Expected times of calls to services without engines.

Answers the load of a small service (3 replicas with 6 slots, calls of 60 to
90 ms) that 86 instances call, each with none or one call in flight. With a
fixed short time assumed, a full replica seems nearly as fast as an idle one:
nothing is refused before the replicas' own queues are full, and calls wait
there beyond their time while another replica is free.

The time of a call is learned from completed calls, for all replicas of a
service, where replicas state their service time.
"""

from __future__ import annotations

import random

# Weight of the newest of many calls; the first few have equal weights.
MIN_WEIGHT = 0.1
# A call changes the learned time at most as if it took this multiple of it,
# so that one that hung counts like any late one.
MAX_RATIO = 3.0
# The learned time is dropped after this long without a completed call. If it
# is too long, all calls are refused, and none would correct it.
FORGET_MS = 20_000
# A call counts as at least this long. Times are in whole milliseconds, so a
# shorter one would make the learned time, and all costs, 0.
MIN_CALL_MS = 1.0
# Added for each request ahead that doesn't make a call wait, as a part of its
# time: among replicas with free slots the emptiest is chosen.
TIE_PART = 0.1
# The load that a replica stated counts half after this time: much of it has
# been served by then.
STATED_HALF_LIFE_MS = 50
# A report of the other instances counts half after this time. With 300 ms,
# instances refuse calls and flood the replicas in turn.
REPORT_HALF_LIFE_MS = 1200
# Powers of the cost by which a replica is drawn: where all calls are those of
# others, and added where all are this instance's own.
MIN_SHARPNESS = 1.5
OWN_SHARPNESS = 20.0


class CallTimes:
    """The time that calls to one service take, without waiting."""

    def __init__(self) -> None:
        self._ms = 0.0
        # Completed calls, up to the number whose weight is the least.
        self._count = 0
        self._learned_at = 0

    def call_ms(self, now: int) -> float | None:
        """Return the time of a call; None if none is known."""
        if not self._count or now - self._learned_at > FORGET_MS:
            return None
        return self._ms

    def note_call(
        self, took_ms: float, factor: float, ahead: float, slots: int, now: int
    ) -> None:
        """Record a completed call to a replica that states its service time.

        :param took_ms: its time, with that in the replica's queue.
        :param factor: the replica's service time, as a multiple of the usual.
        :param ahead: requests there when it was sent, as far as known.
        """
        call_ms = took_ms / (factor * expected_ms(1.0, ahead, slots))
        call_ms = max(MIN_CALL_MS, call_ms)
        known_ms = self.call_ms(now)
        if known_ms is None:
            self._ms, self._count = call_ms, 0
        else:
            call_ms = min(call_ms, MAX_RATIO * known_ms)
        self._count = min(self._count + 1, round(1 / MIN_WEIGHT))
        self._ms += (call_ms - self._ms) / self._count
        self._learned_at = now


def expected_ms(call_ms: float, ahead: float, slots: int) -> float:
    """Return the expected time of a call, with that in the replica's queue.

    :param call_ms: the time of a call there without waiting.
    :param ahead: requests that run or wait there.
    """
    queued = max(0.0, ahead - slots + 1)
    return call_ms * (1 + queued / slots + TIE_PART * ahead / slots)


class ReportedRequests:
    """Requests of other instances at a replica, smoothed.

    Reports are some hundred ms old, in which a replica serves several calls
    in each slot, so one report says little of what is there now.
    """

    def __init__(self) -> None:
        self._requests = 0.0
        self._reported_at: int | None = None

    @property
    def requests(self) -> float:
        """Requests at the replica, as far as was reported."""
        return self._requests

    def note(self, requests: int, now: int) -> None:
        """Record the sum that the other instances reported."""
        weight = 1.0
        if self._reported_at is not None:
            age_ms = now - self._reported_at
            weight -= 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        self._requests += weight * (requests - self._requests)
        self._reported_at = now


def requests_of_others(
    reported: float, stated: int | None, stated_age_ms: int
) -> float:
    """Return how many requests of other instances are at a replica.

    What the replica stated is exact at first and soon old.

    :param reported: by the other instances, smoothed.
    :param stated: requests that ran and waited there, without this
        instance's own; None if unknown.
    """
    if stated is None:
        return reported
    weight = 0.5 ** (stated_age_ms / STATED_HALF_LIFE_MS)
    return weight * stated + (1 - weight) * reported


def share_of_others(own: int, of_others: float) -> float:
    """Return the share of calls that are known only by stale information."""
    return of_others / (own + of_others) if own or of_others else 1.0


def draw_wait(
    wait_ms: float, of_others: float, random_source: random.Random
) -> float:
    """Return a wait that is as likely as others, from 0 to twice the mean.

    If all instances took the mean, all would refuse calls at the same time,
    and none once the replicas are idle. So the longer the wait is, the more
    of the calls are refused.

    :param wait_ms: the mean.
    :param of_others: the share of calls that are known only by stale
        information.
    """
    return wait_ms * random_source.uniform(1 - of_others, 1 + of_others)


def draw_replica(
    costs: list[float], of_others: float, random_source: random.Random
) -> int:
    """Return the index of the replica that gets a call, drawn by its cost.

    All instances have the same stale information of each other's calls. If
    each took the replica that seems best, all would take the same one, and
    another one as the next reports arrive. So each draws; the more of the
    calls are its own, of which it knows at once, the surer it takes the best.
    Source: M. Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 2000.

    :param of_others: the share of calls that are known only by stale
        information.
    """
    sharpness = MIN_SHARPNESS + OWN_SHARPNESS * (1 - of_others)
    least = min(costs)
    weights = [(least / cost) ** sharpness for cost in costs]
    return random_source.choices(range(len(costs)), weights)[0]
