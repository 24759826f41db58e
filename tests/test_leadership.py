"""No two machines order within the platform's minimum interval."""

import pytest

from geraniumlink import _clock
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
