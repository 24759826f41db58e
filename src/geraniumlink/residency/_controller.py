"""Decides what replicas hold, while this instance has the lease."""

from __future__ import annotations

import typing

import anyio
import anyio.abc

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.residency import _adapters
from geraniumlink.residency import _demand
from geraniumlink.residency import _holdings
from geraniumlink.residency import _leadership
from geraniumlink.residency import _load_budget
from geraniumlink.residency import _order_desk
from geraniumlink.residency import _planner
from geraniumlink.residency import _wants
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

TICK_MS = 200
# A model is loaded this much later than declared when others load too.
LOAD_SLACK = 1.3
# Loads at once each take longer in proportion; after this many times the
# usual, one is given up on.
LONGEST_LOADS = 4
# After this an unload that waits for its runs is given up on.
UNLOAD_MS = 10_000
# From the decision to load until the order is sent, with an unload before.
ORDERING_MS = 400
# Time to come back when nothing can be loaded soon.
RETRY_MS = 1000
# Time to come back when all places for adapters are in use.
NO_PLACE_MS = 500
# A want is answered within this, even if it is still being carried out.
ANSWER_MS = 800
# How long a want stands after the last request that waits for it.
WANT_MS = 1500


class _Wanted(typing.NamedTuple):
    """Since when a model is waited for, and until when that stands."""

    since: int
    until: int


class Controller:
    """The controller's state; it acts only while the lease is held."""

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        replicas: _replicas.Replicas,
        leadership: _leadership.Leadership,
        orders: platform.OrderClient,
        clock: _clock.Clock,
        instance: str,
    ) -> None:
        self._active_configuration = active_configuration
        self._replicas = replicas
        self._leadership = leadership
        self._clock = clock
        self._demands = _demand.Demands(clock)
        self._desk = _order_desk.OrderDesk(orders, leadership, clock, instance)
        self._adapters = _adapters.AdapterLoader(
            self._desk, self._demands, clock
        )
        self._holdings: dict[str, _holdings.Holding] = {}
        self._budgets: dict[str, _load_budget.LoadBudget] = {}
        # Models that requests wait for.
        self._wanted: dict[tuple[str, str], _Wanted] = {}
        # When each model that is being loaded should be there.
        self._ready_at: dict[tuple[str, str], int] = {}
        self._wanting = anyio.Event()
        self._changed = anyio.Event()
        self._epoch = 0
        # Replicas that instances can't connect to; their entries go later.
        self._unreachable: set[str] = set()

    def note_use(self, use: _demand.Use) -> None:
        """Count what an instance reports to have been asked for."""
        self._demands.note(use)

    def set_unreachable(self, replicas: set[str]) -> None:
        """Take it that these serve nobody, whatever their entries say."""
        if replicas != self._unreachable:
            _logs.event("unreachable", replicas=sorted(replicas))
        self._unreachable = replicas

    async def run(self) -> None:
        """Place models for ever."""
        async with anyio.create_task_group() as group:
            while True:
                if self._leadership.may_order():
                    self._begin_term()
                    self._ask_unsettled(group)
                    self._place(group)
                with anyio.move_on_after(TICK_MS / 1000):
                    await self._wanting.wait()
                self._wanting = anyio.Event()

    async def want(
        self, want: _wants.Want, avoid: set[str], wait_ms: int
    ) -> _wants.Answer:
        """Have a model or adapter loaded; return where it is resident.

        ``wait_ms`` is how long the request can wait in all. The answer
        comes sooner, so that a controller that died is noticed.
        """
        began = self._clock.now()
        while self._clock.now() - began < ANSWER_MS:
            self._begin_term()
            placed = self._placed(want, avoid)
            if placed:
                return _wants.Placed(placed)
            if not self._leadership.may_order():
                return _wants.Later(RETRY_MS)
            later = await self._pursue(want, avoid, began + wait_ms)
            if later is not None:
                return later
        return _wants.Pending()

    async def _pursue(
        self, want: _wants.Want, avoid: set[str], until: int
    ) -> _wants.Later | None:
        """Do what brings a want closer; None to look again."""
        engine = self._engine(want.service)
        if engine is None or want.model not in engine.models:
            return _wants.Later(RETRY_MS)
        if not want.adapter:
            return await self._await_model(want, engine, until)
        holders = [
            holding
            for holding in self._serving(want.service)
            if holding.name not in avoid and holding.holds(want.model, "")
        ]
        if not holders:
            return await self._await_model(want, engine, until)
        # While a replica loads a model, it refuses other orders.
        hosts = [h for h in holders if h.settled and not h.moving]
        if not hosts:
            return await self._await_change(until)
        there = await self._adapters.bring(
            *want, hosts=hosts, places=engine.adapter_slots
        )
        return None if there else _wants.Later(NO_PLACE_MS)

    async def _await_model(
        self, want: _wants.Want, engine: _types.Engine, until: int
    ) -> _wants.Later | None:
        """Wait for a change if the model can be there in time."""
        now = self._clock.now()
        key = (want.service, want.model)
        known = self._wanted.get(key)
        if known is None:
            self._wanting.set()
        since = known.since if known else now
        self._wanted[key] = _Wanted(since, now + WANT_MS)
        ready_at = self._ready_at.get(key)
        if ready_at is None:
            ready_at = now + self._load_ms(want, engine)
        if ready_at > until:
            return _wants.Later(max(RETRY_MS, ready_at - now))
        return await self._await_change(until)

    async def _await_change(self, until: int) -> _wants.Later | None:
        with anyio.move_on_after(TICK_MS / 1000):
            await self._changed.wait()
        if self._clock.now() >= until:
            return _wants.Later(RETRY_MS)
        return None

    def _load_ms(self, want: _wants.Want, engine: _types.Engine) -> int:
        """Return how long a load would take if it were begun now."""
        model = engine.models[want.model]
        near = any(
            want.model in holding.near
            for holding in self._serving(want.service)
        )
        return ORDERING_MS + int(
            model.local_load_ms if near else model.load_ms
        )

    def _ask_unsettled(self, group: anyio.abc.TaskGroup) -> None:
        """Learn what replicas hold before anything is ordered there."""
        for holding in self._holdings.values():
            if not holding.moving and not holding.settled:
                holding.moving = True
                group.start_soon(self._settle, holding)

    async def _settle(self, holding: _holdings.Holding) -> None:
        await self._desk.ask(holding)
        holding.moving = False

    def _begin_term(self) -> None:
        """Forget what was believed before the lease was taken."""
        epoch = self._leadership.epoch
        if epoch != self._epoch:
            self._epoch = epoch
            self._holdings.clear()
            self._budgets.clear()
        self._refresh()

    def _refresh(self) -> None:
        """Account for the replicas that are registered, and no others."""
        configuration = self._active_configuration.current
        if configuration is None:
            return
        seen = set()
        for service in configuration.services.values():
            if service.engine is None:
                continue
            for replica in self._replicas.registered(service.name):
                entry = replica.entry
                seen.add(entry.name)
                known = self._holdings.get(entry.name)
                if known is None or known.started_at != entry.started_at:
                    self._holdings[entry.name] = _holdings.Holding(entry)
        for name in self._holdings.keys() - seen:
            del self._holdings[name]

    def _serving(self, service: str) -> list[_holdings.Holding]:
        return [
            self._holdings[replica.entry.name]
            for replica in self._replicas.available(service)
            if replica.entry.name in self._holdings
            and replica.entry.name not in self._unreachable
        ]

    def _placed(self, want: _wants.Want, avoid: set[str]) -> tuple[str, ...]:
        return tuple(
            holding.name
            for holding in self._serving(want.service)
            if holding.name not in avoid
            and holding.holds(want.model, want.adapter)
        )

    def _place(self, group: anyio.abc.TaskGroup) -> None:
        configuration = self._active_configuration.current
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._place_service(group, service.name, service.engine)

    def _place_service(
        self,
        group: anyio.abc.TaskGroup,
        service: str,
        engine: _types.Engine,
    ) -> None:
        budget = self._budget(service, engine)
        load_ms = max((m.load_ms for m in engine.models.values()), default=0)
        free = budget.free(engine.loads_per_s, load_ms)
        demand = self._demands.of_service(service, self._wants(service))
        views = [_view(holding) for holding in self._serving(service)]
        for move in _planner.plan(engine, views, demand, free):
            self._begin_move(move)
            if not move.near:
                budget.begin()
            _logs.event(
                "move",
                **move._asdict(),
                tokens_per_s=round(demand.rates.get(move.model, 0)),
                evicted_tokens_per_s=round(
                    demand.rates.get(move.evicted or "", 0)
                ),
            )
            group.start_soon(self._move, service, engine, move, budget)

    def _budget(
        self, service: str, engine: _types.Engine
    ) -> _load_budget.LoadBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = _load_budget.LoadBudget(self._clock)
            guard_ms = self._leadership.guard_ms
            budget.assume_used(engine.loads_per_s, guard_ms)
            self._budgets[service] = budget
        return budget

    def _wants(self, service: str) -> dict[str, int]:
        """Return the models that are waited for, and for how long."""
        now = self._clock.now()
        self._wanted = {
            key: wanted
            for key, wanted in self._wanted.items()
            if wanted.until > now
        }
        return {
            model: now - wanted.since
            for (of_service, model), wanted in self._wanted.items()
            if of_service == service
        }

    def _begin_move(self, move: _planner.Move) -> None:
        """Charge a move before it is ordered, so none is planned twice."""
        holding = self._holdings[move.replica]
        holding.moving = True
        holding.pending.add((move.model, ""))
        if move.evicted is not None:
            holding.leaving.add((move.evicted, ""))

    async def _move(
        self,
        service: str,
        engine: _types.Engine,
        move: _planner.Move,
        budget: _load_budget.LoadBudget,
    ) -> None:
        holding = self._holdings[move.replica]
        key = (service, move.model)
        model = engine.models[move.model]
        load_ms = model.local_load_ms if move.near else model.load_ms
        slack_ms = ORDERING_MS + LOAD_SLACK * load_ms
        self._ready_at[key] = self._clock.now() + int(slack_ms)
        try:
            if await self._evict(holding, move.evicted):
                await self._load(holding, move.model, load_ms)
            else:
                holding.pending.discard((move.model, ""))
                # What refused it will not have changed at once.
                await self._clock.sleep(RETRY_MS)
        finally:
            _logs.event(
                "move_ended",
                **move._asdict(),
                resident=sorted(holding.models),
            )
            holding.moving = False
            if move.evicted is not None:
                holding.leaving.discard((move.evicted, ""))
            if not move.near:
                budget.end()
            self._ready_at.pop(key, None)
            self._changed.set()
            self._changed = anyio.Event()

    async def _evict(
        self, holding: _holdings.Holding, model: str | None
    ) -> bool:
        """Make room; whether there is."""
        if model is None:
            return True
        if not await self._desk.unload_model(holding, model):
            return False
        return await self._desk.until(
            holding,
            lambda: model not in holding.models,
            not_before_ms=0,
            within_ms=UNLOAD_MS,
        )

    async def _load(
        self, holding: _holdings.Holding, model: str, load_ms: float
    ) -> None:
        if not await self._desk.load_model(holding, model):
            return
        await self._desk.until(
            holding,
            lambda: model in holding.models,
            not_before_ms=load_ms,
            within_ms=LONGEST_LOADS * load_ms + ORDERING_MS,
        )

    def _engine(self, service: str) -> _types.Engine | None:
        found = self._active_configuration.find_service(service)
        return found.engine if found else None


def _view(holding: _holdings.Holding) -> _planner.View:
    return _planner.View(
        holding.name,
        holding.staying_models() - holding.doubtful_models(),
        holding.ready_models(),
        holding.near,
        holding.moving or not holding.settled,
        holding.doubtful_models(),
    )
