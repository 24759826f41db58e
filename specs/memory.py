"""Specification: the memory of one replica is never overcommitted.

Two instances, the holders, control one replica. Either may claim the ledger
at any time, also while the other is paused with an order still to be sent,
so no property depends on the lease. An order that was sent stays in the
network and may be delivered any number of times, in any order, or never.
This covers orders that are lost, late, duplicated or reordered. The engine
may restart at any time. A report is a snapshot and may be out of date.

Two copies of size 1 compete for a capacity of 1. Steps have the names of the
log lines of the running code. docs/design/memory.md states the bounds of the
search and what is not modelled.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

# Each copy has size 1, so that a capacity of 1 holds either but not both.
COPIES = ("a", "b")
CAPACITY = 1
HOLDERS = (0, 1)

# The states of an entry, as in ``_ledger.State``.
LOADING, RESIDENT, UNLOADING, MAY_ARRIVE = (
    "loading",
    "resident",
    "unloading",
    "may_arrive",
)
LOAD, UNLOAD = "load", "unload"


class Variant(typing.NamedTuple):
    """What the engine does, and which mechanisms are left out."""

    # The engine refuses an order whose number is not above all before it.
    checks_fencing: bool = True
    # Bounds the orders of a run; the search is exhaustive up to this many.
    max_orders: int = 4
    # A load is ordered without an entry in the ledger.
    no_intent: bool = False
    # The charge is not compared with the capacity.
    no_charge_check: bool = False
    # The charge is released when the unload is ordered, not when a report
    # shows that the copy is gone.
    release_on_order: bool = False
    # A report older than the order, by its number, may confirm it.
    ignore_reported_number: bool = False
    # Without fencing: the charge of a copy that is gone is released at once,
    # although a late order may load it again.
    no_may_arrive: bool = False
    # Without fencing: an engine restart releases all charges.
    restart_clears: bool = False
    # An order is sent however old its intent is.
    no_send_window: bool = False
    # The ledger is written unconditionally, trusting the lease.
    trust_lease: bool = False
    # A write whose answer is lost is assumed to have taken effect.
    unknown_is_written: bool = False
    # With fencing: the engine forgets its highest number at a restart.
    engine_forgets: bool = False


class Entry(typing.NamedTuple):
    """A copy whose memory is charged, as in ``_ledger.Entry``."""

    state: str
    # Fencing number of the latest order for the copy; 0 if there is none.
    number: int
    # An unload was ordered since the entry was added; it may arrive late.
    unload_sent: bool


class Order(typing.NamedTuple):
    """An order on its way, or about to be sent."""

    # Fencing number.
    number: int
    # LOAD or UNLOAD.
    action: str
    copy: str


class Ledger(typing.NamedTuple):
    """The ledger of the replica, as the object API stores it."""

    # The highest number that was given to an order.
    number: int
    # One for each of COPIES.
    entries: tuple[Entry | None, ...]


class Holder(typing.NamedTuple):
    """An instance that believes that it holds the lease of the shard."""

    # The ledger as this instance knows it; None if another one has written it
    # since, so that a conditional update would fail.
    ledger: Ledger | None
    # An order whose intent is written and which is not yet sent.
    order: Order | None


class State(typing.NamedTuple):
    """The state of the ledger, the holders, the network and the engine."""

    ledger: Ledger
    holders: tuple[Holder, ...]
    # Orders that were sent and may still be delivered, also repeatedly.
    network: frozenset[Order]
    # Copies in the engine's memory.
    resident: frozenset[str]
    # The highest number that the engine accepted.
    highest: int
    # The latest report: ``resident`` and ``highest`` when it was made.
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
    """Return the protocol of a variant, with the invariants to check."""
    return minicheck.Protocol(
        name="memory",
        candidate=False,
        fields=State._fields,
        initial=_INITIAL,
        transitions=lambda state: list(
            _StepGenerator(variant, State(*state)).possible_steps()
        ),
        invariants={
            "memory is not overcommitted": _within_capacity,
            "the charge covers what is resident": _charge_covers_resident,
        },
    )


def _within_capacity(state: dict) -> bool:
    """Return whether the resident copies fit into memory."""
    return len(state["resident"]) <= CAPACITY


def _charge_covers_resident(state: dict) -> bool:
    """Return whether each resident copy has an entry in the ledger."""
    entries = state["ledger"].entries
    charged = {
        copy
        for copy, entry in zip(COPIES, entries, strict=True)
        if entry is not None
    }
    return state["resident"] <= charged


class _StepGenerator:
    """Generates the steps that are possible in one state."""

    def __init__(self, variant: Variant, state: State) -> None:
        self._variant = variant
        self._state = state

    def possible_steps(self) -> Iterator[Step]:
        """Yield the steps of the holders, the network and the engine."""
        for holder_index in HOLDERS:
            yield from self._claim_ledger(holder_index)
            yield from self._send_order(holder_index)
            if self._state.holders[holder_index].ledger is None:
                continue
            for copy in COPIES:
                yield from self._intend_load(holder_index, copy)
                yield from self._intend_unload(holder_index, copy)
                yield from self._apply_report(holder_index, copy)
        yield from self._engine_steps()

    def _claim_ledger(self, holder_index: int) -> Iterator[Step]:
        """Claim the ledger, after a takeover or a restart of the instance."""
        current = self._state.ledger
        if self._state.holders[holder_index].ledger == current:
            return
        yield self._ledger_written(
            "ledger_claimed", holder_index, current, None
        )

    def _intend_load(self, holder_index: int, copy: str) -> Iterator[Step]:
        ledger = self._known_ledger(holder_index)
        entry = ledger.entries[COPIES.index(copy)]
        if ledger.number >= self._variant.max_orders:
            return
        match entry:
            case None:
                if _total_charge(ledger) >= CAPACITY and not (
                    self._variant.no_charge_check
                ):
                    return
            case Entry(state="loading"):
                pass
            case Entry(state="may_arrive", unload_sent=False):
                pass
            case _:
                return
        number = ledger.number + 1
        loading = Entry(LOADING, number, False)
        yield from self._intend(
            holder_index, ledger, copy, loading, Order(number, LOAD, copy)
        )

    def _intend_unload(self, holder_index: int, copy: str) -> Iterator[Step]:
        ledger = self._known_ledger(holder_index)
        entry = ledger.entries[COPIES.index(copy)]
        if entry is None or entry.state == MAY_ARRIVE:
            return
        if ledger.number >= self._variant.max_orders:
            return
        number = ledger.number + 1
        unloading: Entry | None = Entry(UNLOADING, number, True)
        if self._variant.release_on_order:
            unloading = None
        yield from self._intend(
            holder_index, ledger, copy, unloading, Order(number, UNLOAD, copy)
        )

    def _intend(
        self,
        holder_index: int,
        ledger: Ledger,
        copy: str,
        entry: Entry | None,
        order: Order,
    ) -> Iterator[Step]:
        """Write an intent to the ledger, for an order to be sent next."""
        if self._state.holders[holder_index].order is not None:
            return
        changed = _with_entry(ledger, copy, entry)._replace(
            number=order.number
        )
        if self._variant.no_intent and order.action == LOAD:
            changed = ledger._replace(number=order.number)
        yield self._ledger_written(
            "intent_written", holder_index, changed, order
        )
        # The answer was lost and the write is recognised later: the order is
        # not sent.
        yield self._ledger_written(
            "late_write_recognised", holder_index, changed, None
        )
        if self._variant.unknown_is_written:
            # The write did not take effect.
            holder = Holder(changed, order)
            yield "write_lost", self._with_holder(holder_index, holder)

    def _apply_report(self, holder_index: int, copy: str) -> Iterator[Step]:
        """Update the entry of a copy from the latest report."""
        ledger = self._known_ledger(holder_index)
        entry = ledger.entries[COPIES.index(copy)]
        is_reported = copy in self._state.reported
        if entry is None:
            if is_reported:
                adopted = Entry(RESIDENT, 0, False)
                yield self._entry_written(
                    "adopted", holder_index, copy, adopted
                )
            return
        if self._variant.checks_fencing:
            yield from self._apply_fenced_report(
                holder_index, copy, entry, is_reported
            )
        else:
            yield from self._apply_unfenced_report(
                holder_index, copy, entry, is_reported
            )

    def _apply_fenced_report(
        self, holder_index: int, copy: str, entry: Entry, is_reported: bool
    ) -> Iterator[Step]:
        """Update an entry if the engine checks fencing numbers.

        A report that is older than the latest order for the copy confirms
        nothing, but shows that a resident copy is lost.
        """
        number = self._state.reported_number
        if number < entry.number and not self._variant.ignore_reported_number:
            if entry.state == RESIDENT and not is_reported:
                lost = entry._replace(state=LOADING)
                yield self._entry_written(
                    "copy_lost", holder_index, copy, lost
                )
            return
        if entry.state == LOADING and is_reported:
            resident = entry._replace(state=RESIDENT)
            yield self._entry_written(
                "intent_retired", holder_index, copy, resident
            )
        if entry.state in (RESIDENT, UNLOADING) and not is_reported:
            yield self._entry_written(
                "charge_released", holder_index, copy, None
            )

    def _apply_unfenced_report(
        self, holder_index: int, copy: str, entry: Entry, is_reported: bool
    ) -> Iterator[Step]:
        """Update an entry if the engine does not check fencing numbers.

        The charge of a copy that is gone is kept, as a late order may still
        load it.
        """
        if entry.state in (LOADING, MAY_ARRIVE) and is_reported:
            state = UNLOADING if entry.unload_sent else RESIDENT
            arrived = entry._replace(state=state)
            yield self._entry_written(
                "intent_retired", holder_index, copy, arrived
            )
        if entry.state in (RESIDENT, UNLOADING) and not is_reported:
            kept: Entry | None = entry._replace(state=MAY_ARRIVE)
            if self._variant.no_may_arrive:
                kept = None
            yield self._entry_written("charge_kept", holder_index, copy, kept)
        if entry.state == MAY_ARRIVE and not is_reported:
            yield from self._release_after_wait(holder_index, copy)

    def _release_after_wait(
        self, holder_index: int, copy: str
    ) -> Iterator[Step]:
        """Release a charge after the wait for late orders.

        The wait is longer than the send window, the bound on an order's
        lateness and the delay of a report together. After it, no order for
        the copy can be sent or arrive, and the report is no older than the
        last order.
        """
        state = self._state
        if copy in state.resident:
            return
        _, released = self._entry_written(
            "charge_released", holder_index, copy, None
        )
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

    def _send_order(self, holder_index: int) -> Iterator[Step]:
        holder = self._state.holders[holder_index]
        if holder.order is None:
            return
        sent = self._with_holder(holder_index, holder._replace(order=None))
        yield (
            "order_sent",
            sent._replace(network=sent.network | {holder.order}),
        )

    def _engine_steps(self) -> Iterator[Step]:
        state = self._state
        for order in state.network:
            if self._variant.checks_fencing and order.number <= state.highest:
                continue
            yield self._accept_order(order)
        yield (
            "reported",
            state._replace(
                reported=state.resident, reported_number=state.highest
            ),
        )
        yield self._restart_engine()

    def _accept_order(self, order: Order) -> Step:
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

    def _restart_engine(self) -> Step:
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

    def _known_ledger(self, holder_index: int) -> Ledger:
        ledger = self._state.holders[holder_index].ledger
        assert ledger is not None
        return ledger

    def _entry_written(
        self, step: str, holder_index: int, copy: str, entry: Entry | None
    ) -> Step:
        changed = _with_entry(self._known_ledger(holder_index), copy, entry)
        order = self._state.holders[holder_index].order
        return self._ledger_written(step, holder_index, changed, order)

    def _ledger_written(
        self, step: str, holder_index: int, ledger: Ledger, order: Order | None
    ) -> Step:
        """Write the ledger; the other holder's version is stale after it."""
        holders = list(self._state.holders)
        if not self._variant.trust_lease:
            holders = [holder._replace(ledger=None) for holder in holders]
        holders[holder_index] = Holder(ledger, order)
        return step, self._state._replace(
            ledger=ledger, holders=tuple(holders)
        )

    def _with_holder(self, holder_index: int, holder: Holder) -> State:
        holders = list(self._state.holders)
        holders[holder_index] = holder
        return self._state._replace(holders=tuple(holders))


def _with_entry(ledger: Ledger, copy: str, entry: Entry | None) -> Ledger:
    entries = list(ledger.entries)
    entries[COPIES.index(copy)] = entry
    return ledger._replace(entries=tuple(entries))


def _total_charge(ledger: Ledger) -> int:
    return sum(1 for entry in ledger.entries if entry is not None)
