"""Gossip membership: which instances exist and their versions.

At every heartbeat an instance exchanges one message of bounded size with one
peer, and contacts all peers in rounds of random order. The exchange is also
a probe: a peer that fails two in a row is marked as suspect, and the
suspicion spreads like any change until the peer refutes it. Each instance
passes a change on a few times; entries that a peer still misses are found
by comparing digests of the tables. The cost for each instance therefore
does not grow with the number of instances.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002, for the probe
and the dissemination, without its indirect probes; A. Dadgar, J. Phillips,
J. Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017, for the
rule that an instance which hears from nobody doubts its own connection;
R. van Renesse, Y. Minsky, M. Hayden, "A Gossip-Style Failure Detection
Service", Middleware 1998, for filling messages up with random entries.
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
# Each instance that learns a change of an instance's status (its start,
# address, leaving or suspicion) passes it on this many times
# log2(instances + 1), rounded up.
_RETRANSMIT_MULTIPLIER = 1
# A change of only the versions is passed on this many times, or more if an
# earlier change of the entry has more sends left. It needn't grow with the
# number of instances, as each sends its own versions in every exchange.
_VERSION_UPDATE_SENDS = 3
# An instance that stays suspected for this many heartbeats is removed.
FORGET_AFTER_HEARTBEATS = 60

Entry = _member_entries.Entry
to_json = _member_entries.to_json
from_json = _member_entries.from_json


class Member(typing.NamedTuple):
    """An instance as this instance's table shows it."""

    name: str
    peer_address: _settings.Address
    data_centre: str
    # All configuration changes up to this version are in force there.
    revision: int
    # The highest configuration version in force there.
    newest: int
    # "live", "suspect" or "leaving".
    state: str
    # Time since its last message, or since news of it from another instance.
    age_ms: int


class Peer(typing.NamedTuple):
    """The name and address of the peer to exchange entries with."""

    name: str
    address: _settings.Address


class _KnownInstance:
    """The table's record of another instance."""

    def __init__(self, entry: Entry, now: int) -> None:
        self.entry = entry
        self.address = _settings.parse_address(entry.peer_address)
        # Monotonic time in milliseconds of its last message, or of the last
        # newer entry for it that wasn't a suspicion.
        self.last_update_at = now
        # When the suspicion was learnt; used only while the entry is suspect.
        self.suspected_at = now
        # How many more messages to peers are to contain its entry.
        self.sends_left = 0


class Membership:
    """The table of all known instances, with this instance's own entry."""

    def __init__(
        self,
        settings: _settings.Settings,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._suspect_expiry_ms = (
            FORGET_AFTER_HEARTBEATS * settings.heartbeat_ms
        )
        self._own_entry = Entry(
            settings.name,
            str(settings.peer_address),
            settings.data_centre,
            clock.wall(),
        )
        self._known: dict[str, _KnownInstance] = {}
        # XOR of the digests of all entries, the own one included.
        self._digest = _member_entries.entry_digest(self._own_entry)
        # Peer addresses by name, from the platform's instance list.
        self._listed_addresses: dict[str, str] = {}
        self._probe_schedule = _peer_probes.ProbeSchedule(clock, random_source)
        self._last_heard_at = clock.now()
        self._isolated = False

    @property
    def own_name(self) -> str:
        return self._own_entry.name

    @property
    def digest(self) -> str:
        """Digest of the table, as 16 hexadecimal digits.

        Equal for two tables that have the same unsuspected instances, with
        the same incarnations and leaving flags.
        """
        return f"{self._digest:016x}"

    @property
    def last_heard_at(self) -> int:
        """When the last message from any peer came; the start if none did."""
        return self._last_heard_at

    @property
    def heard_peer_count(self) -> int:
        """Number of different peers that answered since the start, up to 8."""
        return self._probe_schedule.heard_peer_count

    @property
    def responsive_peer_count(self) -> int:
        """Number of listed or unsuspected peers that are responsive.

        Those that failed two exchanges in a row are not.
        """
        return len(
            self._probe_schedule.without_unresponsive(
                self._contact_addresses()
            )
        )

    @property
    def knows_other_instances(self) -> bool:
        """Whether the platform's list or the table has another instance."""
        listed = self._listed_addresses.keys() - {self.own_name}
        return bool(listed or self._known)

    def publish_versions(self, revision: int, newest: int) -> None:
        """Set the configuration versions in this instance's own entry."""
        renewed = self._own_entry._replace(revision=revision, newest=newest)
        if renewed != self._own_entry:
            self._replace_own_entry(renewed)

    def announce_leaving(self) -> None:
        """Mark this instance as leaving in its own entry."""
        self._replace_own_entry(self._own_entry._replace(leaving=True))

    def set_isolated(self, isolated: bool) -> None:
        """Record whether neither the object API nor a peer can be reached.

        While isolated, this instance lists itself as suspect.
        """
        if isolated != self._isolated:
            _logs.event("isolated" if isolated else "isolation_over")
        self._isolated = isolated

    def _replace_own_entry(self, entry: Entry) -> None:
        """Replace the own entry by one with the next sequence number."""
        renewed = entry._replace(sequence=entry.sequence + 1)
        self._digest ^= _member_entries.entry_digest(self._own_entry)
        self._digest ^= _member_entries.entry_digest(renewed)
        self._own_entry = renewed

    def apply_instance_list(self, listed: dict[str, str]) -> None:
        """Set the peer addresses by name from the platform's instance list.

        The list only says whom to contact; exchanges show who is alive.
        """
        self._listed_addresses = dict(listed)

    def select_request_entries(self, peer: str = "") -> list[Entry]:
        """Return the own entry and changes to pass on to a peer.

        Counts the changes as sent.
        """
        selected = {self.own_name: self._own_entry}
        known = self._known.get(peer)
        if known is not None and known.entry.suspect:
            # Tell a suspect of the suspicion, so that it can refute it.
            selected[peer] = known.entry
        remaining = MAX_ENTRIES - len(selected)
        selected |= {
            entry.name: entry
            for entry in self._next_pending_entries(remaining)
        }
        return list(selected.values())

    def select_response_entries(
        self, requester: Entry, digest: str
    ) -> list[Entry]:
        """Return the entries that answer a request with that digest.

        If the digests of the tables differ, random entries fill the message.
        """
        selected = {
            entry.name: entry
            for entry in self.select_request_entries(requester.name)
        }
        if digest != self.digest:
            selected |= self._sample_entries(
                MAX_ENTRIES - len(selected), selected
            )
        return list(selected.values())

    def _next_pending_entries(self, count: int) -> list[Entry]:
        """Return changes to pass on, those with most sends left first."""
        pending = [
            known for known in self._known.values() if known.sends_left > 0
        ]
        pending.sort(key=lambda known: known.sends_left, reverse=True)
        for known in pending[:count]:
            known.sends_left -= 1
        return [known.entry for known in pending[:count]]

    def _sample_entries(
        self, count: int, chosen: dict[str, Entry]
    ) -> dict[str, Entry]:
        """Choose other entries at random, so that each is sent eventually."""
        others = [
            known.entry
            for known in self._known.values()
            if not known.entry.suspect and known.entry.name not in chosen
        ]
        drawn = self._random.sample(others, min(count, len(others)))
        return {entry.name: entry for entry in drawn}

    def merge(self, entries: list[Entry]) -> None:
        """Merge a peer's entries; old and repeated entries change nothing.

        The first entry is the sender's own, so it shows the sender is alive.
        """
        now = self._clock.now()
        self._last_heard_at = now
        for entry in entries[:MAX_ENTRIES]:
            if entry.name == self.own_name:
                self._refute_own_entry(entry)
            else:
                self._merge_entry(entry, now)
        sender = self._known.get(entries[0].name) if entries else None
        if sender is not None:
            sender.last_update_at = now

    def _merge_entry(self, entry: Entry, now: int) -> None:
        """Replace the known entry if this one has greater precedence."""
        known = self._known.get(entry.name)
        sends = self._retransmit_limit()
        if known is None:
            if entry.suspect:
                # Accepting it would keep a dead instance in the tables for
                # ever: each table that removed it would learn it again from
                # another.
                return
            known = self._known[entry.name] = _KnownInstance(entry, now)
        elif known.entry.precedence >= entry.precedence:
            return
        else:
            self._digest ^= _member_entries.entry_digest(known.entry)
            if known.entry.status == entry.status:
                sends = max(known.sends_left, _VERSION_UPDATE_SENDS)
            known.entry = entry
            known.address = _settings.parse_address(entry.peer_address)
            if entry.suspect:
                known.suspected_at = now
            else:
                known.last_update_at = now
        self._digest ^= _member_entries.entry_digest(entry)
        known.sends_left = sends

    def _retransmit_limit(self) -> int:
        """Return how often to pass on a change of an instance's status."""
        instances = len(self._known) + 1
        return math.ceil(_RETRANSMIT_MULTIPLIER * math.log2(instances + 1))

    def _refute_own_entry(self, entry: Entry) -> None:
        """Raise the own entry above one from a peer that would replace it."""
        if entry.precedence <= self._own_entry.precedence:
            return
        if entry.incarnation > self._own_entry.incarnation:
            # The wall clock was set back between two starts, or another
            # instance runs under this name.
            _logs.event(
                "name_in_use",
                name=entry.name,
                other_address=entry.peer_address,
            )
            self._replace_own_entry(
                self._own_entry._replace(incarnation=entry.incarnation + 1)
            )
            return
        self._replace_own_entry(
            self._own_entry._replace(sequence=entry.sequence)
        )

    def members(self) -> list[Member]:
        """Return this and all known instances by name.

        Removes expired suspects first.
        """
        now = self._clock.now()
        self._remove_expired_suspects(now)
        result = [self._own_member(now)]
        result += [_to_member(known, now) for known in self._known.values()]
        return sorted(result)

    def members_ahead_of(self, revision: int, newest: int) -> list[Member]:
        """Return unsuspected members with newer versions than these."""
        now = self._clock.now()
        return [
            _to_member(known, now)
            for known in self._known.values()
            if not known.entry.suspect
            and (
                known.entry.revision > revision or known.entry.newest > newest
            )
        ]

    def _own_member(self, now: int) -> Member:
        """Return this instance, as a suspect while it is isolated."""
        own = _KnownInstance(self._own_entry, now)
        if self._isolated:
            # Show it as the other instances do.
            own.entry = self._own_entry._replace(suspect=True)
            own.last_update_at = self._last_heard_at
        return _to_member(own, now)

    def peer_addresses(self) -> list[_settings.Address]:
        """Return the addresses of listed or unsuspected other instances."""
        addresses = self._contact_addresses()
        return [_settings.parse_address(text) for text in addresses.values()]

    def _contact_addresses(self) -> dict[str, str]:
        """Return addresses of listed and unsuspected peers by name."""
        known = {
            name: known.entry.peer_address
            for name, known in self._known.items()
            if not known.entry.suspect
        }
        addresses = {**self._listed_addresses, **known}
        addresses.pop(self.own_name, None)
        return addresses

    def next_peer(self) -> Peer | None:
        """Return the peer to exchange entries with at this heartbeat."""
        addresses = self._contact_addresses()
        suspects = [name for name in self._known if name not in addresses]
        name = self._probe_schedule.next_peer(
            addresses, suspects, self._last_heard_at
        )
        if name is None:
            return None
        known = self._known.get(name)
        address = addresses.get(name) or (known and known.entry.peer_address)
        return Peer(name, _settings.parse_address(address or ""))

    def record_answer(self, name: str) -> None:
        """Record that a peer answered an exchange."""
        self._probe_schedule.record_answer(name)

    def record_failure(self, name: str) -> None:
        """Record a failed exchange; suspect the peer after the second.

        If no peer was heard between the two, this instance itself may be cut
        off from the network, so it doesn't pass the suspicion on.
        """
        failure = self._probe_schedule.record_failure(
            name, self._last_heard_at
        )
        known = self._known.get(name)
        if known is None or known.entry.suspect:
            return
        match failure:
            case _peer_probes.ProbeFailure.FIRST:
                pass
            case _peer_probes.ProbeFailure.DOUBTFUL:
                self._mark_suspect(known, sends=0)
            case _peer_probes.ProbeFailure.CERTAIN:
                self._mark_suspect(known, self._retransmit_limit())

    def _mark_suspect(self, known: _KnownInstance, sends: int) -> None:
        """Mark an instance as suspect and pass that on ``sends`` times."""
        self._digest ^= _member_entries.entry_digest(known.entry)
        known.entry = known.entry._replace(suspect=True)
        known.suspected_at = self._clock.now()
        known.sends_left = sends
        _logs.event("suspected", member=known.entry.name, passed_on=sends > 0)

    def _remove_expired_suspects(self, now: int) -> None:
        """Remove instances that have been suspected for too long."""
        oldest = now - self._suspect_expiry_ms
        for name, known in list(self._known.items()):
            if known.entry.suspect and known.suspected_at < oldest:
                self._digest ^= _member_entries.entry_digest(known.entry)
                del self._known[name]


def _entry_state(entry: Entry) -> str:
    if entry.suspect:
        return "suspect"
    return "leaving" if entry.leaving else "live"


def _to_member(known: _KnownInstance, now: int) -> Member:
    entry = known.entry
    return Member(
        entry.name,
        known.address,
        entry.data_centre,
        entry.revision,
        entry.newest,
        _entry_state(entry),
        now - known.last_update_at,
    )
