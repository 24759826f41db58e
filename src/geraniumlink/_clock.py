"""The one notion of time: whole milliseconds from a clock.

Leases, deadlines and heartbeats are measured with the monotonic reading, so
that a step of the wall clock can't lengthen or shorten them. The wall clock
serves only for what several instances must read: the time of issue of an
idempotency key and the times in the audit trail.
"""

from __future__ import annotations

import time

import anyio


class Clock:
    """Reads the time in milliseconds."""

    def now(self) -> int:
        """Return monotonic milliseconds; comparable in this process only."""
        return time.monotonic_ns() // 1_000_000

    def since_boot(self) -> int:
        """Return milliseconds that go on while the machine is suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self) -> int:
        """Return milliseconds since 1970-01-01T00:00Z."""
        return time.time_ns() // 1_000_000

    async def sleep(self, milliseconds: float) -> None:
        """Wait for that long; a cancelled wait ends at once."""
        await anyio.sleep(milliseconds / 1000)


class ManualClock(Clock):
    """A clock that a test sets; ``sleep`` returns at once and advances it."""

    def __init__(self, start: int = 0, wall: int = 1_700_000_000_000) -> None:
        self._now = start
        self._wall_offset = wall - start

    def now(self) -> int:
        return self._now

    def since_boot(self) -> int:
        return self._now

    def wall(self) -> int:
        return self._now + self._wall_offset

    def advance(self, milliseconds: int) -> None:
        self._now += milliseconds

    async def sleep(self, milliseconds: float) -> None:
        self.advance(int(milliseconds))
        await anyio.lowlevel.checkpoint()
