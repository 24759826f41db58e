"""The replicas of one deployment under a policy, second by second.

Not a cluster: the decision code is driven by a demand trace, with the limits
of the weight store, load times and lagging demand in force. Requests are a
fluid that spreads over the holders of a model.
"""

from __future__ import annotations

from collections.abc import Callable
import typing

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger
from geraniumlink.control import _load_distribution
from geraniumlink.control import _placement_views as views

# How fast one load reads from the store at full speed.
STORE_MB_PER_S = 1024.0
# The policy sees demand smoothed over this time.
SMOOTHING_S = 30.0
PLAN_EVERY_S = 5

Policy = Callable[
    [pb.Deployment, list[views.ReplicaView], dict[str, float]],
    list[views.Move],
]


class Outcome(typing.NamedTuple):
    """What a policy made of a trace."""

    # Share of the demand that was served without waiting.
    attainment: float
    # Mean requests in flight served without waiting, by accelerator.
    attained_per_accelerator: float
    # Loads and unloads after the first placement was whole.
    moves: int
    # Seconds with a model that no replica held after that.
    unreachable_s: int
    # Highest charge over capacity at any instant, in MiB; 0 if never.
    overcommitted_mb: int


class _Load(typing.NamedTuple):
    replica: str
    copy: _ledger.Copy
    until: float


class Site:
    """Ledgers of all replicas, the store's limits and the counts."""

    def __init__(self, deployment: pb.Deployment, policy: Policy) -> None:
        self._deployment = deployment
        self._policy = policy
        self._capacity_mb = {
            replica.name: replica.memory_mb - replica.kv_cache_mb
            for replica in deployment.replicas
        }
        self._slots = {
            replica.name: float(replica.max_in_flight)
            for replica in deployment.replicas
        }
        self._ledgers = dict.fromkeys(self._slots, _ledger.Ledger())
        self._loading: list[_Load] = []
        self._tokens = 0.0
        self._smoothed: dict[str, float] = {}
        self._whole = False
        self._moves = 0
        self._unreachable_s = 0
        self._overcommitted_mb = 0

    def run(self, seconds: list[dict[str, float]]) -> Outcome:
        """Drive the policy by a trace; count once all models are held."""
        wanted = served = 0.0
        steps = 0
        for second, demand in enumerate(seconds):
            self._finish_loads(second)
            if second % PLAN_EVERY_S:
                continue
            self._smooth(demand)
            self._plan(second)
            if not self._whole:
                self._whole = not self._missing()
                continue
            steps += 1
            wanted += sum(demand.values())
            served += self._served(demand)
            self._unreachable_s += PLAN_EVERY_S * self._missing()
        accelerators = len(self._slots)
        return Outcome(
            served / wanted,
            served / steps / accelerators,
            self._moves,
            self._unreachable_s,
            self._overcommitted_mb,
        )

    def _smooth(self, demand: dict[str, float]) -> None:
        """Smooth what engines report: requests that run, none refused."""
        distribution = _load_distribution.distribute_load(
            demand, self._holders(), self._slots
        )
        running = dict.fromkeys(demand, 0.0)
        for (model, name), share in distribution.share.items():
            over = max(1.0, distribution.load[name] / self._slots[name])
            running[model] += share / over
        weight = PLAN_EVERY_S / SMOOTHING_S
        for model, value in running.items():
            before = self._smoothed.setdefault(model, value)
            self._smoothed[model] = before + (value - before) * weight

    def _holders(self) -> dict[str, list[str]]:
        holders: dict[str, list[str]] = {}
        for name, ledger in self._ledgers.items():
            for entry in ledger.entries:
                resident = entry.state is _ledger.State.RESIDENT
                if resident and not entry.copy.adapter:
                    holders.setdefault(entry.copy.model, []).append(name)
        return holders

    def _missing(self) -> bool:
        holders = self._holders()
        return any(
            model.name not in holders for model in self._deployment.models
        )

    def _served(self, demand: dict[str, float]) -> float:
        """What replicas serve; beyond its slots a replica serves no more."""
        distribution = _load_distribution.distribute_load(
            demand, self._holders(), self._slots
        )
        return sum(
            min(load, self._slots[name])
            for name, load in distribution.load.items()
        )

    def _plan(self, second: int) -> None:
        limits = self._deployment.load_limits
        self._tokens = min(
            self._tokens + PLAN_EVERY_S * limits.loads_per_second,
            limits.concurrent_loads,
        )
        replicas = [self._view(name) for name in self._ledgers]
        for move in self._policy(self._deployment, replicas, self._smoothed):
            self._make(move, second)

    def _view(self, name: str) -> views.ReplicaView:
        ledger = self._ledgers[name]
        return views.ReplicaView(
            name,
            self._capacity_mb[name] - ledger.charge_mb,
            usable=True,
            copies=tuple(
                views.CopyView(entry.copy, entry.size_mb, entry.state)
                for entry in ledger.entries
            ),
        )

    def _make(self, move: views.Move, second: int) -> None:
        ledger = self._ledgers[move.replica]
        match move.action:
            case views.Action.LOAD:
                if not self._may_load(move, ledger):
                    return
                ledger = ledger.with_load(move.copy, move.size_mb)
                taken_s = move.size_mb / STORE_MB_PER_S
                self._loading.append(
                    _Load(move.replica, move.copy, second + taken_s)
                )
            case views.Action.UNLOAD:
                if self._is_last(move):
                    return
                ledger = ledger.without_entry(move.copy)
        self._ledgers[move.replica] = ledger
        self._moves += self._whole
        over_mb = ledger.charge_mb - self._capacity_mb[move.replica]
        self._overcommitted_mb = max(self._overcommitted_mb, over_mb)

    def _may_load(self, move: views.Move, ledger: _ledger.Ledger) -> bool:
        free_mb = self._capacity_mb[move.replica] - ledger.charge_mb
        if move.size_mb > free_mb or ledger.find(move.copy) is not None:
            return False
        if move.copy.adapter:
            return True
        limit = self._deployment.load_limits.concurrent_loads
        models = [load for load in self._loading if not load.copy.adapter]
        if self._tokens < 1 or len(models) >= limit:
            return False
        self._tokens -= 1
        return True

    def _is_last(self, move: views.Move) -> bool:
        holders = self._holders().get(move.copy.model, [])
        return not move.copy.adapter and holders == [move.replica]

    def _finish_loads(self, second: int) -> None:
        for load in [load for load in self._loading if load.until <= second]:
            self._loading.remove(load)
            ledger = self._ledgers[load.replica]
            entry = ledger.find(load.copy)
            if entry is not None:
                resident = entry._replace(state=_ledger.State.RESIDENT)
                self._ledgers[load.replica] = ledger.with_entry(resident)
