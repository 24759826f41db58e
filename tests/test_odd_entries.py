"""One entry of the store that can't be read or used costs no other entry."""

import base64
import json
import random
import zlib

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.control import _leases
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from geraniumlink import platform
from geraniumlink.platform import _replicas as _replica_entries
from geraniumlink.residency import _origin_archive
from geraniumlink.residency import _version_history
from tests import builders
from tests import hosts

_ADDRESS = _settings.Address("127.0.0.1", 9)


def _nested(levels):
    return b"[" * levels + b"]" * levels


def _nested_objects(levels):
    return b'{"a":' * levels + b"1" + b"}" * levels


# Entries that can't be decoded, or not encoded again.
_UNREADABLE = {
    "nested 300": builders.raw_entry(extra=_nested(300)),
    "nested 900": builders.raw_entry(slots=_nested(900)),
    "nested 3,000": _nested(3000),
    "field nested 3,000": builders.raw_entry(models=_nested_objects(3000)),
    "nested 100,000": builders.raw_entry(extra=_nested(100_000)),
    "slots of 1e400": builders.raw_entry(slots=b"1e400"),
    "slots of 400 digits": builders.raw_entry(slots=b"9" * 400),
    "slots of 6,000 digits": builders.raw_entry(slots=b"9" * 6000),
    "born of 400 digits": builders.raw_entry(born=b"9" * 400),
    "slots not a number": builders.raw_entry(slots=b"NaN"),
    "slots infinite": builders.raw_entry(slots=b"-Infinity"),
    "lone surrogate": builders.raw_entry(version=rb'"\ud800"'),
    "key with a lone surrogate": builders.raw_entry()[:-1] + rb',"\udfff":1}',
    "not UTF-8": builders.raw_entry(zone=b'"\xff\xfe]}"'),
}
# Entries that can be decoded and name no replica to use.
_UNUSABLE = {
    "null": b"null",
    "text": b'"text"',
    "adapters of 5": builders.raw_entry(
        models=b'[{"name":"m1","adapters":5}]'
    ),
    "adapter of 5": builders.raw_entry(
        models=b'[{"name":"m1","adapters":[[5]]}]'
    ),
    "model of 5": builders.raw_entry(models=b"[5]"),
    "slots of 1e308": builders.raw_entry(slots=b"1e308"),
    "born of 1e308": builders.raw_entry(born=b"1e308"),
    "born of 20 digits": builders.raw_entry(born=b"9" * 20),
    "port of 99999": builders.raw_entry(address=b'"127.0.0.1:99999"'),
    "port of -1": builders.raw_entry(address=b'"127.0.0.1:-1"'),
    "port of 0": builders.raw_entry(address=b'"127.0.0.1:0"'),
    "port of 6,000 digits": builders.raw_entry(
        address=b'"127.0.0.1:%b"' % (b"9" * 6000)
    ),
    "address with a scope": builders.raw_entry(
        address=rb'"[fe80::1%a\r\nb]:80"'
    ),
    "address with NUL": builders.raw_entry(address=rb'"127.0.0.1\u0000:80"'),
    "address of all interfaces": builders.raw_entry(address=b'"0.0.0.0:80"'),
    "multicast address": builders.raw_entry(address=b'"[ff02::1]:80"'),
    "service with a line end": builders.raw_entry(service=rb'"s\r\n"'),
    "huge version": builders.raw_entry(version=b'"%b"' % (b"v" * 100_000)),
}
_ODD = _UNREADABLE | _UNUSABLE


class _HttpClient:
    """Answers each request with the next of the bodies."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)
        self.paths = []

    async def request(self, _method, _address, path, **_fields):
        self.paths.append(path)
        return _http.Response(200, [], self._bodies.pop(0))


def _page(*items, more=b"false"):
    return b'{"items":[%b],"more":%b,"store_revision":9}' % (
        b",".join(items),
        more,
    )


def _events(*objects):
    events = [b'{"object":%b,"deleted":false}' % item for item in objects]
    return b'{"events":[%b],"store_revision":9}' % b",".join(events)


def _store(*bodies):
    return platform.StoreClient(_HttpClient(*bodies), _ADDRESS)


def _usable_names(objects):
    """Return the names of the objects that are entries of replicas."""
    names = set()
    for item in objects:
        try:
            platform.decode_replica_entry(item.name, item.value)
        except platform.FormatError:
            continue
        names.add(item.name)
    return names


_GOOD_1 = builders.raw_object("r-1", 3, builders.raw_entry())
_GOOD_2 = builders.raw_object("r-2", 4, builders.raw_entry())


@pytest.mark.anyio
@pytest.mark.parametrize("spec", _ODD.values(), ids=_ODD)
async def test_one_odd_entry_makes_the_whole_list_unreadable(spec):
    odd = builders.raw_object("odd", 5, spec)
    listing = await _store(_page(_GOOD_1, odd, _GOOD_2)).list("servers")
    assert [item.name for item in listing.objects] == ["r-1", "odd", "r-2"]
    assert [item.version for item in listing.objects] == [3, 5, 4]
    assert _usable_names(listing.objects) == {"r-1", "r-2"}
    assert listing.revision == 9


@pytest.mark.anyio
@pytest.mark.parametrize("spec", _ODD.values(), ids=_ODD)
async def test_one_odd_entry_stops_the_watch_at_its_revision(spec):
    odd = builders.raw_object("odd", 5, spec)
    store = _store(_events(_GOOD_1, odd, _GOOD_2))
    changes = await store.watch("servers", 2, 1000)
    assert _usable_names(changes.objects) == {"r-1", "r-2"}
    assert {item.name for item in changes.objects} == {"r-1", "odd", "r-2"}
    # None would mean that the entry was removed.
    assert all(item.value is not None for item in changes.objects)
    assert changes.revision == 9


@pytest.mark.anyio
@pytest.mark.parametrize(
    "metadata",
    (
        _nested(3000),
        b"5",
        b"{}",
        rb'{"name":5,"revision":5}',
        b'{"name":"odd","revision":1e400}',
        b'{"name":"odd","revision":"%b"}' % (b"9" * 6000),
        rb'{"name":"\ud800","revision":5}',
    ),
    ids=range(7),
)
async def test_an_object_with_odd_metadata_costs_the_others(metadata):
    odd = builders.raw_object("odd", 5, b"{}", metadata=metadata)
    page, more = _page(_GOOD_1, odd, more=b"true"), _page(_GOOD_2)
    client = _HttpClient(page, more)
    listing = await platform.StoreClient(client, _ADDRESS).list("servers")
    assert _usable_names(listing.objects) == {"r-1", "r-2"}
    assert len(client.paths) == 2
    changes = await _store(_events(odd, _GOOD_1)).watch("servers", 2, 1000)
    assert _usable_names(changes.objects) == {"r-1"}


@pytest.mark.anyio
async def test_odd_finalizers_or_status_cost_the_replica():
    metadata = b'{"finalizers":%b,"name":"r-1","revision":5}' % _nested(3000)
    items = (
        builders.raw_object("r-1", 5, builders.raw_entry(), metadata=metadata),
        builders.raw_object("r-2", 5, builders.raw_entry(), status=b"1e400"),
    )
    listing = await _store(_page(*items)).list("servers")
    assert _usable_names(listing.objects) == {"r-1", "r-2"}


@pytest.mark.anyio
async def test_a_page_of_nothing_but_odd_names_is_read_for_ever():
    odd = builders.raw_object("odd", 5, b"{}", metadata=b"5")
    client = _HttpClient(*[_page(odd, more=b"true")] * 10)
    store = platform.StoreClient(client, _ADDRESS)
    with pytest.raises(_objects.UnavailableError):
        await store.list("servers")
    assert len(client.paths) == 1


@pytest.mark.anyio
async def test_an_odd_entry_is_logged_at_each_read(log_lines):
    pages = [
        _page(builders.raw_object("odd", revision, _nested(3000)))
        for revision in (5, 5, 5, 6)
    ]
    store = _store(*pages)
    for _ in pages:
        await store.list("servers")
    logged = [
        (line["kind"], line["name"], line["revision"])
        for line in log_lines
        if line["message_type"] == "object_unreadable"
    ]
    assert logged == [("servers", "odd", 5), ("servers", "odd", 6)]
    assert store.unreadable_objects == 2


_json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"])),
    lambda inner: (
        st.lists(inner)
        | st.dictionaries(
            st.text(st.characters(exclude_categories=["Cs"])), inner
        )
    ),
    max_leaves=20,
)


@pytest.mark.anyio
@hypothesis.given(
    values=st.lists(
        st.tuples(st.just(True), _json_values)
        | st.tuples(
            st.just(False), st.sampled_from(list(_UNREADABLE.values()))
        ),
        max_size=6,
    ),
    indent=st.sampled_from((None, 1)),
    is_watch=st.booleans(),
)
async def test_odd_entries_change_what_is_read_of_others(
    values, indent, is_watch
):
    items, expected = [], {}
    for index, (is_readable, value) in enumerate(values):
        spec = value
        if is_readable:
            spec = json.dumps(value, indent=indent).encode()
            expected[f"r-{index}"] = {} if value is None else value
        items.append(builders.raw_object(f"r-{index}", index + 1, spec))
    if is_watch:
        found = await _store(_events(*items)).watch("servers", 1, 1)
    else:
        found = await _store(_page(*items)).list("servers")
    assert [item.name for item in found.objects] == [
        f"r-{index}" for index in range(len(values))
    ]
    for item in found.objects:
        assert item.value == expected.get(item.name, {})


_odd_values = _json_values | st.integers() | st.text()
_fields = st.fixed_dictionaries(
    {},
    optional={
        "service": st.just("s") | _odd_values,
        "address": st.sampled_from(("127.0.0.1:1", "[::1]:2")) | _odd_values,
        "zone": st.just("z") | _odd_values,
        "version": st.just("v") | _odd_values,
        "slots": st.just(8) | _odd_values,
        "state": st.sampled_from(("ready", "draining")) | _odd_values,
        "born": st.just(1) | _odd_values,
        "models": st.lists(
            st.fixed_dictionaries(
                {"name": st.just("m") | _odd_values},
                optional={"adapters": st.lists(st.just("a")) | _odd_values},
            )
        )
        | _odd_values,
    },
)


@hypothesis.given(
    name=st.text(),
    spec=_fields.map(
        lambda odd: {**orjson.loads(builders.raw_entry()), **odd}
    ),
)
@hypothesis.settings(max_examples=500)
def test_a_decoded_entry_holds_what_cant_be_sent_to_others(name, spec):
    try:
        entry = platform.decode_replica_entry(name, spec)
    except platform.FormatError as error:
        orjson.dumps(str(error)[:80], default=str)
        return
    residents = {
        model: sorted(held) for model, held in entry.residents.items()
    }
    fields = {**entry._asdict(), "residents": residents}
    orjson.dumps({**fields, "address": str(entry.address)})
    assert entry.name.isascii() and entry.name.isprintable()


@hypothesis.given(
    st.fixed_dictionaries(
        {"sequence": st.just(1) | _odd_values},
        optional={
            "born": _odd_values,
            "models": _odd_values,
            "busy": _odd_values,
            "available": _odd_values
            | st.fixed_dictionaries(
                {"in_memory": _odd_values, "on_disk": _odd_values}
            ),
            "pending": _odd_values | st.lists(_odd_values),
        },
    )
    | _odd_values
)
def test_an_odd_report_ends_the_controllers_work(message):
    try:
        report = _replica_entries.decode_replica_report(message)
    except platform.FormatError:
        return
    orjson.dumps([report.started_at, report.order_count])


@pytest.mark.anyio
async def test_a_deeply_nested_report_ends_the_controllers_work():
    client = builders.HttpClient(200, [], _nested(100_000))
    calls = platform.OrderClient(client, lambda *_: None)
    with pytest.raises(_http.BrokenError):
        await calls.fetch_report("r-1", _ADDRESS)


@pytest.mark.anyio
@pytest.mark.parametrize("levels", (300, 850, 900, 950))
@pytest.mark.parametrize(
    "field", ("born", "models", "busy", "sequence", "available", "pending")
)
async def test_a_nested_field_of_a_report_ends_the_controllers_work(
    field, levels
):
    report = {"sequence": b"1", "models": b"[]", field: _nested(levels)}
    members = [b'"%b":%b' % (k.encode(), v) for k, v in report.items()]
    client = builders.HttpClient(200, [], b"{%b}" % b",".join(members))
    calls = platform.OrderClient(client, lambda *_: None)
    try:
        found = await calls.fetch_report("r-1", _ADDRESS)
    except _http.BrokenError:
        return
    assert found.order_count == 1


class _WatchedCopy:
    """One instance's watcher and relay, and the names of usable entries."""

    def __init__(self):
        self.usable = set()
        self.watcher = _object_watcher.ObjectWatcher(
            None,
            "servers",
            _clock.ManualClock(),
            on_list=lambda objects: self.usable.update(_usable_names(objects)),
            on_change=lambda item: self.usable.update(_usable_names([item])),
            batch_delay_ms=0,
        )
        self.relay = _relay.Relay([self.watcher])


@pytest.mark.parametrize("levels", (245, 252, 253, 254, 300, 900))
def test_one_nested_entry_keeps_all_changes_from_other_instances(levels):
    sender, receiver = _WatchedCopy(), _WatchedCopy()
    odd = orjson.loads(builders.raw_entry(extra=_nested(levels)))
    good = orjson.loads(builders.raw_entry())
    objects = [
        _objects.Object("servers", "odd", 1, odd),
        _objects.Object("servers", "r-1", 2, good),
    ]
    sender.watcher._apply_list(_objects.Listing(2, objects))
    receiver.relay.apply_changes(
        sender.relay.encode_changes(receiver.relay.known_revisions())
    )
    assert receiver.usable >= {"r-1"}
    assert receiver.watcher.revision == 2


@pytest.mark.parametrize(
    "row", (5, [], ["odd", 1], ["odd", "x", {}], [None, 1, {}], [5, 1, {}])
)
def test_one_malformed_row_keeps_the_others_from_being_applied(row):
    receiver = _WatchedCopy()
    good = orjson.loads(builders.raw_entry())
    rows = [row, ["r-1", 2, good]]
    data = zlib.compress(orjson.dumps([2, True, rows]))
    text = base64.b64encode(data).decode()
    receiver.relay.apply_changes({"servers": text})
    assert receiver.usable == {"r-1"}
    assert receiver.watcher.revision == 2


def test_several_huge_entries_exceed_the_limit_of_a_message():
    sender, receiver = _WatchedCopy(), _WatchedCopy()
    good = orjson.loads(builders.raw_entry())
    source = random.Random(1)
    huge = [
        _objects.Object(
            "servers", f"odd-{n}", 1, source.randbytes(2**19).hex()
        )
        for n in range(8)
    ]
    good_one = _objects.Object("servers", "r-1", 2, good)
    sender.watcher._apply_list(_objects.Listing(2, [*huge, good_one]))
    message = sender.relay.encode_changes(receiver.relay.known_revisions())
    assert len(message["servers"]) < _http.MAX_BODY_BYTES / 2
    receiver.relay.apply_changes(message)
    assert receiver.usable == {"r-1"}


@pytest.mark.parametrize("field", ("epoch", "renewals"))
def test_a_lease_with_a_number_too_large_cant_be_taken(field):
    lease = _leases.Lease("i-1", "a", 1, 1000)._asdict()
    found = _objects.Object("leases", "l", 7, {**lease, field: 1e308})
    assert _leases.parse(found) is None


@hypothesis.given(_json_values)
def test_an_odd_record_ends_the_reading_of_records(value):
    found = _objects.Object("k", "1", 1, value)
    _leases.parse(found)
    _origin_archive._decode_slot(found)
    _version_history._decode(value)


def test_a_version_record_with_a_number_too_large_is_written_on():
    services = {"s": {"v1": 1e308}}
    record = {"since": None, "services": services}
    assert _version_history._decode(record) is None
    assert _version_history._decode({"since": 1e308, "services": {}}) is None


async def _serves_only(site, name, others):
    """Return whether all instances send requests to one replica alone."""
    before = await site.runs()
    for instance in site.instances:
        for _ in range(5):
            answer = await hosts.send_request(instance.port, "/safe/x")
            if answer.status != 200:
                return False
    after = await site.runs()
    return len(after[name]) == len(before[name]) + 5 * len(
        site.instances
    ) and all(after[other] == before[other] for other in others)


async def _replace_replica(site):
    """Register a new replica, and have the first one drain."""
    await site.add_replica()
    await site.register("r-1", "draining")

    async def replaced():
        return await _serves_only(site, "r-2", {"r-1"})

    with hosts.anyio.fail_after(10):
        await site.fleet.until(replaced, "the new replica alone is used")


_SYSTEM_TESTED = (
    "nested 900",
    "nested 3,000",
    "slots of 6,000 digits",
    "lone surrogate",
    "adapters of 5",
)


@pytest.mark.anyio
@pytest.mark.parametrize("kind", _SYSTEM_TESTED)
async def test_one_odd_entry_keeps_an_instance_from_being_ready(fleet, kind):
    site = hosts.Site(fleet)
    await site.start(instances=0)
    await site.put_raw("servers", "odd", _ODD[kind])
    with hosts.anyio.fail_after(15):
        instance = await site.add_instance()
    answer = await hosts.send_request(instance.port, "/safe/x")
    assert answer.status == 200
    assert instance.running


@pytest.mark.anyio
@pytest.mark.parametrize("kind", _SYSTEM_TESTED)
async def test_one_odd_entry_stops_an_instance_from_following_the_list(
    fleet, kind
):
    site = await hosts.Site(fleet).start(replicas=1)
    await site.put_raw("servers", "odd", _ODD[kind])
    await _replace_replica(site)
    assert all(instance.running for instance in site.instances)


@pytest.mark.anyio
@pytest.mark.parametrize("kind", ("nested 300", *_SYSTEM_TESTED))
async def test_one_odd_entry_stops_changes_relayed_to_other_instances(
    fleet, kind
):
    site = await hosts.Site(fleet).start(replicas=1, instances=2)

    async def is_relayed():
        calls = (await fleet.record(site.store))["calls"]
        return calls["watch"] - calls.get("watch answer", 0) <= 2

    await fleet.until(is_relayed, "only the controller watches")
    await site.put_raw("servers", "odd", _ODD[kind])
    await _replace_replica(site)
    for instance in site.instances:
        assert not hosts.find_log_lines(instance, "bad_relay")
        assert not hosts.find_log_lines(instance, "child_failed")
        assert not hosts.find_log_lines(instance, "bad_message")
    calls = (await fleet.record(site.store))["calls"]
    assert calls["list"] <= 2 * 2 * 2


@pytest.mark.anyio
async def test_a_replica_is_used_on_after_its_entry_became_odd(fleet):
    site = await hosts.Site(fleet).start(replicas=2, instances=2)
    await site.put_raw("servers", "r-1", _nested(3000))

    async def unused():
        return await _serves_only(site, "r-2", {"r-1"})

    with hosts.anyio.fail_after(10):
        await fleet.until(unused, "the replica isn't used")
    await site.put_raw(
        "servers", "r-1", json.dumps(site.entry("r-1")).encode()
    )
    await site.put_raw("servers", "r-2", b"null")

    async def used_again():
        return await _serves_only(site, "r-1", {"r-2"})

    with hosts.anyio.fail_after(10):
        await fleet.until(used_again, "the replica is used again")
