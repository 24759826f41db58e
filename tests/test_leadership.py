"""No two machines order within the platform's minimum interval."""

import pytest

from geraniumlink import _clock
from geraniumlink.control import _leases
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
    def make(name, process=1):
        return builders.Machine(api, clock, name, process)

    return make


async def test_lost_answer_to_taking_a_released_lease_keeps_the_guard_interval(
    api, clock, machine
):
    first, second = machine("m1"), machine("m2")
    await first.step_until_first_order()
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
