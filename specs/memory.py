"""Specification: the memory of one replica is never overcommitted.

Two holders share one replica. Any of them may claim the ledger at any time,
also while the other is paused with an order still to be sent, so nothing
rests on the lease. Orders stay in the network for ever once they are sent
and may be delivered any number of times, in any order, or never: this
covers orders that are lost, late, duplicated and reordered. The engine may
restart at any time. A report is a snapshot that may be old.

Two copies of size 1 contend for a capacity of 1. Steps bear the names of
the log lines of the running code. docs/design/memory.md states the bounds
and what is abstracted.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

COPIES = ("a", "b")
CAPACITY = 1
HOLDERS = (0, 1)

LOADING, RESIDENT, UNLOADING, MAY_ARRIVE = (
    "loading",
    "resident",
    "unloading",
    "may_arrive",
)
LOAD, UNLOAD = "load", "unload"


class Variant(typing.NamedTuple):
    """Which engine is met, and which mechanism is left out."""

    checks_fencing: bool = True
    # Intents in one run; the search is exhaustive up to this many.
    max_number: int = 4
    # An order is sent without an intent on record.
    no_intent: bool = False
    # The charge is not compared with the capacity.
    no_charge_check: bool = False
    # The charge is given back when the unload is sent, not observed.
    release_on_order: bool = False
    # A report that does not show the order's number confirms it.
    ignore_reported_number: bool = False
    # Engines that do not check: an unloaded copy is not kept charged.
    no_may_arrive: bool = False
    # Engines that do not check: a restart gives all charges back.
    restart_clears: bool = False
    # A paused sender sends however old its intent is.
    no_send_window: bool = False
    # The lease is trusted, and the ledger written unconditionally.
    trust_lease: bool = False
    # A write whose answer is lost is taken to have taken effect.
    unknown_is_written: bool = False
    # An engine that checks forgets its number when it restarts.
    engine_forgets: bool = False


class Entry(typing.NamedTuple):
    """A charged copy, as in ``_ledger.py``."""

    state: str
    number: int
    unload_sent: bool


class Order(typing.NamedTuple):
    """An order on its way, or about to be sent."""

    number: int
    action: str
    copy: str


class Ledger(typing.NamedTuple):
    """What the object API holds."""

    number: int
    # One for each of COPIES.
    entries: tuple[Entry | None, ...]


class Holder(typing.NamedTuple):
    """One instance that believes that it holds the shard."""

    # The ledger as it knows it, while its version is the latest; None when
    # another instance wrote since.
    ledger: Ledger | None
    # Written, and to be sent.
    order: Order | None


class State(typing.NamedTuple):
    """Everything there is."""

    ledger: Ledger
    holders: tuple[Holder, ...]
    network: frozenset[Order]
    resident: frozenset[str]
    # The highest number that the engine accepted.
    highest: int
    # A snapshot of ``resident`` and ``highest``.
    reported: frozenset[str]
    reported_number: int


Step = tuple[str, State]

_INITIAL = State(
    Ledger(0, (None,) * len(COPIES)),
    (Holder(None, None),) * len(HOLDERS),
    frozenset(),
    frozenset(),
    0,
    frozenset(),
    0,
)


def specification(variant: Variant) -> minicheck.Protocol:
    """Return the protocol of a variant, with its invariants."""
    return minicheck.Protocol(
        name="memory",
        candidate=False,
        fields=State._fields,
        initial=_INITIAL,
        transitions=lambda state: list(_Steps(variant, State(*state)).all()),
        invariants={
            "memory is not overcommitted": _within_capacity,
            "the charge covers what is resident": _charge_covers,
        },
    )


def _within_capacity(state: dict) -> bool:
    return len(state["resident"]) <= CAPACITY


def _charge_covers(state: dict) -> bool:
    entries = state["ledger"].entries
    charged = {
        copy
        for copy, entry in zip(COPIES, entries, strict=True)
        if entry is not None
    }
    return state["resident"] <= charged


class _Steps:
    """The steps that are possible in one state."""

    def __init__(self, variant: Variant, state: State) -> None:
        self._variant = variant
        self._state = state

    def all(self) -> Iterator[Step]:
        for index in HOLDERS:
            yield from self._claim(index)
            yield from self._send(index)
            if self._state.holders[index].ledger is None:
                continue
            for copy in COPIES:
                yield from self._intend_load(index, copy)
                yield from self._intend_unload(index, copy)
                yield from self._settle(index, copy)
        yield from self._engine()

    def _claim(self, index: int) -> Iterator[Step]:
        """A takeover at any time, or a new process in place of this one."""
        current = self._state.ledger
        if self._state.holders[index].ledger == current:
            return
        yield self._written("ledger_claimed", index, current, None)

    def _intend_load(self, index: int, copy: str) -> Iterator[Step]:
        known = self._known(index)
        entry = known.entries[COPIES.index(copy)]
        if known.number >= self._variant.max_number:
            return
        match entry:
            case None:
                if _charge(known) >= CAPACITY and not (
                    self._variant.no_charge_check
                ):
                    return
            case Entry(state="loading"):
                pass
            case Entry(state="may_arrive", unload_sent=False):
                pass
            case _:
                return
        number = known.number + 1
        loading = Entry(LOADING, number, False)
        yield from self._intend(
            index, known, copy, loading, Order(number, LOAD, copy)
        )

    def _intend_unload(self, index: int, copy: str) -> Iterator[Step]:
        known = self._known(index)
        entry = known.entries[COPIES.index(copy)]
        if entry is None or entry.state == MAY_ARRIVE:
            return
        if known.number >= self._variant.max_number:
            return
        number = known.number + 1
        unloading: Entry | None = Entry(UNLOADING, number, True)
        if self._variant.release_on_order:
            unloading = None
        yield from self._intend(
            index, known, copy, unloading, Order(number, UNLOAD, copy)
        )

    def _intend(
        self,
        index: int,
        known: Ledger,
        copy: str,
        entry: Entry | None,
        order: Order,
    ) -> Iterator[Step]:
        if self._state.holders[index].order is not None:
            return
        changed = _with_entry(known, copy, entry)._replace(number=order.number)
        if self._variant.no_intent and order.action == LOAD:
            changed = known._replace(number=order.number)
        yield self._written("intent_written", index, changed, order)
        # The answer was lost, and the write recognised later.
        yield self._written("late_write_recognised", index, changed, None)
        if self._variant.unknown_is_written:
            # The write did not take effect.
            holder = Holder(changed, order)
            yield "write_lost", self._with_holder(index, holder)

    def _settle(self, index: int, copy: str) -> Iterator[Step]:
        known = self._known(index)
        entry = known.entries[COPIES.index(copy)]
        seen = copy in self._state.reported
        if entry is None:
            if seen:
                adopted = Entry(RESIDENT, 0, False)
                yield self._settled("adopted", index, copy, adopted)
            return
        if self._variant.checks_fencing:
            yield from self._settle_checked(index, copy, entry, seen)
        else:
            yield from self._settle_unchecked(index, copy, entry, seen)

    def _settle_checked(
        self, index: int, copy: str, entry: Entry, seen: bool
    ) -> Iterator[Step]:
        number = self._state.reported_number
        if number < entry.number and not self._variant.ignore_reported_number:
            if entry.state == RESIDENT and not seen:
                lost = entry._replace(state=LOADING)
                yield self._settled("copy_lost", index, copy, lost)
            return
        if entry.state == LOADING and seen:
            resident = entry._replace(state=RESIDENT)
            yield self._settled("intent_retired", index, copy, resident)
        if entry.state in (RESIDENT, UNLOADING) and not seen:
            yield self._settled("charge_released", index, copy, None)

    def _settle_unchecked(
        self, index: int, copy: str, entry: Entry, seen: bool
    ) -> Iterator[Step]:
        if entry.state in (LOADING, MAY_ARRIVE) and seen:
            state = UNLOADING if entry.unload_sent else RESIDENT
            arrived = entry._replace(state=state)
            yield self._settled("intent_retired", index, copy, arrived)
        if entry.state in (RESIDENT, UNLOADING) and not seen:
            kept: Entry | None = entry._replace(state=MAY_ARRIVE)
            if self._variant.no_may_arrive:
                kept = None
            yield self._settled("charge_kept", index, copy, kept)
        if entry.state == MAY_ARRIVE and not seen:
            yield from self._bound_passes(index, copy)

    def _bound_passes(self, index: int, copy: str) -> Iterator[Step]:
        """The wait is over: what was sent has arrived or never will.

        It is longer than the send window, the bound on lateness and the lag
        of a report together, so the report is no older than the last order.
        """
        state = self._state
        if copy in state.resident:
            return
        _, released = self._settled("charge_released", index, copy, None)
        network = frozenset(
            order for order in state.network if order.copy != copy
        )
        holders = released.holders
        if not self._variant.no_send_window:
            holders = tuple(
                holder._replace(order=None)
                if holder.order and holder.order.copy == copy
                else holder
                for holder in holders
            )
        yield (
            "charge_released",
            released._replace(network=network, holders=holders),
        )

    def _send(self, index: int) -> Iterator[Step]:
        holder = self._state.holders[index]
        if holder.order is None:
            return
        sent = self._with_holder(index, holder._replace(order=None))
        yield (
            "order_sent",
            sent._replace(network=sent.network | {holder.order}),
        )

    def _engine(self) -> Iterator[Step]:
        state = self._state
        for order in state.network:
            if self._variant.checks_fencing and order.number <= state.highest:
                continue
            yield self._accept(order)
        yield (
            "reported",
            state._replace(
                reported=state.resident, reported_number=state.highest
            ),
        )
        yield self._restart()

    def _accept(self, order: Order) -> Step:
        state = self._state
        resident = state.resident - {order.copy}
        if order.action == LOAD:
            resident = state.resident | {order.copy}
        highest = state.highest
        if self._variant.checks_fencing:
            highest = order.number
        return (
            "order_accepted",
            state._replace(resident=resident, highest=highest),
        )

    def _restart(self) -> Step:
        state = self._state._replace(resident=frozenset())
        if self._variant.engine_forgets:
            state = state._replace(highest=0)
        if self._variant.restart_clears:
            cleared = state.ledger._replace(entries=(None,) * len(COPIES))
            state = state._replace(
                ledger=cleared,
                holders=tuple(
                    holder._replace(ledger=None) for holder in state.holders
                ),
                reported=frozenset(),
            )
        return "engine_restarted", state

    def _known(self, index: int) -> Ledger:
        known = self._state.holders[index].ledger
        assert known is not None
        return known

    def _settled(
        self, step: str, index: int, copy: str, entry: Entry | None
    ) -> Step:
        changed = _with_entry(self._known(index), copy, entry)
        order = self._state.holders[index].order
        return self._written(step, index, changed, order)

    def _written(
        self, step: str, index: int, ledger: Ledger, order: Order | None
    ) -> Step:
        """A conditional update: the others' versions are old after it."""
        holders = list(self._state.holders)
        if not self._variant.trust_lease:
            holders = [holder._replace(ledger=None) for holder in holders]
        holders[index] = Holder(ledger, order)
        return step, self._state._replace(
            ledger=ledger, holders=tuple(holders)
        )

    def _with_holder(self, index: int, holder: Holder) -> State:
        holders = list(self._state.holders)
        holders[index] = holder
        return self._state._replace(holders=tuple(holders))


def _with_entry(ledger: Ledger, copy: str, entry: Entry | None) -> Ledger:
    entries = list(ledger.entries)
    entries[COPIES.index(copy)] = entry
    return ledger._replace(entries=tuple(entries))


def _charge(ledger: Ledger) -> int:
    return sum(1 for entry in ledger.entries if entry is not None)
