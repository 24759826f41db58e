"""The replicas known at this instance, and what it has observed of each.

The entries that replicas register in the store tell which replicas exist,
which are leaving, and which models each has resident. When an entry goes
missing without having been marked as leaving, the replica may have ended
without notice, or its entry may have expired while the store was down. Such
a replica is still used for a limited time, but only if no other is available.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.serving import _answer_counts
from geraniumlink.serving import _call_times
from geraniumlink.serving import _engine_memory
from geraniumlink.serving import _prefill_speed
from geraniumlink.serving import _prefix_cache
from geraniumlink.serving import _rejections
from geraniumlink.serving import _service_times
from geraniumlink.serving import _types

# A replica whose entry may return is used for this much less than the time in
# which a leaving replica must have stopped receiving requests. Replicas write
# their entries again within about 2 s after the store is back.
MISSING_MARGIN_MS = 300
# Bounds of the pause after a connection could not be opened, or a replica
# stalled; it doubles with each further failure.
FIRST_PAUSE_MS = 300
LONGEST_PAUSE_MS = 3000
# Half-life of a replica's observed failure rate and excess latency.
HALF_LIFE_MS = 3000
# Weight of one outcome in the moving average of the failure rate; an excess
# latency has twice this weight.
OUTCOME_WEIGHT = 0.15
# How long a replica's refusal for a model overrides its entry, which shows
# the change only with the next heartbeat.
NOT_LOADED_TTL_MS = 1500
# How long the controller's report of a load overrides the replica's entry,
# which shows it only with the next heartbeat.
LOADED_TTL_MS = 4000
# The load that other instances reported is ignored after this time, within
# which it changes.
PEER_LOAD_STALE_MS = 1500
# Software versions of services that are remembered though no replica has them
# any more. Any process may register entries, with new names each time.
MAX_FORMER_VERSIONS = 512
# How long it is reused which services have brittle replicas.
LEAST_REJECTIONS_REUSE_MS = 100


class PeerLoad(typing.NamedTuple):
    """The load that other instances put on a replica."""

    in_flight: int
    # Prompt tokens of requests without a first event yet, by priority.
    prefill_tokens: dict[int, int]
    # When the report arrived here, by this instance's clock.
    reported_at: int
    # Tokens of its requests, prompts and expected outputs; None if unknown.
    kv_tokens: int | None = None


class RateLimit(typing.NamedTuple):
    """The requests a second that a replica takes from all instances."""

    # None if it states no limit.
    per_s: float | None
    # When it was last stated, by this instance's clock.
    stated_at: int
    # Whether the replica stated it here, and not to another instance.
    is_own: bool


class Brittleness(typing.NamedTuple):
    """Whether a replica fails if it has to reject many requests."""

    # Rejections a second that it survives; None if it isn't brittle.
    max_rejections: float | None
    # When it was last stated, by this instance's clock.
    stated_at: int


# Of a replica that has stated nothing yet; older than any statement.
NO_LIMIT = RateLimit(None, -(10**12), False)


class Replica:
    """A replica's entry, its load, and what was observed of it here."""

    def __init__(
        self,
        entry: _types.ReplicaEntry,
        prefill_speed: _prefill_speed.PrefillSpeed | None = None,
        call_times: _call_times.CallTimes | None = None,
    ) -> None:
        self.entry = entry
        # Of all replicas of its service.
        self.prefill_speed = prefill_speed or _prefill_speed.PrefillSpeed()
        self.call_times = call_times or _call_times.CallTimes()
        self.service_time = _service_times.ServiceTime()
        self.memory = _engine_memory.TokensInFlight()
        self.reported = _call_times.ReportedRequests()
        # Requests from this instance.
        self.in_flight = 0
        # Prompt tokens of requests from this instance without a first event
        # yet, by priority.
        self.prefill_tokens: collections.Counter[int] = collections.Counter()
        # When it last sent anything on any connection.
        self.last_activity_at = 0
        # When it last got a request while it had none from here.
        self._busy_since = 0
        self._peer_load: PeerLoad | None = None
        # The load that it last stated with a response, and when.
        self.load: _types.LoadReport | None = None
        self.load_at = 0
        # Of requests from this instance.
        self.answers = _answer_counts.NONE
        # Requests from this instance that the load includes.
        self.load_own = 0
        self.rate_limit = NO_LIMIT
        # None before its first answer.
        self.brittleness: Brittleness | None = None
        self.last_rejection = _rejections.LastRejection()
        # Before this time no permit to send to it is asked for.
        self.denied_until = 0
        # Since when its entry is missing; None while it is there.
        self.missing_since: int | None = None
        # How long it is a last resort from then on.
        self.missing_limit_ms = 0
        # Whether its entry says that it leaves, or did: it doesn't come back.
        self._is_registered_as_leaving = entry.leaving
        # When it last announced with a response that it leaves; None if it
        # didn't, or took it back.
        self._announced_leaving_at: int | None = None
        # Whether it announced that to another instance.
        self._announced_elsewhere = False
        # It wants no requests from this instance before this time.
        self._backs_off_until = 0
        # No requests are sent before this time; 0 if it isn't paused.
        self.paused_until = 0
        self._pause_ms = FIRST_PAUSE_MS
        self._failure_rate = 0.0
        self._excess_latency_ms = 0.0
        # When decay was last applied to the two averages.
        self._decayed_at = 0
        self.prefix_cache = _prefix_cache.PrefixCache()
        # Models and adapters that override the entry's, by (model, adapter),
        # until the given time; an adapter of "" means the model itself.
        self._not_loaded_until: dict[tuple[str, str], int] = {}
        self._loaded_until: dict[tuple[str, str], int] = {}

    @property
    def leaving(self) -> bool:
        """Whether it ends soon and takes no new requests."""
        return (
            self._is_registered_as_leaving
            or self._announced_leaving_at is not None
            or self._announced_elsewhere
        )

    @property
    def is_leaving_unregistered(self) -> bool:
        """Whether it announced here that it leaves, and its entry doesn't."""
        return (
            self._announced_leaving_at is not None
            and not self._is_registered_as_leaving
        )

    @property
    def busy_since(self) -> int | None:
        """Since when it has had requests from here; None if it has none."""
        return self._busy_since if self.in_flight else None

    def can_serve(self, model: str, adapter: str, now: int) -> bool:
        """Whether it is believed to have the model and adapter loaded.

        True of any replica if the request names no model.
        """
        if not model:
            return True
        if self._not_loaded_until.get((model, adapter), 0) > now:
            return False
        if self._not_loaded_until.get((model, ""), 0) > now:
            return False
        if self._loaded_until.get((model, adapter), 0) > now:
            return True
        resident = self.entry.residents.get(model)
        return resident is not None and (not adapter or adapter in resident)

    def note_not_loaded(self, model: str, adapter: str, now: int) -> None:
        """Record that the replica refused a request for them."""
        self._not_loaded_until[model, adapter] = now + NOT_LOADED_TTL_MS
        self._loaded_until.pop((model, adapter), None)

    def note_loaded(self, model: str, adapter: str, now: int) -> None:
        """Record the controller's report that they were loaded there."""
        self._loaded_until[model, adapter] = now + LOADED_TTL_MS
        self._not_loaded_until.pop((model, adapter), None)
        self._not_loaded_until.pop((model, ""), None)

    def update(self, entry: _types.ReplicaEntry) -> None:
        """Replace the entry by a newer one of the same process."""
        if entry.residents != self.entry.residents:
            self._not_loaded_until.clear()
        self.entry = entry
        self.missing_since = None
        self._is_registered_as_leaving |= entry.leaving

    def failure_rate(self, now: int) -> float:
        """Return the moving average of failures, from 0 to 1, decayed."""
        return self._failure_rate * self._decay_factor(now)

    def excess_latency_ms(self, now: int) -> float:
        """Return by how much first events were later than expected.

        This is a moving average that decays with time.
        """
        return self._excess_latency_ms * self._decay_factor(now)

    def note_outcome(self, failed: bool, now: int) -> None:
        """Count a request's success or failure in the failure rate."""
        self._apply_decay(now)
        self._failure_rate += OUTCOME_WEIGHT * (
            float(failed) - self._failure_rate
        )

    def note_excess_latency(self, excess_ms: float, now: int) -> None:
        """Count a first event's delay; an early one counts as on time."""
        self._apply_decay(now)
        self._excess_latency_ms += (
            2 * OUTCOME_WEIGHT * (max(0, excess_ms) - self._excess_latency_ms)
        )

    def begin_request(self, now: int) -> None:
        """Count a request from this instance as in flight."""
        if not self.in_flight:
            self._busy_since = now
        self.in_flight += 1

    def end_pause(self) -> None:
        """Send to it again although it has sent nothing."""
        self.paused_until = 0
        self._pause_ms = FIRST_PAUSE_MS

    def note_unreachable(self, now: int, reason: str) -> None:
        """Pause sending to it; each failure doubles the next pause."""
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
        """Record that it sent something, which ends a pause."""
        self.last_activity_at = now
        if self.paused_until:
            _logs.event("replica_trusted", replica=self.entry.name)
        self.end_pause()

    def back_off_ms(self, now: int) -> int:
        """Return for how long it wants no requests from this instance."""
        return max(0, self._backs_off_until - now)

    def note_announcement(
        self, announcement: _types.Announcement, sent_at: int, now: int
    ) -> None:
        """Record what it said of its availability with a response.

        A response that doesn't say that it leaves takes an earlier one back
        only if its request was sent after that: responses on different
        connections may overtake each other.

        :param sent_at: when the request of that response was sent.
        """
        was_leaving, announced_at = self.leaving, self._announced_leaving_at
        if announcement.leaving:
            self._announced_leaving_at = now
        elif announced_at is not None and sent_at > announced_at:
            self._announced_leaving_at = None
        if self.leaving != was_leaving:
            _log_leaving(self)
        back_off_ms = announcement.back_off_ms
        if back_off_ms is not None:
            # Several requests may have been turned away; all times hold.
            self._backs_off_until = max(
                self._backs_off_until, now + back_off_ms
            )
            _logs.event(
                "replica_backs_off",
                replica=self.entry.name,
                pause_ms=self.back_off_ms(now),
            )

    def set_leaving_elsewhere(self, leaving: bool) -> None:
        """Record whether it announced to another instance that it leaves."""
        was_leaving = self.leaving
        self._announced_elsewhere = leaving
        if self.leaving != was_leaving:
            _log_leaving(self)

    def note_load(self, load: _types.LoadReport, now: int) -> None:
        """Record the load that it stated with a response."""
        self.load = load
        self.load_at = now
        self.load_own = self.in_flight
        if load.service_time_percent is not None:
            self.service_time.note(load.service_time_percent, now)

    def note_rate_limit(
        self, stated: _types.StatedNumber, sent_at: int, now: int
    ) -> None:
        """Record the limit that it stated with a response, or its absence.

        A response without one ends an earlier limit only if its request was
        sent after that: responses on different connections may overtake each
        other.

        :param sent_at: when the request of that response was sent.
        """
        known = self.rate_limit
        match stated:
            case _types.Unstated.UNREADABLE:
                pass
            case _types.Unstated.ABSENT:
                if known.per_s is not None and sent_at > known.stated_at:
                    self._set_rate_limit(RateLimit(None, now, True))
            case _:
                self._set_rate_limit(RateLimit(stated, now, True))

    def note_brittleness(
        self, stated: _types.StatedNumber, sent_at: int, now: int
    ) -> None:
        """Record that it stated to be brittle, or no longer does.

        As with a limit, a response that may be older ends nothing.

        :param sent_at: when the request of that response was sent.
        """
        known = self.brittleness
        match stated:
            case _types.Unstated.UNREADABLE:
                return
            case _types.Unstated.ABSENT:
                if known is not None and sent_at <= known.stated_at:
                    return
                self.brittleness = Brittleness(None, now)
            case _:
                self.brittleness = Brittleness(stated, now)
        previous = known.max_rejections if known else None
        if self.brittleness.max_rejections != previous:
            _logs.event(
                "replica_brittle",
                replica=self.entry.name,
                max_rejections=self.brittleness.max_rejections,
                previous=previous,
            )

    def learn_rate_limit(self, per_s: float | None, stated_at: int) -> None:
        """Record what it stated to another instance, if that is newer."""
        if stated_at > self.rate_limit.stated_at:
            self._set_rate_limit(RateLimit(per_s, stated_at, False))

    def _set_rate_limit(self, limit: RateLimit) -> None:
        previous, self.rate_limit = self.rate_limit, limit
        if limit.per_s != previous.per_s:
            _logs.event(
                "replica_limit",
                replica=self.entry.name,
                per_s=limit.per_s,
                previous_per_s=previous.per_s,
                is_own=limit.is_own,
            )

    def note_peer_load(self, peer_load: PeerLoad) -> None:
        """Record the load that other instances report to put on it."""
        self._peer_load = peer_load
        self.reported.note(peer_load.in_flight, peer_load.reported_at)

    def recent_peer_load(self, now: int) -> PeerLoad | None:
        """Return the other instances' load; None if it is unknown or old."""
        peer_load = self._peer_load
        if (
            peer_load is None
            or now - peer_load.reported_at > PEER_LOAD_STALE_MS
        ):
            return None
        return peer_load

    def tokens_ahead(self, priority: int, now: int) -> int:
        """Return the prompt tokens read before a request of that priority.

        Those are the tokens of all requests that are at least as urgent.
        """
        counts = [dict(self.prefill_tokens)]
        peer_load = self.recent_peer_load(now)
        if peer_load is not None:
            counts.append(peer_load.prefill_tokens)
        return sum(
            tokens
            for prefill_tokens in counts
            for token_priority, tokens in prefill_tokens.items()
            if token_priority <= priority
        )

    def _decay_factor(self, now: int) -> float:
        return 0.5 ** ((now - self._decayed_at) / HALF_LIFE_MS)

    def _apply_decay(self, now: int) -> None:
        """Bring both averages up to the present before a new value."""
        fade = self._decay_factor(now)
        self._failure_rate *= fade
        self._excess_latency_ms *= fade
        self._decayed_at = now


class Replicas:
    """All known replicas by name.

    :param leaving_bound_ms: time from the store's acknowledgement that a
        replica leaves to the last request that it may be sent.
    :param news_delay_ms: how much of that time may have passed when a removed
        entry is noticed; if all, its replica isn't used any more.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        leaving_bound_ms: int,
        news_delay_ms: int = MISSING_MARGIN_MS,
    ) -> None:
        self._clock = clock
        self._missing_limit_ms = leaving_bound_ms - MISSING_MARGIN_MS
        self._removed_limit_ms = leaving_bound_ms - news_delay_ms
        self._leaving_bound_ms = leaving_bound_ms
        self._find_list_age: Callable[[], int | None] | None = None
        self._known: dict[str, Replica] = {}
        self._prefill_speeds: dict[str, _prefill_speed.PrefillSpeed] = {}
        self._call_times: dict[str, _call_times.CallTimes] = {}
        # When the complete list was first read; None before.
        self._listed_at: int | None = None
        # The lowest number of rejections a second that a replica of each
        # brittle service survives, and until when it is reused.
        self._least_rejections: dict[str, float] = {}
        self._least_rejections_until = 0
        # When a replica of each service and software version was last known.
        self._versions_seen: dict[str, dict[str, int]] = {}
        # Up to this time some of these were dropped.
        self._versions_dropped_at = -math.inf
        # For how long before the first list these are known, too.
        self._versions_known_before_ms: float = 0.0

    @property
    def has_full_list(self) -> bool:
        """Whether the complete list of entries has been read."""
        return self._listed_at is not None

    def set_list_age(self, find: Callable[[], int | None]) -> None:
        """Set how the age of the list of entries is found.

        It is the time since the list was surely complete, in ms; None if it
        never was.
        """
        self._find_list_age = find

    @property
    def list_age_ms(self) -> int | None:
        """Time since the list was surely complete; None if not known."""
        return self._find_list_age() if self._find_list_age else None

    def get(self, name: str) -> Replica | None:
        return self._known.get(name)

    def may_still_send(self, replica: Replica) -> bool:
        """Whether a replica may be sent a request that was chosen for it.

        It may have left since, as a connection can take a second to open.
        """
        name = replica.entry.name
        if self._known.get(name) is not replica or replica.leaving:
            return False
        return replica.missing_since is None or self.is_available(name)

    def all(self) -> list[Replica]:
        return list(self._known.values())

    def prefill_speed(self, service: str) -> _prefill_speed.PrefillSpeed:
        """Return how fast the replicas of a service read prompts."""
        return self._prefill_speeds.setdefault(
            service, _prefill_speed.PrefillSpeed()
        )

    def registered(self, service: str) -> list[Replica]:
        """Return the service's replicas, including those that are leaving.

        A replica whose entry has been missing for too long is dropped.
        """
        self._forget_missing()
        return [
            replica
            for replica in self._known.values()
            if replica.entry.service == service
        ]

    def available(self, service: str) -> list[Replica]:
        """Return the service's replicas that may be sent new requests now.

        Replicas with a missing entry are returned only if there is no other.
        """
        usable = [
            replica
            for replica in self.registered(service)
            if self._is_usable(replica)
        ]
        not_missing = [r for r in usable if r.missing_since is None]
        return not_missing or usable

    def sole_version(self, service: str, window_ms: int) -> str | None:
        """Return the software version of all replicas known in a window.

        None if there were several, or no replica, or if it isn't known what
        replicas there were at the window's beginning. Replicas that joined
        after the list was last confirmed are not counted.
        """
        seen = self.versions_seen(service, window_ms) or ()
        return next(iter(seen)) if len(seen) == 1 else None

    def versions_seen(self, service: str, window_ms: int) -> set[str] | None:
        """Return the software versions of replicas known in a window.

        None if it isn't known what replicas there were at its beginning.
        """
        for replica in self.registered(service):
            self._note_version(replica)
        if self._versions_dropped_at >= self._clock.now() - window_ms:
            return None
        now, seen = self._clock.now(), self._versions_seen.get(service, {})
        if self._listed_at is None or (
            now - self._listed_at + self._versions_known_before_ms < window_ms
        ):
            return None
        return {v for v, at in seen.items() if now - at <= window_ms}

    def versions_in_service(self) -> dict[str, set[str]]:
        """Return the software versions of each service's replicas."""
        versions: dict[str, set[str]] = {}
        self._forget_missing()
        for replica in self._known.values():
            entry = replica.entry
            versions.setdefault(entry.service, set()).add(
                entry.software_version
            )
        return versions

    def version_ages_ms(self) -> dict[str, dict[str, int]]:
        """Return how long ago each version of each service was last known."""
        self._forget_missing()
        now = self._clock.now()
        return {
            service: {version: now - at for version, at in seen.items()}
            for service, seen in self._versions_seen.items()
        }

    def learn_versions(
        self, known_ms: int | None, ages_ms: dict[str, dict[str, int]]
    ) -> None:
        """Record which software versions there were before this start.

        :param known_ms: for how long they are known; None if since the first
            start.
        :param ages_ms: by service and version, how long ago each was last
            seen.
        """
        self._versions_known_before_ms = (
            math.inf if known_ms is None else known_ms
        )
        now = self._clock.now()
        for service, versions in ages_ms.items():
            seen = self._versions_seen.setdefault(service, {})
            for version, age_ms in versions.items():
                seen_at = now - age_ms
                seen[version] = max(seen_at, seen.get(version, seen_at))

    def is_available(self, name: str) -> bool:
        """Whether ``available`` returns a replica, without listing all."""
        replica = self._known.get(name)
        if replica is None:
            return False
        if replica.missing_since is not None:
            return replica in self.available(replica.entry.service)
        return self._is_usable(replica)

    def note_call_announcement(
        self, name: str, announcement: _types.Announcement
    ) -> None:
        """Record what a replica announced with its answer to a call.

        One that says nothing takes nothing back: only answers to requests
        are sure to say so while a replica leaves.
        """
        replica = self._known.get(name)
        if replica is not None:
            now = self._clock.now()
            replica.note_announcement(announcement, sent_at=0, now=now)

    def leaving_unregistered(self) -> list[tuple[str, int]]:
        """Return the replicas that announced here that they leave.

        Those of which the entries say so, too, are left out. Each is a name
        and the start of its process.
        """
        return [
            (name, replica.entry.started_at)
            for name, replica in self._known.items()
            if replica.is_leaving_unregistered
        ]

    def set_leaving_elsewhere(self, leaving: set[tuple[str, int]]) -> None:
        """Set the replicas that announced to others that they leave.

        :param leaving: names and starts of processes.
        """
        for name, replica in self._known.items():
            replica.set_leaving_elsewhere(
                (name, replica.entry.started_at) in leaving
            )

    def backing_off(self, service: str) -> list[Replica]:
        """Return the replicas that want no requests from here for a while."""
        now = self._clock.now()
        return [
            replica
            for replica in self.registered(service)
            if replica.back_off_ms(now)
            and not replica.leaving
            and replica.paused_until <= now
        ]

    def back_off_times(self) -> dict[str, int]:
        """Return for how long each replica wants no requests from here.

        In ms by name; only those that want none now.
        """
        now = self._clock.now()
        return {
            name: replica.back_off_ms(now)
            for name, replica in self._known.items()
            if replica.back_off_ms(now)
        }

    def unusable_names(self) -> set[str]:
        """Return the names of replicas that get no requests for a while."""
        return self.unreachable_names() | self.back_off_times().keys()

    def unreachable_names(self) -> set[str]:
        """Return the names of replicas paused because of a failure."""
        now = self._clock.now()
        return {
            name
            for name, replica in self._known.items()
            if replica.paused_until > now
        }

    def max_rejections(self, replica: Replica) -> float | None:
        """Return the rejections a second that a replica survives.

        None if it isn't brittle. One that has not answered yet is taken to be
        like the others of its service: it may just have been started.
        """
        if replica.brittleness is not None:
            return replica.brittleness.max_rejections
        now = self._clock.now()
        if now >= self._least_rejections_until:
            self._least_rejections = self._compute_least_rejections()
            self._least_rejections_until = now + LEAST_REJECTIONS_REUSE_MS
        return self._least_rejections.get(replica.entry.service)

    def _compute_least_rejections(self) -> dict[str, float]:
        """Return the lowest number that a replica of each service stated."""
        least: dict[str, float] = {}
        for replica in self._known.values():
            known, service = replica.brittleness, replica.entry.service
            if known is not None and known.max_rejections is not None:
                least[service] = min(
                    known.max_rejections, least.get(service, math.inf)
                )
        return least

    def needs_permit(self, replica: Replica) -> bool:
        """Whether each request to a replica needs a permit."""
        return (
            replica.rate_limit.per_s is not None
            or self.max_rejections(replica) is not None
        )

    def silent_ms(self) -> int:
        """Return for how long no replica has sent anything.

        That is 0 if none has a request from here, and counts from the first
        request at the earliest.
        """
        busy_since = [
            replica.busy_since
            for replica in self._known.values()
            if replica.busy_since is not None
        ]
        if not busy_since:
            return 0
        return self._clock.now() - max(self.heard_at(), min(busy_since))

    def heard_at(self) -> int:
        """Return when any replica last sent anything; 0 if none ever did."""
        return max(
            (r.last_activity_at for r in self._known.values()), default=0
        )

    def end_pauses(self) -> None:
        """Send to all replicas again, as the path to them is back."""
        for replica in self._known.values():
            replica.end_pause()

    def replace_all(
        self,
        entries: Iterable[_types.ReplicaEntry],
        *,
        may_return: bool = False,
    ) -> None:
        """Apply the complete list of entries.

        :param may_return: as for ``mark_missing``.
        """
        listed = {entry.name: entry for entry in entries}
        for entry in listed.values():
            self.update(entry)
        for name in self._known.keys() - listed.keys():
            self.mark_missing(name, may_return=may_return)
        if self._listed_at is None:
            self._listed_at = self._clock.now()

    def update(self, entry: _types.ReplicaEntry) -> None:
        """Apply one entry; that of a new process replaces the replica."""
        known = self._known.get(entry.name)
        if known is not None:
            self._note_version(known)
        if known is None or _is_other_process(known.entry, entry):
            self._known[entry.name] = Replica(
                entry,
                self.prefill_speed(entry.service),
                self._call_times.setdefault(
                    entry.service, _call_times.CallTimes()
                ),
            )
            _logs.event(
                "replica_seen",
                replica=entry.name,
                service=entry.service,
                address=str(entry.address),
                incarnation=entry.started_at,
                software_version=entry.software_version,
            )
            return
        if known.missing_since is not None:
            missing_ms = self._clock.now() - known.missing_since
            _logs.event(
                "replica_back", replica=entry.name, missing_ms=missing_ms
            )
        was_leaving = known.leaving
        known.update(entry)
        if known.leaving and not was_leaving:
            _log_leaving(known)

    def mark_missing(self, name: str, *, may_return: bool = False) -> None:
        """Record that a replica's entry is missing.

        :param may_return: whether the entry may have expired in an outage of
            the store rather than been removed.
        """
        known = self._known.get(name)
        if known is None or known.missing_since is not None:
            return
        known.missing_since = self._clock.now()
        known.missing_limit_ms = (
            self._missing_limit_ms if may_return else self._limit_removed_ms()
        )
        _logs.event("replica_vanished", replica=name, leaving=known.leaving)

    def _limit_removed_ms(self) -> int:
        """Return for how long a replica is used whose entry was removed.

        It may have been removed just after the list was last complete.
        """
        if self._find_list_age is None:
            return self._removed_limit_ms
        age_ms = self.list_age_ms
        if age_ms is None:
            return 0
        left_ms = self._leaving_bound_ms - MISSING_MARGIN_MS - age_ms
        return max(0, min(self._removed_limit_ms, left_ms))

    def _is_usable(self, replica: Replica) -> bool:
        """Whether it takes requests, as far as is known here."""
        now = self._clock.now()
        return (
            not replica.leaving
            and replica.paused_until <= now
            and not replica.back_off_ms(now)
        )

    def _forget_missing(self) -> None:
        now = self._clock.now()
        for name, replica in list(self._known.items()):
            since = replica.missing_since
            if since is not None and now - since >= replica.missing_limit_ms:
                self._note_version(replica)
                del self._known[name]
                self._forget_former_versions()
                _logs.event("replica_forgotten", replica=name)

    def _forget_former_versions(self) -> None:
        """Drop what is known of those that had no replica for longest."""
        present = {
            (replica.entry.service, replica.entry.software_version)
            for replica in self._known.values()
        }
        former = sorted(
            (seen_at, service, version)
            for service, seen in self._versions_seen.items()
            for version, seen_at in seen.items()
            if (service, version) not in present
        )
        for seen_at, service, version in former[:-MAX_FORMER_VERSIONS]:
            self._versions_dropped_at = max(self._versions_dropped_at, seen_at)
            seen = self._versions_seen[service]
            del seen[version]
            if not seen:
                del self._versions_seen[service]
                self._prefill_speeds.pop(service, None)
                self._call_times.pop(service, None)

    def _note_version(self, replica: Replica) -> None:
        """Record that a replica's version serves, or did until now."""
        seen = self._versions_seen.setdefault(replica.entry.service, {})
        seen[replica.entry.software_version] = self._clock.now()


def _log_leaving(replica: Replica) -> None:
    if replica.leaving:
        _logs.event("replica_leaving", replica=replica.entry.name)
    else:
        _logs.event("replica_stays", replica=replica.entry.name)


def _is_other_process(
    known: _types.ReplicaEntry, entry: _types.ReplicaEntry
) -> bool:
    """Whether an entry of the same name belongs to another process."""
    return (
        known.started_at != entry.started_at
        or known.address != entry.address
        or known.service != entry.service
    )
