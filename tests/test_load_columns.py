"""Loads on replicas survive the message from the controller."""

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from geraniumlink.residency import _load_columns
from geraniumlink.residency import _messages

_UNIT = _load_columns.TOKENS_UNIT
_load = st.builds(
    _messages.ReplicaLoad,
    st.integers(0, 300),
    st.dictionaries(
        st.integers(0, 9), st.integers(1, 500).map(lambda n: n * _UNIT)
    ),
    st.none() | st.integers(0, 500).map(lambda n: n * _UNIT),
)
_loads = st.dictionaries(st.sampled_from([f"r{n}" for n in range(9)]), _load)


def _send(encoder, decoder, loads):
    return decoder.decode(
        orjson.loads(orjson.dumps(encoder.encode(loads, decoder.order)))
    )


def _without_idle(loads):
    nothing = _messages.ReplicaLoad(0, {})
    return {name: load for name, load in loads.items() if load != nothing}


@hypothesis.given(st.lists(st.tuples(_loads, st.booleans(), st.booleans())))
def test_loads_arrive_whatever_messages_were_lost(steps):
    encoder, decoder = (
        _load_columns.LoadEncoder(),
        _load_columns.LoadDecoder(),
    )
    for loads, is_lost, is_new_controller in steps:
        if is_new_controller:
            encoder = _load_columns.LoadEncoder()
        if is_lost:
            encoder.encode(loads, decoder.order)
            continue
        received = _send(encoder, decoder, loads)
        assert _without_idle(received) == _without_idle(loads)


def test_names_are_sent_once():
    encoder, decoder = (
        _load_columns.LoadEncoder(),
        _load_columns.LoadDecoder(),
    )
    loads = {
        f"i-{number:010x}": _messages.ReplicaLoad(12, {1: 20 * _UNIT})
        for number in range(70)
    }
    _send(encoder, decoder, loads)
    again = encoder.encode(loads, decoder.order)
    assert again["replicas"] is None
    # Less than a quarter of the same loads with their names.
    by_name = orjson.dumps(_messages.loads_to_json(loads))
    assert len(orjson.dumps(again)) < len(by_name) / 4


@pytest.mark.parametrize(
    "columns",
    (
        {"order": "x", "replicas": None, "in_flight": [], "prefill": {}},
        {"order": "x", "replicas": ["a"], "in_flight": [], "prefill": {}},
        {
            "order": "x",
            "replicas": ["a"],
            "in_flight": [1],
            "prefill": {"1": [1, 2]},
        },
        {
            "order": "x",
            "replicas": ["a"],
            "in_flight": [1],
            "prefill": {"one": [1]},
        },
    ),
)
def test_malformed_columns_are_refused(columns):
    with pytest.raises(ValueError):
        _load_columns.LoadDecoder().decode(columns)


def test_columns_of_previous_builds_are_invalid():
    encoder, decoder = (
        _load_columns.LoadEncoder(),
        _load_columns.LoadDecoder(),
    )
    loads = {"r1": _messages.ReplicaLoad(1, {}, 300)}
    columns = encoder.encode(loads, "")
    assert decoder.decode(columns) == loads
    del columns["kv"]
    assert decoder.decode(columns) == {"r1": _messages.ReplicaLoad(1, {})}
