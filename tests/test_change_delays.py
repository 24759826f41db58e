"""How late an instance acts on a change in the store, in virtual time.

Played over the moments at which the controller stops hearing the store.
"""

import itertools

import anyio
import pytest

from emulator import _virtual_time
from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.hosting import _change_delays
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from geraniumlink import platform
from geraniumlink.residency import _controller_protocol
from geraniumlink.residency import _leadership
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets
from tests import builders
from tests import scripted_replicas

_BOUND_MS = 2000
# From the change to the cut; 29 ms apart, which divides none of the waits.
_CUTS_MS = range(-900, 600, 29)
# From another change, as of a heartbeat, to the change: the controller then
# lets changes gather, or watches.
_HEARTBEATS_MS = (2, 120, 249, 1000)
# When the change is; the controller's watches are in another phase then.
_CHANGES_AT_MS = (4000, 4110, 4220, 4330)
_FAST_MS = 4
_SLOW_MS = _change_delays.STORE_ANSWER_MS
_MESSAGE_MS = 3
# The latest with which others don't read the store themselves in between.
_LATE_MESSAGE_MS = (
    _object_watcher.RELAY_VALIDITY_MS
    - _controller_protocol.REPORT_INTERVAL_MS
    - 10
)


class _Store:
    """Has a heartbeat of r-2, and then the change, which is of r-1."""

    def __init__(self, clock, answer_ms, heartbeat_ms, changed_at):
        self._clock = clock
        self._answer_ms = answer_ms
        self._heartbeat_ms = heartbeat_ms
        self._changed_at = changed_at
        self._revision = 1
        self._changed = anyio.Event()

    async def change_later(self):
        await self._clock.sleep(self._changed_at - self._heartbeat_ms)
        self._change()
        await self._clock.sleep(self._heartbeat_ms)
        self._change()

    def _change(self):
        self._revision += 1
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def list(self, kind):
        await self._clock.sleep(self._answer_ms)
        return _objects.Listing(self._revision, self._objects_after(kind, 0))

    async def watch(self, kind, after, wait_ms):
        await self._clock.sleep(self._answer_ms / 2)
        if self._revision == after:
            with anyio.move_on_after(wait_ms / 1000):
                await self._changed.wait()
        listing = _objects.Listing(
            self._revision, self._objects_after(kind, after)
        )
        await self._clock.sleep(self._answer_ms / 2)
        return listing

    def _objects_after(self, kind, after):
        versions = {"r-1": 3 if self._revision == 3 else 1}
        versions["r-2"] = min(2, self._revision)
        return [
            _objects.Object(kind, name, version, {"a": 1})
            for name, version in versions.items()
            if version > after
        ]


class _CutLink:
    """The controller's link to the store.

    :param cut_at: from this time on no answer arrives.
    :param until: those of calls that are made from this time on do.
    """

    def __init__(self, store, clock, cut_at, until):
        self._store = store
        self._clock = clock
        self._cut_at = cut_at
        self._until = until

    async def list(self, kind):
        return await self._pass(self._store.list(kind), 1000)

    async def watch(self, kind, after, wait_ms):
        return await self._pass(
            self._store.watch(kind, after, wait_ms),
            wait_ms + platform.WATCH_TIMEOUT_MARGIN_MS,
        )

    async def _pass(self, call, timeout_ms):
        began_at = self._clock.now()
        answer = await call
        is_cut = self._cut_at <= self._clock.now() and began_at < self._until
        if not is_cut:
            return answer
        left_ms = began_at + timeout_ms - self._clock.now()
        await self._clock.sleep(max(0, left_ms))
        raise _objects.UnavailableError("no answer")


class _Instance:
    """A watcher with its relay, and when it knew of the change."""

    def __init__(self, store, clock, waits):
        self._clock = clock
        self.known_at = None
        self.watcher = _object_watcher.ObjectWatcher(
            store,
            "servers",
            clock,
            on_list=self._note,
            on_change=lambda item: self._note([item]),
            batch_delay_ms=waits.batch_delay_ms,
            alone_batch_delay_ms=waits.alone_batch_delay_ms,
            freshness=waits.freshness,
        )
        self.relay = _relay.Relay([self.watcher])

    def _note(self, objects):
        is_known = any(item.version == 3 for item in objects)
        if is_known and self.known_at is None:
            self.known_at = self._clock.now()


async def _follow(instance, controller, clock, may_relay, find_message_ms):
    """Report to the controller, and apply what it answers."""
    while True:
        await clock.sleep(_controller_protocol.REPORT_INTERVAL_MS)
        sent_at = clock.since_boot()
        if not may_relay():
            continue
        encoded = controller.relay.encode_changes(
            instance.relay.known_revisions()
        )
        ages_ms = controller.relay.confirmed_ages_ms()
        await clock.sleep(find_message_ms())
        instance.relay.apply_changes(encoded, ages_ms, sent_at)


def _play(
    waits,
    changed_at,
    cut_after_ms,
    *,
    answer_ms,
    message_ms,
    is_silent,
    heartbeat_ms,
):
    """Return how late the controller and another instance know a change.

    :param cut_after_ms: from the change to the controller's cut.
    :param message_ms: how long its messages take from then on.
    :param is_silent: whether only its watch is cut off, as by a connection
        that is dead: it goes on renewing its lease, and relaying.
    """
    cut_at = changed_at + cut_after_ms

    async def play(clock):
        store = _Store(clock, answer_ms, heartbeat_ms, changed_at)
        until = cut_at if is_silent else float("inf")
        link = _CutLink(store, clock, cut_at, until)
        controller = _Instance(link, clock, waits)
        other = _Instance(store, clock, waits)

        def may_relay():
            # Its last renewal was sent at the worst moment, the cut.
            relay_until = cut_at + _leadership.RELAY_WINDOW_MS
            return is_silent or clock.now() < relay_until

        def find_message_ms():
            return message_ms if clock.now() >= cut_at else _MESSAGE_MS

        async with anyio.create_task_group() as group:
            group.start_soon(store.change_later)
            group.start_soon(controller.watcher.run)
            group.start_soon(other.watcher.run)
            group.start_soon(
                _follow, other, controller, clock, may_relay, find_message_ms
            )
            await clock.sleep(changed_at + 4000)
            group.cancel_scope.cancel()
        return controller.known_at, other.known_at

    return [
        None if at is None else at - changed_at
        for at in _virtual_time.run(play)
    ]


_CASES = pytest.mark.parametrize(
    ("answer_ms", "message_ms", "is_silent"),
    (
        (_FAST_MS, _MESSAGE_MS, False),
        (_SLOW_MS, _MESSAGE_MS, False),
        (_FAST_MS, _LATE_MESSAGE_MS, False),
        (_FAST_MS, _MESSAGE_MS, True),
        (_SLOW_MS, _MESSAGE_MS, True),
    ),
    ids=("cut", "slow store", "late messages", "silent", "silent and slow"),
)


@_CASES
def test_a_controller_without_news_keeps_a_change_from_others(
    answer_ms, message_ms, is_silent
):
    """Requests went to a leaving replica for longer than the bound.

    The controller said that nothing had changed, and each instance counted
    its waits from there.
    """
    waits = _change_delays.waits_within(_BOUND_MS, is_busy=True)
    for changed_at, cut_after_ms, heartbeat_ms in itertools.product(
        _CHANGES_AT_MS, _CUTS_MS, _HEARTBEATS_MS
    ):
        own_ms, other_ms = _play(
            waits,
            changed_at,
            cut_after_ms,
            answer_ms=answer_ms,
            message_ms=message_ms,
            is_silent=is_silent,
            heartbeat_ms=heartbeat_ms,
        )
        assert other_ms <= _BOUND_MS - _change_delays.SEND_MS
        if is_silent:
            # It is in touch, and sends requests itself.
            assert own_ms <= _BOUND_MS - _change_delays.SEND_MS


def test_waits_without_an_age_add_up_unnoticed():
    """The play shows it where each wait counts from the one before."""
    waits = _change_delays.waits_within(_BOUND_MS)._replace(freshness=None)
    late_ms = max(
        _play(
            waits,
            _CHANGES_AT_MS[0],
            cut_after_ms,
            answer_ms=_FAST_MS,
            message_ms=_LATE_MESSAGE_MS,
            is_silent=False,
            heartbeat_ms=_HEARTBEATS_MS[0],
        )[1]
        for cut_after_ms in _CUTS_MS
    )
    assert late_ms > _BOUND_MS


@pytest.mark.parametrize("age_ms", (0, 300, 1200, 1840, 2500, None))
def test_a_removed_entry_is_used_until_after_the_bound(age_ms):
    """It may have been removed as long ago as the list is old."""
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, _BOUND_MS, 1340)
    replicas.set_list_age(lambda: age_ms)
    replicas.replace_all([builders.replica_entry("r-1")])
    replicas.mark_missing("r-1")
    used_ms = 0
    while replicas.available("s"):
        clock.advance(10)
        used_ms += 10
    assert used_ms <= max(0, _BOUND_MS - (age_ms or 0))
    assert bool(used_ms) is (age_ms is not None and age_ms < 1700)


@pytest.mark.parametrize("kind", scripted_replicas.ROUTE_KINDS)
@pytest.mark.parametrize("is_removed", (True, False))
def test_a_request_goes_to_a_replica_that_left_as_it_connected(
    kind, is_removed
):
    """Over a link that loses packets a connection takes seconds to open."""

    async def play(clock):
        limit = _retry_budgets.RetryLimit(0.2, 56, 10_000)
        site = scripted_replicas.Site(clock, [], 3, 2, limit)
        site.dial_s = 1.0
        statuses = []

        async def send():
            statuses.append(await site.send(b"q-1", kind))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await clock.sleep(500)
            for name in ("r0", "r1"):
                if is_removed:
                    site.replicas.mark_missing(name)
                else:
                    entry = site.replicas.get(name).entry
                    site.replicas.update(entry._replace(leaving=True))
            # Those that were removed are no last resort for so long.
            await clock.sleep(2000)
        return site, statuses[0][0]

    site, status = _virtual_time.run(play)
    assert status == 200
    assert [name for _, name, _ in site.log] == ["r2"]
