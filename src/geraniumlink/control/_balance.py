"""Chooses further copies of models where demand calls for them.

A copy is worth the requests in flight that it takes off replicas that are
too busy. It is loaded when that is more than the price of a move, which the
deployment's ``attainment_weight`` sets: at 1 a small gain is enough and free
memory is filled ahead of demand; at 0 only a large one is.
"""

from __future__ import annotations

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger
from geraniumlink.control import _load_distribution
from geraniumlink.control import _placement_views as views

# Utilisation of a replica above which it is relieved.
BUSY = 0.75
# Price of a load as a share of a replica's max_in_flight, at weight 1 and
# more at weight 0.
LOWEST_PRICE = 0.02
PRICE_RANGE = 0.23
# A copy ahead of demand must be expected to take this share at least.
FILL_SHARE = 0.03
# Below this weight no copy is loaded ahead of demand.
FILL_WEIGHT = 0.5


def further_copies(
    deployment: pb.Deployment,
    replicas: list[views.ReplicaView],
    demand: dict[str, float],
) -> list[views.Move]:
    """Return loads of further copies, and unloads that make room for them.

    ``demand`` is the mean number of requests in flight that callers ask
    for, by model. At most one load for each replica is returned.
    """
    balance = _Balance(deployment, replicas, demand)
    balance.relieve()
    balance.fill()
    return balance.moves


class _Balance:
    """The expected load, updated by each move that is chosen."""

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
        self._free = {
            name: replica.free_mb for name, replica in self._replicas.items()
        }
        self._demand = demand
        self._holders = self._find_holders()
        self._distribution = _load_distribution.distribute_load(
            demand, self._holders, self._capacity
        )
        self._changed: set[str] = set()
        self.moves: list[views.Move] = []

    def _find_holders(self) -> dict[str, list[str]]:
        """Count a copy that is being loaded, so that it isn't loaded twice."""
        return {
            model.name: [
                replica.name
                for replica in self._replicas.values()
                if _held(replica, views.model_copy(model))
            ]
            for model in self._models.values()
        }

    def _price(self, name: str) -> float:
        share = LOWEST_PRICE + PRICE_RANGE * (1 - self._weight)
        return share * self._capacity[name]

    def _headroom(self, name: str) -> float:
        return BUSY * self._capacity[name] - self._distribution.load[name]

    def relieve(self) -> None:
        """Load copies of what keeps the busiest replicas busy."""
        busy = [name for name in self._capacity if self._headroom(name) < 0]
        for name in sorted(busy, key=self._headroom):
            for model in self._heaviest(name):
                if self._headroom(name) >= 0:
                    break
                self._relieve_of(name, model)

    def _heaviest(self, name: str) -> list[str]:
        """Return the models that a replica serves, most requests first."""
        shares = {
            model: share
            for (model, holder), share in self._distribution.share.items()
            if holder == name and share > 0
        }
        return sorted(shares, key=lambda model: -shares[model])

    def _relieve_of(self, busy: str, model: str) -> None:
        share = self._distribution.share[(model, busy)]
        wanted = min(share, -self._headroom(busy))
        for name in sorted(self._capacity, key=self._headroom, reverse=True):
            gain = min(wanted, self._headroom(name))
            if gain <= self._price(name):
                return
            if self._place(model, name, gain):
                self._distribution.load[busy] -= gain
                self._distribution.load[name] += gain
                return

    def _place(self, model: str, name: str, gain: float) -> bool:
        """Load a copy there, or begin to make room; say whether chosen."""
        if name in self._changed or name in self._holders[model]:
            return False
        declared = self._models[model]
        copy = views.model_copy(declared)
        if self._replicas[name].find(copy) is not None:
            # On its way out, or it may still arrive: not to be had now.
            return False
        if self._free[name] >= declared.size_mb:
            self._choose(views.Action.LOAD, name, copy, declared.size_mb)
            self._free[name] -= declared.size_mb
            self._holders[model].append(name)
            return True
        spare = self._spare(name, declared.size_mb, gain)
        for entry in spare:
            self._choose(views.Action.UNLOAD, name, entry.copy, entry.size_mb)
            self._holders[entry.copy.model].remove(name)
        return bool(spare)

    def _choose(
        self,
        action: views.Action,
        name: str,
        copy: _ledger.Copy,
        size_mb: int,
    ) -> None:
        self._changed.add(name)
        self.moves.append(views.Move(action, name, copy, size_mb))

    def _spare(
        self, name: str, wanted_mb: int, gain: float
    ) -> list[views.CopyView]:
        """Return copies worth less than the gain whose room is enough."""
        found: list[views.CopyView] = []
        room_mb, worth = self._free[name], 2 * self._price(name)
        for value, entry in sorted(self._spare_copies(name), key=_value):
            if room_mb >= wanted_mb:
                break
            worth += value
            room_mb += entry.size_mb
            found.append(entry)
        if room_mb < wanted_mb or worth >= gain:
            return []
        return found

    def _spare_copies(self, name: str) -> list[tuple[float, views.CopyView]]:
        """Return resident copies that are not needed for reachability."""
        spare = []
        for entry in self._replicas[name].copies:
            model = self._models.get(entry.copy.model)
            if model is None or entry.copy != views.model_copy(model):
                continue
            resident = entry.state is _ledger.State.RESIDENT
            if resident and self._resident(model) > views.wanted_copies(model):
                share = self._distribution.share.get((model.name, name), 0.0)
                spare.append((share, entry))
        return spare

    def _resident(self, model: pb.Model) -> int:
        copy = views.model_copy(model)
        return sum(
            1
            for name in self._holders[model.name]
            if (entry := self._replicas[name].find(copy)) is not None
            and entry.state is _ledger.State.RESIDENT
        )

    def fill(self) -> None:
        """Use free memory ahead of demand for what is asked for most."""
        if self._weight < FILL_WEIGHT:
            return
        for name in sorted(self._capacity, key=self._headroom, reverse=True):
            for model in sorted(self._models, key=self._per_copy):
                declared = self._models[model]
                expected = -self._per_copy(model)
                if expected < FILL_SHARE * self._capacity[name]:
                    break
                if declared.size_mb > self._free[name]:
                    continue
                if self._place(model, name, expected):
                    break

    def _per_copy(self, model: str) -> float:
        """Return, negated, what one more copy would be asked for."""
        copies = len(self._holders[model]) + 1
        return -self._demand.get(model, 0.0) / copies


def _held(replica: views.ReplicaView, copy: _ledger.Copy) -> bool:
    entry = replica.find(copy)
    return entry is not None and entry.state in views.HELD


def _value(spare: tuple[float, views.CopyView]) -> tuple[float, str]:
    return spare[0], str(spare[1].copy)
