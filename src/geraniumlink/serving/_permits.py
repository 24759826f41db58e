"""Permits to send requests to replicas that limit their rate.

A replica's limit holds for the requests of all instances together. A share
for each instance would be of no use where the limit is below one request a
second for each, so an instance gets a permit for each request from the one
that issues them for all. An issuer that just took over begins without any.
Source of the algorithm: the generic cell rate algorithm, ITU-T I.371.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import typing

from geraniumlink import _clock
from geraniumlink.serving import _replicas

# Permits that were not asked for in this time may be issued together later;
# at least one is.
BURST_MS = 400
# A replica's schedule is dropped when nothing has been due for this long.
FORGET_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Granted:
    """One request may be sent after a delay."""

    delay_ms: int


@dataclasses.dataclass(frozen=True)
class Denied:
    """No request may be sent."""

    # When a permit may be had, as far as is known.
    retry_ms: int


Answer = Granted | Denied


class Permits(typing.Protocol):
    """Issues permits, or gets them from the instance that does."""

    async def acquire(
        self, replica: _replicas.Replica, max_delay_ms: int
    ) -> Answer:
        """Return a permit for a request to a replica with a limit.

        :param max_delay_ms: a later permit is of no use.
        """


class RateLimiter:
    """Schedules the requests to each replica at its rate.

    :param first_delay_ms: returns the time until the first permit for a
        replica, given the interval between its permits.
    """

    def __init__(
        self, clock: _clock.Clock, first_delay_ms: Callable[[float], float]
    ) -> None:
        self._clock = clock
        self._first_delay_ms = first_delay_ms
        # By replica, when the next permit is due at a steady rate. Each may
        # be issued BURST_MS early. Those due first come first.
        self._due_at: dict[str, float] = {}
        # The interval that this was computed with.
        self._interval_ms: dict[str, float] = {}

    def acquire(self, replica: str, per_s: float, max_delay_ms: int) -> Answer:
        """Return a permit at a rate, or until when there is none.

        :param per_s: more than 0.
        """
        now = self._clock.now()
        interval_ms = 1000 / per_s
        due_at = self._update_due_at(replica, interval_ms, now)
        delay_ms = max(0.0, due_at - BURST_MS - now)
        if delay_ms > max_delay_ms:
            return Denied(_round_up(delay_ms))
        self._due_at[replica] = max(due_at, now + delay_ms) + interval_ms
        return Granted(_round_up(delay_ms))

    def _update_due_at(
        self, replica: str, interval_ms: float, now: int
    ) -> float:
        """Return when a replica's next permit is due at the present rate."""
        if replica not in self._due_at:
            self._forget_idle(now)
            due_at = now + BURST_MS + self._first_delay_ms(interval_ms)
        else:
            due_at = self._due_at[replica]
            ratio = interval_ms / self._interval_ms[replica]
            if due_at > now:
                due_at = now + (due_at - now) * ratio
        self._due_at[replica] = due_at
        self._interval_ms[replica] = interval_ms
        return due_at

    def _forget_idle(self, now: int) -> None:
        for replica, due_at in list(self._due_at.items()):
            if now - due_at > FORGET_MS:
                del self._due_at[replica]
                del self._interval_ms[replica]


def _round_up(milliseconds: float) -> int:
    return -int(-milliseconds // 1)
