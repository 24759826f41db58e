"""Keeps in the store which software versions each service has had.

A client may resume a stream without naming the request that it began with.
It can be served only if one version alone has been in service since the
stream may have begun. What an instance has seen since its start doesn't tell
that if all instances were started again meanwhile. So the controller writes
down each version that comes or goes, and an instance reads the record once at
its start. There are few writes: a release changes the record twice.

A restored store may have an earlier record, or none. So whoever reads it as
the controller adds what it has seen itself.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink import _store_history
from geraniumlink.serving import _replicas

# Name of the record in the store.
KIND = "software-versions"
NAME = "services"
# How often the controller compares the record with the replicas, and the
# pause before a read is tried again.
CHECK_INTERVAL_MS = 500
# Versions that went longer ago are dropped.
KEEP_MS = 600_000
# The clocks of two instances may differ by this much: a version counts as
# seen that much longer.
CLOCK_SKEW_MS = 10_000
# A record with a later time is invalid: the store can't keep numbers of more
# than 64 bits.
MAX_TIME_MS = 2**53


class ObjectStore(typing.Protocol):
    """Reads and writes objects, as ``platform.StoreClient`` does."""

    async def get(self, kind: str, name: str) -> _objects.Object: ...

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object: ...


class Leadership(typing.Protocol):
    """Tells whether this instance is the controller."""

    @property
    def epoch(self) -> int: ...

    @property
    def is_leader(self) -> bool: ...


class Record(typing.TypedDict):
    """The record in the store; times are wall-clock milliseconds."""

    # Since when it is complete; None if since the first start.
    since: int | None
    # By service and version, when the version was last seen; None while it is
    # in service.
    services: dict[str, dict[str, int | None]]


class VersionHistory:
    """Reads the record at the start, and writes it as the controller.

    :param is_first_start: whether the whole system starts for the first
        time, so that no version can have served before.
    :param history: the store's, as its answers show it.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        replicas: _replicas.Replicas,
        leadership: Leadership,
        clock: _clock.Clock,
        is_first_start: bool,
        history: _store_history.StoreHistory,
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._leadership = leadership
        self._clock = clock
        self._is_first_start = is_first_start
        # As last read or written, with its version in the store.
        self._record: Record | None = None
        self._stored_version = 0
        # Whether it must be written although it was read unchanged: reads may
        # be older than a restore of the store.
        self._must_write = False
        history.call_on_change(self._read_and_write)
        # Whether there was one; it is gone if the store has none now.
        self._was_stored = False
        # The term of the lease in which it was read last.
        self._epoch = 0

    async def run(self) -> None:
        """Read the record, and keep it up to date as the controller."""
        while not await self._try_read():
            await self._clock.sleep(CHECK_INTERVAL_MS)
        self._apply()
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            # Not only while orders are allowed: the writes are conditional,
            # and all instances may restart before that.
            if self._leadership.is_leader and self._replicas.has_full_list:
                await self._update()

    async def _try_read(self) -> bool:
        """Read the record; return whether the store answered."""
        try:
            found = await self._store.get(KIND, NAME)
        except _objects.UnavailableError:
            return False
        self._stored_version = found.version
        self._record = _decode(found.value)
        self._was_stored |= self._record is not None
        return True

    def _apply(self) -> None:
        """Take over what the record says of the time before this start."""
        wall, record = self._clock.wall(), self._record
        if record is None:
            if self._is_first_start:
                self._replicas.learn_versions(None, {})
            return
        known_ms = None
        if record["since"] is not None:
            known_ms = max(0, wall - record["since"] - CLOCK_SKEW_MS)
        ages_ms = {
            service: {
                version: 0
                if gone_at is None
                else max(0, wall - gone_at - CLOCK_SKEW_MS)
                for version, gone_at in versions.items()
            }
            for service, versions in record["services"].items()
        }
        self._replicas.learn_versions(known_ms, ages_ms)

    async def _update(self) -> None:
        """Write the record if versions came or went."""
        is_new_term = self._epoch != self._leadership.epoch
        if is_new_term:
            # The controller before may have written it since it was read.
            if not await self._try_read():
                return
            self._epoch = self._leadership.epoch
        record = self._make_record(self._seen_here() if is_new_term else {})
        if record == self._record and not self._must_write:
            return
        must_write, self._must_write = self._must_write, False
        try:
            written = await self._store.put(
                KIND, NAME, record, self._stored_version
            )
        except (_objects.ConflictError, _objects.UnavailableError) as error:
            _logs.event("version_history_not_written", error=str(error))
            # It may have been written: it is read again before the next try.
            self._epoch = 0
            self._must_write |= must_write
            return
        self._record, self._stored_version = record, written.version
        self._was_stored = True

    def _read_and_write(self) -> None:
        """Write what the stored record lacks, as after a takeover."""
        self._epoch = 0
        self._must_write = True

    def _seen_here(self) -> dict[str, dict[str, int]]:
        """Return when this process saw each version last, by service."""
        wall = self._clock.wall()
        return {
            service: {v: max(0, wall - ms) for v, ms in ages_ms.items()}
            for service, ages_ms in self._replicas.version_ages_ms().items()
        }

    def _make_record(self, seen_here: dict[str, dict[str, int]]) -> Record:
        """Return the record as it should be now.

        :param seen_here: what the known record may lack.
        """
        wall, known = self._clock.wall(), self._record
        if known is None:
            is_first = self._is_first_start and not self._was_stored
            known = Record(since=None if is_first else wall, services={})
        services: dict[str, dict[str, int | None]] = {}
        for service, seen in _merge(known["services"], seen_here, wall):
            kept = {v: at for v, at in seen.items() if wall - at < KEEP_MS}
            if kept:
                services[service] = {**kept}
        for service, present in self._replicas.versions_in_service().items():
            for version in present:
                services.setdefault(service, {})[version] = None
        return Record(since=known["since"], services=services)


def _merge(
    services: dict[str, dict[str, int | None]],
    seen_here: dict[str, dict[str, int]],
    wall: int,
) -> Iterator[tuple[str, dict[str, int]]]:
    """Yield when each service's versions were last seen, by either one.

    What was seen here counts only where it is later by more than
    ``CLOCK_SKEW_MS``: a new controller needn't write again what the one
    before wrote by its own clock.

    :param services: as in a ``Record``; None stands for ``wall``.
    """
    for service in services.keys() | seen_here.keys():
        seen = {
            version: wall if gone_at is None else gone_at
            for version, gone_at in services.get(service, {}).items()
        }
        for version, at in seen_here.get(service, {}).items():
            if version not in seen or at > seen[version] + CLOCK_SKEW_MS:
                seen[version] = at
        yield service, seen


def _decode(value: typing.Any) -> Record | None:
    """Return the record; None if there is none, or it can't be read."""
    if value is None:
        return None
    try:
        return Record(
            since=_decode_time(value["since"]),
            services={
                str(service): {
                    str(version): _decode_time(gone_at)
                    for version, gone_at in versions.items()
                }
                for service, versions in value["services"].items()
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _logs.event("version_history_unreadable", error=repr(error))
        return None


def _decode_time(value: typing.Any) -> int | None:
    """Return a time of the record.

    :raises ValueError: if it is out of range.
    """
    if value is None:
        return None
    if not 0 <= value <= MAX_TIME_MS:
        raise ValueError("a time is out of range")
    return int(value)
