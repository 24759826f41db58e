"""Removes the claims of expired keys.

Every instance removes them, one object kind (the keys issued in one minute)
at a time. Each instance waits a random time after a kind is due, so that
usually the first one removes its claims and the others find none. Removals
are rate-limited, and conditional on the version, so concurrent ones are
harmless. Claims that expired more than ``LOOKBACK_MS`` before the oldest
instance started are never removed.
"""

from __future__ import annotations

import random

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.once import _claims
from geraniumlink.once import _keys

# An instance starts with the claims that expired this long before its start.
LOOKBACK_MS = 24 * 60 * 60 * 1000
# The longest random delay of a sweep after its kind is due.
MAX_JITTER_MS = 10 * 60 * 1000
# Pauses after each sweep and each removal; they limit the load that the
# removal of claims puts on the object API.
SWEEP_PAUSE_MS = 5000
REMOVAL_PAUSE_MS = 100


class Janitor:
    """Removes claims in the order of the minutes their keys were issued in."""

    def __init__(
        self,
        objects: _objects.ObjectApi,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._random = random_source

    async def run(self) -> None:
        """Sweep the claims of each minute once they are due, for ever.

        A sweep that the object API fails is repeated.
        """
        minute_ms = self._clock.wall() - _keys.CLAIM_LIFETIME_MS - LOOKBACK_MS
        while True:
            due_ms = removal_due_ms(minute_ms) + self._random.randrange(
                MAX_JITTER_MS
            )
            while self._clock.wall() < due_ms:
                await self._clock.sleep(_claims.KIND_PERIOD_MS)
            if await self.sweep(_claims.object_kind(minute_ms)):
                minute_ms += _claims.KIND_PERIOD_MS
            await self._clock.sleep(SWEEP_PAUSE_MS)

    async def sweep(self, kind: str) -> bool:
        """Remove a kind's claims; return whether the object API did all."""
        try:
            listing = await self._objects.list(kind)
            for entry in listing.objects:
                if entry.value is not None:
                    await self._remove(entry)
                    await self._clock.sleep(REMOVAL_PAUSE_MS)
        except _objects.UnavailableError:
            return False
        return True

    async def _remove(self, entry: _objects.Object) -> None:
        try:
            await self._objects.delete(entry.kind, entry.name, entry.version)
        except _objects.ConflictError:
            # Another instance removed the claim first.
            return


def removal_due_ms(minute_ms: int) -> int:
    """Return the wall time from which a minute's claims may be removed.

    By then every instance refuses the last key issued in that minute.
    """
    start_ms = minute_ms - minute_ms % _claims.KIND_PERIOD_MS
    return start_ms + _claims.KIND_PERIOD_MS + _keys.CLAIM_LIFETIME_MS
