"""The store goes on from other contents than it had acknowledged."""

import anyio
import orjson
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.hosting import _change_delays
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from geraniumlink import platform

pytestmark = pytest.mark.anyio

# Times in which a configuration must be in force, or a leaving replica must
# get no more requests: config_apply_ms and drain_ms, and others.
_BOUNDS_MS = (2000, 3000, 10_000)
_ADDRESS = _settings.parse_address("10.0.0.1:80")


def _stored(name, revision):
    return {"metadata": {"name": name, "revision": revision}, "spec": name}


def _answer(revision, *names, era=None, status=200, stored=None):
    """Return an answer to a list or a watch, or with one stored object."""
    items = [_stored(name, revision) for name in names]
    fields = {"items": items, "events": [{"object": item} for item in items]}
    body = stored or fields | {"store_revision": revision}
    headers = [(b"Store-Era", b"%d" % era)] if era else []
    return _http.Response(status, headers, orjson.dumps(body))


def _written(version, status=200):
    return _answer(0, status=status, stored=_stored("x", version))


class _Instance:
    """One instance's client, copy and relay; the store's answers are given."""

    def __init__(self, *answers, clock=None):
        self.answers = list(answers)
        self.clock = clock or _clock.ManualClock(100_000)
        self.client = platform.StoreClient(self, _ADDRESS)
        self.history = self.client.history
        self.names = set()
        self.waits = []
        self.watcher = _object_watcher.ObjectWatcher(
            self.client,
            "config",
            self.clock,
            on_list=lambda items: self._note(items, replace=True),
            on_change=lambda item: self._note([item]),
            batch_delay_ms=0,
            history=self.history,
        )
        self.relay = _relay.Relay([self.watcher])

    def _note(self, items, replace=False):
        kept = set() if replace else self.names
        self.names = kept | {item.name for item in items}

    async def request(self, _method, _address, path, **_fields):
        if "wait_ms=" in path:
            self.waits.append(int(path.rpartition("=")[2]))
            self.clock.advance(self.waits[-1])
        if not self.answers:
            self.ended.set()
            await anyio.sleep_forever()
        answer = self.answers.pop(0)
        return await answer() if callable(answer) else answer

    async def call(self, *answers):
        self.answers += answers
        while self.answers:
            await self.watcher._list_or_watch()

    async def run(self):
        """Run the watcher until the store has no more answers."""
        self.ended = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self.watcher.run)
            await self.ended.wait()
            group.cancel_scope.cancel()

    def relay_from(self, other):
        sent_at = self.clock.since_boot()
        known = self.relay.known_revisions()
        self.relay.apply_changes(
            other.relay.encode_changes(known),
            other.relay.confirmed_ages_ms(),
            sent_at,
        )


@pytest.mark.parametrize(
    "answers",
    (
        [_answer(3), _answer(4, "new")],
        [_answer(3, status=410), _answer(4, "new")],
        [_answer(9, era=2), _answer(9, "new", era=2)],
        [_answer(9, era=2, status=410), _answer(9, "new", era=2)],
    ),
    ids=("behind", "refused", "new era", "new era refused"),
)
async def test_a_copy_outlives_the_stores_history(answers):
    instance = _Instance()
    await instance.call(_answer(5, "old"), *answers)
    assert (instance.names, instance.history.changes) == ({"new"}, 1)


async def test_a_late_answer_of_an_earlier_era_is_taken_for_the_newest():
    instance = _Instance()
    await instance.call(_answer(5, era=2))
    waits, may_go_on = anyio.Event(), anyio.Event()

    async def answer_late():
        waits.set()
        await may_go_on.wait()
        return _answer(9, "old", era=2)

    async def list_late():
        with pytest.raises(_objects.UnavailableError):
            await instance.client.list("config")

    instance.answers.append(answer_late)
    async with anyio.create_task_group() as group:
        group.start_soon(list_late)
        await waits.wait()
        instance.answers.append(_answer(1, era=3, status=503))
        with pytest.raises(_objects.UnavailableError):
            await instance.client.get("leases", "x")
        may_go_on.set()
    await instance.call(_answer(4, "new", era=3))
    assert (instance.names, instance.history.changes) == ({"new"}, 1)
    # A store that was set up anew counts from one.
    await instance.call(_answer(4, era=1), _answer(4, "newer", era=1))
    assert (instance.names, instance.history.changes) == ({"newer"}, 2)


@pytest.mark.parametrize(
    ("answer", "changes"),
    (
        (_written(11), 0),
        (_written(6), 0),
        (_written(9), 1),
        (_written(6, status=409), 0),
        (_written(5, status=409), 1),
        (_written(0, status=404), 1),
    ),
    ids=("newer", "unchanged", "behind", "taken", "taken behind", "gone"),
)
async def test_a_renewal_hides_that_its_version_was_forgotten(answer, changes):
    instance = _Instance(_written(6))
    held = await instance.client.put("leases", "x", 1, 0)
    await instance.call(_answer(9), _answer(10))
    instance.answers += [_written(2), answer]
    await instance.client.get("leases", "x")
    try:
        await instance.client.put("leases", "x", 2, held.version)
    except _objects.ConflictError:
        assert answer.status != 200
    assert instance.history.changes == changes


async def test_changes_relayed_during_a_call_are_held_against_its_answer():
    instance = _Instance(_answer(5))

    async def relay_meanwhile():
        changes = _object_watcher.Changes(9, False, [])
        instance.watcher.apply_relayed(changes)
        return _answer(7)

    await instance.call(relay_meanwhile)
    assert instance.history.changes == 0
    await instance.call(_answer(7))
    assert instance.history.changes == 1


async def test_a_former_controllers_relay_replaces_the_present_list():
    former, instance = _Instance(), _Instance()
    await former.call(_answer(9, "old"))
    await instance.call(_answer(9, "old"), _answer(3), _answer(3, "new"))
    instance.relay_from(former)
    assert instance.names == {"new"}
    instance.clock.advance(_object_watcher.FORMER_RELAY_MS)
    await former.call(_answer(4))
    instance.relay_from(former)
    assert instance.names == {"new"}
    await former.call(_answer(5, "new", "newer"))
    instance.relay_from(former)
    assert instance.names == {"new", "newer"}


@pytest.mark.parametrize("revision", (9, 12))
async def test_changes_are_added_to_the_copy_of_an_earlier_history(revision):
    controller, instance = _Instance(), _Instance()
    await instance.call(_answer(9, "old"))
    await controller.call(_answer(9, "old"), _answer(3), _answer(3, "new"))
    await controller.call(_answer(revision, "newer"))
    instance.relay_from(controller)
    assert instance.names == {"new", "newer"}


@pytest.mark.parametrize(
    "disturbance", ("lapse", "error", "refused", "restart", "behind")
)
async def test_a_long_watch_is_relied_on_after_a_disturbance(disturbance):
    instance = _Instance(_answer(5), _answer(5))
    await instance.run()
    assert instance.waits == [_object_watcher.WATCH_TIMEOUT_MS] * 2
    match disturbance:
        case "lapse":
            instance.watcher.apply_relayed(
                _object_watcher.Changes(5, False, [])
            )
        case "error":
            instance.answers = [_answer(5, status=503)]
        case "refused":
            instance.answers = [_answer(5, status=410), _answer(5)]
        case "restart":
            instance.watcher.restart_watch()
        case "behind":
            instance.watcher.apply_relayed(
                _object_watcher.Changes(4, False, [])
            )
    instance.waits.clear()
    instance.answers += [_answer(5)] * 20
    await instance.run()
    confirming, *waits = instance.waits[disturbance in ("error", "refused") :]
    assert confirming == _object_watcher.REFRESH_WAIT_MS
    for number, wait_ms in enumerate(waits[:6]):
        # A retry's pause and the first read count as calm time.
        calm_ms = sum(waits[:number]) + _object_watcher.INITIAL_RETRY_MS + 1
        assert wait_ms <= max(_object_watcher.SETTLING_WATCH_MS, calm_ms)
    assert waits[5] == _object_watcher.WATCH_TIMEOUT_MS


@pytest.mark.parametrize("bound_ms", _BOUNDS_MS)
def test_the_delays_of_a_change_add_up_to_more_than_its_bound(bound_ms):
    """Each was bounded, and they added up to 2.4 s of 2.0 s."""
    waits = _change_delays.waits_within(bound_ms, is_busy=True)
    delays_ms = _change_delays.longest_delays_ms(waits, waits.freshness)
    assert max(delays_ms.values()) + _change_delays.SEND_MS <= bound_ms


def test_a_silent_watch_is_waited_for_longer_than_by_default():
    freshness = _object_watcher.freshness_for(60_000)
    assert freshness.watch_timeout_ms <= _object_watcher.WATCH_TIMEOUT_MS
