"""Decides which copies to load and unload: a pure function.

``plan`` sees the replicas of one deployment as their ledgers and reports
show them and returns the next moves. It is asked again after each change,
so it returns what can begin now and keeps no state. The controller holds
every move to the memory, the load limits and the rule for last copies; a
move that breaks one is not made.
"""

from __future__ import annotations

import enum
import typing

from geraniumlink import _ledger
from geraniumlink._schema import geraniumlink_pb2 as pb


class CopyView(typing.NamedTuple):
    """A charged copy on a replica."""

    copy: _ledger.Copy
    size_mb: int
    state: _ledger.State
    # In state MAY_ARRIVE: it may be loaded again at no further charge.
    reloadable: bool = False


class ReplicaView(typing.NamedTuple):
    """A replica as placement sees it."""

    name: str
    # Memory that may still be charged.
    free_mb: int
    # Reachable, in service, and its ledger is known.
    usable: bool
    copies: tuple[CopyView, ...]

    def find(self, copy: _ledger.Copy) -> CopyView | None:
        for view in self.copies:
            if view.copy == copy:
                return view
        return None


class Action(enum.Enum):
    """What a move does with its copy."""

    LOAD = "load"
    UNLOAD = "unload"


class Move(typing.NamedTuple):
    """Loads a copy on a replica, or unloads it there."""

    action: Action
    replica: str
    copy: _ledger.Copy
    size_mb: int


_HELD = (_ledger.State.RESIDENT, _ledger.State.LOADING)


def plan(
    deployment: pb.Deployment,
    replicas: list[ReplicaView],
    demand: dict[str, float],
) -> list[Move]:
    """Return the next moves, the most urgent first.

    ``demand`` is requests a second by model. This policy does not use it:
    it gives each model its least number of copies and moves nothing else.
    """
    state = _State(deployment, replicas)
    return [
        *state.missing_models(),
        *state.missing_adapters(),
        *state.surplus(),
    ]


class _State:
    """The replicas, with the memory that the moves so far leave free."""

    def __init__(
        self, deployment: pb.Deployment, replicas: list[ReplicaView]
    ) -> None:
        self._deployment = deployment
        self._replicas = replicas
        self._free = {replica.name: replica.free_mb for replica in replicas}
        self._planned: dict[str, set[_ledger.Copy]] = {
            replica.name: set() for replica in replicas
        }
        self._adapters: dict[str, list[pb.Adapter]] = {}
        for adapter in deployment.adapters:
            self._adapters.setdefault(adapter.model, []).append(adapter)

    def missing_models(self) -> list[Move]:
        moves: list[Move] = []
        for model in sorted(self._deployment.models, key=self._urgency):
            copy = model_copy(model)
            for _ in range(self._missing(model)):
                room_mb = model.size_mb + self._adapters_mb(model.name)
                move = self._load(copy, model.size_mb, room_mb)
                if move is None:
                    moves += self._make_room(model)
                    break
                moves.append(move)
        return moves

    def _urgency(self, model: pb.Model) -> tuple[bool, int, int, str]:
        """Models that nobody holds first, then by priority and size."""
        held = any(
            view.copy.model == model.name
            and not view.copy.adapter
            and view.state is _ledger.State.RESIDENT
            for replica in self._replicas
            if replica.usable
            for view in replica.copies
        )
        return held, -model.priority, -model.size_mb, model.name

    def _missing(self, model: pb.Model) -> int:
        holders = self._holders(model_copy(model), _HELD)
        return max(0, wanted_copies(model) - len(holders))

    def _holders(
        self, copy: _ledger.Copy, states: tuple[_ledger.State, ...]
    ) -> list[ReplicaView]:
        return [
            replica
            for replica in self._replicas
            if replica.usable
            for view in replica.copies
            if view.copy == copy and view.state in states
        ]

    def _adapters_mb(self, model: str) -> int:
        return sum(
            adapter.size_mb for adapter in self._adapters.get(model, ())
        )

    def _load(
        self, copy: _ledger.Copy, size_mb: int, room_mb: int
    ) -> Move | None:
        """Return a load where there is ``room_mb``, else where it fits."""
        for wanted_mb in (room_mb, size_mb):
            fitting = [
                replica
                for replica in self._replicas
                if self._fits(replica, copy, size_mb, wanted_mb)
            ]
            if fitting:
                # Spread first; among equals the tightest fit.
                best = min(
                    fitting,
                    key=lambda replica: (
                        self._model_count(replica),
                        self._free[replica.name],
                        replica.name,
                    ),
                )
                return self._take(best, copy, size_mb)
        return None

    def _fits(
        self,
        replica: ReplicaView,
        copy: _ledger.Copy,
        size_mb: int,
        wanted_mb: int,
    ) -> bool:
        if not replica.usable or copy in self._planned[replica.name]:
            return False
        view = replica.find(copy)
        if view is not None and not view.reloadable:
            return False
        charged_mb = size_mb if view else 0
        return wanted_mb - charged_mb <= self._free[replica.name]

    def _model_count(self, replica: ReplicaView) -> int:
        charged = {view.copy for view in replica.copies}
        return sum(
            1
            for copy in charged | self._planned[replica.name]
            if not copy.adapter
        )

    def _take(
        self, replica: ReplicaView, copy: _ledger.Copy, size_mb: int
    ) -> Move:
        if replica.find(copy) is None:
            self._free[replica.name] -= size_mb
        self._planned[replica.name].add(copy)
        return Move(Action.LOAD, replica.name, copy, size_mb)

    def _make_room(self, model: pb.Model) -> list[Move]:
        """Unload one copy that another replica holds as well."""
        spare = [
            Move(Action.UNLOAD, replica.name, view.copy, view.size_mb)
            for other in self._deployment.models
            for replica in self._spare_holders(other)
            for view in replica.copies
            if view.copy == model_copy(other)
            and self._free[replica.name] + view.size_mb >= model.size_mb
        ]
        return spare[:1]

    def _spare_holders(self, model: pb.Model) -> list[ReplicaView]:
        holders = self._resident(model_copy(model))
        return holders[wanted_copies(model) :]

    def missing_adapters(self) -> list[Move]:
        """Load adapters beside the copies of their models."""
        moves = []
        for model in self._deployment.models:
            holders = self._resident(model_copy(model))
            beside = holders[: wanted_copies(model)]
            for adapter in self._adapters.get(model.name, ()):
                copy = adapter_copy(adapter)
                for replica in beside:
                    if self._fits(
                        replica, copy, adapter.size_mb, adapter.size_mb
                    ):
                        moves.append(
                            self._take(replica, copy, adapter.size_mb)
                        )
        return moves

    def surplus(self) -> list[Move]:
        """Unload what is not declared and old versions that are replaced."""
        declared = {model.name: model for model in self._deployment.models}
        current = {model_copy(model) for model in self._deployment.models}
        current |= {
            adapter_copy(adapter) for adapter in self._deployment.adapters
        }
        return [
            Move(Action.UNLOAD, replica.name, view.copy, view.size_mb)
            for replica in self._replicas
            for view in replica.copies
            if view.state in _HELD
            and view.copy not in current
            and self._replaced(view, declared)
        ]

    def _replaced(self, view: CopyView, declared: dict[str, pb.Model]) -> bool:
        model = declared.get(view.copy.model)
        if model is None:
            return True
        adapters = self._adapters.get(model.name, ())
        if not view.copy.adapter:
            holders = self._resident(model_copy(model))
            return len(holders) >= wanted_copies(model) and all(
                self._beside_model(model, adapter) for adapter in adapters
            )
        return all(
            self._beside_model(model, adapter)
            for adapter in adapters
            if adapter.name == view.copy.adapter
        )

    def _beside_model(self, model: pb.Model, adapter: pb.Adapter) -> bool:
        """Whether a replica holds the adapter and its model, both current."""
        holders = self._resident(adapter_copy(adapter))
        return any(
            replica in holders for replica in self._resident(model_copy(model))
        )

    def _resident(self, copy: _ledger.Copy) -> list[ReplicaView]:
        return self._holders(copy, (_ledger.State.RESIDENT,))


def model_copy(model: pb.Model) -> _ledger.Copy:
    """Return the copy that a declared model wants."""
    return _ledger.Copy(model.name, "", model.version)


def adapter_copy(adapter: pb.Adapter) -> _ledger.Copy:
    """Return the copy that a declared adapter wants."""
    return _ledger.Copy(adapter.model, adapter.name, adapter.version)


def wanted_copies(model: pb.Model) -> int:
    return max(1, model.min_copies)
