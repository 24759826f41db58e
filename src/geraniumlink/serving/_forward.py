"""Forwards each client request to a replica, or refuses it.

A request is matched to a route, sent to a replica that has the requested
model and adapter loaded, and the replica's response is relayed. A failed
attempt is retried at another replica if the route's kind, its maximum of
attempts, the service's retry budget and the time left all allow it.
"""

from __future__ import annotations

import asyncio
import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink.serving import _accounts
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _attempt
from geraniumlink.serving import _balance
from geraniumlink.serving import _connections
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _failover
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _peer_relay
from geraniumlink.serving import _peers
from geraniumlink.serving import _permits
from geraniumlink.serving import _process_probe
from geraniumlink.serving import _quota_gate
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replica_choice
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _request_state
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _retry_rules
from geraniumlink.serving import _stream_origins
from geraniumlink.serving import _types
from geraniumlink.serving import _warm_up
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions

# A request is refused once more connections than this could not be opened
# for it.
MAX_CONNECT_FAILURES = 4
# A connection mostly opens within a few ms. After this long it is taken for a
# sign that the path to all replicas may be lost.
SLOW_CONNECT_MS = 100
# A request isn't retried with less time left before its deadline: no replica
# answers so fast.
MIN_TIME_LEFT_MS = 20
# Pause before looking again for a replica that the controller reported as
# ready and that isn't known as such here. Changes of the replicas' entries
# arrive a few times a second.
REPLICA_POLL_MS = 50
# Pause before another replica is looked for, for a request that failed over
# and that no replica can take.
RESELECT_PAUSE_MS = 200
# No request fails over to another instance before the path has been lost for
# this long. If all replicas are silent, the other instances take their paths
# for lost, too, and have reported it by then.
MIN_PATH_LOSS_MS = 1000
# Part of a request's time that is kept for serving it after its model was
# loaded. A refusal after the wait uses up to REFUSAL_MARGIN_MS (200) of it;
# see ``residency._controller_protocol``.
SERVE_RESERVE_MS = 400
# A stream's replicas may have left, and others come, since it began. It began
# at most this many times the route's timeout ago, as clients retry once or
# twice within it.
ORIGIN_WINDOW_TIMEOUTS = 2
# Why a request is refused or not retried.
_CRASHED_BEFORE = "it crashed replicas before"
_PART_CRASHED_BEFORE = "a part of its prompt crashed replicas before"


class Residency(typing.Protocol):
    """Gets models and adapters loaded on the replicas of a service."""

    async def ensure_loaded(
        self,
        service: str,
        request: _types.Request,
        avoid: set[str],
        wait_ms: int,
    ) -> _outcomes.Refusal | None:
        """Wait until a replica has the request's model and adapter loaded.

        :param avoid: names of replicas that don't count.
        :param wait_ms: how long to wait at most.
        :returns: why it was refused; None if a replica has them loaded.
        """

    def note_demand(self, service: str, request: _types.Request) -> None:
        """Count a request as demand for its model and adapter."""


class Forwarder:
    """Forwards requests to the replicas known at this instance."""

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        replicas: _replicas.Replicas,
        residency: Residency,
        budgets: _retry_budgets.RetryBudgets,
        suspicions: _suspicions.SuspicionTable,
        prompt_parts: _prompt_parts.PromptParts,
        origins: _stream_origins.Origins,
        versions: _stream_origins.Versions,
        permits: _permits.Permits,
        metrics: _request_metrics.RequestMetrics,
        connections: _connections.ConnectionPool,
        reachability: _reachability.Reachability,
        peer_relay: _peer_relay.PeerRelay,
        clock: _clock.Clock,
        data_centre: str,
        random_source: random.Random,
        quota_gate: _quota_gate.QuotaGate | None = None,
        choose: _balance.ChooseReplica = _balance.choose_replica,
        warm_ups: _warm_up.WarmUps | None = None,
    ) -> None:
        self._active_configuration = active_configuration
        self._replicas = replicas
        self._residency = residency
        self._budgets = budgets
        self._suspicions = suspicions
        self._prompt_parts = prompt_parts
        self._origins = origins
        self._versions = versions
        self._metrics = metrics
        self._clock = clock
        self._random = random_source
        self._final_answers = _final_answers.FinalAnswers(random_source)
        self._connections = connections
        self._reachability = reachability
        self._peer_relay = peer_relay
        self._quota_gate = quota_gate
        self._process_probe = _process_probe.ProcessProbe(
            replicas, connections, reachability, clock
        )
        # Requests of other instances that are in flight here.
        self._relayed_in_flight = 0
        self._chooser = _replica_choice.ReplicaChooser(
            active_configuration=active_configuration,
            replicas=replicas,
            permits=permits,
            final_answers=self._final_answers,
            clock=clock,
            data_centre=data_centre,
            random_source=random_source,
            choose=choose,
            warm_ups=warm_ups,
        )
        self._waiting_count = 0
        # The requests in progress end when these time out.
        self._time_limits: set[anyio.CancelScope] = set()
        # No request goes on after this time; None if this process isn't
        # about to end.
        self._end_at: int | None = None

    @property
    def waiting_count(self) -> int:
        """How many requests wait for a model or an adapter to be loaded."""
        return self._waiting_count

    def end_by(self, end_at: int) -> None:
        """Have all requests answered by a time, also those still to come.

        :param end_at: by this instance's clock; this process ends later.
        """
        self._end_at = end_at
        latest = anyio.current_time() + (end_at - self._clock.now()) / 1000
        for scope in self._time_limits:
            scope.deadline = min(scope.deadline, latest)

    async def serve(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
        decided: _accounts.Admitted | None = None,
    ) -> None:
        """Send the response to a request.

        No task of the request is still running when this returns or raises.

        :param decided: its route and account if these are decided already.
        """
        decided = decided or self._active_configuration.admit(request)
        route = await self._find_route(request, response, decided)
        if route is None:
            return
        state = self._make_state(request, response, route)
        self._relayed_in_flight += request.is_relayed
        # The instance to which the client sent it counts a relayed one.
        if not request.is_relayed:
            self._budgets.deposit(state.service)
        now = self._clock.now()
        _decision_log.admitted(state, decided, now)
        try:
            await self._serve_in_time(state)
        except Exception:
            state.outcome = "error"
            raise
        except BaseException:
            state.outcome = state.outcome or "client left"
            raise
        finally:
            self._relayed_in_flight -= request.is_relayed
            self._record_end(state)

    async def _serve_in_time(self, state: _request_state.RequestState) -> None:
        """Send the response to a request before its time is up."""
        end_at = state.deadline
        if self._end_at is not None:
            end_at = min(end_at, self._end_at)
        left_ms = end_at - self._clock.now()
        with anyio.move_on_after(left_ms / 1000) as scope:
            self._time_limits.add(scope)
            try:
                if await self._is_admitted(state):
                    await self._run_attempts(state)
            finally:
                self._time_limits.discard(scope)
        if scope.cancelled_caught:
            is_late = self._clock.now() >= state.deadline
            state.outcome = "timed out" if is_late else "shut down"
            await self._final_answers.send_timeout(state)

    async def _is_admitted(self, state: _request_state.RequestState) -> bool:
        """Whether a request may be sent to a replica; else refuse it."""
        if self._quota_gate is not None:
            refusal = await self._quota_gate.admit(state)
            if refusal is not None:
                await self._final_answers.send_refusal(state, refusal)
                return False
        # What is over quota is no demand for its model.
        if state.request.model and not state.request.is_relayed:
            self._residency.note_demand(state.service, state.request)
        return await self._admit_resumed_stream(state)

    def _record_end(self, state: _request_state.RequestState) -> None:
        now = self._clock.now()
        if self._quota_gate is not None:
            self._quota_gate.settle(state)
        if not state.response.finished:
            cause = _outcomes.find_cause(state.outcome, state.failed_attempt)
            _decision_log.unfinished(state, cause)
            self._metrics.record_unfinished(state.service, cause)
        _decision_log.finished(state, now)
        self._metrics.record_request(state, now)

    async def _find_route(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
        decided: _accounts.Admitted,
    ) -> _types.Route | None:
        """Return a request's route; None if it got its final answer here."""
        route = decided.effective_route
        if request.is_relayed and not self._takes_relayed(route):
            await self._final_answers.send_own(
                response,
                _peer_relay.MISDIRECTED,
                "not taken from another instance",
                retry=False,
            )
            return None
        if self._active_configuration.current is None:
            await self._final_answers.send_own(
                response, _final_answers.UNAVAILABLE, "not started yet"
            )
            return None
        if route is None:
            await self._final_answers.send_own(
                response, 404, "no such route", retry=False
            )
        return route

    def _takes_relayed(self, route: _types.Route | None) -> bool:
        """Whether a request of another instance can be served here."""
        return (
            route is not None
            and self._replicas.has_full_list
            and not self._reachability.is_lost
            and _peers.has_room(self._relayed_in_flight, route.priority)
        )

    def _make_state(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
        route: _types.Route,
    ) -> _request_state.RequestState:
        wait_ms = route.timeout_ms
        if request.client_timeout_ms is not None:
            wait_ms = min(wait_ms, request.client_timeout_ms)
        deadline = request.received_at + wait_ms
        return _request_state.RequestState(
            request, response, route, self._pick_service(route), deadline
        )

    def _pick_service(self, route: _types.Route) -> str:
        """Draw one of the route's services by weight.

        If all weights are 0, it is the first.
        """
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or not any(weights):
            return route.shares[0].service
        return self._random.choices(route.shares, weights)[0].service

    async def _admit_resumed_stream(
        self, state: _request_state.RequestState
    ) -> bool:
        """Choose the software version that may continue a client's stream.

        If it isn't known, the request is refused here.

        :returns: whether the request is admitted; true of all requests that
            don't resume a stream.
        """
        if not state.resumes_stream:
            return True
        started_at = self._clock.now()
        origin, source = await self._find_origin(state)
        took_ms = self._clock.now() - started_at
        _decision_log.stream_resumed(state, origin, source, took_ms)
        if origin is None:
            refusal = self._final_answers.make_refusal(
                "it isn't known which software version began the stream"
            )
            await self._final_answers.send_refusal(state, refusal)
            return False
        state.service = origin.service
        state.software_version = origin.software_version
        return True

    async def _find_origin(
        self, state: _request_state.RequestState
    ) -> tuple[_stream_origins.Origin | None, str]:
        """Return how a stream began, None if not known, and how it's known.

        Where no instance knows it, it began at the only software version
        that has served since, if there was only one; else the store may have
        it. A client that doesn't name the request that the stream began with
        can't be helped better.
        """
        request, route = state.request, state.route
        window_ms = ORIGIN_WINDOW_TIMEOUTS * route.timeout_ms
        origin, source = None, "recorded"
        if request.resumes:
            origin = await self._origins.find(request.resumes)
        if origin is None:
            version = await self._versions.find_sole(state.service, window_ms)
            if version is not None:
                origin = _stream_origins.Origin(state.service, version)
                return origin, "sole version"
        if origin is None and request.resumes:
            origin = await self._origins.find_archived(request.resumes)
            source = "archived"
        if origin is None:
            return None, "unknown"
        if origin.service not in {share.service for share in route.shares}:
            return None, "service gone"
        return origin, source

    async def _run_attempts(self, state: _request_state.RequestState) -> None:
        """Send the request on until there is a final response."""
        successor: _failover.Successor | None = None
        while True:
            if successor is None:
                target = await self._select_target(state)
                if isinstance(target, _outcomes.Refusal):
                    if self._may_select_again(state, target):
                        await self._clock.sleep(RESELECT_PAUSE_MS)
                        # Those that were silent or full may take it now.
                        state.tried_replicas.clear()
                        continue
                    await self._final_answers.send_refusal(state, target)
                    return
                self._record_target(state, target)
                connected = await self._connect(state, target)
            else:
                target, connected = successor
                self._record_target(state, target)
            state.in_attempt = True
            outcome, successor = await self._try(state, target, connected)
            state.in_attempt = False
            self._metrics.record_attempt(
                state.service, type(outcome).__name__.lower()
            )
            if isinstance(outcome, _outcomes.Done):
                state.outcome = "done"
                return
            state.failed_attempt = outcome
            state.failed_over |= successor is not None
            why_final = ""
            if successor is None:
                why_final = self._why_not_retried(state, outcome)
            _decision_log.attempt_failed(state, outcome, why_final)
            if why_final:
                await self._final_answers.send_failure(state, outcome)
                return

    def _may_select_again(
        self, state: _request_state.RequestState, refusal: _outcomes.Refusal
    ) -> bool:
        """Whether another replica is looked for before a refusal is final.

        So it is once a request has failed over: the replica that it left
        might have gone on.
        """
        left_ms = state.latest_next_event - self._clock.now()
        return (
            state.failed_over
            and refusal.retry_after_ms is not None
            and left_ms > RESELECT_PAUSE_MS + MIN_TIME_LEFT_MS
        )

    async def _select_target(
        self, state: _request_state.RequestState, may_load: bool = True
    ) -> _balance.Choice | _peers.Peer | _outcomes.Refusal:
        """Choose a replica, or another instance if none can be reached.

        :param may_load: whether the model is loaded if it has to be.
        """
        if not self._must_pass_on(state):
            choice = await self._select_replica(state, may_load)
            if isinstance(choice, _outcomes.Refusal):
                return choice
            if choice is not None:
                return await self._charge_again(state, choice)
        peer = self._peer_relay.choose()
        if peer is None:
            return self._final_answers.make_refusal(
                "no replica can be reached"
            )
        return await self._charge_again(state, peer)

    async def _charge_again(
        self, state: _request_state.RequestState, target: _failover.Target
    ) -> _failover.Target | _outcomes.Refusal:
        """Charge a request that waited for its model; return its target.

        Not before there is one: while it waits it may find none many times.
        """
        if self._quota_gate is None or state.charge is not None:
            return target
        refusal: _outcomes.Refusal | None = None
        is_charged = False
        try:
            refusal = await self._quota_gate.admit(state)
            is_charged = refusal is None
        finally:
            if not is_charged and not isinstance(target, _peers.Peer):
                self._chooser.note_end(target.replica, None)
        return target if refusal is None else refusal

    def _must_pass_on(self, state: _request_state.RequestState) -> bool:
        """Whether only another instance can send the request to a replica."""
        if state.request.is_relayed:
            return False
        return state.passed_on or self._reachability.is_lost

    def _why_not_retried(
        self, state: _request_state.RequestState, outcome: _outcomes.Outcome
    ) -> str:
        """Return why a request isn't retried; "" if it is.

        Counts a failed connection. A retry after a replica was reached is
        withdrawn from the service's retry budget.
        """
        if state.deadline - self._clock.now() < MIN_TIME_LEFT_MS:
            return "no time left"
        if isinstance(outcome, _outcomes.Unsent):
            state.connect_failures += 1
            # A failure in a search excludes none: its replica may be the only
            # one by the time that the request needs it.
            state.tried_replicas.add(state.last_replica)
            return (
                ""
                if state.failed_over
                or state.connect_failures <= MAX_CONNECT_FAILURES
                else "not connected"
            )
        why_not = _retry_rules.why_may_not_retry(state, outcome)
        if why_not:
            return why_not
        if self._is_confirmed_crasher(state):
            return _CRASHED_BEFORE
        if self._prompt_parts.is_blocked(state.shared_parts):
            return _PART_CRASHED_BEFORE
        keeps_reserve = _retry_rules.keeps_reserve(state, outcome)
        if not self._budgets.try_withdraw(
            state.service, state.log_id, keeps_reserve
        ):
            return "no repeat budget left"
        return ""

    async def _select_replica(
        self, state: _request_state.RequestState, may_load: bool
    ) -> _balance.Choice | _outcomes.Refusal | None:
        """Choose a replica; wait for the model to be loaded if need be.

        :returns: None if the path to all replicas was found lost.
        """
        while True:
            why_refused = self._why_crashes_likely(state)
            if why_refused:
                return _outcomes.Refusal(why_refused, None)
            excluded = self._excluded_names(state)
            available = self._available(state, excluded)
            candidates = self._find_holders(state.request, available)
            if not candidates and await self._has_lost_path(state, excluded):
                return None
            refusal = self._refuse_without_holder(
                state, candidates, available, excluded
            )
            if refusal is not None:
                return refusal
            avoid = excluded | self._replicas.unusable_names()
            if candidates:
                choice = await self._chooser.choose(
                    state, candidates, available
                )
                if choice is not None:
                    return choice
                avoid |= {r.entry.name for r in candidates}
            refusal = await self._wait_until_loaded(
                state, len(available), avoid, may_load
            )
            if refusal is not None:
                return refusal

    def _available(
        self, state: _request_state.RequestState, excluded: set[str]
    ) -> list[_replicas.Replica]:
        """Return the replicas that may be sent the request now."""
        return [
            replica
            for replica in self._replicas.available(state.service)
            if replica.entry.name not in excluded
        ]

    def _find_holders(
        self, request: _types.Request, replicas: list[_replicas.Replica]
    ) -> list[_replicas.Replica]:
        """Return the replicas that hold what a request needs."""
        now = self._clock.now()
        return [
            replica
            for replica in replicas
            if replica.can_serve(request.model, request.adapter, now)
        ]

    def _refuse_without_holder(
        self,
        state: _request_state.RequestState,
        holders: list[_replicas.Replica],
        available: list[_replicas.Replica],
        excluded: set[str],
    ) -> _outcomes.Refusal | None:
        """Refuse a request that no replica can serve in time.

        :param holders: the available replicas that hold what it needs.
        :returns: None if there are some, or one may load it.
        """
        if holders:
            return None
        left_ms = self._back_off_ms(state, excluded)
        if left_ms is not None and not (
            available and self._loads_within(state, left_ms)
        ):
            return self._final_answers.make_back_off_refusal(left_ms)
        if not available:
            return self._final_answers.make_refusal(
                "all replicas have rejected it"
                if state.rejections
                else "no replica is in service"
            )
        return None

    def _back_off_ms(
        self, state: _request_state.RequestState, excluded: set[str]
    ) -> int | None:
        """Return when a replica that turned requests away may serve this one.

        None if there is none.
        """
        now, request = self._clock.now(), state.request
        holders = [
            replica
            for replica in self._replicas.backing_off(state.service)
            if replica.entry.name not in excluded
            and replica.can_serve(request.model, request.adapter, now)
        ]
        return min((r.back_off_ms(now) for r in holders), default=None)

    def _loads_within(
        self, state: _request_state.RequestState, limit_ms: int
    ) -> bool:
        """Whether a replica could load the request's model within a time."""
        service = self._active_configuration.find_service(state.service)
        engine = service.engine if service else None
        model = engine.models.get(state.request.model) if engine else None
        return model is not None and model.local_load_ms < limit_ms

    async def _has_lost_path(
        self, state: _request_state.RequestState, excluded: set[str]
    ) -> bool:
        """Whether a replica could serve the request if it were reached."""
        now = self._clock.now()
        hidden = [
            replica
            for replica in self._replicas.registered(state.service)
            if replica.paused_until > now
            and not replica.leaving
            and replica.entry.name not in excluded
        ]
        return (
            not state.request.is_relayed
            and bool(self._find_holders(state.request, hidden))
            and await self._reachability.check()
        )

    async def _wait_until_loaded(
        self,
        state: _request_state.RequestState,
        available: int,
        avoid: set[str],
        may_load: bool,
    ) -> _outcomes.Refusal | None:
        """Wait until a replica holds the model; None if one does in time.

        :param available: how many replicas of the service may get requests.
        :param avoid: names of replicas that don't count.
        :param may_load: whether it is loaded for the request.
        """
        if not may_load:
            return self._final_answers.make_refusal("the model isn't loaded")
        if not _retry_rules.may_wait_for_copy(state):
            return self._final_answers.make_refusal("all holders are full")
        if self._quota_gate is not None:
            self._quota_gate.suspend(state)
        began = self._clock.now()
        wait_ms = state.latest_next_event - began - SERVE_RESERVE_MS
        _decision_log.waiting(state, available, wait_ms)
        self._waiting_count += 1
        try:
            refusal = await self._residency.ensure_loaded(
                state.service, state.request, avoid, wait_ms
            )
        finally:
            self._waiting_count -= 1
        reason = refusal.reason if refusal else ""
        _decision_log.waited(state, reason, self._clock.now() - began)
        if refusal is None and not self._is_served_somewhere(state, avoid):
            # The controller knows a replica that this instance doesn't know
            # yet. Without a pause the caller would loop without waiting.
            await self._clock.sleep(REPLICA_POLL_MS)
        return refusal

    def _excluded_names(self, state: _request_state.RequestState) -> set[str]:
        """Return the replicas that must not get the request.

        Those are the ones tried, and for a stream that has begun, those of
        another software version.
        """
        if state.software_version is None:
            return state.tried_replicas
        return state.tried_replicas | {
            replica.entry.name
            for replica in self._replicas.registered(state.service)
            if replica.entry.software_version != state.software_version
        }

    def _is_served_somewhere(
        self, state: _request_state.RequestState, avoid: set[str]
    ) -> bool:
        """Whether a replica not in ``avoid`` can serve the request now."""
        now = self._clock.now()
        return any(
            replica.can_serve(state.request.model, state.request.adapter, now)
            for replica in self._replicas.available(state.service)
            if replica.entry.name not in avoid
        )

    def _record_target(
        self, state: _request_state.RequestState, target: _failover.Target
    ) -> None:
        now = self._clock.now()
        if isinstance(target, _peers.Peer):
            state.last_replica = target.name
            _decision_log.passed_on(state, target.name, now)
        else:
            state.last_replica = target.replica.entry.name
            _decision_log.attempt(
                state, target, now, self._replicas.list_age_ms
            )

    async def _connect(
        self, state: _request_state.RequestState, target: _failover.Target
    ) -> _connections.Connection | _outcomes.Unsent:
        """Return a connection to a chosen replica, or to another instance."""
        if isinstance(target, _peers.Peer):
            return await self._peer_relay.connect(state, target)
        replica = target.replica
        entry = replica.entry
        slow_timer = asyncio.get_running_loop().call_later(
            SLOW_CONNECT_MS / 1000, self._reachability.suspect
        )
        try:
            return await self._connections.acquire(
                entry.name,
                entry.address,
                strict_freshness=not state.route.retryable,
                request_id=state.request.id,
            )
        except _http.NotSentError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            self._chooser.note_end(replica, None)
            await self._reachability.check()
            return _outcomes.Unsent(str(error))
        except BaseException:
            self._chooser.note_end(replica, None)
            raise
        finally:
            slow_timer.cancel()

    async def _try(
        self,
        state: _request_state.RequestState,
        target: _failover.Target,
        connected: _connections.Connection | _outcomes.Unsent,
    ) -> tuple[_outcomes.Outcome, _failover.Successor | None]:
        """Make one attempt.

        :returns: its outcome; and where the request goes on, if its replica
            was silent.
        """
        if isinstance(connected, _outcomes.Unsent):
            return connected, None
        failover = _failover.Failover(
            _SuccessorSource(self, state, target), self._clock
        )
        try:
            if isinstance(target, _peers.Peer):
                outcome = await self._peer_relay.send(
                    state, target, connected, failover
                )
            else:
                outcome = await self._run_attempt(
                    state, target, connected, failover
                )
            is_stall = (
                isinstance(outcome, _outcomes.Interrupted) and outcome.is_stall
            )
            return outcome, failover.take() if is_stall else None
        finally:
            failover.discard()

    async def probe(self, target: _failover.Target) -> _process_probe.Liveness:
        """Return what is known of a replica that is silent.

        Of another instance nothing is.
        """
        if isinstance(target, _peers.Peer):
            return _process_probe.Liveness.MAY_GO_ON
        return await self._process_probe.probe(target.replica)

    async def find_successor(
        self, state: _request_state.RequestState, may_load: bool
    ) -> _failover.Successor | None:
        """Return where a request may go on from a silent replica, or None.

        :param may_load: whether to wait for its model if no other replica
            has it.
        """
        if (
            state.deadline - self._clock.now() < MIN_TIME_LEFT_MS
            or not self._budgets.has_retry_left(state.service)
        ):
            return None
        target = await self._select_target(state, may_load)
        if isinstance(target, _outcomes.Refusal):
            return None
        if (
            isinstance(target, _peers.Peer)
            and self._reachability.is_lost
            and self._reachability.lost_ms < MIN_PATH_LOSS_MS
        ):
            return None
        connected = await self._connect(state, target)
        if isinstance(connected, _outcomes.Unsent):
            return None
        successor = _failover.Successor(target, connected)
        if not self._budgets.try_withdraw(state.service, state.log_id):
            self._release_target(successor)
            return None
        return successor

    def discard_successor(
        self,
        state: _request_state.RequestState,
        successor: _failover.Successor,
    ) -> None:
        """Give back what was taken for a successor that isn't used."""
        self._budgets.give_back(state.service)
        self._release_target(successor)

    def _release_target(self, successor: _failover.Successor) -> None:
        """Give back the connection and the permit of a successor."""
        target, connection = successor
        if isinstance(target, _peers.Peer):
            self._peer_relay.release(target, connection)
        else:
            entry = target.replica.entry
            self._connections.release(entry.name, connection)
            self._chooser.note_end(target.replica, None)

    async def _run_attempt(
        self,
        state: _request_state.RequestState,
        choice: _balance.Choice,
        connection: _connections.Connection,
        failover: _failover.Failover,
    ) -> _outcomes.Outcome:
        """Send the request to a replica and relay its response."""
        replica = choice.replica
        entry = replica.entry
        if not self._replicas.may_still_send(replica):
            self._connections.release(entry.name, connection)
            self._chooser.note_end(replica, None)
            return _outcomes.Unsent("the replica has left meanwhile")
        state.tried_replicas.add(entry.name)
        state.attempts += 1
        sent_at = self._clock.now()
        attempt = _attempt.Attempt(
            self._clock,
            state,
            replica,
            connection,
            choice.expected_ms,
            self._origins,
            failover,
        )
        outcome: _outcomes.Outcome | None = None
        try:
            outcome = await attempt.run()
        finally:
            if not attempt.reusable:
                connection.close()
            elif outcome is not None:
                self._connections.release(entry.name, connection)
            self._chooser.note_end(replica, outcome)
        if (
            isinstance(outcome, _outcomes.Interrupted)
            and replica.last_activity_at < sent_at
        ):
            self._reachability.note_unanswered(entry.name)
        await self._record_outcome(state, attempt, replica, outcome)
        return outcome

    async def _record_outcome(
        self,
        state: _request_state.RequestState,
        attempt: _attempt.Attempt,
        replica: _replicas.Replica,
        outcome: _outcomes.Outcome,
    ) -> None:
        """Update what is known of the replica and of the request."""
        now = self._clock.now()
        match outcome:
            case _outcomes.Done():
                replica.note_outcome(False, now)
                self._suspicions.clear_crashes(state.fingerprint)
                self._prompt_parts.note_completion(state.shared_parts)
            case _outcomes.NotRun(is_full=is_full):
                state.rejections += 1
                state.was_rejected_as_full |= is_full
            case _outcomes.Failed(status=status):
                replica.note_outcome(status >= 500, now)
            case _:  # Interrupted.
                state.may_have_run = True
                replica.note_outcome(True, now)
                suspects = state.shared_parts if attempt.is_starting() else ()
                await self._suspect_if_crashed(state, suspects, replica)
        if isinstance(outcome, _outcomes.Failed):
            state.may_have_run = True

    async def _suspect_if_crashed(
        self,
        state: _request_state.RequestState,
        parts: tuple[str, ...],
        replica: _replicas.Replica,
    ) -> None:
        """Record a crash by the request if the replica's port is closed.

        :param parts: parts of its prompt that may have caused the crash.

        The end of a replica that was marked as leaving is no crash.
        """
        entry = replica.entry
        if replica.leaving:
            return
        try:
            await self._connections.check_listener(entry.address)
        except _http.NoListenerError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            if await self._reachability.check(is_certain=True):
                return
            crash = _suspicions.ServerProcess(
                str(entry.address), str(entry.started_at)
            )
            self._suspicions.add_crash(state.fingerprint, crash)
            self._prompt_parts.note_crash(parts, crash)
            _logs.event(
                "suspected",
                request_id=state.log_id,
                fingerprint=state.fingerprint,
                parts=list(parts),
                replica=entry.name,
                standing=self._suspicions.standing(state.fingerprint).name,
            )
        except _http.NotSentError as error:
            replica.note_unreachable(self._clock.now(), str(error))

    def _why_crashes_likely(self, state: _request_state.RequestState) -> str:
        """Return why the request must not run as it may crash a replica.

        "" if it may run.
        """
        if self._is_confirmed_crasher(state):
            return _CRASHED_BEFORE
        if state.is_part_trial:
            return ""
        match self._prompt_parts.admit(state.shared_parts):
            case _prompt_parts.Admission.BLOCKED:
                return _PART_CRASHED_BEFORE
            case _prompt_parts.Admission.TRIAL:
                state.is_part_trial = True
        return ""

    def _is_confirmed_crasher(
        self, state: _request_state.RequestState
    ) -> bool:
        """Whether the request crashed so many replicas that it is refused."""
        standing = self._suspicions.standing(state.fingerprint)
        return standing is _suspicions.Standing.CONFIRMED


class _SuccessorSource:
    """Finds where one request goes on from a silent replica."""

    def __init__(
        self,
        forwarder: Forwarder,
        state: _request_state.RequestState,
        target: _failover.Target,
    ) -> None:
        self._forwarder = forwarder
        self._state = state
        self._target = target
        self._liveness = _process_probe.Liveness.MAY_GO_ON
        self._has_asked_for_load = False

    async def is_given_up(self) -> bool:
        """Whether the replica has ended, or is likely to have.

        One that can't be reached may still go on. A request that has no
        event yet doesn't wait for that: its client can repeat it.
        """
        self._liveness = await self._forwarder.probe(self._target)
        match self._liveness:
            case _process_probe.Liveness.ENDED:
                return True
            case _process_probe.Liveness.UNREACHABLE:
                return not self._state.response.started
            case _:
                return False

    async def find(self) -> _failover.Successor | None:
        """Return a successor.

        A pause of the replica is over before its model is loaded elsewhere,
        in the place of others. If it can't be reached, that is asked for,
        and counts as demand, once.
        """
        may_load = (
            self._liveness is _process_probe.Liveness.UNREACHABLE
            and not self._has_asked_for_load
        )
        self._has_asked_for_load |= may_load
        return await self._forwarder.find_successor(self._state, may_load)

    def discard(self, successor: _failover.Successor) -> None:
        self._forwarder.discard_successor(self._state, successor)
