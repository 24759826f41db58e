"""Tests of the warm-up of replicas that have just started or recovered."""

import random

import eliot
import pytest

from emulator import _demand
from emulator import _engine_connections
from emulator import _engines
from emulator import _policies
from emulator import _simulation
from emulator import _sites
from emulator import _warm_up_replicas
from emulator import _warm_up_trials
from geraniumlink import _clock
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _answer_counts
from geraniumlink.serving import _balance
from geraniumlink.serving import _replica_choice
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_state
from geraniumlink.serving import _types
from geraniumlink.serving import _warm_up
from tests import builders

_TRIAL = _warm_up_replicas.TRIALS[0]
_SOME = _answer_counts.AnswerCounts(10, 0)


class _Clock(_clock.Clock):
    def __init__(self):
        self.ms = 100_000

    def now(self):
        return self.ms


def _entry(name, started_at=1):
    return builders.replica_entry(name)._replace(started_at=started_at)


def _warm_ups(count=3, percent=100.0):
    """Return the warm-ups of an instance that has known replicas for long."""
    clock = _Clock()
    replicas = _replicas.Replicas(clock, 10**9)
    replicas.replace_all(_entry(f"r{n}") for n in range(count))
    for replica in replicas.all():
        replica.note_load(_types.LoadReport(1, 0, 8, percent), clock.ms)
    warm_ups = _warm_up.WarmUps(replicas, clock)
    warm_ups.observe()
    clock.ms += _warm_up.ESTABLISHED_MS
    return warm_ups, replicas, clock


def _share_after(answers, percent, others=_SOME, steps=1):
    warm_up = _warm_up.WarmUp(1, _warm_up.FIRST_SHARE, 0)
    for step in range(steps):
        now = (step + 1) * _warm_up.SETTLE_MS
        warm_up.note_answers(answers, percent, now)
        warm_up.update(others, now)
    return warm_up.share


@pytest.mark.parametrize(
    ("answers", "percent", "others", "share"),
    [
        ((1, 0), 100.0, (10, 0), 1.0),
        ((1, 0), 300.0, (10, 0), 0.125),
        ((3, 0), 300.0, (10, 0), 0.25),
        ((3, 0), None, (10, 0), 0.25),
        ((1, 2), 300.0, (10, 0), 0.0625),
        # The others miss as many: what is held back would be late there.
        ((1, 2), 300.0, (4, 6), 1.0),
        ((9, 1), 300.0, (10, 1), 0.25),
        ((0, 0), None, (0, 0), 0.125),
    ],
)
def test_the_share_follows_the_answers(answers, percent, others, share):
    counts = _answer_counts.AnswerCounts
    assert share == _share_after(counts(*answers), percent, counts(*others))


def test_a_replica_that_gets_no_requests_is_not_held_back_for_long():
    none = _answer_counts.NONE
    assert _share_after(none, None, none, steps=12) == 1.0


def test_a_slow_replica_is_not_held_back_for_ever():
    warm_up = _warm_up.WarmUp(1, _warm_up.FIRST_SHARE, 0)
    assert not warm_up.is_over(_warm_up.MAX_MS - 1)
    assert warm_up.is_over(_warm_up.MAX_MS)


def _held_back(warm_ups, replicas):
    """Return the names that are left out of some choices."""
    return {
        r.entry.name for r in replicas.all() if warm_ups.share(r.entry) < 1
    }


def test_a_new_replica_and_a_new_process_of_one_warm_up():
    warm_ups, replicas, clock = _warm_ups()
    replicas.update(_entry("r0", started_at=2))
    replicas.update(_entry("r3"))
    for _ in range(3):
        considered = warm_ups.considered(replicas.all(), random.Random(1))
    assert _held_back(warm_ups, replicas) == {"r0", "r3"}
    assert {"r1", "r2"} <= {r.entry.name for r in considered}
    # Without a controller a warm-up ends by itself.
    for _ in range(20):
        clock.ms += 250
        warm_ups.make_report()
    assert not _held_back(warm_ups, replicas)


def test_replicas_that_start_together_are_not_held_back():
    warm_ups, replicas, clock = _warm_ups(count=1)
    for number in range(1, 5):
        replicas.update(_entry(f"r{number}"))
    warm_ups.observe()
    assert not _held_back(warm_ups, replicas)


def test_a_service_without_the_figure_draws_no_random_numbers():
    warm_ups, replicas, clock = _warm_ups(percent=None)
    replicas.update(_entry("r3"))
    random_source = random.Random(1)
    before = random_source.getstate()
    assert warm_ups.considered(replicas.all(), random_source) == replicas.all()
    assert random_source.getstate() == before
    assert warm_ups.make_report() is None


def test_the_controllers_word_replaces_what_an_instance_decided():
    warm_ups, replicas, clock = _warm_ups()
    replicas.update(_entry("r3"))
    warm_ups.observe()
    told = {"shares": [["r3", 1, 0.5]], "overloaded": []}
    warm_ups.apply_answer(told)
    assert warm_ups.share(_entry("r3")) == 0.5
    assert warm_ups.share(_entry("r3", started_at=2)) == 1
    clock.ms += _warm_up.SILENCE_MS
    warm_ups.apply_answer({"shares": [], "overloaded": []})
    assert warm_ups.share(_entry("r3")) == 1


def test_a_replica_that_answers_again_warms_up():
    warm_ups, replicas, clock = _warm_ups()
    warm_ups.note_unreachable({"r0": 1}, 86)
    row = ["r0", 1, 0, 1, 300.0, "a field of a later version"]
    warm_ups.answer_report({"answers": [row]})
    assert not _held_back(warm_ups, replicas)
    warm_ups.note_unreachable({"r0": 9}, 86)
    refused = ["r0", 1, 0, 1, None]
    warm_ups.answer_report({"answers": [refused]})
    assert not _held_back(warm_ups, replicas)
    answer = warm_ups.answer_report({"answers": [row]})
    assert answer["shares"] == [("r0", 1, _warm_up.FIRST_SHARE)]


def _choose(slow_ms, tried=()):
    """Choose between r0, which warms up and is held back, and r1."""
    warm_ups, replicas, clock = _warm_ups(count=2)
    warm_ups.apply_answer({"shares": [["r0", 1, 0.0]], "overloaded": []})
    replicas.get("r1").note_excess_latency(slow_ms, clock.ms)
    trial = _TRIAL._replace(tokens_per_ms=22.1, prompt_tokens=100)
    request = trial.make_request(clock.ms, random.Random(1))
    state = _request_state.RequestState(
        request, None, trial.route(), "s", clock.ms + 2000
    )
    state.tried_replicas.update(tried)
    chooser = _replica_choice.ReplicaChooser(
        active_configuration=(_active_configuration.ActiveConfiguration()),
        replicas=replicas,
        permits=None,
        final_answers=None,
        clock=clock,
        data_centre="dc1",
        random_source=random.Random(3),
        choose=_balance.choose_replica,
        warm_ups=warm_ups,
    )
    choice = _warm_up_trials.run_at_once(
        chooser.choose(state, replicas.all(), replicas.all())
    )
    return choice.replica.entry.name


def test_nothing_is_held_back_that_no_other_replica_serves_in_time():
    assert _choose(slow_ms=100) == "r1"
    # An average takes a part of it, which is over the target of 130 ms.
    assert _choose(slow_ms=1000) == "r0"


def test_a_request_that_was_sent_in_vain_is_not_held_back():
    assert _choose(slow_ms=100, tried=["r2"]) == "r0"


def _totals(trial, paces):
    """Return the figures of three seeds; one alone varies by a third."""
    runs = [_warm_up_trials.run(trial, seed, paces) for seed in range(3)]
    return _warm_up_trials.Counts(*map(sum, zip(*runs, strict=True)))


def test_fewer_requests_miss_at_a_replica_that_starts_slowly():
    without, paced = (_totals(_TRIAL, paces) for paces in (False, True))
    missed = without.late + without.rejected
    assert paced.late + paced.rejected < 0.5 * missed
    assert paced.in_time > without.in_time


def test_a_replica_that_is_not_slow_is_used_almost_as_soon():
    trial = _TRIAL._replace(cold_factor=1.0)
    without, paced = (_totals(trial, paces) for paces in (False, True))
    assert paced.sent > 0.9 * without.sent
    assert paced.in_time > 0.99 * without.in_time


def test_decisions_are_the_same_without_the_figure():
    trial = _TRIAL._replace(states_service_time=False)
    without, paced = (
        _warm_up_trials.run(trial, 1, paces) for paces in (False, True)
    )
    assert paced == without


def test_instances_agree_on_a_warm_up_by_their_reports(monkeypatch):
    """Guards against reports that can't be sent or read as JSON."""

    def load_header(self):
        running = len(self._engine.running)
        return b"X-Server-Load: %d,0,64,300\r\n" % running

    def registry_entry(self):
        started_at = 2 if self.name == "e0" and self._loop.time() > 13 else 1
        return original(self)._replace(started_at=started_at)

    original = _engines.Engine.registry_entry
    monkeypatch.setattr(
        _engine_connections._EngineSide, "_load_header", load_header
    )
    monkeypatch.setattr(_engines.Engine, "registry_entry", registry_entry)
    lines = []
    eliot.add_destinations(lines.append)
    try:
        _simulation.simulate(
            _simulation.SimulationSpec(
                _sites.Site(instances=3, engines=4, models=("m0", "m1")),
                _demand.Workload("short", duration_s=14.0),
                _policies.POLICIES[0],
                seed=7,
            )
        )
    finally:
        eliot.remove_destination(lines.append)
    kinds = [str(line.get("message_type")) for line in lines]
    assert "bad_report_answer" not in kinds
    assert kinds.count("warm_up_began") == 3
    assert "warm_up_share" in kinds
    assert "warm_up_ended" in kinds
