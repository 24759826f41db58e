"""The charge of every replica, read from the ledgers when it is asked for."""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _ledger

# Callers that ask more often are given the last answer.
MAX_AGE_MS = 1000


class ChargeCache:
    """Reads the ledgers at most once a second, and keeps the last ones."""

    def __init__(
        self, objects: _objects.ObjectApi, clock: _clock.Clock
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._charges: dict[str, int] = {}
        self._read_at = -MAX_AGE_MS

    async def read(self) -> dict[str, int]:
        """Return MiB by ``deployment.name``; the last known in an outage."""
        now = self._clock.now()
        if now - self._read_at < MAX_AGE_MS:
            return self._charges
        self._read_at = now
        try:
            listing = await self._objects.list(_ledger.KIND)
        except _objects.UnavailableError:
            return self._charges
        for stored in listing.objects:
            self._take(stored)
        return self._charges

    def _take(self, stored: _objects.Object) -> None:
        if stored.value is None:
            self._charges.pop(stored.name, None)
            return
        outcome = _ledger.from_json(stored.name, stored.value)
        if outcome.is_error():
            _logs.event("ledger_unreadable", replica=stored.name)
            return
        self._charges[stored.name] = outcome.ok.charge_mb
