"""Plans which copies to load and unload, as a pure function.

``plan`` gets the replicas of one deployment, as their ledgers and reports
show them, and returns the next moves. It keeps no state: it is called again
after each change and returns only moves that can start now. The caller
checks every move against the memory, the load limits and the rule that the
last copy of a declared model or adapter stays, and drops those that fail.
"""

from __future__ import annotations

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _extra_copies
from geraniumlink.control import _ledger
from geraniumlink.control import _placement_views as views


def plan(
    deployment: pb.Deployment,
    replicas: list[views.ReplicaView],
    demand: dict[str, float],
) -> list[views.Move]:
    """Return the next moves, the most urgent first.

    ``demand`` is the mean number of requests in flight, by model. It is
    used for extra copies, which are planned only if there is no other move.
    """
    planner = _Planner(deployment, replicas)
    moves = [
        *planner.load_models(is_served=False),
        *planner.load_adapters(),
        *planner.load_models(is_served=True),
        *planner.unload_surplus(),
    ]
    return moves or _extra_copies.plan_extra_copies(
        deployment, replicas, demand
    )


class _Planner:
    """Plans moves and tracks the memory that they leave free."""

    def __init__(
        self, deployment: pb.Deployment, replicas: list[views.ReplicaView]
    ) -> None:
        self._deployment = deployment
        self._replicas = replicas
        self._free_mb = {replica.name: replica.free_mb for replica in replicas}
        self._planned: dict[str, set[_ledger.Copy]] = {
            replica.name: set() for replica in replicas
        }
        self._adapters: dict[str, list[pb.Adapter]] = {}
        for adapter in deployment.adapters:
            self._adapters.setdefault(adapter.model, []).append(adapter)

    def load_models(self, is_served: bool) -> list[views.Move]:
        """Load missing copies of models that are served already, or not.

        A model is served if some version is resident. Its new version is
        loaded only where its adapters fit as well, since it can't replace
        the old one without them; many such versions at once could leave no
        room to complete any. A model that isn't served is loaded without
        room for its adapters if need be.
        """
        moves: list[views.Move] = []
        for model in sorted(self._deployment.models, key=_load_order):
            if self._is_served(model) != is_served:
                continue
            for _ in range(self._missing_copies(model)):
                move = self._load_model(model)
                if move is None and not is_served:
                    move = self._load_model(model, with_adapters=False)
                if move is None:
                    moves += self._unload_spare_copy(model)
                    break
                moves.append(move)
        return moves

    def _is_served(self, model: pb.Model) -> bool:
        """Whether a usable replica has some version of the model."""
        return any(
            _is_version_of(view, model)
            and view.state is _ledger.State.RESIDENT
            for replica in self._replicas
            if replica.usable
            for view in replica.copies
        )

    def _missing_copies(self, model: pb.Model) -> int:
        """Return how many required copies are not even loading."""
        holders = self._replicas_with(
            views.model_copy(model), views.RESIDENT_OR_LOADING
        )
        return max(0, views.required_copies(model) - len(holders))

    def _replicas_with(
        self, copy: _ledger.Copy, states: tuple[_ledger.State, ...]
    ) -> list[views.ReplicaView]:
        """Return the usable replicas with a copy in one of the states."""
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
        """Plan a load on the best replica with room; None if none has it."""
        copy = views.model_copy(model)
        best: tuple[tuple, views.ReplicaView, int] | None = None
        for replica in self._replicas:
            if not self._can_load(replica, copy):
                continue
            required_mb = 0 if replica.find(copy) else model.size_mb
            if with_adapters:
                required_mb += self._missing_adapters_mb(replica, model)
            if required_mb > self._free_mb[replica.name]:
                continue
            # Prefer replicas with another version of the model, where its
            # adapters may be loaded; then the fewest models, to spread
            # them; then the tightest fit.
            rank = (
                not any(
                    _is_version_of(view, model) for view in replica.copies
                ),
                self._model_count(replica),
                self._free_mb[replica.name],
                replica.name,
            )
            if best is None or rank < best[0]:
                best = (rank, replica, required_mb)
        if best is None:
            return None
        _, replica, required_mb = best
        return self._plan_load(replica, copy, model.size_mb, required_mb)

    def _can_load(
        self, replica: views.ReplicaView, copy: _ledger.Copy
    ) -> bool:
        """Whether the copy is absent and unplanned, or may be reloaded."""
        if not replica.usable or copy in self._planned[replica.name]:
            return False
        view = replica.find(copy)
        return view is None or view.reloadable

    def _missing_adapters_mb(
        self, replica: views.ReplicaView, model: pb.Model
    ) -> int:
        """Return the size of the model's adapters that aren't charged."""
        return sum(
            adapter.size_mb
            for adapter in self._adapters.get(model.name, ())
            if replica.find(views.adapter_copy(adapter)) is None
        )

    def _model_count(self, replica: views.ReplicaView) -> int:
        """Return the number of charged and planned models, no adapters."""
        copies = {view.copy for view in replica.copies}
        return sum(
            1
            for copy in copies | self._planned[replica.name]
            if not copy.adapter
        )

    def _plan_load(
        self,
        replica: views.ReplicaView,
        copy: _ledger.Copy,
        size_mb: int,
        required_mb: int,
    ) -> views.Move:
        """Return a load, and reserve ``required_mb`` for it.

        That includes room for adapters, and is without the size of a copy
        that is charged already.
        """
        self._free_mb[replica.name] -= required_mb
        self._planned[replica.name].add(copy)
        return views.Move(views.Action.LOAD, replica.name, copy, size_mb)

    def _unload_spare_copy(self, model: pb.Model) -> list[views.Move]:
        """Unload one surplus copy to make room for a model, if possible."""
        unloads = [
            views.Move(
                views.Action.UNLOAD, replica.name, view.copy, view.size_mb
            )
            for other in self._deployment.models
            for replica in self._surplus_holders(other)
            for view in replica.copies
            if view.copy == views.model_copy(other)
            and self._free_mb[replica.name] + view.size_mb >= model.size_mb
        ]
        return unloads[:1]

    def _surplus_holders(self, model: pb.Model) -> list[views.ReplicaView]:
        """Return the replicas with a resident copy beyond those required."""
        holders = self._resident_holders(views.model_copy(model))
        return holders[views.required_copies(model) :]

    def load_adapters(self) -> list[views.Move]:
        """Load adapters on the replicas that hold their models.

        While the model is still loading, memory is reserved for them.
        """
        moves: list[views.Move] = []
        for model in self._deployment.models:
            holders = self._replicas_with(
                views.model_copy(model), views.RESIDENT_OR_LOADING
            )
            for replica in holders[: views.required_copies(model)]:
                moves += self._load_adapters_at(replica, model)
        return moves

    def _load_adapters_at(
        self, replica: views.ReplicaView, model: pb.Model
    ) -> list[views.Move]:
        """Plan the missing adapters of a model on one replica.

        Memory is reserved for those that can't be loaded yet.
        """
        view = replica.find(views.model_copy(model))
        is_resident = view is not None and view.state is _ledger.State.RESIDENT
        moves = []
        for adapter in self._adapters.get(model.name, ()):
            copy = views.adapter_copy(adapter)
            if not self._can_load(replica, copy):
                continue
            required_mb = 0 if replica.find(copy) else adapter.size_mb
            fits = required_mb <= self._free_mb[replica.name]
            if is_resident and fits:
                moves.append(
                    self._plan_load(
                        replica, copy, adapter.size_mb, required_mb
                    )
                )
            else:
                self._free_mb[replica.name] -= required_mb
        return moves

    def unload_surplus(self) -> list[views.Move]:
        """Unload undeclared copies, replaced versions and orphan adapters."""
        declared = {model.name: model for model in self._deployment.models}
        declared_copies = {
            views.model_copy(model) for model in self._deployment.models
        }
        declared_copies |= {
            views.adapter_copy(adapter)
            for adapter in self._deployment.adapters
        }
        return [
            views.Move(
                views.Action.UNLOAD, replica.name, view.copy, view.size_mb
            )
            for replica in self._replicas
            for view in replica.copies
            if view.state in views.RESIDENT_OR_LOADING
            and (
                view.copy not in declared_copies
                or _is_orphaned_adapter(replica, view)
            )
            and self._is_replaced(view, declared)
        ]

    def _is_replaced(
        self, view: views.CopyView, declared: dict[str, pb.Model]
    ) -> bool:
        """Whether the declared version can serve in place of this copy.

        For a model, enough copies are resident and each adapter shares a
        replica with one of them. For an adapter, it does so itself.
        """
        model = declared.get(view.copy.model)
        if model is None:
            return True
        adapters = self._adapters.get(model.name, ())
        if not view.copy.adapter:
            holders = self._resident_holders(views.model_copy(model))
            return len(holders) >= views.required_copies(model) and all(
                self._is_colocated(model, adapter) for adapter in adapters
            )
        return all(
            self._is_colocated(model, adapter)
            for adapter in adapters
            if adapter.name == view.copy.adapter
        )

    def _is_colocated(self, model: pb.Model, adapter: pb.Adapter) -> bool:
        """Whether some replica has both in their declared versions."""
        holders = self._resident_holders(views.adapter_copy(adapter))
        return any(
            replica in holders
            for replica in self._resident_holders(views.model_copy(model))
        )

    def _resident_holders(self, copy: _ledger.Copy) -> list[views.ReplicaView]:
        """Return the usable replicas on which the copy is resident."""
        return self._replicas_with(copy, (_ledger.State.RESIDENT,))


def _load_order(model: pb.Model) -> tuple[int, int, str]:
    """Sort by priority, then size: large models are the hardest to place."""
    return -model.priority, -model.size_mb, model.name


def _is_version_of(view: views.CopyView, model: pb.Model) -> bool:
    """Whether the view is of the model itself, in any version."""
    return view.copy.model == model.name and not view.copy.adapter


def _is_orphaned_adapter(
    replica: views.ReplicaView, view: views.CopyView
) -> bool:
    """Whether the view is of an adapter on a replica without its model."""
    return bool(view.copy.adapter) and not any(
        other.copy.model == view.copy.model and not other.copy.adapter
        for other in replica.copies
    )
