"""Plays calls of many instances to a few replicas, in virtual time.

The instances decide by the product's own functions on what they know of the
replicas: their own calls at once, those of others as the controller passes
them on, and the replicas' load as stated with responses.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

from geraniumlink.serving import _balance
from geraniumlink.serving import _call_times
from geraniumlink.serving import _rejections
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from tests import builders

SLOTS = 6
CALL_MS = (60, 90)
REPORT_MS = 250
LATENCY_MS = 1
LIMIT = _retry_budgets.RetryLimit(0.2, 56, 10_000)


class Load(typing.NamedTuple):
    """The load that is played."""

    # Rates in calls a second, each for a number of ms, in turn.
    phases: tuple[tuple[float, int], ...]
    duration_ms: int = 40_000
    # Calls are of no use after this time.
    timeout_ms: int = 300
    # Calls that wait at a replica before it rejects more.
    queue: int = 12
    # Usual service times of the replicas, in percent.
    percents: tuple[float, ...] = (100, 100, 100)
    states_service_time: bool = True
    instances: int = 86
    seed: int = 1


class _Clock:
    """The simulation's time."""

    def __init__(self) -> None:
        self.ms = 0

    def now(self) -> int:
        return self.ms


class _Server:
    """A replica: calls run in its slots or wait in order."""

    def __init__(self, percent: float) -> None:
        # Its usual service time.
        self.percent = percent
        self.running = 0
        self.waiting: collections.deque[_Call] = collections.deque()


class _Call:
    """A call of one client."""

    def __init__(self, instance: _Instance, now: int) -> None:
        self.instance = instance
        self.began = now
        self.tried: set[int] = set()
        self.sent_at = now
        self.ahead = 0.0


class _Instance:
    """What one instance knows."""

    def __init__(self, clock: _Clock, load: Load) -> None:
        times = _call_times.CallTimes()
        self.replicas = [
            _replicas.Replica(
                builders.replica_entry(f"r{number}", models=())._replace(
                    slots=SLOTS
                ),
                call_times=times,
            )
            for number in range(len(load.percents))
        ]
        self.budgets = _retry_budgets.RetryBudgets(LIMIT, clock)
        self.budgets.set_instances(load.instances)
        self.reported = [0] * len(load.percents)


class Simulation:
    """One play; ``counts`` has the number of calls by outcome."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._random = random.Random(load.seed)
        # The same arrivals whatever is decided.
        self._arrivals = random.Random(load.seed)
        self._clock = _Clock()
        self._servers = [_Server(percent) for percent in load.percents]
        self._instances = [
            _Instance(self._clock, load) for _ in range(load.instances)
        ]
        self._events: list[tuple[int, int, typing.Any, tuple]] = []
        self._numbers = itertools.count()
        self._request = builders.model_request("", prompt_tokens=0)
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent = 0
        self.times: list[int] = []

    def play(self) -> Simulation:
        for instance in self._instances:
            self._at(
                self._random.uniform(0, REPORT_MS), self._report, instance
            )
        self._at(0, self._arrive)
        while self._events:
            self._clock.ms, _, call, args = heapq.heappop(self._events)
            if self._clock.ms > self._load.duration_ms + 2000:
                break
            call(*args)
        return self

    def share(self, outcome: str) -> float:
        return self.counts[outcome] / self.counts.total()

    def _at(self, delay_ms: float, call, *args) -> None:
        at = self._clock.ms + round(delay_ms)
        heapq.heappush(self._events, (at, next(self._numbers), call, args))

    def _arrive(self) -> None:
        now = self._clock.ms
        if now > self._load.duration_ms:
            return
        phases = self._load.phases
        position = now % sum(length for _, length in phases)
        rate = 0.0
        for rate, length in phases:  # noqa: B007
            if position < length:
                break
            position -= length
        self._at(1000 * self._arrivals.expovariate(rate), self._arrive)
        call = _Call(self._arrivals.choice(self._instances), now)
        call.instance.budgets.deposit("s")
        self._try(call)

    def _try(self, call: _Call) -> None:
        now, replicas = self._clock.ms, call.instance.replicas
        left = [r for n, r in enumerate(replicas) if n not in call.tried]
        if not left:
            self.counts["rejected"] += 1
            return
        choice = _balance.choose_replica(
            _rejections.prefer_others(left, now),
            self._request,
            1,
            "dc1",
            now,
            self._random,
        )
        if choice.expected_ms > call.began + self._load.timeout_ms - now:
            self.counts["refused"] += 1
            return
        replica = choice.replica
        call.sent_at = now
        call.ahead = replica.in_flight + _balance.requests_of_others(
            replica, now
        )
        replica.begin_request(now)
        number = replicas.index(replica)
        call.tried.add(number)
        self.sent += 1
        self._at(LATENCY_MS, self._receive, call, number)

    def _receive(self, call: _Call, number: int) -> None:
        server = self._servers[number]
        if server.running < SLOTS:
            self._start(call, number)
        elif len(server.waiting) < self._load.queue:
            server.waiting.append(call)
        else:
            self._at(
                LATENCY_MS, self._reject, call, number, self._state(number)
            )

    def _start(self, call: _Call, number: int) -> None:
        server = self._servers[number]
        server.running += 1
        took_ms = self._random.uniform(*CALL_MS) * server.percent / 100
        self._at(took_ms, self._end, call, number)

    def _end(self, call: _Call, number: int) -> None:
        server = self._servers[number]
        state = self._state(number)
        server.running -= 1
        if server.waiting:
            self._start(server.waiting.popleft(), number)
        self._at(LATENCY_MS, self._answer, call, number, state)

    def _state(self, number: int) -> _types.LoadReport:
        server = self._servers[number]
        percent = server.percent * self._random.uniform(0.7, 1.3)
        return _types.LoadReport(
            server.running,
            len(server.waiting),
            SLOTS,
            percent if self._load.states_service_time else None,
        )

    def _reject(self, call: _Call, number: int, state) -> None:
        now, instance = self._clock.ms, call.instance
        replica = instance.replicas[number]
        replica.note_load(state, now)
        replica.in_flight -= 1
        replica.last_rejection.note(now)
        if instance.budgets.try_withdraw("s", keeps_reserve=True):
            self._try(call)
        else:
            self.counts["rejected"] += 1

    def _answer(self, call: _Call, number: int, state) -> None:
        now = self._clock.ms
        replica = call.instance.replicas[number]
        replica.note_load(state, now)
        if state.service_time_percent is not None:
            replica.call_times.note_call(
                now - call.sent_at,
                replica.service_time.factor(now),
                call.ahead,
                SLOTS,
                now,
            )
        replica.in_flight -= 1
        took_ms = now - call.began
        self.times.append(took_ms)
        in_time = took_ms <= self._load.timeout_ms
        self.counts["served" if in_time else "late"] += 1

    def _report(self, instance: _Instance) -> None:
        """Report own calls, and learn those of the others at that time."""
        now = self._clock.ms
        instance.reported = [
            replica.in_flight if replica.service_time.is_stated else 0
            for replica in instance.replicas
        ]
        for number, replica in enumerate(instance.replicas):
            others = sum(
                other.reported[number]
                for other in self._instances
                if other is not instance
            )
            replica.note_peer_load(_replicas.PeerLoad(others, {}, now))
        self._at(REPORT_MS, self._report, instance)
