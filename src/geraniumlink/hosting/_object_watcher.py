"""Keeps a local copy of one kind of object from the platform's store.

The instance that holds the controller's lease watches the store. Its
responses to the other instances' demand reports carry the changes, so the
number of calls to the store doesn't grow with the number of instances. The
controller stops relaying once it can't renew its lease, that is, once it has
lost the store. An instance without relayed changes for ``RELAY_VALIDITY_MS``
watches the store itself, from the last revision that it knows.

A copy of an earlier history of the store is listed anew and isn't relayed.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _object_filter
from geraniumlink import _objects
from geraniumlink import _store_history
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _leadership

# How long the store may hold a watch without a change. A connection that goes
# silent is noticed only when its watch times out; see _change_delays.
WATCH_TIMEOUT_MS = 800
# The shortest watch after a disturbance. The store may drop its history while
# a watch waits, without an answer. So a watch lasts no longer than the time
# since the disturbance, and what it misses is known after twice that time.
SETTLING_WATCH_MS = 400
# A store that gave no answer for this long may have been restored: its present
# revision doesn't show it if it has passed the one known here.
MIN_RESTORE_MS = 300
# Delay before a failed call is repeated; it doubles up to the maximum.
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 800
# A read of the present changes waits for no others. The platform doesn't say
# what a wait of 0 means.
REFRESH_WAIT_MS = 1
# A request isn't held up longer than this by such a read. The store responds
# in 240 ms when it is slow.
REFRESH_TIMEOUT_MS = 400
# How long after relayed changes an instance doesn't watch the store itself.
# Several demand reports are answered in that time, each with the changes.
RELAY_VALIDITY_MS = 700
# Interval at which the objects are listed anew while some are left out for
# want of room: there may be room for them by now.
LEFT_OUT_LIST_INTERVAL_MS = 10_000
# Number of removed objects that ``changes_since`` can report. An instance
# that lacks an older removal gets the whole list.
MAX_REMEMBERED_REMOVALS = 512
# How long after a change of the store's history a controller that hasn't
# noticed it may relay, and its message may be on the way.
FORMER_RELAY_MS = (
    _leadership.ORDERING_WINDOW_MS + _controller_link.CALL_TIMEOUT_MS
)


# Where the age of the copy is bounded: the longest watch, and shares of the
# bound. A copy is confirmed only when a watch ends, and then as of its start,
# so the age reaches twice the wait. Relayed changes stand in for the watch
# while what they confirm isn't older than the last share; above it the present
# changes are read at once.
MAX_BOUNDED_WATCH_MS = WATCH_TIMEOUT_MS
_WATCH_SHARE = 0.2
_RELAYED_AGE_SHARE = 0.6
# Bounds that are too low to be kept must not cause calls without a pause.
_MIN_BOUNDED_WATCH_MS = 100
_MIN_RELAYED_AGE_MS = 3 * _MIN_BOUNDED_WATCH_MS


class Freshness(typing.NamedTuple):
    """How recently a copy must have been confirmed."""

    # How long the store may hold a watch without a change.
    watch_timeout_ms: int
    # Age above which relayed changes don't replace the watch.
    max_relayed_age_ms: int
    # Whether relayed changes with a value left out confirm nothing.
    needs_all_values: bool = True
    # Age of the copy by which a watch without a change ends; None if only the
    # timeout applies.
    max_watched_age_ms: int | None = None
    # Whether a watch that the store held until its timeout, without a change,
    # confirms the copy as of then; else as of when it was sent.
    trusts_held_watches: bool = False

    def combined_with(self, other: Freshness | None) -> Freshness:
        """Return what satisfies both."""
        if other is None:
            return self
        watched_ages_ms = [
            age_ms
            for age_ms in (self.max_watched_age_ms, other.max_watched_age_ms)
            if age_ms is not None
        ]
        return Freshness(
            min(self.watch_timeout_ms, other.watch_timeout_ms),
            min(self.max_relayed_age_ms, other.max_relayed_age_ms),
            self.needs_all_values or other.needs_all_values,
            min(watched_ages_ms, default=None),
            self.trusts_held_watches and other.trusts_held_watches,
        )


def freshness_for(bound_ms: int) -> Freshness:
    """Return what keeps the age of a copy below a bound."""
    watch_ms = max(_MIN_BOUNDED_WATCH_MS, int(_WATCH_SHARE * bound_ms))
    age_ms = max(_MIN_RELAYED_AGE_MS, int(_RELAYED_AGE_SHARE * bound_ms))
    return Freshness(min(MAX_BOUNDED_WATCH_MS, watch_ms), age_ms)


class ObjectStore(typing.Protocol):
    """The calls to the store that a watcher makes."""

    async def list(self, kind: str) -> _objects.Listing:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, after: int, wait_ms: int
    ) -> _objects.Listing:
        """Return the changes after a revision."""


class Changes(typing.NamedTuple):
    """Changes to one kind of object, as one instance relays them."""

    # The changes are complete up to this revision.
    revision: int
    # Whether these are all existing objects, not only the changed ones.
    is_snapshot: bool
    objects: list[_objects.Object]


class ObjectWatcher:
    """Calls ``on_list`` with each whole list and ``on_change`` per change.

    A removed object has the value None, as one of which nothing is kept.

    :param batch_delay_ms: how long changes may gather before they are read.
    :param alone_batch_delay_ms: the same while other instances get nothing
        from this one; None if it is the same.
    :param relays: whether others get the changes from this instance.
    :param object_filter: what is kept of the objects.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        clock: _clock.Clock,
        *,
        on_list: Callable[[list[_objects.Object]], None],
        on_change: Callable[[_objects.Object], None],
        batch_delay_ms: int,
        alone_batch_delay_ms: int | None = None,
        relays: Callable[[], bool] = lambda: True,
        freshness: Freshness | None = None,
        history: _store_history.StoreHistory | None = None,
        object_filter: _object_filter.ObjectFilter = _object_filter.KEEP_ALL,
    ) -> None:
        self._history = history or _store_history.StoreHistory()
        self._history.call_on_change(self._drop_copy)
        # Before this monotonic time relayed changes may be of an earlier
        # history; None before the first change of history.
        self._former_relay_until: int | None = None
        # Revision of the copy of an earlier history, until it is replaced.
        self._former_revision: int | None = None
        self._store = store
        self._kind = kind
        self._clock = clock
        self._on_list = on_list
        self._on_change = on_change
        # Delay after changes were read, before the next watch: all changes
        # within it are read by one call. Longer where each instance makes
        # calls of its own.
        self._batch_delay_ms = batch_delay_ms
        self._alone_batch_delay_ms = alone_batch_delay_ms or batch_delay_ms
        self._relays = relays
        # None if the copy may be of any age.
        self._freshness = freshness
        # The copy has all changes that the store acknowledged before this
        # time since boot; None before the first confirmation.
        self._confirmed_as_of: int | None = None
        self._watch_scope: anyio.CancelScope | None = None
        # Whether the present changes must be read, without a wait for others.
        self._must_confirm = False
        # Whether the objects must be listed, as the store may have gone on
        # from other contents and passed the revision of this copy.
        self._must_list = False
        # When the first of the calls in a row without an answer was sent.
        self._lost_since: int | None = None
        # Monotonic time at which a call last failed; None before the first.
        self._failed_at: int | None = None
        # Monotonic time of the last disturbance; None before the first.
        self._disturbed_at: int | None = None
        # None when the objects must be listed, not watched.
        self._revision: int | None = None
        # Time since boot by which the store had reached that revision.
        self._reached_by = 0
        self._filter = object_filter
        self._objects_by_name: dict[str, _objects.Object] = {}
        # Memory that the kept objects are counted with, by name.
        self._sizes: dict[str, int] = {}
        self._held_bytes = 0
        # How many objects were left out since the last list, and when they
        # are listed again.
        self._left_out = 0
        self._list_left_out_at = 0
        self._removals: collections.OrderedDict[str, _objects.Object] = (
            collections.OrderedDict()
        )
        # Removals up to this revision may be missing from _removals.
        self._complete_after = 0
        # Monotonic time in milliseconds; the store isn't watched before it.
        self._relay_valid_until = 0
        self._reachable = True
        # When the last ``refresh`` that the store answered was sent.
        self._refreshed_at = -1
        self._refreshing = anyio.Lock()
        # Whether the last relayed changes ended before this copy.
        self._relay_was_behind = False
        # When the store or relayed changes last confirmed the copy.
        self._confirmed_at = clock.now()

    @property
    def kind(self) -> str:
        return self._kind

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known; 0 before a list."""
        return self._revision or 0

    @property
    def position(self) -> _store_history.Position:
        """The revision, and the store's history that it belongs to."""
        return _store_history.Position(self._history.changes, self.revision)

    @property
    def is_history_new(self) -> bool:
        """Whether other instances may not have noticed the history yet."""
        return (
            self._former_relay_until is not None
            and self._clock.now() < self._former_relay_until
        )

    @property
    def reachable(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._reachable

    @property
    def failed_ms_ago(self) -> int | None:
        """Time since a call to the store last failed; None if none did."""
        if self._failed_at is None:
            return None
        return self._clock.now() - self._failed_at

    @property
    def held_bytes(self) -> int:
        """Memory that the kept objects are counted with."""
        return self._held_bytes

    @property
    def left_out(self) -> int:
        """Number of objects that were left out for want of room."""
        return self._left_out

    @property
    def unconfirmed_ms(self) -> int:
        """Time since the store or relayed changes confirmed the copy."""
        return self._clock.now() - self._confirmed_at

    @property
    def confirmed_age_ms(self) -> int | None:
        """How long ago the copy was the store's state for certain.

        Includes time for which this process or machine was suspended. None
        if it never was.
        """
        if self._confirmed_as_of is None:
            return None
        return self._clock.since_boot() - self._confirmed_as_of

    def restart_watch(self) -> None:
        """Confirm the copy, as the current connection may be dead."""
        self._note_disturbance()
        self._end_wait()

    def _note_disturbance(self) -> None:
        """Read the present changes next, and watch for a short time then."""
        self._must_confirm = True
        self._disturbed_at = self._clock.now()

    def _end_wait(self) -> None:
        """Cancel the running watch, or the wait for the relay's end."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def refresh(self, since: int) -> bool:
        """Read the store's changes now, unless that was begun since a time.

        :returns: whether the store answered, so that the copy has all
            changes that were made before that time.
        """
        async with self._refreshing:
            if self._refreshed_at >= since:
                return True
            sent_at = self._clock.now()
            try:
                with anyio.fail_after(REFRESH_TIMEOUT_MS / 1000):
                    is_applied = await self._read_changes()
            except (
                _objects.UnavailableError,
                _objects.RevisionCompactedError,
                TimeoutError,
            ) as error:
                _logs.event(
                    "objects_not_refreshed",
                    kind=self._kind,
                    error=repr(error),
                )
                return False
            if is_applied:
                self._refreshed_at = sent_at
            return is_applied

    async def _read_changes(self) -> bool:
        """Apply the present changes; return whether the copy has them."""
        if self._revision is None:
            return False
        changes = await self._store.watch(
            self._kind, self._revision, REFRESH_WAIT_MS
        )
        if changes.revision > self.revision and changes.objects:
            # What a running watch has read may be older by now.
            self._end_wait()
            self._apply_changes(changes)
        return True

    def changes_since(self, revision: int) -> Changes:
        """Return what has changed after a revision.

        The whole list is returned for revision 0, and for one so old that
        removals since then may have been dropped. While the objects must be
        listed, nothing is returned, at revision 0.
        """
        if self._revision is None:
            return Changes(0, False, [])
        is_snapshot = revision < self._complete_after or not revision
        objects = [
            item
            for item in (
                *self._objects_by_name.values(),
                *self._removals.values(),
            )
            if is_snapshot or item.version > revision
        ]
        if is_snapshot:
            objects = [item for item in objects if item.value is not None]
        return Changes(self.revision, is_snapshot, objects)

    def apply_relayed(
        self, changes: Changes, confirmed_as_of: int | None = None
    ) -> bool:
        """Apply the controller's changes, unless they end before this copy.

        Returns whether they were applied. If they prove that the store has
        another history than this copy, they begin it.

        A running watch is cancelled, since the relay replaces it; but not
        while the copy is too old for that.

        :param confirmed_as_of: time since boot as of which the changes are
            complete; None if it isn't known.
        """
        if self.is_history_new or self._is_relay_behind(
            changes.revision, confirmed_as_of
        ):
            return False
        if (
            self._freshness is not None
            and self._freshness.needs_all_values
            and any(item.value == {} for item in changes.objects)
        ):
            # The controller left a value out. It must not count as known.
            return False
        has_news = changes.revision > self.revision
        self._history.note_revision(changes.revision)
        listing = _objects.Listing(changes.revision, changes.objects)
        if changes.is_snapshot:
            self._apply_list(listing)
        else:
            self._apply_changes(listing)
        if confirmed_as_of is not None:
            self._note_confirmed(confirmed_as_of)
        if self._is_too_old():
            if has_news:
                # What a running watch has read may be older.
                self._end_wait()
            return True
        if self._clock.now() >= self._relay_valid_until:
            self._end_wait()
        self._confirmed_at = self._clock.now()
        self._relay_valid_until = self._confirmed_at + self._relay_lasts_ms()
        return True

    def _relay_lasts_ms(self) -> int:
        """Return for how long the relayed changes stand in for the watch.

        No longer than until the copy is too old: the sender may hear nothing
        of the store, and say each time that nothing has changed.
        """
        age_ms = self.confirmed_age_ms
        if self._freshness is None or age_ms is None:
            return RELAY_VALIDITY_MS
        left_ms = self._freshness.max_relayed_age_ms - age_ms
        return min(RELAY_VALIDITY_MS, left_ms)

    def _is_relay_behind(self, revision: int, as_of: int | None) -> bool:
        """Return whether relayed changes end before this copy.

        Logs the first of such changes in a row. Revision 0 is that of a
        controller that has no copy yet.
        """
        if not revision:
            return True
        was_behind = self._relay_was_behind
        self._relay_was_behind = revision < self.revision
        if self._relay_was_behind and not was_behind:
            self._must_list = True
            self.restart_watch()
            _logs.event(
                "relay_behind",
                kind=self._kind,
                revision=revision,
                known_revision=self.revision,
            )
        if self._relay_was_behind and self._is_restore_proved(as_of):
            self._history.begin_relayed(revision)
        return self._relay_was_behind

    def _is_restore_proved(self, as_of: int | None) -> bool:
        """Return whether changes that end before this copy prove a restore.

        The store had reached this copy's revision when the controller sent
        the call that confirmed them. A controller that was frozen or cut off
        since then proves nothing.

        :param as_of: time since boot as of which they are complete.
        """
        surely_reached = self._reached_by + _leadership.CLOCK_ERROR_MS
        return as_of is not None and as_of > surely_reached

    async def run(self) -> None:
        """List and watch the objects while no relay is valid, for ever."""
        retry_ms = INITIAL_RETRY_MS
        while True:
            if await self._wait_while_relayed():
                continue
            sent_at = self._clock.now()
            if (
                self._lost_since is not None
                and sent_at - self._lost_since >= MIN_RESTORE_MS
            ):
                self._must_list = True
            try:
                await self._list_or_watch()
            except _objects.UnavailableError as error:
                self._note_disturbance()
                self._failed_at = self._clock.now()
                if self._lost_since is None:
                    self._lost_since = sent_at
                self._set_reachable(False, str(error))
                await self._clock.sleep(retry_ms)
                retry_ms = min(2 * retry_ms, MAX_RETRY_MS)
            else:
                self._confirmed_at = self._clock.now()
                self._lost_since = None
                self._set_reachable(True, "")
                retry_ms = INITIAL_RETRY_MS

    async def _wait_while_relayed(self) -> bool:
        """Wait while relayed changes stand in for the watch.

        :returns: whether they did. They don't for objects that were left out.
        """
        left_ms = self._relay_valid_until - self._clock.now()
        if left_ms <= 0 or self._is_list_due():
            return False
        await self._wait(left_ms)
        if self._clock.now() >= self._relay_valid_until:
            self._note_disturbance()
        return True

    def _is_list_due(self) -> bool:
        """Whether there may be room for objects that were left out."""
        now = self._clock.now()
        return bool(self._left_out) and now >= self._list_left_out_at

    async def _list_or_watch(self) -> None:
        """Make one call to the store and apply its result."""
        # The response may arrive much later, and says nothing of that time.
        sent_at = self._clock.since_boot()
        if self._revision is None or self._must_list or self._is_list_due():
            self._must_list = False
            listing = await self._store.list(self._kind)
            if listing.revision >= self.revision:
                self._apply_list(listing)
                self._note_confirmed(sent_at)
            # Else relayed changes came meanwhile that end after it.
            return
        asked_after, wait_ms = self._revision, self._watch_wait_ms()
        try:
            changes = await self._watch(asked_after, wait_ms)
        except _objects.RevisionCompactedError:
            _logs.event("store_history_gone", kind=self._kind)
            self._note_disturbance()
            self._revision = None
            return
        if changes is None:
            return
        self._must_confirm = False
        if changes.revision < self.revision:
            # Newer relayed changes were applied as it arrived: older objects
            # must not replace them, such as an account with a removed key.
            await self._wait_for_batch()
            return
        self._apply_changes(changes)
        self._note_confirmed(self._complete_as_of(changes, sent_at, wait_ms))
        if changes.objects:
            await self._wait_for_batch()

    def _complete_as_of(
        self, changes: _objects.Listing, sent_at: int, wait_ms: int
    ) -> int:
        """Return the time since boot as of which a watch's answer is complete.

        :param sent_at: time since boot at which the watch was sent.
        """
        was_held = self._clock.since_boot() - sent_at >= wait_ms
        if (
            self._freshness is not None
            and self._freshness.trusts_held_watches
            and was_held
            and not changes.objects
        ):
            # Without a change, the store answers after that time only.
            return sent_at + wait_ms
        return sent_at

    async def _wait_for_batch(self) -> None:
        """Let changes gather, so that one call reads them."""
        if self._relays():
            await self._clock.sleep(self._batch_delay_ms)
        else:
            await self._clock.sleep(self._alone_batch_delay_ms)

    async def _watch(
        self, revision: int, wait_ms: int
    ) -> _objects.Listing | None:
        """Return the changes, or None if ``_end_wait`` cancelled it."""
        self._watch_scope = anyio.CancelScope()
        with self._watch_scope:
            return await self._store.watch(self._kind, revision, wait_ms)
        return None

    async def _wait(self, milliseconds: int) -> None:
        """Sleep, unless ``_end_wait`` ends it."""
        self._watch_scope = anyio.CancelScope()
        with self._watch_scope:
            await self._clock.sleep(milliseconds)

    def _watch_wait_ms(self) -> int:
        if self._must_confirm or self._is_too_old():
            # The copy is confirmed at once, not only as a watch ends.
            return REFRESH_WAIT_MS
        longest_ms = WATCH_TIMEOUT_MS
        if self._freshness is not None:
            longest_ms = self._freshness.watch_timeout_ms
            age_ms = self.confirmed_age_ms
            max_age_ms = self._freshness.max_watched_age_ms
            if age_ms is not None and max_age_ms is not None:
                left_ms = max(_MIN_BOUNDED_WATCH_MS, max_age_ms - age_ms)
                longest_ms = min(longest_ms, left_ms)
        if self._disturbed_at is None:
            return longest_ms
        calm_ms = self._clock.now() - self._disturbed_at
        return min(longest_ms, max(SETTLING_WATCH_MS, calm_ms))

    def _is_too_old(self) -> bool:
        """Whether the copy must be confirmed by this instance's own calls."""
        if self._freshness is None:
            return False
        age_ms = self.confirmed_age_ms
        return age_ms is None or age_ms > self._freshness.max_relayed_age_ms

    def _note_confirmed(self, as_of: int) -> None:
        """Record the time as of which the copy is complete."""
        if self._confirmed_as_of is None or as_of > self._confirmed_as_of:
            self._confirmed_as_of = as_of

    def _drop_copy(self) -> None:
        """List the objects anew, as the store has another history.

        What was passed on stays until then.
        """
        if self._former_revision is None:
            self._former_revision = self.revision
        self._revision = None
        now = self._clock.now()
        self._former_relay_until = now + FORMER_RELAY_MS
        self._relay_valid_until = now
        self.restart_watch()

    def _apply_list(self, listing: _objects.Listing) -> None:
        if self._former_revision is not None:
            self._log_replaced(listing, self._former_revision)
            self._former_revision = None
        selection = self._filter.select(self._reduce(listing.objects))
        self._objects_by_name = {item.name: item for item in selection.kept}
        self._sizes = {
            item.name: self._filter.measure(item) for item in selection.kept
        }
        self._held_bytes = sum(self._sizes.values())
        self._left_out = 0
        self._note_left_out(listing.left_out + len(selection.left_out))
        self._list_left_out_at = self._clock.now() + LEFT_OUT_LIST_INTERVAL_MS
        self._removals.clear()
        self._complete_after = listing.revision
        self._revision = listing.revision
        self._reached_by = self._clock.since_boot()
        self._on_list(selection.kept)

    def _reduce(self, objects: list[_objects.Object]) -> list[_objects.Object]:
        """Return what is kept of objects; some have nothing kept."""
        reduced = map(self._filter.reduce, objects)
        return [item for item in reduced if item.value is not None]

    def _note_left_out(self, count: int) -> None:
        """Count objects that are left out for want of room, and log it."""
        if not count:
            return
        self._left_out += count
        _logs.event(
            "objects_left_out",
            kind=self._kind,
            count=self._left_out,
            objects=len(self._objects_by_name),
            held_bytes=self._held_bytes,
        )

    def _log_replaced(
        self, listing: _objects.Listing, former_revision: int
    ) -> None:
        names = {item.name for item in listing.objects}
        _logs.event(
            "copy_replaced",
            kind=self._kind,
            revision=listing.revision,
            known_revision=former_revision,
            objects=len(names),
            dropped=len(self._objects_by_name.keys() - names),
        )

    def _apply_changes(self, listing: _objects.Listing) -> None:
        for item in map(self._filter.reduce, listing.objects):
            if item.value is None:
                self._remove(item, listing.revision)
            else:
                self._keep(item)
        if self._filter.is_over_limit(self._held_bytes):
            self._leave_out(listing.revision)
        if listing.revision > self.revision:
            self._reached_by = self._clock.since_boot()
        self._revision = max(self.revision, listing.revision)

    def _keep(self, item: _objects.Object) -> None:
        """Keep an object, in the place of the one of its name."""
        self._objects_by_name[item.name] = item
        size = self._filter.measure(item)
        self._held_bytes += size - self._sizes.get(item.name, 0)
        self._sizes[item.name] = size
        self._removals.pop(item.name, None)
        self._on_change(item)

    def _remove(self, item: _objects.Object, revision: int) -> None:
        """Drop an object of which nothing is kept any more.

        :param revision: up to which the changes with its removal go.
        """
        if self._objects_by_name.pop(item.name, None) is not None:
            self._held_bytes -= self._sizes.pop(item.name)
            self._record_removal(item._replace(version=revision))
        self._on_change(item)

    def _leave_out(self, revision: int) -> None:
        """Drop objects for want of room.

        :param revision: up to which the changes go that need the room.
        """
        selection = self._filter.select([*self._objects_by_name.values()])
        for item in selection.left_out:
            self._remove(item._replace(value=None), revision)
        if not self._left_out:
            self._list_left_out_at = (
                self._clock.now() + LEFT_OUT_LIST_INTERVAL_MS
            )
        self._note_left_out(len(selection.left_out))

    def _record_removal(self, item: _objects.Object) -> None:
        """Keep a removal for ``changes_since``.

        Its version is the revision that the watch returned, since the stored
        version is that of the object's last write.
        """
        self._removals[item.name] = item
        self._removals.move_to_end(item.name)
        if len(self._removals) > MAX_REMEMBERED_REMOVALS:
            _, oldest = self._removals.popitem(last=False)
            self._complete_after = max(self._complete_after, oldest.version)

    def _set_reachable(self, reachable: bool, error: str) -> None:
        """Record whether the last call was answered; log a change."""
        if reachable is not self._reachable:
            event = "store_regained" if reachable else "store_lost"
            _logs.event(event, kind=self._kind, error=error)
        self._reachable = reachable
