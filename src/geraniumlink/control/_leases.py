"""Leases in the object API: one object a shard, taken by conditional update.

A lease only keeps several instances from doing the same work. Nothing is
safe because a lease is held: its holder may be paused past the expiry and
wake up believing that it still holds it. What a holder writes is protected
by the conditional update of the object that it writes.

No clocks are compared between instances. An observer takes a lease as
expired when the object did not change for its duration, by the observer's
own monotonic clock. Source: C. Gray and D. Cheriton, "Leases: An Efficient
Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import random
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects

KIND = "leases"
# Instances that look at the lease of one shard; the rest make no calls.
CANDIDATES = 3
# Share of the duration over which candidates spread their writes; a write
# that comes second is refused and costs one call.
TAKE_SPREAD = 1 / 16
_MAX_DURATION_MS = 600_000


class Lease(typing.NamedTuple):
    """A lease as it is stored; an empty holder means released."""

    holder: str
    # Differs between two runs of an instance of the same name.
    incarnation: str
    # Rises by one whenever the lease is taken.
    epoch: int
    duration_ms: int
    # Rises with each renewal: a write that changes nothing is no change to
    # those who watch.
    renewals: int = 0


class HeldLease(typing.NamedTuple):
    """A lease that this instance holds, and where it is stored."""

    shard: str
    lease: Lease
    version: int
    # What was stored before it was taken, where that is known.
    previous: Lease | None = None


class LeaseLostError(Exception):
    """Another instance has taken the lease."""


class ObjectStore(typing.Protocol):
    """What leases need of a store; ``_objects.ObjectApi`` has it."""

    async def get(self, kind: str, name: str) -> _objects.Object:
        """Return an object; version 0 and value None when there is none."""

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        """Write when the object is at that version."""


class _Sighting(typing.NamedTuple):
    version: int
    seen_at: int
    holder: str


class Leases:
    """Takes, renews and releases the leases of one instance."""

    def __init__(
        self,
        objects: ObjectStore,
        holder: str,
        duration_ms: int,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._objects = objects
        self._holder = holder
        self._duration_ms = duration_ms
        self._clock = clock
        self._random = random_source
        self._incarnation = f"{random_source.getrandbits(64):016x}"
        self._sightings: dict[str, _Sighting] = {}

    @property
    def duration_ms(self) -> int:
        return self._duration_ms

    def last_seen_holder(self, shard: str) -> str:
        """Return who held a lease when it was last looked at, or ''."""
        sighting = self._sightings.get(shard)
        return sighting.holder if sighting else ""

    def record_observation(
        self, shard: str, version: int, holder: str
    ) -> None:
        """Take its holder's word for a lease, in place of a look at it."""
        known = self._sightings.get(shard)
        if known is None or known.version < version:
            now = self._clock.now()
            self._sightings[shard] = _Sighting(version, now, holder)

    async def try_take(self, shard: str) -> HeldLease | None:
        """Take a lease that is free or lapsed; None when it is neither.

        :raises _objects.UnavailableError: if the API does not answer. An
            answer may be lost after the lease was taken: the next call
            recognises it by its incarnation.
        """
        found = await self._objects.get(KIND, shard)
        current = read(found)
        if current is not None and self._is_own(current):
            return await self._confirm(shard, current, found.version)
        if not self._lapsed(found, current):
            return None
        # Candidates that saw the lapse together don't write together.
        spread_ms = self._duration_ms * TAKE_SPREAD
        await self._clock.sleep(self._random.uniform(0, spread_ms))
        epoch = current.epoch + 1 if current else _first_epoch(found)
        wanted = self._lease(epoch)
        try:
            written = await self._objects.put(
                KIND, shard, wanted._asdict(), found.version
            )
        except _objects.ConflictError:
            return None
        taken = self._taken(shard, wanted, written.version)
        return taken._replace(previous=current)

    async def _confirm(
        self, shard: str, lease: Lease, version: int
    ) -> HeldLease | None:
        """Renew a lease that looks like ours; None when it isn't any more.

        What was read may be older than the writes of others.
        """
        try:
            held = await self.renew(HeldLease(shard, lease, version))
        except LeaseLostError:
            return None
        return self._taken(shard, held.lease, held.version)

    async def renew(self, held: HeldLease) -> HeldLease:
        """Write the lease again, so that observers see it change.

        :raises LeaseLostError: if another instance has taken it.
        :raises _objects.UnavailableError: if the outcome is unknown.
        """
        renewed = held.lease._replace(renewals=held.lease.renewals + 1)
        try:
            written = await self._objects.put(
                KIND, held.shard, renewed._asdict(), held.version
            )
        except _objects.ConflictError as conflict:
            current = read(conflict.current)
            if current is None or not self._is_same_term(current, held.lease):
                raise LeaseLostError(held.shard) from conflict
            # An earlier renewal took effect and its answer was lost.
            return held._replace(
                lease=current, version=conflict.current.version
            )
        return held._replace(lease=renewed, version=written.version)

    async def release(self, held: HeldLease) -> None:
        """Let another instance take the lease at once; errors are logged."""
        free = held.lease._replace(holder="")
        try:
            await self._objects.put(
                KIND, held.shard, free._asdict(), held.version
            )
        except (_objects.ConflictError, _objects.UnavailableError) as error:
            _logs.event(
                "lease_not_released", shard=held.shard, error=str(error)
            )
            return
        _logs.event(
            "lease_released", deployment=held.shard, epoch=held.lease.epoch
        )

    def _lease(self, epoch: int) -> Lease:
        return Lease(self._holder, self._incarnation, epoch, self._duration_ms)

    def _is_own(self, lease: Lease) -> bool:
        return (
            lease.holder == self._holder
            and lease.incarnation == self._incarnation
        )

    def _is_same_term(self, lease: Lease, held: Lease) -> bool:
        return self._is_own(lease) and lease.epoch == held.epoch

    def _taken(self, shard: str, lease: Lease, version: int) -> HeldLease:
        _logs.event("lease_taken", deployment=shard, epoch=lease.epoch)
        return HeldLease(shard, lease, version)

    def _lapsed(self, found: _objects.Object, lease: Lease | None) -> bool:
        """Whether nobody holds it, or it did not change for its duration."""
        now = self._clock.now()
        sighting = self._sightings.get(found.name)
        if sighting is None or sighting.version != found.version:
            holder = lease.holder if lease else ""
            sighting = _Sighting(found.version, now, holder)
            self._sightings[found.name] = sighting
        if found.value is None or (lease and not lease.holder):
            return True
        if lease and lease.holder == self._holder:
            # An earlier process of this instance held it, and has ended.
            return True
        duration_ms = lease.duration_ms if lease else self._duration_ms
        return now - sighting.seen_at >= duration_ms


def read(found: _objects.Object) -> Lease | None:
    """Return the stored lease; None when there is none that makes sense."""
    if found.value is None:
        return None
    try:
        lease = Lease(
            str(found.value["holder"]),
            str(found.value["incarnation"]),
            int(found.value["epoch"]),
            int(found.value["duration_ms"]),
            int(found.value.get("renewals", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        _logs.event("lease_unreadable", shard=found.name, error=repr(error))
        return None
    if not 0 < lease.duration_ms <= _MAX_DURATION_MS:
        _logs.event("lease_unreadable", shard=found.name, error=str(lease))
        return None
    return lease


def _first_epoch(found: _objects.Object) -> int:
    """Epochs rise also over a lease that was removed or is unreadable."""
    return found.version + 1


def candidates(shard: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that look at a shard's lease, best first.

    Rendezvous hashing spreads the shards over the instances, and an
    instance that leaves moves only the shards that it looked at. Views that
    differ for a while cost a few calls, never safety. Source: D. Thaler and
    C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    IEEE/ACM Transactions on Networking 1998.
    """

    def weight(instance: str) -> bytes:
        text = f"{shard}\0{instance}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(set(instances), key=weight)[:CANDIDATES]
