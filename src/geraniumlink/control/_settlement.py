"""Settles a ledger with an engine's report: what is confirmed or over.

Which report confirms that a copy can't arrive any more depends on the
engine. One that checks fencing numbers refuses every order up to the number
that it reports, so an absent copy under such a number is gone for good; it
keeps that number over a restart. One that does not check may apply a late
or repeated load after an unload, also after a restart, so its entry stays
charged until the stated bound on lateness has passed.
"""

from __future__ import annotations

import typing

from geraniumlink.control import _engine_reports
from geraniumlink.control import _ledger
from geraniumlink.control import _orders

# An order leaves at most this long after the write of its intent began.
SEND_WINDOW_MS = 2000
# A report is at most this old when it is received.
REPORT_LAG_MS = 3000
# An order that shows no effect for this long is sent again.
RESEND_MS = 2000


class Rules(typing.NamedTuple):
    """How the engines of a deployment treat late orders."""

    checks_fencing: bool
    # 0: no bound is known.
    lateness_bound_ms: int


class Note(typing.NamedTuple):
    """One change of an entry, for the log."""

    step: str
    copy: _ledger.Copy
    fencing_number: int
    seen: str


class Settled(typing.NamedTuple):
    """The ledger after a report, and what changed."""

    ledger: _ledger.Ledger
    notes: list[Note]


class Ages:
    """How long this holder has seen each entry unchanged.

    It is kept in memory only: a new holder counts anew, which can make a
    wait longer and never shorter.
    """

    def __init__(self) -> None:
        self._since: dict[tuple, int] = {}

    def update(self, ledger: _ledger.Ledger, now: int) -> None:
        self._since = {
            self._key(entry): self._since.get(self._key(entry), now)
            for entry in ledger.entries
        }

    def age_ms(self, entry: _ledger.Entry, now: int) -> int:
        return now - self._since.get(self._key(entry), now)

    def _key(self, entry: _ledger.Entry) -> tuple:
        return entry.copy, entry.state, entry.fencing_number


def settle(
    ledger: _ledger.Ledger,
    report: _engine_reports.MemoryReport,
    rules: Rules,
    ages: Ages,
    now: int,
) -> Settled:
    """Return the ledger as the report confirms it."""
    notes: list[Note] = []
    settled = ledger
    for entry in ledger.entries:
        seen = report.copies.get(entry.copy)
        changed = _settle_entry(entry, seen, report, rules, ages, now)
        if changed == entry:
            continue
        if changed is None:
            settled = settled.without_entry(entry.copy)
        else:
            settled = settled.with_entry(changed)
        notes.append(_note(entry, changed, seen))
    for copy, seen in report.copies.items():
        if seen.resident and ledger.find(copy) is None:
            adopted = _ledger.Entry(copy, seen.size_mb, _ledger.State.RESIDENT)
            settled = settled.with_entry(adopted)
            notes.append(Note("adopted", copy, 0, _seen_word(seen)))
    if settled.boot_id != report.boot_id:
        settled = settled._replace(boot_id=report.boot_id)
    return Settled(settled, notes)


def _settle_entry(
    entry: _ledger.Entry,
    seen: _engine_reports.ReportedCopy | None,
    report: _engine_reports.MemoryReport,
    rules: Rules,
    ages: Ages,
    now: int,
) -> _ledger.Entry | None:
    """Return the entry as it is now; None when its charge is over."""
    if rules.checks_fencing and report.fencing_number < entry.fencing_number:
        # The report is older than the order, or the order has not arrived.
        return _unconfirmed(entry, seen)
    match entry.state:
        case _ledger.State.LOADING | _ledger.State.MAY_ARRIVE if seen:
            return _arrived(entry, seen)
        case _ledger.State.LOADING:
            # Absent. A lost load is sent again, see ``is_due``.
            return entry
        case _ledger.State.RESIDENT | _ledger.State.UNLOADING if seen:
            return entry
        case _ledger.State.RESIDENT | _ledger.State.UNLOADING:
            if rules.checks_fencing:
                return None
            return entry._replace(state=_ledger.State.MAY_ARRIVE)
        case _:
            if rules.checks_fencing:
                return None
            over = _is_over(ages.age_ms(entry, now), rules)
            return None if over else entry


def _unconfirmed(
    entry: _ledger.Entry, seen: _engine_reports.ReportedCopy | None
) -> _ledger.Entry:
    """Keep the charge, and order a copy again that is not there.

    It was resident, so another engine is in its place, or one that forgot
    its number.
    """
    if entry.state is _ledger.State.RESIDENT and seen is None:
        return entry._replace(state=_ledger.State.LOADING)
    return entry


def _arrived(
    entry: _ledger.Entry, seen: _engine_reports.ReportedCopy
) -> _ledger.Entry:
    if entry.unload_sent:
        # A late load came after the unload: the unload is due again.
        return entry._replace(state=_ledger.State.UNLOADING)
    if seen.resident:
        return entry._replace(state=_ledger.State.RESIDENT)
    return entry


def _is_over(age_ms: int, rules: Rules) -> bool:
    """Whether no order for an absent copy can arrive any more.

    Every order was sent within the window after its intent was written,
    before the entry was first seen here as it is, and arrives within the
    bound; and the report is as new as the lag allows.
    """
    if rules.lateness_bound_ms == 0:
        return False
    sent_after_ms = SEND_WINDOW_MS + _orders.TIMEOUT_MS
    wait_ms = sent_after_ms + rules.lateness_bound_ms + REPORT_LAG_MS
    return age_ms >= wait_ms


def is_due(
    entry: _ledger.Entry,
    report: _engine_reports.MemoryReport,
    rules: Rules,
    age_ms: int,
) -> bool:
    """Whether the entry's order shows no effect and is to be sent again."""
    seen = report.copies.get(entry.copy)
    superseded = (
        rules.checks_fencing and report.fencing_number > entry.fencing_number
    )
    match entry.state:
        case _ledger.State.LOADING if seen is None:
            return superseded or age_ms >= RESEND_MS
        case _ledger.State.UNLOADING:
            return age_ms >= RESEND_MS
        case _:
            return False


def _note(
    before: _ledger.Entry,
    after: _ledger.Entry | None,
    seen: _engine_reports.ReportedCopy | None,
) -> Note:
    if after is None:
        step = "charge_released"
    elif after.state is _ledger.State.MAY_ARRIVE:
        step = "charge_kept"
    elif after.state is _ledger.State.RESIDENT:
        step = "intent_retired"
    elif after.state is _ledger.State.LOADING:
        step = "copy_lost"
    else:
        step = "arrived_late"
    return Note(step, before.copy, before.fencing_number, _seen_word(seen))


def _seen_word(seen: _engine_reports.ReportedCopy | None) -> str:
    if seen is None:
        return "absent"
    return "resident" if seen.resident else "loading"
