"""Which models the replicas of a service hold, and what a change would cost.

The planner tries many changes against the same placement. So the number of
copies of each model, the demand on each replica and the cheapest evictions
are kept up to date with each change, instead of being summed for each
question.
"""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

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
    # Time until a busy replica is expected to take an order again, in ms;
    # None if that isn't known.
    free_in_ms: float | None = None


class Demand(typing.NamedTuple):
    """Demand for the models of one service."""

    # Prompt tokens a second for each model.
    rates: dict[str, float]
    # Time since the last request for each model.
    idle_ms: dict[str, int]
    # Models that requests wait for now, or for which they have been refused of
    # late, and since when.
    waiting_ms: dict[str, int]
    # For how long demand has been observed. A model without a request is not
    # known to have been idle for longer.
    observed_ms: int = IDLE_DECAY_MS


class Room(typing.NamedTuple):
    """How a replica makes room for a model."""

    # The model to evict; None if there is room already.
    evicted: str | None
    # Of the eviction, in tokens a second.
    cost: float


# Memory that a model needs for its weights, and for one of its adapters, in
# megabytes. Models of the same size fit in the same places.
_Size = tuple[float, float]


class Packing:
    """The models on the replicas of a service, kept up to date."""

    def __init__(
        self,
        engine: _types.Engine,
        views: list[ReplicaView],
        demand: Demand,
    ) -> None:
        self._engine = engine
        self._demand = demand
        self._models = {view.name: set(view.models) for view in views}
        self._unconfirmed = {view.name: view.unconfirmed for view in views}
        self._holders: dict[str, set[str]] = {}
        # How many replicas can serve each model now.
        self._ready_counts: dict[str, int] = {}
        for view in views:
            for model in view.models:
                self._holders.setdefault(model, set()).add(view.name)
            for model in view.ready:
                count = self._ready_counts.get(model, 0)
                self._ready_counts[model] = count + 1
        self._ready = {view.name: set(view.ready) for view in views}
        self._replica_demands: dict[str, float] = {}
        # The cheapest way to make room for a model of a size, by replica.
        self._rooms: dict[str, dict[_Size, Room | None]] = {}

    def holders(self, model: str) -> typing.AbstractSet[str]:
        """Return the replicas that hold a model or will hold it."""
        return self._holders.get(model, frozenset())

    def copy_demand(self, model: str, copies: int) -> float:
        """Return the demand for each of a number of copies of a model."""
        return self._demand.rates.get(model, 0.0) / max(1, copies)

    def replica_demand(self, replica: str) -> float:
        """Return a replica's demand, if all copies share a model's equally."""
        demand = self._replica_demands.get(replica)
        if demand is None:
            demand = sum(
                self.copy_demand(model, len(self._holders[model]))
                for model in self._models[replica]
            )
            self._replica_demands[replica] = demand
        return demand

    def cheapest_room(self, replica: str, model: str) -> Room | None:
        """Return the cheapest way to make room for a model.

        None if the eviction of a single model does not make enough room.
        """
        declared = self._engine.models.get(model)
        if declared is None:
            return None
        size = (declared.size_mb, declared.adapter_mb)
        if model in self._unconfirmed[replica]:
            # An unanswered order may load it already, in the same place.
            return self._find_room(replica, size, arriving=model)
        rooms = self._rooms.setdefault(replica, {})
        if size not in rooms:
            rooms[size] = self._find_room(replica, size)
        return rooms[size]

    def move(self, replica: str, model: str, evicted: str | None) -> None:
        """Record that a model is loaded, and perhaps another one evicted."""
        touched = set(self.holders(model)) | {replica}
        self._models[replica].add(model)
        self._holders.setdefault(model, set()).add(replica)
        if evicted is not None:
            touched |= self.holders(evicted)
            for holder in self.holders(evicted):
                # The other copies have become dearer to evict.
                self._rooms.pop(holder, None)
            self._models[replica].discard(evicted)
            self._holders[evicted].discard(replica)
            if evicted in self._ready[replica]:
                self._ready[replica].discard(evicted)
                self._ready_counts[evicted] -= 1
        self._rooms.pop(replica, None)
        for name in touched:
            self._replica_demands.pop(name, None)

    def _find_room(
        self, replica: str, size: _Size, arriving: str = ""
    ) -> Room | None:
        held = self._models[replica] | self._unconfirmed[replica]
        held.discard(arriving)
        if self._fits(held, size):
            return Room(None, 0.0)
        options = []
        for model in self._models[replica]:
            cost = self._eviction_cost(model)
            if cost is not None and self._fits(held - {model}, size):
                options.append((cost, model))
        if not options:
            return None
        cost, model = min(options)
        return Room(model, cost)

    def _fits(self, held: set[str], size: _Size) -> bool:
        """Whether a model fits in the memory for weights beside others.

        Each adapter slot takes the size of the largest adapter.
        """
        declared = self._engine.models
        # The size of a model that is no longer declared is unknown.
        if not held <= declared.keys():
            return False
        total, adapter_mb = size
        for name in held:
            total += declared[name].size_mb
            adapter_mb = max(adapter_mb, declared[name].adapter_mb)
        total += adapter_mb * self._engine.adapter_slots
        return total <= self._engine.weights_mb

    def _eviction_cost(self, model: str) -> float | None:
        """Return the cost of evicting a copy; None if it must stay."""
        # Copies that are still being loaded don't serve requests.
        ready = self._ready_counts.get(model, 0)
        rate = self._demand.rates.get(model, 0.0)
        if ready > 1:
            return rate / (ready - 1)
        if model in self._demand.waiting_ms:
            return None
        idle_ms = self._demand.idle_ms.get(model, IDLE_DECAY_MS)
        if min(idle_ms, self._demand.observed_ms) < MODEL_IN_USE_MS:
            return IN_USE_LOSS_FACTOR * rate + STORE_LOAD_COST
        recency = max(0.0, 1 - idle_ms / IDLE_DECAY_MS)
        return rate + LAST_COPY_COST * (1 + recency)
