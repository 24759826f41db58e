"""Which instances there are, and what each has in force.

Every heartbeat an instance exchanges a message of bounded size with one
peer, going round all of them in random order. The exchange is a probe: a
peer that fails two in a row is suspected, and the suspicion is passed on
until the peer denies it. What changed is passed on a few times by each
instance, and what a peer still misses is found by comparing digests of the
tables. So the cost of a node stays flat as instances are added.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002, for the probe
and the passing on, without its indirect probes; A. Dadgar, J. Phillips,
J. Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017, for the
rule that an instance which hears nobody doubts itself; R. van Renesse,
Y. Minsky, M. Hayden, "A Gossip-Style Failure Detection Service",
Middleware 1998, for filling up with random entries.
"""

from __future__ import annotations

import math
import random
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.members import _member_entries
from geraniumlink.members import _peer_probes

MAX_ENTRIES = _member_entries.MAX_ENTRIES
# How often news of who is there is passed on: this many times log2 of the
# instances; and how often news of what one has in force, which each
# instance also says itself.
_SENDS_PER_DOUBLING = 1
_REVISION_SENDS = 3
FORGET_AFTER_HEARTBEATS = 60

Entry = _member_entries.Entry
to_json = _member_entries.to_json
from_json = _member_entries.from_json


class Member(typing.NamedTuple):
    """An instance as seen from here."""

    name: str
    peer_address: _settings.Address
    data_centre: str
    # All changes up to this version are in force there.
    revision: int
    # The highest version in force there.
    newest: int
    # live, suspect or leaving.
    state: str
    # Since this instance last heard from it, or something new of it.
    age_ms: int


class Peer(typing.NamedTuple):
    """Whom to exchange with."""

    name: str
    address: _settings.Address


class _Known:
    """An instance that was heard of."""

    def __init__(self, entry: Entry, now: int) -> None:
        self.entry = entry
        self.address = _settings.parse_address(entry.peer_address)
        self.heard_at = now
        self.suspected_at = now
        # How often its entry is still to be passed on.
        self.sends_left = 0


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
        self._forget_ms = FORGET_AFTER_HEARTBEATS * settings.heartbeat_ms
        self._own = Entry(
            settings.name,
            str(settings.peer_address),
            settings.data_centre,
            clock.wall(),
        )
        self._known: dict[str, _Known] = {}
        self._digest = _member_entries.entry_digest(self._own)
        self._listed: dict[str, str] = {}
        self._probes = _peer_probes.ProbeSchedule(clock, random_source)
        self._heard_at = clock.now()
        self._isolated = False

    @property
    def own_name(self) -> str:
        return self._own.name

    @property
    def digest(self) -> str:
        """Equal for two tables that see the same instances."""
        return f"{self._digest:016x}"

    @property
    def last_heard_at(self) -> int:
        """When any peer was last heard; the start if none was."""
        return self._heard_at

    @property
    def heard_peer_count(self) -> int:
        """Different peers that answered since the start, up to 8."""
        return self._probes.heard_peer_count

    @property
    def responsive_peer_count(self) -> int:
        """How many peers are known and do not fail to answer."""
        return len(self._probes.responsive(self._addresses()))

    @property
    def knows_other_instances(self) -> bool:
        """Whether any other instance is listed or was heard of lately."""
        listed = self._listed.keys() - {self.own_name}
        return bool(listed or self._known)

    def publish_versions(self, revision: int, newest: int) -> None:
        """Say in this instance's own entry what it has in force."""
        renewed = self._own._replace(revision=revision, newest=newest)
        if renewed != self._own:
            self._set_own(renewed)

    def announce_leaving(self) -> None:
        self._set_own(self._own._replace(leaving=True))

    def set_isolated(self, isolated: bool) -> None:
        """Say whether this instance hears neither the API nor a peer."""
        if isolated != self._isolated:
            _logs.event("isolated" if isolated else "isolation_over")
        self._isolated = isolated

    def _set_own(self, entry: Entry) -> None:
        renewed = entry._replace(sequence=entry.sequence + 1)
        self._digest ^= _member_entries.entry_digest(self._own)
        self._digest ^= _member_entries.entry_digest(renewed)
        self._own = renewed

    def apply_instance_list(self, listed: dict[str, str]) -> None:
        """Take peer addresses by name from the platform's instance list.

        The list only says whom to talk to; who is alive is seen by talking.
        """
        self._listed = dict(listed)

    def select_request_entries(self, peer: str = "") -> list[Entry]:
        """Return this instance's own entry and what to pass on to a peer."""
        found = {self.own_name: self._own}
        known = self._known.get(peer)
        if known is not None and known.entry.suspect:
            # So that it can deny it.
            found[peer] = known.entry
        room = MAX_ENTRIES - len(found)
        found |= {entry.name: entry for entry in self._pending(room)}
        return list(found.values())

    def select_response_entries(
        self, asker: Entry, digest: str
    ) -> list[Entry]:
        """Return what to tell an instance whose table has that digest."""
        found = {
            entry.name: entry
            for entry in self.select_request_entries(asker.name)
        }
        if digest != self.digest:
            found |= self._fill(MAX_ENTRIES - len(found), found)
        return list(found.values())

    def _pending(self, count: int) -> list[Entry]:
        """Return changes to pass on, those sent least often first."""
        pending = [
            known for known in self._known.values() if known.sends_left > 0
        ]
        pending.sort(key=lambda known: known.sends_left, reverse=True)
        for known in pending[:count]:
            known.sends_left -= 1
        return [known.entry for known in pending[:count]]

    def _fill(self, count: int, chosen: dict[str, Entry]) -> dict[str, Entry]:
        """Choose others at random, so that each entry travels in time."""
        others = [
            known.entry
            for known in self._known.values()
            if not known.entry.suspect and known.entry.name not in chosen
        ]
        drawn = self._random.sample(others, min(count, len(others)))
        return {entry.name: entry for entry in drawn}

    def merge(self, entries: list[Entry]) -> None:
        """Take in what a peer sent; late and repeated entries do nothing.

        The first entry is the sender's own, so the sender was heard.
        """
        now = self._clock.now()
        self._heard_at = now
        for entry in entries[:MAX_ENTRIES]:
            if entry.name == self.own_name:
                self._take_own(entry)
            else:
                self._take(entry, now)
        sender = self._known.get(entries[0].name) if entries else None
        if sender is not None:
            sender.heard_at = now

    def _take(self, entry: Entry, now: int) -> None:
        known = self._known.get(entry.name)
        sends = self._sends()
        if known is None:
            if entry.suspect:
                # Taking it would keep a dead instance in the tables for
                # ever, as each that forgot it would hear of it again.
                return
            known = self._known[entry.name] = _Known(entry, now)
        elif known.entry.precedence >= entry.precedence:
            return
        else:
            self._digest ^= _member_entries.entry_digest(known.entry)
            if known.entry.status == entry.status:
                sends = max(known.sends_left, _REVISION_SENDS)
            known.entry = entry
            known.address = _settings.parse_address(entry.peer_address)
            if entry.suspect:
                known.suspected_at = now
            else:
                known.heard_at = now
        self._digest ^= _member_entries.entry_digest(entry)
        known.sends_left = sends

    def _sends(self) -> int:
        instances = len(self._known) + 1
        return math.ceil(_SENDS_PER_DOUBLING * math.log2(instances + 1))

    def _take_own(self, entry: Entry) -> None:
        """Deny what others say of this instance if it outdates it."""
        if entry.precedence <= self._own.precedence:
            return
        if entry.incarnation > self._own.incarnation:
            # The wall clock stepped back between two starts, or another
            # instance runs under this name.
            _logs.event(
                "name_in_use",
                name=entry.name,
                other_address=entry.peer_address,
            )
            self._set_own(
                self._own._replace(incarnation=entry.incarnation + 1)
            )
            return
        self._set_own(self._own._replace(sequence=entry.sequence))

    def members(self) -> list[Member]:
        """Return this instance and every one heard of, by name."""
        now = self._clock.now()
        self._forget(now)
        found = [self._own_member(now)]
        found += [_member(known, now) for known in self._known.values()]
        return sorted(found)

    def members_ahead_of(self, revision: int, newest: int) -> list[Member]:
        """Return members not suspected that know more changes."""
        now = self._clock.now()
        return [
            _member(known, now)
            for known in self._known.values()
            if not known.entry.suspect
            and (
                known.entry.revision > revision or known.entry.newest > newest
            )
        ]

    def _own_member(self, now: int) -> Member:
        own = _Known(self._own, now)
        if self._isolated:
            # As the others see it.
            own.entry = self._own._replace(suspect=True)
            own.heard_at = self._heard_at
        return _member(own, now)

    def peer_addresses(self) -> list[_settings.Address]:
        """Return the addresses of other instances that may be alive."""
        addresses = self._addresses()
        return [_settings.parse_address(text) for text in addresses.values()]

    def _addresses(self) -> dict[str, str]:
        known = {
            name: known.entry.peer_address
            for name, known in self._known.items()
            if not known.entry.suspect
        }
        addresses = {**self._listed, **known}
        addresses.pop(self.own_name, None)
        return addresses

    def next_peer(self) -> Peer | None:
        """Return whom to exchange with at this heartbeat."""
        addresses = self._addresses()
        suspects = [name for name in self._known if name not in addresses]
        name = self._probes.next_peer(addresses, suspects, self._heard_at)
        if name is None:
            return None
        known = self._known.get(name)
        address = addresses.get(name) or (known and known.entry.peer_address)
        return Peer(name, _settings.parse_address(address or ""))

    def record_answer(self, name: str) -> None:
        """Note that a peer answered an exchange."""
        self._probes.record_answer(name)

    def record_failure(self, name: str) -> None:
        """Note that an exchange failed; suspect the peer at the second.

        An instance that heard nobody in between may itself be cut off. It
        keeps the suspicion to itself.
        """
        failure = self._probes.record_failure(name, self._heard_at)
        known = self._known.get(name)
        if known is None or known.entry.suspect:
            return
        match failure:
            case _peer_probes.ProbeFailure.FIRST:
                pass
            case _peer_probes.ProbeFailure.DOUBTFUL:
                self._suspect(known, sends=0)
            case _peer_probes.ProbeFailure.CERTAIN:
                self._suspect(known, self._sends())

    def _suspect(self, known: _Known, sends: int) -> None:
        self._digest ^= _member_entries.entry_digest(known.entry)
        known.entry = known.entry._replace(suspect=True)
        known.suspected_at = self._clock.now()
        known.sends_left = sends
        _logs.event("suspected", member=known.entry.name, passed_on=sends > 0)

    def _forget(self, now: int) -> None:
        """Drop those that were suspected for long."""
        oldest = now - self._forget_ms
        for name, known in list(self._known.items()):
            if known.entry.suspect and known.suspected_at < oldest:
                self._digest ^= _member_entries.entry_digest(known.entry)
                del self._known[name]


def _state(entry: Entry) -> str:
    if entry.suspect:
        return "suspect"
    return "leaving" if entry.leaving else "live"


def _member(known: _Known, now: int) -> Member:
    entry = known.entry
    return Member(
        entry.name,
        known.address,
        entry.data_centre,
        entry.revision,
        entry.newest,
        _state(entry),
        now - known.heard_at,
    )
