"""Calls to small services go where they wait least, or are refused at once."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink.serving import _balance
from geraniumlink.serving import _call_times
from geraniumlink.serving import _replicas
from geraniumlink.serving import _service_times
from geraniumlink.serving import _types
from tests import builders
from tests import call_simulation

_BURSTS = ((120, 4000), (330, 4000))
_OVERLOAD = ((320, 1000),)


def _play(**fields):
    """Return a play without and one with stated service times."""
    load = call_simulation.Load(**fields)
    return [
        call_simulation.Simulation(
            load._replace(states_service_time=states)
        ).play()
        for states in (False, True)
    ]


@pytest.mark.parametrize(
    ("fields", "gain"),
    (
        ({"phases": _BURSTS, "queue": 30}, 0.2),
        ({"phases": _BURSTS, "timeout_ms": 150}, 0.15),
        ({"phases": _OVERLOAD, "queue": 30}, 0.4),
        ({"phases": _OVERLOAD, "timeout_ms": 150}, 0.3),
    ),
)
def test_calls_wait_at_full_replicas_beyond_their_time(fields, gain):
    before, after = _play(**fields)
    assert after.share("served") > before.share("served") + gain
    assert after.share("late") < before.share("late") / 2
    assert after.share("rejected") < before.share("rejected") / 4


def test_calls_are_refused_that_replicas_would_have_served():
    """All that a short queue holds is answered in time."""
    before, after = _play(phases=_OVERLOAD)
    assert after.share("served") > before.share("served") - 0.03
    before, after = _play(phases=((170, 1000),))
    assert after.share("served") > before.share("served") - 0.01
    assert after.sent == after.counts.total()


def test_slow_replicas_get_as_many_calls_as_others():
    percents = (100, 130, 240)
    before, after = _play(phases=((150, 1000),), percents=percents)
    assert after.share("served") > before.share("served") + 0.05
    before, after = _play(phases=((60, 1000),), percents=percents)
    assert _mean(after.times) < 0.95 * _mean(before.times)


def _mean(times):
    return sum(times) / len(times)


def test_a_lone_instance_spreads_its_calls_at_random():
    """It knows of all calls at once, and needs no chance to choose well."""
    before, after = _play(phases=((170, 1000),), instances=1)
    assert max(after.times) <= max(before.times) + 20
    assert after.share("served") == 1


def test_a_wait_is_counted_twice_where_own_calls_are_stated_too():
    replica = _replicas.Replica(builders.replica_entry())
    for _ in range(4):
        replica.begin_request(0)
    replica.note_load(_types.LoadReport(4, 3, 6, 100.0), 10)
    assert _balance.requests_of_others(replica, 10) == 3


def test_one_call_that_hung_makes_all_others_too_late():
    times = _call_times.CallTimes()
    for now in range(50):
        times.note_call(75, 1.0, 0, 6, now)
    times.note_call(10_000, 1.0, 0, 6, 50)
    assert times.call_ms(50) < 100


def test_a_learned_time_that_is_too_long_is_never_corrected():
    times = _call_times.CallTimes()
    times.note_call(10_000, 1.0, 0, 6, 0)
    assert times.call_ms(1) == pytest.approx(10_000)
    assert times.call_ms(_call_times.FORGET_MS + 1) is None


def test_a_noisy_service_time_moves_all_requests_to_another_replica():
    source = random.Random(1)
    slow, usual = _service_times.ServiceTime(), _service_times.ServiceTime()
    wrong = 0
    for now in range(0, 200_000, 500):
        slow.note(150 * source.uniform(0.5, 1.5), now)
        usual.note(100 * source.uniform(0.5, 1.5), now)
        wrong += slow.factor(now) < usual.factor(now)
    assert wrong < 40
    assert slow.factor(200_000 + 100_000) == pytest.approx(1, abs=0.01)


_figures = st.tuples(
    st.integers(0, 9),
    st.integers(0, 5000),
    st.none() | st.tuples(st.integers(0, 9), st.integers(0, 9)),
    st.none() | st.integers(0, 12),
    st.booleans(),
)


@hypothesis.given(
    st.lists(_figures, min_size=1, max_size=6),
    st.sampled_from(("", "m1")),
    st.integers(0, 99),
)
def test_choices_differ_where_no_service_time_is_stated(figures, model, seed):
    replicas = []
    for number, (own, tokens, load, peers, fails) in enumerate(figures):
        replica = _replicas.Replica(
            builders.replica_entry(f"r{number}", f"dc{number % 2}")
        )
        replica.in_flight = own
        replica.prefill_tokens[1] = tokens
        replica.note_outcome(fails, 0)
        if load is not None:
            replica.note_load(_types.LoadReport(*load, 8), 0)
        if peers is not None:
            replica.note_peer_load(_replicas.PeerLoad(peers, {1: 300}, 0))
        replicas.append(replica)
    request = builders.model_request(model)
    source, other = random.Random(seed), random.Random(seed)
    choice = _balance.choose_replica(replicas, request, 1, "dc1", 9, source)
    assert choice == _former_choice(replicas, request, other)
    assert source.getstate() == other.getstate()


def _former_choice(replicas, request, source):
    """Choose as before replicas stated their service times."""
    if len(replicas) > 3:
        replicas = source.sample(replicas, 3)
    choices = []
    for replica in replicas:
        expected = _former_estimate(replica, request)
        cost = expected + 3000.0 * replica.failure_rate(9)
        if replica.entry.data_centre != "dc1":
            cost += 15.0
        cost *= source.uniform(1, 1.1)
        choices.append((cost, _balance.Choice(replica, expected)))
    return min(choices, key=lambda pair: pair[0])[1]


def _former_estimate(replica, request):
    peers, load = replica.recent_peer_load(9), replica.load
    running = waiting = 0
    if peers is not None:
        running = peers.in_flight
    elif load is not None:
        running = max(0, load.running - replica.in_flight)
        waiting = load.waiting
    if not request.model:
        ahead = replica.in_flight + running + waiting
        return (1 + ahead / 8) * 20.0 + replica.excess_latency_ms(9)
    tokens = replica.prefix_cache.uncached_tokens(
        request
    ) + replica.tokens_ahead(1, 9)
    tokens += waiting * 1500
    busy = replica.in_flight + running
    full = 400.0 if busy >= 8 else 0.0
    speed = replica.prefill_speed.expected_ms(tokens)
    return speed + busy * 1.5 + full + replica.excess_latency_ms(9)
