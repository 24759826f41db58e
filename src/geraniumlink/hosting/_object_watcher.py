"""Follows the objects of one kind in the platform's store.

The controller's instance watches the store, and the others learn from its
answers to their reports what has changed: so the number of calls to the
store doesn't grow with that of instances. One that hears nothing from the
controller, or from a controller that has lost the store, goes on by itself
from the revision that it knows.
"""

from __future__ import annotations

import collections
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
# A relayed state is good for this long; reports are answered several times
# in it.
RELAYED_MS = 700
# Removals that are remembered for those who ask what has changed.
MAX_REMOVED = 512


class Source(typing.Protocol):
    """The calls that are needed of the store."""

    async def list(self, kind: str) -> _objects.Listing:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, after: int, wait_ms: int
    ) -> _objects.Listing:
        """Return the changes after a revision."""


class Changes(typing.NamedTuple):
    """What one instance tells another of a kind's objects."""

    # Up to which they are complete.
    revision: int
    # All objects there are, not only those that have changed.
    whole: bool
    objects: list[_objects.Object]


class ObjectWatcher:
    """Hands over the whole list, and then each change."""

    def __init__(
        self,
        store: Source,
        kind: str,
        clock: _clock.Clock,
        *,
        on_list: Callable[[list[_objects.Object]], None],
        on_change: Callable[[_objects.Object], None],
        batch_delay_ms: int,
    ) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock
        self._on_list = on_list
        self._on_change = on_change
        # Changes that come within this are read by one call.
        self._gather_ms = batch_delay_ms
        self._watching: anyio.CancelScope | None = None
        self._revision: int | None = None
        self._known: dict[str, _objects.Object] = {}
        self._removed: collections.OrderedDict[str, _objects.Object] = (
            collections.OrderedDict()
        )
        # Changes up to here may have been forgotten.
        self._forgotten = 0
        self._relayed_until = 0
        self._reachable = True
        self._confirmed_at = clock.now()

    @property
    def kind(self) -> str:
        return self._kind

    @property
    def revision(self) -> int:
        """The revision up to which all is known; 0 before the first list."""
        return self._revision or 0

    @property
    def reachable(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._reachable

    @property
    def age_ms(self) -> int:
        """Since what is known was last confirmed, by store or relay."""
        return self._clock.now() - self._confirmed_at

    def renew(self) -> None:
        """Begin another watch; the connection of this one may be dead."""
        if self._watching is not None:
            self._watching.cancel()

    def changes_since(self, revision: int) -> Changes:
        """Return what another instance doesn't know yet."""
        whole = revision < self._forgotten or not revision
        objects = [
            found
            for found in (*self._known.values(), *self._removed.values())
            if whole or found.version > revision
        ]
        if whole:
            objects = [found for found in objects if found.value is not None]
        return Changes(self.revision, whole, objects)

    def take_relayed(self, changes: Changes) -> None:
        """Take what the controller's instance knows, unless it is behind."""
        if not changes.revision or changes.revision < self.revision:
            return
        listing = _objects.Listing(changes.revision, changes.objects)
        if changes.whole:
            self._take_list(listing)
        else:
            self._take_changes(listing)
        if self._clock.now() >= self._relayed_until:
            self.renew()
        self._confirmed_at = self._clock.now()
        self._relayed_until = self._confirmed_at + RELAYED_MS

    async def run(self) -> None:
        """Follow for ever."""
        retry_ms = FIRST_RETRY_MS
        while True:
            left_ms = self._relayed_until - self._clock.now()
            if left_ms > 0:
                await self._clock.sleep(left_ms)
                continue
            try:
                await self._step()
            except _objects.UnavailableError as error:
                self._note_reachable(False, str(error))
                await self._clock.sleep(retry_ms)
                retry_ms = min(2 * retry_ms, LONGEST_RETRY_MS)
            else:
                self._confirmed_at = self._clock.now()
                self._note_reachable(True, "")
                retry_ms = FIRST_RETRY_MS

    async def _step(self) -> None:
        if self._revision is None:
            self._take_list(await self._store.list(self._kind))
            return
        try:
            changes = await self._watch(self._revision)
        except _objects.GoneError:
            _logs.event("store_history_gone", kind=self._kind)
            self._revision = None
            return
        if changes is None:
            return
        self._take_changes(changes)
        if changes.objects:
            await self._clock.sleep(self._gather_ms)

    async def _watch(self, revision: int) -> _objects.Listing | None:
        """Return the changes; None when the watch is to be renewed."""
        self._watching = anyio.CancelScope()
        with self._watching:
            return await self._store.watch(self._kind, revision, WATCH_MS)
        return None

    def _take_list(self, listing: _objects.Listing) -> None:
        self._known = {found.name: found for found in listing.objects}
        self._removed.clear()
        self._forgotten = listing.revision
        self._revision = listing.revision
        self._on_list(listing.objects)

    def _take_changes(self, listing: _objects.Listing) -> None:
        for found in listing.objects:
            if found.value is None:
                self._known.pop(found.name, None)
                self._note_removed(found._replace(version=listing.revision))
            else:
                self._known[found.name] = found
                self._removed.pop(found.name, None)
            self._on_change(found)
        self._revision = max(self.revision, listing.revision)

    def _note_removed(self, found: _objects.Object) -> None:
        """Remember a removal, at the revision at which it was learned."""
        self._removed[found.name] = found
        self._removed.move_to_end(found.name)
        if len(self._removed) > MAX_REMOVED:
            _, oldest = self._removed.popitem(last=False)
            self._forgotten = max(self._forgotten, oldest.version)

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if reachable is not self._reachable:
            event = "store_regained" if reachable else "store_lost"
            _logs.event(event, kind=self._kind, error=error)
        self._reachable = reachable
