"""The moves that placement plans for given replicas."""

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
    """Return a deployment of models, given with their sizes in MiB.

    ``adapters`` lists (adapter, model) pairs.
    """
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


def views(*copies_by_replica, capacity_mb=900):
    """Return a replica for each list of (model, version, size in MiB)."""
    replicas = []
    for index, copies in enumerate(copies_by_replica):
        charged_copies = tuple(
            _placement_views.CopyView(
                _ledger.Copy(model, "", version), size_mb, RESIDENT
            )
            for model, version, size_mb in copies
        )
        used_mb = sum(view.size_mb for view in charged_copies)
        replicas.append(
            _placement_views.ReplicaView(
                f"r{index}", capacity_mb - used_mb, True, charged_copies
            )
        )
    return replicas


def plan(declared, replicas):
    return _placement.plan(declared, replicas, {})


def test_no_moves_are_planned_when_no_copy_is_missing():
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


def test_adapters_are_loaded_where_their_model_is():
    declared = deployment({"a": 100}, [("x", "a")])
    (move,) = plan(declared, views([], [("a", "1", 100)]))
    assert (move.replica, move.copy.adapter) == ("r1", "x")


def test_an_undeclared_model_is_unloaded():
    replicas = views([("a", "1", 100), ("b", "1", 100)])
    (move,) = plan(deployment({"a": 100}), replicas)
    assert (move.action, move.copy.model) == (
        _placement_views.Action.UNLOAD,
        "b",
    )


def test_copies_on_an_unusable_replica_do_not_count():
    first, second = views([("a", "1", 100)], [])
    down = first._replace(usable=False)
    (move,) = plan(deployment({"a": 100}), [down, second])
    assert move.replica == "r1"


sizes = strategies.lists(strategies.integers(1, 500), min_size=1, max_size=12)


@hypothesis.given(sizes, strategies.integers(1, 4))
def test_planned_loads_fit_in_the_free_memory(model_sizes, count):
    models = {f"m{index}": size for index, size in enumerate(model_sizes)}
    declared = deployment(models, replicas=count)
    replicas = views(*[[] for _ in range(count)])
    used = dict.fromkeys((replica.name for replica in replicas), 0)
    for move in plan(declared, replicas):
        used[move.replica] += move.size_mb
    assert all(used_mb <= 900 for used_mb in used.values())


def apply_plans(declared, replicas):
    """Apply plans until one is empty; each load is resident at once."""
    for _ in range(100):
        moves = plan(declared, replicas)
        if not moves:
            return replicas
        replicas = [_apply(replica, moves) for replica in replicas]
    raise AssertionError("the plans still have moves after 100 rounds")


def _apply(replica, moves):
    for move in moves:
        if move.replica != replica.name:
            continue
        others = [view for view in replica.copies if view.copy != move.copy]
        free_mb = replica.free_mb + move.size_mb
        if move.action is _placement_views.Action.LOAD:
            others.append(
                _placement_views.CopyView(move.copy, move.size_mb, RESIDENT)
            )
            free_mb = replica.free_mb - move.size_mb
        assert free_mb >= 0
        replica = replica._replace(free_mb=free_mb, copies=tuple(others))
    return replica


@pytest.mark.parametrize(
    "counts", [(18, 40, 5), (39, 95, 9)], ids=["18-models", "39-models"]
)
@pytest.mark.parametrize("seed", range(5))
def test_a_large_deployment_is_placed_and_upgraded(counts, seed):
    """Every model and adapter gets placed, then each model's next version.

    Three quarters of the memory are used, so that moves in a bad order
    would leave no room to finish the upgrade.
    """
    model_count, adapter_count, replica_count = counts
    source = random.Random(seed)
    models = {
        f"m{index}": source.randint(50, 150) for index in range(model_count)
    }
    adapters = [
        (f"a{index}", f"m{source.randrange(model_count)}")
        for index in range(adapter_count)
    ]
    # The declared models and adapters take three quarters of the memory.
    needed_mb = sum(models.values()) + 10 * adapter_count
    capacity_mb = needed_mb * 4 // (3 * replica_count)
    replicas = views(*[[]] * replica_count, capacity_mb=capacity_mb)
    for version in ("1", "2"):
        declared = deployment(models, adapters, replica_count, version)
        replicas = apply_plans(declared, replicas)
        charged_copies = [view.copy for view in _all_copies(replicas)]
        wanted = {_ledger.Copy(model, "", version) for model in models}
        wanted |= {_ledger.Copy(model, name, "1") for name, model in adapters}
        assert set(charged_copies) >= wanted
        assert all(
            not copy.adapter or copy in wanted for copy in charged_copies
        )


def _all_copies(replicas):
    return [view for replica in replicas for view in replica.copies]
