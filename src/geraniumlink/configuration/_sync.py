"""Keeps the configuration in force up to date, from the API or from peers.

The watch brings a change within one round trip. When the API does not
answer, or has not brought within a second what a peer has in force, a peer
that is ahead is asked. An instance that starts in an outage learns
everything in this way, and is ready only when it knows the newest version
that its peers have heard of.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.configuration import _configuration
from geraniumlink.members import _membership
from geraniumlink.members import _peer_protocol

FIRST_RETRY_MS = 250
LONGEST_RETRY_MS = 2000
# How long the watch may lag behind a peer before the peer is asked.
WATCH_LAG_MS = 1000
# Peers that must have answered before a start without the API is over.
PEERS_AT_START = 3


class ConfigurationSync:
    """Two tasks that advance one configuration."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        objects: _objects.ObjectApi,
        membership: _membership.Membership,
        client: _http.Client,
        clock: _clock.Clock,
        on_change: Callable[[], None],
        isolation_ms: int = 0,
    ) -> None:
        self._configuration = configuration
        self._objects = objects
        self._membership = membership
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._isolation_ms = isolation_ms
        self._loaded = False
        self._behind_since: int | None = None
        self._api_lost_at: int | None = clock.now()

    @property
    def loaded(self) -> bool:
        """Whether a whole configuration was received.

        It was if the API listed it, or if this instance has the newest
        version that several peers, and all whom they heard, have in force.
        """
        return self._loaded

    @property
    def isolated(self) -> bool:
        """Whether neither the API nor any peer was heard for long.

        An instance that knows of no other has nobody to leave its callers
        to, so it is never isolated; with ``isolation_ms`` 0 none is.
        """
        if self._api_lost_at is None or not self._isolation_ms:
            return False
        if not self._membership.knows_other_instances:
            return False
        heard_at = max(self._api_lost_at, self._membership.last_heard_at)
        return self._clock.now() - heard_at > self._isolation_ms

    async def watch_api(self) -> None:
        """Follow the object API for ever."""
        cursor: int | None = None
        delay_ms = FIRST_RETRY_MS
        while True:
            try:
                cursor = await self._follow(cursor)
                delay_ms = FIRST_RETRY_MS
                continue
            except _objects.GoneError:
                # The API has forgotten the changes after the cursor.
                _logs.event("watch_compacted", cursor=cursor)
                cursor = None
            except _objects.UnavailableError as error:
                if self._api_lost_at is None:
                    self._api_lost_at = self._clock.now()
                _logs.event("object_api_unavailable", error=str(error))
            # Spread, so that instances don't come back in step.
            await self._clock.sleep(delay_ms * random.uniform(0.5, 1.5))
            delay_ms = min(2 * delay_ms, LONGEST_RETRY_MS)

    async def _follow(self, cursor: int | None) -> int:
        """Take the next answer; return where to watch on from."""
        if cursor is None:
            listing = await self._objects.list(_configuration.KIND)
            changed = self._configuration.apply_listing(listing, complete=True)
            self._report(changed, "object_api")
            self._set_loaded("object_api")
        else:
            listing = await self._objects.watch(_configuration.KIND, cursor)
            changed = self._configuration.apply_listing(listing)
            self._report(changed, "object_api")
        self._api_lost_at = None
        return listing.revision

    async def follow_peers(self, interval_ms: int) -> None:
        """Ask a peer that is ahead; peers are compared at each heartbeat."""
        while True:
            await self._clock.sleep(interval_ms)
            self._membership.set_isolated(self.isolated)
            ahead = self._members_ahead()
            if ahead and self._must_ask():
                # Any of them brings something; the choice spreads the load.
                await self._ask(random.choice(ahead))
            if not self._loaded and self._caught_up():
                self._set_loaded("peers")

    def _members_ahead(self) -> list[_membership.Member]:
        ahead = self._membership.members_ahead_of(
            self._configuration.revision, self._configuration.highest_version
        )
        if not ahead:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock.now()
        return ahead

    def _must_ask(self) -> bool:
        """Whether the watch is not about to bring it."""
        if self._api_lost_at is not None or self._behind_since is None:
            return True
        return self._clock.now() - self._behind_since >= WATCH_LAG_MS

    async def _ask(self, member: _membership.Member) -> None:
        page = await _peer_protocol.fetch_configuration(
            self._client,
            member.peer_address,
            self._configuration.revision,
        )
        if page is not None:
            # All at once: a part of it would be a configuration that was
            # never in force anywhere.
            changed = self._configuration.apply_peer_page(page)
            self._report(changed, member.name)

    def apply_written(self, written: _objects.Object) -> None:
        """Put a change in force that this instance had accepted.

        In an outage that begins now, no watch brings it to anybody: the
        other instances learn it from this one.
        """
        changed = self._configuration.apply_written(written)
        self._report(changed, "accepted")

    def _caught_up(self) -> bool:
        """Whether nothing newer is known to any peer that answers.

        A member that is suspected counts too until it is forgotten: it may
        be the only one that has the newest change in force.
        """
        members = self._membership.members()
        revision = self._configuration.revision
        newest = self._configuration.highest_version
        needed = min(
            PEERS_AT_START, max(1, self._membership.responsive_peer_count)
        )
        return (
            revision > 0
            and self._membership.heard_peer_count >= needed
            and all(member.revision <= revision for member in members)
            and all(member.newest <= newest for member in members)
        )

    def _set_loaded(self, source: str) -> None:
        if not self._loaded:
            self._loaded = True
            _logs.event(
                "configuration_loaded",
                revision=self._configuration.revision,
                source=source,
            )

    def _report(self, changed: list[str], source: str) -> None:
        if not changed:
            return
        _logs.event(
            "configuration_in_force",
            revision=self._configuration.revision,
            newest=self._configuration.highest_version,
            deployments=changed,
            source=source,
        )
        self._on_change()
