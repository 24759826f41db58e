"""Routing: shared limits, subsets, herding, slow replicas and adapters."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from benches import _baselines
from geraniumlink.requests import _first_token_times
from geraniumlink.requests import _replica_limits
from geraniumlink.requests import _routing
from geraniumlink.requests import _subsets
from tests import routers

NOW = 1000


def send_until_full(
    router, backends, requirements=routers.REQUIREMENTS, now=NOW
):
    """Send until there is no more room; return the requests sent."""
    sent = 0
    while (choice := router.choose(requirements, (), now)).backend is not None:
        choice.backend.in_flight += 1
        sent += 1
    return sent


@given(
    instances=st.integers(1, 16),
    max_in_flight=st.integers(16, 64),
    replicas=st.integers(1, 6),
)
def test_all_instances_together_keep_to_the_limit_of_a_full_replica(
    instances, max_in_flight, replicas
):
    sent = [0] * replicas
    for number in range(instances):
        backends = [
            routers.backend(index, max_in_flight, in_flight=max_in_flight)
            for index in range(replicas)
        ]
        send_until_full(
            routers.router(backends, instances, f"i{number}"), backends
        )
        for index, backend in enumerate(backends):
            sent[index] += backend.in_flight
    assert max(sent) <= max_in_flight


@given(instances=st.integers(1, 50), reported=st.integers(0, 16))
def test_room_that_a_report_shows_is_borrowed_in_shares(instances, reported):
    limits = _replica_limits.ReplicaLimits(random.Random(1))
    backend = routers.backend(in_flight=reported)
    guaranteed = _replica_limits.fair_share(16, instances)
    limit = limits.limit(backend, instances, guaranteed, False, NOW)
    assert guaranteed <= limit <= 16
    borrowed = limit - guaranteed
    lent = _replica_limits.OVERCOMMIT_FACTOR * (16 - reported)
    assert borrowed * instances < lent + instances


def test_one_instance_uses_what_the_others_leave():
    backend = routers.backend(in_flight=0)
    router = routers.router([backend], instances=8)
    sent = send_until_full(router, [backend])
    for _ in range(400):
        routers.report(backend, backend.in_flight)
        sent += send_until_full(router, [backend])
    assert sent == 16


def test_a_quick_replica_is_lent_more_and_one_with_a_wait_inside_is_not():
    backend = routers.backend(in_flight=0)
    router = routers.router([backend], instances=16)
    backend.in_flight = 4
    routers.report(backend, 15)
    router.observe_first_token(backend, 2000, NOW)
    assert router.free_capacity(routers.REQUIREMENTS, NOW).free == 0
    for _ in range(40):
        router.observe_first_token(backend, 60, NOW)
    assert router.free_capacity(routers.REQUIREMENTS, NOW).free == 1


def test_the_refusal_full_sends_an_instance_back_to_its_share():
    backend = routers.backend(in_flight=0)
    router = routers.router([backend], instances=4)
    backend.in_flight = 4
    for _ in range(2):
        router.free_capacity(routers.REQUIREMENTS, NOW)
        routers.report(backend, 4)
    assert router.free_capacity(routers.REQUIREMENTS, NOW).free > 0
    router.observe_refusal(backend, "full", NOW)
    assert router.free_capacity(routers.REQUIREMENTS, NOW).free == 0
    later = NOW + _replica_limits.FULL_BACKOFF_MS
    assert router.free_capacity(routers.REQUIREMENTS, later).free > 0


def test_hundreds_of_instances_each_have_a_share_of_one_or_more():
    backends = [routers.backend(index, 4) for index in range(100)]
    subsets = [
        _subsets.select_subset(f"i{number}", 400, backends, 16)
        for number in range(400)
    ]
    for subset in subsets:
        share = _replica_limits.fair_share(4, subset.instances_per_replica)
        assert share * subset.instances_per_replica <= 8
        assert len(subset.keys) == _subsets.MIN_SUBSET_SIZE
    covered = frozenset().union(*(subset.keys for subset in subsets))
    assert len(covered) == 100


def test_a_lost_instance_changes_no_other_subset():
    backends = [routers.backend(index, 64) for index in range(40)]
    before = _subsets.select_subset("i1", 40, backends, 8)
    assert _subsets.select_subset("i1", 39, backends, 8).keys == before.keys
    kept = [entry for entry in backends if entry.key.replica != "r7"]
    after = _subsets.select_subset("i1", 40, kept, 8)
    assert len(before.keys - after.keys) <= 1


def test_a_model_held_only_outside_the_subset_stays_reachable():
    backends = [routers.backend(index) for index in range(40)]
    subset = _subsets.select_subset("i0", 1, backends, 4)
    outside = next(e for e in backends if e.key not in subset.keys)
    routers.report(outside, 0, ("rare",))
    router = routers.router(backends, subset=4)
    requirements = _routing.Requirements("assistant", "rare")
    assert router.choose(requirements, (), NOW).backend is outside


def test_all_instances_of_a_large_fleet_keep_near_the_limit_of_full_replicas():
    sent = dict.fromkeys(range(6), 0)
    for number in range(40):
        backends = [routers.backend(i, 16, in_flight=16) for i in range(6)]
        send_until_full(routers.router(backends, 40, f"i{number}"), backends)
        for index, backend in enumerate(backends):
            sent[index] += backend.in_flight
    assert sum(sent.values()) <= 6 * 16
    # Chance covers some replicas by more instances than others.
    assert max(sent.values()) <= 1.5 * 16


def test_a_full_or_lost_subset_spills_over():
    backends = [routers.backend(index, 2) for index in range(40)]
    subset = _subsets.select_subset("i0", 1, backends, 4)
    router = routers.router(backends, subset=4)
    for _ in range(8):
        chosen = router.choose(routers.REQUIREMENTS, (), NOW).backend
        assert chosen.key in subset.keys
        chosen.in_flight += 1
    spilled = router.choose(routers.REQUIREMENTS, (), NOW).backend
    assert spilled.key not in subset.keys


@pytest.mark.parametrize("instances", [8, 40])
def test_lagging_reports_do_not_make_instances_herd(instances):
    peaks = {}
    for kind in (_routing.Router, _baselines.LeastReported):
        simulation = routers.Simulation(kind, instances, 6, 16)
        simulation.run(3000, 0.8 * 6 * 16 / 0.9, 900, 500)
        peaks[kind] = max(simulation.peaks)
    assert peaks[_routing.Router] <= 1.75 * 16
    assert peaks[_baselines.LeastReported] > 3 * 16


def test_work_moves_away_from_a_slow_replica_and_back():
    backends = [routers.backend(index, 64) for index in range(3)]
    router = routers.router(backends)

    def shares(now):
        counts = [0, 0, 0]
        for _ in range(300):
            chosen = router.choose(routers.REQUIREMENTS, (), now).backend
            chosen.in_flight += 1
            counts[backends.index(chosen)] += 1
            if sum(entry.in_flight for entry in backends) > 30:
                for entry in backends:
                    entry.in_flight = 0
        return counts

    for _ in range(30):
        for backend, milliseconds in zip(
            backends, (800, 100, 90), strict=True
        ):
            router.observe_first_token(backend, milliseconds, NOW)
    slow = shares(NOW)
    assert 0 < slow[0] < 60
    recovered = shares(NOW + 10 * _first_token_times.HALF_LIFE_MS)
    assert recovered[0] > 80


def test_a_service_that_is_slow_as_a_whole_loses_no_replica():
    times = _first_token_times.FirstTokenTimes()
    backends = [routers.backend(index) for index in range(3)]
    for backend in backends:
        times.observe(backend, 9000, NOW)
    median_ms = times.median_ms(backends)
    assert [times.slowdown(b, median_ms, NOW) for b in backends] == [1, 1, 1]


def test_a_session_stays_with_its_replica_until_that_is_loaded_or_slow():
    backends = [routers.backend(index, 64) for index in range(4)]
    router = routers.router(backends)
    requirements = routers.REQUIREMENTS._replace(session="trek-17")
    preferred = router.choose(requirements, (), NOW).backend
    assert all(
        router.choose(requirements, (), NOW).backend is preferred
        for _ in range(20)
    )
    preferred.in_flight = 10
    assert router.choose(requirements, (), NOW).backend is not preferred
    preferred.in_flight = 0
    for backend in backends:
        router.observe_first_token(backend, 50, NOW)
    for _ in range(30):
        router.observe_first_token(preferred, 900, NOW)
    assert router.choose(requirements, (), NOW).backend is not preferred


def test_a_replica_that_holds_the_adapter_is_preferred():
    backends = [routers.backend(index) for index in range(4)]
    routers.report(backends[2], 0, ("notes", "notes/amharic"))
    router = routers.router(backends)
    requirements = _routing.Requirements("assistant", "notes", "amharic")
    chosen = {router.choose(requirements, (), NOW).backend for _ in range(20)}
    assert chosen == {backends[2]}
    backends[2].mark_refused(now=0)
    # The engine loads it or refuses; either is true to the caller.
    assert router.choose(requirements, (), NOW).backend is not None
