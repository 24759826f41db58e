"""The clock that all parts of an instance use, in whole milliseconds.

Leases, deadlines and heartbeats use monotonic time, so that a step of the
wall clock can't lengthen or shorten them. Wall-clock time is only for times
that several instances compare, such as the issue time of an idempotency key,
the expiry of a suspicion and the times in the audit trail.
"""

from __future__ import annotations

import pathlib
import time

import anyio

# Source: random(4) of Linux.
_BOOT_ID = pathlib.Path("/proc/sys/kernel/random/boot_id")


class Clock:
    """The system's clocks, in milliseconds."""

    def now(self) -> int:
        """Return monotonic time; only comparable within this process."""
        return time.monotonic_ns() // 1_000_000

    def since_boot(self) -> int:
        """Return the time since boot, including time spent suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def boot_id(self) -> str:
        """Return what identifies the present boot; "" if it isn't known."""
        try:
            return _BOOT_ID.read_text().strip()
        except (OSError, ValueError):
            return ""

    def wall(self) -> int:
        """Return wall-clock time since 1970-01-01T00:00Z."""
        return time.time_ns() // 1_000_000

    async def sleep(self, milliseconds: float) -> None:
        """Sleep; cancellation ends the sleep at once."""
        await anyio.sleep(milliseconds / 1000)


class ManualClock(Clock):
    """A clock for tests; ``sleep`` advances it instead of waiting."""

    def __init__(self, start: int = 0, wall: int = 1_700_000_000_000) -> None:
        self._now = start
        self._wall_offset = wall - start

    def now(self) -> int:
        return self._now

    def since_boot(self) -> int:
        return self._now

    def boot_id(self) -> str:
        return "boot"

    def wall(self) -> int:
        return self._now + self._wall_offset

    def advance(self, milliseconds: int) -> None:
        self._now += milliseconds

    async def sleep(self, milliseconds: float) -> None:
        self.advance(int(milliseconds))
        await anyio.lowlevel.checkpoint()
