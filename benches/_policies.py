"""Policies to compare with."""

from __future__ import annotations

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger
from geraniumlink.control import _load_distribution
from geraniumlink.control import _placement
from geraniumlink.control import _placement_views as views


def static(
    deployment: pb.Deployment,
    replicas: list[views.ReplicaView],
    demand: dict[str, float],
) -> list[views.Move]:
    """Pack evenly: one copy each, then second copies while they fit.

    It looks at no demand, and never unloads.
    """
    moves = _placement.plan(deployment, replicas, {})
    if moves:
        return moves
    return _even_fill(deployment, replicas)


def _even_fill(
    deployment: pb.Deployment, replicas: list[views.ReplicaView]
) -> list[views.Move]:
    copies = _copies(deployment, replicas)
    models = {model.name: model for model in deployment.models}
    for name in sorted(copies, key=lambda name: (len(copies[name]), name)):
        model = models[name]
        fitting = [
            replica
            for replica in replicas
            if replica.name not in copies[name]
            and replica.free_mb >= model.size_mb
        ]
        if fitting:
            roomiest = max(fitting, key=lambda replica: replica.free_mb)
            return [_load(model, roomiest)]
    return []


def greedy(
    deployment: pb.Deployment,
    replicas: list[views.ReplicaView],
    demand: dict[str, float],
) -> list[views.Move]:
    """Load a copy on demand on the least loaded replica.

    It does so for each model whose holders are all full, and unloads the
    copies that are used least there.
    """
    moves = _placement.plan(deployment, replicas, {})
    if moves:
        return moves
    copies = _copies(deployment, replicas)
    slots = {
        replica.name: float(replica.max_in_flight)
        for replica in deployment.replicas
    }
    distribution = _load_distribution.distribute_load(demand, copies, slots)
    for model in sorted(
        deployment.models, key=lambda model: -demand.get(model.name, 0.0)
    ):
        full = all(
            distribution.load[name] >= slots[name]
            for name in copies[model.name]
        )
        if not full or demand.get(model.name, 0.0) < 1:
            continue
        for replica in sorted(
            replicas, key=lambda replica: distribution.load[replica.name]
        ):
            untouched = all(move.replica != replica.name for move in moves)
            if untouched and replica.name not in copies[model.name]:
                moves += _load_for(model, replica, copies, distribution)
                break
    return moves


def _load_for(
    model: pb.Model,
    replica: views.ReplicaView,
    copies: dict[str, list[str]],
    distribution: _load_distribution.LoadDistribution,
) -> list[views.Move]:
    moves = []
    free_mb = replica.free_mb
    by_use = sorted(
        replica.copies,
        key=lambda entry: distribution.share.get(
            (entry.copy.model, replica.name), 0.0
        ),
    )
    for entry in by_use:
        if free_mb >= model.size_mb:
            break
        spare = len(copies.get(entry.copy.model, ())) > 1
        if entry.copy.adapter or not spare:
            continue
        moves.append(
            views.Move(
                views.Action.UNLOAD, replica.name, entry.copy, entry.size_mb
            )
        )
        free_mb += entry.size_mb
    if free_mb < model.size_mb:
        return []
    for move in moves:
        copies[move.copy.model].remove(replica.name)
    return [*moves, _load(model, replica)]


def _copies(
    deployment: pb.Deployment, replicas: list[views.ReplicaView]
) -> dict[str, list[str]]:
    copies: dict[str, list[str]] = {
        model.name: [] for model in deployment.models
    }
    for replica in replicas:
        for entry in replica.copies:
            if not entry.copy.adapter and entry.copy.model in copies:
                copies[entry.copy.model].append(replica.name)
    return copies


def _load(model: pb.Model, replica: views.ReplicaView) -> views.Move:
    copy = _ledger.Copy(model.name, "", model.version)
    return views.Move(views.Action.LOAD, replica.name, copy, model.size_mb)
