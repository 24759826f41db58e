"""What instances know after a restart of the versions that served before."""

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink import _store_history
from geraniumlink.residency import _version_history
from geraniumlink.serving import _replicas
from tests import builders

pytestmark = pytest.mark.anyio

_WINDOW_MS = 8000


class _Store:
    def __init__(self):
        self.found = _objects.Object("k", "n", 0, None)
        self.unavailable = False
        self.writes = 0
        # Records that the next reads return, from before a restore.
        self.late_reads = []
        self.history = _store_history.StoreHistory()

    def restore(self, copy):
        """Go back to a copy, as the next answer to any call shows."""
        self.found = copy
        self.history.begin_relayed(copy.version)

    async def get(self, _kind, _name):
        if self.unavailable:
            raise _objects.UnavailableError("out")
        return self.late_reads.pop() if self.late_reads else self.found

    async def put(self, kind, name, value, if_version):
        if self.unavailable:
            raise _objects.UnavailableError("out")
        if if_version != self.found.version:
            raise _objects.ConflictError(self.found)
        self.writes += 1
        self.found = _objects.Object(kind, name, if_version + 1, value)
        return self.found


class _Leadership:
    epoch = 1
    is_leader = True


class _Instance:
    """One process; a restart is another one with the same store."""

    def __init__(self, store, clock, versions, is_first_start=False):
        self.clock = clock
        self.replicas = _replicas.Replicas(clock, 2000)
        self.leadership = _Leadership()
        self.list_versions(*versions)
        self.history = _version_history.VersionHistory(
            store=store,
            replicas=self.replicas,
            leadership=self.leadership,
            clock=clock,
            is_first_start=is_first_start,
            history=store.history,
        )

    def list_versions(self, *versions):
        self.replicas.replace_all(
            builders.replica_entry(f"r-{version}")._replace(
                software_version=version
            )
            for version in versions
        )

    async def start(self):
        await self.history._try_read()
        self.history._apply()
        return self

    async def check(self):
        """Do what the controller does each CHECK_INTERVAL_MS."""
        self.clock.advance(_version_history.CHECK_INTERVAL_MS)
        await self.history._update()

    @property
    def sole_version(self):
        return self.replicas.sole_version("s", _WINDOW_MS)


@pytest.fixture
def store():
    return _Store()


@pytest.fixture
def clock():
    return _clock.ManualClock(start=1_000_000)


async def test_at_the_first_start_no_version_served_before(store, clock):
    instance = _Instance(store, clock, ["v1"], is_first_start=True)
    await instance.start()
    assert instance.sole_version == "v1"


async def test_without_a_record_a_window_has_to_pass(store, clock):
    instance = await _Instance(store, clock, ["v1"]).start()
    assert instance.sole_version is None
    clock.advance(_WINDOW_MS)
    assert instance.sole_version == "v1"


async def test_a_version_that_went_with_a_restart_of_all_is_known(
    store, clock
):
    before = _Instance(store, clock, ["v1"], is_first_start=True)
    await (await before.start()).check()
    after = _Instance(store, clock, ["v2"], is_first_start=True)
    await after.start()
    assert after.sole_version is None
    await after.check()
    clock.advance(_version_history.CLOCK_SKEW_MS + _WINDOW_MS + 1)
    assert (await _Instance(store, clock, ["v2"]).start()).sole_version == "v2"


async def test_the_only_version_is_known_right_after_a_restart_of_all(
    store, clock
):
    before = _Instance(store, clock, ["v1"], is_first_start=True)
    await (await before.start()).check()
    after = await _Instance(store, clock, ["v1"]).start()
    assert after.sole_version == "v1"


async def test_a_system_of_an_earlier_release_begins_its_record(store, clock):
    """It may have had other versions before."""
    before = await _Instance(store, clock, ["v1"]).start()
    await before.check()
    after = await _Instance(store, clock, ["v1"]).start()
    assert after.sole_version is None
    clock.advance(_WINDOW_MS)
    assert after.sole_version == "v1"


async def test_the_record_is_written_when_versions_come_and_go(store, clock):
    instance = _Instance(store, clock, ["v1"], is_first_start=True)
    await instance.start()
    for versions in (["v1"], ["v1", "v2"], ["v1", "v2"], ["v2"]):
        instance.list_versions(*versions)
        # A missing entry counts for a while.
        clock.advance(2000)
        for _ in range(5):
            await instance.check()
    assert store.writes == 3
    assert store.found.value["services"]["s"].keys() == {"v1", "v2"}
    clock.advance(_version_history.KEEP_MS)
    await instance.check()
    assert store.found.value["services"]["s"].keys() == {"v2"}


async def test_a_new_controller_reads_what_the_one_before_wrote(store, clock):
    first = _Instance(store, clock, ["v1"], is_first_start=True)
    second = _Instance(store, clock, ["v1"], is_first_start=True)
    await first.start()
    await second.start()
    first.list_versions("v1", "v2")
    await first.check()
    await second.check()
    assert store.found.value["services"]["s"].keys() == {"v1", "v2"}


async def test_a_new_controller_writes_again_what_it_saw_too(store, clock):
    first = _Instance(store, clock, ["v1"], is_first_start=True)
    second = _Instance(store, clock, ["v1"], is_first_start=True)
    for instance in (first, second):
        await instance.start()
    await first.check()
    for instance in (first, second):
        instance.list_versions("v2")
    for _ in range(6):
        await first.check()
    # It notices later that v1 is gone.
    second.replicas.versions_in_service()
    written = store.writes
    assert store.found.value["services"]["s"]["v1"] is not None
    await second.check()
    assert store.writes == written


async def test_a_record_that_was_lost_is_complete_since_the_first_start(
    store, clock
):
    instance = _Instance(store, clock, ["v1"], is_first_start=True)
    await (await instance.start()).check()
    store.found = _objects.Object("k", "n", 0, None)
    instance.leadership.epoch = 2
    await instance.check()
    assert store.found.value["since"] == clock.wall()


async def test_a_read_from_before_a_restore_hides_what_was_lost(store, clock):
    instance = _Instance(store, clock, ["v1"], is_first_start=True)
    await (await instance.start()).check()
    copy = store.found
    instance.list_versions("v2")
    for _ in range(6):
        await instance.check()
    store.late_reads = [store.found]
    store.restore(copy)
    for _ in range(3):
        await instance.check()
    services = store.found.value["services"]["s"]
    assert services["v1"] is not None
    assert services["v2"] is None
    written = store.writes
    await instance.check()
    assert store.writes == written


async def test_versions_before_the_first_order_are_forgotten(store, clock):
    """All instances may restart while the controller waits."""
    first = _Instance(store, clock, ["v1"], is_first_start=True)
    first.leadership.may_order = lambda: False
    async with anyio.create_task_group() as group:
        group.start_soon(first.history.run)
        with anyio.fail_after(2):
            while not store.writes:
                await anyio.sleep(0)
        group.cancel_scope.cancel()
    second = await _Instance(store, clock, ["v2"], is_first_start=True).start()
    assert second.sole_version is None


async def test_a_write_that_failed_is_tried_again(store, clock):
    instance = _Instance(store, clock, ["v1"], is_first_start=True)
    await instance.start()
    store.unavailable = True
    await instance.check()
    store.unavailable = False
    await instance.check()
    assert store.writes == 1


@pytest.mark.parametrize(
    "value", ({}, [], 3, {"since": "x", "services": {}}, {"since": None})
)
async def test_an_unreadable_record_is_none(store, clock, value):
    store.found = _objects.Object("k", "n", 3, value)
    instance = await _Instance(store, clock, ["v1"]).start()
    assert instance.sole_version is None
