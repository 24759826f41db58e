"""Compares requests with and without the warm-up of replicas.

Instances choose among emulated replicas by the product's own code, in virtual
time. One replica stops and starts again, slow for a while. The product's
connections and forwarding are left out, so that 86 instances take seconds.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Coroutine
from concurrent import futures
import enum
import heapq
import itertools
import random
import typing

from emulator import _warm_up_replicas
from geraniumlink import _clock
from geraniumlink.residency import _load_totals
from geraniumlink.residency import _messages
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _balance
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _permits
from geraniumlink.serving import _replica_choice
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_state
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _warm_up

LATENCY_MS = 1
REPORT_INTERVAL_MS = 250
# A new entry reaches the instances within this time.
MIN_ENTRY_DELAY_MS = 10
MAX_ENTRY_DELAY_MS = 100
# The replica that starts is watched for this long.
WINDOW_MS = 10_000
MAX_ATTEMPTS = 3
TIMEOUT_MS = 2000
DATA_CENTRE = "a"
_T = typing.TypeVar("_T")


class Outcome(enum.Enum):
    """How a request, or an attempt of it, ended."""

    IN_TIME = "in time"
    LATE = "late"
    REJECTED = "rejected"
    FAILED = "failed"
    REFUSED = "refused"


class Counts(typing.NamedTuple):
    """Figures of a trial, within WINDOW_MS from the start of the replica.

    The field names are keys of the JSON report.
    """

    # Attempts at the replica that started.
    sent: int
    late: int
    rejected: int
    failed: int
    # Requests that were not in time elsewhere, though there was room for them
    # to be in time at the replica that started.
    missed_there: int
    # All requests, by their final outcome.
    requests: int
    in_time: int


class Comparison(typing.TypedDict):
    """Figures of one trial with and without warm-ups, by seed.

    The field names are keys of the JSON report.
    """

    trial: str
    without: list[Counts]
    with_warm_ups: list[Counts]


class _Clock(_clock.Clock):
    def __init__(self) -> None:
        self.ms = 0

    def now(self) -> int:
        return self.ms


class _NoPermits:
    """No replica limits its requests."""

    instances = 1

    async def acquire(
        self, replica: _replicas.Replica, max_delay_ms: int
    ) -> _permits.Answer:
        return _permits.Granted(0)

    def release(self, replica: _replicas.Replica, is_rejected: bool) -> None:
        """Do nothing."""


class _Request:
    """A client's request, and what becomes of it."""

    def __init__(
        self, state: _request_state.RequestState, took_ms: float, node: int
    ) -> None:
        self.state = state
        # Its duration at a replica of the usual speed without an engine.
        self.took_ms = took_ms
        # Number of the instance.
        self.node = node
        self.would_be_in_time = False
        self.outcome = Outcome.REFUSED


class _Attempt(typing.NamedTuple):
    request: _Request
    replica: _replicas.Replica
    server: _warm_up_replicas.Server
    sent_at: int
    expected_ms: float
    # Prompt tokens that aren't known to be cached.
    tokens: int
    # Requests at the replica before it, as far as known.
    ahead: float


class _Instance:
    """One instance: its replicas, its choice, and its warm-ups."""

    def __init__(self, clock: _Clock, seed: str, paces: bool) -> None:
        self.replicas = _replicas.Replicas(clock, 10**9)
        self.warm_ups = _warm_up.WarmUps(self.replicas, clock)
        random_source = random.Random(seed)
        self.chooser = _replica_choice.ReplicaChooser(
            active_configuration=(_active_configuration.ActiveConfiguration()),
            replicas=self.replicas,
            permits=_NoPermits(),
            final_answers=_final_answers.FinalAnswers(random_source),
            clock=clock,
            data_centre=DATA_CENTRE,
            random_source=random_source,
            choose=_balance.choose_replica,
            warm_ups=self.warm_ups if paces else None,
        )


def compare(seeds: range, jobs: int) -> list[Comparison]:
    """Run each trial with and without warm-ups, with the same seeds.

    :param jobs: the number of processes that run at a time.
    """
    with futures.ProcessPoolExecutor(jobs) as pool:
        submitted = [
            [
                [pool.submit(run, trial, seed, paces) for seed in seeds]
                for paces in (False, True)
            ]
            for trial in _warm_up_replicas.TRIALS
        ]
        return [
            Comparison(
                trial=trial.name,
                without=[future.result() for future in without],
                with_warm_ups=[future.result() for future in with_warm_ups],
            )
            for trial, (without, with_warm_ups) in zip(
                _warm_up_replicas.TRIALS, submitted, strict=True
            )
        ]


def run(trial: _warm_up_replicas.Trial, seed: int, paces: bool) -> Counts:
    """Run a trial; equal arguments give equal figures.

    :param paces: whether the instances warm replicas up.
    """
    return _Simulation(trial, seed, paces).run()


class _Simulation:
    """The state of one trial."""

    def __init__(
        self, trial: _warm_up_replicas.Trial, seed: int, paces: bool
    ) -> None:
        self._trial = trial
        self._paces = paces
        self._random = random.Random(f"{trial.name}-{seed}")
        self._clock = _Clock()
        self._events: list[
            tuple[float, int, Callable[..., None], tuple[typing.Any, ...]]
        ] = []
        self._numbers = itertools.count()
        self._servers = {
            f"r{number}": _warm_up_replicas.Server(trial, f"r{number}")
            for number in range(trial.replicas)
        }
        self._watched = self._servers["r0"]
        self._instances = [
            _Instance(self._clock, f"{trial.name}-{seed}-{number}", paces)
            for number in range(trial.instances)
        ]
        for instance in self._instances:
            instance.replicas.replace_all(
                server.entry() for server in self._servers.values()
            )
        self._unreachable: list[set[str]] = [set() for _ in self._instances]
        self._totals = _load_totals.LoadTotals(self._clock)
        self._requests: list[_Request] = []
        # By how attempts at the replica that starts ended, in the window.
        self._sent = 0
        self._ended: collections.Counter[Outcome] = collections.Counter()

    def run(self) -> Counts:
        trial = self._trial
        for number in range(trial.instances):
            phase_ms = self._random.uniform(0, REPORT_INTERVAL_MS)
            self._after(phase_ms, self._report, number)
        self._after(trial.stop_ms, self._stop)
        self._after(trial.start_ms, self._start)
        at = 0.0
        while at < trial.start_ms + WINDOW_MS:
            at += self._random.expovariate(trial.rate_per_s / 1000)
            self._after(at, self._arrive_from_client)
        while self._events:
            due, _, call, arguments = heapq.heappop(self._events)
            if due > trial.start_ms + WINDOW_MS + TIMEOUT_MS:
                break
            self._clock.ms = int(due)
            call(*arguments)
        outcomes = [request.outcome for request in self._requests]
        return Counts(
            sent=self._sent,
            late=self._ended[Outcome.LATE],
            rejected=self._ended[Outcome.REJECTED],
            failed=self._ended[Outcome.FAILED],
            missed_there=sum(
                request.would_be_in_time
                and request.outcome is not Outcome.IN_TIME
                for request in self._requests
            ),
            requests=len(outcomes),
            in_time=outcomes.count(Outcome.IN_TIME),
        )

    def _after(
        self, ms: float, call: Callable[..., None], *arguments: typing.Any
    ) -> None:
        heapq.heappush(
            self._events,
            (self._clock.ms + ms, next(self._numbers), call, arguments),
        )

    def _in_window(self) -> bool:
        return 0 <= self._clock.ms - self._trial.start_ms < WINDOW_MS

    # The replica that stops and starts.

    def _stop(self) -> None:
        for attempt in self._watched.stop():
            self._end_unrun(attempt, Outcome.FAILED)
        if not self._trial.is_recovery:
            others = [s for s in self._servers.values() if s.is_up]
            for instance in self._instances:
                instance.replicas.replace_all(s.entry() for s in others)

    def _start(self) -> None:
        self._watched.start(self._clock.ms)
        if self._trial.is_recovery:
            return
        for instance in self._instances:
            delay_ms = self._random.uniform(
                MIN_ENTRY_DELAY_MS, MAX_ENTRY_DELAY_MS
            )
            self._after(
                delay_ms, instance.replicas.update, self._watched.entry()
            )

    # Reports between the instances.

    def _report(self, number: int) -> None:
        """Exchange an instance's report for the controller's answer."""
        self._after(REPORT_INTERVAL_MS, self._report, number)
        instance = self._instances[number]
        self._totals.record(
            str(number),
            {
                replica.entry.name: _messages.ReplicaLoad(
                    replica.in_flight, dict(replica.prefill_tokens)
                )
                for replica in instance.replicas.all()
                if (replica.entry.residents or replica.service_time.is_stated)
                and replica.in_flight
            },
        )
        others = self._totals.excluding(str(number))
        self._after(2 * LATENCY_MS, self._apply_loads, instance, others)
        if not self._paces:
            return
        controller = self._instances[0].warm_ups
        self._unreachable[number] = instance.replicas.unreachable_names()
        votes = collections.Counter(itertools.chain(*self._unreachable))
        controller.note_unreachable(votes, len(self._instances))
        answer = controller.answer_report(instance.warm_ups.make_report())
        if answer is not None:
            self._after(2 * LATENCY_MS, instance.warm_ups.apply_answer, answer)

    def _apply_loads(
        self, instance: _Instance, loads: dict[str, _messages.ReplicaLoad]
    ) -> None:
        nothing = _messages.ReplicaLoad(0, {})
        for replica in instance.replicas.all():
            load = loads.get(replica.entry.name, nothing)
            replica.note_peer_load(
                _replicas.PeerLoad(
                    load.in_flight, load.prefill_tokens, self._clock.ms
                )
            )

    # Requests.

    def _arrive_from_client(self) -> None:
        request = _Request(
            _request_state.RequestState(
                self._trial.make_request(self._clock.ms, self._random),
                # Nothing is sent to a client.
                typing.cast(_response_writer.ResponseWriter, None),
                self._trial.route(),
                _warm_up_replicas.SERVICE,
                self._clock.ms + TIMEOUT_MS,
            ),
            self._random.uniform(*self._trial.call_ms),
            self._random.randrange(self._trial.instances),
        )
        if self._in_window():
            self._requests.append(request)
        self._send(request)

    def _send(self, request: _Request) -> None:
        """Send a request to the replica that is chosen, if there is one."""
        instance, state = self._instances[request.node], request.state
        available = [
            replica
            for replica in instance.replicas.available(state.service)
            if replica.entry.name not in state.tried_replicas
        ]
        if not available:
            return
        choice = run_at_once(
            instance.chooser.choose(state, available, available)
        )
        if not isinstance(choice, _balance.Choice):
            request.outcome = Outcome.REFUSED
            return
        replica = choice.replica
        server = self._servers[replica.entry.name]
        state.tried_replicas.add(server.name)
        self._note_sent(request, server)
        tokens = replica.prefix_cache.uncached_tokens(state.request)
        now = self._clock.ms
        ahead = replica.in_flight + _balance.requests_of_others(replica, now)
        replica.begin_request(now)
        replica.prefill_tokens[1] += tokens
        attempt = _Attempt(
            request, replica, server, now, choice.expected_ms, tokens, ahead
        )
        self._after(LATENCY_MS, self._arrive, attempt)

    def _note_sent(
        self, request: _Request, server: _warm_up_replicas.Server
    ) -> None:
        """Count a request, and whether the watched replica has room."""
        if not self._in_window():
            return
        if server is self._watched:
            self._sent += 1
            return
        now = self._clock.ms
        answer_at = now + self._watched.expected_ms(request.took_ms, now)
        request.would_be_in_time |= (
            answer_at - request.state.request.received_at
            <= self._trial.target_ms
        )

    def _arrive(self, attempt: _Attempt) -> None:
        server, now = attempt.server, self._clock.ms
        if not server.is_up:
            attempt.replica.note_unreachable(now, "connection refused")
            self._end_unrun(attempt, Outcome.FAILED)
        elif not server.has_room:
            self._note_load(attempt)
            attempt.replica.last_rejection.note(now)
            self._after(LATENCY_MS, self._end_unrun, attempt, Outcome.REJECTED)
        else:
            server.waiting.append(attempt)
            self._run_waiting(server)

    def _run_waiting(self, server: _warm_up_replicas.Server) -> None:
        while server.waiting and server.running < self._trial.slots:
            attempt = server.waiting.popleft()
            first_ms, total_ms = server.run(
                attempt.request.state.request,
                attempt.request.took_ms,
                self._clock.ms,
            )
            process = server.started_at
            self._after(first_ms, self._answer, attempt, process)
            self._after(total_ms, self._release, attempt, process)

    def _answer(self, attempt: _Attempt, process: int) -> None:
        """Send the first event, unless the replica has ended."""
        if attempt.server.is_process(process):
            self._note_load(attempt)
            self._after(LATENCY_MS, self._end, attempt, None)
        else:
            attempt.replica.note_outcome(True, self._clock.ms)
            self._end(attempt, Outcome.FAILED)

    def _release(self, attempt: _Attempt, process: int) -> None:
        attempt.replica.in_flight -= 1
        if attempt.server.is_process(process):
            attempt.server.running -= 1
            self._run_waiting(attempt.server)

    def _note_load(self, attempt: _Attempt) -> None:
        now = self._clock.ms
        attempt.replica.note_activity(now)
        attempt.replica.note_load(attempt.server.load(now), now)

    def _end(self, attempt: _Attempt, failure: Outcome | None) -> None:
        """Record the first event, or the failure, of an attempt."""
        request, replica = attempt.request, attempt.replica
        now = self._clock.ms
        replica.prefill_tokens[1] -= attempt.tokens
        took_ms = now - attempt.sent_at
        is_in_time = failure is None and took_ms <= self._trial.target_ms
        replica.answers = replica.answers.with_one(is_in_time)
        if failure is None:
            self._note_first_event(attempt, took_ms)
            received_at = request.state.request.received_at
            late = now - received_at > self._trial.target_ms
            request.outcome = Outcome.LATE if late else Outcome.IN_TIME
        else:
            request.outcome = failure
        started = self._trial.start_ms
        if attempt.server is self._watched and (
            0 <= attempt.sent_at - started < WINDOW_MS
        ):
            late_there = failure is None and not is_in_time
            self._ended[
                failure or (Outcome.LATE if late_there else Outcome.IN_TIME)
            ] += 1
        if failure and len(request.state.tried_replicas) < MAX_ATTEMPTS:
            self._send(request)

    def _end_unrun(self, attempt: _Attempt, failure: Outcome) -> None:
        attempt.replica.in_flight -= 1
        self._end(attempt, failure)

    def _note_first_event(self, attempt: _Attempt, took_ms: int) -> None:
        replica, now = attempt.replica, self._clock.ms
        replica.note_outcome(False, now)
        factor = replica.service_time.factor(now)
        if not attempt.request.state.request.model:
            if replica.service_time.is_stated:
                replica.call_times.note_call(
                    took_ms, factor, attempt.ahead, self._trial.slots, now
                )
        elif attempt.tokens:
            replica.note_excess_latency(took_ms - attempt.expected_ms, now)
            replica.prefill_speed.note_first_event(
                attempt.tokens, round(took_ms / factor)
            )
            replica.prefix_cache.remember(attempt.request.state.request)


def run_at_once(coroutine: Coroutine[typing.Any, typing.Any, _T]) -> _T:
    """Run a coroutine that doesn't wait, without an event loop.

    :raises RuntimeError: if it waits.
    """
    try:
        coroutine.send(None)
    except StopIteration as result:
        return typing.cast(_T, result.value)
    raise RuntimeError("the coroutine waits")
