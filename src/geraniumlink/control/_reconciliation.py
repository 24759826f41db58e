"""Reconciles a replica's ledger with the memory report of its engine.

The central question is when the charge of an absent copy may be released,
that is, when no load order that was sent can still make it resident.

- An engine that checks fencing numbers refuses every order whose number is
  not above the highest that it accepted, and keeps that number across
  restarts. If it reports a copy as absent, and a number at least as high as
  that of the copy's entry, the copy can't become resident any more.
- An engine that does not check may apply a late or duplicated load after an
  unload, even after a restart. The entry stays charged until the declared
  bound on the lateness of orders has passed.
"""

from __future__ import annotations

import typing

from geraniumlink.control import _engine_reports
from geraniumlink.control import _ledger
from geraniumlink.control import _orders

# Longest time from the start of an intent's write to the sending of its
# order; an order that is older is dropped. With the send timeout it bounds
# when an order can still leave this process.
SEND_WINDOW_MS = 2000
# Assumed upper bound on the age of a report when it is received.
MAX_REPORT_AGE_MS = 3000
# An order without a visible effect is sent again after this time.
RESEND_AFTER_MS = 2000


class LateOrderRules(typing.NamedTuple):
    """What the engines of a deployment guarantee about late orders."""

    # The engine refuses an order whose fencing number isn't above the
    # highest that it accepted.
    checks_fencing: bool
    # Longest time between sending an order and its arrival at the engine; 0
    # if no bound is known, and a charge is then never released by time.
    lateness_bound_ms: int


class Transition(typing.NamedTuple):
    """A change of one ledger entry, for the log."""

    # The name of the log message.
    log_event: str
    copy: _ledger.Copy
    # Of the entry before the change; 0 for a copy without an entry.
    fencing_number: int
    # What the engine reported: absent, loading or resident.
    seen: str


class Reconciliation(typing.NamedTuple):
    """The ledger after a report was applied, and each entry's change."""

    ledger: _ledger.Ledger
    transitions: list[Transition]


class EntryAges:
    """Measures how long each entry has been unchanged under this holder.

    The times are kept in memory only. A new holder starts from zero, which
    can lengthen a wait but never shorten it.
    """

    def __init__(self) -> None:
        self._unchanged_since: dict[tuple, int] = {}

    def update(self, ledger: _ledger.Ledger, now: int) -> None:
        """Start timing new and changed entries; forget removed ones."""
        self._unchanged_since = {
            self._key(entry): self._unchanged_since.get(self._key(entry), now)
            for entry in ledger.entries
        }

    def age_ms(self, entry: _ledger.Entry, now: int) -> int:
        """Return how long the entry is unchanged; 0 if it isn't timed."""
        return now - self._unchanged_since.get(self._key(entry), now)

    def _key(self, entry: _ledger.Entry) -> tuple:
        return entry.copy, entry.state, entry.fencing_number


def reconcile(
    ledger: _ledger.Ledger,
    report: _engine_reports.MemoryReport,
    rules: LateOrderRules,
    ages: EntryAges,
    now: int,
) -> Reconciliation:
    """Apply a report to the ledger and return the result.

    A resident copy without an entry is charged, since it takes memory
    whoever loaded it.
    """
    transitions: list[Transition] = []
    reconciled = ledger
    for entry in ledger.entries:
        seen = report.copies.get(entry.copy)
        changed = _reconcile_entry(entry, seen, report, rules, ages, now)
        if changed == entry:
            continue
        if changed is None:
            reconciled = reconciled.without_entry(entry.copy)
        else:
            reconciled = reconciled.with_entry(changed)
        transitions.append(_transition(entry, changed, seen))
    for copy, seen in report.copies.items():
        if seen.resident and ledger.find(copy) is None:
            found = _ledger.Entry(copy, seen.size_mb, _ledger.State.RESIDENT)
            reconciled = reconciled.with_entry(found)
            transitions.append(
                Transition("adopted", copy, 0, _reported_state(seen))
            )
    if reconciled.boot_id != report.boot_id:
        reconciled = reconciled._replace(boot_id=report.boot_id)
    return Reconciliation(reconciled, transitions)


def _reconcile_entry(
    entry: _ledger.Entry,
    seen: _engine_reports.ReportedCopy | None,
    report: _engine_reports.MemoryReport,
    rules: LateOrderRules,
    ages: EntryAges,
    now: int,
) -> _ledger.Entry | None:
    """Return the entry after the report; None if its charge is released."""
    if rules.checks_fencing and report.fencing_number < entry.fencing_number:
        # The engine had not accepted the order when it made the report.
        return _reconcile_unconfirmed(entry, seen)
    match entry.state:
        case _ledger.State.LOADING | _ledger.State.MAY_ARRIVE if seen:
            return _reconcile_reported(entry, seen)
        case _ledger.State.LOADING:
            # Absent: ``needs_resend`` decides when the load is sent again.
            return entry
        case _ledger.State.RESIDENT | _ledger.State.UNLOADING if seen:
            return entry
        case _ledger.State.RESIDENT | _ledger.State.UNLOADING:
            if rules.checks_fencing:
                return None
            return entry._replace(state=_ledger.State.MAY_ARRIVE)
        case _:
            # MAY_ARRIVE, and absent.
            if rules.checks_fencing:
                return None
            excluded = _is_late_arrival_excluded(
                ages.age_ms(entry, now), rules
            )
            return None if excluded else entry


def _reconcile_unconfirmed(
    entry: _ledger.Entry, seen: _engine_reports.ReportedCopy | None
) -> _ledger.Entry:
    """Keep the charge of an entry whose order the report doesn't cover.

    A resident copy that is now absent becomes LOADING, so that its load is
    sent again: the engine was replaced, or it restarted and lost its
    fencing number.
    """
    if entry.state is _ledger.State.RESIDENT and seen is None:
        return entry._replace(state=_ledger.State.LOADING)
    return entry


def _reconcile_reported(
    entry: _ledger.Entry, seen: _engine_reports.ReportedCopy
) -> _ledger.Entry:
    """Update a LOADING or MAY_ARRIVE entry whose copy was reported."""
    if entry.unload_sent:
        # A late load was applied after the unload: unload the copy again.
        return entry._replace(state=_ledger.State.UNLOADING)
    if seen.resident:
        return entry._replace(state=_ledger.State.RESIDENT)
    return entry


def _is_late_arrival_excluded(age_ms: int, rules: LateOrderRules) -> bool:
    """Whether no order for an absent copy can still arrive.

    The intent of each order was written before this holder first saw the
    entry in its present state. The order left within the send window and
    the send timeout after that, and arrived within the lateness bound. The
    report may be up to MAX_REPORT_AGE_MS old, so that is added.
    """
    if rules.lateness_bound_ms == 0:
        return False
    max_send_delay_ms = SEND_WINDOW_MS + _orders.SEND_TIMEOUT_MS
    wait_ms = max_send_delay_ms + rules.lateness_bound_ms + MAX_REPORT_AGE_MS
    return age_ms >= wait_ms


def needs_resend(
    entry: _ledger.Entry,
    report: _engine_reports.MemoryReport,
    rules: LateOrderRules,
    age_ms: int,
) -> bool:
    """Whether the entry's order had no visible effect and must be repeated.

    A load is repeated at once when the engine has accepted a higher
    fencing number, since it will refuse the pending order.
    """
    seen = report.copies.get(entry.copy)
    is_superseded = (
        rules.checks_fencing and report.fencing_number > entry.fencing_number
    )
    match entry.state:
        case _ledger.State.LOADING if seen is None:
            return is_superseded or age_ms >= RESEND_AFTER_MS
        case _ledger.State.UNLOADING:
            return age_ms >= RESEND_AFTER_MS
        case _:
            return False


def _transition(
    before: _ledger.Entry,
    after: _ledger.Entry | None,
    seen: _engine_reports.ReportedCopy | None,
) -> Transition:
    """Name the change of an entry by the log message that reports it."""
    if after is None:
        log_event = "charge_released"
    elif after.state is _ledger.State.MAY_ARRIVE:
        log_event = "charge_kept"
    elif after.state is _ledger.State.RESIDENT:
        log_event = "intent_retired"
    elif after.state is _ledger.State.LOADING:
        log_event = "copy_lost"
    else:
        log_event = "arrived_late"
    return Transition(
        log_event, before.copy, before.fencing_number, _reported_state(seen)
    )


def _reported_state(seen: _engine_reports.ReportedCopy | None) -> str:
    """Return the reported state as it is logged."""
    if seen is None:
        return "absent"
    return "resident" if seen.resident else "loading"
