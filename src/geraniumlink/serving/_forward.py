"""Has each request served by a replica, or refuses it.

The order of the work on a request: find the route, choose a replica that
holds what is asked for, send, and relay the answer. What failed is repeated
elsewhere where the route's kind, its attempts, the budget of repeats and the
time left allow it.
"""

from __future__ import annotations

import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _attempt
from geraniumlink.serving import _balance
from geraniumlink.serving import _connections
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _task
from geraniumlink.serving import _types
from geraniumlink.suspicion import _suspicions

# Connections that can't be opened for one request before it is refused.
MAX_UNSENT = 4
# With less time left, a replica could not answer.
LEAST_LEFT_MS = 20
# Changes of the replicas arrive a few times a second.
LOOK_AGAIN_MS = 50
# What is left for the answer after a model was loaded.
SERVE_MS = 400


class Residency(typing.Protocol):
    """Has models and adapters loaded where they are asked for."""

    async def ensure_loaded(
        self,
        service: str,
        request: _types.Request,
        avoid: set[str],
        wait_ms: int,
    ) -> _outcomes.Refusal | None:
        """Return once some replica holds what the request needs."""

    def note_demand(self, service: str, request: _types.Request) -> None:
        """Count a request for the choice of what to load."""


class Forwarder:
    """Serves requests with the replicas known at this instance."""

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        replicas: _replicas.Replicas,
        residency: Residency,
        budgets: _retry_budgets.RetryBudgets,
        suspicions: _suspicions.SuspicionTable,
        metrics: _request_metrics.RequestMetrics,
        connections: _connections.ConnectionPool,
        clock: _clock.Clock,
        data_centre: str,
        random_source: random.Random,
        choose: _balance.ChooseReplica = _balance.choose_replica,
    ) -> None:
        self._active_configuration = active_configuration
        self._replicas = replicas
        self._residency = residency
        self._budgets = budgets
        self._suspicions = suspicions
        self._metrics = metrics
        self._clock = clock
        self._data_centre = data_centre
        self._random = random_source
        self._final = _final_answers.FinalAnswers(random_source)
        self._connections = connections
        self._choose_replica = choose
        self._waiting = 0

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a model or an adapter."""
        return self._waiting

    async def serve(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
    ) -> None:
        """Answer a request; nothing is left running when this ends."""
        current = self._active_configuration.current
        if current is None:
            await self._final.answer_own(
                response, _final_answers.UNAVAILABLE, "not started yet"
            )
            return
        route = self._active_configuration.find_route(
            request.host, request.target
        )
        if route is None:
            await self._final.answer_own(
                response, 404, "no such route", retry=False
            )
            return
        task = self._make_task(request, response, route)
        self._budgets.deposit(task.service)
        if request.model:
            self._residency.note_demand(task.service, request)
        now = self._clock.now()
        _decision_log.admitted(task, current.version, now)
        left_ms = task.until - now
        try:
            with anyio.move_on_after(left_ms / 1000) as scope:
                await self._serve(task)
            if scope.cancelled_caught:
                task.outcome = "timed out"
                await self._final.conclude_timeout(task)
        except BaseException:
            task.outcome = task.outcome or "client left"
            raise
        finally:
            now = self._clock.now()
            _decision_log.finished(task, now)
            self._metrics.finished(task, now)

    def _make_task(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
        route: _types.Route,
    ) -> _task.Task:
        wait_ms = route.timeout_ms
        if request.client_timeout_ms is not None:
            wait_ms = min(wait_ms, request.client_timeout_ms)
        until = request.received_at + wait_ms
        return _task.Task(
            request, response, route, self._service_of(route), until
        )

    def _service_of(self, route: _types.Route) -> str:
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or not any(weights):
            return route.shares[0].service
        return self._random.choices(route.shares, weights)[0].service

    async def _serve(self, task: _task.Task) -> None:
        while True:
            choice = await self._place(task)
            if isinstance(choice, _outcomes.Refusal):
                await self._final.refuse(task, choice)
                return
            outcome = await self._attempt(task, choice)
            self._metrics.attempted(
                task.service, type(outcome).__name__.lower()
            )
            if isinstance(outcome, _outcomes.Done):
                task.outcome = "done"
                return
            task.tried.add(choice.replica.entry.name)
            why_final = self._why_final(task, outcome)
            _decision_log.attempt_failed(task, outcome, why_final)
            if why_final:
                await self._final.conclude(task, outcome)
                return

    def _why_final(self, task: _task.Task, outcome: _outcomes.Outcome) -> str:
        """Return why a request isn't sent again; "" when it is."""
        if task.until - self._clock.now() < LEAST_LEFT_MS:
            return "no time left"
        if isinstance(outcome, _outcomes.Unsent):
            task.unsent += 1
            return "" if task.unsent <= MAX_UNSENT else "not connected"
        if not _may_repeat(task.route, outcome):
            return "the route does not allow it after this"
        if task.attempts >= task.route.max_attempts:
            return "no attempts left"
        if self._is_confirmed(task):
            return "it crashed replicas before"
        if not self._budgets.try_withdraw(task.service, task.log_id):
            return "no repeat budget left"
        return ""

    async def _place(
        self, task: _task.Task
    ) -> _balance.Choice | _outcomes.Refusal:
        """Choose a replica, after loading what is missing if need be."""
        if self._is_confirmed(task):
            return _outcomes.Refusal("it crashed replicas before", None)
        while True:
            now = self._clock.now()
            left_ms = task.until - now
            serving = [
                replica
                for replica in self._replicas.available(task.service)
                if replica.entry.name not in task.tried
            ]
            if not serving:
                return self._final.refusal("no replica is in service")
            request = task.request
            holders = [
                replica
                for replica in serving
                if replica.can_serve(request.model, request.adapter, now)
            ]
            if holders:
                return self._choose(task, holders, left_ms, now)
            wait_ms = min(left_ms, task.first_by - now) - SERVE_MS
            avoid = task.tried | self._replicas.unreachable_names()
            _decision_log.waiting(task, len(serving), wait_ms)
            self._waiting += 1
            try:
                refusal = await self._residency.ensure_loaded(
                    task.service, request, avoid, wait_ms
                )
            finally:
                self._waiting -= 1
            reason = refusal.reason if refusal else ""
            _decision_log.waited(task, reason, self._clock.now() - now)
            if refusal is not None:
                return refusal
            if not self._is_held(task, avoid):
                # The controller knows of a replica that isn't known here yet.
                await self._clock.sleep(LOOK_AGAIN_MS)

    def _is_held(self, task: _task.Task, avoid: set[str]) -> bool:
        now = self._clock.now()
        return any(
            replica.can_serve(task.request.model, task.request.adapter, now)
            for replica in self._replicas.available(task.service)
            if replica.entry.name not in avoid
        )

    def _choose(
        self,
        task: _task.Task,
        holders: list[_replicas.Replica],
        left_ms: int,
        now: int,
    ) -> _balance.Choice | _outcomes.Refusal:
        choice = self._choose_replica(
            holders,
            task.request,
            task.route.priority,
            self._data_centre,
            now,
            self._random,
        )
        late_ms = choice.expected_ms - min(left_ms, task.first_by - now)
        if late_ms > 0:
            return self._final.refusal(
                "no replica can answer in time", late_ms
            )
        return choice

    async def _attempt(
        self, task: _task.Task, choice: _balance.Choice
    ) -> _outcomes.Outcome:
        """Send the request to a replica and relay its answer."""
        replica = choice.replica
        entry = replica.entry
        task.last_replica = entry.name
        _decision_log.attempt(task, choice, self._clock.now())
        try:
            connection = await self._connections.acquire(
                entry.name,
                entry.address,
                strict_freshness=not task.route.retryable,
            )
        except _http.NotSentError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            return _outcomes.Unsent(str(error))
        task.attempts += 1
        attempt = _attempt.Attempt(
            self._clock, task, replica, connection, choice.expected_ms
        )
        outcome: _outcomes.Outcome | None = None
        try:
            outcome = await attempt.run()
        finally:
            if not attempt.reusable:
                await connection.close()
            elif outcome is not None:
                self._connections.release(entry.name, connection)
        await self._learn(task, replica, outcome)
        return outcome

    async def _learn(
        self,
        task: _task.Task,
        replica: _replicas.Replica,
        outcome: _outcomes.Outcome,
    ) -> None:
        now = self._clock.now()
        match outcome:
            case _outcomes.Done():
                replica.note_outcome(False, now)
                self._suspicions.clear_crashes(task.fingerprint)
            case _outcomes.NotRun():
                pass
            case _outcomes.Failed(status=status):
                replica.note_outcome(status >= 500, now)
            case _:
                task.may_have_run = True
                replica.note_outcome(True, now)
                await self._suspect_if_crashed(task, replica)
        if isinstance(outcome, _outcomes.Failed):
            task.may_have_run = True

    async def _suspect_if_crashed(
        self, task: _task.Task, replica: _replicas.Replica
    ) -> None:
        """Count a crash against the request if nobody listens any more.

        A replica that was to leave has ended as it was announced.
        """
        entry = replica.entry
        if replica.leaving:
            return
        try:
            probe = await self._connections.acquire(
                entry.name, entry.address, strict_freshness=False
            )
        except _http.GoneError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            crash = _suspicions.ServerProcess(
                str(entry.address), str(entry.started_at)
            )
            self._suspicions.add_crash(task.fingerprint, crash)
            _logs.event(
                "suspected",
                request_id=task.log_id,
                fingerprint=task.fingerprint,
                replica=entry.name,
                standing=self._suspicions.standing(task.fingerprint).name,
            )
        except _http.NotSentError as error:
            replica.note_unreachable(self._clock.now(), str(error))
        else:
            self._connections.release(entry.name, probe)

    def _is_confirmed(self, task: _task.Task) -> bool:
        standing = self._suspicions.standing(task.fingerprint)
        return standing is _suspicions.Standing.CONFIRMED


def _may_repeat(route: _types.Route, outcome: _outcomes.Outcome) -> bool:
    match outcome:
        case _outcomes.NotRun():
            return True
        case _outcomes.Failed(status=status):
            return route.retryable and status >= 500
        case _:
            return route.retryable
