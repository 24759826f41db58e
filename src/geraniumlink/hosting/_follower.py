"""Follows the objects of one kind in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects

# A watch that waits longer would hide a connection that went silent: all
# changes must be known 5 s after it did. Each watch is a call that is paid.
WATCH_MS = 4000
FIRST_RETRY_MS = 100
LONGEST_RETRY_MS = 800


class Source(typing.Protocol):
    """The calls that are needed of the store."""

    async def list(self, kind: str) -> _objects.Listing:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, after: int, wait_ms: int
    ) -> _objects.Listing:
        """Return the changes after a revision."""


class Follower:
    """Hands over the whole list, and then each change."""

    def __init__(
        self,
        store: Source,
        kind: str,
        clock: _clock.Clock,
        *,
        on_list: Callable[[list[_objects.Object]], None],
        on_change: Callable[[_objects.Object], None],
        gather_ms: int,
    ) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock
        self._on_list = on_list
        self._on_change = on_change
        # Changes that come within this are read by one call.
        self._gather_ms = gather_ms
        self._watching = anyio.CancelScope()
        self._revision: int | None = None
        self._reachable = True

    def renew(self) -> None:
        """Begin another watch; the connection of this one may be dead."""
        self._watching.cancel()

    async def run(self) -> None:
        """Follow for ever."""
        retry_ms = FIRST_RETRY_MS
        while True:
            try:
                await self._step()
            except _objects.UnavailableError as error:
                self._note_reachable(False, str(error))
                await self._clock.sleep(retry_ms)
                retry_ms = min(2 * retry_ms, LONGEST_RETRY_MS)
            else:
                self._note_reachable(True, "")
                retry_ms = FIRST_RETRY_MS

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list(self._kind)
            self._on_list(listing.objects)
            self._revision = listing.revision
            return
        try:
            changes = await self._watch(self._revision)
        except _objects.GoneError:
            _logs.event("store_history_gone", kind=self._kind)
            self._revision = None
            return
        if changes is None:
            return
        for changed in changes.objects:
            self._on_change(changed)
        self._revision = max(self._revision, changes.revision)
        if changes.objects:
            await self._clock.sleep(self._gather_ms)

    async def _watch(self, revision: int) -> _objects.Listing | None:
        """Return the changes; None when the watch is to be renewed."""
        with anyio.CancelScope() as self._watching:
            return await self._store.watch(self._kind, revision, WATCH_MS)
        return None

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if reachable is not self._reachable:
            event = "store_regained" if reachable else "store_lost"
            _logs.event(event, kind=self._kind, error=error)
        self._reachable = reachable
