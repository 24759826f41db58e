"""Decides which copies to load and unload: a pure function.

``plan`` sees the replicas of one deployment as their ledgers and reports
show them and returns the next moves. It is asked again after each change,
so it returns what can begin now and keeps no state. The controller holds
every move to the memory, the load limits and the rule for last copies; a
move that breaks one is not made.
"""

from __future__ import annotations

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _balance
from geraniumlink.control import _ledger
from geraniumlink.control import _placement_views as views


def plan(
    deployment: pb.Deployment,
    replicas: list[views.ReplicaView],
    demand: dict[str, float],
) -> list[views.Move]:
    """Return the next moves, the most urgent first.

    ``demand`` is the mean number of requests in flight, by model. Further
    copies are weighed only when nothing is missing.
    """
    state = _State(deployment, replicas)
    moves = [
        *state.load_models(held=False),
        *state.load_adapters(),
        *state.load_models(held=True),
        *state.surplus(),
    ]
    return moves or _balance.further_copies(deployment, replicas, demand)


class _State:
    """The replicas, with the memory that the moves so far leave free."""

    def __init__(
        self, deployment: pb.Deployment, replicas: list[views.ReplicaView]
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

    def load_models(self, held: bool) -> list[views.Move]:
        """Load missing copies, of models that are held somewhere or not.

        A held model waits for room for its adapters as well: a new version
        without them can't replace the old one, and many at once would leave
        no room to finish any.
        """
        moves: list[views.Move] = []
        for model in sorted(self._deployment.models, key=_urgency):
            if self._is_held(model) != held:
                continue
            for _ in range(self._missing(model)):
                move = self._load_model(model)
                if move is None and not held:
                    move = self._load_model(model, with_adapters=False)
                if move is None:
                    moves += self._make_room(model)
                    break
                moves.append(move)
        return moves

    def _is_held(self, model: pb.Model) -> bool:
        return any(
            _is_model(view, model) and view.state is _ledger.State.RESIDENT
            for replica in self._replicas
            if replica.usable
            for view in replica.copies
        )

    def _missing(self, model: pb.Model) -> int:
        holders = self._holders(views.model_copy(model), views.HELD)
        return max(0, views.wanted_copies(model) - len(holders))

    def _holders(
        self, copy: _ledger.Copy, states: tuple[_ledger.State, ...]
    ) -> list[views.ReplicaView]:
        return [
            replica
            for replica in self._replicas
            if replica.usable
            for view in replica.copies
            if view.copy == copy and view.state in states
        ]

    def _load_model(
        self, model: pb.Model, with_adapters: bool = True
    ) -> views.Move | None:
        copy = views.model_copy(model)
        best: tuple[tuple, views.ReplicaView, int] | None = None
        for replica in self._replicas:
            if not self._may_load(replica, copy):
                continue
            room_mb = 0 if replica.find(copy) else model.size_mb
            if with_adapters:
                room_mb += self._missing_adapters_mb(replica, model)
            if room_mb > self._free[replica.name]:
                continue
            # Where an old version has its adapters, then spread over the
            # replicas, then the tightest fit.
            rank = (
                not any(_is_model(view, model) for view in replica.copies),
                self._model_count(replica),
                self._free[replica.name],
                replica.name,
            )
            if best is None or rank < best[0]:
                best = (rank, replica, room_mb)
        if best is None:
            return None
        _, replica, room_mb = best
        return self._take(replica, copy, model.size_mb, room_mb)

    def _may_load(
        self, replica: views.ReplicaView, copy: _ledger.Copy
    ) -> bool:
        if not replica.usable or copy in self._planned[replica.name]:
            return False
        view = replica.find(copy)
        return view is None or view.reloadable

    def _missing_adapters_mb(
        self, replica: views.ReplicaView, model: pb.Model
    ) -> int:
        return sum(
            adapter.size_mb
            for adapter in self._adapters.get(model.name, ())
            if replica.find(views.adapter_copy(adapter)) is None
        )

    def _model_count(self, replica: views.ReplicaView) -> int:
        charged = {view.copy for view in replica.copies}
        return sum(
            1
            for copy in charged | self._planned[replica.name]
            if not copy.adapter
        )

    def _take(
        self,
        replica: views.ReplicaView,
        copy: _ledger.Copy,
        size_mb: int,
        room_mb: int,
    ) -> views.Move:
        self._free[replica.name] -= room_mb
        self._planned[replica.name].add(copy)
        return views.Move(views.Action.LOAD, replica.name, copy, size_mb)

    def _make_room(self, model: pb.Model) -> list[views.Move]:
        """Unload one copy that another replica holds as well."""
        spare = [
            views.Move(
                views.Action.UNLOAD, replica.name, view.copy, view.size_mb
            )
            for other in self._deployment.models
            for replica in self._spare_holders(other)
            for view in replica.copies
            if view.copy == views.model_copy(other)
            and self._free[replica.name] + view.size_mb >= model.size_mb
        ]
        return spare[:1]

    def _spare_holders(self, model: pb.Model) -> list[views.ReplicaView]:
        holders = self._resident(views.model_copy(model))
        return holders[views.wanted_copies(model) :]

    def load_adapters(self) -> list[views.Move]:
        """Load adapters beside the copies of their models.

        Beside a copy that is still being loaded their room is kept free.
        """
        moves: list[views.Move] = []
        for model in self._deployment.models:
            holders = self._holders(views.model_copy(model), views.HELD)
            for replica in holders[: views.wanted_copies(model)]:
                moves += self._load_adapters_at(replica, model)
        return moves

    def _load_adapters_at(
        self, replica: views.ReplicaView, model: pb.Model
    ) -> list[views.Move]:
        view = replica.find(views.model_copy(model))
        ready = view is not None and view.state is _ledger.State.RESIDENT
        moves = []
        for adapter in self._adapters.get(model.name, ()):
            copy = views.adapter_copy(adapter)
            if not self._may_load(replica, copy):
                continue
            room_mb = 0 if replica.find(copy) else adapter.size_mb
            fits = room_mb <= self._free[replica.name]
            if ready and fits:
                moves.append(
                    self._take(replica, copy, adapter.size_mb, room_mb)
                )
            else:
                self._free[replica.name] -= room_mb
        return moves

    def surplus(self) -> list[views.Move]:
        """Unload what is not declared and old versions that are replaced."""
        declared = {model.name: model for model in self._deployment.models}
        current = {
            views.model_copy(model) for model in self._deployment.models
        }
        current |= {
            views.adapter_copy(adapter)
            for adapter in self._deployment.adapters
        }
        return [
            views.Move(
                views.Action.UNLOAD, replica.name, view.copy, view.size_mb
            )
            for replica in self._replicas
            for view in replica.copies
            if view.state in views.HELD
            and (view.copy not in current or _is_stray(replica, view))
            and self._replaced(view, declared)
        ]

    def _replaced(
        self, view: views.CopyView, declared: dict[str, pb.Model]
    ) -> bool:
        model = declared.get(view.copy.model)
        if model is None:
            return True
        adapters = self._adapters.get(model.name, ())
        if not view.copy.adapter:
            holders = self._resident(views.model_copy(model))
            return len(holders) >= views.wanted_copies(model) and all(
                self._beside_model(model, adapter) for adapter in adapters
            )
        return all(
            self._beside_model(model, adapter)
            for adapter in adapters
            if adapter.name == view.copy.adapter
        )

    def _beside_model(self, model: pb.Model, adapter: pb.Adapter) -> bool:
        """Whether a replica holds the adapter and its model, both current."""
        holders = self._resident(views.adapter_copy(adapter))
        return any(
            replica in holders
            for replica in self._resident(views.model_copy(model))
        )

    def _resident(self, copy: _ledger.Copy) -> list[views.ReplicaView]:
        return self._holders(copy, (_ledger.State.RESIDENT,))


def _urgency(model: pb.Model) -> tuple[int, int, str]:
    """By priority, then the largest, which are the hardest to place."""
    return -model.priority, -model.size_mb, model.name


def _is_model(view: views.CopyView, model: pb.Model) -> bool:
    """Whether it is a copy of the model, in any version."""
    return view.copy.model == model.name and not view.copy.adapter


def _is_stray(replica: views.ReplicaView, view: views.CopyView) -> bool:
    """Whether it is an adapter with no copy of its model beside it."""
    return bool(view.copy.adapter) and not any(
        other.copy.model == view.copy.model and not other.copy.adapter
        for other in replica.copies
    )
