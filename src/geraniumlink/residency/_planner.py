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

from geraniumlink.residency import _packing
from geraniumlink.serving import _types

# Demand that one engine can serve: its prefill rate of 22 tokens a ms, less
# the time that it spends on decoding.
REPLICA_TOKENS_PER_S = 15_000.0
# A model gets another copy only when its busiest replica has more than this
# fraction of REPLICA_TOKENS_PER_S.
BUSY_FRACTION = 0.45
# The copy must lower that replica's demand by at least this much, in tokens a
# second.
MIN_RELIEF = 0.1 * REPLICA_TOKENS_PER_S
# Gain of loading a model that requests wait for and that is resident
# nowhere, in tokens a second, on top of its demand. It grows with each ms of
# waiting, so that no model starves: past LARGE_GAIN within 2 s, since a load
# takes seconds and has to end before clients give up.
WAITING_GAIN = 500.0
WAITING_GAIN_PER_MS = 2.0
# The gain grows for this long. Where there are fewer places than models in
# use, some go unserved for long whatever is evicted, and models with much
# demand must not go for them.
MAX_GAINING_MS = 4000
# A model that is resident nowhere and has been waited for this long is loaded
# before any other gets another copy. Clients wait about as long for a first
# event.
STARVING_MS = 2000
# Where a load takes longer than this, those that wait for the model have given
# up before it ends, and a replica that loads is lost to others for as long.
# There a model counts as starving only after the time of a load: else such
# models would keep those that many ask for from getting copies.
LONG_LOAD_MS = 7000
# Moves that gain less than LARGE_GAIN, in tokens a second, may occupy only
# this fraction of the replicas. A replica that loads a model can't load
# another for seconds, so the rest is kept free for moves that gain more.
LARGE_GAIN = 4000.0
SMALL_GAIN_MOVES_FRACTION = 0.4


class Move(typing.NamedTuple):
    """A model to load on a replica, and the model to evict for it, if any.

    The field names are written to the log.
    """

    replica: str
    model: str
    evicted: str | None
    # Whether it loads from the replica's own memory or disk.
    near: bool


def plan(
    engine: _types.Engine,
    views: list[_packing.ReplicaView],
    demand: _packing.Demand,
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
    """Chooses moves one after the other, each in the placement so far."""

    def __init__(
        self,
        engine: _types.Engine,
        views: list[_packing.ReplicaView],
        demand: _packing.Demand,
        store_loads: int,
    ) -> None:
        self._engine = engine
        self._store_loads = store_loads
        self._local_models = {view.name: view.local_models for view in views}
        self._demand = demand
        self._packing = _packing.Packing(engine, views, demand)
        # For each model, when the first of the busy replicas with a local copy
        # is expected to be idle, in ms.
        self._near_copy_free_in_ms: dict[str, float] = {}
        for view in views:
            if view.busy and view.free_in_ms is not None:
                self._note_local_models(view, view.free_in_ms)
        # By name, so that a plan depends on its inputs alone.
        self._idle_replicas = sorted(
            view.name for view in views if not view.busy
        )
        # Models that are resident nowhere and can't be loaded. Further moves
        # only take idle replicas, room and store loads away.
        self._unplaceable: set[str] = set()
        # Moves below LARGE_GAIN are made while this is at least 1. All busy
        # replicas count, whatever the gain of their moves.
        max_small_moves = max(1, round(SMALL_GAIN_MOVES_FRACTION * len(views)))
        self._small_moves_left = max_small_moves - (
            len(views) - len(self._idle_replicas)
        )

    def _note_local_models(
        self, view: _packing.ReplicaView, free_in_ms: float
    ) -> None:
        for model in view.local_models - view.models:
            known = self._near_copy_free_in_ms.get(model, free_in_ms)
            self._near_copy_free_in_ms[model] = min(known, free_in_ms)

    def next_move(self) -> Move | None:
        """Choose the feasible move of most gain, and apply it."""
        if not self._idle_replicas:
            return None
        gains = self._gains()
        for model in sorted(gains, key=lambda name: self._rank(name, gains)):
            if gains[model] < LARGE_GAIN and self._small_moves_left < 1:
                break
            if self._packing.holders(model):
                move = self._add_copy(model)
            else:
                move = self._load_absent(model, gains[model])
            if move is not None:
                return move
        return None

    def _rank(
        self, model: str, gains: dict[str, float]
    ) -> tuple[bool, bool, float]:
        """Return the sort key by which models are loaded; the least first.

        Gains alone would let the copies of a few busy models take all idle
        replicas for as long as they are busy. A model that is resident nowhere
        and in much demand needn't starve first: its requests outnumber those
        for models that do. Loads from a local copy come first, since they
        occupy a replica for a fraction of the time.
        """
        is_far = not any(
            model in self._local_models[replica]
            for replica in self._idle_replicas
        )
        return not self._is_urgent(model), is_far, -gains[model]

    def _is_urgent(self, model: str) -> bool:
        """Whether a model is loaded before others get another copy."""
        if self._packing.holders(model):
            return False
        waited_ms = self._demand.waiting_ms.get(model, 0)
        return (
            waited_ms >= self._starving_ms(model)
            or self._demand.rates.get(model, 0.0) >= LARGE_GAIN
        )

    def _starving_ms(self, model: str) -> float:
        """Return after which wait a model is loaded before all others."""
        declared = self._engine.models.get(model)
        if declared is None or declared.load_ms <= LONG_LOAD_MS:
            return STARVING_MS
        return declared.load_ms

    def _gains(self) -> dict[str, float]:
        """Return the gain of a load of each model that may be worth one."""
        rates = self._demand.rates
        gains = {
            model: rates.get(model, 0.0)
            + WAITING_GAIN
            + min(waited_ms, MAX_GAINING_MS) * WAITING_GAIN_PER_MS
            for model, waited_ms in self._demand.waiting_ms.items()
            if model not in self._unplaceable
            and not self._packing.holders(model)
        }
        for model in rates:
            if self._relief(model) < MIN_RELIEF:
                continue
            gain = self._excess_demand(model)
            if gain > 0:
                gains[model] = gain
        return gains

    def _relief(self, model: str) -> float:
        """Return by how much another copy lowers the demand for each."""
        copies = len(self._packing.holders(model))
        if not copies or model not in self._engine.models:
            return 0.0
        return self._packing.copy_demand(
            model, copies
        ) - self._packing.copy_demand(model, copies + 1)

    def _excess_demand(self, model: str) -> float:
        """Return the excess demand on the busiest replica that has a model.

        It is at most 0 when none of them is overloaded.
        """
        return self._peak_demand(model) - BUSY_FRACTION * REPLICA_TOKENS_PER_S

    def _peak_demand(self, model: str) -> float:
        return max(
            self._packing.replica_demand(replica)
            for replica in self._packing.holders(model)
        )

    def _load_absent(self, model: str, gain: float) -> Move | None:
        """Load a model that is resident nowhere, where it costs least.

        The cost of the eviction must not exceed the gain.
        """
        best: tuple[float, str, str | None] | None = None
        for replica in self._candidate_replicas(model):
            room = self._packing.cheapest_room(replica, model)
            if room is None or room.cost > gain:
                continue
            cost = (
                room.cost
                + self._packing.replica_demand(replica)
                + self._source_cost(replica, model)
            )
            if best is None or cost < best[0]:
                best = (cost, replica, room.evicted)
        if best is None:
            self._unplaceable.add(model)
            return None
        return self._apply_move(best[1], model, best[2])

    def _add_copy(self, model: str) -> Move | None:
        """Add a copy of a model, if that relieves its busiest replica.

        The relief is by how much the demand for each copy falls. The demand
        on the new copy's replica, with the costs added, must stay below the
        busiest replica's present demand by more than half of the relief.
        """
        relief = self._relief(model)
        highest_demand = self._peak_demand(model) - relief / 2
        copy_demand = self._packing.copy_demand(
            model, len(self._packing.holders(model)) + 1
        )
        best: tuple[float, str, str | None] | None = None
        for replica in self._candidate_replicas(model):
            room = self._packing.cheapest_room(replica, model)
            if room is None:
                continue
            demand_after = (
                self._packing.replica_demand(replica)
                + copy_demand
                + room.cost
                + self._source_cost(replica, model)
            )
            if demand_after >= highest_demand:
                continue
            if best is None or demand_after < best[0]:
                best = (demand_after, replica, room.evicted)
        if best is None:
            return None
        return self._apply_move(best[1], model, best[2])

    def _apply_move(
        self, replica: str, model: str, evicted: str | None
    ) -> Move:
        """Account for a move in the resulting placement and return it."""
        self._packing.move(replica, model, evicted)
        self._idle_replicas.remove(replica)
        self._small_moves_left -= 1
        near = model in self._local_models[replica]
        if not near:
            self._store_loads -= 1
        return Move(replica, model, evicted, near)

    def _candidate_replicas(self, model: str) -> list[str]:
        """Return the idle replicas that may load a model now, by name."""
        holders = self._packing.holders(model)
        allows_far = self._store_loads > 0 and not self._is_near_soon(model)
        return [
            replica
            for replica in self._idle_replicas
            if replica not in holders
            and (allows_far or model in self._local_models[replica])
        ]

    def _is_near_soon(self, model: str) -> bool:
        """Whether a load from a local copy ends first if it is waited for.

        It also leaves the replicas that are idle now to other models.
        """
        declared = self._engine.models.get(model)
        free_in_ms = self._near_copy_free_in_ms.get(model)
        if declared is None or free_in_ms is None:
            return False
        return free_in_ms + declared.local_load_ms < declared.load_ms

    def _source_cost(self, replica: str, model: str) -> float:
        if model in self._local_models[replica]:
            return 0.0
        return _packing.STORE_LOAD_COST
