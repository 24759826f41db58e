"""Adapters are loaded ahead where a slot is free or long unused."""

import math

import hypothesis
from hypothesis import strategies as st

from geraniumlink.platform import _configuration
from geraniumlink.residency import _adapter_plan
from geraniumlink.serving import _types

_SLOTS = 2
_ADAPTERS = ("a1", "a2", "a3")
_MODELS = ("busy", "rare")
_ENGINE = _types.Engine(
    64,
    100_000,
    200.0,
    _SLOTS,
    2.0,
    {
        name: _types.Model(name, 70.0, 9000, 2400, 1.0, _ADAPTERS)
        for name in _MODELS
    },
)


def _view(name, *ready, adapters=(), idle=True):
    return _adapter_plan.View(
        name, frozenset(ready), frozenset(adapters), idle
    )


def _plan(*views, rates=None, asked=None):
    """Return the plan; ``asked`` has how long ago each was asked for."""

    def asked_ms_ago(model, adapter):
        return (asked or {}).get((model, adapter), math.inf)

    return _adapter_plan.plan(_ENGINE, list(views), rates or {}, asked_ms_ago)


def _names(loads):
    return [(load.model, load.adapter) for load in loads]


def test_adapter_asked_for_in_vain_comes_first():
    plan = _plan(_view("r1", "busy"), asked={("busy", "a3"): 900})
    assert _names(plan["r1"]) == [("busy", "a3"), ("busy", "a1")]


def test_free_slots_go_to_the_models_of_most_demand():
    plan = _plan(_view("r1", "busy", "rare"), rates={"busy": 9000.0})
    assert _names(plan["r1"]) == [("busy", "a1"), ("busy", "a2")]


def test_copies_share_the_adapters_of_their_model():
    plan = _plan(_view("r1", "busy"), _view("r2", "busy"))
    loaded = [name for loads in plan.values() for name in _names(loads)]
    assert sorted(loaded) == [("busy", name) for name in _ADAPTERS]


def test_adapter_that_a_loading_replica_holds_is_not_loaded_again():
    held = [("busy", "a1")]
    plan = _plan(
        _view("r1", "busy"), _view("r2", "busy", adapters=held, idle=False)
    )
    assert _names(plan["r1"]) == [("busy", "a2"), ("busy", "a3")]


def test_only_an_adapter_that_is_asked_for_takes_an_unused_slot():
    view = _view("r1", "busy", adapters=[("busy", "a1"), ("busy", "a2")])
    assert not _plan(view)
    asked = {("busy", "a1"): 60_000, ("busy", "a3"): 100}
    assert _names(_plan(view, asked=asked)["r1"]) == [("busy", "a3")]


def test_adapters_do_not_take_turns_in_a_slot():
    """One that was asked for later stays."""
    view = _view("r1", "busy", adapters=[("busy", "a1"), ("busy", "a2")])
    asked = {("busy", "a1"): 4000, ("busy", "a2"): 3000, ("busy", "a3"): 5000}
    assert not _plan(view, asked=asked)


def test_adapters_in_use_are_not_unloaded():
    view = _view("r1", "busy", adapters=[("busy", "a1"), ("busy", "a2")])
    in_use = _adapter_plan.IN_USE_MS - 1
    asked = {("busy", "a1"): in_use, ("busy", "a2"): in_use}
    assert not _plan(view, asked=asked | {("busy", "a3"): 0})


def test_undeclared_models_get_no_adapters():
    assert not _plan(_view("r1", "former"))


def test_malformed_number_of_adapters_does_not_lose_the_configuration():
    model = {"name": "m1", "weights_mb": 70, "load_s": 4}
    for count in (None, "3", -1, 2.5, True, [3]):
        decoded = _configuration._model({**model, "adapters": count})
        assert decoded.adapters == ()
    decoded = _configuration._model({**model, "adapters": 2})
    assert decoded.adapters == ("a1", "a2")
    decoded = _configuration._model({**model, "adapters": 10**12})
    assert len(decoded.adapters) == _configuration.MAX_NAMED_ADAPTERS


_adapters = st.tuples(st.sampled_from(_MODELS), st.sampled_from(_ADAPTERS))


@st.composite
def _views(draw):
    views = []
    for number in range(draw(st.integers(1, 4))):
        ready = draw(st.sets(st.sampled_from(_MODELS)))
        # An order without an answer may charge more than there is room for.
        held = draw(st.sets(_adapters, max_size=_SLOTS + 1))
        views.append(
            _view(
                f"r{number}", *ready, adapters=held, idle=draw(st.booleans())
            )
        )
    return views


@hypothesis.given(
    _views(),
    st.dictionaries(st.sampled_from(_MODELS), st.floats(0, 60_000)),
    st.dictionaries(_adapters, st.integers(0, 20_000)),
)
def test_every_plan_is_feasible(views, rates, asked):
    plan = _plan(*views, rates=rates, asked=asked)
    held = {adapter for view in views for adapter in view.adapters}
    loaded = [name for loads in plan.values() for name in _names(loads)]
    assert len(loaded) == len(set(loaded))
    assert not held & set(loaded)
    for view in views:
        loads = plan.get(view.name, [])
        assert view.idle or not loads
        assert all(load.model in view.ready for load in loads)
        unused = [
            name
            for name in view.adapters
            if asked.get(name, math.inf) >= _adapter_plan.IN_USE_MS
        ]
        free = max(0, _SLOTS - len(view.adapters))
        asked_for = sum(load.is_asked_for for load in loads)
        assert len(loads) - asked_for <= free
        assert len(loads) <= free + len(unused)
