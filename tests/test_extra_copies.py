"""Extra copies follow demand, within the memory and if worth a load."""

from google.protobuf import json_format
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _demand
from geraniumlink.control import _extra_copies
from geraniumlink.control import _ledger
from geraniumlink.control import _placement_views as views
from tests import builders

MODELS = ["hot", "warm", "cold"]


def deployment(weight, replicas=2):
    declared = builders.engines(
        [f"127.0.0.1:{9000 + index}" for index in range(replicas)],
        MODELS,
        attainment_weight=weight,
    )
    return json_format.ParseDict(declared, pb.Deployment())


def replica_view(name, models, free_mb=1000, state=_ledger.State.RESIDENT):
    copies = tuple(
        views.CopyView(_ledger.Copy(model, "", "1"), 100, state)
        for model in models
    )
    return views.ReplicaView(name, free_mb, usable=True, copies=copies)


def planned_moves(weight, replicas, demand):
    return [
        (move.action.value, move.replica, move.copy.model)
        for move in _extra_copies.plan_extra_copies(
            deployment(weight, len(replicas)), replicas, demand
        )
    ]


@pytest.mark.parametrize("weight", [0.0, 1.0])
def test_the_model_with_most_load_gets_a_copy_elsewhere(weight):
    replicas = [replica_view("r0", MODELS[:2]), replica_view("r1", ["cold"])]
    moves = planned_moves(weight, replicas, {"hot": 120.0, "warm": 5.0})
    assert moves == [("load", "r1", "hot")]


def test_a_low_weight_needs_a_large_gain():
    replicas = [replica_view("r0", MODELS[:2]), replica_view("r1", ["cold"])]
    demand = {"hot": 54.0}
    assert planned_moves(0.0, replicas, demand) == []
    assert ("load", "r1", "hot") in planned_moves(1.0, replicas, demand)


def test_a_copy_that_is_being_loaded_is_not_loaded_again():
    replicas = [
        replica_view("r0", ["hot"]),
        replica_view("r1", ["hot"], state=_ledger.State.LOADING),
    ]
    assert planned_moves(1.0, replicas, {"hot": 200.0}) == []


def test_only_copies_that_others_hold_are_unloaded_to_make_room():
    full_replicas = [
        replica_view("r0", ["hot", "warm"], free_mb=0),
        replica_view("r1", ["warm", "cold"], free_mb=0),
    ]
    moves = planned_moves(1.0, full_replicas, {"hot": 120.0, "warm": 1.0})
    assert moves == [("unload", "r1", "warm")]
    sole_copies = [
        replica_view("r0", ["hot", "warm"], 0),
        replica_view("r1", ["cold"], 0),
    ]
    assert planned_moves(1.0, sole_copies, {"hot": 120.0}) == []


@hypothesis.given(
    st.floats(0, 1),
    st.lists(
        st.tuples(st.sets(st.sampled_from(MODELS)), st.integers(0, 350)),
        min_size=1,
        max_size=4,
    ),
    st.dictionaries(st.sampled_from(MODELS), st.floats(0, 300)),
)
def test_moves_fit_in_memory_and_keep_every_last_copy(
    weight, models_by_replica, demand
):
    replicas = [
        replica_view(f"r{index}", sorted(models), free_mb)
        for index, (models, free_mb) in enumerate(models_by_replica)
    ]
    moves = _extra_copies.plan_extra_copies(
        deployment(weight, len(models_by_replica)), replicas, demand
    )
    free = {replica.name: replica.free_mb for replica in replicas}
    holders = {
        model: sum(model in models for models, _ in models_by_replica)
        for model in MODELS
    }
    for move in moves:
        if move.action is views.Action.LOAD:
            free[move.replica] -= move.size_mb
        else:
            holders[move.copy.model] -= 1
            assert holders[move.copy.model] >= 1
    assert min(free.values()) >= 0


def test_a_short_burst_hardly_changes_the_demand_estimate():
    estimate = _demand.DemandEstimate()
    estimate.add_sample({"hot": 10}, 0)
    estimate.add_sample({"hot": 100}, 3_000)
    assert estimate.mean_in_flight()["hot"] < 20
    for second in range(4, 200):
        estimate.add_sample({"hot": 100}, second * 1000)
    assert estimate.mean_in_flight()["hot"] == pytest.approx(100, rel=0.01)
    for second in range(200, 400):
        estimate.add_sample({}, second * 1000)
    assert estimate.mean_in_flight()["hot"] < 1
