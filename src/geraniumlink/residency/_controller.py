"""Orders replicas to load and unload, while this instance holds the lease."""

from __future__ import annotations

import typing

import anyio
import anyio.abc

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.residency import _demand
from geraniumlink.residency import _holdings
from geraniumlink.residency import _leadership
from geraniumlink.residency import _load_budget
from geraniumlink.residency import _planner
from geraniumlink.serving import _catalogue
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

TICK_MS = 200
# An adapter is in place after 5 to 10 ms unless many are on their way.
ADAPTER_MS = 15
# An adapter that was asked for this recently may be in use.
ADAPTER_IN_USE_MS = 1500
# A model is loaded this much later than declared when others load too.
LOAD_SLACK = 1.3
# How often a replica is asked whether it has carried out an order.
POLL_MS = 250
# After this an unload that waits for its runs is given up on.
UNLOAD_MS = 10_000
# Reports lag by some hundred ms behind an order.
REPORT_LAG_MS = 400
# Time to come back when nothing can be loaded soon.
RETRY_MS = 1000
# A want is answered within this, even if it is still being carried out.
ANSWER_MS = 800
# An order without an answer is sent again this often in all.
MAX_SENDS = 3
# How long a want stands after the last request that waits for it.
WANT_MS = 1500


class Want(typing.NamedTuple):
    """A model, or an adapter of it, that requests wait for."""

    service: str
    model: str
    adapter: str


class Placed(typing.NamedTuple):
    """Replicas that hold what was wanted."""

    replicas: tuple[str, ...]


class Pending(typing.NamedTuple):
    """It is on its way; ask again at once."""


class Later(typing.NamedTuple):
    """When to ask again for what can't be had in time."""

    retry_ms: int


Answer = Placed | Pending | Later


class Controller:
    """The controller's state; it acts only while the lease is held."""

    def __init__(
        self,
        *,
        catalogue: _catalogue.Catalogue,
        replicas: _replicas.Replicas,
        leadership: _leadership.Leadership,
        orders: platform.OrderCalls,
        clock: _clock.Clock,
        instance: str,
    ) -> None:
        self._catalogue = catalogue
        self._replicas = replicas
        self._leadership = leadership
        self._orders = orders
        self._clock = clock
        self._instance = instance
        self._demands = _demand.Demands(clock)
        self._holdings: dict[str, _holdings.Holding] = {}
        self._budgets: dict[str, _load_budget.LoadBudget] = {}
        # Models that requests wait for, and until when the want stands.
        self._wanted: dict[tuple[str, str], int] = {}
        # When each model that is being loaded should be there.
        self._ready_at: dict[tuple[str, str], int] = {}
        self._loading_adapters: dict[Want, anyio.Event] = {}
        self._changed = anyio.Event()
        self._epoch = 0

    def note_use(self, use: _demand.Use) -> None:
        """Count what an instance reports to have been asked for."""
        self._demands.note(use)

    async def run(self) -> None:
        """Place models for ever."""
        async with anyio.create_task_group() as group:
            while True:
                if self._leadership.may_order():
                    self._begin_term()
                    for holding in self._holdings.values():
                        if not holding.known and not holding.moving:
                            group.start_soon(self._introduce, holding)
                    self._place(group)
                await self._clock.sleep(TICK_MS)

    async def want(self, want: Want, avoid: set[str], wait_ms: int) -> Answer:
        """Have a model or adapter loaded; return where it is resident.

        ``wait_ms`` is how long the request can wait in all. The answer
        comes sooner, so that a controller that died is noticed.
        """
        began = self._clock.now()
        until = began + wait_ms
        while True:
            self._begin_term()
            placed = self._placed(want, avoid)
            if placed:
                return Placed(placed)
            if not self._leadership.may_order():
                return Later(RETRY_MS)
            if want.adapter and self._placed(want._replace(adapter=""), avoid):
                later = await self._load_adapter(want, avoid)
            else:
                later = await self._await_model(want, until)
            if later is not None:
                return later
            if self._clock.now() - began >= ANSWER_MS:
                return Pending()

    async def _introduce(self, holding: _holdings.Holding) -> None:
        """Learn what a replica holds before anything is ordered there."""
        holding.moving = True
        await self._ask(holding)
        if holding.busy:
            # What a former controller ordered doesn't show in the report.
            holding.order_count = None
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
        """Bring the holdings up to date with the registered entries."""
        configuration = self._catalogue.current
        if configuration is None:
            return
        seen = set()
        for service in configuration.services.values():
            if service.engine is None:
                continue
            for replica in self._replicas.of_service(service.name):
                seen.add(replica.entry.name)
                self._take_entry(replica.entry)
        for name in self._holdings.keys() - seen:
            del self._holdings[name]

    def _take_entry(self, entry: _types.ReplicaEntry) -> None:
        holding = self._holdings.get(entry.name)
        if holding is None or holding.started_at != entry.started_at:
            self._holdings[entry.name] = _holdings.Holding(entry)

    def _serving(self, service: str) -> list[_holdings.Holding]:
        return [
            self._holdings[replica.entry.name]
            for replica in self._replicas.serving(service)
            if replica.entry.name in self._holdings
        ]

    def _placed(self, want: Want, avoid: set[str]) -> tuple[str, ...]:
        return tuple(
            holding.name
            for holding in self._serving(want.service)
            if holding.name not in avoid
            and holding.holds(want.model, want.adapter)
        )

    async def _await_model(self, want: Want, until: int) -> Later | None:
        """Wait for a change if the model can be there in time."""
        engine = self._engine(want.service)
        if engine is None or want.model not in engine.models:
            return Later(RETRY_MS)
        now = self._clock.now()
        key = (want.service, want.model)
        self._wanted[key] = now + WANT_MS
        ready_at = self._ready_at.get(key)
        if ready_at is None:
            ready_at = now + int(engine.models[want.model].load_ms)
        if ready_at > until:
            return Later(max(RETRY_MS, ready_at - now))
        with anyio.move_on_after(TICK_MS / 1000):
            await self._changed.wait()
        if self._clock.now() >= until:
            return Later(RETRY_MS)
        return None

    async def _load_adapter(self, want: Want, avoid: set[str]) -> Later | None:
        loading = self._loading_adapters.get(want)
        if loading is not None:
            await loading.wait()
            return None
        done = self._loading_adapters[want] = anyio.Event()
        try:
            for holding in self._adapter_hosts(want, avoid):
                if await self._bring_adapter(want, holding):
                    return None
            return Later(RETRY_MS // 2)
        finally:
            del self._loading_adapters[want]
            done.set()

    def _adapter_hosts(
        self, want: Want, avoid: set[str]
    ) -> list[_holdings.Holding]:
        """Return the replicas that hold the model, the emptiest first."""
        hosts = [
            holding
            for holding in self._serving(want.service)
            if holding.name not in avoid
            and holding.holds(want.model, "")
            # While it loads a model, it refuses other orders.
            and holding.known
            and not holding.moving
        ]
        return sorted(hosts, key=lambda h: len(h.charged_adapters()))

    async def _bring_adapter(
        self, want: Want, holding: _holdings.Holding
    ) -> bool:
        """Load an adapter, after unloading one if there is no place."""
        engine = self._engine(want.service)
        if engine is None:
            return False
        async with holding.ordering:
            charged = holding.charged_adapters()
            if len(charged) >= engine.adapter_slots:
                victim = self._idle_adapter(want.service, holding)
                if victim is None:
                    return False
                if not await self._unload_adapter(holding, victim):
                    return False
            verdict = await self._order(
                holding, load=True, model=want.model, adapter=want.adapter
            )
            if verdict is platform.Verdict.ACCEPTED:
                holding.pending.add((want.model, want.adapter))
        match verdict:
            case platform.Verdict.ACCEPTED:
                await self._clock.sleep(ADAPTER_MS)
            case platform.Verdict.HOLDS:
                pass
            case _:
                return False
        holding.pending.discard((want.model, want.adapter))
        holding.models.setdefault(want.model, set()).add(want.adapter)
        return True

    def _idle_adapter(
        self, service: str, holding: _holdings.Holding
    ) -> tuple[str, str] | None:
        """Return the adapter that was unused for longest, if long enough."""
        used = {
            (model, adapter): self._demands.adapter_used_at(
                service, model, adapter
            )
            for model, adapters in holding.models.items()
            for adapter in adapters
        }
        if not used:
            return None
        oldest = min(used, key=lambda key: used[key])
        if self._clock.now() - used[oldest] < ADAPTER_IN_USE_MS:
            return None
        return oldest

    async def _unload_adapter(
        self, holding: _holdings.Holding, victim: tuple[str, str]
    ) -> bool:
        model, adapter = victim
        verdict = await self._order(
            holding, load=False, model=model, adapter=adapter
        )
        if verdict is not platform.Verdict.HOLDS:
            # It may still be in use, and its place with it.
            return False
        holding.models[model].discard(adapter)
        return True

    def _place(self, group: anyio.abc.TaskGroup) -> None:
        configuration = self._catalogue.current
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
        budget = self._budgets.get(service)
        if budget is None:
            budget = _load_budget.LoadBudget(self._clock)
            budget.assume_used(engine.loads_per_s)
            self._budgets[service] = budget
        load_ms = max((m.load_ms for m in engine.models.values()), default=0)
        free = budget.free(engine.loads_per_s, load_ms)
        if free <= 0:
            return
        demand = self._demands.of_service(service, self._wants(service))
        views = [_view(holding) for holding in self._serving(service)]
        for move in _planner.plan(engine, views, demand, free):
            holding = self._holdings[move.replica]
            holding.moving = True
            holding.pending.add((move.model, ""))
            if move.evicted is not None:
                holding.leaving.add(move.evicted)
            budget.begin()
            _logs.event("move", **move._asdict(), rates=demand.rates)
            group.start_soon(
                self._move, service, engine, holding, move, budget
            )

    def _wants(self, service: str) -> tuple[str, ...]:
        now = self._clock.now()
        self._wanted = {
            key: until for key, until in self._wanted.items() if until > now
        }
        return tuple(m for s, m in self._wanted if s == service)

    async def _move(
        self,
        service: str,
        engine: _types.Engine,
        holding: _holdings.Holding,
        move: _planner.Move,
        budget: _load_budget.LoadBudget,
    ) -> None:
        key = (service, move.model)
        load_ms = LOAD_SLACK * engine.models[move.model].load_ms
        self._ready_at[key] = self._clock.now() + int(load_ms)
        try:
            if not await self._evict(holding, move.evicted):
                holding.pending.discard((move.model, ""))
                return
            await self._load(holding, move.model, 3 * load_ms)
        finally:
            holding.moving = False
            holding.leaving.clear()
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
        if not await self._order_surely(holding, load=False, model=model):
            return False
        return await self._until(
            holding, lambda: model not in holding.models, UNLOAD_MS
        )

    async def _load(
        self, holding: _holdings.Holding, model: str, within_ms: float
    ) -> None:
        if not await self._order_surely(holding, load=True, model=model):
            return
        await self._until(holding, lambda: model in holding.models, within_ms)

    async def _order_surely(
        self, holding: _holdings.Holding, *, load: bool, model: str
    ) -> bool:
        """Order until it is known to be accepted; False when it isn't."""
        before = holding.order_count
        in_doubt = False
        for _ in range(MAX_SENDS):
            async with holding.ordering:
                verdict = await self._order(
                    holding, load=load, model=model, adapter=""
                )
            match verdict:
                case platform.Verdict.ACCEPTED | platform.Verdict.HOLDS:
                    return True
                case platform.Verdict.UNKNOWN:
                    in_doubt = True
                case platform.Verdict.REFUSED:
                    break
            await self._clock.sleep(REPORT_LAG_MS)
            await self._ask(holding)
            if in_doubt and holding.order_count != before:
                # Nobody else orders, so it was ours that was counted.
                return True
            if verdict is platform.Verdict.CONFLICT:
                break
        holding.pending.discard((model, ""))
        return False

    async def _order(
        self,
        holding: _holdings.Holding,
        *,
        load: bool,
        model: str,
        adapter: str,
    ) -> platform.Verdict:
        if holding.order_count is None or not self._leadership.may_order():
            return platform.Verdict.REFUSED
        order = platform.Order(
            replica=holding.name,
            address=holding.address,
            load=load,
            model=model,
            adapter=adapter,
            order_count=holding.order_count,
            holder=self._instance,
            epoch=self._leadership.epoch,
        )
        verdict = await self._orders.send(order)
        if verdict is platform.Verdict.ACCEPTED or (
            # An adapter that nobody uses is unloaded at once, and counted.
            verdict is platform.Verdict.HOLDS and adapter and not load
        ):
            holding.note_accepted()
        if verdict is platform.Verdict.UNKNOWN and load:
            holding.doubtful.add((model, adapter))
        _logs.event(
            "order",
            replica=order.replica,
            load=load,
            model=model,
            adapter=adapter,
            order_count=order.order_count,
            epoch=order.epoch,
            verdict=verdict.name,
        )
        if verdict is platform.Verdict.CONFLICT and adapter:
            await self._ask(holding)
        return verdict

    async def _until(
        self,
        holding: _holdings.Holding,
        reached: typing.Callable[[], bool],
        within_ms: float,
    ) -> bool:
        """Ask a replica until something holds."""
        until = self._clock.now() + within_ms
        while not reached():
            if self._clock.now() >= until:
                return False
            if self._holdings.get(holding.name) is not holding:
                # It ended, or another instance controls it.
                return False
            await self._clock.sleep(POLL_MS)
            await self._ask(holding)
        return True

    async def _ask(self, holding: _holdings.Holding) -> None:
        """Bring the account of a replica up to date with its report."""
        try:
            report = await self._orders.report(holding.name, holding.address)
        except (_http.NotSentError, _http.BrokenError) as error:
            _logs.event(
                "report_missing", replica=holding.name, error=str(error)
            )
            return
        holding.take_report(report)

    def _engine(self, service: str) -> _types.Engine | None:
        found = self._catalogue.service(service)
        return found.engine if found else None


def _view(holding: _holdings.Holding) -> _planner.View:
    return _planner.View(
        holding.name,
        holding.charged_models() - holding.leaving,
        holding.moving or not holding.known,
    )
