"""Removes the claims of expired keys.

Every instance does it, a kind (the keys issued in one minute) at a time and
at a random time after it is due, so that the first one finds the claims and
the others nothing. Removals are paced; they are conditional, so two at once
do no harm. What expired longer ago than ``LOOKBACK_MS`` before the start of
the oldest instance stays.
"""

from __future__ import annotations

import random

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.once import _claims
from geraniumlink.once import _keys

LOOKBACK_MS = 24 * 60 * 60 * 1000
# A kind is swept at most this long after it is due.
MAX_JITTER_MS = 10 * 60 * 1000
SWEEP_PAUSE_MS = 5000
REMOVAL_PAUSE_MS = 100


class Janitor:
    """Walks from the oldest minute of keys to the latest expired one."""

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
        """Sweep each minute once it is due, for ever."""
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
        """Remove what is left of a kind; return whether all of it went."""
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
            # Another instance removed it.
            return


def removal_due_ms(minute_ms: int) -> int:
    """Return the wall time when no key of a minute is good any more."""
    last_ms = minute_ms - minute_ms % _claims.KIND_PERIOD_MS
    return last_ms + _claims.KIND_PERIOD_MS + _keys.CLAIM_LIFETIME_MS
