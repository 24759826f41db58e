"""Reads the memory charge of every replica from the ledgers, on demand."""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _ledger

# Calls within this time after the last read get the cached charges.
MAX_AGE_MS = 1000


class ChargeCache:
    """Caches the charge of each replica; reads at most once a second."""

    def __init__(
        self, objects: _objects.ObjectApi, clock: _clock.Clock
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._charges: dict[str, int] = {}
        self._read_at = -MAX_AGE_MS

    async def read(self) -> dict[str, int]:
        """Return the charges in MiB, by ``deployment.replica``.

        While the object API is unavailable, the last known ones are
        returned.
        """
        now = self._clock.now()
        if now - self._read_at < MAX_AGE_MS:
            return self._charges
        self._read_at = now
        try:
            listing = await self._objects.list(_ledger.KIND)
        except _objects.UnavailableError:
            return self._charges
        for stored in listing.objects:
            self._update_charge(stored)
        return self._charges

    def _update_charge(self, stored: _objects.Object) -> None:
        """Cache the charge of one ledger; keep the old one if unreadable."""
        if stored.value is None:
            self._charges.pop(stored.name, None)
            return
        outcome = _ledger.from_json(stored.name, stored.value)
        if outcome.is_error():
            _logs.event("ledger_unreadable", replica=stored.name)
            return
        self._charges[stored.name] = outcome.ok.charge_mb
