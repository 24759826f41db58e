"""Checks the controller's lease by its real classes, and each mechanism."""

import minicheck
import pytest

from geraniumlink.control import _leases
from geraniumlink.residency import _leadership
from specs import controller_lease

Bounds = controller_lease.Bounds
HELD = controller_lease.HELD
TICK_MS = controller_lease.TICK_MS
# More than the configurations without a restore have.
MAX_STATES = 60_000
# With a restore the search is bounded; each mutant is found within it.
MAX_RESTORE_STATES = 20_000


def _check(model, max_states):
    result = minicheck.check_safety(model.protocol(), max_states)
    return result, result["properties"][controller_lease.PROPERTY]


@pytest.mark.parametrize("kills, min_states", ((0, 10_000), (1, 35_000)))
def test_orders_lie_apart_as_long_as_the_store_keeps_all(kills, min_states):
    model = controller_lease.Model(Bounds(restores=0, kills=kills))
    result, found = _check(model, MAX_STATES)
    assert found["holds"], found["counterexample"]
    # The lower bound detects a model that has lost steps.
    assert result["reachable_states"] >= min_states


@pytest.mark.parametrize(
    "bounds",
    (
        Bounds(kills=1, releases=1, lost_answers=1),
        Bounds(delayed_writes=1, old_reads=1, reports=1),
        Bounds(machines=3, releases=1),
    ),
)
def test_no_orders_meet_in_the_first_states_with_a_restore(bounds):
    model = controller_lease.Model(bounds, HELD)
    result, found = _check(model, MAX_RESTORE_STATES)
    assert found["holds"] is not False, found["counterexample"]
    assert result["reachable_states"] >= MAX_RESTORE_STATES


@pytest.mark.parametrize(
    "bounds, start",
    (
        pytest.param(Bounds(take_unaware=True), HELD, id="old observation"),
        pytest.param(
            Bounds(take_unaware=True, releases=1),
            (*HELD, "release(0)"),
            id="missed release",
        ),
        pytest.param(
            Bounds(overwrite_unaware=True), HELD, id="version given again"
        ),
        pytest.param(
            Bounds(delayed_writes=1, max_delay_ms=2 * TICK_MS),
            ("delayed_write(0)", "round(1)"),
            id="late proposal with a wait",
        ),
        pytest.param(
            Bounds(machines=3, delayed_writes=1),
            (*HELD, "round(2)", *["tick"] * 3, "copy", "delayed_write(1)"),
            id="late proposal without a wait",
        ),
    ),
)
def test_no_orders_meet_after_a_restore_that_nobody_notices(bounds, start):
    model = controller_lease.Model(bounds, start)
    _, found = _check(model, MAX_RESTORE_STATES)
    assert found["holds"] is not False, found["counterexample"]


class _GuardForAnyProcess(_leases.Leases):
    def _wait_after_release(self, shard, lease, was_held):
        return super()._wait_after_release(shard, lease, True)


class _NoWaitForOwnMachine(_leases.Leases):
    def _wait_after_own(self, shard, lease):
        if lease.wait_over:
            return _leases.Wait.NONE
        return super()._wait_after_own(shard, lease)


class _NoWaitOver(_leases.Leases):
    def _wait_after_release(self, shard, lease, was_held):
        lease = lease._replace(wait_over=True)
        return super()._wait_after_release(shard, lease, was_held)


class _ContinuesOldProposals(_leases.Leases):
    def _is_continued(self, current, proposal):
        return current is not None and self._is_same_term(
            current, proposal.lease
        )


class _EpochsFromTheStore(_leases.Leases):
    def _find_wait(self, found, lease):
        self._highest_epochs.clear()
        return super()._find_wait(found, lease)

    def _next_epoch(self, shard, at_least):
        return self._highest_epochs.get(shard, 0) + 1


class _ObservesVersions(_leases.Leases):
    def _observe(self, found, lease):
        known = self._observations.get(found.name)
        observed_at = super()._observe(found, lease)
        if known is None or known.version != found.version:
            return observed_at
        self._observations[found.name] = known
        return known.observed_at


class _RenewsExpired(_leadership.Leadership):
    def _has_expired(self):
        return False


class _OrdersWithoutWindow(_leadership.Leadership):
    def may_order(self):
        return self.is_leader and self._is_wait_over()


MUTANTS = {
    "guard interval for a process that just started": (
        {"leases": _GuardForAnyProcess},
        Bounds(kills=1, releases=1),
        HELD,
    ),
    "no wait for an earlier process": (
        {"leases": _NoWaitForOwnMachine},
        Bounds(kills=1),
        HELD,
    ),
    "wait_over not read": (
        {"leases": _NoWaitOver},
        Bounds(machines=3, releases=1),
        (*HELD, "restore", "round(1)", "round(2)", "release(1)"),
    ),
    "expired lease renewed": ({"leadership": _RenewsExpired}, Bounds(), HELD),
    "proposal continued after its duration": (
        {"leases": _ContinuesOldProposals},
        Bounds(lost_answers=1),
        ("lost_answer(0)", "copy", "round(1)"),
    ),
    "epochs counted from the store alone": (
        {"leases": _EpochsFromTheStore},
        Bounds(),
        HELD,
    ),
    "observation kept by its version": (
        {"leases": _ObservesVersions},
        Bounds(),
        HELD,
    ),
    "orders after the window": (
        {"leadership": _OrdersWithoutWindow},
        Bounds(),
        HELD,
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_orders_meet_without(mutant):
    classes, bounds, start = MUTANTS[mutant]
    mutant_model = controller_lease.Model(bounds, start, **classes)
    result, found = _check(mutant_model, MAX_RESTORE_STATES)
    assert found["holds"] is False
    model = controller_lease.Model(bounds, start)
    _, found = _check(model, result["reachable_states"])
    assert found["holds"] is not False
