"""Decides which models and adapters the replicas hold.

It acts only while this instance holds the controller's lease. A move loads a
model on a replica, after evicting another one if need be. It is near if the
weights are in the replica's own memory or on its disk; otherwise they come
from the weight store, whose rate limits how many loads may start.
"""

from __future__ import annotations

import math
import typing

import anyio
import anyio.abc

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.residency import _adapter_plan
from geraniumlink.residency import _adapters
from geraniumlink.residency import _call_limits
from geraniumlink.residency import _demand
from geraniumlink.residency import _leadership
from geraniumlink.residency import _model_load_budget
from geraniumlink.residency import _order_sender
from geraniumlink.residency import _packing
from geraniumlink.residency import _planner
from geraniumlink.residency import _replica_directory
from geraniumlink.residency import _replica_states
from geraniumlink.residency import _requirements
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

# Interval between plans, unless a request for another model arrives before;
# also the longest wait for a move to end before its state is checked again.
PLAN_INTERVAL_MS = 200
# A plan is followed by a pause of this many times its duration. The event
# loop does nothing else while it plans, and orders that are answered
# meanwhile seem to take longer.
PLAN_PAUSE_FACTOR = 4
# By how many times its declared duration a load is expected to last, since
# concurrent loads slow each other down.
LOAD_TIME_FACTOR = 1.3
# A load is given up after this many times its declared duration: concurrent
# loads take longer in proportion to their number.
LOAD_TIMEOUT_FACTOR = 4
# An unload waits for the requests that still use the model, and is given up
# after this.
UNLOAD_TIMEOUT_MS = 10_000
# Time from the decision to load a model until the order is sent, with an
# unload before it.
ORDER_DELAY_MS = 400
# Pause before a replica that refused a connection is looked at again.
ENDED_CHECK_INTERVAL_MS = 1000
# When a client may retry if the model can't be loaded soon; also the pause
# after an unload that failed.
RETRY_AFTER_MS = 1000
# When a client may retry if all adapter slots are in use.
NO_SLOT_RETRY_MS = 500
# A requirement is answered within this time, with Pending if the load is
# still in progress.
ANSWER_TIMEOUT_MS = 800
# Replicas on which adapters that nobody asked for are loaded at the same time.
# The orders to all of a large fleet at once would delay the answers to others.
MAX_ADAPTER_TASKS = 4
# How long a model counts as waited for after the last call that asked for
# it. Longer than ANSWER_TIMEOUT_MS, after which a caller asks again.
WAITING_EXPIRY_MS = 1500
# The same for a model that is resident nowhere. Most calls for it are answered
# at once, since a load would end too late for them, and clients come back
# after seconds; the model has gone unserved all the while.
UNSERVED_EXPIRY_MS = 15_000
# How long such a model is kept after its load if no request comes for it. An
# earlier eviction would make the load useless to those who come back.
UNSERVED_KEEP_MS = 15_000
# At most this part of all resident copies is kept so; the latest loaded are.
# They take the places of models in use.
UNSERVED_KEEP_PART = 0.1


class _Waiting(typing.NamedTuple):
    """Since when a model is asked for in vain, and when it last was."""

    since: int
    asked_at: int


class Controller:
    """Places models and adapters on replicas, while it holds the lease."""

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        replicas: _replicas.Replicas,
        leadership: _leadership.Leadership,
        orders: platform.OrderClient,
        call_limits: _call_limits.CallLimits,
        clock: _clock.Clock,
        instance: str,
    ) -> None:
        self._active_configuration = active_configuration
        self._leadership = leadership
        self._clock = clock
        self._demands = _demand.DemandTracker(clock)
        self._order_sender = _order_sender.OrderSender(
            orders, leadership, clock, instance, call_limits
        )
        self._adapters = _adapters.AdapterLoader(
            self._order_sender, self._demands, clock
        )
        self._directory = _replica_directory.ReplicaDirectory(
            active_configuration, replicas, clock
        )
        self._budgets: dict[str, _model_load_budget.ModelLoadBudget] = {}
        # Models that requests wait for, by service and model.
        self._waiting: dict[tuple[str, str], _Waiting] = {}
        # When each model that is being loaded is expected to be resident, by
        # service and model.
        self._expected_ready_at: dict[tuple[str, str], int] = {}
        # When each was last loaded.
        self._loaded_at: dict[tuple[str, str], int] = {}
        # Replicas on which adapters are being loaded ahead.
        self._adapter_tasks = 0
        self._requirement_added = anyio.Event()
        self._move_ended = anyio.Event()
        # Set when a move of a model has begun or ended, by service and model.
        self._move_changed: dict[tuple[str, str], anyio.Event] = {}
        self._epoch = 0

    def record_demand(self, sample: _demand.DemandSample) -> None:
        """Add the demand that an instance reported for one model."""
        self._demands.record(sample)

    def set_unreachable(self, replicas: set[str]) -> None:
        """Set the replicas to leave out, even if they are registered."""
        self._directory.set_unreachable(replicas)

    def set_backing_off(self, replicas: set[str]) -> None:
        """Set the replicas that turned some instance away for a while."""
        self._directory.set_backing_off(replicas)

    async def run(self) -> None:
        """Plan and start moves, for ever; orders need the lease."""
        async with anyio.create_task_group() as group:
            while True:
                await self._leadership.wait_until_leader()
                began = self._clock.now()
                if self._leadership.may_order():
                    self._sync_with_term()
                    self._fetch_missing_reports(group)
                    self._start_moves(group)
                took_ms = self._clock.now() - began
                await self._clock.sleep(PLAN_PAUSE_FACTOR * took_ms)
                with anyio.move_on_after(PLAN_INTERVAL_MS / 1000):
                    await self._requirement_added.wait()
                self._requirement_added = anyio.Event()

    async def ensure_resident(
        self,
        requirement: _requirements.Requirement,
        avoid: set[str],
        wait_ms: int,
    ) -> _requirements.Answer:
        """Have a model or adapter loaded; return where it is resident.

        Answers after at most about ANSWER_TIMEOUT_MS, so that the caller
        notices when a controller has died.

        :param avoid: names of replicas that the request can't use.
        :param wait_ms: how long the request can wait in all.
        """
        began = self._clock.now()
        while self._clock.now() - began < ANSWER_TIMEOUT_MS:
            if self._epoch != self._leadership.epoch:
                self._sync_with_term()
            serving = self._directory.find_serving(requirement, avoid)
            if serving:
                names = tuple(state.name for state in serving)
                return _requirements.Resident(names)
            if not self._leadership.may_order():
                return _requirements.RetryLater(
                    RETRY_AFTER_MS, _requirements.Cause.NO_CONTROLLER
                )
            retry_later = await self._advance(
                requirement, avoid, began + wait_ms
            )
            if retry_later is not None:
                return retry_later
        return _requirements.Pending()

    async def _advance(
        self,
        requirement: _requirements.Requirement,
        avoid: set[str],
        deadline: int,
    ) -> _requirements.RetryLater | None:
        """Load or wait for what is required.

        Returns None if the caller should check again whether it is resident,
        or the time after which the client should retry.
        """
        engine = self._engine_of(requirement.service)
        if engine is None or requirement.model not in engine.models:
            return _requirements.RetryLater(
                RETRY_AFTER_MS, _requirements.Cause.NOT_DECLARED
            )
        if not requirement.adapter:
            return await self._wait_for_model(requirement, engine, deadline)
        serving_model = self._directory.find_serving(
            requirement._replace(adapter=""), avoid
        )
        if not serving_model:
            return await self._wait_for_model(requirement, engine, deadline)
        # Instances report demand only later.
        self._demands.note_adapter_asked(*requirement)
        # A replica refuses other orders while it loads a model.
        candidates = [
            state
            for state in serving_model
            if state.ready_for_orders and not state.task_running
        ]
        if not candidates:
            return await self._wait_for(
                self._move_ended,
                deadline,
                PLAN_INTERVAL_MS,
                _requirements.Cause.HOLDERS_BUSY,
            )
        loaded = await self._adapters.ensure_loaded(
            *requirement, candidates=candidates, slots=engine.adapter_slots
        )
        if loaded:
            return None
        return _requirements.RetryLater(
            NO_SLOT_RETRY_MS, _requirements.Cause.NO_SLOT
        )

    async def _wait_for_model(
        self,
        requirement: _requirements.Requirement,
        engine: _types.Engine,
        deadline: int,
    ) -> _requirements.RetryLater | None:
        """Record that the model is waited for; wait if it can be in time.

        Returns None after a move has ended or a short wait. If the load
        can't end before the deadline, returns the time after which the
        client should retry.
        """
        now = self._clock.now()
        key = (requirement.service, requirement.model)
        known = self._waiting.get(key)
        if known is None:
            self._requirement_added.set()
        since = known.since if known else now
        self._waiting[key] = _Waiting(since, now)
        expected_at = self._expected_ready_at.get(key)
        wait_ms = ANSWER_TIMEOUT_MS
        cause = _requirements.Cause.LOADING
        if expected_at is None:
            cause = _requirements.Cause.ABSENT
            expected_at = now + self._estimated_load_ms(requirement, engine)
            # After this a load that is decided then would end too late.
            wait_ms = min(wait_ms, deadline - expected_at + 1)
        if expected_at > deadline:
            return _requirements.RetryLater(
                max(RETRY_AFTER_MS, expected_at - now), cause
            )
        # Not for the end of any move: with many models waited for, each end
        # would wake all calls.
        changed = self._move_changed.setdefault(key, anyio.Event())
        return await self._wait_for(changed, deadline, wait_ms, cause)

    async def _wait_for(
        self,
        changed: anyio.Event,
        deadline: int,
        wait_ms: int,
        cause: _requirements.Cause,
    ) -> _requirements.RetryLater | None:
        """Wait for an event, for a limited time.

        Returns None unless the deadline has passed.

        :param cause: of the wait.
        """
        with anyio.move_on_after(wait_ms / 1000):
            await changed.wait()
        if self._clock.now() >= deadline:
            return _requirements.RetryLater(RETRY_AFTER_MS, cause)
        return None

    def _estimated_load_ms(
        self, requirement: _requirements.Requirement, engine: _types.Engine
    ) -> int:
        """Return the time until a load that is decided now would end."""
        model = engine.models[requirement.model]
        now = self._clock.now()
        until_idle_ms = (
            max(0, state.move_ends_at - now)
            for state in self._directory.states()
            if requirement.model in state.local_models
            and self._directory.is_available(state, requirement.service)
        )
        near_ms = min(until_idle_ms, default=math.inf) + model.local_load_ms
        return ORDER_DELAY_MS + int(min(model.load_ms, near_ms))

    def _fetch_missing_reports(self, group: anyio.abc.TaskGroup) -> None:
        """Fetch the reports that are needed before orders can be sent."""
        for state in self._directory.states():
            if not state.task_running and (
                state.has_ended or not state.ready_for_orders
            ):
                state.task_running = True
                group.start_soon(self._fetch_report, state)

    async def _fetch_report(self, state: _replica_states.ReplicaState) -> None:
        """Fetch a replica's report, then free the replica for other tasks."""
        await self._order_sender.fetch_report(state)
        if state.has_ended:
            await self._clock.sleep(ENDED_CHECK_INTERVAL_MS)
        state.task_running = False

    def _sync_with_term(self) -> None:
        """Discard the states recorded in an earlier term of the lease.

        The lease's epoch tells the terms apart. States follow the registered
        replicas in any case.
        """
        epoch = self._leadership.epoch
        if epoch != self._epoch:
            self._epoch = epoch
            self._directory.clear()
            self._budgets.clear()
            self._demands.start_observing()
        self._directory.sync()

    def _start_moves(self, group: anyio.abc.TaskGroup) -> None:
        """Plan the moves of all model services and start them."""
        configuration = self._active_configuration.current
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._start_service_moves(group, service.name, service.engine)

    def _start_service_moves(
        self,
        group: anyio.abc.TaskGroup,
        service: str,
        engine: _types.Engine,
    ) -> None:
        """Plan the moves of one service, record them and start them."""
        available = self._directory.available(service)
        demand = self._demands.demand_of(service, self._waiting_times(service))
        self._start_adapter_loads(
            group, service, engine, available, demand.rates
        )
        budget = self._budget_of(service, engine)
        load_ms = max((m.load_ms for m in engine.models.values()), default=0)
        store_loads = budget.available(engine.loads_per_s, load_ms)
        now = self._clock.now()
        views = [_replica_view(state, now) for state in available]
        for move in _planner.plan(engine, views, demand, store_loads):
            self._charge_move(move)
            started_at = None if move.near else budget.start_load()
            _logs.event(
                "move",
                **move._asdict(),
                tokens_per_s=round(demand.rates.get(move.model, 0)),
                evicted_tokens_per_s=round(
                    demand.rates.get(move.evicted or "", 0)
                ),
            )
            group.start_soon(
                self._carry_out_move, service, engine, move, budget, started_at
            )

    def _start_adapter_loads(
        self,
        group: anyio.abc.TaskGroup,
        service: str,
        engine: _types.Engine,
        available: list[_replica_states.ReplicaState],
        rates: dict[str, float],
    ) -> None:
        """Load adapters ahead on idle replicas, before they get a move."""
        now = self._clock.now()
        views = [_adapter_view(state, now) for state in available]

        def asked_ms_ago(model: str, adapter: str) -> float:
            return self._demands.adapter_asked_ms_ago(service, model, adapter)

        planned = _adapter_plan.plan(engine, views, rates, asked_ms_ago)
        for replica, planned_loads in planned.items():
            loads = planned_loads
            if self._adapter_tasks >= MAX_ADAPTER_TASKS:
                loads = [load for load in loads if load.is_asked_for]
            if not loads:
                continue
            state = self._directory.get(replica)
            state.loads_adapters_ahead = True
            self._adapter_tasks += 1
            group.start_soon(
                self._load_adapters, service, engine, state, loads
            )

    async def _load_adapters(
        self,
        service: str,
        engine: _types.Engine,
        state: _replica_states.ReplicaState,
        loads: list[_adapter_plan.Load],
    ) -> None:
        """Load adapters on a replica, then let it have moves again."""
        try:
            await self._adapters.load_ahead(
                service, state, loads, engine.adapter_slots
            )
        finally:
            state.loads_adapters_ahead = False
            self._adapter_tasks -= 1
            self._requirement_added.set()

    def _budget_of(
        self, service: str, engine: _types.Engine
    ) -> _model_load_budget.ModelLoadBudget:
        """Return the budget of loads from the weight store for a service.

        A new one counts the loads that an earlier leader may have started.
        Its last order was at least ``guard_ms`` ago.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = _model_load_budget.ModelLoadBudget(self._clock)
            guard_ms = self._leadership.guard_ms
            budget.assume_earlier_loads(engine.loads_per_s, guard_ms)
            self._budgets[service] = budget
        return budget

    def _waiting_times(self, service: str) -> dict[str, int]:
        """Return how long each model of a service is waited for, in ms.

        Drops the entries that have expired.
        """
        now, kept = self._clock.now(), self._kept_unserved()
        self._waiting = {
            key: waiting
            for key, waiting in self._waiting.items()
            if key in kept or now < self._waits_until(key, waiting.asked_at)
        }
        return {
            model: now - waiting.since
            for (of_service, model), waiting in self._waiting.items()
            if of_service == service
        }

    def _waits_until(self, key: tuple[str, str], asked_at: int) -> int:
        """Return until when a model counts as waited for.

        :param asked_at: when a call last asked for it.
        """
        if self._is_served(key):
            return asked_at + WAITING_EXPIRY_MS
        return asked_at + UNSERVED_EXPIRY_MS

    def _is_served(self, key: tuple[str, str]) -> bool:
        requirement = _requirements.Requirement(*key, adapter="")
        return bool(self._directory.find_serving(requirement, set()))

    def _kept_unserved(self) -> set[tuple[str, str]]:
        """Return models that were waited for and not used since their load."""
        since = self._clock.now() - UNSERVED_KEEP_MS
        unused = [
            key
            for key in self._waiting
            if self._loaded_at.get(key, 0)
            > max(since, self._demands.model_last_used_at(*key))
        ]
        copies = sum(len(state.models) for state in self._directory.states())
        unused.sort(key=lambda key: -self._loaded_at[key])
        return set(unused[: int(UNSERVED_KEEP_PART * copies)])

    def _charge_move(self, move: _planner.Move) -> None:
        """Record a move before its order is sent.

        So the next plan counts it, and doesn't choose it again.
        """
        state = self._directory.get(move.replica)
        state.task_running = True
        state.loading.add((move.model, ""))
        if move.evicted is not None:
            state.unloading.add((move.evicted, ""))

    async def _carry_out_move(
        self,
        service: str,
        engine: _types.Engine,
        move: _planner.Move,
        budget: _model_load_budget.ModelLoadBudget,
        started_at: int | None,
    ) -> None:
        """Evict a model, if the move has one, then load the other.

        :param started_at: when the load was counted in the budget; None if
            it needs none.
        """
        state = self._directory.get(move.replica)
        key = (service, move.model)
        model = engine.models[move.model]
        load_ms = model.local_load_ms if move.near else model.load_ms
        state.move_ends_at = self._clock.now() + int(ORDER_DELAY_MS + load_ms)
        expected_ms = ORDER_DELAY_MS + LOAD_TIME_FACTOR * load_ms
        self._expected_ready_at[key] = self._clock.now() + int(expected_ms)
        self._wake_waiting_calls(key)
        is_ordered = False
        try:
            if await self._evict(state, move.evicted):
                is_ordered = await self._load(state, move.model, load_ms)
            else:
                state.loading.discard((move.model, ""))
            if not is_ordered:
                # Whatever prevented the move has hardly changed yet.
                await self._clock.sleep(RETRY_AFTER_MS)
        finally:
            _logs.event(
                "move_ended",
                **move._asdict(),
                resident=sorted(state.models),
            )
            state.task_running = False
            state.move_ends_at = 0
            if move.evicted is not None:
                state.unloading.discard((move.evicted, ""))
            if started_at is not None:
                if is_ordered or (move.model, "") in state.unconfirmed:
                    budget.finish_load()
                else:
                    budget.cancel_load(started_at)
            self._expected_ready_at.pop(key, None)
            if move.model in state.models:
                self._loaded_at[key] = self._clock.now()
            self._directory.forget_holders()
            self._move_ended.set()
            self._move_ended = anyio.Event()
            self._wake_waiting_calls(key)

    def _wake_waiting_calls(self, key: tuple[str, str]) -> None:
        """Have the calls that wait for a model look at its state again."""
        self._move_changed.pop(key, anyio.Event()).set()

    async def _evict(
        self, state: _replica_states.ReplicaState, model: str | None
    ) -> bool:
        """Unload a model, if any; return whether it is gone."""
        if model is None:
            return True
        if not await self._order_sender.unload_model(state, model):
            return False
        return await self._order_sender.poll_until(
            state,
            lambda: model not in state.models,
            initial_delay_ms=0,
            timeout_ms=UNLOAD_TIMEOUT_MS,
        )

    async def _load(
        self, state: _replica_states.ReplicaState, model: str, load_ms: float
    ) -> bool:
        """Order a load and wait until the model is resident or overdue.

        Returns whether the order is known to be accepted.
        """
        if not await self._order_sender.load_model(state, model):
            return False
        await self._order_sender.poll_until(
            state,
            lambda: model in state.models,
            initial_delay_ms=load_ms,
            timeout_ms=LOAD_TIMEOUT_FACTOR * load_ms + ORDER_DELAY_MS,
        )
        return True

    def _engine_of(self, service: str) -> _types.Engine | None:
        found = self._active_configuration.find_service(service)
        return found.engine if found else None


def _replica_view(
    state: _replica_states.ReplicaState, now: int
) -> _packing.ReplicaView:
    left_ms = state.move_ends_at - now
    return _packing.ReplicaView(
        state.name,
        state.models_after_unloads() - state.unconfirmed_models(),
        state.ready_models(),
        state.local_models,
        not state.is_idle,
        state.unconfirmed_models(),
        left_ms if left_ms > 0 else None,
    )


def _adapter_view(
    state: _replica_states.ReplicaState, now: int
) -> _adapter_plan.View:
    return _adapter_plan.View(
        state.name,
        state.ready_models(),
        frozenset(state.charged_adapters()),
        state.is_idle and now >= state.no_adapters_ahead_until,
    )
