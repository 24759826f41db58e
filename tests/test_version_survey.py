"""How an instance makes sure that one software version serves alone."""

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _version_survey
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _replicas
from tests import builders

pytestmark = pytest.mark.anyio

_WINDOW_MS = 8000


class _Network:
    """Passes datagrams on at once; those to silent instances are lost."""

    def __init__(self):
        self.silent = set()
        self.handlers = {}

    def socket(self, address):
        return _Socket(self, address)


class _Socket:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def add_handler(self, kinds, handler):
        for kind in kinds:
            self._network.handlers[self._address, kind] = handler

    def send(self, addresses, message):
        sender = _settings.parse_address(self._address)
        for address in sorted(addresses):
            if address not in self._network.silent:
                self._network.handlers[address, message[0]](message, sender)


class _Store:
    """Has the list of replicas; each call is counted."""

    def __init__(self):
        self.calls = 0
        self.unavailable = False
        self.changes = _objects.Listing(5, [])

    async def watch(self, kind, after, wait_ms):
        self.calls += 1
        await anyio.sleep(0)
        if self.unavailable:
            raise _objects.UnavailableError("out")
        return self.changes


class _Site:
    """Instances that know each other, each with a list of replicas.

    :param versions: for each instance, the versions that it knows; the first
        one reads the store.
    """

    def __init__(self, *versions):
        self.clock = _clock.ManualClock(start=1_000_000)
        self.network = _Network()
        self.addresses = [f"10.0.0.{n}:7000" for n in range(len(versions))]
        self.store = _Store()
        self.replicas = []
        self.surveys = []
        self.watcher = None
        for address, known in zip(self.addresses, versions, strict=True):
            self._start(address, known)

    def _start(self, address, versions):
        replicas = _replicas.Replicas(self.clock, 2000)
        replicas.learn_versions(None, {})
        watcher = _object_watcher.ObjectWatcher(
            self.store,
            "servers",
            self.clock,
            on_list=lambda objects: replicas.replace_all(
                item.value for item in objects
            ),
            on_change=lambda item: replicas.update(item.value),
            batch_delay_ms=0,
        )
        watcher.apply_relayed(
            _object_watcher.Changes(4, True, [_entry(v) for v in versions])
        )
        directory = _instance_directory.InstanceDirectory(address, self.clock)
        directory.apply_list(self.addresses)
        self.replicas.append(replicas)
        self.surveys.append(
            _version_survey.VersionSurvey(
                replicas=replicas,
                directory=directory,
                datagrams=self.network.socket(address),
                refresh=watcher.refresh,
                clock=self.clock,
            )
        )

    async def find_sole(self):
        return await self.surveys[0].find_sole("s", _WINDOW_MS)


def _entry(version):
    entry = builders.replica_entry(f"r-{version}")
    return _objects.Object(
        "servers", entry.name, 4, entry._replace(software_version=version)
    )


async def test_other_instances_confirm_a_version_without_a_call_to_the_store():
    site = _Site({"v1"}, {"v1"}, {"v1"})
    assert await site.find_sole() == "v1"
    assert not site.store.calls


async def test_one_instance_that_knows_another_version_is_enough():
    site = _Site({"v1"}, {"v1"}, {"v1", "v2"})
    assert await site.find_sole() is None
    assert not site.store.calls


@pytest.mark.parametrize("versions", ({"v1"}, {"v1", "v2"}))
async def test_the_store_is_read_where_an_instance_is_silent(versions):
    """It may be the only one that has begun streams at another version."""
    site = _Site({"v1"}, {"v1"}, {"v1"})
    site.network.silent.add(site.addresses[2])
    site.store.changes = _objects.Listing(5, [_entry(v) for v in versions])
    sole = "v1" if len(versions) == 1 else None
    assert await site.find_sole() == sole
    assert site.store.calls == 1


async def test_streams_that_are_resumed_together_share_a_call_to_the_store():
    site = _Site({"v1"}, {"v1"})
    site.network.silent.add(site.addresses[1])
    results = []

    async def find():
        results.append(await site.find_sole())

    async with anyio.create_task_group() as group:
        for _ in range(20):
            group.start_soon(find)
    assert results == ["v1"] * 20
    assert site.store.calls == 1


@pytest.mark.parametrize(
    "silent, sole", ((1, "v1"), (2, None), (3, None)), ids=str
)
async def test_without_the_store_most_instances_must_agree(silent, sole):
    site = _Site(*[{"v1"}] * 4)
    site.store.unavailable = True
    site.network.silent.update(site.addresses[-silent:])
    assert await site.find_sole() == sole


async def test_an_instance_alone_without_the_store_knows_no_sole_version():
    site = _Site({"v1"})
    assert await site.find_sole() == "v1"
    site.clock.advance(1)
    site.store.unavailable = True
    assert await site.find_sole() is None


async def test_an_instance_that_has_just_started_confirms_nothing():
    site = _Site({"v1"}, {"v1"}, {"v1"})
    for replicas in site.replicas[1:]:
        replicas.learn_versions(0, {})
    site.store.unavailable = True
    assert await site.find_sole() is None
    site.replicas[1].update(_entry("v2").value)
    assert await site.find_sole() is None


class _HangingStore(_Store):
    """Holds a watch until it is released, with what was read at its start."""

    def __init__(self):
        super().__init__()
        self.released = anyio.Event()
        self.watched_after = []

    async def watch(self, kind, after, wait_ms):
        self.watched_after.append(after)
        changes = self.changes
        if wait_ms > _object_watcher.REFRESH_WAIT_MS:
            await self.released.wait()
        return changes


async def test_what_a_running_watch_has_read_does_not_undo_a_refresh():
    store, received = _HangingStore(), []
    watcher = _object_watcher.ObjectWatcher(
        store,
        "servers",
        _clock.Clock(),
        on_list=received.extend,
        on_change=received.append,
        batch_delay_ms=0,
    )
    watcher._apply_list(_objects.Listing(4, []))
    store.changes = _objects.Listing(5, [_entry("v1")])
    async with anyio.create_task_group() as group:
        group.start_soon(watcher.run)
        await anyio.sleep(0.01)
        store.changes = _objects.Listing(6, [_entry("v2")])
        assert await watcher.refresh(watcher._clock.now())
        store.changes = _objects.Listing(6, [])
        await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert [item.name for item in received] == ["r-v2"]
    assert store.watched_after == [4, 4, 6]


@pytest.mark.parametrize(
    "message",
    (
        ["versions query"],
        ["versions query", 1, "s", 8000, 2],
        ["versions", "1", []],
        ["versions", 1],
    ),
)
async def test_a_malformed_message_is_an_error(message):
    site = _Site({"v1"})
    sender = _settings.parse_address("10.0.0.9:7000")
    with pytest.raises(ValueError):
        site.network.handlers[site.addresses[0], message[0]](message, sender)


async def test_a_late_answer_changes_nothing():
    site = _Site({"v1"}, {"v1"})
    sender = _settings.parse_address(site.addresses[1])
    handle = site.network.handlers[site.addresses[0], "versions"]
    handle(["versions", 99, ["v2"]], sender)
    assert await site.find_sole() == "v1"


@pytest.mark.parametrize("unavailable", (False, True))
async def test_hundreds_of_instances_are_asked_before_the_store(unavailable):
    site = _Site(*[["v1"]] * (_version_survey.MAX_ASKED_FIRST + 2))
    site.store.unavailable = unavailable
    asked = []
    send = site.network.socket(site.addresses[0]).send
    site.surveys[0]._datagrams.send = lambda to, message: (
        asked.extend(to),
        send(to, message),
    )
    assert await site.find_sole() == "v1"
    assert site.store.calls == 1
    others = _version_survey.MAX_ASKED_FIRST + 1
    assert len(asked) == (others if unavailable else 0)
