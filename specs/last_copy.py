"""Specification: the last resident copy of a model is never unloaded.

Two holders share two replicas with a ledger each, and one model. Unloading
it on one replica rests on what the ledger of the other says, and no
conditional update covers both. So a holder counts a copy only on a replica
whose ledger it has claimed under its epoch, a claim is a write and is
refused under an older epoch, and a replica with a write of unknown outcome
does not count. A takeover may happen at any time and forgets every view.

Orders behave as in ``memory.py``. An engine does not crash here: the crash
of the only other copy, between its confirmation and the unload, is not
prevented by any order of steps and is left to the reload that follows it.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

REPLICAS = (0, 1)
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
    # Intents on each replica; the search is exhaustive up to this many.
    max_number: int = 2
    # Takeovers, with those at the start.
    max_epoch: int = 3
    # A takeover reads the ledgers and does not write them.
    no_claim: bool = False
    # A ledger is claimed also under an older epoch.
    no_epoch: bool = False
    # A write of unknown outcome is taken not to have taken effect.
    unknown_is_lost: bool = False
    # The other copy is counted when its load is ordered.
    count_loading: bool = False
    # The other copy is not looked at.
    no_other_copy: bool = False
    # A copy is loaded again while an old unload may arrive.
    reload_early: bool = False


class Entry(typing.NamedTuple):
    """The model's entry in a ledger, as in ``_ledger.py``."""

    state: str
    number: int
    unload_sent: bool


class Order(typing.NamedTuple):
    """An order on its way, or about to be sent."""

    replica: int
    number: int
    action: str


class View(typing.NamedTuple):
    """What a holder knows of one replica's ledger."""

    claimed: bool
    # A write has an unknown outcome.
    uncertain: bool
    # Nobody else wrote the ledger since.
    latest: bool
    entry: Entry | None


class Holder(typing.NamedTuple):
    """One instance that believes that it holds the shard."""

    # 0 for one that never took the lease.
    epoch: int
    views: tuple[View, ...]
    order: Order | None


class State(typing.NamedTuple):
    """Everything there is; one element for each replica or holder."""

    entries: tuple[Entry | None, ...]
    numbers: tuple[int, ...]
    epochs: tuple[int, ...]
    # Of the lease.
    epoch: int
    holders: tuple[Holder, ...]
    network: frozenset[Order]
    resident: tuple[bool, ...]
    highest: tuple[int, ...]
    reported: tuple[bool, ...]
    reported_numbers: tuple[int, ...]


Step = tuple[str, State]

_UNKNOWN = View(False, False, False, None)
_INITIAL = State(
    (Entry(RESIDENT, 0, False), None),
    (0, 0),
    (0, 0),
    0,
    (Holder(0, (_UNKNOWN, _UNKNOWN), None),) * 2,
    frozenset(),
    (True, False),
    (0, 0),
    (True, False),
    (0, 0),
)


def specification(variant: Variant) -> minicheck.Protocol:
    """Return the protocol of a variant, with its invariant."""
    return minicheck.Protocol(
        name="last_copy",
        candidate=False,
        fields=State._fields,
        initial=_INITIAL,
        transitions=lambda state: list(_Steps(variant, State(*state)).all()),
        invariants={"the model is resident": lambda s: any(s["resident"])},
    )


class _Steps:
    """The steps that are possible in one state."""

    def __init__(self, variant: Variant, state: State) -> None:
        self._variant = variant
        self._state = state

    def all(self) -> Iterator[Step]:
        for holder in HOLDERS:
            yield from self._take_over(holder)
            yield from self._send(holder)
            for replica in REPLICAS:
                view = self._state.holders[holder].views[replica]
                yield from self._claim(holder, replica, view)
                if view.latest and view.uncertain:
                    yield self._resolve(holder, replica)
                elif view.latest:
                    yield from self._intend_load(holder, replica, view)
                    yield from self._intend_unload(holder, replica, view)
                    yield from self._settle(holder, replica, view)
        yield from self._engines()

    def _take_over(self, holder: int) -> Iterator[Step]:
        epoch = self._state.epoch + 1
        if epoch > self._variant.max_epoch:
            return
        taken = Holder(epoch, (_UNKNOWN, _UNKNOWN), None)
        holders = _with(self._state.holders, holder, taken)
        yield (
            "lease_taken",
            self._state._replace(epoch=epoch, holders=holders),
        )

    def _claim(self, holder: int, replica: int, view: View) -> Iterator[Step]:
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
        step, after = self._written("ledger_claimed", holder, replica, entry)
        epochs = _with(after.epochs, replica, epoch)
        yield step, after._replace(epochs=epochs)

    def _resolve(self, holder: int, replica: int) -> Step:
        """Settle an unknown outcome by a write: landed or never."""
        entry = self._state.entries[replica]
        return self._written("late_write_recognised", holder, replica, entry)

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
        if entry.state == UNLOADING or self._confirmed(holder, other):
            yield from self._intend(holder, replica, UNLOADING, UNLOAD)

    def _confirmed(self, holder: int, replica: int) -> bool:
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
        if number > self._variant.max_number:
            return
        if self._state.holders[holder].order is not None:
            return
        before = self._state.holders[holder].views[replica]
        entry = Entry(state, number, action == UNLOAD)
        step, after = self._written("intent_written", holder, replica, entry)
        numbers = _with(after.numbers, replica, number)
        after = after._replace(numbers=numbers)
        order = Order(replica, number, action)
        holders = _with(
            after.holders, holder, after.holders[holder]._replace(order=order)
        )
        yield step, after._replace(holders=holders)
        # The outcome stays unknown to the holder: it took effect, or not.
        view = before._replace(uncertain=not self._variant.unknown_is_lost)
        known = after.holders[holder]
        views = _with(known.views, replica, view)
        holders = _with(after.holders, holder, known._replace(views=views))
        yield "step_not_finished", after._replace(holders=holders)
        yield "step_not_finished", self._with_view(holder, replica, view)

    def _settle(self, holder: int, replica: int, view: View) -> Iterator[Step]:
        entry = view.entry
        seen = self._state.reported[replica]
        number = self._state.reported_numbers[replica]
        if entry is None:
            return
        if self._variant.checks_fencing and number < entry.number:
            if entry.state == RESIDENT and not seen:
                lost = entry._replace(state=LOADING)
                yield self._written("copy_lost", holder, replica, lost)
            return
        if entry.state in (LOADING, MAY_ARRIVE) and seen:
            state = UNLOADING if entry.unload_sent else RESIDENT
            arrived = entry._replace(state=state)
            yield self._written("intent_retired", holder, replica, arrived)
        if entry.state in (RESIDENT, UNLOADING) and not seen:
            kept: Entry | None = entry._replace(state=MAY_ARRIVE)
            if self._variant.checks_fencing:
                kept = None
            yield self._written("charge_released", holder, replica, kept)
        if entry.state == MAY_ARRIVE and not seen:
            yield from self._bound_passes(holder, replica)

    def _bound_passes(self, holder: int, replica: int) -> Iterator[Step]:
        """As in ``memory.py``: nothing that was sent can arrive any more."""
        if self._state.resident[replica]:
            return
        step, after = self._written("charge_released", holder, replica, None)
        network = frozenset(
            order for order in after.network if order.replica != replica
        )
        holders = tuple(
            known._replace(order=None)
            if known.order and known.order.replica == replica
            else known
            for known in after.holders
        )
        yield step, after._replace(network=network, holders=holders)

    def _send(self, holder: int) -> Iterator[Step]:
        known = self._state.holders[holder]
        if known.order is None:
            return
        holders = _with(
            self._state.holders, holder, known._replace(order=None)
        )
        network = self._state.network | {known.order}
        yield (
            "order_sent",
            self._state._replace(holders=holders, network=network),
        )

    def _engines(self) -> Iterator[Step]:
        state = self._state
        for order in state.network:
            replica = order.replica
            fenced = order.number <= state.highest[replica]
            if self._variant.checks_fencing and fenced:
                continue
            loaded = order.action == LOAD
            highest = state.highest
            if self._variant.checks_fencing:
                highest = _with(highest, replica, order.number)
            yield (
                "order_accepted",
                state._replace(
                    resident=_with(state.resident, replica, loaded),
                    highest=highest,
                ),
            )
        for replica in REPLICAS:
            yield "reported", self._report(replica)

    def _report(self, replica: int) -> State:
        state = self._state
        resident, highest = state.resident[replica], state.highest[replica]
        return state._replace(
            reported=_with(state.reported, replica, resident),
            reported_numbers=_with(state.reported_numbers, replica, highest),
        )

    def _with_view(self, holder: int, replica: int, view: View) -> State:
        known = self._state.holders[holder]
        changed = known._replace(views=_with(known.views, replica, view))
        return self._state._replace(
            holders=_with(self._state.holders, holder, changed)
        )

    def _written(
        self, step: str, holder: int, replica: int, entry: Entry | None
    ) -> Step:
        """A conditional update: the other's version is old after it."""
        holders = list(self._state.holders)
        for index in HOLDERS:
            view = holders[index].views[replica]._replace(latest=False)
            if index == holder:
                view = View(True, False, True, entry)
            views = _with(holders[index].views, replica, view)
            holders[index] = holders[index]._replace(views=views)
        return step, self._state._replace(
            entries=_with(self._state.entries, replica, entry),
            holders=tuple(holders),
        )


def _with(values: tuple, index: int, value: typing.Any) -> tuple:
    changed = list(values)
    changed[index] = value
    return tuple(changed)
