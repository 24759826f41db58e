"""Entries of the membership table and their encoding in messages."""

from __future__ import annotations

import hashlib
import typing

from geraniumlink import _settings

# Entries in one message. The limit keeps the size of a message independent
# of the number of instances.
MAX_ENTRIES = 16
# The longest name that the settings accept.
_MAX_NAME_CHARACTERS = 63


class Entry(typing.NamedTuple):
    """The state of one instance, as it or another instance reported it.

    Sent as a list, so the order of the fields is part of the protocol.
    """

    name: str
    peer_address: str
    data_centre: str
    # The wall-clock time of its start in milliseconds, so that the entry of a
    # later start replaces that of an earlier one; higher if the clock was set
    # back between the two.
    incarnation: int
    # Incremented when the instance changes its own entry.
    sequence: int = 0
    # All configuration changes up to this version are in force there.
    revision: int = 0
    # The highest configuration version in force there.
    newest: int = 0
    leaving: bool = False
    # Set by other instances only; the instance refutes it with a higher
    # sequence.
    suspect: bool = False

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Sort key of entries for one name: the greater replaces the other."""
        return self.incarnation, self.sequence, self.suspect

    @property
    def status(self) -> tuple[int, str, bool, bool]:
        """Return its start, address and state, without the versions."""
        return (
            self.incarnation,
            self.peer_address,
            self.leaving,
            self.suspect,
        )


def entry_digest(entry: Entry) -> int:
    """Return a 64-bit digest, to be combined over a table by exclusive or.

    Covers the name, incarnation and leaving flag, not the versions.

    It is 0 for a suspected instance, because tables remove suspects at
    different times and their digests would differ meanwhile.
    """
    if entry.suspect:
        return 0
    text = f"{entry.name} {entry.incarnation} {entry.leaving}"
    hashed = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(hashed.digest(), "big")


def to_json(entries: list[Entry]) -> list[list]:
    """Return entries as they are sent, one list of fields each."""
    return [list(entry) for entry in entries]


def from_json(message: typing.Any) -> list[Entry]:
    """Parse the entries of a peer's message, its own entry first.

    :raises ValueError: if any part of the message is malformed.
    """
    if not isinstance(message, list):
        raise ValueError("entries must be a list")
    if not 0 < len(message) <= MAX_ENTRIES:
        raise ValueError(
            f"got {len(message)} entries, expected 1 to {MAX_ENTRIES}"
        )
    return [_read_entry(fields) for fields in message]


def _read_entry(fields: typing.Any) -> Entry:
    if not isinstance(fields, list) or len(fields) != len(_ENTRY_TYPES):
        raise ValueError("an entry must be a list with all fields")
    entry = Entry(*fields)
    for field, expected in _ENTRY_TYPES.items():
        if type(getattr(entry, field)) is not expected:
            raise ValueError(
                f"{field} has the wrong type: {getattr(entry, field)!r}"
            )
    for text in (entry.name, entry.data_centre):
        if not 0 < len(text) <= _MAX_NAME_CHARACTERS:
            raise ValueError(f"{text!r} is empty or too long for a name")
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
