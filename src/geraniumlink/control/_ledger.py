"""The memory ledger of a replica: what is resident or may become resident.

The charge of a replica is the sum over all entries, whichever their state.
An entry is written before the first order that could make it true, and goes
only when no order that was ever sent can make it true again. The ledger is
one object of the object API; ``_ledger_store.py`` writes it.
"""

from __future__ import annotations

import enum
import typing

import expression

from geraniumlink import _findings

KIND = "replicas"
SCHEMA = 1
MAX_ENTRIES = 5000
_MAX_SIZE_MB = 2**40


class State(enum.Enum):
    """How far an entry has come."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    # It is not resident, and an order that was sent may still load it.
    MAY_ARRIVE = "may_arrive"


class Copy(typing.NamedTuple):
    """One version of a model, or of an adapter of it, on a replica."""

    model: str
    # Empty for the model itself.
    adapter: str
    version: str

    def __str__(self) -> str:
        name = f"{self.model}/{self.adapter}" if self.adapter else self.model
        return f"{name}@{self.version}"


class Entry(typing.NamedTuple):
    """A copy that is charged."""

    copy: Copy
    size_mb: int
    state: State
    # Of the latest order for this copy; 0 when none was sent.
    fencing_number: int = 0
    # An unload was ordered since the entry was made and may arrive late.
    unload_sent: bool = False


class Ledger(typing.NamedTuple):
    """The charge of one replica."""

    # Of the lease under which it was written last.
    epoch: int = 0
    holder: str = ""
    # The highest that any order for this replica carries.
    fencing_number: int = 0
    boot_id: str = ""
    # Names the write, so that its writer recognises it.
    change_id: str = ""
    entries: tuple[Entry, ...] = ()

    @property
    def charge_mb(self) -> int:
        """Memory that is resident or may still become resident."""
        return sum(entry.size_mb for entry in self.entries)

    def find(self, copy: Copy) -> Entry | None:
        for entry in self.entries:
            if entry.copy == copy:
                return entry
        return None

    def with_entry(self, changed: Entry) -> Ledger:
        """Replace the entry of the same copy, or add one."""
        kept = [entry for entry in self.entries if entry.copy != changed.copy]
        return self._replace(entries=(*kept, changed))

    def without_entry(self, copy: Copy) -> Ledger:
        kept = [entry for entry in self.entries if entry.copy != copy]
        return self._replace(entries=tuple(kept))

    def with_load(self, copy: Copy, size_mb: int) -> Ledger:
        """Add the intent to load under a new fencing number."""
        number = self.fencing_number + 1
        entry = Entry(copy, size_mb, State.LOADING, number)
        return self._replace(fencing_number=number).with_entry(entry)

    def with_unload(self, entry: Entry) -> Ledger:
        """Turn an entry into the intent to unload under a new number."""
        number = self.fencing_number + 1
        changed = entry._replace(
            state=State.UNLOADING, fencing_number=number, unload_sent=True
        )
        return self._replace(fencing_number=number).with_entry(changed)


def to_json(ledger: Ledger) -> dict:
    """Return the stored form."""
    entries = [
        {
            "model": entry.copy.model,
            "adapter": entry.copy.adapter,
            "version": entry.copy.version,
            "size_mb": entry.size_mb,
            "state": entry.state.value,
            "fencing_number": entry.fencing_number,
            "unload_sent": entry.unload_sent,
        }
        for entry in ledger.entries
    ]
    return {"schema": SCHEMA, **ledger._asdict(), "entries": entries}


def from_json(
    place: str, value: typing.Any
) -> expression.Result[Ledger, _findings.Findings]:
    """Read the stored form; every fault is reported with its place."""
    findings = _findings.Findings()
    if not isinstance(value, dict):
        findings.add(place, "is not a ledger")
        return expression.Error(findings)
    if value.get("schema") != SCHEMA:
        findings.add(
            f"{place}.schema",
            f"is {value.get('schema')!r}, and this instance reads {SCHEMA}",
        )
        return expression.Error(findings)
    entries = _read_entries(f"{place}.entries", value.get("entries"), findings)
    ledger = Ledger(
        _whole(value, "epoch", place, findings),
        _text(value, "holder", place, findings),
        _whole(value, "fencing_number", place, findings),
        _text(value, "boot_id", place, findings),
        _text(value, "change_id", place, findings),
        tuple(entries),
    )
    _check_numbers(place, ledger, findings)
    if findings:
        return expression.Error(findings)
    return expression.Ok(ledger)


def _read_entries(
    place: str, values: typing.Any, findings: _findings.Findings
) -> list[Entry]:
    if not isinstance(values, list) or len(values) > MAX_ENTRIES:
        findings.add(place, f"must be a list of {MAX_ENTRIES} at most")
        return []
    return [
        _read_entry(f"{place}[{index}]", value, findings)
        for index, value in enumerate(values)
    ]


def _read_entry(
    place: str, value: typing.Any, findings: _findings.Findings
) -> Entry:
    if not isinstance(value, dict):
        findings.add(place, "is not an entry")
        value = {}
    state = value.get("state")
    known = {state.value for state in State}
    findings.require(state in known, f"{place}.state", f"is {state!r}")
    return Entry(
        Copy(
            _text(value, "model", place, findings),
            _text(value, "adapter", place, findings),
            _text(value, "version", place, findings),
        ),
        _whole(value, "size_mb", place, findings),
        State(state) if state in known else State.MAY_ARRIVE,
        _whole(value, "fencing_number", place, findings),
        value.get("unload_sent") is True,
    )


def _check_numbers(
    place: str, ledger: Ledger, findings: _findings.Findings
) -> None:
    seen: set[Copy] = set()
    for index, entry in enumerate(ledger.entries):
        inner = f"{place}.entries[{index}]"
        findings.require(entry.copy not in seen, inner, "is there twice")
        seen.add(entry.copy)
        findings.require(
            entry.fencing_number <= ledger.fencing_number,
            f"{inner}.fencing_number",
            "is higher than the replica's",
        )


def _whole(
    value: dict, key: str, place: str, findings: _findings.Findings
) -> int:
    found = value.get(key)
    if type(found) is not int or not 0 <= found <= _MAX_SIZE_MB:
        findings.add(f"{place}.{key}", f"is {found!r}, not a whole number")
        return 0
    return found


def _text(
    value: dict, key: str, place: str, findings: _findings.Findings
) -> str:
    found = value.get(key)
    if not isinstance(found, str) or len(found) > 256:
        findings.add(f"{place}.{key}", "is not a text of 256 or less")
        return ""
    return found
