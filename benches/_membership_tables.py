"""The membership tables of many instances, run in one process by rounds."""

from __future__ import annotations

import json
import random
import time
import typing

from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.members import _membership

_BEAT_MS = 1000
# Heads of a question and an answer, and of what comes with the entries.
_HEAD_BYTES = 190
_MOST_BEATS = 2000
_LOOK_BEATS = 2


class Own(typing.NamedTuple):
    """The settings that membership reads."""

    name: str
    peer_address: _settings.Address
    data_centre: str
    heartbeat_ms: int = _BEAT_MS


class _Group:
    def __init__(self, count: int, seed: int) -> None:
        self.clock = _clock.ManualClock()
        source = random.Random(seed)
        self.names = [f"instance-{number}" for number in range(count)]
        addresses = {
            name: f"10.{number // 250}.{number % 250}.7:7101"
            for number, name in enumerate(self.names)
        }
        self.tables = {}
        for name in self.names:
            address = _settings.parse_address(addresses[name])
            own = Own(name, address, "izmir-a")
            self.tables[name] = _membership.Membership(
                typing.cast(_settings.Settings, own),
                self.clock,
                random.Random(source.random()),
            )
            self.tables[name].apply_instance_list(addresses)
        self.silent: set[str] = set()
        self.sent_bytes = 0

    def beat(self) -> None:
        self.clock.advance(_BEAT_MS)
        for name in self.names:
            if name not in self.silent:
                self._exchange(self.tables[name])

    def _exchange(self, table: _membership.Membership) -> None:
        peer = table.next_peer()
        if peer is None:
            return
        asked = table.select_request_entries(peer.name)
        self._count(asked)
        if peer.name in self.silent:
            table.record_failure(peer.name)
            return
        other = self.tables[peer.name]
        digest = table.digest
        other.merge(asked)
        told = other.select_response_entries(asked[0], digest)
        self._count(told)
        table.merge(told)
        table.record_answer(peer.name)

    def _count(self, entries: list[_membership.Entry]) -> None:
        message = _membership.to_json(entries)
        self.sent_bytes += _HEAD_BYTES
        self.sent_bytes += len(json.dumps(message, separators=(",", ":")))

    def beats_until(self, holds: typing.Callable[[], bool]) -> int:
        for beats in range(_MOST_BEATS):
            # Looking is dearer than a beat of a large group.
            if beats % _LOOK_BEATS == 0 and holds():
                return beats
            self.beat()
        raise RuntimeError(f"not within {_MOST_BEATS} heartbeats")

    def bytes_per_node(self, beats: int) -> float:
        """Return the bytes sent by one instance in a second."""
        before = self.sent_bytes
        for _ in range(beats):
            self.beat()
        return (self.sent_bytes - before) / beats / len(self.names)

    def all_see(self, name: str, field: str, value: object) -> bool:
        for other in self.names:
            if other in self.silent:
                continue
            found = _find(self.tables[other], name)
            if found is None or getattr(found, field) != value:
                return False
        return True

    def same_tables(self) -> bool:
        return len({table.digest for table in self.tables.values()}) == 1

    def beats_to_adopt(self, newest: int) -> int:
        """Let one have something newer; others take it when they hear.

        This is how a change spreads that only one instance knows, as in an
        outage right after it was accepted.
        """
        self.tables[self.names[0]].publish_versions(newest, newest)
        having = {self.names[0]}
        for beats in range(_MOST_BEATS):
            if len(having) == len(self.names):
                return beats
            self.beat()
            for name in self.names:
                table = self.tables[name]
                if name not in having and table.members_ahead_of(
                    newest - 1, newest
                ):
                    table.publish_versions(newest, newest)
                    having.add(name)
        raise RuntimeError(f"not within {_MOST_BEATS} heartbeats")

    def share_knowing(self, revision: int) -> float:
        """Return how much of what all have in force is known to all."""
        nothing_newer = 2**62
        known = sum(
            1 + len(table.members_ahead_of(revision - 1, nothing_newer))
            for table in self.tables.values()
        )
        return known / len(self.names) ** 2

    def suspicions(self) -> int:
        return sum(
            member.state == "suspect"
            for name in self.names
            if name not in self.silent
            for member in self.tables[name].members()
            if member.name not in self.silent
        )


def _find(
    table: _membership.Membership, name: str
) -> _membership.Member | None:
    for member in table.members():
        if member.name == name:
            return member
    return None


def measure(count: int, seed: int) -> dict[str, float]:
    """Return beats and bytes a second for a group of that many."""
    group = _Group(count, seed)
    began = time.process_time()
    start_beats = group.beats_until(group.same_tables)
    # One change of configuration, in force everywhere at once.
    before, beats_before = group.sent_bytes, group.clock.now()
    for table in group.tables.values():
        table.publish_versions(1, 1)
    change_beats = group.beats_until(lambda: group.share_knowing(1) >= 0.95)
    change_bytes = (group.sent_bytes - before) / count
    first = group.tables[group.names[0]]
    first.publish_versions(2, 2)
    one_beats = group.beats_until(
        lambda: group.all_see(group.names[0], "revision", 2)
    )
    adopt_beats = group.beats_to_adopt(3)
    for _ in range(100):
        group.beat()
    quiet_bytes = group.bytes_per_node(30)
    false_suspicions = group.suspicions()
    lost = group.names[count // 2]
    group.silent.add(lost)
    suspect_beats = group.beats_until(
        lambda: group.all_see(lost, "state", "suspect")
    )
    false_suspicions += group.suspicions()
    beats = (group.clock.now() - beats_before) / _BEAT_MS + start_beats
    used_ms = 1000 * (time.process_time() - began)
    return {
        "start_beats": start_beats,
        "one_revision_beats": one_beats,
        "adopted_everywhere_beats": adopt_beats,
        "revisions_95_percent_beats": change_beats,
        "revisions_sent_bytes_per_s": round(
            change_bytes / max(1, change_beats), 1
        ),
        "quiet_sent_bytes_per_s": round(quiet_bytes, 1),
        "suspect_beats": suspect_beats,
        "false_suspicions": false_suspicions,
        "processor_ms_per_beat": round(used_ms / beats / count, 4),
    }
