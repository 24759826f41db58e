"""Keeps the origins of recent streams in the store.

The instances' memory is gone if all are killed at once. So the controller
writes down how streams began, in batches, as long as several software
versions of a service are or were in service: with one version alone, its
replicas can continue any stream. An instance reads the record only for a
stream whose origin no instance knows.

Each second has a slot, and slots are used again in turn, so the record has a
bounded size. Whatever a slot says of a stream stays true, however old it is.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.serving import _replicas
from geraniumlink.serving import _stream_origins

KIND = "stream-origins"
# A slot has the streams of this long; there are as many as cover the time in
# which clients resume streams.
SLOT_MS = 1000
SLOTS = 64
# Pause between two writes. Streams of the last batch are lost if all
# instances are killed.
WRITE_INTERVAL_MS = 200
# Pause after a write to which the store didn't respond.
RETRY_INTERVAL_MS = 1000
# Above this number, streams that aren't written yet are left out.
MAX_UNWRITTEN = 4096
# The record is read again after this long at the earliest.
READ_INTERVAL_MS = 2000
# A stream isn't held up longer than this by a read.
READ_TIMEOUT_MS = 400
_DIGEST_BYTES = 8


class ObjectStore(typing.Protocol):
    """Reads and writes objects, as ``platform.StoreClient`` does."""

    async def list(self, kind: str) -> _objects.Listing: ...

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object: ...


class Leadership(typing.Protocol):
    """Tells whether this instance is the controller."""

    @property
    def leader(self) -> str: ...

    @property
    def is_leader(self) -> bool: ...


class Slot(typing.TypedDict):
    """A slot in the store."""

    # Which second it is of, in SLOT_MS of wall-clock time.
    period: int
    # Service, software version, and the digests of the request ids in base64.
    origins: list[tuple[str, str, str]]


class OriginArchive:
    """Writes the record as the controller, and reads it."""

    def __init__(
        self,
        store: ObjectStore,
        replicas: _replicas.Replicas,
        leadership: Leadership,
        clock: _clock.Clock,
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._leadership = leadership
        self._clock = clock
        # By the digest of the request id: those in the slot of the present
        # period, and those that aren't written yet.
        self._period = 0
        self._origins: dict[bytes, _stream_origins.Origin] = {}
        self._unwritten: dict[bytes, _stream_origins.Origin] = {}
        # Set when there are any of these.
        self._added = anyio.Event()
        # The version of each slot in the store that this instance wrote.
        self._stored_versions: dict[str, int] = {}
        # As last read; None before.
        self._archived: dict[bytes, _stream_origins.Origin] | None = None
        self._read_at = 0
        self._reading = anyio.Lock()

    @property
    def writer(self) -> str:
        """The address of the instance that writes; "" if not known."""
        return self._leadership.leader

    def is_needed(self, origin: _stream_origins.Origin) -> bool:
        """Whether an origin isn't that of the only version known here."""
        window_ms = SLOTS * SLOT_MS
        sole = self._replicas.sole_version(origin.service, window_ms)
        return origin.software_version != sole

    def record(
        self, request_id: bytes, origin: _stream_origins.Origin
    ) -> None:
        """Have an origin written, if this is the controller."""
        if not self._leadership.is_leader:
            return
        if len(self._unwritten) < MAX_UNWRITTEN:
            self._unwritten[_digest(request_id)] = origin
            self._added.set()

    async def find(self, request_id: bytes) -> _stream_origins.Origin | None:
        """Return how a stream began; None if the record doesn't say so."""
        digest = _digest(request_id)
        async with self._reading:
            archived, now = self._archived, self._clock.now()
            if archived is None or (
                digest not in archived
                and now - self._read_at >= READ_INTERVAL_MS
            ):
                await self._read()
        return (self._archived or {}).get(digest)

    async def run(self) -> None:
        """Write what is recorded, in batches."""
        while True:
            await self._added.wait()
            self._added = anyio.Event()
            is_written = await self.write()
            if self._unwritten:
                self._added.set()
            await self._clock.sleep(
                WRITE_INTERVAL_MS if is_written else RETRY_INTERVAL_MS
            )

    async def write(self) -> bool:
        """Write what is recorded; return whether the store responded."""
        period = self._clock.wall() // SLOT_MS
        if period != self._period:
            self._period, self._origins = period, {}
        name = str(period % SLOTS)
        batch, self._unwritten = self._unwritten, {}
        self._origins |= batch
        try:
            written = await self._put_slot(name)
        except _objects.UnavailableError as error:
            # It may have been written: the next write finds a conflict then.
            self._unwritten = batch | self._unwritten
            _logs.event("stream_origins_not_written", error=str(error))
            return False
        self._stored_versions[name] = written.version
        return True

    async def _put_slot(self, name: str) -> _objects.Object:
        """Write the present slot, also if another instance wrote it."""
        version = self._stored_versions.get(name, _objects.ABSENT)
        try:
            return await self._store.put(
                KIND, name, self._make_slot(), version
            )
        except _objects.ConflictError as error:
            self._take_over(error.current)
            version = error.current.version
        try:
            return await self._store.put(
                KIND, name, self._make_slot(), version
            )
        except _objects.ConflictError as error:
            raise _objects.UnavailableError("written by others") from error

    def _take_over(self, current: _objects.Object) -> None:
        """Add what another controller wrote to the same slot."""
        period, origins = _decode_slot(current)
        if period == self._period:
            self._origins = origins | self._origins

    def _make_slot(self) -> Slot:
        digests: dict[_stream_origins.Origin, list[bytes]] = {}
        for digest, origin in self._origins.items():
            digests.setdefault(origin, []).append(digest)
        return Slot(
            period=self._period,
            origins=[
                (*origin, base64.b64encode(b"".join(found)).decode())
                for origin, found in digests.items()
            ],
        )

    async def _read(self) -> None:
        """Read all slots; the record stays as it was if that fails."""
        self._read_at = self._clock.now()
        try:
            with anyio.fail_after(READ_TIMEOUT_MS / 1000):
                listing = await self._store.list(KIND)
        except (_objects.UnavailableError, TimeoutError) as error:
            _logs.event("stream_origins_not_read", error=repr(error))
            return
        slots = [_decode_slot(item) for item in listing.objects]
        archived: dict[bytes, _stream_origins.Origin] = {}
        # A client may use a request id again: the later stream counts.
        for _, origins in sorted(slots, key=lambda slot: slot[0]):
            archived |= origins
        self._archived = archived


def _digest(request_id: bytes) -> bytes:
    return hashlib.blake2b(request_id, digest_size=_DIGEST_BYTES).digest()


def _decode_slot(
    item: _objects.Object,
) -> tuple[int, dict[bytes, _stream_origins.Origin]]:
    """Return a slot's period and origins; none of one that isn't readable."""
    origins: dict[bytes, _stream_origins.Origin] = {}
    if item.value is None:
        return 0, origins
    try:
        for service, version, text in item.value["origins"]:
            origin = _stream_origins.Origin(str(service), str(version))
            digests = base64.b64decode(text)
            for start in range(0, len(digests), _DIGEST_BYTES):
                origins[digests[start : start + _DIGEST_BYTES]] = origin
        return int(item.value["period"]), origins
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        _logs.event("stream_origins_unreadable", error=repr(error))
        return 0, {}
