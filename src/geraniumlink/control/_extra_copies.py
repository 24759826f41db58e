"""Plans extra copies of models that are in high demand.

The gain of a copy is the number of requests in flight that it takes off
replicas with a high utilisation. The copy is loaded if its gain exceeds the
cost of a load, which depends on the deployment's ``attainment_weight``. At
1, a small gain is enough, and free memory is also used for copies ahead of
demand. At 0, only a large gain is enough.
"""

from __future__ import annotations

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger
from geraniumlink.control import _load_distribution
from geraniumlink.control import _placement_views as views

# Utilisation (requests in flight per max_in_flight) above which load is
# moved off a replica.
HIGH_UTILISATION = 0.75
# Cost of a load as a share of the replica's max_in_flight: the minimum is
# for weight 1, and the range is added in full at weight 0.
MIN_LOAD_COST = 0.02
LOAD_COST_RANGE = 0.23
# A copy is loaded ahead of demand only if it is expected to get at least
# this share of the replica's max_in_flight.
MIN_PREFETCH_SHARE = 0.03
# Below this weight no copy is loaded ahead of demand.
MIN_PREFETCH_WEIGHT = 0.5


def plan_extra_copies(
    deployment: pb.Deployment,
    replicas: list[views.ReplicaView],
    demand: dict[str, float],
) -> list[views.Move]:
    """Return loads of extra copies, and unloads that make room for them.

    ``demand`` is the mean number of requests in flight, by model. At most
    one load is returned for each replica.
    """
    planner = _ExtraCopyPlanner(deployment, replicas, demand)
    planner.relieve_busy_replicas()
    planner.prefetch()
    return planner.moves


class _ExtraCopyPlanner:
    """Plans moves by the expected load, which each move updates."""

    def __init__(
        self,
        deployment: pb.Deployment,
        replicas: list[views.ReplicaView],
        demand: dict[str, float],
    ) -> None:
        self._models = {model.name: model for model in deployment.models}
        self._weight = deployment.attainment_weight
        self._replicas = {
            replica.name: replica for replica in replicas if replica.usable
        }
        self._capacity = {
            declared.name: float(declared.max_in_flight)
            for declared in deployment.replicas
            if declared.name in self._replicas
        }
        self._free_mb = {
            name: replica.free_mb for name, replica in self._replicas.items()
        }
        self._demand = demand
        self._holders = self._find_holders()
        self._distribution = _load_distribution.distribute_load(
            demand, self._holders, self._capacity
        )
        self._changed_replicas: set[str] = set()
        self.moves: list[views.Move] = []

    def _find_holders(self) -> dict[str, list[str]]:
        """Return the replicas with a copy, by model.

        Copies that are still loading count, so that none is loaded twice.
        """
        return {
            model.name: [
                replica.name
                for replica in self._replicas.values()
                if _is_resident_or_loading(replica, views.model_copy(model))
            ]
            for model in self._models.values()
        }

    def _load_cost(self, name: str) -> float:
        """Return the cost of a load there, in requests in flight."""
        share = MIN_LOAD_COST + LOAD_COST_RANGE * (1 - self._weight)
        return share * self._capacity[name]

    def _headroom(self, name: str) -> float:
        """Return how many more requests keep the replica below the limit.

        It is negative for a replica with a high utilisation.
        """
        return (
            HIGH_UTILISATION * self._capacity[name]
            - self._distribution.load[name]
        )

    def relieve_busy_replicas(self) -> None:
        """Load copies of the models that cause a high utilisation."""
        busy = [name for name in self._capacity if self._headroom(name) < 0]
        for name in sorted(busy, key=self._headroom):
            for model in self._models_by_load(name):
                if self._headroom(name) >= 0:
                    break
                self._offload(name, model)

    def _models_by_load(self, name: str) -> list[str]:
        """Return the models that a replica serves, most requests first."""
        shares = {
            model: share
            for (model, holder), share in self._distribution.share.items()
            if holder == name and share > 0
        }
        return sorted(shares, key=lambda model: -shares[model])

    def _offload(self, busy: str, model: str) -> None:
        """Plan a copy of a model elsewhere to reduce a replica's load.

        Replicas with more headroom are tried first. Unloads that only make
        room count like the load, which follows in a later plan.
        """
        share = self._distribution.share[(model, busy)]
        excess = min(share, -self._headroom(busy))
        for name in sorted(self._capacity, key=self._headroom, reverse=True):
            gain = min(excess, self._headroom(name))
            if gain <= self._load_cost(name):
                return
            if self._load_or_make_room(model, name, gain):
                self._distribution.load[busy] -= gain
                self._distribution.load[name] += gain
                return

    def _load_or_make_room(self, model: str, name: str, gain: float) -> bool:
        """Plan a load, or unloads that make room for it.

        Returns whether any move was planned. A replica that already has
        moves in this plan gets no more.
        """
        if name in self._changed_replicas or name in self._holders[model]:
            return False
        declared = self._models[model]
        copy = views.model_copy(declared)
        if self._replicas[name].find(copy) is not None:
            # It is being unloaded or may still arrive: not loadable now.
            return False
        if self._free_mb[name] >= declared.size_mb:
            self._add_move(views.Action.LOAD, name, copy, declared.size_mb)
            self._free_mb[name] -= declared.size_mb
            self._holders[model].append(name)
            return True
        evicted = self._copies_to_evict(name, declared.size_mb, gain)
        for entry in evicted:
            self._add_move(
                views.Action.UNLOAD, name, entry.copy, entry.size_mb
            )
            self._holders[entry.copy.model].remove(name)
        return bool(evicted)

    def _add_move(
        self,
        action: views.Action,
        name: str,
        copy: _ledger.Copy,
        size_mb: int,
    ) -> None:
        self._changed_replicas.add(name)
        self.moves.append(views.Move(action, name, copy, size_mb))

    def _copies_to_evict(
        self, name: str, required_mb: int, gain: float
    ) -> list[views.CopyView]:
        """Return copies to unload so that ``required_mb`` become free.

        None are returned if that is impossible, or if it costs at least the
        gain. The cost is the load that the copies serve, plus twice the
        cost of a load.
        """
        evicted: list[views.CopyView] = []
        available_mb, cost = self._free_mb[name], 2 * self._load_cost(name)
        for lost_load, entry in sorted(
            self._evictable_copies(name), key=_eviction_order
        ):
            if available_mb >= required_mb:
                break
            cost += lost_load
            available_mb += entry.size_mb
            evicted.append(entry)
        if available_mb < required_mb or cost >= gain:
            return []
        return evicted

    def _evictable_copies(
        self, name: str
    ) -> list[tuple[float, views.CopyView]]:
        """Return resident copies beyond the required number of a model.

        Each comes with the load that it serves there.
        """
        evictable = []
        for entry in self._replicas[name].copies:
            model = self._models.get(entry.copy.model)
            if model is None or entry.copy != views.model_copy(model):
                continue
            resident = entry.state is _ledger.State.RESIDENT
            if resident and self._resident_count(
                model
            ) > views.required_copies(model):
                share = self._distribution.share.get((model.name, name), 0.0)
                evictable.append((share, entry))
        return evictable

    def _resident_count(self, model: pb.Model) -> int:
        """Return the number of resident copies, without loading ones."""
        copy = views.model_copy(model)
        return sum(
            1
            for name in self._holders[model.name]
            if (entry := self._replicas[name].find(copy)) is not None
            and entry.state is _ledger.State.RESIDENT
        )

    def prefetch(self) -> None:
        """Load copies of the models in most demand into free memory."""
        if self._weight < MIN_PREFETCH_WEIGHT:
            return
        for name in sorted(self._capacity, key=self._headroom, reverse=True):
            for model in sorted(
                self._models, key=self._negated_demand_per_copy
            ):
                declared = self._models[model]
                expected_load = -self._negated_demand_per_copy(model)
                if expected_load < MIN_PREFETCH_SHARE * self._capacity[name]:
                    break
                if declared.size_mb > self._free_mb[name]:
                    continue
                if self._load_or_make_room(model, name, expected_load):
                    break

    def _negated_demand_per_copy(self, model: str) -> float:
        """Return the negated load that one more copy would get.

        It is negated for sorting by falling demand.
        """
        copies = len(self._holders[model]) + 1
        return -self._demand.get(model, 0.0) / copies


def _is_resident_or_loading(
    replica: views.ReplicaView, copy: _ledger.Copy
) -> bool:
    entry = replica.find(copy)
    return entry is not None and entry.state in views.RESIDENT_OR_LOADING


def _eviction_order(
    evictable: tuple[float, views.CopyView],
) -> tuple[float, str]:
    """Sort by the load that a copy serves; the name breaks ties."""
    return evictable[0], str(evictable[1].copy)
