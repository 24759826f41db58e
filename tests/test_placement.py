"""Placement: what it decides for a few replicas."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from geraniumlink.configuration import _declarations
from geraniumlink.control import _ledger
from geraniumlink.control import _placement
from geraniumlink.control import _placement_views
from tests import builders

RESIDENT = _ledger.State.RESIDENT


def deployment(models, adapters=(), replicas=2, version="1"):
    """Return a deployment of models by size."""
    declared = builders.engines(
        [f"10.0.0.{index + 1}:80" for index in range(replicas)], ()
    )
    declared["models"] = [
        {"name": name, "version": version, "size_mb": size_mb}
        for name, size_mb in models.items()
    ]
    declared["adapters"] = [
        {"name": name, "model": model, "version": "1", "size_mb": 10}
        for name, model in adapters
    ]
    return _declarations.from_json(declared)


def views(*copies_of, capacity_mb=900):
    """Return replicas that hold (model, version, size) each."""
    made = []
    for index, copies in enumerate(copies_of):
        held = tuple(
            _placement_views.CopyView(
                _ledger.Copy(model, "", version), size_mb, RESIDENT
            )
            for model, version, size_mb in copies
        )
        used_mb = sum(view.size_mb for view in held)
        made.append(
            _placement_views.ReplicaView(
                f"r{index}", capacity_mb - used_mb, True, held
            )
        )
    return made


def plan(declared, replicas):
    return _placement.plan(declared, replicas, {})


def test_nothing_is_moved_when_nothing_is_missing():
    replicas = views([("a", "1", 100)], [("a", "1", 100), ("b", "1", 100)])
    assert plan(deployment({"a": 100, "b": 100}), replicas) == []


def test_missing_models_are_spread():
    moves = plan(deployment({"a": 100, "b": 100}), views([], []))
    assert {move.replica for move in moves} == {"r0", "r1"}


def test_the_old_version_stays_until_the_new_one_is_resident():
    declared = deployment({"a": 100}, version="2")
    moves = plan(declared, views([("a", "1", 100)], []))
    assert [move.action for move in moves] == [_placement_views.Action.LOAD]
    replicas = views([("a", "1", 100)], [("a", "2", 100)])
    moves = plan(declared, replicas)
    assert [(move.action, move.copy.version) for move in moves] == [
        (_placement_views.Action.UNLOAD, "1")
    ]


def test_adapters_go_beside_their_model():
    declared = deployment({"a": 100}, [("x", "a")])
    (move,) = plan(declared, views([], [("a", "1", 100)]))
    assert (move.replica, move.copy.adapter) == ("r1", "x")


def test_what_is_not_declared_is_unloaded():
    replicas = views([("a", "1", 100), ("b", "1", 100)])
    (move,) = plan(deployment({"a": 100}), replicas)
    assert (move.action, move.copy.model) == (
        _placement_views.Action.UNLOAD,
        "b",
    )


def test_a_replica_out_of_service_counts_for_nothing():
    first, second = views([("a", "1", 100)], [])
    down = first._replace(usable=False)
    (move,) = plan(deployment({"a": 100}), [down, second])
    assert move.replica == "r1"


sizes = strategies.lists(strategies.integers(1, 500), min_size=1, max_size=12)


@hypothesis.given(sizes, strategies.integers(1, 4))
def test_planned_loads_never_pass_the_free_memory(found, count):
    models = {f"m{index}": size for index, size in enumerate(found)}
    declared = deployment(models, replicas=count)
    replicas = views(*[[] for _ in range(count)])
    used = dict.fromkeys((replica.name for replica in replicas), 0)
    for move in plan(declared, replicas):
        used[move.replica] += move.size_mb
    assert all(used_mb <= 900 for used_mb in used.values())


def settle(declared, replicas):
    """Carry out plans until one is empty; every load becomes resident."""
    for _ in range(100):
        moves = plan(declared, replicas)
        if not moves:
            return replicas
        replicas = [_apply(replica, moves) for replica in replicas]
    raise AssertionError("the moves never end")


def _apply(replica, moves):
    for move in moves:
        if move.replica != replica.name:
            continue
        kept = [view for view in replica.copies if view.copy != move.copy]
        free_mb = replica.free_mb + move.size_mb
        if move.action is _placement_views.Action.LOAD:
            kept.append(
                _placement_views.CopyView(move.copy, move.size_mb, RESIDENT)
            )
            free_mb = replica.free_mb - move.size_mb
        assert free_mb >= 0
        replica = replica._replace(free_mb=free_mb, copies=tuple(kept))
    return replica


@pytest.mark.parametrize(
    "counts", [(18, 40, 5), (39, 95, 9)], ids=["bekele", "mahzen"]
)
@pytest.mark.parametrize("seed", range(5))
def test_a_whole_deployment_is_placed_and_rolled(counts, seed):
    model_count, adapter_count, replica_count = counts
    source = random.Random(seed)
    models = {
        f"m{index}": source.randint(50, 150) for index in range(model_count)
    }
    adapters = [
        (f"a{index}", f"m{source.randrange(model_count)}")
        for index in range(adapter_count)
    ]
    # Three quarters of the memory are needed.
    needed_mb = sum(models.values()) + 10 * adapter_count
    capacity_mb = needed_mb * 4 // (3 * replica_count)
    replicas = views(*[[]] * replica_count, capacity_mb=capacity_mb)
    for version in ("1", "2"):
        declared = deployment(models, adapters, replica_count, version)
        replicas = settle(declared, replicas)
        held = [view.copy for view in _all_copies(replicas)]
        wanted = {_ledger.Copy(model, "", version) for model in models}
        wanted |= {_ledger.Copy(model, name, "1") for name, model in adapters}
        assert set(held) >= wanted
        assert all(not copy.adapter or copy in wanted for copy in held)


def _all_copies(replicas):
    return [view for replica in replicas for view in replica.copies]
