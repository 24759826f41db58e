"""Which instances there are, and what each has in force.

Every heartbeat an instance exchanges a bounded number of entries with one
peer drawn at random, so the cost of a node stays flat as instances are
added. An entry is replaced only by one of a later incarnation or beat.
Source: R. van Renesse, Y. Minsky, M. Hayden, "A Gossip-Style Failure
Detection Service", Middleware 1998.
"""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink import _settings

# Entries in one message, whatever the number of instances.
MAX_ENTRIES = 32
SUSPECT_AFTER_BEATS = 5
FORGET_AFTER_BEATS = 60


class Entry(typing.NamedTuple):
    """What an instance last said of itself, perhaps through others."""

    name: str
    peer_address: str
    data_centre: str
    # The wall time of its start; a later start replaces an earlier one.
    incarnation: int
    beat: int
    revision: int
    leaving: bool


class Member(typing.NamedTuple):
    """An instance as seen from here."""

    name: str
    peer_address: _settings.Address
    data_centre: str
    revision: int
    state: str
    age_ms: int


class _Heard(typing.NamedTuple):
    entry: Entry
    at: int


class Membership:
    """The table of instances, of which this is one."""

    def __init__(
        self,
        settings: _settings.Settings,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._heartbeat_ms = settings.heartbeat_ms
        self._own = Entry(
            settings.name,
            str(settings.peer_address),
            settings.data_centre,
            clock.wall(),
            0,
            0,
            False,
        )
        self._heard: dict[str, _Heard] = {}
        self._listed: dict[str, str] = {}

    @property
    def own_name(self) -> str:
        return self._own.name

    def beat(self, revision: int) -> None:
        """Renew this instance's own entry."""
        self._own = self._own._replace(
            beat=self._own.beat + 1, revision=revision
        )

    def leave(self) -> None:
        self._own = self._own._replace(leaving=True)

    def take_list(self, listed: dict[str, str]) -> None:
        """Take peer addresses by name from the platform's instance list.

        The list only says whom to talk to; who is alive is said by beats.
        """
        self._listed = dict(listed)

    def entries(self) -> list[Entry]:
        """Return this instance's own entry and the most recently heard."""
        recent = sorted(
            self._heard.values(), key=lambda heard: heard.at, reverse=True
        )
        others = [heard.entry for heard in recent[: MAX_ENTRIES - 1]]
        return [self._own, *others]

    def merge(self, entries: list[Entry]) -> None:
        """Take in what a peer sent; late and repeated entries do nothing."""
        now = self._clock.now()
        for entry in entries[:MAX_ENTRIES]:
            if entry.name == self._own.name:
                continue
            heard = self._heard.get(entry.name)
            if heard is None or _age(heard.entry) < _age(entry):
                self._heard[entry.name] = _Heard(entry, now)

    def members(self) -> list[Member]:
        """Return this instance and every one heard of, by name."""
        now = self._clock.now()
        self._forget(now)
        found = [self._member(_Heard(self._own, now), now)]
        found += [self._member(heard, now) for heard in self._heard.values()]
        return sorted(found)

    def peers(self) -> list[_settings.Address]:
        """Return the addresses of other instances that may be alive."""
        known = {
            member.name: str(member.peer_address)
            for member in self.members()
            if member.state != "suspect"
        }
        addresses = {**self._listed, **known}
        addresses.pop(self._own.name, None)
        return [_settings.parse_address(text) for text in addresses.values()]

    def draw_peer(self) -> _settings.Address | None:
        peers = self.peers()
        return self._random.choice(peers) if peers else None

    def _member(self, heard: _Heard, now: int) -> Member:
        age_ms = now - heard.at
        state = "live"
        if age_ms > SUSPECT_AFTER_BEATS * self._heartbeat_ms:
            state = "suspect"
        elif heard.entry.leaving:
            state = "leaving"
        return Member(
            heard.entry.name,
            _settings.parse_address(heard.entry.peer_address),
            heard.entry.data_centre,
            heard.entry.revision,
            state,
            age_ms,
        )

    def _forget(self, now: int) -> None:
        oldest = now - FORGET_AFTER_BEATS * self._heartbeat_ms
        self._heard = {
            name: heard
            for name, heard in self._heard.items()
            if heard.at >= oldest
        }


def to_json(entries: list[Entry]) -> list[list]:
    return [list(entry) for entry in entries]


def from_json(message: typing.Any) -> list[Entry]:
    """Read a peer's entries.

    :raises ValueError: if they make no sense.
    """
    if not isinstance(message, list) or len(message) > MAX_ENTRIES:
        raise ValueError(f"not a list of at most {MAX_ENTRIES} entries")
    return [_read_entry(fields) for fields in message]


def _read_entry(fields: typing.Any) -> Entry:
    try:
        entry = Entry(*fields)
    except TypeError as error:
        raise ValueError(f"not an entry: {error}") from error
    for field, expected in _ENTRY_TYPES.items():
        if type(getattr(entry, field)) is not expected:
            raise ValueError(f"{field} is {getattr(entry, field)!r}")
    _settings.parse_address(entry.peer_address)
    return entry


_ENTRY_TYPES = {
    "name": str,
    "peer_address": str,
    "data_centre": str,
    "incarnation": int,
    "beat": int,
    "revision": int,
    "leaving": bool,
}


def _age(entry: Entry) -> tuple[int, int]:
    return entry.incarnation, entry.beat
