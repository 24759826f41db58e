"""What a controller believes of replicas, its lease, and its budgets."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.control import _leases
from geraniumlink.residency import _adapters
from geraniumlink.residency import _demand
from geraniumlink.residency import _holdings
from geraniumlink.residency import _leadership
from geraniumlink.residency import _load_budget
from geraniumlink.serving import _types
from tests import builders


def _entry():
    return builders.replica_entry(models=())


def _report(count, *models, busy=False):
    residents = {model: frozenset() for model in models}
    return _types.ReplicaReport(1, residents, busy, count, frozenset())


def test_an_older_report_doesnt_replace_the_account():
    """A stale list made room that wasn't there, and the replica crashed."""
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(3, "m1", "m2"), now=0)
    holding.pending.add(("m3", ""))
    holding.note_accepted(now=1000)
    holding.take_report(_report(3, "m1"), now=1100)
    assert holding.charged_models() == {"m1", "m2", "m3"}


def test_a_model_that_is_being_loaded_stays_charged():
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(0, "m1"), now=0)
    holding.pending.add(("m2", ""))
    holding.note_accepted(now=0)
    holding.take_report(_report(1, "m1", busy=True), now=100)
    assert holding.charged_models() == {"m1", "m2"}
    holding.take_report(_report(1, "m1", "m2"), now=4000)
    assert holding.ready_models() == {"m1", "m2"}
    assert not holding.pending


def test_a_doubtful_order_is_charged_until_a_newer_one_is_accepted():
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(0, "m1"), now=0)
    holding.doubtful.add(("m2", ""))
    holding.take_report(_report(0, "m1"), now=5000)
    assert holding.charged_models() == {"m1", "m2"}
    holding.note_accepted(now=6000)
    assert holding.charged_models() == {"m1"}


def test_a_lost_order_that_is_carried_out_late_stays_charged():
    """The replica was ordered to load more than it had room for."""
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(0, "m1"), now=0)
    # The order for m2 has no answer, and is given up.
    holding.doubtful.add(("m2", ""))
    holding.take_report(_report(1, "m1", busy=True), now=3000)
    assert not holding.settled
    assert holding.charged_models() == {"m1", "m2"}
    holding.take_report(_report(1, "m1", busy=True), now=3500)
    assert not holding.settled
    holding.take_report(_report(1, "m1", "m2"), now=7000)
    assert holding.settled
    assert holding.charged_models() == {"m1", "m2"}
    assert not holding.doubtful


def test_an_adapter_on_its_way_takes_a_place():
    holding = _holdings.Holding(_entry())
    report = _report(4, "m1")._replace(
        adapters_loading=frozenset({("m1", "a1")})
    )
    holding.take_report(report, now=0)
    assert holding.charged_adapters() == {("m1", "a1")}
    assert not holding.holds("m1", "a1")
    assert holding.charged_models() == {"m1"}


def test_a_former_controllers_order_in_progress_is_waited_for():
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(4, "m1", busy=True), now=0)
    assert not holding.settled
    holding.take_report(_report(4, "m1", busy=True), now=200)
    assert not holding.settled
    holding.take_report(_report(4, "m1", "m2"), now=4000)
    assert holding.settled
    assert holding.charged_models() == {"m1", "m2"}


def test_a_count_that_ran_ahead_is_corrected():
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(1, "m1"), now=0)
    holding.note_accepted(now=0)
    holding.take_report(_report(1, "m1"), now=100)
    assert holding.order_count == 2
    holding.take_report(_report(1, "m1"), now=_holdings.REPORT_LAG_MS + 1)
    assert holding.order_count == 1


def test_what_is_being_unloaded_serves_nobody():
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(0, "m1", "m2"), now=0)
    holding.note_loaded("m1", "a1")
    holding.leaving.add(("m1", ""))
    assert not holding.holds("m1", "")
    assert not holding.holds("m1", "a1")
    assert holding.charged_models() == {"m1", "m2"}
    assert holding.staying_models() == {"m2"}


@hypothesis.given(st.lists(st.integers(0, 400), max_size=200))
def test_loads_stay_within_the_stores_ceiling(pauses):
    """The users' ceiling: rate x window x 1.1 + 3 in any window."""
    clock = _clock.ManualClock()
    budget = _load_budget.LoadBudget(clock)
    begun = []
    for pause in pauses:
        clock.advance(pause)
        if budget.free(1.1, 1_000_000) > 0:
            budget.begin()
            begun.append(clock.now())
    for start in begun:
        window = [t for t in begun if start <= t < start + 5000]
        assert len(window) <= 1.1 * 5 * 1.1 + 3


def test_a_former_controllers_loads_count():
    clock = _clock.ManualClock(start=100_000)
    budget = _load_budget.LoadBudget(clock)
    budget.assume_used(2.0, before_ms=3000)
    assert budget.free(2.0, 60_000) == 1
    clock.advance(2100)
    assert budget.free(2.0, 60_000) == 11


def test_demand_fades_and_is_told_by_model():
    clock = _clock.ManualClock()
    demands = _demand.Demands(clock)
    for _ in range(10):
        demands.note(_demand.Use("s", "m1", "a1", 1000))
        clock.advance(500)
    rates = demands.of_service("s", {}).rates
    assert 1500 < rates["m1"] < 2500
    assert not demands.of_service("another", {}).rates
    clock.advance(60_000)
    assert not demands.of_service("s", {}).rates
    assert demands.adapter_used_at("s", "m1", "a1") > 0


class _Desk:
    """Carries out each order at once and notes it."""

    def __init__(self):
        self.orders = []

    async def load_adapter(self, holding, model, adapter):
        self.orders.append(("load", adapter))
        holding.note_loaded(model, adapter)
        return True

    async def unload_adapter(self, holding, model, adapter):
        self.orders.append(("unload", adapter))
        holding.note_unloaded(model, adapter)
        return True


@pytest.mark.anyio
async def test_an_adapter_in_use_keeps_its_place():
    clock, desk = _clock.ManualClock(start=10_000), _Desk()
    demands = _demand.Demands(clock)
    loader = _adapters.AdapterLoader(desk, demands, clock)
    holding = _holdings.Holding(_entry())
    holding.take_report(_report(0, "m1"), now=0)

    async def bring(adapter):
        demands.note(_demand.Use("s", "m1", adapter, 10))
        return await loader.bring("s", "m1", adapter, [holding], places=2)

    assert await bring("a1")
    clock.advance(100)
    assert await bring("a2")
    clock.advance(_adapters.IN_USE_MS - 200)
    assert not await bring("a3")
    clock.advance(200)
    assert await bring("a3")
    assert desk.orders[-2:] == [("unload", "a1"), ("load", "a3")]
    assert len(desk.orders) == 4


class _Store:
    """Keeps one lease; a test switches it off."""

    def __init__(self):
        self.found = _objects.Object("leases", "controller", 0, None)
        self.out = False
        # What reads return while it is set.
        self.stale = None

    async def get(self, _kind, _name):
        if self.out:
            raise _objects.UnavailableError("out")
        return self.stale or self.found

    async def put(self, kind, name, value, if_version):
        if self.out:
            raise _objects.UnavailableError("out")
        if self.found.version != if_version:
            raise _objects.ConflictError(self.found)
        self.found = _objects.Object(kind, name, if_version + 1, value)
        return self.found


_DURATION_MS = 4400


def _leadership_of(store, clock, holder):
    leases = _leases.Leases(
        store, holder, _DURATION_MS, clock, random.Random(holder)
    )
    return _leadership.Leadership(leases, 3000, clock)


async def _step(leadership):
    """Do what ``run`` does in each round."""
    try:
        if leadership.is_leader:
            await leadership._renew(leadership._held)
        else:
            await leadership._look()
    except _objects.UnavailableError:
        return


@pytest.mark.anyio
async def test_a_holder_that_cant_renew_stops_before_the_next_begins():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _step(first)
    await _step(second)
    assert first.may_order()
    last_order = clock.now()
    while not second.may_order():
        clock.advance(100)
        if first.may_order():
            last_order = clock.now()
        await _step(second)
    assert clock.now() - last_order > 3000
    await _step(first)
    assert not first.is_leader
    assert second.epoch > 1


@pytest.mark.anyio
async def test_an_old_read_doesnt_give_a_lost_lease_back():
    """Seen on the bench: mahzen-ops, mix, seed 517517005157."""
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _step(first)
    await _step(second)
    old = store.found
    clock.advance(2 * _DURATION_MS)
    await _step(second)
    await _step(first)
    assert second.is_leader
    assert not first.is_leader
    current, store.stale = store.found, old
    await _step(first)
    assert not first.is_leader
    assert store.found == current


@pytest.mark.anyio
async def test_a_lease_taken_before_a_suspension_is_not_fresh():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    put = store.put

    async def put_and_suspend(*args):
        written = await put(*args)
        clock.advance(2 * _DURATION_MS)
        return written

    store.put = put_and_suspend
    await _step(first)
    assert first.is_leader
    assert not first.may_order()


@pytest.mark.anyio
async def test_who_released_the_lease_doesnt_take_it_again():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    await _step(first)
    await first.release()
    await first._look_or_renew()
    assert not first.is_leader
    assert store.found.value["holder"] == ""


@pytest.mark.anyio
async def test_renewals_keep_the_lease():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _step(first)
    for _ in range(40):
        clock.advance(_leadership.RENEW_MS)
        await _step(first)
        await _step(second)
        assert first.may_order()
        assert not second.is_leader
    assert second.leader == "10.0.0.1:1"


@pytest.mark.anyio
async def test_a_released_lease_is_guarded():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _step(first)
    await first.release()
    assert not first.may_order()
    await _step(second)
    assert second.is_leader
    assert not second.may_order()
    for _ in range(8):
        clock.advance(400)
        await _step(second)
    assert second.may_order()


@pytest.mark.anyio
async def test_a_restarted_holder_goes_on_at_once():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    await _step(_leadership_of(store, clock, "10.0.0.1:1"))
    restarted = _leadership_of(store, clock, "10.0.0.1:1")
    restarted._leases._incarnation = "another"
    await _step(restarted)
    assert restarted.may_order()
    assert restarted.epoch == 2
