"""Permits to send requests to replicas that limit what they are sent.

A replica may limit the rate of requests, or fail if it has to reject many for
want of room. Such a limit holds for the requests of all instances together. A
share for each instance would be of no use where the limit is below one request
a second for each, so an instance gets a permit for each request from the one
that issues them for all. An issuer that just took over begins without any.
Source of the algorithm for the rate: the generic cell rate algorithm, ITU-T
I.371; for the room: additive increase, multiplicative decrease (D. Chiu and
R. Jain, Computer Networks 1989).
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
# How soon a permit may be asked for again where there was no room.
ROOM_RETRY_MS = 40
# Part of a replica's slots that is used before it has shown what it takes: its
# memory may be full before its slots are.
INITIAL_PART = 0.75
# A rejection lowers a replica's room to this part of what was in use.
DECREASE_FACTOR = 0.8
# Requests by which the room grows in a second without rejections.
INCREASE_PER_S = 2.0
# After a rejection no permits are issued for this many times the interval
# between the rejections that the replica survives.
PAUSE_FACTOR = 1.5
# The requests of an instance that no longer reports count for this long.
REPORT_EXPIRY_MS = 1000


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

    @property
    def instances(self) -> int:
        """How many instances are known to share the permits."""

    async def acquire(
        self, replica: _replicas.Replica, max_delay_ms: int
    ) -> Answer:
        """Return a permit for a request to a replica with a limit.

        :param max_delay_ms: a later permit is of no use.
        """

    def release(self, replica: _replicas.Replica, is_rejected: bool) -> None:
        """Give the room of a request back that has ended.

        :param is_rejected: whether the replica rejected it for want of room.
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


class _Room:
    """The requests in flight at one replica, and how many there may be."""

    def __init__(self, slots: int, now: int) -> None:
        self.slots = slots
        # Requests by instance: as it last reported, with the permits issued
        # and given back since.
        self.in_flight: dict[str, int] = {}
        self.limit = max(1.0, INITIAL_PART * slots)
        self.changed_at = now
        self.paused_until = 0


class RoomLimiter:
    """Keeps the requests at each brittle replica within its room."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._rooms: dict[str, _Room] = {}
        # When each instance last reported.
        self._reported_at: dict[str, int] = {}
        # The last report of each, for replicas without a room here yet.
        self._reports: dict[str, dict[str, int]] = {}

    def acquire(self, instance: str, replica: str, slots: int) -> Answer:
        """Return a permit for an instance's request, if there is room.

        :param slots: requests that the replica can run at once.
        """
        now = self._clock.now()
        room = self._rooms.get(replica)
        if room is None or room.slots != slots:
            room = self._rooms[replica] = _Room(slots, now)
            for sender, loads in self._reports.items():
                room.in_flight[sender] = loads.get(replica, 0)
        self._grow(room, now)
        in_use = sum(
            count
            for sender, count in room.in_flight.items()
            if sender == instance
            or now - self._reported_at.get(sender, now) < REPORT_EXPIRY_MS
        )
        if now < room.paused_until:
            return Denied(room.paused_until - now)
        if in_use + 1 > room.limit:
            return Denied(ROOM_RETRY_MS)
        room.in_flight[instance] = room.in_flight.get(instance, 0) + 1
        return Granted(0)

    def release(self, instance: str, replica: str) -> None:
        """Count a request of an instance as ended."""
        room = self._rooms.get(replica)
        if room is not None:
            count = room.in_flight.get(instance, 0)
            room.in_flight[instance] = max(0, count - 1)

    def note_rejection(self, replica: str, max_rejections: float) -> None:
        """Lower the room of a replica that rejected a request."""
        room = self._rooms.get(replica)
        if room is None:
            return
        now = self._clock.now()
        if now >= room.paused_until:
            in_use = sum(room.in_flight.values())
            room.limit = max(1.0, DECREASE_FACTOR * min(room.limit, in_use))
        interval_ms = 1000 / max(1.0, max_rejections)
        room.paused_until = now + int(PAUSE_FACTOR * interval_ms)
        room.changed_at = room.paused_until

    def note_report(self, instance: str, loads: dict[str, int]) -> None:
        """Set an instance's requests in flight, by replica."""
        now = self._clock.now()
        self._reported_at[instance] = now
        self._reports[instance] = loads
        for replica, room in self._rooms.items():
            room.in_flight[instance] = loads.get(replica, 0)
        for sender, at in list(self._reported_at.items()):
            if now - at > FORGET_MS:
                self._forget_instance(sender)

    def _forget_instance(self, instance: str) -> None:
        del self._reported_at[instance], self._reports[instance]
        for room in self._rooms.values():
            room.in_flight.pop(instance, None)

    def _grow(self, room: _Room, now: int) -> None:
        """Raise the room by the time without rejections."""
        grown_ms = max(0, now - room.changed_at)
        room.limit = min(
            room.slots, room.limit + INCREASE_PER_S * grown_ms / 1000
        )
        room.changed_at = max(now, room.changed_at)


def _round_up(milliseconds: float) -> int:
    return -int(-milliseconds // 1)
