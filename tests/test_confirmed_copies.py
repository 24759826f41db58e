"""How old an instance's copy of the configuration is, as it must state it.

An age that is too low lets a removed key in; one that is never low enough
refuses every request.
"""

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from geraniumlink.platform import _fields
from geraniumlink.platform import _settings

pytestmark = pytest.mark.anyio

_BOUND_MS = 5000
_FRESHNESS = _object_watcher.freshness_for(_BOUND_MS)
_REFUSED = _objects.UnavailableError("refused")
_COMPACTED = _objects.RevisionCompactedError()


class _SteppedClock(_clock.ManualClock):
    """Monotonic time stands still while the machine is suspended."""

    suspended_ms = 0

    def since_boot(self):
        return self.now() + self.suspended_ms


class _Store:
    """Gives prepared answers; each takes a time, or ends the test."""

    def __init__(self, clock, answers):
        self._clock = clock
        self._answers = list(answers)
        self.waits = []
        self.lists = 0
        self.ended = anyio.Event()

    async def list(self, _kind):
        self.lists += 1
        return await self._answer()

    async def watch(self, _kind, _after, wait_ms):
        self.waits.append(wait_ms)
        return await self._answer()

    async def _answer(self):
        if not self._answers:
            self.ended.set()
            await anyio.sleep_forever()
        took_ms, answer = self._answers.pop(0)
        self._clock.advance(took_ms)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _listing(revision, *objects):
    return _objects.Listing(revision, list(objects))


def _make(*answers, freshness=_FRESHNESS, start=100_000):
    clock = _SteppedClock(start)
    store = _Store(clock, answers)
    watcher = _object_watcher.ObjectWatcher(
        store,
        "config",
        clock,
        on_list=lambda _objects: None,
        on_change=lambda _object: None,
        batch_delay_ms=0,
        freshness=freshness,
    )
    return clock, store, watcher


async def _run(store, watcher):
    """Run a watcher until the store has no more answers."""
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            await store.ended.wait()
            group.cancel_scope.cancel()


async def test_before_the_first_answer_nothing_is_confirmed():
    """As after a restart, and as the store refuses an instance."""
    _, store, watcher = _make((7, _REFUSED), (7, _REFUSED))
    assert watcher.confirmed_age_ms is None
    await _run(store, watcher)
    assert watcher.confirmed_age_ms is None


async def test_a_list_and_a_watch_are_dated_from_when_they_were_sent():
    _, store, watcher = _make((40, _listing(3)), (900, _listing(3)))
    await _run(store, watcher)
    assert watcher.confirmed_age_ms == 900
    assert store.waits[0] == _object_watcher.MAX_BOUNDED_WATCH_MS


async def test_refused_calls_and_gone_history_confirm_nothing():
    """The age grows until the store lists the objects again."""
    _, store, watcher = _make(
        (0, _listing(3)), (50, _REFUSED), (50, _COMPACTED), (60, _REFUSED)
    )
    await _run(store, watcher)
    # The pause before the call after a refused one is 100 ms at first.
    assert watcher.confirmed_age_ms == 50 + 100 + 50 + 60 + 100
    assert store.lists == 3
    _, store, watcher = _make(
        (0, _listing(3)), (50, _COMPACTED), (60, _listing(9))
    )
    await _run(store, watcher)
    assert watcher.confirmed_age_ms == 60


async def test_after_a_failed_watch_the_copy_isnt_confirmed_at_once():
    """The age would grow by a whole watch more."""
    _, store, watcher = _make(
        (0, _listing(3)), (50, _REFUSED), (5, _listing(3)), (900, _listing(3))
    )
    await _run(store, watcher)
    longest = _object_watcher.MAX_BOUNDED_WATCH_MS
    refresh = _object_watcher.REFRESH_WAIT_MS
    settling = _object_watcher.SETTLING_WATCH_MS
    assert store.waits[:3] == [longest, refresh, settling]


async def test_a_list_doesnt_replace_newer_relayed_changes():
    """The copy would be older than the time as of which it is confirmed."""
    clock, store, watcher = _make()

    async def list_late(_kind):
        clock.advance(400)
        relayed = _object_watcher.Changes(9, True, [])
        watcher.apply_relayed(relayed, clock.since_boot() - 700)
        return _listing(5)

    store.list = list_late
    await watcher._list_or_watch()
    assert (watcher.revision, watcher.confirmed_age_ms) == (9, 700)


async def test_a_watch_doesnt_replace_newer_relayed_changes():
    """A key that the newer configuration removed would be in force again."""
    clock, _, watcher = _make((0, _listing(3)))
    await watcher._list_or_watch()
    clock.advance(1000)
    applied = []
    watcher._on_change = applied.append

    async def watch_late(_revision, _wait_ms):
        clock.advance(400)
        newer = _objects.Object("config", "main", 9, {"tenants": []})
        relayed = _object_watcher.Changes(9, False, [newer])
        watcher.apply_relayed(relayed, clock.since_boot() - 700)
        return _listing(
            5, _objects.Object("config", "main", 5, {"tenants": ["old"]})
        )

    watcher._watch = watch_late
    await watcher._list_or_watch()
    assert [item.version for item in applied] == [9]
    assert (watcher.revision, watcher.confirmed_age_ms) == (9, 700)


async def test_time_of_a_freeze_and_of_a_suspended_machine_counts():
    clock, store, watcher = _make((0, _listing(3)))
    await _run(store, watcher)
    clock.advance(4000)
    clock.suspended_ms += 3000
    assert watcher.confirmed_age_ms == 7000


async def test_a_cancelled_watch_confirms_nothing():
    clock, store, watcher = _make((0, _listing(3)))
    async with anyio.create_task_group() as group:
        group.start_soon(watcher.run)
        await store.ended.wait()
        clock.advance(500)
        watcher.restart_watch()
        await anyio.wait_all_tasks_blocked()
        assert watcher.confirmed_age_ms == 500
        group.cancel_scope.cancel()


async def test_a_copy_that_is_too_old_is_confirmed_at_once():
    """A watch of the usual length would end after the bound."""
    clock, store, watcher = _make((0, _listing(3)))
    await _run(store, watcher)
    clock.advance(_FRESHNESS.max_relayed_age_ms + 1)
    store.ended = anyio.Event()
    await _run(store, watcher)
    assert store.waits[-1] == _object_watcher.REFRESH_WAIT_MS


async def test_copies_without_a_bound_are_watched_as_before():
    clock, store, watcher = _make((0, _listing(3)), freshness=None)
    await _run(store, watcher)
    clock.advance(60_000)
    store.ended = anyio.Event()
    await _run(store, watcher)
    assert set(store.waits) == {_object_watcher.WATCH_TIMEOUT_MS}


def _relay_to(sender, receiver, sent_at, ages="stated"):
    known = receiver.known_revisions()
    encoded = sender.encode_changes(known)
    stated = sender.confirmed_ages_ms() if ages == "stated" else ages
    receiver.apply_changes(encoded, stated, sent_at)


async def test_relayed_changes_are_dated_from_the_report_and_their_age():
    """Both the way back and the age at the controller count."""
    sender_clock, store, sender = _make((0, _listing(3)), start=5_000_000)
    await _run(store, sender)
    sender_clock.advance(1200)
    clock, _, receiver = _make()
    sent_at = clock.since_boot()
    clock.advance(300)
    _relay_to(_relay.Relay([sender]), _relay.Relay([receiver]), sent_at)
    assert receiver.confirmed_age_ms == 300 + 1200
    # An older report that is answered later doesn't lower the age.
    _relay_to(_relay.Relay([sender]), _relay.Relay([receiver]), sent_at - 900)
    assert receiver.confirmed_age_ms == 300 + 1200


@pytest.mark.parametrize(
    "ages",
    (None, {}, {"config": None}, {"config": -1}, {"config": "0"}, [0])
    + ({"config": True}, {"config": 0.5}, {"servers": 0}),
)
async def test_without_a_stated_age_nothing_is_confirmed(ages):
    """Controllers of the build before state none: it isn't taken for 0."""
    _, store, sender = _make((0, _listing(3)))
    await _run(store, sender)
    clock, store, receiver = _make((0, _listing(3)))
    _relay_to(
        _relay.Relay([sender]), _relay.Relay([receiver]), clock.now(), ages
    )
    assert receiver.revision == 3
    assert receiver.confirmed_age_ms is None
    # So the instance asks the store itself, although it gets the changes.
    await _run(store, receiver)
    assert receiver.confirmed_age_ms == 0
    assert store.waits[0] == _object_watcher.REFRESH_WAIT_MS


async def test_changes_that_are_behind_the_copy_confirm_nothing():
    """A controller that was frozen knows less than this instance."""
    _, store, sender = _make((0, _listing(2)))
    await _run(store, sender)
    clock, store, receiver = _make((0, _listing(3)))
    await _run(store, receiver)
    clock.advance(2000)
    changes = _object_watcher.Changes(2, False, [])
    receiver.apply_relayed(changes, clock.since_boot())
    assert receiver.confirmed_age_ms == 2000


async def test_changes_without_a_value_confirm_nothing():
    """A controller leaves out values that are too large for a message."""
    clock, store, watcher = _make((0, _listing(3)))
    await _run(store, watcher)
    clock.advance(900)
    left_out = _objects.Object("config", "main", 4, {})
    watcher.apply_relayed(
        _object_watcher.Changes(4, False, [left_out]), clock.since_boot()
    )
    assert (watcher.revision, watcher.confirmed_age_ms) == (3, 900)


async def test_recent_relayed_changes_replace_the_watch():
    """Otherwise each instance would call the store, at a price."""
    clock, store, watcher = _make((0, _listing(3)))
    await _run(store, watcher)
    calls = len(store.waits)
    clock.advance(1500)
    for _ in range(5):
        clock.advance(200)
        watcher.apply_relayed(
            _object_watcher.Changes(3, False, []), clock.since_boot() - 1500
        )
    assert watcher.confirmed_age_ms == 1500
    store.ended = anyio.Event()
    await _run(store, watcher)
    # The clock's sleep has ended the time for which the changes are valid.
    assert len(store.waits) == calls + 1
    assert watcher.confirmed_age_ms == (
        1500 + _object_watcher.RELAY_VALIDITY_MS
    )


def test_the_age_stays_below_the_bound_in_normal_operation():
    """As the controller ends just before its next watch does.

    Its copy is then two watches old, and 250 ms and a second watch go by
    until this instance's own watch has ended.
    """
    # A bound that can't be kept causes few calls all the same.
    assert min(_object_watcher.freshness_for(0)[:2]) >= 100
    for bound_ms in (2000, 5000, 60_000):
        freshness = _object_watcher.freshness_for(bound_ms)
        oldest_ms = (
            2 * freshness.watch_timeout_ms
            + 250
            + min(freshness.watch_timeout_ms, bound_ms)
        )
        assert oldest_ms < 0.9 * bound_ms
        assert freshness.watch_timeout_ms <= 1000


@pytest.mark.parametrize(
    ("bounds", "bound_ms"),
    (
        ({}, None),
        ({"strict_revoke": None}, None),
        ({"strict_revoke": False, "revoke_ms": "soon"}, None),
        ({"strict_revoke": True, "revoke_ms": 3000.7}, 3000),
        ({"strict_revoke": True}, 5000),
    ),
)
def test_the_bound_is_read_from_the_settings(bounds, bound_ms):
    message = {"bounds": bounds}
    assert _settings._revocation_bound(message, "bounds") == bound_ms


@pytest.mark.parametrize(
    "bounds",
    (
        {"strict_revoke": "yes"},
        {"strict_revoke": True, "revoke_ms": "soon"},
        {"strict_revoke": True, "revoke_ms": -1},
    ),
)
def test_an_invalid_bound_is_an_error(bounds):
    with pytest.raises(_fields.FormatError):
        _settings._revocation_bound({"bounds": bounds}, "bounds")


class _Model:
    """A store, the controller and an instance, with messages of any delay."""

    def __init__(self, data):
        self._data = data
        self._clock = _SteppedClock(1000)
        # The time at which each version was acknowledged; that of a version
        # is its revision, too.
        self._acknowledged = {1: 0}
        self._versions = {}
        self._watchers = [self._make_watcher(n) for n in range(2)]
        self._relays = [_relay.Relay([w]) for w in self._watchers]
        self._reports = []
        self._answers = []

    def _make_watcher(self, number):
        def note(item):
            self._versions[number] = max(
                item.version, self._versions.get(number, 0)
            )

        return _object_watcher.ObjectWatcher(
            self,
            "config",
            self._clock,
            on_list=lambda items: [note(item) for item in items],
            on_change=note,
            batch_delay_ms=0,
            freshness=_FRESHNESS,
        )

    async def list(self, _kind):
        return await self._answer_call(0)

    async def watch(self, _kind, after, _wait_ms):
        if self._data.draw(st.integers(0, 5)) == 0:
            raise _objects.RevisionCompactedError
        return await self._answer_call(after)

    async def _answer_call(self, after):
        """Return what the store has; things happen before and after that."""
        await self.act(self._data.draw(st.integers(0, 3)), may_call=False)
        newest = max(self._acknowledged)
        found = [_objects.Object("config", "main", newest, {"v": newest})]
        listing = _listing(newest, *(found if newest > after else ()))
        await self.act(self._data.draw(st.integers(0, 3)), may_call=False)
        await anyio.lowlevel.checkpoint()
        return listing

    async def act(self, steps, may_call=True):
        kinds = ["pass", "write", "suspend", "report", "answer", "deliver"]
        if may_call:
            kinds += ["call", "call"]
        for _ in range(steps):
            kind = self._data.draw(st.sampled_from(kinds))
            if kind == "call":
                number = self._data.draw(st.integers(0, 1))
                await self._watchers[number]._list_or_watch()
            else:
                self._change_store_or_time(kind)
                self._pass_message_on(kind)
            self._check()

    def _change_store_or_time(self, kind):
        match kind:
            case "pass":
                self._clock.advance(self._data.draw(st.integers(1, 900)))
            case "write":
                newest = max(self._acknowledged)
                self._acknowledged[newest + 1] = self._clock.since_boot()
                self._clock.advance(1)
            case "suspend":
                self._clock.suspended_ms += 5000

    def _pass_message_on(self, kind):
        match kind:
            case "report":
                known = self._relays[1].known_revisions()
                self._reports.append((self._clock.since_boot(), known))
            case "answer" if self._reports:
                sent_at, known = self._reports.pop()
                changes = self._relays[0].encode_changes(known)
                ages = self._relays[0].confirmed_ages_ms()
                self._answers.append((changes, ages, sent_at))
            case "deliver" if self._answers:
                last = len(self._answers) - 1
                index = self._data.draw(st.integers(0, last))
                self._relays[1].apply_changes(*self._answers.pop(index))

    def _check(self):
        for number, watcher in enumerate(self._watchers):
            age_ms = watcher.confirmed_age_ms
            if age_ms is not None:
                as_of = self._clock.since_boot() - age_ms
                due = [v for v, at in self._acknowledged.items() if at < as_of]
                assert self._versions[number] >= max(due, default=0)


@hypothesis.settings(max_examples=60)
@hypothesis.given(st.data())
def test_a_copy_has_all_that_was_acknowledged_before_it_was_confirmed(data):
    """Whatever is late, lost or overtaken: a removed key is never missed."""
    anyio.run(_Model(data).act, 25)
