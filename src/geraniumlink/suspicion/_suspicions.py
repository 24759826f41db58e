"""A replicated table of requests that were in flight during server crashes.

Each entry holds two grow-only sets: the crashes during which a request was
in flight, and those of which it was cleared because it completed later.
Merging takes the union of both sets, so delayed, duplicated and reordered
messages are harmless, and an instance with old data can't undo a clearance.
Source: M. Shapiro et al., "Conflict-free Replicated Data Types", SSS 2011
(the two-phase set).
"""

from __future__ import annotations

import enum
import hashlib
import typing

from geraniumlink import _clock
from geraniumlink import _logs

# A request is refused after this many crashes that it wasn't cleared of.
CONFIRMED_CRASHES = 2
# An entry expires this long after the last crash that was added to it.
SUSPICION_TTL_MS = 3_600_000
MAX_ENTRIES = 1024
# Crashes kept for one request; the request is refused long before that.
MAX_CRASHES = 8
MAX_ENTRIES_PER_MESSAGE = 64
_MAX_TEXT_LENGTH = 80


class ServerProcess(typing.NamedTuple):
    """One process of a backend server.

    A restarted server keeps its address and gets another boot id.
    """

    address: str
    boot_id: str


class Suspicion(typing.NamedTuple):
    """The crashes recorded for requests with one fingerprint."""

    fingerprint: str
    crashes: frozenset[ServerProcess]
    cleared: frozenset[ServerProcess]
    # Wall-clock time: passing the entry on doesn't extend its life.
    expires_at_ms: int

    @property
    def uncleared(self) -> frozenset[ServerProcess]:
        """The crashes that count against the request."""
        return self.crashes - self.cleared


class Changes(typing.NamedTuple):
    """Entries that changed after some change of a table."""

    entries: list[Suspicion]
    # Number of the last change among them, or the one asked for.
    last_change: int


class Standing(enum.Enum):
    """How a request may run, given the crashes recorded for it."""

    # Like any other request.
    CLEAR = "with others"
    # One run at a time, as the only suspect on its server.
    SUSPECT = "apart"
    # Not at all.
    CONFIRMED = "not again"


def compute_fingerprint(*parts: str) -> str:
    """Return a digest that is the same when a request is sent again.

    Each part is hashed with its length, so that moving characters from one
    part to the next gives another digest.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


class SuspicionTable:
    """Suspicions by fingerprint: bounded in number, each with an expiry.

    :param logs_changes: whether changes of standing are logged.
    """

    def __init__(self, clock: _clock.Clock, logs_changes: bool = True) -> None:
        self._clock = clock
        self._logs_changes = logs_changes
        # Ordered by their last change, the most recent last.
        self._entries: dict[str, Suspicion] = {}
        # Number of the last change of each entry, and of all.
        self._change_numbers: dict[str, int] = {}
        self._last_change = 0
        # Entries that changed here and not only by a merge, by fingerprint,
        # and whether the last change was reported to a peer.
        self._own_changes: dict[str, bool] = {}

    @property
    def last_change(self) -> int:
        """Number of changes so far."""
        return self._last_change

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, fingerprint: str) -> Suspicion | None:
        """Return the entry, or None if there is none or it has expired."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at_ms < self._clock.wall():
            return None
        return entry

    def standing(self, fingerprint: str) -> Standing:
        """Return how requests with this fingerprint may run."""
        entry = self.get(fingerprint)
        if entry is None or not entry.uncleared:
            return Standing.CLEAR
        if len(entry.uncleared) >= CONFIRMED_CRASHES:
            return Standing.CONFIRMED
        return Standing.SUSPECT

    def add_crash(self, fingerprint: str, crash: ServerProcess) -> None:
        """Record that a request was in flight when a process crashed."""
        expires_at_ms = self._clock.wall() + SUSPICION_TTL_MS
        crashes = frozenset((crash,))
        self._merge_entry(
            Suspicion(fingerprint, crashes, frozenset(), expires_at_ms)
        )
        self._own_changes[fingerprint] = False

    def clear_crashes(self, fingerprint: str) -> None:
        """Clear a request that completed of all crashes recorded so far."""
        entry = self.get(fingerprint)
        if entry is None:
            return
        if entry.uncleared:
            if self._logs_changes:
                _logs.event("suspect_cleared", fingerprint=fingerprint)
            self._own_changes[fingerprint] = False
        self._set_entry(entry._replace(cleared=entry.crashes))

    def merge(self, entries: list[Suspicion]) -> None:
        """Merge a peer's entries, and log each change of standing."""
        for entry in entries:
            before = self.standing(entry.fingerprint)
            self._merge_entry(entry)
            standing = self.standing(entry.fingerprint)
            if self._logs_changes and standing is not before:
                _logs.event(
                    "suspicion_learned",
                    fingerprint=entry.fingerprint,
                    standing=standing.name,
                )

    def latest(self) -> list[Suspicion]:
        """Drop expired entries; return those that expire last.

        There are at most as many as fit into one message.
        """
        now = self._clock.wall()
        for entry in list(self._entries.values()):
            if entry.expires_at_ms < now:
                self._remove_entry(entry.fingerprint)
        ordered = sorted(
            self._entries.values(), key=lambda e: -e.expires_at_ms
        )
        return ordered[:MAX_ENTRIES_PER_MESSAGE]

    def entries(self) -> list[Suspicion]:
        """Return all entries that have not expired."""
        return [
            entry
            for name in self._entries
            if (entry := self.get(name)) is not None
        ]

    def changes_since(self, change: int) -> Changes:
        """Return the entries that changed after a change, the oldest first.

        There are at most as many as fit into one message.
        """
        changed: list[Suspicion] = []
        for fingerprint in reversed(self._entries):
            if self._change_numbers[fingerprint] <= change:
                break
            changed.append(self._entries[fingerprint])
        oldest = changed[::-1][:MAX_ENTRIES_PER_MESSAGE]
        if oldest:
            change = self._change_numbers[oldest[-1].fingerprint]
        return Changes(oldest, change)

    def unreported(self) -> list[Suspicion]:
        """Return the entries that changed here and weren't reported since.

        There are at most as many as fit into one message.
        """
        found = [
            self._entries[fingerprint]
            for fingerprint, is_reported in self._own_changes.items()
            if not is_reported
        ]
        return found[:MAX_ENTRIES_PER_MESSAGE]

    def mark_reported(self, entries: list[Suspicion]) -> None:
        """Record that a peer has these entries as they were reported."""
        for entry in entries:
            if self._entries.get(entry.fingerprint) == entry:
                self._own_changes[entry.fingerprint] = True

    def forget_reports(self) -> None:
        """Record that no peer is known to have what changed here."""
        self._own_changes = dict.fromkeys(self._own_changes, False)

    def _set_entry(self, entry: Suspicion) -> None:
        """Store an entry, as the latest change unless it is the same."""
        if self._entries.get(entry.fingerprint) == entry:
            return
        self._entries.pop(entry.fingerprint, None)
        self._entries[entry.fingerprint] = entry
        self._last_change += 1
        self._change_numbers[entry.fingerprint] = self._last_change

    def _remove_entry(self, fingerprint: str) -> None:
        del self._entries[fingerprint]
        del self._change_numbers[fingerprint]
        self._own_changes.pop(fingerprint, None)

    def _merge_entry(self, entry: Suspicion) -> None:
        now = self._clock.wall()
        # Bounded, so that a peer whose clock is ahead can't keep an entry
        # alive for ever.
        expires_at_ms = min(entry.expires_at_ms, now + SUSPICION_TTL_MS)
        if expires_at_ms < now:
            return
        known = self.get(entry.fingerprint) or entry
        self._set_entry(
            _truncate(
                Suspicion(
                    entry.fingerprint,
                    known.crashes | entry.crashes,
                    known.cleared | entry.cleared,
                    max(known.expires_at_ms, expires_at_ms),
                )
            )
        )
        if len(self._entries) > MAX_ENTRIES:
            self._evict_one()

    def _evict_one(self) -> None:
        """Drop the entry with the fewest uncleared crashes.

        Among equals it is the one that expires first.
        """
        evicted = min(
            self._entries.values(),
            key=lambda entry: (len(entry.uncleared), entry.expires_at_ms),
        )
        self._remove_entry(evicted.fingerprint)


def _truncate(entry: Suspicion) -> Suspicion:
    """Keep at most MAX_CRASHES crashes, uncleared ones first.

    They are sorted, so that equal sets are truncated alike.
    """
    uncleared = sorted(entry.uncleared)[:MAX_CRASHES]
    cleared = sorted(entry.cleared)[: MAX_CRASHES - len(uncleared)]
    return entry._replace(
        crashes=frozenset(uncleared + cleared), cleared=frozenset(cleared)
    )


def to_json(entries: list[Suspicion]) -> list[list]:
    """Return the entries as a message carries them, fields by position."""
    return [
        [
            entry.fingerprint,
            [list(crash) for crash in sorted(entry.crashes)],
            [list(crash) for crash in sorted(entry.cleared)],
            entry.expires_at_ms,
        ]
        for entry in entries
    ]


def from_json(message: typing.Any) -> list[Suspicion]:
    """Parse a peer's entries.

    :raises ValueError: if there are too many or one is malformed.
    """
    if not isinstance(message, list) or len(message) > MAX_ENTRIES_PER_MESSAGE:
        raise ValueError(
            f"not a list of at most {MAX_ENTRIES_PER_MESSAGE} suspicions"
        )
    return [_parse_entry(fields) for fields in message]


def _parse_entry(fields: typing.Any) -> Suspicion:
    if not isinstance(fields, list) or len(fields) != 4:
        raise ValueError("a suspicion is not a list of 4 fields")
    fingerprint, crashes, cleared, expires_at_ms = fields
    if type(expires_at_ms) is not int:
        raise ValueError(f"expires_at_ms {expires_at_ms!r} is not an integer")
    return Suspicion(
        check_text(fingerprint),
        _parse_crashes(crashes),
        _parse_crashes(cleared),
        expires_at_ms,
    )


def _parse_crashes(fields: typing.Any) -> frozenset[ServerProcess]:
    if not isinstance(fields, list) or len(fields) > MAX_CRASHES:
        raise ValueError(f"not a list of at most {MAX_CRASHES} crashes")
    crashes = set()
    for pair in fields:
        if not isinstance(pair, list) or len(pair) != 2:
            raise ValueError("a crash is not an address and a boot id")
        crashes.add(ServerProcess(check_text(pair[0]), check_text(pair[1])))
    return frozenset(crashes)


def check_text(value: typing.Any) -> str:
    """Return the value if it is a string within the length limit.

    :raises ValueError: if it is not.
    """
    if not isinstance(value, str) or len(value) > _MAX_TEXT_LENGTH:
        raise ValueError(
            f"not a string of at most {_MAX_TEXT_LENGTH} characters"
        )
    return value
