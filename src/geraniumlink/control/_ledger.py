"""The memory ledger of a replica: copies that are or may become resident.

The replica's charge is the total size of all entries, in any state. An
entry is written before the first order that could make its copy resident.
It is removed only when no order that was sent can do so any more. The
ledger is one object of the object API; ``_ledger_store.py`` writes it.
"""

from __future__ import annotations

import enum
import typing

import expression

from geraniumlink import _findings

KIND = "replicas"
# Version of the stored form.
SCHEMA = 1
# Bounds the entries of a ledger, and the copies of a memory report.
MAX_ENTRIES = 5000
# Bounds every number in a stored ledger.
_MAX_INTEGER = 2**40


class State(enum.Enum):
    """What is known of the copy of an entry."""

    # A load is intended; it may not have been sent yet.
    LOADING = "loading"
    # A report has confirmed that the copy is resident.
    RESIDENT = "resident"
    # An unload is intended; it may not have been sent yet.
    UNLOADING = "unloading"
    # Not resident, but an order that was sent may still load it.
    MAY_ARRIVE = "may_arrive"


class Copy(typing.NamedTuple):
    """Identifies a version of a model, or of an adapter, on a replica."""

    model: str
    # Empty for the model itself.
    adapter: str
    version: str

    def __str__(self) -> str:
        name = f"{self.model}/{self.adapter}" if self.adapter else self.model
        return f"{name}@{self.version}"


class Entry(typing.NamedTuple):
    """A copy whose memory is charged to the replica."""

    copy: Copy
    size_mb: int
    state: State
    # Of the latest order for this copy; 0 when none was sent.
    fencing_number: int = 0
    # An unload was ordered since the entry was added; it may arrive late.
    unload_sent: bool = False


class Ledger(typing.NamedTuple):
    """The ledger of one replica, without its version in the object API."""

    # Epoch and holder of the lease under which it was written last.
    epoch: int = 0
    holder: str = ""
    # The highest number that was given to an order for this replica.
    fencing_number: int = 0
    # Of the engine's process in the last report that was applied.
    boot_id: str = ""
    # Random and unique for each write, so that its writer recognises it.
    change_id: str = ""
    entries: tuple[Entry, ...] = ()

    @property
    def charge_mb(self) -> int:
        """Memory of all copies that are or may become resident."""
        return sum(entry.size_mb for entry in self.entries)

    def find(self, copy: Copy) -> Entry | None:
        """Return the entry of a copy; None if there is none."""
        for entry in self.entries:
            if entry.copy == copy:
                return entry
        return None

    def with_entry(self, changed: Entry) -> Ledger:
        """Return the ledger with this entry in place of its copy's old one.

        It is added if the copy has no entry.
        """
        others = [
            entry for entry in self.entries if entry.copy != changed.copy
        ]
        return self._replace(entries=(*others, changed))

    def without_entry(self, copy: Copy) -> Ledger:
        """Return the ledger without the entry of a copy."""
        others = [entry for entry in self.entries if entry.copy != copy]
        return self._replace(entries=tuple(others))

    def with_load(self, copy: Copy, size_mb: int) -> Ledger:
        """Return the ledger with a load intent, under a new number."""
        number = self.fencing_number + 1
        entry = Entry(copy, size_mb, State.LOADING, number)
        return self._replace(fencing_number=number).with_entry(entry)

    def with_unload(self, entry: Entry) -> Ledger:
        """Return the ledger with an unload intent, under a new number."""
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
    path: str, value: typing.Any
) -> expression.Result[Ledger, _findings.Findings]:
    """Parse and validate the stored form; findings name each bad field."""
    findings = _findings.Findings()
    if not isinstance(value, dict):
        findings.add(path, "is not a JSON object")
        return expression.Error(findings)
    if value.get("schema") != SCHEMA:
        findings.add(
            f"{path}.schema",
            f"is {value.get('schema')!r}, but this instance reads {SCHEMA}",
        )
        return expression.Error(findings)
    entries = _read_entries(f"{path}.entries", value.get("entries"), findings)
    ledger = Ledger(
        _read_integer(value, "epoch", path, findings),
        _read_string(value, "holder", path, findings),
        _read_integer(value, "fencing_number", path, findings),
        _read_string(value, "boot_id", path, findings),
        _read_string(value, "change_id", path, findings),
        tuple(entries),
    )
    _check_entries(path, ledger, findings)
    if findings:
        return expression.Error(findings)
    return expression.Ok(ledger)


def _read_entries(
    path: str, values: typing.Any, findings: _findings.Findings
) -> list[Entry]:
    if not isinstance(values, list) or len(values) > MAX_ENTRIES:
        findings.add(path, f"must be a list of at most {MAX_ENTRIES} entries")
        return []
    return [
        _read_entry(f"{path}[{index}]", value, findings)
        for index, value in enumerate(values)
    ]


def _read_entry(
    path: str, value: typing.Any, findings: _findings.Findings
) -> Entry:
    if not isinstance(value, dict):
        findings.add(path, "is not a JSON object")
        value = {}
    state = value.get("state")
    known = {state.value for state in State}
    findings.require(state in known, f"{path}.state", f"is {state!r}")
    return Entry(
        Copy(
            _read_string(value, "model", path, findings),
            _read_string(value, "adapter", path, findings),
            _read_string(value, "version", path, findings),
        ),
        _read_integer(value, "size_mb", path, findings),
        State(state) if state in known else State.MAY_ARRIVE,
        _read_integer(value, "fencing_number", path, findings),
        value.get("unload_sent") is True,
    )


def _check_entries(
    path: str, ledger: Ledger, findings: _findings.Findings
) -> None:
    copies: set[Copy] = set()
    for index, entry in enumerate(ledger.entries):
        entry_path = f"{path}.entries[{index}]"
        findings.require(
            entry.copy not in copies,
            entry_path,
            "has the copy of an earlier entry",
        )
        copies.add(entry.copy)
        findings.require(
            entry.fencing_number <= ledger.fencing_number,
            f"{entry_path}.fencing_number",
            "is higher than the ledger's fencing_number",
        )


def _read_integer(
    value: dict, key: str, path: str, findings: _findings.Findings
) -> int:
    found = value.get(key)
    if type(found) is not int or not 0 <= found <= _MAX_INTEGER:
        findings.add(
            f"{path}.{key}",
            f"is {found!r}, not an integer from 0 to 2**40",
        )
        return 0
    return found


def _read_string(
    value: dict, key: str, path: str, findings: _findings.Findings
) -> str:
    found = value.get(key)
    if not isinstance(found, str) or len(found) > 256:
        findings.add(
            f"{path}.{key}", "is not a string of at most 256 characters"
        )
        return ""
    return found
