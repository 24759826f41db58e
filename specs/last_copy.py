"""Specification: the last resident copy of a model is never unloaded.

Two instances, the holders, control two replicas, with a ledger each, and one
model. Unloading it on one replica depends on the ledger of the other, and no
conditional update covers both ledgers. Therefore a holder counts a copy only
on a replica whose ledger it has claimed under its epoch. A claim is a write,
and is refused under an older epoch. A replica with a write of unknown outcome
does not count. A takeover may happen at any time; the new holder then knows
nothing of any ledger.

Orders behave as in ``memory.py``. Engines do not crash in this model: no order
of steps prevents the crash of the only other copy between its confirmation and
the unload. The model is loaded again after such a crash.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

REPLICAS = (0, 1)
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
    """What the engines do, and which mechanisms are left out."""

    # Engines refuse an order whose number is not above all before it.
    checks_fencing: bool = True
    # Bounds the orders for each replica; the search is exhaustive up to this
    # many.
    max_orders: int = 2
    # Bounds the takeovers, including the first time that the lease is taken.
    max_epoch: int = 3
    # A new holder reads the ledgers, but does not claim them by a write.
    no_claim: bool = False
    # A ledger may also be claimed under an older epoch than it has.
    no_epoch: bool = False
    # A write of unknown outcome is assumed to have failed.
    unknown_is_lost: bool = False
    # The other copy counts as soon as its load is ordered.
    count_loading: bool = False
    # The other copy is not checked.
    no_other_copy: bool = False
    # A copy may be loaded again while an earlier unload may still arrive.
    reload_early: bool = False


class Entry(typing.NamedTuple):
    """The entry of the model in a ledger, as in ``_ledger.Entry``."""

    state: str
    # Fencing number of the latest order for the copy; 0 if there is none.
    number: int
    # An unload was ordered since the entry was added; it may arrive late.
    unload_sent: bool


class Order(typing.NamedTuple):
    """An order on its way, or about to be sent."""

    replica: int
    # Fencing number.
    number: int
    # LOAD or UNLOAD.
    action: str


class View(typing.NamedTuple):
    """What a holder knows of the ledger of one replica."""

    # The holder has claimed the ledger under its epoch.
    claimed: bool
    # The outcome of the holder's latest write is unknown.
    uncertain: bool
    # The other holder has not written the ledger since, so that a
    # conditional update succeeds.
    latest: bool
    # The entry of the model as the holder knows it; None for no entry.
    entry: Entry | None


class Holder(typing.NamedTuple):
    """An instance that believes that it holds the lease of the shard."""

    # Of its lease; 0 if it never had the lease.
    epoch: int
    # One for each replica.
    views: tuple[View, ...]
    # An order whose intent is written and which is not yet sent.
    order: Order | None


class State(typing.NamedTuple):
    """The state of ledgers, holders, network and engines.

    Tuples have an element for each replica; ``holders`` for each holder.
    """

    entries: tuple[Entry | None, ...]
    # The highest number that was given to an order, in each ledger.
    numbers: tuple[int, ...]
    # The epoch under which each ledger was last claimed.
    epochs: tuple[int, ...]
    # The latest epoch of the lease.
    epoch: int
    holders: tuple[Holder, ...]
    # Orders that were sent and may still be delivered, also repeatedly.
    network: frozenset[Order]
    # Whether each engine holds the model.
    resident: tuple[bool, ...]
    # The highest number that each engine accepted.
    highest: tuple[int, ...]
    # The latest reports: ``resident`` and ``highest`` when they were made.
    reported: tuple[bool, ...]
    reported_numbers: tuple[int, ...]


Step = tuple[str, State]

_UNKNOWN_VIEW = View(False, False, False, None)
_INITIAL = State(
    (Entry(RESIDENT, 0, False), None),
    (0, 0),
    (0, 0),
    0,
    (Holder(0, (_UNKNOWN_VIEW, _UNKNOWN_VIEW), None),) * 2,
    frozenset(),
    (True, False),
    (0, 0),
    (True, False),
    (0, 0),
)


def specification(variant: Variant) -> minicheck.Protocol:
    """Return the protocol of a variant, with the invariant to check."""
    return minicheck.Protocol(
        name="last_copy",
        candidate=False,
        fields=State._fields,
        initial=_INITIAL,
        transitions=lambda state: list(
            _StepGenerator(variant, State(*state)).possible_steps()
        ),
        invariants={"the model is resident": lambda s: any(s["resident"])},
    )


class _StepGenerator:
    """Generates the steps that are possible in one state."""

    def __init__(self, variant: Variant, state: State) -> None:
        self._variant = variant
        self._state = state

    def possible_steps(self) -> Iterator[Step]:
        """Yield the steps of the holders, the network and the engines."""
        for holder in HOLDERS:
            yield from self._take_over(holder)
            yield from self._send_order(holder)
            for replica in REPLICAS:
                view = self._state.holders[holder].views[replica]
                yield from self._claim_ledger(holder, replica, view)
                if view.latest and view.uncertain:
                    yield self._resolve_unknown_write(holder, replica)
                elif view.latest:
                    yield from self._intend_load(holder, replica, view)
                    yield from self._intend_unload(holder, replica, view)
                    yield from self._apply_report(holder, replica, view)
        yield from self._engine_steps()

    def _take_over(self, holder: int) -> Iterator[Step]:
        epoch = self._state.epoch + 1
        if epoch > self._variant.max_epoch:
            return
        taken = Holder(epoch, (_UNKNOWN_VIEW, _UNKNOWN_VIEW), None)
        holders = _with_element(self._state.holders, holder, taken)
        yield (
            "lease_taken",
            self._state._replace(epoch=epoch, holders=holders),
        )

    def _claim_ledger(
        self, holder: int, replica: int, view: View
    ) -> Iterator[Step]:
        epoch = self._state.holders[holder].epoch
        if view.claimed or epoch == 0:
            return
        if self._state.epochs[replica] > epoch and not self._variant.no_epoch:
            return
        entry = self._state.entries[replica]
        if self._variant.no_claim:
            read = View(True, False, True, entry)
            yield "ledger_read", self._with_view(holder, replica, read)
            return
        step, after = self._ledger_written(
            "ledger_claimed", holder, replica, entry
        )
        epochs = _with_element(after.epochs, replica, epoch)
        yield step, after._replace(epochs=epochs)

    def _resolve_unknown_write(self, holder: int, replica: int) -> Step:
        """Write again, which shows whether the unknown write took effect."""
        entry = self._state.entries[replica]
        return self._ledger_written(
            "late_write_recognised", holder, replica, entry
        )

    def _intend_load(
        self, holder: int, replica: int, view: View
    ) -> Iterator[Step]:
        entry = view.entry
        unload_sent = entry is not None and entry.unload_sent
        reloadable = entry is not None and entry.state == MAY_ARRIVE
        if entry is not None and entry.state != LOADING and not reloadable:
            return
        if unload_sent and not self._variant.reload_early:
            return
        yield from self._intend(holder, replica, LOADING, LOAD)

    def _intend_unload(
        self, holder: int, replica: int, view: View
    ) -> Iterator[Step]:
        entry = view.entry
        if entry is None or entry.state == MAY_ARRIVE:
            return
        other = 1 - replica
        if entry.state == UNLOADING or self._is_confirmed_resident(
            holder, other
        ):
            yield from self._intend(holder, replica, UNLOADING, UNLOAD)

    def _is_confirmed_resident(self, holder: int, replica: int) -> bool:
        """Return whether the holder may count the copy on this replica."""
        if self._variant.no_other_copy:
            return True
        view = self._state.holders[holder].views[replica]
        if not view.claimed or view.uncertain or view.entry is None:
            return False
        if self._variant.count_loading and view.entry.state == LOADING:
            return True
        return view.entry.state == RESIDENT

    def _intend(
        self, holder: int, replica: int, state: str, action: str
    ) -> Iterator[Step]:
        number = self._state.numbers[replica] + 1
        if number > self._variant.max_orders:
            return
        if self._state.holders[holder].order is not None:
            return
        old_view = self._state.holders[holder].views[replica]
        entry = Entry(state, number, action == UNLOAD)
        step, after = self._ledger_written(
            "intent_written", holder, replica, entry
        )
        numbers = _with_element(after.numbers, replica, number)
        after = after._replace(numbers=numbers)
        order = Order(replica, number, action)
        holders = _with_element(
            after.holders, holder, after.holders[holder]._replace(order=order)
        )
        yield step, after._replace(holders=holders)
        # The holder does not learn the outcome: the write took effect, or not.
        view = old_view._replace(uncertain=not self._variant.unknown_is_lost)
        holder_state = after.holders[holder]
        views = _with_element(holder_state.views, replica, view)
        holders = _with_element(
            after.holders, holder, holder_state._replace(views=views)
        )
        yield "step_not_finished", after._replace(holders=holders)
        yield "step_not_finished", self._with_view(holder, replica, view)

    def _apply_report(
        self, holder: int, replica: int, view: View
    ) -> Iterator[Step]:
        """Update the entry of the model from the replica's latest report."""
        entry = view.entry
        is_reported = self._state.reported[replica]
        number = self._state.reported_numbers[replica]
        if entry is None:
            return
        if self._variant.checks_fencing and number < entry.number:
            if entry.state == RESIDENT and not is_reported:
                lost = entry._replace(state=LOADING)
                yield self._ledger_written("copy_lost", holder, replica, lost)
            return
        if entry.state in (LOADING, MAY_ARRIVE) and is_reported:
            state = UNLOADING if entry.unload_sent else RESIDENT
            arrived = entry._replace(state=state)
            yield self._ledger_written(
                "intent_retired", holder, replica, arrived
            )
        if entry.state in (RESIDENT, UNLOADING) and not is_reported:
            kept: Entry | None = entry._replace(state=MAY_ARRIVE)
            if self._variant.checks_fencing:
                kept = None
            yield self._ledger_written(
                "charge_released", holder, replica, kept
            )
        if entry.state == MAY_ARRIVE and not is_reported:
            yield from self._release_after_wait(holder, replica)

    def _release_after_wait(self, holder: int, replica: int) -> Iterator[Step]:
        """Release a charge after the wait for late orders.

        The wait is that of ``memory.py``. After it, no earlier order for the
        replica can be sent or arrive.
        """
        if self._state.resident[replica]:
            return
        step, after = self._ledger_written(
            "charge_released", holder, replica, None
        )
        network = frozenset(
            order for order in after.network if order.replica != replica
        )
        holders = tuple(
            holder_state._replace(order=None)
            if holder_state.order and holder_state.order.replica == replica
            else holder_state
            for holder_state in after.holders
        )
        yield step, after._replace(network=network, holders=holders)

    def _send_order(self, holder: int) -> Iterator[Step]:
        holder_state = self._state.holders[holder]
        if holder_state.order is None:
            return
        holders = _with_element(
            self._state.holders, holder, holder_state._replace(order=None)
        )
        network = self._state.network | {holder_state.order}
        yield (
            "order_sent",
            self._state._replace(holders=holders, network=network),
        )

    def _engine_steps(self) -> Iterator[Step]:
        state = self._state
        for order in state.network:
            replica = order.replica
            fenced = order.number <= state.highest[replica]
            if self._variant.checks_fencing and fenced:
                continue
            loaded = order.action == LOAD
            highest = state.highest
            if self._variant.checks_fencing:
                highest = _with_element(highest, replica, order.number)
            yield (
                "order_accepted",
                state._replace(
                    resident=_with_element(state.resident, replica, loaded),
                    highest=highest,
                ),
            )
        for replica in REPLICAS:
            yield "reported", self._report(replica)

    def _report(self, replica: int) -> State:
        state = self._state
        resident, highest = state.resident[replica], state.highest[replica]
        return state._replace(
            reported=_with_element(state.reported, replica, resident),
            reported_numbers=_with_element(
                state.reported_numbers, replica, highest
            ),
        )

    def _with_view(self, holder: int, replica: int, view: View) -> State:
        holder_state = self._state.holders[holder]
        changed = holder_state._replace(
            views=_with_element(holder_state.views, replica, view)
        )
        return self._state._replace(
            holders=_with_element(self._state.holders, holder, changed)
        )

    def _ledger_written(
        self, step: str, holder: int, replica: int, entry: Entry | None
    ) -> Step:
        """Write the ledger; the other holder's version is stale after it."""
        holders = list(self._state.holders)
        for index in HOLDERS:
            view = holders[index].views[replica]._replace(latest=False)
            if index == holder:
                view = View(True, False, True, entry)
            views = _with_element(holders[index].views, replica, view)
            holders[index] = holders[index]._replace(views=views)
        return step, self._state._replace(
            entries=_with_element(self._state.entries, replica, entry),
            holders=tuple(holders),
        )


def _with_element(values: tuple, index: int, value: typing.Any) -> tuple:
    changed = list(values)
    changed[index] = value
    return tuple(changed)
