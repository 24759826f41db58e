"""Leases on shards, taken by conditional updates of the object API.

There is one stored object for each shard. A lease only keeps instances from
doing the same work twice; safety never depends on it. Its holder may be
paused beyond the expiry and resume in the belief that it still holds it.
What a holder writes is protected by conditional updates of the objects
that it writes.

Clocks of different instances are never compared. An instance considers a
lease expired when its object has not changed for the lease's duration, by
the instance's own monotonic clock. Source: C. Gray and D. Cheriton,
"Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", SOSP 1989.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import hashlib
import random
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _epochs

KIND = "leases"
# Number of instances that read the lease of a shard; the others make no
# calls for it.
CANDIDATES = 3
# Random delay before a lease is taken, as a share of its duration at most,
# so that candidates don't write together. All but the first write are
# refused and cost a call each.
TAKE_JITTER = 1 / 16
# How long the holder of a lease that expired leaves it to others. Those that
# saw it unchanged for its duration may act at once, and a holder that wasn't
# heard of for so long has to wait. It is longer than others take to notice.
STAND_BACK_MS = 1500
# Writes of one renewal. All but the last meet a renewal that was sent before
# and takes effect late.
MAX_RENEWAL_WRITES = 3
# A stored lease with a longer duration is invalid.
_MAX_DURATION_MS = 600_000
# A stored lease with more renewals is invalid: they must still fit in 64 bits
# as they rise.
_MAX_RENEWALS = 2**53
# A stored lease with a higher epoch is invalid: later ones must still be valid
# fencing tokens.
_MAX_EPOCH = _epochs.MAX_TOKEN - 2**20


class Lease(typing.NamedTuple):
    """A lease as it is stored."""

    # Name of the instance that holds it; empty if it was released.
    holder: str
    # Differs between two processes of the same instance name.
    incarnation: str
    # Rises whenever the lease is taken.
    epoch: int
    duration_ms: int
    # Rises with each renewal, so that each renewal changes the object.
    # Watchers would not notice a write of equal content.
    renewals: int = 0
    # The holder's wait for former holders has ended: a later process of its
    # machine, or the next holder after a release, needn't wait for them.
    # Older builds don't write it.
    wait_over: bool = False
    # When its holder sent this write, since that boot of its machine; "" if
    # the boot isn't known.
    sent_at: int = 0
    boot_id: str = ""


class Wait(enum.Enum):
    """How long the taker of a lease leaves to what its former holder sent."""

    # Former holders stopped long ago.
    NONE = "none"
    # The former holder may have acted until it released the lease.
    GUARD = "guard"
    # A former holder may not know yet that the lease was taken.
    DURATION = "duration"


class HeldLease(typing.NamedTuple):
    """A lease that this instance holds, or proposed to hold."""

    shard: str
    lease: Lease
    # Of the stored object, for the next conditional update.
    version: int
    wait: Wait = Wait.NONE
    # Since boot, before the write that took the lease. ``wait`` begins then.
    proposed_at: int = 0


class LeaseLostError(Exception):
    """The stored lease is no longer this process's term of it."""

    def __init__(self, held: HeldLease, found: _objects.Object) -> None:
        super().__init__(held.shard)
        self.held = held
        self.found = found

    def log(self) -> None:
        """Log what was held, and what the store has in its place."""
        lease = parse(self.found)
        _logs.event(
            "lease_lost",
            deployment=self.held.shard,
            epoch=self.held.lease.epoch,
            held_version=self.held.version,
            found_version=self.found.version,
            found_epoch=lease.epoch if lease else None,
            found_holder=lease.holder if lease else None,
        )


class ObjectStore(typing.Protocol):
    """The operations that leases need; ``_objects.ObjectApi`` has them."""

    async def get(self, kind: str, name: str) -> _objects.Object:
        """Return an object; version 0 and value None if there is none."""

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        """Write the object if its version is ``if_version``."""


class _Content(typing.NamedTuple):
    """What tells two leases apart that have one version in two histories."""

    epoch: int
    renewals: int
    holder: str


class _Observation(typing.NamedTuple):
    """A version of a stored lease, and when it was first seen here."""

    version: int
    observed_at: int
    holder: str
    # None if the lease is absent or unreadable, or if its holder, of an older
    # build, reported its version alone.
    content: _Content | None
    # Whether this term was seen before it was released.
    was_held: bool = False

    def is_same_term(self, content: _Content | None) -> bool:
        """Whether the lease wasn't taken between this and another one."""
        return (
            self.content is not None
            and content is not None
            and self.content.epoch == content.epoch
        )

    def is_newer_than(self, known: _Observation) -> bool:
        """Whether another lease was seen before this one was written.

        A restored store gives versions again, but epochs rise.
        """
        if self.content is None or known.content is None:
            return self.version > known.version
        return self.content[:2] > known.content[:2]


class Leases:
    """Takes, renews and releases the leases of one instance.

    :param take_delay_ms: how long to leave a free lease to candidates with a
        shorter delay.
    :param boot_id: identifies this boot of the machine; "" if it isn't known.
    :param restart_ms: age of a lease of this machine up to which whoever took
        it since can't have acted yet.
    :param tokens: makes the epochs; without it they count up from those that
        are known, and may repeat if the store forgets a lease.
    """

    def __init__(
        self,
        objects: ObjectStore,
        holder: str,
        duration_ms: int,
        clock: _clock.Clock,
        random_source: random.Random,
        take_delay_ms: int = 0,
        tokens: _epochs.EpochSource | None = None,
        boot_id: str = "",
        restart_ms: int = 0,
    ) -> None:
        self._tokens = tokens
        self._boot_id = boot_id
        self._restart_ms = restart_ms
        self._take_delay_ms = take_delay_ms
        self._objects = objects
        self._holder = holder
        self._duration_ms = duration_ms
        self._clock = clock
        self._random = random_source
        self._incarnation = f"{random_source.getrandbits(64):016x}"
        self._observations: dict[str, _Observation] = {}
        # The highest epoch seen of each lease, and the one proposed last.
        self._highest_epochs: dict[str, int] = {}
        self._proposed_epochs: dict[str, int] = {}
        # Leases that were proposed last, while it is unknown whether they
        # were written.
        self._proposals: dict[str, HeldLease] = {}
        # Number of calls of forget_observations.
        self._forgotten = 0

    @property
    def duration_ms(self) -> int:
        return self._duration_ms

    def last_seen_holder(self, shard: str) -> str:
        """Return the holder at the last observation; '' if none is known."""
        observation = self._observations.get(shard)
        return observation.holder if observation else ""

    def forget_observations(self) -> None:
        """Note that the store goes on from other contents than before.

        That a lease is as it was observed then no longer shows that nobody
        held it in between.
        """
        self._observations.clear()
        self._proposals.clear()
        self._forgotten += 1

    def record_observation(
        self,
        shard: str,
        version: int,
        holder: str,
        epoch: int | None = None,
        renewals: int | None = None,
    ) -> None:
        """Record a lease version that its holder reported.

        It has the effect of reading the lease, without a call of the API.

        :param epoch: None if the holder didn't report it, as in older
            builds; the lease then counts as unseen when it is read.
        :param renewals: as ``epoch``.
        """
        content = None
        if epoch is not None and renewals is not None and epoch <= _MAX_EPOCH:
            content = _Content(epoch, renewals, holder)
            self._note_epoch(shard, epoch)
        now = self._clock.now()
        reported = _Observation(version, now, holder, content, bool(holder))
        known = self._observations.get(shard)
        if known is None or reported.is_newer_than(known):
            self._observations[shard] = reported

    async def read_holder(self, shard: str) -> str:
        """Return the holder as stored; '' if there is none.

        :raises _objects.UnavailableError: if the API does not answer.
        """
        current = parse(await self._objects.get(KIND, shard))
        return current.holder if current else ""

    async def try_take(self, shard: str) -> HeldLease | None:
        """Take a lease that is free or expired; return None for any other.

        A lease of this process that isn't the one it proposed last was
        written late, or comes from a restored store. Others may have held
        the lease since, so it is taken again.

        :raises _objects.UnavailableError: if the API does not answer. If
            the lease was taken and only the answer was lost, the next call
            continues what was proposed.
        """
        forgotten = self._forgotten
        found = await self._objects.get(KIND, shard)
        current = parse(found)
        proposal = self._proposals.pop(shard, None)
        if proposal is not None and self._is_continued(current, proposal):
            return await self._continue(
                proposal._replace(lease=current, version=found.version)
            )
        wait = self._find_wait(found, current)
        if wait is None:
            return None
        # Candidates may notice the expiry at the same time.
        max_delay_ms = self._duration_ms * TAKE_JITTER
        jitter_ms = self._random.uniform(0, max_delay_ms)
        await self._clock.sleep(self._take_delay_ms + jitter_ms)
        if current and current.holder == self._holder:
            wait = self._wait_after_own(shard, current)
        proposal = HeldLease(
            shard,
            Lease(
                self._holder,
                self._incarnation,
                # The version of an unreadable lease is at least the number of
                # writes, and so of epochs, before.
                self._next_epoch(shard, 0 if current else found.version),
                self._duration_ms,
                wait_over=wait is Wait.NONE,
            ),
            found.version,
            wait,
            self._clock.since_boot(),
        )
        try:
            written = await self._put(proposal, proposal.lease)
        except _objects.ConflictError:
            return None
        except _objects.UnavailableError:
            if forgotten == self._forgotten:
                self._proposals[shard] = proposal
            raise
        taken = proposal._replace(version=written.version)
        if forgotten != self._forgotten:
            # The answer to the write showed the restore.
            lease = proposal.lease._replace(wait_over=False)
            taken = taken._replace(lease=lease, wait=Wait.DURATION)
        _log_taken(taken, current)
        return taken

    def _is_continued(
        self, current: Lease | None, proposal: HeldLease
    ) -> typing.TypeGuard[Lease]:
        """Whether the stored lease is still the term that was proposed.

        Others may have held it after its duration, and a restored store
        would show it all the same.
        """
        age_ms = self._clock.since_boot() - proposal.proposed_at
        return (
            current is not None
            and self._is_same_term(current, proposal.lease)
            and age_ms < self._duration_ms
        )

    async def _continue(self, proposal: HeldLease) -> HeldLease | None:
        """Renew a lease that was written although its answer was lost.

        Returns None if another instance has taken it: what was read may be
        out of date.
        """
        try:
            held = await self.renew(proposal)
        except LeaseLostError:
            return None
        except _objects.UnavailableError:
            self._proposals[proposal.shard] = proposal
            raise
        _log_taken(held, proposal.lease)
        return held

    async def renew(
        self, held: HeldLease, wait_over: bool = False
    ) -> HeldLease:
        """Write the lease again, so that its object changes.

        :param wait_over: whether the wait of ``held`` has ended.
        :raises LeaseLostError: if another instance has taken it.
        :raises _objects.UnavailableError: if the outcome is unknown.
        """
        latest = held
        for _ in range(MAX_RENEWAL_WRITES):
            renewed = held.lease._replace(
                renewals=max(held.lease.renewals, latest.lease.renewals) + 1,
                wait_over=wait_over or latest.lease.wait_over,
            )
            try:
                written = await self._put(latest, renewed)
            except _objects.ConflictError as conflict:
                # An earlier renewal may have taken effect without an answer.
                # Others count the lease's duration from then, so it doesn't
                # stand in for this one.
                latest = self._find_latest(held, conflict)
                continue
            return held._replace(lease=renewed, version=written.version)
        raise _objects.UnavailableError("earlier renewals still take effect")

    def _find_latest(
        self, held: HeldLease, conflict: _objects.ConflictError
    ) -> HeldLease:
        """Return a lease that is held as a refused renewal found it.

        :raises LeaseLostError: if another instance has taken it.
        """
        current = parse(conflict.current)
        if current is None or not self._is_same_term(current, held.lease):
            raise LeaseLostError(held, conflict.current) from conflict
        return held._replace(lease=current, version=conflict.current.version)

    async def release(self, held: HeldLease, wait_over: bool = False) -> None:
        """Let another instance take the lease at once; log a failure.

        :param wait_over: whether the wait of ``held`` has ended, and no other
            instance can have held the lease since.
        """
        released = held.lease._replace(holder="", wait_over=wait_over)
        try:
            await self._write_released(held, released)
        except (_objects.ConflictError, _objects.UnavailableError) as error:
            _logs.event(
                "lease_not_released", shard=held.shard, error=str(error)
            )
            return
        _logs.event(
            "lease_released", deployment=held.shard, epoch=held.lease.epoch
        )

    async def release_own(self, shard: str) -> None:
        """Release a lease that this process may hold without knowing it."""
        try:
            found = await self._objects.get(KIND, shard)
        except _objects.UnavailableError as error:
            _logs.event("lease_not_released", shard=shard, error=str(error))
            return
        current = parse(found)
        if current is not None and self._is_own(current):
            await self.release(HeldLease(shard, current, found.version))

    async def _write_released(self, held: HeldLease, released: Lease) -> None:
        """Write that nobody holds the lease.

        A renewal that was given up, or whose answer was lost, may have
        changed the stored lease.

        :raises _objects.ConflictError: if another instance has taken it.
        """
        try:
            await self._put(held, released)
        except _objects.ConflictError as conflict:
            current = parse(conflict.current)
            if current is None or not self._is_same_term(current, held.lease):
                raise
            version = conflict.current.version
            await self._put(held._replace(version=version), released)

    async def _put(self, held: HeldLease, lease: Lease) -> _objects.Object:
        """Write a lease, if it is stored as it was held."""
        if self._boot_id:
            lease = lease._replace(
                sent_at=self._clock.since_boot(), boot_id=self._boot_id
            )
        return await self._objects.put(
            KIND, held.shard, lease._asdict(), held.version
        )

    def _next_epoch(self, shard: str, at_least: int) -> int:
        """Return an epoch for this process to propose, above all known."""
        highest = max(
            self._highest_epochs.get(shard, 0),
            self._proposed_epochs.get(shard, 0),
            at_least,
        )
        epoch = self._tokens.make(highest) if self._tokens else highest + 1
        self._proposed_epochs[shard] = epoch
        return epoch

    def _is_own(self, lease: Lease) -> bool:
        """Whether this process is the holder of a stored lease."""
        return (
            lease.holder == self._holder
            and lease.incarnation == self._incarnation
        )

    def _is_same_term(self, lease: Lease, held: Lease) -> bool:
        """Whether the lease was not taken again since ``held``."""
        return self._is_own(lease) and lease.epoch == held.epoch

    def _find_wait(
        self, found: _objects.Object, lease: Lease | None
    ) -> Wait | None:
        """Return how the lease may be taken; None if another one holds it.

        It is expired if its object did not change for its duration. An
        unreadable lease expires after this instance's own duration. Of an
        absent or unreadable one nothing is known about former holders.
        """
        observed_at = self._observe(found, lease)
        if found.value is None:
            return Wait.DURATION
        if lease and lease.holder == self._holder:
            seen_ms = self._clock.now() - observed_at
            if self._is_own(lease) and seen_ms < STAND_BACK_MS:
                return None
            return self._wait_after_own(found.name, lease)
        if lease and not lease.holder:
            was_held = self._observations[found.name].was_held
            return self._wait_after_release(found.name, lease, was_held)
        duration_ms = lease.duration_ms if lease else self._duration_ms
        if self._clock.now() - observed_at < duration_ms:
            return None
        return Wait.NONE if lease else Wait.DURATION

    def _observe(self, found: _objects.Object, lease: Lease | None) -> int:
        """Record the stored lease; return when it was first seen so."""
        content, holder = None, ""
        if lease is not None:
            content = _Content(lease.epoch, lease.renewals, lease.holder)
            holder = lease.holder
            self._note_epoch(found.name, lease.epoch)
        now = self._clock.now()
        known = self._observations.get(found.name)
        was_held = bool(holder) or (
            known is not None
            and known.was_held
            and known.is_same_term(content)
        )
        observation = _Observation(
            found.version, now, holder, content, was_held
        )
        if known is not None and known == observation._replace(
            observed_at=known.observed_at
        ):
            return known.observed_at
        self._observations[found.name] = observation
        return now

    def _note_epoch(self, shard: str, epoch: int) -> None:
        highest = self._highest_epochs.get(shard, 0)
        self._highest_epochs[shard] = max(highest, epoch)

    def _wait_after_own(self, shard: str, lease: Lease) -> Wait:
        """Return the wait for a lease that was held here.

        Whoever held it later may have been forgotten by a restored store, but
        waited first: for its duration, or for the guard interval if the
        process before this one released it.
        """
        age_ms = self._clock.since_boot() - lease.sent_at
        if (
            not self._is_own(lease)
            and lease.wait_over
            and lease.epoch >= self._highest_epochs.get(shard, 0)
            and lease.boot_id == self._boot_id != ""
            and 0 <= age_ms < self._restart_ms
        ):
            return Wait.NONE
        return Wait.DURATION

    def _wait_after_release(
        self, shard: str, lease: Lease, was_held: bool
    ) -> Wait:
        """Return the wait for a released lease.

        Its holder may itself have waited for others, and a restored store
        may have forgotten later holders.

        :param was_held: whether this process saw the term before the release.
        """
        is_last = lease.epoch >= self._highest_epochs.get(shard, 0)
        if lease.wait_over and was_held and is_last:
            return Wait.GUARD
        return Wait.DURATION


def _log_taken(taken: HeldLease, found: Lease | None) -> None:
    """Log that a lease was taken.

    :param found: the stored lease before; None without a valid one.
    """
    _logs.event(
        "lease_taken",
        deployment=taken.shard,
        epoch=taken.lease.epoch,
        version=taken.version,
        found_epoch=found.epoch if found else None,
        found_holder=found.holder if found else None,
        wait=taken.wait.value,
    )


def parse(found: _objects.Object) -> Lease | None:
    """Parse a stored lease; return None if it is absent or invalid."""
    if found.value is None:
        return None
    try:
        lease = Lease(
            str(found.value["holder"]),
            str(found.value["incarnation"]),
            int(found.value["epoch"]),
            int(found.value["duration_ms"]),
            int(found.value.get("renewals", 0)),
            _read_flag(found.value, "wait_over"),
            int(found.value.get("sent_at", 0)),
            str(found.value.get("boot_id", "")),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        _logs.event("lease_unreadable", shard=found.name, error=repr(error))
        return None
    if not (
        0 < lease.duration_ms <= _MAX_DURATION_MS
        and 0 <= lease.epoch <= _MAX_EPOCH
        and 0 <= lease.renewals <= _MAX_RENEWALS
    ):
        _logs.event("lease_unreadable", shard=found.name, error=str(lease))
        return None
    return lease


def _read_flag(value: dict[str, typing.Any], name: str) -> bool:
    """Return a field that is absent in leases of older builds.

    :raises TypeError: if it isn't a truth value.
    """
    flag = value.get(name, False)
    if not isinstance(flag, bool):
        raise TypeError(f"{name} is {flag!r}")
    return flag


def candidates(shard: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that contend for a shard's lease, best first.

    Rendezvous hashing distributes the shards over the instances. When an
    instance leaves, only the shards for which it was a candidate get
    another one. While instances see different members, a few more calls
    are made, but nothing becomes unsafe. Source: D. Thaler and
    C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    IEEE/ACM Transactions on Networking 1998.
    """

    def hash_of(instance: str) -> bytes:
        text = f"{shard}\0{instance}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(set(instances), key=hash_of)[:CANDIDATES]
