"""No two machines order within the platform's minimum interval."""

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.control import _epochs
from geraniumlink.control import _leases
from geraniumlink import platform
from geraniumlink.residency import _leadership
from tests import leadership_builders as builders
from tests import memory_api

pytestmark = pytest.mark.anyio


@pytest.fixture
def api():
    return memory_api.MemoryApi()


@pytest.fixture
def clock():
    return _clock.ManualClock(start=10_000)


@pytest.fixture
def machine(api, clock):
    def make(name, process=1, boot_id=""):
        return builders.Machine(api, clock, name, process, boot_id)

    return make


async def test_lost_answer_to_taking_a_released_lease_keeps_the_guard_interval(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    await second.step()
    last_order = clock.now()
    await first.leadership.release()
    api.lose_answers = 1
    assert not await second.step()
    assert (
        await second.step_until_first_order() - last_order >= builders.LEASE_MS
    )
    assert (
        clock.now() - last_order < builders.LEASE_MS + builders.DURATION_MS / 4
    )


async def test_own_lease_of_a_restored_store_is_taken_as_a_new_term(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    old = builders.stored_lease(api)
    await second.step_until_first_order()
    await first.step()
    assert not first.leadership.is_leader
    last_order = clock.now()
    builders.restore(api, old)
    assert (
        await first.step_until_first_order() - last_order
        >= builders.DURATION_MS
    )
    assert first.leadership.epoch > old.value["epoch"]


async def test_process_killed_in_its_wait_leaves_it_to_its_successor(
    clock, machine
):
    first, killed = machine("m1"), machine("m2")
    await first.step_until_first_order()
    last_order = clock.now()
    await first.leadership.release()
    for _ in range(3):
        clock.advance(500)
        assert not await killed.step()
    successor = machine("m2", process=2)
    first_order = await successor.step_until_first_order()
    assert first_order - last_order >= builders.LEASE_MS


async def test_successor_of_a_process_that_waited_orders_at_once(
    clock, machine
):
    killed = machine("m1")
    await killed.step_until_first_order()
    await killed.step()
    assert await machine("m1", process=2).step()


@pytest.mark.parametrize("reason", ("later", "after a boot"))
async def test_successor_that_may_have_missed_a_term_waits_for_its_duration(
    clock, machine, reason
):
    killed = machine("m1")
    await killed.step_until_first_order()
    await killed.step()
    if reason == "later":
        clock.advance(_leadership.restart_ms(builders.LEASE_MS))
    began = clock.now()
    boot_id = "other" if reason == "after a boot" else ""
    successor = machine("m1", process=2, boot_id=boot_id)
    await successor.step_until_first_order()
    waited_ms = clock.now() - began
    jitter_ms = builders.DURATION_MS * _leases.TAKE_JITTER
    latest_ms = builders.DURATION_MS + jitter_ms + builders.STEP_MS
    assert builders.DURATION_MS <= waited_ms <= latest_ms


async def test_restore_hides_that_the_process_before_released_the_lease(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    await first.step()
    await second.step()
    old = builders.stored_lease(api)
    await first.leadership.release()
    last_order = await second.step_until_first_order()
    assert clock.now() < old.value["sent_at"] + builders.DURATION_MS
    builders.restore(api, old)
    first_order = await machine("m1", process=2).step_until_first_order()
    assert first_order - last_order >= builders.LEASE_MS


async def test_failed_take_of_a_released_lease_counts_as_having_followed_it(
    api, clock, machine, monkeypatch
):
    first = machine("m1")
    await first.step_until_first_order()
    await first.leadership.release()
    began = clock.now()
    starting = machine("m2")

    async def refuse(*_arguments):
        raise _objects.UnavailableError("503")

    with monkeypatch.context() as patch:
        patch.setattr(api, "put", refuse)
        await starting.step()
    first_order = await starting.step_until_first_order()
    assert first_order - began >= builders.DURATION_MS


async def test_expired_lease_that_is_released_leaves_a_wait(
    api, clock, machine
):
    frozen, taker = machine("m1"), machine("m3")
    await frozen.step_until_first_order()
    await frozen.step()
    old = builders.stored_lease(api)
    await taker.step()
    second = machine("m2")
    await second.step_until_first_order()
    await second.step()
    last_order = clock.now() + _leadership.ORDERING_WINDOW_MS
    builders.restore(api, old)
    await frozen.leadership.release()
    assert (
        await taker.step_until_first_order() - last_order >= builders.LEASE_MS
    )


async def test_lease_released_in_its_holders_wait_leaves_the_wait_to_the_next(
    clock, machine
):
    first, second, third = machine("m1"), machine("m2"), machine("m3")
    await first.step_until_first_order()
    await first.leadership.release()
    await second.step()
    await second.leadership.release()
    released_at = clock.now()
    first_order = await third.step_until_first_order()
    assert first_order - released_at >= builders.DURATION_MS


@pytest.mark.parametrize("flag", (1, "true", None))
async def test_lease_with_another_flag_than_a_truth_value_is_unreadable(
    api, machine, flag
):
    await machine("m1").step_until_first_order()
    stored = builders.stored_lease(api)
    changed = stored._replace(value={**stored.value, "wait_over": flag})
    assert _leases.parse(changed) is None


async def test_absent_lease_may_have_a_holder_that_the_store_forgot(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    builders.restore(api, None)
    assert first.leadership.may_order()
    last_order = clock.now()
    first_order = await second.step_until_first_order()
    assert first_order - last_order >= builders.DURATION_MS


@pytest.mark.parametrize("release", (True, False))
async def test_restored_lease_forgets_a_later_holder_that_was_seen(
    api, clock, machine, release
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    await first.step()
    if release:
        await first.leadership.release()
    old = builders.stored_lease(api)
    await second.step_until_first_order()
    next_process = machine("m1", process=2)
    await next_process.step()
    builders.restore(api, old)
    last_order = clock.now()
    first_order = await next_process.step_until_first_order()
    assert first_order - last_order >= builders.DURATION_MS


@pytest.mark.parametrize("is_reported", (True, False))
async def test_version_given_again_by_a_restored_store_is_another_lease(
    api, clock, machine, is_reported
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    old = builders.stored_lease(api)
    await first.step()
    leader = first.leadership
    if is_reported:
        second.leadership._leader = leader.leader
        second.leadership.record_leader_renewal(
            leader.lease_version, leader.epoch, leader.lease_renewals
        )
    else:
        await second.step()
    version = builders.stored_lease(api).version
    clock.advance(builders.DURATION_MS)
    builders.restore(api, old._replace(version=version))
    assert not await second.step()
    assert not second.leadership.is_leader


@pytest.mark.parametrize("noticed_by", ("another call", "the write"))
async def test_noticed_restore_ends_what_was_observed_before(
    api, clock, machine, monkeypatch, noticed_by
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    await first.step()
    await second.step()
    old = builders.stored_lease(api)
    clock.advance(builders.DURATION_MS - 1)
    assert await first.step()
    last_order = clock.now() + _leadership.ORDERING_WINDOW_MS
    builders.restore(api, old)
    if noticed_by == "another call":
        second.leases.forget_observations()
    else:
        put = api.put

        async def put_and_notice(*arguments):
            second.leases.forget_observations()
            return await put(*arguments)

        monkeypatch.setattr(api, "put", put_and_notice)
    first_order = await second.step_until_first_order()
    assert first_order - last_order >= builders.LEASE_MS


async def test_lease_that_its_holder_reported_expires_without_a_read(
    clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    leader = first.leadership
    second.leadership._leader = leader.leader
    second.leadership.record_leader_renewal(
        leader.lease_version, leader.epoch, leader.lease_renewals
    )
    clock.advance(builders.DURATION_MS)
    assert await second.step()


async def test_tokens_rise_and_differ_when_the_store_forgets_the_lease(
    api, machine
):
    tokens = []
    for name in ("m1", "m2", "m3"):
        taker = machine(name)
        await taker.step_until_first_order()
        tokens.append(taker.leadership.epoch)
        builders.restore(api, None)
    assert tokens == sorted(set(tokens))


async def test_token_is_above_that_of_the_leaders_answer(api, machine):
    taker = machine("m1")
    reported = _epochs.MAX_TOKEN // 2
    taker.leadership.record_leader_renewal(7, reported, 1)
    await taker.step()
    assert taker.leadership.epoch > reported


async def test_token_is_above_a_proposal_that_may_arrive_late(api, machine):
    taker = machine("m1")
    api.lose_answers = 1
    await taker.step()
    late = builders.stored_lease(api)
    builders.restore(api, None)
    await taker.step()
    assert taker.leadership.epoch > late.value["epoch"]


@hypothesis.given(
    st.integers(0, _leases._MAX_EPOCH),
    st.integers(-(2**63), 2**63),
    st.integers(0, 2**_epochs.PROCESS_BITS - 1),
)
def test_tokens_rise_whatever_the_time_of_day(highest, wall_ms, bits):
    token = _epochs.next_token(highest, wall_ms, bits)
    assert highest < token < _epochs.MAX_TOKEN
    other = _epochs.next_token(highest, wall_ms, bits ^ 1)
    assert token != other


async def test_renewal_whose_answer_was_lost_does_not_extend_the_next(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    api.lose_answers = 1
    await first.step()
    await second.step()
    clock.advance(1000)
    assert await first.step()
    last_order = clock.now() + _leadership.ORDERING_WINDOW_MS
    first_order = await second.step_until_first_order()
    assert first_order - last_order >= builders.LEASE_MS


async def test_renewals_of_an_older_copy_go_on_from_the_larger_count(
    api, machine
):
    leader = machine("m1")
    await leader.step_until_first_order()
    old = builders.stored_lease(api)
    for _ in range(3):
        await leader.step()
    before = builders.stored_lease(api).value
    builders.restore(api, old)
    assert await leader.step()
    after = builders.stored_lease(api).value
    assert after["epoch"] == before["epoch"]
    assert after["renewals"] > before["renewals"]


async def test_margins_cover_an_order_that_arrives_as_it_times_out(machine):
    late_ms = platform.ORDER_TIMEOUT_MS + _leadership.CLOCK_ERROR_MS
    after_expiry = builders.DURATION_MS - _leadership.ORDERING_WINDOW_MS
    after_release = machine("m1").leadership.guard_ms
    for gap_ms in (after_expiry, after_release):
        assert gap_ms - late_ms >= builders.LEASE_MS


async def test_expired_holder_delays_orders_by_taking_its_lease_back(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
    await second.step()
    api.outage = True
    clock.advance(builders.DURATION_MS)
    assert not await first.step()
    api.outage = False
    returned_at = clock.now()
    while not (await first.step() or await second.step()):
        clock.advance(_leadership.CHECK_INTERVAL_MS)
    assert clock.now() - returned_at < _leases.STAND_BACK_MS


async def test_expired_lease_that_nobody_else_takes_stays_free(clock, machine):
    first = machine("m1")
    await first.step_until_first_order()
    clock.advance(builders.DURATION_MS)
    began = clock.now()
    assert await first.step_until_first_order() - began < (
        _leases.STAND_BACK_MS + builders.DURATION_MS + builders.DURATION_MS / 4
    )


async def test_all_instances_watch_the_store_while_the_leader_waits_to_order(
    clock, machine
):
    """It relays as soon as it holds the lease, and only while it does."""
    leader = machine("m1").leadership
    await leader._renew_or_acquire()
    assert not leader.may_order()
    await leader._renew_or_acquire()
    assert leader.may_relay()
    clock.advance(_leadership.RELAY_WINDOW_MS)
    assert not leader.may_relay()
    await leader._renew_or_acquire()
    assert leader.may_relay()
    await leader.release()
    assert not leader.may_relay()
