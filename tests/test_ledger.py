"""Ledgers: their charge, their writes, and their reconciliation."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from geraniumlink import _clock
from geraniumlink.control import _engine_reports
from geraniumlink.control import _ledger
from geraniumlink.control import _ledger_store
from geraniumlink.control import _orders
from geraniumlink.control import _reconciliation
from tests import memory_api

pytestmark = pytest.mark.anyio

NOTES = _ledger.Copy("notes", "", "1")
TRAILS = _ledger.Copy("trails", "", "1")
CHECKS_FENCING = _reconciliation.LateOrderRules(
    checks_fencing=True, lateness_bound_ms=0
)
LATENESS_BOUND = _reconciliation.LateOrderRules(
    checks_fencing=False, lateness_bound_ms=500
)
NO_BOUND = _reconciliation.LateOrderRules(
    checks_fencing=False, lateness_bound_ms=0
)


def store(api, seed=1):
    return _ledger_store.LedgerStore(
        api, "assistant.r0", _clock.ManualClock(), random.Random(seed)
    )


@pytest.fixture
def api():
    return memory_api.MemoryApi()


async def test_a_charge_above_the_capacity_is_never_written(api):
    first = store(api)
    await first.claim("i1", 1)
    await first.write(first.ledger.with_load(NOTES, 600), 900)
    with pytest.raises(_ledger_store.OverchargeError):
        await first.write(first.ledger.with_load(TRAILS, 301), 900)
    assert first.ledger.charge_mb == 600


async def test_a_replaced_holder_cannot_write(api):
    first, second = store(api, 1), store(api, 2)
    await first.claim("i1", 1)
    await second.claim("i2", 2)
    with pytest.raises(_ledger_store.ShardLostError):
        await first.write(first.ledger.with_load(NOTES, 100), 900)
    with pytest.raises(_ledger_store.ShardLostError):
        await store(api, 3).claim("i1", 1)


async def test_a_write_whose_answer_is_lost_is_recognised(api):
    first = store(api)
    await first.claim("i1", 1)
    api.lose_answers = 1
    written = await first.write(first.ledger.with_load(NOTES, 100), 900)
    assert written.ledger.charge_mb == 100


async def test_an_uncertain_write_is_resolved_by_a_further_write(api):
    first = store(api)
    await first.claim("i1", 1)
    proposed = first.ledger.with_load(NOTES, 100)
    api.outage = True
    with pytest.raises(memory_api.UnavailableError):
        await first.write(proposed, 900)
    assert first.uncertain
    api.outage = False
    await first.resolve_uncertain_write()
    assert not first.uncertain


async def test_a_late_write_of_this_process_updates_the_ledger(api):
    first = store(api)
    await first.claim("i1", 1)
    await first.write(first.ledger.with_load(NOTES, 100), 900)
    late = first.ledger.with_load(TRAILS, 100)
    first._recent_change_ids.append("late-change")
    api.store(
        "replicas",
        "assistant.r0",
        _ledger.to_json(late._replace(change_id="late-change")),
    )
    with pytest.raises(_ledger_store.LateWriteError):
        await first.resolve_uncertain_write()
    assert first.ledger.charge_mb == 200


INVALID_LEDGERS = [
    [],
    {"schema": 2},
    {"schema": 1},
    {"schema": 1, "entries": [3]},
    _ledger.to_json(_ledger.Ledger()) | {"epoch": -1},
    _ledger.to_json(_ledger.Ledger()) | {"entries": [{}] * 6000},
    _ledger.to_json(_ledger.Ledger().with_load(NOTES, 5))
    | {"fencing_number": 0},
]


@pytest.mark.parametrize("value", INVALID_LEDGERS)
async def test_an_invalid_ledger_is_not_overwritten(api, value):
    api.store("replicas", "assistant.r0", value)
    with pytest.raises(_ledger_store.UnreadableLedgerError) as raised:
        await store(api).claim("i1", 1)
    assert raised.value.findings.all()
    assert api.revision == 1


names = strategies.text(max_size=5)
entries = strategies.builds(
    _ledger.Entry,
    strategies.builds(_ledger.Copy, names, names, names),
    strategies.integers(0, 10**6),
    strategies.sampled_from(_ledger.State),
    strategies.integers(0, 9),
    strategies.booleans(),
)


@hypothesis.given(
    strategies.lists(entries, unique_by=lambda entry: entry.copy)
)
def test_a_ledger_survives_a_round_trip_through_json(entries_written):
    ledger = _ledger.Ledger(
        3, "i1", 9, "boot", "change", tuple(entries_written)
    )
    read = _ledger.from_json("place", _ledger.to_json(ledger))
    assert read.ok == ledger


def reconcile(ledger, number, *copies, rules=CHECKS_FENCING, age_ms=0):
    """Reconcile with a report that shows just these copies as resident.

    Every entry was unchanged for ``age_ms``; ``number`` is the highest
    fencing number that the engine accepted.
    """
    ages = _reconciliation.EntryAges()
    ages.update(ledger, 0)
    report = _engine_reports.MemoryReport(
        "boot",
        number,
        {copy: _engine_reports.ReportedCopy(100, True) for copy in copies},
        False,
        running_requests={},
    )
    reconciled = _reconciliation.reconcile(ledger, report, rules, ages, age_ms)
    return reconciled.ledger


def loaded(rules=CHECKS_FENCING):
    return reconcile(_ledger.Ledger().with_load(NOTES, 100), 1, NOTES)


def unloading():
    return loaded().with_unload(loaded().find(NOTES))


def test_only_a_report_under_its_number_confirms_a_load():
    loading = _ledger.Ledger().with_load(NOTES, 100)
    assert reconcile(loading, 0, NOTES) == loading._replace(boot_id="boot")
    state = reconcile(loading, 1, NOTES).find(NOTES).state
    assert state is _ledger.State.RESIDENT


def test_only_a_report_under_its_number_releases_an_unload():
    assert reconcile(unloading(), 1).charge_mb == 100
    assert reconcile(unloading(), 2, NOTES).charge_mb == 100
    assert reconcile(unloading(), 2).charge_mb == 0


def test_without_fencing_checks_the_charge_stays_until_the_bound():
    unloaded = reconcile(unloading(), 0, rules=LATENESS_BOUND)
    assert unloaded.find(NOTES).state is _ledger.State.MAY_ARRIVE
    sent_ms = _reconciliation.SEND_WINDOW_MS + _orders.SEND_TIMEOUT_MS
    wait_ms = sent_ms + 500 + _reconciliation.MAX_REPORT_AGE_MS
    for age_ms, charge_mb in ((wait_ms - 1, 100), (wait_ms, 0)):
        reconciled = reconcile(
            unloaded, 0, rules=LATENESS_BOUND, age_ms=age_ms
        )
        assert reconciled.charge_mb == charge_mb
    forever = reconcile(unloaded, 0, rules=NO_BOUND, age_ms=10**9)
    assert forever.charge_mb == 100


def test_a_late_load_after_an_unload_is_unloaded_again():
    unloaded = reconcile(unloading(), 0, rules=LATENESS_BOUND)
    arrived = reconcile(unloaded, 0, NOTES, rules=LATENESS_BOUND)
    assert arrived.find(NOTES).state is _ledger.State.UNLOADING


def test_a_resident_copy_without_an_entry_is_charged():
    assert reconcile(_ledger.Ledger(), 0, NOTES).charge_mb == 100


def test_a_copy_lost_by_its_engine_stays_charged_and_is_reloaded():
    lost = reconcile(loaded(), 0)
    assert lost.charge_mb == 100
    assert lost.find(NOTES).state is _ledger.State.LOADING
