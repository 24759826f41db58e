"""Requests aren't sent to engines without memory where others have room."""

import random
import types

import pytest

from geraniumlink import _clock
from geraniumlink import platform
from geraniumlink.residency import _messages
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _balance
from geraniumlink.serving import _engine_memory
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replica_choice
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types
from tests import builders
from tests import hosts

_SLOTS = 64
_CAPACITIES = (95_852, 103_085)
_REQUEST = builders.model_request(prompt_tokens=2200, output_tokens=168)
_TOKENS = 2368


def _replica(name="r1", percent=100.0):
    entry = builders.replica_entry(name)._replace(slots=_SLOTS)
    replica = _replicas.Replica(entry)
    replica.note_load(_types.LoadReport(0, 0, _SLOTS, percent), 0)
    return replica


def _send(replica, count=1):
    for _ in range(count):
        replica.begin_request(0)
        replica.memory.begin(_REQUEST)


def _chooser(kv_tokens):
    """Return what chooses among engines whose cache holds so many tokens."""
    spec = hosts.configuration()
    spec["services"][0]["engine"]["kv_capacity_tokens"] = kv_tokens
    active = _active_configuration.ActiveConfiguration()
    active.apply_if_newer(platform.decode_configuration(spec))
    source, clock = random.Random(1), _clock.ManualClock(10)
    chooser = _replica_choice.ReplicaChooser(
        active_configuration=active,
        replicas=_replicas.Replicas(clock, 2000),
        permits=None,
        final_answers=_final_answers.FinalAnswers(source),
        clock=clock,
        data_centre="dc1",
        random_source=source,
        choose=_balance.choose_replica,
    )

    def choose(replicas, left_ms=10_000):
        state = types.SimpleNamespace(
            request=_REQUEST,
            service="assistant",
            route=types.SimpleNamespace(priority=1),
            latest_next_event=clock.now() + left_ms,
        )
        return chooser._choose_in_time(state, replicas, clock.now())

    return choose


@pytest.mark.parametrize("capacity", _CAPACITIES)
@pytest.mark.parametrize("reports_tokens", (False, True))
def test_a_request_waits_for_memory_while_another_engine_has_room(
    capacity, reports_tokens
):
    """Two engines hold 40 to 43 requests each, in 64 slots."""
    counts = {}
    for percent in (None, 100.0):
        choose = _chooser(capacity)
        own = [_replica("a", percent), _replica("b", percent)]
        others = [0, 0]
        # The other instances' requests, reported after every eighth.
        for number in range(2 * (capacity // _TOKENS) - 8):
            replica = choose(own).replica
            if number % 2:
                _send(replica)
            else:
                others[own.index(replica)] += 1
            if number % 8 == 0:
                for known, count in zip(own, others, strict=True):
                    tokens = count * _TOKENS if reports_tokens else None
                    known.note_peer_load(
                        _replicas.PeerLoad(count, {}, 10, tokens)
                    )
            # Everything else draws to one of them.
            own[1].note_excess_latency(500, 10)
        in_flight = [
            known.in_flight + count
            for known, count in zip(own, others, strict=True)
        ]
        counts[percent] = max(0, max(in_flight) - capacity // _TOKENS)
    assert counts[None] > 15
    assert counts[100.0] <= 4


def test_a_request_is_sent_though_all_memory_is_in_use_beyond_its_time():
    replicas = [_replica("a"), _replica("b")]
    for replica in replicas:
        _send(replica, 43)
    choose = _chooser(_CAPACITIES[0])
    assert isinstance(choose(replicas, 300), _outcomes.Refusal)
    choice = choose(replicas, 2000)
    assert choice.expected_ms > _balance.FULL_PENALTY_MS


def test_engines_that_dont_state_their_service_time_lose_requests():
    full, idle = _replica("full", None), _replica("idle", None)
    _send(full, 43)
    idle.prefill_tokens[1] = 50_000
    assert _chooser(_CAPACITIES[0])([full, idle]).replica is full
    full.service_time.note(100, 0)
    assert _chooser(_CAPACITIES[0])([full, idle]).replica is idle


@pytest.mark.parametrize(
    ("in_flight", "stated", "has_room"),
    (
        (0, None, True),
        (95_852 - _TOKENS, None, True),
        (95_853 - _TOKENS, None, False),
        # It has free slots, so its waiting requests wait for memory.
        (0, (30, 2, 64), False),
        (0, (64, 2, 64), True),
    ),
)
def test_room_is_mistaken(in_flight, stated, has_room):
    load = stated and _types.LoadReport(*stated)
    found = _engine_memory.has_room(_REQUEST, 95_852, in_flight, load)
    assert found is has_room


def test_reports_of_previous_builds_count_as_no_tokens():
    loads = {"r1": _messages.ReplicaLoad(3, {1: 100}, 700)}
    (values,) = _messages.loads_to_json(loads).values()
    assert _messages.load_from_json([*values, "more"]) == loads["r1"]
    old = _messages.load_from_json(values[:2])
    assert old == _messages.ReplicaLoad(3, {1: 100}, None)
    assert loads["r1"].plus(old).kv_tokens is None
    both = loads["r1"].plus(loads["r1"])
    assert both.minus(loads["r1"]) == loads["r1"]
