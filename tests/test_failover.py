"""The search for another replica while one is silent; no network."""

import asyncio

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink.serving import _failover

pytestmark = pytest.mark.anyio

_SUCCESSOR = _failover.Successor(None, None)


class _Source:
    """Finds what it is given, one after the other; then it waits."""

    def __init__(self, *found, given_up_after=None):
        self._found = list(found)
        self._given_up_after = given_up_after
        self.searches = 0
        self.discarded = []

    async def is_given_up(self):
        return self.searches == self._given_up_after

    async def find(self):
        self.searches += 1
        if not self._found:
            await asyncio.Event().wait()
        found = self._found.pop(0)
        if isinstance(found, Exception):
            raise found
        return found

    def discard(self, successor):
        self.discarded.append(successor)


def _failover_of(source):
    return _failover.Failover(source, _clock.Clock())


async def _search(failover, ended=True):
    """Run a search to its end.

    :returns: for each time that the attempt was ended, whether its replica
        was given up.
    """
    calls = []

    def end_attempt(is_given_up):
        calls.append(is_given_up)
        return ended

    failover.start(end_attempt)
    with anyio.move_on_after(1):
        while not calls:
            await anyio.sleep(0.01)
    await anyio.sleep(0)
    return calls


async def test_an_attempt_is_ended_before_a_successor_is_found():
    source = _Source(None, _SUCCESSOR)
    failover = _failover_of(source)
    assert await _search(failover) == [False]
    assert source.searches == 2
    assert failover.take() is _SUCCESSOR
    assert failover.take() is None
    await failover.stop()
    assert not source.discarded


async def test_a_request_waits_for_a_replica_that_is_given_up():
    source = _Source(None, None, given_up_after=1)
    failover = _failover_of(source)
    assert await _search(failover) == [True]
    assert source.searches == 1
    assert failover.take() is None
    await failover.stop()


async def test_a_successor_is_kept_though_the_replica_has_spoken():
    source = _Source(_SUCCESSOR)
    failover = _failover_of(source)
    await _search(failover, ended=False)
    assert failover.take() is None
    assert source.discarded == [_SUCCESSOR]
    await failover.stop()


async def test_a_successor_that_is_not_taken_is_never_given_back():
    source = _Source(_SUCCESSOR)
    failover = _failover_of(source)
    await _search(failover)
    await failover.stop()
    failover.discard()
    failover.discard()
    assert source.discarded == [_SUCCESSOR]


@pytest.mark.parametrize("end", ("cancel", "stop"))
async def test_a_search_goes_on_after_its_attempt(end):
    source = _Source()
    failover = _failover_of(source)
    failover.start(lambda is_given_up: True)
    await anyio.sleep(0.01)
    if end == "cancel":
        failover.cancel()
        await anyio.sleep(0.01)
    await failover.stop()
    assert source.searches == 1
    assert failover.take() is None


async def test_a_second_search_runs_beside_the_first():
    source = _Source()
    failover = _failover_of(source)
    failover.start(lambda is_given_up: True)
    failover.start(lambda is_given_up: True)
    await anyio.sleep(0.01)
    assert source.searches == 1
    failover.cancel()
    await anyio.sleep(0.01)
    failover.start(lambda is_given_up: True)
    await anyio.sleep(0.01)
    assert source.searches == 2
    await failover.stop()


async def test_an_error_of_a_search_is_swallowed():
    failover = _failover_of(_Source(ValueError("broken")))
    failover.start(lambda is_given_up: True)
    await anyio.sleep(0.01)
    with pytest.raises(ValueError):
        await failover.stop()
