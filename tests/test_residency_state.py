"""The controller's state: replicas, demand, load budget and lease."""

import random

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from emulator import _virtual_time
from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.control import _leases
from geraniumlink.hosting import _instance
from geraniumlink.residency import _adapter_plan
from geraniumlink.residency import _adapters
from geraniumlink.residency import _demand
from geraniumlink.residency import _leadership
from geraniumlink.residency import _model_load_budget
from geraniumlink.residency import _replica_states
from geraniumlink.serving import _types
from tests import builders


def _entry():
    return builders.replica_entry(models=())


def _report(count, *models, busy=False):
    residents = {model: frozenset() for model in models}
    return _types.ReplicaReport(1, residents, busy, count, frozenset())


def test_older_report_does_not_replace_the_state():
    """A stale report showed free memory that was taken.

    The replica was then ordered to load too much, and crashed.
    """
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(3, "m1", "m2"), now=0)
    state.loading.add(("m3", ""))
    state.record_accepted_order(now=1000)
    state.apply_report(_report(3, "m1"), now=1100)
    assert state.charged_models() == {"m1", "m2", "m3"}


def test_model_that_is_being_loaded_stays_charged():
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(0, "m1"), now=0)
    state.loading.add(("m2", ""))
    state.record_accepted_order(now=0)
    state.apply_report(_report(1, "m1", busy=True), now=100)
    assert state.charged_models() == {"m1", "m2"}
    state.apply_report(_report(1, "m1", "m2"), now=4000)
    assert state.ready_models() == {"m1", "m2"}
    assert not state.loading


def test_unconfirmed_order_is_charged_until_a_newer_one_is_accepted():
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(0, "m1"), now=0)
    state.unconfirmed.add(("m2", ""))
    state.apply_report(_report(0, "m1"), now=5000)
    assert state.charged_models() == {"m1", "m2"}
    state.record_accepted_order(now=6000)
    assert state.charged_models() == {"m1"}


def test_unconfirmed_order_that_is_carried_out_late_stays_charged():
    """Otherwise the replica is ordered to load more than fits in it."""
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(0, "m1"), now=0)
    # The order for m2 was not answered, and is no longer repeated.
    state.unconfirmed.add(("m2", ""))
    state.apply_report(_report(1, "m1", busy=True), now=3000)
    assert not state.ready_for_orders
    assert state.charged_models() == {"m1", "m2"}
    state.apply_report(_report(1, "m1", busy=True), now=3500)
    assert not state.ready_for_orders
    state.apply_report(_report(1, "m1", "m2"), now=7000)
    assert state.ready_for_orders
    assert state.charged_models() == {"m1", "m2"}
    assert not state.unconfirmed


def test_adapter_in_transit_takes_a_slot():
    state = _replica_states.ReplicaState(_entry())
    report = _report(4, "m1")._replace(
        adapters_loading=frozenset({("m1", "a1")})
    )
    state.apply_report(report, now=0)
    assert state.charged_adapters() == {("m1", "a1")}
    assert not state.can_serve("m1", "a1")
    assert state.charged_models() == {"m1"}


def test_earlier_leaders_order_in_progress_is_waited_for():
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(4, "m1", busy=True), now=0)
    assert not state.ready_for_orders
    state.apply_report(_report(4, "m1", busy=True), now=200)
    assert not state.ready_for_orders
    state.apply_report(_report(4, "m1", "m2"), now=4000)
    assert state.ready_for_orders
    assert state.charged_models() == {"m1", "m2"}


def test_order_count_that_is_too_high_is_corrected():
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(1, "m1"), now=0)
    state.record_accepted_order(now=0)
    state.apply_report(_report(1, "m1"), now=100)
    assert state.order_count == 2
    state.apply_report(_report(1, "m1"), now=_replica_states.REPORT_LAG_MS + 1)
    assert state.order_count == 1


def test_what_is_being_unloaded_gets_no_requests():
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(0, "m1", "m2"), now=0)
    state.record_loaded("m1", "a1")
    state.unloading.add(("m1", ""))
    assert not state.can_serve("m1", "")
    assert not state.can_serve("m1", "a1")
    assert state.charged_models() == {"m1", "m2"}
    assert state.models_after_unloads() == {"m2"}


@hypothesis.given(st.lists(st.integers(0, 400), max_size=200))
def test_loads_stay_within_the_weight_stores_ceiling(pauses):
    """The ceiling in any window of 5 s: rate x window x 1.1 + 3 loads."""
    clock = _clock.ManualClock()
    budget = _model_load_budget.ModelLoadBudget(clock)
    begun = []
    for pause in pauses:
        clock.advance(pause)
        if budget.available(1.1, 1_000_000) > 0:
            budget.start_load()
            begun.append(clock.now())
    for start in begun:
        window = [t for t in begun if start <= t < start + 5000]
        assert len(window) <= 1.1 * 5 * 1.1 + 3


def test_earlier_leaders_loads_count():
    clock = _clock.ManualClock(start=100_000)
    budget = _model_load_budget.ModelLoadBudget(clock)
    budget.assume_earlier_loads(2.0, min_age_ms=3000)
    assert budget.available(2.0, 60_000) == 1
    clock.advance(2100)
    assert budget.available(2.0, 60_000) == 11


def test_demand_decays_and_is_kept_by_model():
    clock = _clock.ManualClock()
    demands = _demand.DemandTracker(clock)
    for _ in range(10):
        demands.record(_demand.DemandSample("s", "m1", "a1", 1000))
        clock.advance(500)
    rates = demands.demand_of("s", {}).rates
    assert 1500 < rates["m1"] < 2500
    assert not demands.demand_of("another", {}).rates
    clock.advance(60_000)
    assert not demands.demand_of("s", {}).rates
    assert demands.adapter_last_used_at("s", "m1", "a1") > 0


class _OrderSender:
    """Carries out each order at once and records it."""

    def __init__(self):
        self.orders = []

    async def load_adapter(self, state, model, adapter):
        self.orders.append(("load", adapter))
        state.record_loaded(model, adapter)
        return True

    async def unload_adapter(self, state, model, adapter):
        self.orders.append(("unload", adapter))
        state.record_unloaded(model, adapter)
        return True


@pytest.mark.anyio
async def test_adapter_in_use_keeps_its_slot():
    clock, order_sender = _clock.ManualClock(start=10_000), _OrderSender()
    demands = _demand.DemandTracker(clock)
    loader = _adapters.AdapterLoader(order_sender, demands, clock)
    state = _replica_states.ReplicaState(_entry())
    state.apply_report(_report(0, "m1"), now=0)

    async def ensure_loaded(adapter):
        demands.record(_demand.DemandSample("s", "m1", adapter, 10))
        return await loader.ensure_loaded("s", "m1", adapter, [state], slots=2)

    assert await ensure_loaded("a1")
    clock.advance(100)
    assert await ensure_loaded("a2")
    clock.advance(_adapter_plan.IN_USE_MS - 200)
    assert not await ensure_loaded("a3")
    clock.advance(200)
    assert await ensure_loaded("a3")
    assert order_sender.orders[-2:] == [("unload", "a1"), ("load", "a3")]
    assert len(order_sender.orders) == 4


class _Store:
    """A store of one lease, which a test can make unavailable."""

    def __init__(self):
        self.found = _objects.Object("leases", "controller", 0, None)
        self.unavailable = False
        # If set, what reads return instead of the stored lease.
        self.stale = None

    async def get(self, _kind, _name):
        if self.unavailable:
            raise _objects.UnavailableError("unavailable")
        return self.stale or self.found

    async def put(self, kind, name, value, if_version):
        if self.unavailable:
            raise _objects.UnavailableError("unavailable")
        if self.found.version != if_version:
            raise _objects.ConflictError(self.found)
        self.found = _objects.Object(kind, name, if_version + 1, value)
        return self.found


_DURATION_MS = 4400


def _leadership_of(store, clock, holder):
    leases = _leases.Leases(
        store,
        holder,
        _DURATION_MS,
        clock,
        random.Random(holder),
        boot_id=f"boot of {holder}",
        restart_ms=_leadership.restart_ms(3000),
    )
    return _leadership.Leadership(leases, 3000, clock)


async def _step(leadership):
    """Do what ``run`` does in each round."""
    try:
        if leadership.is_leader:
            await leadership._renew(leadership._held)
        else:
            await leadership._try_acquire()
    except _objects.UnavailableError:
        return


async def _wait_for_orders(leadership, clock):
    """Renew until the wait of an absent lease's taker is over, and once more.

    The lease then says that it is over.
    """
    await _step(leadership)
    while not leadership.may_order():
        clock.advance(_leadership.RENEWAL_INTERVAL_MS)
        await _step(leadership)
    await _step(leadership)


async def _race_for_lease(clock):
    """Return the holder: the slow link's instance looks first."""
    store = _Store()
    leaderships = [
        _leadership.Leadership(
            _leases.Leases(
                store,
                f"{link_mbit_per_s} Mbit/s",
                _DURATION_MS,
                clock,
                random.Random(1),
                _instance._take_delay_ms(link_mbit_per_s),
            ),
            3000,
            clock,
        )
        for link_mbit_per_s in (10, 200)
    ]
    async with anyio.create_task_group() as group:
        group.start_soon(leaderships[0].run)
        await clock.sleep(_leadership.CHECK_INTERVAL_MS - 1)
        group.start_soon(leaderships[1].run)
        await clock.sleep(5000)
        group.cancel_scope.cancel()
    return store.found.value["holder"]


def test_instance_with_a_fast_link_becomes_the_controller():
    assert _virtual_time.run(_race_for_lease) == "200 Mbit/s"


@pytest.mark.anyio
async def test_leader_that_cannot_renew_stops_before_the_next_starts():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _wait_for_orders(first, clock)
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
async def test_stale_read_does_not_give_a_lost_lease_back():
    """A stale read shows the lease as still held by the instance.

    Found by the benchmark: mahzen-ops, mix, seed 517517005157.
    """
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
async def test_lease_acquired_before_a_suspension_allows_no_orders():
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
async def test_released_lease_is_not_acquired_again_by_its_holder():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    await _step(first)
    await first.release()
    await first._renew_or_acquire()
    assert not first.is_leader
    assert store.found.value["holder"] == ""


@pytest.mark.anyio
async def test_renewals_keep_the_lease():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _wait_for_orders(first, clock)
    for _ in range(40):
        clock.advance(_leadership.RENEWAL_INTERVAL_MS)
        await _step(first)
        await _step(second)
        assert first.may_order()
        assert not second.is_leader
    assert second.leader == "10.0.0.1:1"


@pytest.mark.anyio
async def test_orders_after_a_release_wait_for_the_guard_interval():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    first = _leadership_of(store, clock, "10.0.0.1:1")
    second = _leadership_of(store, clock, "10.0.0.2:1")
    await _wait_for_orders(first, clock)
    await _step(second)
    await first.release()
    assert not first.may_order()
    await _step(second)
    assert second.is_leader
    assert not second.may_order()
    for _ in range(8):
        clock.advance(-(-second.guard_ms // 8))
        await _step(second)
    assert second.may_order()


@pytest.mark.anyio
async def test_restarted_holder_may_order_at_once():
    clock, store = _clock.ManualClock(start=10_000), _Store()
    await _wait_for_orders(_leadership_of(store, clock, "10.0.0.1:1"), clock)
    restarted = _leadership_of(store, clock, "10.0.0.1:1")
    restarted._leases._incarnation = "another"
    await _step(restarted)
    assert restarted.may_order()
    assert restarted.epoch == 2


def test_load_that_was_not_ordered_gives_its_budget_back():
    clock = _clock.ManualClock()
    budget = _model_load_budget.ModelLoadBudget(clock)
    before = budget.available(2.0, 4000)
    first = budget.start_load()
    clock.advance(100)
    budget.start_load()
    budget.cancel_load(first)
    assert budget.available(2.0, 4000) == before - 1
    # The other load still counts for the whole window.
    clock.advance(_model_load_budget.WINDOW_MS - 50)
    budget.finish_load()
    assert budget.available(2.0, 100_000) == int(2.0 * 5) + 1 - 1
