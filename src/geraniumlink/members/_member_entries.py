"""What instances say of themselves and of each other at an exchange."""

from __future__ import annotations

import hashlib
import typing

from geraniumlink import _settings

# Entries in one message, whatever the number of instances.
MAX_ENTRIES = 16
_MAX_NAME_CHARACTERS = 63


class Entry(typing.NamedTuple):
    """What an instance last said of itself, perhaps through others."""

    name: str
    peer_address: str
    data_centre: str
    # The wall time of its start; a later start replaces an earlier one.
    incarnation: int
    # Grows when the instance changes its own entry.
    sequence: int = 0
    revision: int = 0
    newest: int = 0
    leaving: bool = False
    # Said by others; the instance denies it with a higher sequence.
    suspect: bool = False

    @property
    def age(self) -> tuple[int, int, bool]:
        """Of two entries for one name, the greater replaces the other."""
        return self.incarnation, self.sequence, self.suspect

    @property
    def presence(self) -> tuple[int, str, bool, bool]:
        """What is said of the instance, without what it has in force."""
        return (
            self.incarnation,
            self.peer_address,
            self.leaving,
            self.suspect,
        )


def digest(entry: Entry) -> int:
    """Return 64 bits; those of a table are combined by exclusive or.

    A suspected instance has 0, as it is forgotten at different times.
    """
    if entry.suspect:
        return 0
    text = f"{entry.name} {entry.incarnation} {entry.leaving}"
    hashed = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(hashed.digest(), "big")


def to_json(entries: list[Entry]) -> list[list]:
    return [list(entry) for entry in entries]


def from_json(message: typing.Any) -> list[Entry]:
    """Read a peer's entries, its own first.

    :raises ValueError: if they make no sense.
    """
    if not isinstance(message, list):
        raise ValueError("not a list of entries")
    if not 0 < len(message) <= MAX_ENTRIES:
        raise ValueError(f"{len(message)} entries, not 1 to {MAX_ENTRIES}")
    return [_read_entry(fields) for fields in message]


def _read_entry(fields: typing.Any) -> Entry:
    if not isinstance(fields, list) or len(fields) != len(_ENTRY_TYPES):
        raise ValueError("not an entry")
    entry = Entry(*fields)
    for field, expected in _ENTRY_TYPES.items():
        if type(getattr(entry, field)) is not expected:
            raise ValueError(f"{field} is {getattr(entry, field)!r}")
    for text in (entry.name, entry.data_centre):
        if not 0 < len(text) <= _MAX_NAME_CHARACTERS:
            raise ValueError(f"{text!r} is not a name")
    _settings.parse_address(entry.peer_address)
    return entry


_ENTRY_TYPES = {
    "name": str,
    "peer_address": str,
    "data_centre": str,
    "incarnation": int,
    "sequence": int,
    "revision": int,
    "newest": int,
    "leaving": bool,
    "suspect": bool,
}
