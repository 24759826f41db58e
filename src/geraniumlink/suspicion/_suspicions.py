"""The table of requests that were in flight when backend servers crashed.

An entry is two growing sets: the crashes that a request was present at, and
those it was cleared of because it completed later. Merging is the union of
both, so late, repeated and reordered messages do no harm and an instance
that lags can't bring a cleared suspicion back.
Source: M. Shapiro et al., "Conflict-free Replicated Data Types", SSS 2011
(the two-phase set).
"""

from __future__ import annotations

import enum
import hashlib
import typing

from geraniumlink import _clock
from geraniumlink import _logs

# Crashes in common after which a request is refused.
CONFIRMED_AT = 2
EXPIRY_MS = 3_600_000
MAX_SUSPICIONS = 1024
# Of one request; the oldest news of more is of no use.
MAX_CRASHES = 8
# In one message.
MAX_SENT = 64
_MAX_TEXT = 80


class ServerProcess(typing.NamedTuple):
    """The end of one process of a backend server."""

    address: str
    boot_id: str


class Suspicion(typing.NamedTuple):
    """What is held against the requests with one fingerprint."""

    fingerprint: str
    crashes: frozenset[ServerProcess]
    cleared: frozenset[ServerProcess]
    # By the wall clock, so that handing it on does not prolong it.
    expires_at_ms: int

    @property
    def counted(self) -> frozenset[ServerProcess]:
        return self.crashes - self.cleared


class Standing(enum.Enum):
    """How a request may run."""

    CLEAR = "with others"
    SUSPECT = "apart"
    CONFIRMED = "not again"


def compute_fingerprint(*parts: str) -> str:
    """Return the digest that recognises a request sent again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


class SuspicionTable:
    """A bounded table of suspicions by fingerprint, each with an expiry."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Suspicion] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, found: str) -> Suspicion | None:
        entry = self._entries.get(found)
        if entry is None or entry.expires_at_ms < self._clock.wall():
            return None
        return entry

    def standing(self, found: str) -> Standing:
        entry = self.get(found)
        if entry is None or not entry.counted:
            return Standing.CLEAR
        if len(entry.counted) >= CONFIRMED_AT:
            return Standing.CONFIRMED
        return Standing.SUSPECT

    def add_crash(self, found: str, crash: ServerProcess) -> None:
        until = self._clock.wall() + EXPIRY_MS
        crashes = frozenset((crash,))
        self._merge_one(Suspicion(found, crashes, frozenset(), until))

    def clear_crashes(self, found: str) -> None:
        """Note that a request with this fingerprint completed."""
        entry = self.get(found)
        if entry is None:
            return
        if entry.counted:
            _logs.event("suspect_cleared", fingerprint=found)
        self._entries[found] = entry._replace(cleared=entry.crashes)

    def merge(self, entries: list[Suspicion]) -> None:
        """Take in what a peer sent."""
        for entry in entries:
            before = self.standing(entry.fingerprint)
            self._merge_one(entry)
            standing = self.standing(entry.fingerprint)
            if standing is not before:
                _logs.event(
                    "suspicion_learned",
                    fingerprint=entry.fingerprint,
                    standing=standing.name,
                )

    def latest(self) -> list[Suspicion]:
        """Return the entries that last longest, as many as a message has."""
        now = self._clock.wall()
        self._entries = {
            entry.fingerprint: entry
            for entry in self._entries.values()
            if entry.expires_at_ms >= now
        }
        ordered = sorted(
            self._entries.values(), key=lambda e: -e.expires_at_ms
        )
        return ordered[:MAX_SENT]

    def _merge_one(self, entry: Suspicion) -> None:
        now = self._clock.wall()
        # A wrong clock elsewhere must not make an entry last for ever.
        until = min(entry.expires_at_ms, now + EXPIRY_MS)
        if until < now:
            return
        known = self.get(entry.fingerprint) or entry
        self._entries[entry.fingerprint] = _bounded(
            Suspicion(
                entry.fingerprint,
                known.crashes | entry.crashes,
                known.cleared | entry.cleared,
                max(known.expires_at_ms, until),
            )
        )
        if len(self._entries) > MAX_SUSPICIONS:
            self._drop_one()

    def _drop_one(self) -> None:
        """Drop what matters least: the cleared, then what ends first."""
        least = min(
            self._entries.values(),
            key=lambda entry: (len(entry.counted), entry.expires_at_ms),
        )
        del self._entries[least.fingerprint]


def _bounded(entry: Suspicion) -> Suspicion:
    counted = sorted(entry.counted)[:MAX_CRASHES]
    cleared = sorted(entry.cleared)[: MAX_CRASHES - len(counted)]
    return entry._replace(
        crashes=frozenset(counted + cleared), cleared=frozenset(cleared)
    )


def to_json(entries: list[Suspicion]) -> list[list]:
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
    """Read a peer's entries.

    :raises ValueError: if they make no sense.
    """
    if not isinstance(message, list) or len(message) > MAX_SENT:
        raise ValueError(f"not a list of at most {MAX_SENT} suspicions")
    return [_read(fields) for fields in message]


def _read(fields: typing.Any) -> Suspicion:
    if not isinstance(fields, list) or len(fields) != 4:
        raise ValueError("not a suspicion")
    found, crashes, cleared, expires_at_ms = fields
    if type(expires_at_ms) is not int:
        raise ValueError(f"expires_at_ms is {expires_at_ms!r}")
    return Suspicion(
        check_text(found),
        _read_crashes(crashes),
        _read_crashes(cleared),
        expires_at_ms,
    )


def _read_crashes(fields: typing.Any) -> frozenset[ServerProcess]:
    if not isinstance(fields, list) or len(fields) > MAX_CRASHES:
        raise ValueError(f"not a list of at most {MAX_CRASHES} crashes")
    crashes = set()
    for pair in fields:
        if not isinstance(pair, list) or len(pair) != 2:
            raise ValueError("not a crash")
        crashes.add(ServerProcess(check_text(pair[0]), check_text(pair[1])))
    return frozenset(crashes)


def check_text(value: typing.Any) -> str:
    """Return a short text.

    :raises ValueError: if it is not one.
    """
    if not isinstance(value, str) or len(value) > _MAX_TEXT:
        raise ValueError(f"not a text of at most {_MAX_TEXT} characters")
    return value
