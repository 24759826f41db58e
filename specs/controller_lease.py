"""Specification: two controllers' orders lie apart, and their tokens rise.

The rules aren't written again here: each step loads a process's memory into
``Leases`` and ``Leadership``, runs one round of theirs against a store in
memory, and stores the memory in the state. A machine that is frozen, or cut
off from the store, takes no step for a while, which every interleaving
allows. A process that may order is taken to order all the time, and its last
order to arrive as late as it can.

Times are relative to the present, and versions, epochs and counts of renewals
are numbered by rank, so that the search meets equal states again. All clocks
run at one speed, and times of day rise from token to token. A round takes no
time, but its write may be carried out later, and its answer be lost.
"""

from __future__ import annotations

from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Iterator
import random
import typing

import minicheck

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.control import _epochs
from geraniumlink.control import _leases
from geraniumlink import platform
from geraniumlink.residency import _leadership

# Minimum time between the orders of two holders. It is short, so that there
# are few ticks in the lease's duration.
GAP_MS = 300
DURATION_MS = (
    _leadership.ORDERING_WINDOW_MS + _leadership.GUARD_MARGIN_MS + GAP_MS
)
# Divides the ordering window, the lease's duration and the guard interval.
TICK_MS = 600
PROPERTY = "orders lie apart, and tokens rise"
# The present time in each state.
_NOW_MS = 1_000_000
# Every wait is over by then.
_LONG_AGO_MS = _NOW_MS - DURATION_MS


class Stored(typing.NamedTuple):
    """The stored lease; version 0 and None if there is none."""

    version: int = 0
    lease: _leases.Lease | None = None


class Memory(typing.NamedTuple):
    """What a process knows of the lease."""

    # None if it has neither read it nor heard of it.
    observation: _leases._Observation | None = None
    highest_epoch: int = 0
    proposed_epoch: int = 0
    proposal: _leases.HeldLease | None = None
    held: _leases.HeldLease | None = None
    renewed_at: int = _LONG_AGO_MS
    may_order_from: int = _LONG_AGO_MS


class Machine(typing.NamedTuple):
    """The present process of a machine, and the orders of all of them."""

    memory: Memory = Memory()
    # Number of the process; 0 after its machine was killed for good.
    process: int = 1
    # The store was restored after the observation that the process has.
    missed_restore: bool = False
    # The last arrival of an order, if it may be too close to others' yet.
    arrived_at: int = _LONG_AGO_MS


class DelayedWrite(typing.NamedTuple):
    """A write without an answer, which the store may still carry out."""

    lease: _leases.Lease
    # What the writer takes to be stored.
    known: Stored
    sent_at: int


class Bounds(typing.NamedTuple):
    """The faults of a run; each number says how often one happens."""

    machines: int = 2
    restores: int = 1
    kills: int = 0
    releases: int = 0
    lost_answers: int = 0
    delayed_writes: int = 0
    old_reads: int = 0
    reports: int = 0
    # How late a delayed write may be carried out.
    max_delay_ms: int = TICK_MS
    # A process may take the lease without a wait of its duration although
    # the store was restored after the process's last observation.
    take_unaware: bool = False
    # A conditional write passes if the store has given the version to another
    # lease since a restore.
    overwrite_unaware: bool = False


class State(typing.NamedTuple):
    """The store, the machines, and how many faults may still happen."""

    stored: Stored
    # What was stored before the last write or restore.
    previous: Stored
    # The copy that a restore brings back.
    copy: Stored
    delayed: DelayedWrite | None
    machines: tuple[Machine, ...]
    highest_ordered: int
    # How the orders broke the rule; "" if they didn't.
    broken: str
    left: Bounds


Step = tuple[str, State]
# The first machine holds the lease, its wait is over, and the second machine
# has read it.
HELD = (
    "round(0)",
    "tick",
    "tick",
    "round(0)",
    "tick",
    "round(0)",
    "round(1)",
)


class _Clock(_clock.Clock):
    """Stands still at the present of the state."""

    def __init__(self, wall_ms: int) -> None:
        self.time = _NOW_MS
        self._wall_ms = wall_ms

    def now(self) -> int:
        return self.time

    def since_boot(self) -> int:
        return self.time

    def wall(self) -> int:
        return self._wall_ms

    async def sleep(self, milliseconds: float) -> None:
        """Return at once: another interleaving has the delay."""


class _Random(random.Random):
    """Gives each process its number."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._number = number

    def getrandbits(self, k: int, /) -> int:
        return self._number

    def uniform(self, a: float, b: float) -> float:
        return a


class _Store:
    """Conditional updates of the stored lease, with one fault at most."""

    def __init__(
        self,
        state: State,
        fault: str = "",
        held: _leases.HeldLease | None = None,
    ) -> None:
        self.state = state
        self.has_failed = not fault
        self._fault = fault
        # What the writer takes to be stored.
        self._known = Stored(held.version, held.lease) if held else Stored()

    async def get(self, kind: str, name: str) -> _objects.Object:
        found = self.state.stored
        if self._fault == "old_read":
            self.has_failed = found != self.state.previous
            found = self.state.previous
        self._known = found
        return _as_object(found)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        lease = _leases.Lease(**value)
        if self._fault == "delayed_write" and not self.has_failed:
            self.has_failed = True
            write = DelayedWrite(lease, self._known, _NOW_MS)
            self.state = self.state._replace(delayed=write)
            raise _objects.UnavailableError("delayed")
        assert if_version == self._known.version
        if not _is_current(self.state, self._known):
            self._known = self.state.stored
            raise _objects.ConflictError(_as_object(self._known))
        self.state = _with_stored(self.state, Stored(if_version + 1, lease))
        if self._fault == "lost_answer" and not self.has_failed:
            self.has_failed = True
            raise _objects.UnavailableError("lost")
        return _as_object(self.state.stored)


def _is_current(state: State, known: Stored) -> bool:
    """Whether a write passes whose writer takes a lease to be stored."""
    if state.left.overwrite_unaware:
        return state.stored.version == known.version
    return state.stored == known


def _as_object(stored: Stored) -> _objects.Object:
    value = stored.lease._asdict() if stored.lease else None
    return _objects.Object(
        _leases.KIND, _leadership.SHARD, stored.version, value
    )


def _with_stored(state: State, stored: Stored) -> State:
    return state._replace(stored=stored, previous=state.stored)


class Model:
    """The steps that are possible in a state.

    The search ends with the first orders that break the rule.

    :param start: the steps before the search begins, as ``HELD``.
    :param leases: the class of the leases, for mutants.
    :param leadership: as ``leases``.
    """

    def __init__(
        self,
        bounds: Bounds,
        start: Iterable[str] = (),
        leases: type[_leases.Leases] = _leases.Leases,
        leadership: type[_leadership.Leadership] = _leadership.Leadership,
    ) -> None:
        self._bounds = bounds
        self._start = start
        self._is_broken = False
        self._leases = leases
        self._leadership = leadership

    def protocol(self) -> minicheck.Protocol:
        """Return the model for ``minicheck.check_safety``."""
        initial = State(
            stored=Stored(),
            previous=Stored(),
            copy=Stored(),
            delayed=None,
            machines=(Machine(),) * self._bounds.machines,
            highest_ordered=0,
            broken="",
            left=self._bounds,
        )
        for label in self._start:
            initial = dict(self._successors(initial))[label]
        self._is_broken = False
        return minicheck.Protocol(
            name="controller_lease",
            candidate=True,
            fields=State._fields,
            initial=initial,
            transitions=lambda state: list(self._successors(state)),
            invariants={PROPERTY: lambda state: not state["broken"]},
        )

    def _successors(self, state: State) -> Iterator[Step]:
        if self._is_broken:
            return
        for label, after in self._steps(state):
            if after != state:
                found = _normalise(self._with_orders(after))
                self._is_broken |= bool(found.broken)
                yield label, found

    def _steps(self, state: State) -> Iterator[Step]:
        yield "tick", self._tick(state)
        yield from self._store_steps(state)
        for index, machine in enumerate(state.machines):
            yield from self._rounds(state, index)
            if machine.memory.held is not None:
                for left in _spend(state, "releases"):
                    yield f"release({index})", self._release(left, index)
                for left in _spend(state, "reports"):
                    yield from self._report(left, index)
            if machine.memory != Memory():
                for left in _spend(state, "kills"):
                    started = machine._replace(
                        memory=Memory(),
                        process=machine.process + 1,
                        missed_restore=False,
                    )
                    yield f"restart({index})", _with(left, index, started)

    def _store_steps(self, state: State) -> Iterator[Step]:
        """Copy or restore the store, or carry a delayed write out."""
        if state.left.restores:
            yield "copy", state._replace(copy=state.stored)
        for left in _spend(state, "restores"):
            machines = tuple(
                machine._replace(
                    missed_restore=machine.memory.observation is not None
                )
                for machine in state.machines
            )
            unaware = left._replace(machines=machines)
            yield "restore", _with_stored(unaware, state.copy)
        write = state.delayed
        if write is not None:
            after = state._replace(delayed=None)
            if _is_current(state, write.known):
                stored = Stored(write.known.version + 1, write.lease)
                after = _with_stored(after, stored)
            yield "delayed_write_ends", after

    def _rounds(self, state: State, index: int) -> Iterator[Step]:
        """Renew the lease or try to take it, with and without a fault."""
        yield from self._round(state, index, "")
        for left in _spend(state, "lost_answers"):
            yield from self._round(left, index, "lost_answer")
        for left in _spend(state, "old_reads"):
            yield from self._round(left, index, "old_read")
        if state.delayed is None:
            for left in _spend(state, "delayed_writes"):
                yield from self._round(left, index, "delayed_write")

    def _round(self, state: State, index: int, fault: str) -> Iterator[Step]:
        machine = state.machines[index]
        store = _Store(state, fault, machine.memory.held)
        leadership = self._load(state, index, store)
        _run(leadership._renew_or_acquire())
        memory = _dump(leadership)
        if not store.has_failed:
            return
        found = state.previous if fault == "old_read" else state.stored
        observed = machine.memory.observation
        missed = machine.missed_restore and (
            observed == memory.observation
            and observed is not None
            and observed.content == _content(found.lease)
        )
        wait = _new_wait(machine.memory, memory)
        if not self._bounds.take_unaware and (
            (wait is _leases.Wait.NONE and missed)
            or (wait is _leases.Wait.GUARD and machine.missed_restore)
        ):
            return
        after = machine._replace(memory=memory, missed_restore=missed)
        label = f"{fault or 'round'}({index})"
        yield label, _with(store.state, index, after)

    def _release(self, state: State, index: int) -> State:
        machine = state.machines[index]
        store = _Store(state, held=machine.memory.held)
        leadership = self._load(state, index, store)
        _run(leadership._yield())
        return _with(
            store.state, index, machine._replace(memory=_dump(leadership))
        )

    def _report(self, state: State, index: int) -> Iterator[Step]:
        """The holder tells another process of its last renewal."""
        sender = self._load(state, index, _Store(state))
        for other, machine in enumerate(state.machines):
            if other == index or machine.memory.held is not None:
                continue
            receiver = self._load(state, other, _Store(state))
            receiver._leader = sender.leader
            receiver.record_leader_renewal(
                sender.lease_version, sender.epoch, sender.lease_renewals
            )
            after = machine._replace(memory=_dump(receiver))
            yield f"report({index},{other})", _with(state, other, after)

    def _tick(self, state: State) -> State:
        state = self._with_orders(state, TICK_MS - 1)
        write = state.delayed
        if write is not None:
            sent_at = write.sent_at - TICK_MS
            write = write._replace(sent_at=sent_at)
            if _NOW_MS - sent_at > self._bounds.max_delay_ms:
                write = None
        return state._replace(
            delayed=write,
            machines=tuple(
                machine._replace(
                    memory=_aged(machine.memory),
                    arrived_at=_arrival_one_tick_later(machine.arrived_at),
                )
                for machine in state.machines
            ),
        )

    def _with_orders(self, state: State, later_ms: int = 0) -> State:
        """Let each process order that may, so many ms from now."""
        for index, machine in enumerate(state.machines):
            if machine.memory.held is None:
                continue
            leadership = self._load(state, index, _Store(state), later_ms)
            if leadership.may_order():
                time_ms = _NOW_MS + later_ms
                state = _with_order(state, index, leadership.epoch, time_ms)
        return state

    def _load(
        self, state: State, index: int, store: _Store, later_ms: int = 0
    ) -> _leadership.Leadership:
        """Return the present process of a machine."""
        memory, process = state.machines[index][:2]
        clock = _Clock((_highest_epoch(state) >> _epochs.PROCESS_BITS) + 1)
        clock.time += later_ms
        random_source = _Random(index + 1 + len(state.machines) * process)
        leases = self._leases(
            store,
            f"m{index}",
            DURATION_MS,
            clock,
            random_source,
            tokens=_epochs.EpochSource(clock, random_source),
        )
        shard = _leadership.SHARD
        if memory.observation is not None:
            leases._observations[shard] = memory.observation
        if memory.proposal is not None:
            leases._proposals[shard] = memory.proposal
        leases._highest_epochs[shard] = memory.highest_epoch
        leases._proposed_epochs[shard] = memory.proposed_epoch
        leadership = self._leadership(leases, GAP_MS, clock)
        leadership._held = memory.held
        leadership._renewed_at = memory.renewed_at
        leadership._may_order_from = memory.may_order_from
        return leadership


def _run(step: Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a coroutine that never waits."""
    try:
        step.send(None)
    except StopIteration:
        return
    raise AssertionError("the step waited")


def _dump(leadership: _leadership.Leadership) -> Memory:
    leases = leadership._leases
    shard = _leadership.SHARD
    return Memory(
        observation=leases._observations.get(shard),
        highest_epoch=leases._highest_epochs.get(shard, 0),
        proposed_epoch=leases._proposed_epochs.get(shard, 0),
        proposal=leases._proposals.get(shard),
        held=leadership._held,
        renewed_at=leadership._renewed_at,
        may_order_from=leadership._may_order_from,
    )


def _spend(state: State, fault: str) -> Iterator[State]:
    """Yield the state after one of the faults, if one is left."""
    count = getattr(state.left, fault)
    if count:
        yield state._replace(left=state.left._replace(**{fault: count - 1}))


def _with(state: State, index: int, machine: Machine) -> State:
    machines = list(state.machines)
    machines[index] = machine
    return state._replace(machines=tuple(machines))


def _with_order(state: State, index: int, token: int, time_ms: int) -> State:
    others = (
        other.arrived_at
        for place, other in enumerate(state.machines)
        if place != index
    )
    if time_ms - max(others, default=_LONG_AGO_MS) < GAP_MS:
        return state._replace(broken="gap")
    if token < state.highest_ordered:
        return state._replace(broken="token")
    machine = state.machines[index]._replace(
        arrived_at=time_ms + platform.ORDER_TIMEOUT_MS
    )
    return _with(state, index, machine)._replace(highest_ordered=token)


def _content(lease: _leases.Lease | None) -> _leases._Content | None:
    if lease is None:
        return None
    return _leases._Content(lease.epoch, lease.renewals, lease.holder)


def _new_wait(before: Memory, after: Memory) -> _leases.Wait | None:
    """Return the wait of a lease that a round proposed; None without one."""
    taken = after.held or after.proposal
    if before.held is not None or taken is None or taken == before.proposal:
        return None
    return taken.wait


def _earlier(time_ms: int) -> int:
    """Return a time as seen one tick later."""
    return max(time_ms - TICK_MS, _LONG_AGO_MS)


def _arrival_one_tick_later(arrived_at: int) -> int:
    """Return an arrival as ``_earlier`` does, if it may still be too close."""
    arrived_at -= TICK_MS
    return arrived_at if _NOW_MS - arrived_at < GAP_MS else _LONG_AGO_MS


def _aged(memory: Memory) -> Memory:
    observation, proposal = memory.observation, memory.proposal
    if observation is not None:
        observed_at = _earlier(observation.observed_at)
        observation = observation._replace(observed_at=observed_at)
    if proposal is not None:
        proposed_at = _earlier(proposal.proposed_at)
        proposal = proposal._replace(proposed_at=proposed_at)
    return memory._replace(
        observation=observation,
        proposal=proposal,
        renewed_at=_earlier(memory.renewed_at),
        may_order_from=_earlier(memory.may_order_from),
    )


class _Numbers(typing.NamedTuple):
    """The versions, and the epochs with their renewals, in a state."""

    versions: set[int]
    epochs: set[int]
    renewals: set[tuple[int, int]]

    def add_stored(self, stored: Stored) -> None:
        self.versions.add(stored.version)
        if stored.lease is not None:
            self.add_lease(stored.lease)

    def add_lease(self, lease: _leases.Lease) -> None:
        self.epochs.add(lease.epoch)
        self.renewals.add((lease.epoch, lease.renewals))

    def add_memory(self, memory: Memory) -> None:
        self.epochs.update((memory.highest_epoch, memory.proposed_epoch))
        for held in (memory.held, memory.proposal):
            if held is not None:
                self.versions.add(held.version)
                self.add_lease(held.lease)
        observation = memory.observation
        if observation is not None:
            self.versions.add(observation.version)
            if observation.content is not None:
                self.epochs.add(observation.content.epoch)
                self.renewals.add(observation.content[:2])


def _collect(state: State) -> _Numbers:
    numbers = _Numbers({0}, {0, state.highest_ordered}, set())
    numbers.add_stored(state.stored)
    # The others are of no use any more.
    if state.left.old_reads:
        numbers.add_stored(state.previous)
    if state.left.restores:
        numbers.add_stored(state.copy)
    if state.delayed is not None:
        numbers.add_stored(state.delayed.known)
        numbers.add_lease(state.delayed.lease)
    for machine in state.machines:
        numbers.add_memory(machine.memory)
    return numbers


def _highest_epoch(state: State) -> int:
    return max(_collect(state).epochs)


def _rank(numbers: Iterable[int], unit: int = 1) -> dict[int, int]:
    ordered = sorted(numbers)
    return {number: rank * unit for rank, number in enumerate(ordered)}


class _Ranks:
    """Numbers versions, epochs and counts of renewals by rank."""

    def __init__(self, numbers: _Numbers) -> None:
        self.versions = _rank(numbers.versions)
        # The lowest bits of an epoch are those of its process.
        self.epochs = _rank(numbers.epochs, 1 << _epochs.PROCESS_BITS)
        by_epoch: dict[int, set[int]] = {}
        for epoch, count in numbers.renewals:
            by_epoch.setdefault(epoch, {0}).add(count)
        self.renewals = {
            epoch: _rank(counts) for epoch, counts in by_epoch.items()
        }

    def lease(self, old: _leases.Lease) -> _leases.Lease:
        return old._replace(
            epoch=self.epochs[old.epoch],
            renewals=self.renewals[old.epoch][old.renewals],
        )

    def stored(self, old: Stored) -> Stored:
        lease = self.lease(old.lease) if old.lease else None
        return Stored(self.versions[old.version], lease)

    def held(self, old: _leases.HeldLease) -> _leases.HeldLease:
        return old._replace(
            lease=self.lease(old.lease), version=self.versions[old.version]
        )

    def delayed(self, old: DelayedWrite) -> DelayedWrite:
        return old._replace(
            lease=self.lease(old.lease), known=self.stored(old.known)
        )

    def observation(self, old: _leases._Observation) -> _leases._Observation:
        content = old.content
        if content is not None:
            content = content._replace(
                epoch=self.epochs[content.epoch],
                renewals=self.renewals[content.epoch][content.renewals],
            )
        version = self.versions[old.version]
        return old._replace(version=version, content=content)

    def memory(self, old: Memory) -> Memory:
        after = old._replace(
            observation=old.observation and self.observation(old.observation),
            highest_epoch=self.epochs[old.highest_epoch],
            proposed_epoch=self.epochs[old.proposed_epoch],
            proposal=old.proposal and self.held(old.proposal),
        )
        # Values that are written before they are read again are left out.
        if old.held is None:
            return after._replace(
                renewed_at=_LONG_AGO_MS, may_order_from=_LONG_AGO_MS
            )
        held = self.held(old.held)._replace(
            wait=_leases.Wait.NONE, proposed_at=_LONG_AGO_MS
        )
        return after._replace(held=held)


def _normalise(state: State) -> State:
    """Return the state without differences that have no effect."""
    ranks = _Ranks(_collect(state))
    previous = state.previous if state.left.old_reads else Stored()
    copy = state.copy if state.left.restores else Stored()
    machines = (
        machine._replace(
            memory=ranks.memory(machine.memory),
            missed_restore=machine.missed_restore
            and machine.memory.observation is not None,
        )
        for machine in state.machines
    )
    return state._replace(
        stored=ranks.stored(state.stored),
        previous=ranks.stored(previous),
        copy=ranks.stored(copy),
        delayed=state.delayed and ranks.delayed(state.delayed),
        machines=tuple(machines),
        highest_ordered=ranks.epochs[state.highest_ordered],
    )
