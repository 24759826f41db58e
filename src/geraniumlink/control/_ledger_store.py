"""Writes one replica's ledger to the object API by conditional updates.

A new holder of a shard first claims each of its ledgers by a write. What
the previous holder wrote before that is read by the claim. Later writes of
the previous holder, which may have been paused, fail because the version
that it knows is no longer the latest.
"""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _ledger

# Attempts at one write when the object API doesn't answer.
_WRITE_ATTEMPTS = 3
# Bounds the change ids by which late writes of this process are recognised.
_MAX_RECENT_CHANGE_IDS = 16


class ShardLostError(Exception):
    """Another instance wrote the ledger, so it now holds the shard."""


class LateWriteError(Exception):
    """An earlier write of this process took effect late.

    The ledger has been updated to that write, and the caller must decide
    again from there.
    """


class UnreadableLedgerError(Exception):
    """The stored ledger is invalid; its replica gets no orders."""

    def __init__(self, findings: _findings.Findings) -> None:
        super().__init__(str(findings))
        self.findings = findings


class OverchargeError(Exception):
    """The write would raise the charge above the replica's capacity."""


class Written(typing.NamedTuple):
    """A write that took effect."""

    ledger: _ledger.Ledger
    # When its first attempt began.
    started_at: int


class LedgerStore:
    """Reads and writes the ledger of one replica for its holder."""

    def __init__(
        self,
        objects: _objects.ObjectApi,
        name: str,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._objects = objects
        self._name = name
        self._clock = clock
        self._random = random_source
        self._ledger = _ledger.Ledger()
        self._version = _objects.ABSENT
        self._recent_change_ids: list[str] = []
        self._uncertain = False

    @property
    def ledger(self) -> _ledger.Ledger:
        """The ledger as it was last read or written."""
        return self._ledger

    @property
    def uncertain(self) -> bool:
        """Whether the outcome of the last write is unknown."""
        return self._uncertain

    async def claim(self, holder: str, epoch: int) -> None:
        """Read the ledger and write it under the new epoch.

        :raises UnreadableLedgerError: if the stored ledger is invalid.
        :raises ShardLostError: if it has a higher epoch, or another
            instance wrote it meanwhile.
        :raises _objects.UnavailableError: if the API does not answer.
        """
        found = await self._objects.get(_ledger.KIND, self._name)
        self._set_stored(found)
        if self._ledger.epoch > epoch:
            raise ShardLostError(self._name)
        await self.write(
            self._ledger._replace(holder=holder, epoch=epoch), capacity_mb=None
        )

    async def resolve_uncertain_write(self) -> None:
        """Resolve a write of unknown outcome; errors as for ``write``.

        The last known ledger is written again. A read would not be enough,
        since the uncertain write may take effect after it. Once this write
        has taken effect, the uncertain one fails on its version.
        """
        await self.write(self._ledger, capacity_mb=None)

    async def write(
        self, proposed: _ledger.Ledger, capacity_mb: int | None
    ) -> Written:
        """Write the ledger; repeat a write of unknown outcome a few times.

        ``capacity_mb`` limits a charge that rises. It is None for changes
        that an engine reported, which are charged whether they fit or not.

        :raises OverchargeError: if the charge would exceed ``capacity_mb``.
        :raises ShardLostError: if another instance wrote the ledger.
        :raises LateWriteError: if an earlier write of this process took
            effect late.
        :raises _objects.UnavailableError: if the outcome is unknown. A
            later write raises LateWriteError if this one took effect.
        """
        self._check_capacity(proposed, capacity_mb)
        started_at = self._clock.now()
        proposed = proposed._replace(change_id=self._new_change_id())
        value = _ledger.to_json(proposed)
        self._uncertain = True
        for attempt in range(_WRITE_ATTEMPTS):
            try:
                written = await self._objects.put(
                    _ledger.KIND, self._name, value, self._version
                )
                self._version = written.version
                break
            except _objects.ConflictError as conflict:
                self._identify_conflict(conflict.current, proposed)
                break
            except _objects.UnavailableError:
                if attempt == _WRITE_ATTEMPTS - 1:
                    raise
        self._ledger = proposed
        self._uncertain = False
        return Written(proposed, started_at)

    def _check_capacity(
        self, proposed: _ledger.Ledger, capacity_mb: int | None
    ) -> None:
        """Refuse a charge that exceeds the capacity and still rises."""
        if capacity_mb is None or proposed.charge_mb <= capacity_mb:
            return
        if proposed.charge_mb > self._ledger.charge_mb:
            raise OverchargeError(
                f"{self._name}: a charge of {proposed.charge_mb} MiB exceeds"
                f" the capacity of {capacity_mb} MiB"
            )

    def _new_change_id(self) -> str:
        change_id = f"{self._random.getrandbits(64):016x}"
        self._recent_change_ids = [*self._recent_change_ids, change_id][
            -_MAX_RECENT_CHANGE_IDS:
        ]
        return change_id

    def _identify_conflict(
        self, current: _objects.Object, proposed: _ledger.Ledger
    ) -> None:
        """Find out by the change id whose write caused a conflict.

        :raises LateWriteError: if it was an earlier write of this process.
        :raises ShardLostError: if it was a write of another instance.
        """
        value = current.value if isinstance(current.value, dict) else {}
        change_id = value.get("change_id")
        if change_id == proposed.change_id:
            self._version = current.version
            return
        if change_id in self._recent_change_ids:
            self._set_stored(current)
            raise LateWriteError(self._name)
        raise ShardLostError(self._name)

    def _set_stored(self, found: _objects.Object) -> None:
        """Take over the ledger and the version that the API returned."""
        self._uncertain = False
        if found.value is None:
            self._ledger = _ledger.Ledger()
            self._version = found.version
            return
        outcome = _ledger.from_json(self._name, found.value)
        if outcome.is_error():
            _logs.event(
                "ledger_unreadable",
                replica=self._name,
                version=found.version,
                findings=[str(entry) for entry in outcome.error.all()],
            )
            raise UnreadableLedgerError(outcome.error)
        self._ledger = outcome.ok
        self._version = found.version
