"""The replicas known here, and what this instance learned of each.

What is registered says who exists, who leaves and what each holds. An entry
that vanishes without having been marked as leaving is ambiguous: the replica
may have left without a word, or its entry may have lapsed while the store
was down. It is used for a little longer, after all others.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.serving import _types

# An entry is written again within about 2 s after the store's return.
VANISHED_MARGIN_MS = 300
# First and longest pause after a connection could not be opened.
FIRST_PAUSE_MS = 300
LONGEST_PAUSE_MS = 3000
# Half-life of what was learned from the replica's behaviour.
MEMORY_MS = 3000
# Weight of one outcome in the moving averages.
OUTCOME_WEIGHT = 0.15
# A replica's word that it lacks a model stands until its entry follows,
# which takes a heartbeat.
NOT_LOADED_TTL_MS = 1500
# An order that was just confirmed shows in the entry after a heartbeat.
LOADED_TTL_MS = 4000
MAX_PARTS = 4096
# What other instances have sent changes within this.
PEER_LOAD_STALE_MS = 1500


class PeerLoad(typing.NamedTuple):
    """The load that other instances put on a replica."""

    in_flight: int
    # Prompt tokens sent and not yet followed by a first event, by rank.
    prefill_tokens: dict[int, int]
    reported_at: int


class Replica:
    """A replica and the load that this instance puts on it."""

    def __init__(self, entry: _types.ReplicaEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        # Prompt tokens sent and not yet followed by a first event, by rank.
        self.prefill_tokens: collections.Counter[int] = collections.Counter()
        self.last_activity_at = 0
        self._peer_load: PeerLoad | None = None
        self.load: _types.LoadReport | None = None
        self.load_at = 0
        # Since when the entry is missing; None while it is there.
        self.vanished_at: int | None = None
        self.leaving = entry.leaving
        self.paused_until = 0
        self._pause_ms = FIRST_PAUSE_MS
        self._failures = 0.0
        self._lag_ms = 0.0
        self._learned_at = 0
        self._prefix_blocks: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._absent: dict[tuple[str, str], int] = {}
        self._placed: dict[tuple[str, str], int] = {}

    def can_serve(self, model: str, adapter: str, now: int) -> bool:
        """Whether a request for them can run there, as far as is known."""
        if not model:
            return True
        if self._absent.get((model, adapter), 0) > now:
            return False
        if self._absent.get((model, ""), 0) > now:
            return False
        if self._placed.get((model, adapter), 0) > now:
            return True
        resident = self.entry.residents.get(model)
        return resident is not None and (not adapter or adapter in resident)

    def note_not_loaded(self, model: str, adapter: str, now: int) -> None:
        """Take the replica's word that it can't run a request for them."""
        self._absent[model, adapter] = now + NOT_LOADED_TTL_MS
        self._placed.pop((model, adapter), None)

    def note_loaded(self, model: str, adapter: str, now: int) -> None:
        """Take the controller's word that they were loaded there."""
        self._placed[model, adapter] = now + LOADED_TTL_MS
        self._absent.pop((model, adapter), None)
        self._absent.pop((model, ""), None)

    def update(self, entry: _types.ReplicaEntry) -> None:
        if entry.residents != self.entry.residents:
            self._absent.clear()
        self.entry = entry
        self.vanished_at = None
        # A replica that has begun to leave never comes back.
        self.leaving = self.leaving or entry.leaving

    def failures(self, now: int) -> float:
        """Share of late outcomes that were failures, fading with time."""
        return self._failures * self._fade(now)

    def lag_ms(self, now: int) -> float:
        """By how much it was later than expected, fading with time."""
        return self._lag_ms * self._fade(now)

    def note_outcome(self, failed: bool, now: int) -> None:
        self._age(now)
        self._failures += OUTCOME_WEIGHT * (float(failed) - self._failures)

    def note_lag(self, lag_ms: float, now: int) -> None:
        self._age(now)
        self._lag_ms += 2 * OUTCOME_WEIGHT * (max(0, lag_ms) - self._lag_ms)

    def note_unreachable(self, now: int, reason: str) -> None:
        """Stop sending for a while, longer each time."""
        if now >= self.paused_until:
            _logs.event(
                "replica_paused",
                replica=self.entry.name,
                pause_ms=self._pause_ms,
                reason=reason,
            )
        self.paused_until = now + self._pause_ms
        self._pause_ms = min(2 * self._pause_ms, LONGEST_PAUSE_MS)

    def note_activity(self, now: int) -> None:
        self.last_activity_at = now
        if self.paused_until:
            _logs.event("replica_trusted", replica=self.entry.name)
        self.paused_until = 0
        self._pause_ms = FIRST_PAUSE_MS

    def note_load(self, load: _types.LoadReport, now: int) -> None:
        self.load = load
        self.load_at = now

    def note_peer_load(self, peer_load: PeerLoad) -> None:
        """Take what other instances told of their load."""
        self._peer_load = peer_load

    def recent_peer_load(self, now: int) -> PeerLoad | None:
        """Return the others' load, if it was told lately."""
        peer_load = self._peer_load
        if (
            peer_load is None
            or now - peer_load.reported_at > PEER_LOAD_STALE_MS
        ):
            return None
        return peer_load

    def tokens_ahead(self, priority: int, now: int) -> int:
        """Prompt tokens that are read before a request of that rank."""
        counts = [dict(self.prefill_tokens)]
        peer_load = self.recent_peer_load(now)
        if peer_load is not None:
            counts.append(peer_load.prefill_tokens)
        return sum(
            tokens
            for prefill_tokens in counts
            for rank, tokens in prefill_tokens.items()
            if rank <= priority
        )

    def uncached_tokens(self, request: _types.Request) -> int:
        """Prompt tokens that it hasn't read for this instance lately."""
        left = request.prompt_tokens
        for part in request.prefix_blocks:
            if (request.model, part.key) not in self._prefix_blocks:
                break
            left -= part.tokens
        return max(0, left)

    def remember_prefix(self, request: _types.Request) -> None:
        for part in request.prefix_blocks:
            key = (request.model, part.key)
            self._prefix_blocks[key] = None
            self._prefix_blocks.move_to_end(key)
        while len(self._prefix_blocks) > MAX_PARTS:
            self._prefix_blocks.popitem(last=False)

    def _fade(self, now: int) -> float:
        return 0.5 ** ((now - self._learned_at) / MEMORY_MS)

    def _age(self, now: int) -> None:
        fade = self._fade(now)
        self._failures *= fade
        self._lag_ms *= fade
        self._learned_at = now


class Replicas:
    """All registered replicas by name."""

    def __init__(self, clock: _clock.Clock, leaving_bound_ms: int) -> None:
        self._clock = clock
        self._vanished_ms = leaving_bound_ms - VANISHED_MARGIN_MS
        self._known: dict[str, Replica] = {}
        self._has_full_list = False

    @property
    def has_full_list(self) -> bool:
        """Whether the whole list was read once."""
        return self._has_full_list

    def get(self, name: str) -> Replica | None:
        return self._known.get(name)

    def all(self) -> list[Replica]:
        return list(self._known.values())

    def registered(self, service: str) -> list[Replica]:
        """Return those that are registered, leaving or not."""
        self._forget_vanished()
        return [
            replica
            for replica in self._known.values()
            if replica.entry.service == service
        ]

    def available(self, service: str) -> list[Replica]:
        """Return those that may get new requests now."""
        now = self._clock.now()
        found = [
            replica
            for replica in self.registered(service)
            if not replica.leaving and replica.paused_until <= now
        ]
        certain = [r for r in found if r.vanished_at is None]
        return certain or found

    def unreachable_names(self) -> set[str]:
        """Return those to which no connection could be opened lately."""
        now = self._clock.now()
        return {
            name
            for name, replica in self._known.items()
            if replica.paused_until > now
        }

    def replace_all(self, entries: Iterable[_types.ReplicaEntry]) -> None:
        """Take in the whole list."""
        listed = {entry.name: entry for entry in entries}
        for entry in listed.values():
            self.update(entry)
        for name in self._known.keys() - listed.keys():
            self.mark_missing(name)
        self._has_full_list = True

    def update(self, entry: _types.ReplicaEntry) -> None:
        known = self._known.get(entry.name)
        if known is None or _is_other_process(known.entry, entry):
            self._known[entry.name] = Replica(entry)
            _logs.event(
                "replica_seen",
                replica=entry.name,
                service=entry.service,
                address=str(entry.address),
                incarnation=entry.started_at,
            )
            return
        if known.vanished_at is not None:
            missing_ms = self._clock.now() - known.vanished_at
            _logs.event(
                "replica_back", replica=entry.name, missing_ms=missing_ms
            )
        if entry.leaving and not known.leaving:
            _logs.event("replica_leaving", replica=entry.name)
        known.update(entry)

    def mark_missing(self, name: str) -> None:
        """Note that an entry is missing."""
        known = self._known.get(name)
        if known is None or known.vanished_at is not None:
            return
        known.vanished_at = self._clock.now()
        _logs.event("replica_vanished", replica=name, leaving=known.leaving)

    def _forget_vanished(self) -> None:
        now = self._clock.now()
        for name, replica in list(self._known.items()):
            since = replica.vanished_at
            if since is not None and now - since > self._vanished_ms:
                del self._known[name]
                _logs.event("replica_forgotten", replica=name)


def _is_other_process(
    known: _types.ReplicaEntry, entry: _types.ReplicaEntry
) -> bool:
    return (
        known.started_at != entry.started_at
        or known.address != entry.address
        or known.service != entry.service
    )
