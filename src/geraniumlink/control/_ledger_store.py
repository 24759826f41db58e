"""Writes one replica's ledger to the object API by conditional updates.

Whoever takes a shard claims each of its ledgers by a write before it
decides anything. A holder that was paused then fails at its next write,
because the version that it knows is no longer the latest; and what it wrote
before the claim is read by the new holder.
"""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _ledger

_WRITE_ATTEMPTS = 3
_MAX_RECENT_CHANGE_IDS = 16


class ShardLostError(Exception):
    """Another instance wrote the ledger: this one is no longer the holder."""


class LateWriteError(Exception):
    """An earlier write of our own took effect late; decide again."""


class UnreadableLedgerError(Exception):
    """The stored ledger makes no sense; its replica is left alone."""

    def __init__(self, findings: _findings.Findings) -> None:
        super().__init__(str(findings))
        self.findings = findings


class OverchargeError(Exception):
    """The write would charge more than the replica's memory."""


class Written(typing.NamedTuple):
    """A write that took effect, and when its first attempt began."""

    ledger: _ledger.Ledger
    started_at: int


class LedgerStore:
    """The ledger of one replica, as its holder knows and writes it."""

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
        return self._ledger

    @property
    def uncertain(self) -> bool:
        """Whether a write may have taken effect, or may still do so."""
        return self._uncertain

    async def claim(self, holder: str, epoch: int) -> None:
        """Read the ledger and write it under the new epoch.

        :raises UnreadableLedgerError: if what is stored makes no sense.
        :raises ShardLostError: if a higher epoch is in it, or another
            instance wrote meanwhile.
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
        """Settle an uncertain write by writing; errors as for ``write``.

        A read would not do: the write may take effect after it. Once this
        write has, the uncertain one fails on the version.
        """
        await self.write(self._ledger, capacity_mb=None)

    async def write(
        self, proposed: _ledger.Ledger, capacity_mb: int | None
    ) -> Written:
        """Write, and write again after an unknown outcome.

        ``capacity_mb`` limits a charge that rises; None for what was
        observed and is charged whether it fits or not.

        :raises OverchargeError: if the charge would pass ``capacity_mb``.
        :raises ShardLostError: if another instance wrote.
        :raises LateWriteError: if an earlier write of ours came late.
        :raises _objects.UnavailableError: if the outcome is unknown. A
            later write then ends in LateWriteError if this one took effect.
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
        if capacity_mb is None or proposed.charge_mb <= capacity_mb:
            return
        if proposed.charge_mb > self._ledger.charge_mb:
            raise OverchargeError(
                f"{self._name}: {proposed.charge_mb} of {capacity_mb} MiB"
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
        """Tell our own write from another's after a conflict."""
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
