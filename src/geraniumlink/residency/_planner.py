"""Plans which models to load on which replicas.

Demand is measured in prompt tokens a second for each model, since prefill is
the bottleneck of the engines. A model that is requested and resident nowhere
is loaded. A model whose replicas are overloaded gets another copy, if that
relieves them. Loads are chosen greedily by gain, and the gain of a model
that is resident nowhere grows with the time that requests have waited. To
make room, the copy is evicted whose loss costs least.

Gains and costs are both in tokens a second, so that they can be compared.
The constants suit demand that moves between models within seconds, and
requests for rare models that arrive without notice.
"""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

# Demand that one engine can serve: its prefill rate of 22 tokens a ms, less
# the time that it spends on decoding.
REPLICA_TOKENS_PER_S = 15_000.0
# A model gets another copy only when its busiest replica has more than this
# fraction of REPLICA_TOKENS_PER_S.
BUSY_FRACTION = 0.45
# The copy must lower that replica's demand by at least this fraction of
# REPLICA_TOKENS_PER_S.
MIN_RELIEF_FRACTION = 0.1
# Gain of loading a model that requests wait for and that is resident
# nowhere, in tokens a second, on top of its demand. It grows with each ms of
# waiting, so that no model starves.
WAITING_GAIN = 500.0
WAITING_GAIN_PER_MS = 0.5
# Moves that gain less than LARGE_GAIN, in tokens a second, may occupy only
# this fraction of the replicas. A replica that loads a model can't load
# another for seconds, so the rest is kept free for moves that gain more.
LARGE_GAIN = 4000.0
SMALL_GAIN_MOVES_FRACTION = 0.4
# A model that was requested within this time is likely to be in use.
MODEL_IN_USE_MS = 6000
# Evicting the last copy of a model in use costs this many times its demand:
# requests miss the model until it is loaded again, and the model that is
# evicted for it then.
IN_USE_LOSS_FACTOR = 2.0
# Cost of evicting the last copy of an idle model, in tokens a second: it has
# to be loaded again at the next request for it.
LAST_COPY_COST = 800.0
# Cost of a load from the weight store, in tokens a second: it takes seconds,
# and all replicas share the store's bandwidth.
STORE_LOAD_COST = 2000.0
# A model is taken to be likely to be requested again within this time. Until
# then the cost of evicting its last copy falls linearly from twice
# LAST_COPY_COST to LAST_COPY_COST.
IDLE_DECAY_MS = 30_000


class ReplicaView(typing.NamedTuple):
    """What the planner knows of a replica."""

    name: str
    # Models that are or will be resident: without those being unloaded.
    models: frozenset[str]
    # Resident models that requests can be sent to.
    ready: frozenset[str]
    # Models that can be loaded from the replica's own memory or disk instead
    # of the weight store.
    local_models: frozenset[str]
    # Whether it can't take a new order now.
    busy: bool
    # Models that an order without an answer may still load. They take up
    # memory but don't count as copies.
    unconfirmed: frozenset[str] = frozenset()


class Move(typing.NamedTuple):
    """A model to load on a replica, and the model to evict for it, if any.

    The field names are written to the log.
    """

    replica: str
    model: str
    evicted: str | None
    # Whether it loads from the replica's own memory or disk.
    near: bool


class Demand(typing.NamedTuple):
    """Demand for the models of one service."""

    # Prompt tokens a second for each model.
    rates: dict[str, float]
    # Time since the last request for each model.
    idle_ms: dict[str, int]
    # Models that requests wait for now, and for how long they have waited.
    waiting_ms: dict[str, int]


def plan(
    engine: _types.Engine,
    views: list[ReplicaView],
    demand: Demand,
    store_loads: int,
) -> list[Move]:
    """Return the loads to start now, those of most gain first.

    At most ``store_loads`` of them are from the weight store, and each is on
    another replica.
    """
    planner = _Planner(engine, views, demand, store_loads)
    moves: list[Move] = []
    while True:
        move = planner.next_move()
        if move is None:
            return moves
        moves.append(move)


class _Planner:
    """The placement that results from the moves chosen so far."""

    def __init__(
        self,
        engine: _types.Engine,
        views: list[ReplicaView],
        demand: Demand,
        store_loads: int,
    ) -> None:
        self._engine = engine
        self._store_loads = store_loads
        self._local_models = {view.name: view.local_models for view in views}
        self._demand = demand
        self._models = {view.name: set(view.models) for view in views}
        self._unconfirmed = {view.name: view.unconfirmed for view in views}
        self._ready = {view.name: set(view.ready) for view in views}
        self._idle_replicas = {view.name for view in views if not view.busy}
        # Moves below LARGE_GAIN are made while this is at least 1. All busy
        # replicas count, whatever the gain of their moves.
        max_small_moves = max(1, round(SMALL_GAIN_MOVES_FRACTION * len(views)))
        self._small_moves_left = max_small_moves - (
            len(views) - len(self._idle_replicas)
        )

    def copy_count(self, model: str) -> int:
        return sum(model in held for held in self._models.values())

    def next_move(self) -> Move | None:
        """Choose the feasible move of most gain, and apply it."""
        rates = self._demand.rates
        gains = {
            model: rates.get(model, 0.0)
            + WAITING_GAIN
            + waited_ms * WAITING_GAIN_PER_MS
            for model, waited_ms in self._demand.waiting_ms.items()
            if not self.copy_count(model)
        }
        for model in rates:
            gain = self._excess_demand(model)
            if gain > 0:
                gains[model] = gain
        for model in sorted(gains, key=lambda name: -gains[name]):
            if gains[model] < LARGE_GAIN and self._small_moves_left < 1:
                break
            move = self._add_copy(model) if self.copy_count(model) else None
            if not self.copy_count(model):
                move = self._load_absent(model, gains[model])
            if move is not None:
                return move
        return None

    def _excess_demand(self, model: str) -> float:
        """Return the excess demand on the busiest replica that has a model.

        It is at most 0 when none of them is overloaded.
        """
        replicas = self._replicas_holding(model)
        if not replicas or model not in self._engine.models:
            return 0.0
        peak = max(self._replica_demand(replica) for replica in replicas)
        return peak - BUSY_FRACTION * REPLICA_TOKENS_PER_S

    def _load_absent(self, model: str, gain: float) -> Move | None:
        """Load a model that is resident nowhere, where it costs least.

        The cost of the eviction must not exceed the gain.
        """
        options = []
        for replica in self._candidate_replicas(model):
            eviction = self._cheapest_room(replica, model)
            if eviction is None or eviction[1] > gain:
                continue
            evicted, cost = eviction
            cost += self._replica_demand(replica) + self._source_cost(
                replica, model
            )
            options.append((cost, replica, evicted))
        if not options:
            return None
        _, replica, evicted = min(options, key=lambda option: option[0])
        return self._apply_move(replica, model, evicted)

    def _add_copy(self, model: str) -> Move | None:
        """Add a copy of a model, if that relieves its busiest replica.

        The relief is by how much the demand for each copy falls. The demand
        on the new copy's replica, with the costs added, must stay below the
        busiest replica's present demand by more than half of the relief.
        """
        peak = max(
            self._replica_demand(replica)
            for replica in self._replicas_holding(model)
        )
        copy_demand = self._demand.rates[model] / (self.copy_count(model) + 1)
        relief = self._demand_per_copy(model) - copy_demand
        if relief < MIN_RELIEF_FRACTION * REPLICA_TOKENS_PER_S:
            return None
        options = []
        for replica in self._candidate_replicas(model):
            eviction = self._cheapest_room(replica, model)
            if eviction is None:
                continue
            evicted, cost = eviction
            cost += self._source_cost(replica, model)
            demand_after = self._replica_demand(replica) + copy_demand + cost
            if demand_after < peak - relief / 2:
                options.append((demand_after, replica, evicted))
        if not options:
            return None
        _, replica, evicted = min(options, key=lambda option: option[0])
        return self._apply_move(replica, model, evicted)

    def _apply_move(
        self, replica: str, model: str, evicted: str | None
    ) -> Move:
        """Account for a move in the resulting placement and return it."""
        self._models[replica].add(model)
        if evicted is not None:
            self._models[replica].discard(evicted)
            self._ready[replica].discard(evicted)
        self._idle_replicas.discard(replica)
        self._small_moves_left -= 1
        near = model in self._local_models[replica]
        if not near:
            self._store_loads -= 1
        return Move(replica, model, evicted, near)

    def _candidate_replicas(self, model: str) -> list[str]:
        """Return the idle replicas that may load a model now, by name."""
        return [
            replica
            for replica in sorted(
                self._idle_replicas - self._replicas_holding(model)
            )
            if self._store_loads > 0 or model in self._local_models[replica]
        ]

    def _source_cost(self, replica: str, model: str) -> float:
        return 0.0 if model in self._local_models[replica] else STORE_LOAD_COST

    def _replicas_holding(self, model: str) -> set[str]:
        return {name for name, held in self._models.items() if model in held}

    def _demand_per_copy(self, model: str) -> float:
        """Return the demand for one copy, if all copies share it equally."""
        rate = self._demand.rates.get(model, 0.0)
        return rate / max(1, self.copy_count(model))

    def _replica_demand(self, replica: str) -> float:
        return sum(
            self._demand_per_copy(model) for model in self._models[replica]
        )

    def _cheapest_room(
        self, replica: str, model: str
    ) -> tuple[str | None, float] | None:
        """Return the cheapest eviction that makes room, and its cost.

        The model is None when there is room already. Returns None when no
        single eviction makes enough room.
        """
        unconfirmed = self._unconfirmed[replica]
        if self._fits(self._models[replica] | unconfirmed, model):
            return None, 0.0
        options = []
        for held in sorted(self._models[replica]):
            rest = (self._models[replica] | unconfirmed) - {held}
            cost = self._eviction_cost(held)
            if cost is not None and self._fits(rest, model):
                options.append((cost, held))
        if not options:
            return None
        cost, held = min(options)
        return held, cost

    def _fits(self, held: set[str], model: str) -> bool:
        """Whether a model fits in the memory for weights beside others.

        Each adapter slot takes the size of the largest adapter.
        """
        sizes = self._engine.models
        if model not in sizes:
            return False
        names = held | {model}
        # The size of a model that is no longer declared is unknown.
        if not names <= sizes.keys():
            return False
        adapter_mb = max(sizes[name].adapter_mb for name in names)
        total = sum(sizes[name].size_mb for name in names)
        total += adapter_mb * self._engine.adapter_slots
        return total <= self._engine.weights_mb

    def _eviction_cost(self, model: str) -> float | None:
        """Return the cost of evicting a copy; None if it must stay."""
        # Copies that are still being loaded don't serve requests.
        ready = sum(model in held for held in self._ready.values())
        rate = self._demand.rates.get(model, 0.0)
        if ready > 1:
            return rate / (ready - 1)
        idle_ms = self._demand.idle_ms.get(model, IDLE_DECAY_MS)
        if model in self._demand.waiting_ms:
            return None
        if idle_ms < MODEL_IN_USE_MS:
            return IN_USE_LOSS_FACTOR * rate + STORE_LOAD_COST
        recency = max(0.0, 1 - idle_ms / IDLE_DECAY_MS)
        return rate + LAST_COPY_COST * (1 + recency)
