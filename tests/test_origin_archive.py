"""How streams began, as the store keeps it for a restart of all instances."""

import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.hosting import _origin_exchange
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _origin_archive
from geraniumlink.serving import _replicas
from geraniumlink.serving import _stream_origins
from tests import builders

pytestmark = pytest.mark.anyio

_V1 = _stream_origins.Origin("s", "v1")
_V2 = _stream_origins.Origin("s", "v2")


class _Store:
    def __init__(self):
        self.objects = {}
        self.reads = 0
        self.unavailable = False
        self.loses_answers = False

    async def list(self, kind):
        if self.unavailable:
            raise _objects.UnavailableError("out")
        self.reads += 1
        return _objects.Listing(1, list(self.objects.values()))

    async def put(self, kind, name, value, if_version):
        if self.unavailable:
            raise _objects.UnavailableError("out")
        absent = _objects.Object(kind, name, _objects.ABSENT, None)
        current = self.objects.get(name, absent)
        if current.version != if_version:
            raise _objects.ConflictError(current)
        written = _objects.Object(kind, name, if_version + 1, value)
        self.objects[name] = written
        if self.loses_answers:
            raise _objects.UnavailableError("lost")
        return written


class _Leadership:
    leader = "127.0.0.1:1"

    def __init__(self, is_leader=True):
        self.is_leader = is_leader


@pytest.fixture
def clock():
    return _clock.ManualClock(start=1_000_000)


@pytest.fixture
def store():
    return _Store()


def _start(store, clock, is_leader=True, versions=("v1", "v2")):
    """Return the archive of a process that has just started."""
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all(
        builders.replica_entry(f"r-{version}")._replace(
            software_version=version
        )
        for version in versions
    )
    return _origin_archive.OriginArchive(
        store, replicas, _Leadership(is_leader), clock
    )


async def test_origins_are_known_after_a_restart(store, clock):
    before = _start(store, clock)
    before.record(b"1", _V1)
    before.record(b"2", _V2)
    assert await before.write()
    after = _start(store, clock, is_leader=False)
    assert await after.find(b"1") == _V1
    assert await after.find(b"2") == _V2
    assert await after.find(b"3") is None
    assert store.reads == 1


async def test_origins_of_an_earlier_batch_are_not_lost(store, clock):
    archive = _start(store, clock)
    archive.record(b"1", _V1)
    assert await archive.write()
    archive.record(b"2", _V2)
    clock.advance(_origin_archive.SLOT_MS)
    assert await archive.write()
    after = _start(store, clock)
    assert await after.find(b"1") == _V1
    assert await after.find(b"2") == _V2


async def test_two_controllers_in_a_second_keep_each_others_origins(
    store, clock
):
    former, new = _start(store, clock), _start(store, clock)
    for archive, request_id in ((former, b"1"), (new, b"2"), (former, b"3")):
        archive.record(request_id, _V1)
        assert await archive.write()
    after = _start(store, clock)
    for request_id in (b"1", b"2", b"3"):
        assert await after.find(request_id) == _V1


@pytest.mark.parametrize("fault", ("unavailable", "loses_answers"))
async def test_origins_are_written_after_an_outage(store, clock, fault):
    archive = _start(store, clock)
    setattr(store, fault, True)
    archive.record(b"1", _V1)
    assert not await archive.write()
    setattr(store, fault, False)
    archive.record(b"2", _V2)
    assert await archive.write()
    after = _start(store, clock)
    assert await after.find(b"1") == _V1
    assert await after.find(b"2") == _V2


async def test_a_request_id_used_again_has_the_later_origin(store, clock):
    archive = _start(store, clock)
    for origin in (_V1, _V2, _V1):
        archive.record(b"1", origin)
        assert await archive.write()
        clock.advance(_origin_archive.SLOT_MS)
    # Its slots are not in the order of their names.
    assert await _start(store, clock).find(b"1") == _V1


async def test_the_record_stays_small_however_many_streams(
    store, clock, monkeypatch
):
    monkeypatch.setattr(_origin_archive, "SLOTS", 4)
    archive = _start(store, clock)
    for number in range(20):
        archive.record(b"%d" % number, _V1)
        assert await archive.write()
        clock.advance(_origin_archive.SLOT_MS)
    assert len(store.objects) == 4
    after = _start(store, clock)
    assert await after.find(b"19") == _V1
    assert await after.find(b"15") is None


async def test_an_instance_that_is_not_the_controller_writes_nothing(
    store, clock
):
    archive = _start(store, clock, is_leader=False)
    archive.record(b"1", _V1)
    assert await archive.write()
    assert await _start(store, clock).find(b"1") is None


async def test_a_read_is_tried_again_after_an_outage(store, clock):
    archive = _start(store, clock)
    archive.record(b"1", _V1)
    await archive.write()
    after = _start(store, clock)
    store.unavailable = True
    assert await after.find(b"1") is None
    store.unavailable = False
    assert await after.find(b"1") == _V1


@pytest.mark.parametrize(
    "value",
    (
        None,
        5,
        {},
        {"period": 1, "origins": [["s"]]},
        {"period": 1, "origins": [["s", "v1", 7]]},
        {"period": "x", "origins": []},
        {"period": 1, "origins": [["s", "v1", "?"]]},
    ),
)
async def test_a_slot_that_is_unreadable_hides_no_other(store, clock, value):
    archive = _start(store, clock)
    archive.record(b"1", _V1)
    await archive.write()
    kind = _origin_archive.KIND
    store.objects["bad"] = _objects.Object(kind, "bad", 1, value)
    assert await _start(store, clock).find(b"1") == _V1


def test_one_version_alone_needs_no_record(store, clock):
    archive = _start(store, clock, versions=["v1"])
    archive._replicas.learn_versions(None, {})
    assert not archive.is_needed(_V1)
    assert _start(store, clock).is_needed(_V1)


class _Datagrams:
    """Takes what one instance sends to others, and keeps its handler."""

    def add_handler(self, _kinds, handler):
        self.handle = handler

    def send(self, addresses, message):
        pass


async def test_a_controller_drops_an_origin_of_a_version_it_does_not_know_yet(
    store, clock
):
    """Its list of replicas may be older than that of another instance."""
    archive = _start(store, clock, versions=["v1"])
    archive._replicas.learn_versions(None, {})
    datagrams = _Datagrams()
    _origin_exchange.OriginExchange(
        _stream_origins.OriginTable(clock),
        _instance_directory.InstanceDirectory("127.0.0.1:1", clock),
        datagrams,
        archive,
    )
    sender = _settings.parse_address("127.0.0.1:2")
    datagrams.handle(["origin", "1", "s", "v1"], sender)
    datagrams.handle(["origin", "2", "s", "v2"], sender)
    assert await archive.write()
    after = _start(store, clock)
    assert await after.find(b"1") is None
    assert await after.find(b"2") == _V2
