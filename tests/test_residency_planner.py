"""The planner's moves fit in memory, keep last copies and go by gain."""

import random
import time

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink.platform import _orders
from geraniumlink.residency import _demand as _demands
from geraniumlink.residency import _packing
from geraniumlink.residency import _planner
from geraniumlink.serving import _types

_MODELS = ("hot", "warm", "rare", "idle", "other")


def _engine(slots=2, load_ms=4000):
    models = {
        name: _types.Model(name, 70.0, load_ms, 800, 1.0) for name in _MODELS
    }
    return _types.Engine(64, 100_000, 71.0 * slots, 1, 2.0, models)


def _view(name, *models, near=(), busy=False, ready=None):
    held = frozenset(models)
    ready = held if ready is None else frozenset(ready)
    return _packing.ReplicaView(name, held, ready, frozenset(near), busy)


def _demand(rates=None, waiting_ms=None, idle_ms=None):
    return _packing.Demand(rates or {}, idle_ms or {}, waiting_ms or {})


def _plan(views, demand, store_loads=10, slots=2, load_ms=4000):
    engine = _engine(slots, load_ms)
    return _planner.plan(engine, views, demand, store_loads)


def test_model_is_loaded_where_it_has_a_near_copy():
    views = [_view("r1", "warm"), _view("r2", "warm", near=["rare"])]
    (move,) = _plan(views, _demand(waiting_ms={"rare": 0}))
    assert move == _planner.Move("r2", "rare", None, near=True)


def test_near_loads_do_not_need_the_weight_stores_budget():
    demand = _demand(waiting_ms={"rare": 0, "idle": 0})
    views = [
        _view("r1", "warm", near=["rare"]),
        _view("r2", "warm"),
        _view("r3"),
    ]
    moves = _plan(views, demand, store_loads=0)
    assert [move.model for move in moves] == ["rare"]


def test_a_new_controller_does_not_take_unknown_models_for_idle():
    clock = _clock.ManualClock(100_000)
    tracker = _demands.DemandTracker(clock)
    views = [_view("r1", "hot", "warm")]
    waiting_ms = {"rare": 600}
    assert _plan(views, tracker.demand_of("s", waiting_ms)) == []
    clock.advance(_packing.MODEL_IN_USE_MS)
    assert _plan(views, tracker.demand_of("s", waiting_ms))
    tracker.start_observing()
    clock.advance(600)
    assert _plan(views, tracker.demand_of("s", waiting_ms)) == []


def test_overloaded_model_comes_before_a_rare_one():
    """Two replicas are busy, so no move of small gain may be added."""
    rates = {"hot": 30_000.0, "rare": 500.0}
    views = [
        _view("r1", "hot"),
        _view("r2", "idle", busy=True),
        _view("r3", "idle", busy=True),
        _view("r4", "idle"),
    ]
    moves = _plan(views, _demand(rates, {"rare": 100}))
    assert [move.model for move in moves] == ["hot"]


def test_copy_that_is_being_loaded_does_not_count_as_ready():
    """The only copy that serves requests isn't evicted meanwhile."""
    rates = {"hot": 10_000.0, "rare": 6000.0}
    views = [
        _view("r1", "hot", "warm"),
        _view("r2", "hot", busy=True, ready=[]),
    ]
    moves = _plan(
        views,
        _demand(rates, {"rare": 0}, idle_ms={"hot": 0, "warm": 60_000}),
    )
    assert [move.evicted for move in moves] == ["warm"]


def test_recently_requested_model_keeps_its_last_copy():
    views = [_view("r1", "hot", "warm")]
    recent = {"hot": 100, "warm": _packing.MODEL_IN_USE_MS - 1}
    assert not _plan(views, _demand(waiting_ms={"rare": 0}, idle_ms=recent))


def test_longest_wait_comes_first():
    views = [_view("r1", "idle"), _view("r2", "idle", busy=True)]
    waits = {"rare": 10, "other": 9000}
    (move,) = _plan(views, _demand(waiting_ms=waits), slots=1)
    assert move.model == "other"


def test_model_is_loaded_before_clients_that_wait_for_it_give_up():
    """The replicas for moves of small gain are all busy."""
    views = [
        _view("r1", "idle", busy=True),
        _view("r2", "idle", busy=True),
        _view("r3", "idle"),
        _view("r4", "idle"),
    ]
    # Clients wait for 10 s at most, and loads take up to 8 s when many run.
    (move,) = _plan(views, _demand(waiting_ms={"rare": 2000}))
    assert move.model == "rare"


def test_model_that_becomes_busy_waits_behind_rare_ones():
    """Where loads take long, a rare model starves for as long before."""
    waits = {"hot": 300, "rare": 12_000}
    demand = _demand({"hot": 2 * _planner.LARGE_GAIN}, waiting_ms=waits)
    views = [_view("r1", "idle"), _view("r2", "idle", busy=True)]
    (move,) = _plan(views, demand, slots=1, load_ms=9000)
    assert move.model == "hot"


def test_load_from_the_store_begins_though_a_near_one_would_end_first():
    """The replica with a local copy is about to end another load."""
    busy = _view("r2", "idle", near=["rare"], busy=True)
    demand = _demand(waiting_ms={"rare": 3000})
    saved_ms = 9000 - 800
    for free_in_ms, loads in ((saved_ms - 1, 0), (saved_ms, 1), (None, 1)):
        views = [_view("r1"), busy._replace(free_in_ms=free_in_ms)]
        assert len(_plan(views, demand, load_ms=9000)) == loads


def test_replica_with_a_local_copy_goes_to_a_longer_load():
    views = [_view("r1", "idle", near=["rare"])]
    waits = {"rare": 9000, "other": 20_000}
    demand = _demand({"other": 900.0}, waiting_ms=waits)
    (move,) = _plan(views, demand, slots=1, load_ms=9000)
    assert move == _planner.Move("r1", "rare", "idle", near=True)


_rates = st.dictionaries(
    st.sampled_from(_MODELS), st.floats(0, 60_000), max_size=5
)
_held = st.lists(st.sampled_from(_MODELS), unique=True, max_size=2)


@st.composite
def _views(draw):
    views = []
    for number in range(draw(st.integers(1, 5))):
        held = draw(_held)
        ready = [m for m in held if draw(st.booleans())]
        views.append(
            _view(
                f"r{number}",
                *held,
                near=draw(_held),
                busy=draw(st.booleans()),
                ready=ready,
            )
        )
    return views


@hypothesis.given(
    _views(),
    _rates,
    st.dictionaries(st.sampled_from(_MODELS), st.integers(0, 9000)),
    st.dictionaries(st.sampled_from(_MODELS), st.integers(0, 60_000)),
    st.integers(-2, 5),
)
def test_every_plan_is_feasible(
    views, rates, waiting_ms, idle_ms, store_loads
):
    demand = _packing.Demand(rates, idle_ms, waiting_ms)
    moves = _plan(views, demand, store_loads)
    held = {view.name: set(view.models) for view in views}
    by_name = {view.name: view for view in views}
    assert len({move.replica for move in moves}) == len(moves)
    from_store = [move for move in moves if not move.near]
    assert len(from_store) <= max(0, store_loads)
    for move in moves:
        view = by_name[move.replica]
        assert not view.busy
        assert move.model not in held[move.replica]
        assert move.near == (move.model in view.local_models)
        held[move.replica].discard(move.evicted)
        held[move.replica].add(move.model)
        assert len(held[move.replica]) <= 2
        if move.evicted:
            assert move.evicted in view.models


def _in_use(*models):
    """Return idle times in ms of models that are in use."""
    return dict.fromkeys(models, 200)


def test_model_of_rising_demand_replaces_one_of_low_demand():
    """All room is taken by last copies that were requested recently."""
    demand = _demand(
        {"hot": 9000.0, "warm": 4000.0, "rare": 100.0},
        waiting_ms={"hot": 400},
        idle_ms=_in_use("hot", "warm", "rare"),
    )
    (move,) = _plan([_view("r1", "warm", "rare")], demand)
    assert (move.model, move.evicted) == ("hot", "rare")


def test_models_of_similar_demand_do_not_evict_each_other():
    demand = _demand(
        {"hot": 5000.0, "warm": 4000.0, "other": 4500.0},
        waiting_ms={"hot": 400},
        idle_ms=_in_use("hot", "warm", "other"),
    )
    assert not _plan([_view("r1", "warm", "other")], demand)


def test_overloaded_copy_is_not_evicted_for_a_model_of_low_demand():
    demand = _demand(
        {"hot": 30_000.0, "rare": 800.0},
        waiting_ms={"rare": 400},
        idle_ms=_in_use("hot", "rare"),
    )
    views = [_view("r1", "hot"), _view("r2", "hot")]
    assert not _plan(views, demand, slots=1)


def test_rare_model_may_evict_more_the_longer_it_is_waited_for():
    demand = _demand(
        {"warm": 1000.0, "rare": 800.0},
        waiting_ms={"rare": 8000},
        idle_ms=_in_use("warm", "rare"),
    )
    (move,) = _plan([_view("r1", "warm")], demand, slots=1)
    assert (move.model, move.evicted) == ("rare", "warm")


def _large_fleet():
    """Return a fleet of 70 replicas and 305 models, 60 of them waited for."""
    random_source = random.Random(1)
    names = [f"m{number}" for number in range(305)]
    busy, rare = names[:47], names[47:]
    models = {name: _types.Model(name, 70.0, 4000, 800, 1.0) for name in names}
    engine = _types.Engine(64, 100_000, 213.0, 1, 20.0, models)
    views = []
    for number in range(70):
        held = [*random_source.sample(busy, 2), random_source.choice(rare)]
        near = random_source.sample(names, 6)
        views.append(_view(f"r{number}", *held, near=near))
    rates = {name: 150_000 / (n + 1) for n, name in enumerate(busy)}
    rates |= dict.fromkeys(random_source.sample(rare, 150), 1000.0)
    waited_for = random_source.sample(rare, 60)
    waiting_ms = {name: random_source.randrange(6000) for name in waited_for}
    idle_ms = {name: random_source.randrange(8000) for name in rates}
    return engine, views, _demand(rates, waiting_ms, idle_ms)


@pytest.mark.serial
def test_plan_for_a_large_fleet_does_not_make_orders_time_out():
    """The event loop stands still meanwhile; a slow core has half the time."""
    engine, views, demand = _large_fleet()
    began = time.process_time()
    moves = _planner.plan(engine, views, demand, store_loads=20)
    took_ms = (time.process_time() - began) * 1000
    assert len(moves) > 10
    assert took_ms < _orders.ORDER_TIMEOUT_MS / 2 / 2
