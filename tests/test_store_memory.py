"""What others write to the store takes a bounded part of the memory.

Entries of replicas may come from any process, as large and as many as the
store takes.
"""

import random
import tracemalloc

import anyio
import orjson
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _object_filter
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from geraniumlink import platform
from geraniumlink.serving import _replicas
from tests import builders
from tests import hosts

_ADDRESS = _settings.Address("127.0.0.1", 9)
# Limits of the smallest machines that are planned for, and of an object.
_MEMORY_MB = 160
_VALUE_BYTES = 1_000_000
# A list may take two fifths of the memory: clients' requests have a quarter,
# and the process itself has the rest.
_PEAK_BYTES = 0.4 * _MEMORY_MB * 2**20


def _units(text_bytes):
    """Return a replica's models, in a form that names none."""
    unit = b'{"u":10}'
    return b"[%b]" % b",".join([unit] * (text_bytes // (len(unit) + 1)))


def _named_models(number, text_bytes):
    """Return a replica's models, as many as there is room for."""
    names = (
        b'{"name":"m-%08d-%08d","adapters":[]}' % (number, n)
        for n in range(text_bytes // 44)
    )
    return b"[%b]" % b",".join(names)


def _unusable(number, text_bytes=_VALUE_BYTES):
    return builders.raw_entry(
        address=b'"rack-%d"' % number, models=_units(text_bytes)
    )


def _of_a_strange_service(number, text_bytes=_VALUE_BYTES):
    return builders.raw_entry(
        service=b'"racks"', models=_named_models(number, text_bytes)
    )


def _usable(number, text_bytes=10_000):
    return builders.raw_entry(
        service=b'"racks-%d"' % (number % 7),
        models=_named_models(number, text_bytes),
    )


def _reduce(item):
    try:
        entry = platform.decode_replica_entry(item.name, item.value)
    except platform.FormatError:
        return None
    return platform.encode_replica_entry(entry)


def _make_filter(memory_mb=_MEMORY_MB):
    return _object_filter.ObjectFilter(
        _reduce,
        is_wanted=lambda item: item.value["service"] == "assistant",
        max_bytes=_object_filter.max_bytes_for(memory_mb),
    )


class _PagedClient:
    """Responds with the pages of a list, each made when it is asked for."""

    def __init__(self, entries_a_page, pages, make_entry):
        self._entries_a_page = entries_a_page
        self._pages = pages
        self._make_entry = make_entry
        self.calls = 0

    async def request(self, *_args, **_fields):
        first = self.calls * self._entries_a_page
        self.calls += 1
        items = [
            builders.raw_object(f"odd-{n:06}", n + 1, self._make_entry(n))
            for n in range(first, first + self._entries_a_page)
        ]
        if self.calls == 1:
            items.insert(
                0, builders.raw_object("a-1", 1, builders.raw_entry())
            )
        more = b"true" if self.calls < self._pages else b"false"
        body = b'{"items":[%b],"more":%b,"store_revision":900000}' % (
            b",".join(items),
            more,
        )
        return _http.Response(200, [], body)


def _store(client):
    return platform.StoreClient(client, _ADDRESS, {"servers": _make_filter()})


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("entries_a_page", "pages", "make_entry"),
    (
        (1, 14, _unusable),
        (200, 15, lambda n: _unusable(n, 5000)),
        (1, 14, _of_a_strange_service),
        (100, 20, _usable),
    ),
    ids=("1 MB", "5 kB", "named models", "usable"),
)
async def test_a_list_of_strange_entries_fills_the_memory(
    entries_a_page, pages, make_entry
):
    """All pages were decoded before what can't be used was left out."""
    client = _PagedClient(entries_a_page, pages, make_entry)
    tracemalloc.start()
    try:
        listing = await _store(client).list("servers")
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert client.calls == pages
    assert "a-1" in {item.name for item in listing.objects}
    assert peak < _PEAK_BYTES


@pytest.mark.anyio
async def test_changes_that_are_too_large_stop_the_watch():
    """Each later watch would get the same changes, and fail again."""
    limits = []

    class _Client:
        async def request(self, *_args, max_body_bytes, **_fields):
            limits.append(max_body_bytes)
            raise _http.TooLargeError("too large")

    with pytest.raises(_objects.RevisionCompactedError):
        await _store(_Client()).watch("servers", 1, 1)
    # At least the largest object and what comes with it are read.
    assert limits[0] > 2 * 2**20


class _Copy:
    """One instance's watcher and relay, and the names that it passed on."""

    def __init__(self, object_filter):
        self.names = set()
        self.clock = _clock.ManualClock()
        self.watcher = _object_watcher.ObjectWatcher(
            None,
            "servers",
            self.clock,
            on_list=self._apply_list,
            on_change=self._apply_change,
            batch_delay_ms=0,
            object_filter=object_filter,
        )
        self.relay = _relay.Relay([self.watcher])

    def _apply_list(self, objects):
        self.names = {item.name for item in objects}

    def _apply_change(self, item):
        if item.value is None:
            self.names.discard(item.name)
        else:
            self.names.add(item.name)

    def relay_from(self, other):
        self.relay.apply_changes(
            other.relay.encode_changes(self.relay.known_revisions())
        )


def _object(name, version, raw):
    return _objects.Object("servers", name, version, orjson.loads(raw))


def test_a_copy_keeps_the_fields_that_nobody_reads():
    copy = _Copy(_make_filter())
    raw = builders.raw_entry(notes=b'"%b"' % (b"x" * _VALUE_BYTES))
    copy.watcher._apply_list(_objects.Listing(1, [_object("r-1", 1, raw)]))
    kept = copy.watcher.changes_since(0).objects
    assert [item.name for item in kept] == ["r-1"]
    assert len(orjson.dumps(kept[0].value)) < 1000


def test_an_entry_that_becomes_unusable_stays_in_use_elsewhere():
    sender, receiver = _Copy(_make_filter()), _Copy(_make_filter())
    good = _object("r-1", 1, builders.raw_entry())
    sender.watcher._apply_list(_objects.Listing(1, [good]))
    receiver.relay_from(sender)
    assert receiver.names == {"r-1"}
    odd = _object("r-1", 2, _unusable(1, 100))
    sender.watcher._apply_changes(_objects.Listing(2, [odd]))
    receiver.relay_from(sender)
    assert sender.names == receiver.names == set()
    assert sender.watcher.changes_since(1).objects[0].value is None


def test_strange_entries_push_removals_out_of_those_remembered():
    """Each instance would get the whole list, again and again."""
    copy = _Copy(_make_filter())
    copy.watcher._apply_list(_objects.Listing(1, []))
    for revision in range(2, 2 * _object_watcher.MAX_REMEMBERED_REMOVALS):
        odd = _object(f"odd-{revision}", revision, _unusable(1, 100))
        copy.watcher._apply_changes(_objects.Listing(revision, [odd]))
    changes = copy.watcher.changes_since(1)
    assert not changes.is_snapshot
    assert changes.objects == []


@pytest.mark.parametrize("is_listed", (True, False))
def test_large_entries_take_the_room_of_sound_ones(is_listed, log_lines):
    """Sound entries are small, and those of a known service go first."""
    copy = _Copy(_make_filter())
    sound = [
        _object(f"r-{n}", 10_000 + n, builders.raw_entry()) for n in range(50)
    ]
    large = [_object(f"odd-{n}", 1 + n, _usable(n)) for n in range(2000)]
    # Of a known service, too.
    large += [
        _object(
            f"large-{n}",
            5000 + n,
            builders.raw_entry(models=_named_models(n, 10_000)),
        )
        for n in range(500)
    ]
    objects = large + sound
    random.Random(1).shuffle(objects)
    if is_listed:
        copy.watcher._apply_list(_objects.Listing(20_000, objects))
    else:
        copy.watcher._apply_list(_objects.Listing(1, []))
        for number in range(0, len(objects), 100):
            part = objects[number : number + 100]
            copy.watcher._apply_changes(_objects.Listing(2 + number, part))
    assert copy.names >= {item.name for item in sound}
    assert copy.watcher.held_bytes <= 0.125 * _MEMORY_MB * 2**20
    # What is left out is left out everywhere, and is logged.
    assert len(copy.names) + copy.watcher.left_out == len(objects)
    assert any(name.startswith("large") for name in copy.names)
    (*_, logged) = [
        line
        for line in log_lines
        if line["message_type"] == "objects_left_out"
    ]
    assert logged["count"] == copy.watcher.left_out
    receiver = _Copy(_make_filter())
    receiver.relay_from(copy)
    assert receiver.names == copy.names


@pytest.mark.anyio
async def test_an_object_left_out_is_never_looked_for_again():
    """Room that others leave is used, without a change of the object."""
    filled = [_object(f"odd-{n}", n, _usable(n)) for n in range(2000)]
    listings = [filled, filled[:10]]

    class _Store:
        async def list(self, _kind):
            objects = listings.pop(0) if len(listings) > 1 else listings[0]
            return _objects.Listing(5000, objects)

        async def watch(self, _kind, after, _wait_ms):
            return _objects.Listing(after, [])

    copy = _Copy(_make_filter())
    copy.watcher._store = _Store()
    await copy.watcher._list_or_watch()
    assert copy.watcher.left_out
    left_out = {item.name for item in filled} - copy.names
    assert left_out
    await copy.watcher._list_or_watch()
    assert copy.watcher.left_out
    copy.clock.advance(_object_watcher.LEFT_OUT_LIST_INTERVAL_MS)
    await copy.watcher._list_or_watch()
    assert copy.watcher.left_out == 0
    assert copy.names == {item.name for item in filled[:10]}


def test_services_and_versions_of_strange_entries_are_kept_for_ever():
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([])
    replicas.learn_versions(None, {})
    entry = platform.decode_replica_entry(
        "r-1", orjson.loads(builders.raw_entry())
    )
    for number in range(3000):
        strange = entry._replace(
            name=f"odd-{number}",
            service=f"racks-{number}",
            software_version=f"v-{number}",
        )
        replicas.update(strange)
        replicas.mark_missing(strange.name)
        clock.advance(2000)
        replicas.registered("assistant")
    limit = _replicas.MAX_FORMER_VERSIONS + 1
    assert len(replicas.version_ages_ms()) <= limit
    assert len(replicas._prefill_speeds) <= limit
    assert len(replicas._call_times) <= limit
    # What was forgotten doesn't count as never seen.
    assert replicas.versions_seen("racks-0", 6_000_000) is None
    assert replicas.versions_seen("racks-2999", 3000) == {"v-2999"}


async def _write_entries(site, number, make_entry):
    for n in range(number):
        await site.put_raw("servers", f"odd-{n}", make_entry(n))


@pytest.mark.anyio
@pytest.mark.serial
@pytest.mark.parametrize(
    ("number", "make_entry"),
    (
        (14, _unusable),
        (400, lambda n: _unusable(n, 20_000)),
        (14, _of_a_strange_service),
    ),
    ids=("1 MB", "20 kB", "named models"),
)
async def test_strange_entries_end_every_process(fleet, number, make_entry):
    """The platform ends a process that exceeds its limit of memory.

    The next process lists the same entries.
    """
    site = hosts.Site(fleet)
    site.limits = {"memory_mb": _MEMORY_MB}
    await site.start(replicas=1, instances=2)
    await _write_entries(site, number, make_entry)
    await anyio.sleep(3)
    await site.add_instance()
    for instance in site.instances:
        answer = await hosts.send_request(instance.port, "/safe/x")
        assert answer.status == 200
        assert instance.peak_kb() < _MEMORY_MB * 1024
