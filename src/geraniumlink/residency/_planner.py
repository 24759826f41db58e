"""Chooses which model to load where.

Demand is in prompt tokens a second, by model, since reading prompts is what
binds the engines. A model that is asked for and resident nowhere is loaded;
one whose replicas are too busy gets another copy, where that takes load off
them. What gains most comes first, and a want gains with its age. What makes
room is the copy whose loss costs least.

Answers the load where demand moves between models within seconds, and rare
models are asked for at once.
"""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

# Demand that one engine serves well: its prefill rate of 22 tokens a ms,
# less what generating takes.
REPLICA_TOKENS_PER_S = 15_000.0
# A copy is worth adding when its holders are above this share of that.
BUSY_FRACTION = 0.45
# The most loaded holder must be relieved by this share of the capacity.
MIN_RELIEF_FRACTION = 0.1
# A model that is wanted and nowhere counts as that much excess demand, and
# the more the longer it is waited for, so that none is left out.
WAITING_GAIN = 500.0
WAITING_GAIN_PER_MS = 0.5
# Moves that gain less leave replicas free for those that gain more: a
# replica that loads a model can't load another for seconds.
LARGE_GAIN = 4000.0
SMALL_GAIN_MOVES_FRACTION = 0.4
# A model that was asked for within this is likely to be in use.
MODEL_IN_USE_MS = 6000
# Losing the last copy of a model in use costs this many times its demand:
# it is missed until it is loaded again, and so is what makes room then.
IN_USE_LOSS_FACTOR = 2.0
# Cost of losing a last copy that is idle, in tokens a second: it will have
# to be loaded again when it is asked for.
LAST_COPY_COST = 800.0
# Cost of a load from the weight store, in tokens a second: it takes seconds,
# and the store's rate is shared by all replicas.
STORE_LOAD_COST = 2000.0
# How long an idle last copy is taken to be likely to be asked for again.
IDLE_DECAY_MS = 30_000


class ReplicaView(typing.NamedTuple):
    """A replica as the planner sees it."""

    name: str
    # Resident, or being loaded.
    models: frozenset[str]
    # Resident, so that requests are served.
    ready: frozenset[str]
    # Load from the replica's own memory or disk, not the weight store.
    near: frozenset[str]
    # An order is in progress.
    busy: bool
    # A lost order may still bring these in: they take room, and are no copy.
    unconfirmed: frozenset[str] = frozenset()


class Move(typing.NamedTuple):
    """A model to load, and the one that makes room for it, if any."""

    replica: str
    model: str
    evicted: str | None
    # It needn't come from the weight store.
    near: bool


class Demand(typing.NamedTuple):
    """What callers ask for."""

    # Prompt tokens a second by model.
    rates: dict[str, float]
    # Time since each model was last asked for, in ms.
    idle_ms: dict[str, int]
    # Models that requests wait for now, and for how long, in ms.
    waiting_ms: dict[str, int]


def plan(
    engine: _types.Engine,
    views: list[ReplicaView],
    demand: Demand,
    store_loads: int,
) -> list[Move]:
    """Return loads, the most urgent first.

    At most ``store_loads`` of them are from the weight store.
    """
    planner = _Planner(engine, views, demand, store_loads)
    moves: list[Move] = []
    while True:
        move = planner.next_move()
        if move is None:
            return moves
        moves.append(move)


class _Planner:
    """The placement as it will be after the moves chosen so far."""

    def __init__(
        self,
        engine: _types.Engine,
        views: list[ReplicaView],
        demand: Demand,
        store_loads: int,
    ) -> None:
        self._engine = engine
        self._store_loads = store_loads
        self._near = {view.name: view.near for view in views}
        self._demand = demand
        self._models = {view.name: set(view.models) for view in views}
        self._unconfirmed = {view.name: view.unconfirmed for view in views}
        self._ready = {view.name: set(view.ready) for view in views}
        self._idle_replicas = {view.name for view in views if not view.busy}
        # Replicas that may still be kept busy by moves of little gain.
        most = max(1, round(SMALL_GAIN_MOVES_FRACTION * len(views)))
        self._small_moves_left = most - (len(views) - len(self._idle_replicas))

    def copy_count(self, model: str) -> int:
        return sum(model in held for held in self._models.values())

    def next_move(self) -> Move | None:
        """Return the move that gains most and can be made."""
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
        """Return by how much the busiest holder of a model is too busy."""
        replicas = self._replicas_holding(model)
        if not replicas or model not in self._engine.models:
            return 0.0
        load = max(self._replica_demand(replica) for replica in replicas)
        return load - BUSY_FRACTION * REPLICA_TOKENS_PER_S

    def _load_absent(self, model: str, gain: float) -> Move | None:
        """Load a model that is nowhere, where it costs least.

        What it displaces costs no more than it gains.
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
        """Add a copy of a model where that takes load off its holders."""
        load = max(
            self._replica_demand(replica)
            for replica in self._replicas_holding(model)
        )
        share = self._demand.rates[model] / (self.copy_count(model) + 1)
        relief = self._demand_per_copy(model) - share
        if relief < MIN_RELIEF_FRACTION * REPLICA_TOKENS_PER_S:
            return None
        options = []
        for replica in self._candidate_replicas(model):
            eviction = self._cheapest_room(replica, model)
            if eviction is None:
                continue
            evicted, cost = eviction
            cost += self._source_cost(replica, model)
            after = self._replica_demand(replica) + share + cost
            if after < load - relief / 2:
                options.append((after, replica, evicted))
        if not options:
            return None
        _, replica, evicted = min(options, key=lambda option: option[0])
        return self._apply_move(replica, model, evicted)

    def _apply_move(
        self, replica: str, model: str, evicted: str | None
    ) -> Move:
        self._models[replica].add(model)
        if evicted is not None:
            self._models[replica].discard(evicted)
            self._ready[replica].discard(evicted)
        self._idle_replicas.discard(replica)
        self._small_moves_left -= 1
        near = model in self._near[replica]
        if not near:
            self._store_loads -= 1
        return Move(replica, model, evicted, near)

    def _candidate_replicas(self, model: str) -> list[str]:
        """Return the replicas that may load a model now."""
        return [
            replica
            for replica in sorted(
                self._idle_replicas - self._replicas_holding(model)
            )
            if self._store_loads > 0 or model in self._near[replica]
        ]

    def _source_cost(self, replica: str, model: str) -> float:
        return 0.0 if model in self._near[replica] else STORE_LOAD_COST

    def _replicas_holding(self, model: str) -> set[str]:
        return {name for name, held in self._models.items() if model in held}

    def _demand_per_copy(self, model: str) -> float:
        """Demand for each copy of a model."""
        rate = self._demand.rates.get(model, 0.0)
        return rate / max(1, self.copy_count(model))

    def _replica_demand(self, replica: str) -> float:
        return sum(
            self._demand_per_copy(model) for model in self._models[replica]
        )

    def _cheapest_room(
        self, replica: str, model: str
    ) -> tuple[str | None, float] | None:
        """Return what to evict, if anything, and what its loss costs."""
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
        sizes = self._engine.models
        if model not in sizes:
            return False
        names = held | {model}
        # A model that is no longer declared has an unknown size.
        if not names <= sizes.keys():
            return False
        adapter_mb = max(sizes[name].adapter_mb for name in names)
        total = sum(sizes[name].size_mb for name in names)
        total += adapter_mb * self._engine.adapter_slots
        return total <= self._engine.weights_mb

    def _eviction_cost(self, model: str) -> float | None:
        """Return what losing a copy costs; None if it must stay."""
        # A copy that is being loaded serves nobody yet.
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
