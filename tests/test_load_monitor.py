"""An instance logs how late its event loop is, and its messages."""

import anyio
import eliot
import pytest

from geraniumlink import _clock
from geraniumlink.hosting import _load_monitor

pytestmark = pytest.mark.anyio


class _LateClock(_clock.ManualClock):
    """A clock whose sleeps end late."""

    def __init__(self, late_ms):
        super().__init__()
        self._late_ms = late_ms

    async def sleep(self, milliseconds):
        await super().sleep(milliseconds + self._late_ms)


async def _lines_of(monitor, clock, duration_ms):
    lines = []
    destination = lines.append
    eliot.add_destinations(destination)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(monitor.run)
            while clock.now() < duration_ms:
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
    finally:
        eliot.remove_destination(destination)
    return [line for line in lines if line["message_type"] == "instance_load"]


async def test_late_event_loop_is_logged():
    clock = _LateClock(_load_monitor.LATE_MS)
    monitor = _load_monitor.LoadMonitor(clock)
    lines = await _lines_of(monitor, clock, 1500)
    assert lines[0]["late_ms"] == monitor.late_ms == _load_monitor.LATE_MS


async def test_messages_are_counted_until_they_are_logged():
    clock = _LateClock(0)
    monitor = _load_monitor.LoadMonitor(clock)
    monitor.count_message(100, 2000)
    monitor.count_message(50, 3000)
    lines = await _lines_of(monitor, clock, 2500)
    assert [
        (line["messages"], line["received_bytes"], line["sent_bytes"])
        for line in lines
    ] == [(2, 150, 5000)]


async def test_idle_instance_logs_no_load():
    clock = _LateClock(0)
    monitor = _load_monitor.LoadMonitor(clock)
    assert not await _lines_of(monitor, clock, 2500)
