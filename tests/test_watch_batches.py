"""How many calls an instance makes while replicas write all the time."""

import anyio
import pytest

from emulator import _virtual_time
from geraniumlink import _objects
from geraniumlink.hosting import _change_delays
from geraniumlink.hosting import _object_watcher

_CHANGE_INTERVAL_MS = 20
_DURATION_MS = 8000


class _Store:
    """Has a change since any revision; counts the calls."""

    def __init__(self, clock):
        self._clock = clock
        self.calls = 0

    async def list(self, kind):
        return await self._answer(kind)

    async def watch(self, kind, _after, _wait_ms):
        return await self._answer(kind)

    async def _answer(self, kind):
        self.calls += 1
        await self._clock.sleep(4)
        revision = 1 + self._clock.now() // _CHANGE_INTERVAL_MS
        changed = _objects.Object(kind, "r-1", revision, {})
        return _objects.Listing(revision, [changed])


@pytest.mark.parametrize(
    ("relays", "batch_delay_ms"),
    [
        (True, _change_delays.MAX_BATCH_DELAY_MS),
        (False, _change_delays.MAX_ALONE_BATCH_DELAY_MS),
    ],
)
def test_instance_calls_the_store_for_each_change(relays, batch_delay_ms):
    async def play(clock):
        store = _Store(clock)
        watcher = _object_watcher.ObjectWatcher(
            store,
            "servers",
            clock,
            on_list=lambda _objects: None,
            on_change=lambda _object: None,
            batch_delay_ms=_change_delays.MAX_BATCH_DELAY_MS,
            alone_batch_delay_ms=_change_delays.MAX_ALONE_BATCH_DELAY_MS,
            relays=lambda: relays,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            await clock.sleep(_DURATION_MS)
            group.cancel_scope.cancel()
        return store.calls

    # Besides the list and the first watch.
    assert _virtual_time.run(play) <= 2 + _DURATION_MS / batch_delay_ms
