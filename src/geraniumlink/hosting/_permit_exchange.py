"""Gets permits from the controller, which issues them for all instances.

The controller's lease makes sure that there is one issuer. Without an answer
an instance uses its part of a fraction of the rate by itself, so that all
instances together stay within the limit whether the controller has ended or
is only out of reach. Each message is one datagram, as a request must not wait
for a controller that doesn't answer; a lost one is a permit that isn't used.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.hosting import _datagrams
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _permits
from geraniumlink.serving import _replicas

# How long the controller's answer is waited for. Between regions a message
# takes tens of milliseconds each way.
ANSWER_TIMEOUT_MS = 250
# After a missing answer, the controller isn't asked for this long.
SILENCE_MS = 1000
# Part of a limit that a former controller goes on to issue while it can't
# renew its lease, and that all instances without one use together.
UNSURE_SHARE = 0.5
# A limit below this is raised to it: without any request the end of the limit
# would never be seen.
MIN_PER_S = 0.1


class Leadership(typing.Protocol):
    """Tells which instance is the controller."""

    @property
    def leader(self) -> str: ...

    @property
    def is_leader(self) -> bool: ...

    @property
    def epoch(self) -> int: ...

    def may_order(self) -> bool: ...


class _Terms(typing.NamedTuple):
    """What a permit depends on."""

    replica: str
    # Requests a second; None if the replica doesn't limit them.
    per_s: float | None
    # Requests that it can run at once; None if it may reject more.
    slots: int | None


class _Issuer:
    """Issues for all instances in one term of the controller's lease.

    Each term begins without permits.
    """

    def __init__(self, epoch: int, clock: _clock.Clock) -> None:
        self.epoch = epoch
        self.rate = _permits.RateLimiter(clock, _whole_interval)
        self.room = _permits.RoomLimiter(clock)


class PermitExchange:
    """Both sides of the exchange for one instance."""

    def __init__(
        self,
        *,
        replicas: _replicas.Replicas,
        leadership: Leadership,
        directory: _instance_directory.InstanceDirectory,
        datagrams: _datagrams.Datagrams,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._replicas = replicas
        self._leadership = leadership
        self._directory = directory
        self._datagrams = datagrams
        self._clock = clock
        self._random = random_source
        self._numbers = itertools.count(1)
        # Permits that were asked for and not answered yet, by number.
        self._pending: dict[int, asyncio.Future[_permits.Answer]] = {}
        # Used while this instance is the controller.
        self._issuer = _Issuer(0, clock)
        # This instance's own part, while no controller answers.
        self._own_part: _permits.RateLimiter | None = None
        # The controller that did not answer, and until when it isn't asked.
        self._silent_controller = ""
        self._silent_until = 0
        datagrams.add_handler(("permit",), self._handle_request)
        datagrams.add_handler(("release",), self._handle_release)
        datagrams.add_handler(("granted", "denied"), self._handle_answer)

    @property
    def instances(self) -> int:
        """How many instances are known to share the permits."""
        return len(self._directory.others) + 1

    async def acquire(
        self, replica: _replicas.Replica, max_delay_ms: int
    ) -> _permits.Answer:
        """Return a permit for a request to a replica with a limit."""
        terms = _Terms(
            replica.entry.name,
            replica.rate_limit.per_s,
            replica.entry.slots if self._is_brittle(replica) else None,
        )
        if self._leadership.is_leader:
            return self._issue(
                self._directory.own_address, terms, max_delay_ms
            )
        answer = await self._ask(terms, max_delay_ms)
        if answer is None:
            return self._use_own_part(replica, terms, max_delay_ms)
        return answer

    def release(self, replica: _replicas.Replica, is_rejected: bool) -> None:
        """Give the room of a request back that has ended."""
        max_rejections = self._replicas.max_rejections(replica)
        if max_rejections is None:
            return
        name = replica.entry.name
        rejected = max_rejections if is_rejected else None
        if self._leadership.is_leader:
            self._release(self._directory.own_address, name, rejected)
        elif self._leadership.leader:
            self._datagrams.send(
                [self._leadership.leader], ["release", name, rejected]
            )

    def note_report(self, instance: str, loads: dict[str, int]) -> None:
        """Record, as the controller, an instance's requests in flight.

        :param instance: its address.
        """
        self._current_issuer().room.note_report(instance, loads)

    def _is_brittle(self, replica: _replicas.Replica) -> bool:
        return self._replicas.max_rejections(replica) is not None

    def _current_issuer(self) -> _Issuer:
        """Return what this instance issues from in its present term."""
        if self._issuer.epoch != self._leadership.epoch:
            self._issuer = _Issuer(self._leadership.epoch, self._clock)
        return self._issuer

    def _issue(
        self, instance: str, terms: _Terms, max_delay_ms: int
    ) -> _permits.Answer:
        """Issue a permit as the controller."""
        issuer = self._current_issuer()
        answer: _permits.Answer = _permits.Granted(0)
        if terms.slots is not None:
            answer = issuer.room.acquire(instance, terms.replica, terms.slots)
        if terms.per_s is None or isinstance(answer, _permits.Denied):
            return answer
        per_s = max(MIN_PER_S, terms.per_s)
        if not self._leadership.may_order():
            per_s *= UNSURE_SHARE
        answer = issuer.rate.acquire(terms.replica, per_s, max_delay_ms)
        if terms.slots is not None and isinstance(answer, _permits.Denied):
            issuer.room.release(instance, terms.replica)
        return answer

    def _release(
        self, instance: str, replica: str, rejected: float | None
    ) -> None:
        """Give room back as the controller.

        :param rejected: the rejections a second that the replica survives, if
            it rejected the request.
        """
        room = self._current_issuer().room
        room.release(instance, replica)
        if rejected is not None:
            room.note_rejection(replica, rejected)

    async def _ask(
        self, terms: _Terms, max_delay_ms: int
    ) -> _permits.Answer | None:
        """Ask the controller; None if there is none or it doesn't answer."""
        controller = self._leadership.leader
        if not controller or (
            controller == self._silent_controller
            and self._clock.now() < self._silent_until
        ):
            return None
        number = next(self._numbers)
        answer: asyncio.Future[_permits.Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = answer
        self._datagrams.send(
            [controller], ["permit", number, *terms, max_delay_ms]
        )
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_MS / 1000):
                result = await answer
                self._own_part, self._silent_controller = None, ""
                return result
        finally:
            del self._pending[number]
        _logs.event("permits_missing", controller=controller)
        self._silent_controller = controller
        self._silent_until = self._clock.now() + SILENCE_MS
        return None

    def _use_own_part(
        self,
        replica: _replicas.Replica,
        terms: _Terms,
        max_delay_ms: int,
    ) -> _permits.Answer:
        """Issue a permit from this instance's part of the limit."""
        if self.instances == 1:
            # It isn't known yet how many instances share the limit.
            return _permits.Denied(SILENCE_MS)
        part = UNSURE_SHARE / self.instances
        if terms.slots is not None and replica.in_flight >= max(
            1, int(part * terms.slots)
        ):
            return _permits.Denied(_permits.ROOM_RETRY_MS)
        if terms.per_s is None:
            return _permits.Granted(0)
        if self._own_part is None:
            # All instances may miss the controller at the same moment.
            self._own_part = _permits.RateLimiter(
                self._clock,
                lambda interval_ms: self._random.uniform(0, interval_ms),
            )
        per_s = part * max(MIN_PER_S, terms.per_s)
        return self._own_part.acquire(terms.replica, per_s, max_delay_ms)

    def _handle_request(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Answer another instance, unless this isn't the controller.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [
                _,
                int(number),
                str(replica),
                (int() | float() | None) as per_s,
                (int() | None) as slots,
                int(max_delay_ms),
            ]:
                terms = _Terms(replica, per_s, slots)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")
        if not self._leadership.is_leader:
            return
        match self._issue(str(sender), terms, max_delay_ms):
            case _permits.Granted(delay_ms):
                answer = ["granted", number, delay_ms]
            case _permits.Denied(retry_ms):
                answer = ["denied", number, retry_ms]
        self._datagrams.send([str(sender)], answer)

    def _handle_release(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Give another instance's room back, if this is the controller.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [_, str(replica), (int() | float() | None) as rejected]:
                if self._leadership.is_leader:
                    self._release(str(sender), replica, rejected)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")

    def _handle_answer(
        self, message: list[typing.Any], _: _settings.Address
    ) -> None:
        """Pass the controller's answer to the request that waits for it.

        :raises ValueError: if the message is malformed.
        """
        answer: _permits.Answer
        match message:
            case ["granted", int(number), int(delay_ms)]:
                answer = _permits.Granted(delay_ms)
            case ["denied", int(number), int(retry_ms)]:
                answer = _permits.Denied(retry_ms)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")
        pending = self._pending.get(number)
        if pending is not None and not pending.done():
            pending.set_result(answer)


def _whole_interval(interval_ms: float) -> float:
    return interval_ms
