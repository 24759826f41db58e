"""Leases are taken by one instance at a time and expire without renewal."""

import random

import pytest

from geraniumlink import _clock
from geraniumlink.control import _leases
from tests import memory_api

pytestmark = pytest.mark.anyio


class Candidate:
    """An instance that contends for leases, with its own clock."""

    def __init__(self, api, name, seed):
        self.clock = _clock.ManualClock(start=seed * 1000)
        self.leases = _leases.Leases(
            api, name, 1000, self.clock, random.Random(seed)
        )


@pytest.fixture
def api():
    return memory_api.MemoryApi()


async def test_one_of_two_candidates_takes_a_free_lease(api):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    assert await first.leases.try_take("assistant") is not None
    assert await second.leases.try_take("assistant") is None


async def test_a_renewed_lease_does_not_expire(api):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    held = await first.leases.try_take("assistant")
    for _ in range(5):
        assert await second.leases.try_take("assistant") is None
        second.clock.advance(900)
        held = await first.leases.renew(held)
    assert await second.leases.try_take("assistant") is None


async def test_an_unchanged_lease_expires_by_the_observers_clock(
    api,
):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    held = await first.leases.try_take("assistant")
    assert await second.leases.try_take("assistant") is None
    second.clock.advance(1000)
    taken = await second.leases.try_take("assistant")
    assert taken.lease.epoch == held.lease.epoch + 1
    with pytest.raises(_leases.LeaseLostError):
        await first.leases.renew(held)


async def test_a_released_lease_is_taken_at_once(api):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    await first.leases.release(await first.leases.try_take("assistant"))
    assert await second.leases.try_take("assistant") is not None


async def test_a_lease_whose_renewal_lost_its_answer_is_released(api):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    held = await first.leases.try_take("assistant")
    api.lose_answers = 1
    with pytest.raises(memory_api.UnavailableError):
        await first.leases.renew(held)
    await first.leases.release(held)
    assert await second.leases.try_take("assistant") is not None


async def test_a_lease_taken_without_an_answer_is_released(api):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    api.lose_answers = 1
    with pytest.raises(memory_api.UnavailableError):
        await first.leases.try_take("assistant")
    await second.leases.release_own("assistant")
    assert await second.leases.try_take("assistant") is None
    await first.leases.release_own("assistant")
    assert await second.leases.try_take("assistant") is not None


async def test_a_lease_that_another_instance_took_is_not_released(api):
    first, second = Candidate(api, "i1", 1), Candidate(api, "i2", 2)
    held = await first.leases.try_take("assistant")
    assert await second.leases.try_take("assistant") is None
    second.clock.advance(1000)
    taken = await second.leases.try_take("assistant")
    await first.leases.release(held)
    assert await second.leases.renew(taken)
    assert await second.leases.read_holder("assistant") == "i2"


async def test_a_lost_answer_does_not_lose_the_lease(api):
    first = Candidate(api, "i1", 1)
    api.lose_answers = 1
    with pytest.raises(memory_api.UnavailableError):
        await first.leases.try_take("assistant")
    held = await first.leases.try_take("assistant")
    api.lose_answers = 1
    with pytest.raises(memory_api.UnavailableError):
        await first.leases.renew(held)
    assert await first.leases.renew(held)


@pytest.mark.parametrize("value", [[], {"holder": 3}, {"epoch": "x"}, "text"])
async def test_an_unreadable_lease_expires_and_epochs_still_rise(api, value):
    api.store("leases", "assistant", value)
    first = Candidate(api, "i1", 1)
    assert await first.leases.try_take("assistant") is None
    first.clock.advance(1000)
    assert (await first.leases.try_take("assistant")).lease.epoch > 1


def test_only_a_few_candidates_read_a_lease():
    instances = [f"i{index}" for index in range(400)]
    shards = [f"d{index}" for index in range(200)]
    candidates = [_leases.candidates(shard, instances) for shard in shards]
    assert all(len(names) == _leases.CANDIDATES for names in candidates)
    assert len({names[0] for names in candidates}) > 100


def test_an_instance_that_leaves_moves_only_its_own_shards():
    instances = [f"i{index}" for index in range(9)]
    for shard in ("assistant", "sommelier-llm", "custody"):
        before = _leases.candidates(shard, instances)
        for leaver in set(instances) - set(before):
            remaining = [name for name in instances if name != leaver]
            assert _leases.candidates(shard, remaining) == before
