"""Each check of the soak finds a record that breaks just its promise."""

import math
import random

import pytest

from soak import _checks
from soak import _schedule


def _order(at, holder, token):
    return _checks.Order("r-1", at, holder, token)


def _probe(sent, newest, *, oldest=0, start=1):
    return _checks.Probe("i-1", start, sent, sent + 0.01, oldest, newest)


def _find_late(sent, *disruptions, acknowledged=10.0):
    return _checks.find_late_configurations(
        [_probe(sent, 1)], [_checks.Version(2, acknowledged)], disruptions
    )


# Two holders that take turns as they should.
_KEPT = [_order(1.0, "i-1", 1), _order(2.0, "i-1", 1), _order(5.1, "i-2", 2)]


@pytest.mark.parametrize(
    ("orders", "found"),
    [
        (_KEPT, []),
        ([*_KEPT, _order(8.2, "i-1", 2)], ["token of two holders"]),
        ([*_KEPT, _order(5.2, "i-2", 1)], ["lower token"]),
        ([*_KEPT, _order(8.0, "i-1", 3)], ["turn within lease_ms"]),
    ],
)
def test_conflicting_orders_are_found(orders, found):
    lines = _checks.find_order_conflicts(orders, [])
    assert [line.split(":")[0] for line in lines] == [
        f"ONE {what}" for what in found
    ]


@pytest.mark.parametrize(
    ("holder", "thawed_at", "count"),
    [("i-1", 7.9, 0), ("i-2", 7.9, 1), ("i-1", 7.6, 1)],
)
def test_only_orders_right_after_their_senders_thaw_are_excused(
    holder, thawed_at, count
):
    thaw = _checks.Disruption(holder, "frozen", 4.0, thawed_at)
    orders = [*_KEPT, _order(8.0, "i-1", 3)]
    assert len(_checks.find_order_conflicts(orders, [thaw])) == count


@pytest.mark.parametrize(("sent", "count"), [(11.9, 0), (12.1, 1)])
def test_a_late_configuration_is_found(sent, count):
    assert len(_find_late(sent)) == count


@pytest.mark.parametrize(
    ("target", "kind", "ended", "count"),
    [
        ("i-1", "frozen", 17.1, 0),
        ("i-1", "frozen", 16.9, 1),
        ("i-2", "frozen", 17.1, 1),
        (_checks.STORE, "down", 17.1, 0),
        (_checks.STORE, "down", 16.9, 1),
        (_checks.STORE, "forgets", 17.1, 1),
    ],
)
def test_disruption_excuses_a_configuration_for_a_while(
    target, kind, ended, count
):
    disruption = _checks.Disruption(target, kind, 13.0, ended)
    assert len(_find_late(20.0, disruption)) == count


def test_a_forgotten_history_excuses_a_configuration_for_a_while():
    forgotten = _checks.Disruption(_checks.STORE, "forgets", 11.0, 17.0)
    assert not _find_late(16.9, forgotten)
    assert _find_late(17.1, forgotten)


@pytest.mark.parametrize(
    ("probe", "count"),
    [
        (_probe(5.3, 1), 1),
        (_probe(5.2, 1), 0),
        (_probe(5.3, 1, start=2), 0),
        (_probe(5.3, 2), 0),
    ],
)
def test_an_older_configuration_after_a_newer_one_is_found(probe, count):
    shown = _probe(5.0, math.inf, oldest=2)
    found = _checks.find_older_configurations([shown, probe], [])
    assert len(found) == count


def test_a_schedule_follows_from_its_seed():
    first, second = (
        _schedule.draw(random.Random(7), 40, 4, restores=True)
        for _ in range(2)
    )
    assert first == second
    assert len(first) > 3


def _is_restart(fault):
    return fault.kind in ("killed", "terminated")


def _restart_all_at_once(faults, instances):
    """Return whether each instance is ended within half a second."""
    restarts = [fault for fault in faults if _is_restart(fault)]
    return any(
        {f.instance for f in restarts if 0 <= f.at_s - first.at_s < 0.5}
        >= set(range(instances))
        for first in restarts
    )


def _restart_beside_a_restore(faults):
    """Return whether the controller starts as the store is restored."""
    return any(
        abs(ended.at_s + ended.lasts_s - restore.at_s) < 1
        for ended in faults
        for restore in faults
        if _is_restart(ended) and restore.kind == "restore"
        if ended.instance == _schedule.LEADER
    )


def test_schedules_restart_instances_together_and_beside_restores():
    drawn = [
        _schedule.draw(random.Random(seed), 40, 4, restores=True)
        for seed in range(50)
    ]
    assert any(_restart_all_at_once(faults, 4) for faults in drawn)
    assert any(_restart_beside_a_restore(faults) for faults in drawn)
