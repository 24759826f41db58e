"""Keeps the configuration in force up to date, from the API or from peers.

The watch brings changes within one round trip. While the API does not
answer, peers that know a newer revision are asked; an instance that starts
in an outage learns everything in this way.
"""

from __future__ import annotations

from collections.abc import Callable

from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _membership
from geraniumlink import _objects
from geraniumlink import _peers

RETRY_MS = 500


class Sync:
    """Two tasks that advance one configuration."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        objects: _objects.ObjectApi,
        membership: _membership.Membership,
        client: _http.Client,
        clock: _clock.Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._configuration = configuration
        self._objects = objects
        self._membership = membership
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._loaded = False

    @property
    def loaded(self) -> bool:
        """Whether a whole configuration was ever received."""
        return self._loaded

    async def watch_api(self) -> None:
        """Follow the object API for ever."""
        revision = 0
        while True:
            try:
                revision = await self._follow(revision)
            except _objects.GoneError:
                revision = 0
            except _objects.UnavailableError as error:
                _logs.event("object_api_unavailable", error=str(error))
                await self._clock.sleep(RETRY_MS)

    async def _follow(self, revision: int) -> int:
        if revision == 0:
            listing = await self._objects.list(_configuration.KIND)
        else:
            listing = await self._objects.watch(_configuration.KIND, revision)
        self._take(listing, "object_api")
        return listing.revision

    async def follow_peers(self, interval_ms: int) -> None:
        """Ask a peer that is ahead; peers are compared at each heartbeat."""
        while True:
            await self._clock.sleep(interval_ms)
            ahead = [
                member
                for member in self._membership.members()
                if member.revision > self._configuration.revision
                and member.state == "live"
            ]
            if not ahead:
                continue
            newest = max(ahead, key=lambda member: member.revision)
            listing = await _peers.fetch_configuration(
                self._client,
                newest.peer_address,
                self._configuration.revision,
            )
            if listing is not None:
                self._take(listing, newest.name)

    def _take(self, listing: _objects.Listing, source: str) -> None:
        changed = self._configuration.advance(listing)
        self._loaded = True
        if not changed:
            return
        _logs.event(
            "configuration_in_force",
            revision=self._configuration.revision,
            deployments=changed,
            source=source,
        )
        self._on_change()
