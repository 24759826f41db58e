"""Keeps the active configuration up to date from the object API and peers.

The watch delivers a change within one round trip. If the API is unavailable,
or hasn't delivered within a second what a peer already has, the
configuration is fetched from a peer that is ahead. An instance that starts
during an outage of the API gets everything in this way, and becomes ready
only when it has the newest version that is known to its peers.
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

# Delay before the object API is read again after a failure: doubled from the
# first value up to the second, before jitter.
INITIAL_RETRY_MS = 250
MAX_RETRY_MS = 2000
# How long the watch may lag behind a peer before the peer is asked.
WATCH_GRACE_MS = 1000
# Peers that must have answered before an instance that starts without the API
# counts as loaded; fewer if fewer are responsive.
MIN_PEERS_AT_START = 3


class ConfigurationSync:
    """Updates one configuration by two tasks.

    ``watch_api`` follows the object API, ``follow_peers`` the peers. If
    ``isolation_ms`` isn't 0, an instance that has reached neither the API
    nor a peer for longer is isolated. ``on_change`` is called after each
    change.
    """

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
        self._api_unavailable_since: int | None = clock.now()

    @property
    def loaded(self) -> bool:
        """Whether a complete configuration was received.

        This is so if the API listed it, or if this instance has caught up
        with the newest version of several peers and of all the members
        that they know.
        """
        return self._loaded

    @property
    def isolated(self) -> bool:
        """Whether neither the API nor a peer was heard for ``isolation_ms``.

        An instance that knows no other is never isolated, since there is no
        other instance that could serve its clients. If ``isolation_ms`` is
        0, no instance is.
        """
        if self._api_unavailable_since is None or not self._isolation_ms:
            return False
        if not self._membership.knows_other_instances:
            return False
        heard_at = max(
            self._api_unavailable_since, self._membership.last_heard_at
        )
        return self._clock.now() - heard_at > self._isolation_ms

    async def watch_api(self) -> None:
        """Follow the changes in the object API, for ever."""
        cursor: int | None = None
        delay_ms = INITIAL_RETRY_MS
        while True:
            try:
                cursor = await self._read_changes(cursor)
                delay_ms = INITIAL_RETRY_MS
                continue
            except _objects.RevisionCompactedError:
                # The API has dropped the changes after the cursor, so
                # everything must be listed again.
                _logs.event("watch_compacted", cursor=cursor)
                cursor = None
            except _objects.UnavailableError as error:
                if self._api_unavailable_since is None:
                    self._api_unavailable_since = self._clock.now()
                _logs.event("object_api_unavailable", error=str(error))
            # Jitter, so that instances don't all return at the same time.
            await self._clock.sleep(delay_ms * random.uniform(0.5, 1.5))
            delay_ms = min(2 * delay_ms, MAX_RETRY_MS)

    async def _read_changes(self, cursor: int | None) -> int:
        """Apply the next list or watch response; return the new cursor."""
        if cursor is None:
            listing = await self._objects.list(_configuration.KIND)
            changed = self._configuration.apply_listing(listing, complete=True)
            self._report_changes(changed, "object_api")
            self._set_loaded("object_api")
        else:
            listing = await self._objects.watch(_configuration.KIND, cursor)
            changed = self._configuration.apply_listing(listing)
            self._report_changes(changed, "object_api")
        self._api_unavailable_since = None
        return listing.revision

    async def follow_peers(self, interval_ms: int) -> None:
        """Fetch changes from peers that are ahead, for ever.

        Their revisions are compared every ``interval_ms``, the heartbeat.
        """
        while True:
            await self._clock.sleep(interval_ms)
            self._membership.set_isolated(self.isolated)
            ahead = self._members_ahead()
            if ahead and self._should_ask_peer():
                # Each of them has changes; a random one balances the load.
                await self._fetch_from_peer(random.choice(ahead))
            if not self._loaded and self._is_caught_up():
                self._set_loaded("peers")

    def _members_ahead(self) -> list[_membership.Member]:
        """Return members with newer versions; record since when any has."""
        ahead = self._membership.members_ahead_of(
            self._configuration.revision, self._configuration.highest_version
        )
        if not ahead:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock.now()
        return ahead

    def _should_ask_peer(self) -> bool:
        """Whether the watch can't be expected to deliver the changes soon."""
        if (
            self._api_unavailable_since is not None
            or self._behind_since is None
        ):
            return True
        return self._clock.now() - self._behind_since >= WATCH_GRACE_MS

    async def _fetch_from_peer(self, member: _membership.Member) -> None:
        page = await _peer_protocol.fetch_configuration(
            self._client,
            member.peer_address,
            self._configuration.revision,
        )
        if page is not None:
            # Applied as a whole: a part of it would be a configuration that
            # was never active anywhere.
            changed = self._configuration.apply_peer_page(page)
            self._report_changes(changed, member.name)

    def apply_written(self, written: _objects.Object) -> None:
        """Apply an object that a write, or a conflict with one, returned.

        If an outage of the API begins now, no watch delivers the change,
        and the other instances get it from this one.
        """
        changed = self._configuration.apply_written(written)
        self._report_changes(changed, "accepted")

    def _is_caught_up(self) -> bool:
        """Whether enough peers answered and no member has a newer version.

        A suspected member counts until it is forgotten, because it may be
        the only one that has the newest change.
        """
        members = self._membership.members()
        revision = self._configuration.revision
        newest = self._configuration.highest_version
        needed = min(
            MIN_PEERS_AT_START, max(1, self._membership.responsive_peer_count)
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

    def _report_changes(self, changed: list[str], source: str) -> None:
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
