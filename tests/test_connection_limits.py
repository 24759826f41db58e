"""Limits over all connections: who is refused, and who never is."""

import contextlib
import dataclasses
import json

import anyio
import pytest

from geraniumlink import _connection_limits
from geraniumlink import platform
from tests import hosts

pytestmark = pytest.mark.anyio

_Stage = _connection_limits.Stage


@dataclasses.dataclass(eq=False)
class _Connection:
    stage: _connection_limits.Stage = _Stage.UNUSED
    incomplete_bytes: int = 0
    is_closed: bool = False
    is_refused: bool = False
    table: _connection_limits.ConnectionTable | None = None

    def refuse_incomplete(self):
        self.incomplete_bytes = 0
        self.is_refused = True
        if self.table is not None:
            self.table.hold(self, 0)

    def close_for_room(self):
        self.is_closed = True


def _table(max_connections=3, max_received_bytes=100, exempt_bytes=0):
    counts = []
    limits = _connection_limits.ConnectionLimits(
        max_connections, max_received_bytes
    )
    table = _connection_limits.ConnectionTable(
        limits, counts.append, exempt_bytes
    )
    return table, counts


@pytest.mark.parametrize(
    ("stages", "closed"),
    (
        ((_Stage.SERVING, _Stage.UNUSED, _Stage.UNUSED), 1),
        ((_Stage.IDLE, _Stage.IDLE, _Stage.UNUSED), 2),
        ((_Stage.SERVING, _Stage.STALLED, _Stage.SERVING), 1),
        ((_Stage.SERVING, _Stage.SERVING, _Stage.SERVING), 3),
        ((_Stage.STALLED, _Stage.SERVING, _Stage.IDLE), 2),
    ),
)
def test_a_request_is_dropped_for_a_new_connection(stages, closed):
    """The new connection, the last one, has sent nothing yet."""
    table, counts = _table()
    connections = [*(_Connection(stage) for stage in stages), _Connection()]
    for connection in connections:
        table.add(connection)
        if connection.stage > _Stage.UNUSED:
            table.note_use(connection)
    assert [c.is_closed for c in connections] == [
        number == closed for number in range(4)
    ]
    assert table.connections == 3
    assert counts == [_connection_limits.Cause.CONNECTIONS]


def test_a_connection_in_use_is_closed_before_one_that_isnt():
    """The load balancer's connection is old, and used all the time."""
    table, _ = _table()
    connections = [_Connection(_Stage.IDLE) for _ in range(3)]
    for connection in connections:
        table.add(connection)
        table.note_use(connection)
    table.note_use(connections[0])
    table.add(_Connection())
    assert [c.is_closed for c in connections] == [False, True, False]


def test_a_request_without_a_body_is_refused_for_its_head():
    table, _ = _table(exempt_bytes=20)
    probe, large, whole = [_Connection(table=table) for _ in range(3)]
    for connection, held_bytes in ((whole, 90), (large, 21), (probe, 20)):
        table.add(connection)
        connection.incomplete_bytes = 0 if connection is whole else held_bytes
        table.hold(connection, held_bytes)
    assert large.is_refused
    assert not probe.is_refused


@pytest.mark.parametrize(
    ("limits", "clients", "internal"),
    (
        ((4583, 20 * 2**20), (3983, 13 * 2**20), (600, 7 * 2**20)),
        ((708, 20 * 2**20), (531, 13 * 2**20), (177, 7 * 2**20)),
        ((512, 8 * 2**20), (384, 5 * 2**20), (128, 3 * 2**20)),
    ),
)
def test_other_listeners_have_a_reserve(limits, clients, internal):
    """A flood at the client port closed connections of instances."""
    process = _connection_limits.ConnectionLimits(*limits)
    split = _connection_limits.split_limits(process, 2**18, 2**22)
    assert split == (clients, internal)


def test_a_small_request_is_refused_for_a_large_one():
    table, _ = _table()
    small, large, whole = [_Connection(table=table) for _ in range(3)]
    for connection, held_bytes in ((small, 10), (large, 50), (whole, 60)):
        table.add(connection)
        connection.incomplete_bytes = 0 if connection is whole else held_bytes
        table.hold(connection, held_bytes)
    assert large.is_refused
    assert not small.is_refused
    assert not whole.is_refused


def test_all_requests_are_refused_while_whole_ones_hold_most():
    """Refusing every incomplete one wouldn't reach the low-water mark."""
    table, _ = _table()
    whole, small, large = [_Connection(table=table) for _ in range(3)]
    for connection, held_bytes in ((whole, 92), (small, 3), (large, 6)):
        table.add(connection)
        connection.incomplete_bytes = 0 if connection is whole else held_bytes
        table.hold(connection, held_bytes)
    assert large.is_refused
    assert not small.is_refused


def test_a_search_is_made_while_none_can_be_refused():
    """A search looks at each connection, and would find nothing."""
    table, _ = _table()
    reads = []

    class _Whole(_Connection):
        @property
        def incomplete_bytes(self):
            reads.append(self)
            return 0

        @incomplete_bytes.setter
        def incomplete_bytes(self, _value):
            pass

    connections = [_Whole() for _ in range(3)]
    for connection in connections:
        table.add(connection)
    table.hold(connections[0], 101)
    reads.clear()
    table.hold(connections[1], 1)
    # Only what the connection itself holds is read.
    assert reads == [connections[1]]


def test_what_a_closed_connection_held_is_not_released():
    table, _ = _table()
    connection = _Connection()
    table.add(connection)
    table.hold(connection, 101)
    assert not table.has_room()
    table.remove(connection)
    table.hold(connection, 50)
    assert (table.received_bytes, table.connections) == (0, 0)


def test_limits_follow_the_machine():
    small = _connection_limits.derive_limits(1638, 160)
    assert small == (708, 20 * 2**20)
    assert _connection_limits.derive_limits(1638, 64) == (512, 8 * 2**20)
    stated = _connection_limits.state_limits(10, 16)
    assert stated == (10, 16 * 2**20)
    unstated = _connection_limits.state_limits(0, 16)
    assert unstated.max_connections > 10


@pytest.mark.parametrize("limits", ({"max_fds": 127}, {"memory_mb": -1}))
def test_too_low_a_limit_is_no_error_at_the_start(tmp_path, limits):
    store = hosts.fleets.Process("store", [], 1, tmp_path / "log")
    settings = {**hosts.node_settings(store, "i-1"), "limits": limits}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    with pytest.raises(platform.FormatError, match=next(iter(limits))):
        platform.read_settings(path)


def _head(target: str, size: int, field: str) -> bytes:
    """Return a head of a size, padded with a field that is repeated."""
    start = hosts.request_bytes(target, Connection="keep-alive")[:-2]
    count, rest = divmod(size - len(start) - 2, len(field))
    padding = field * count
    assert rest < len(field)
    return start + padding.encode() + b"\r\n"


async def test_a_crowd_of_clients_closes_connections_to_other_listeners(
    fleet,
):
    """Idle connections of instances and the load balancer stay open."""
    site = hosts.Site(fleet)
    site.limits = {"max_fds": 300}
    await site.start(replicas=1, instances=0)
    await site.configure(hosts.configuration(2))
    instance = await site.add_instance()
    async with contextlib.AsyncExitStack() as stack:
        used = []
        for port in (site.ready_port(), site.peer_port()):
            stream = await anyio.connect_tcp("127.0.0.1", port)
            used.append(await stack.enter_async_context(stream))
            await stream.send(_probe())
            assert b"HTTP/1.1 " in await _receive(stream, 1)
        for _ in range(300):
            stream = await anyio.connect_tcp("127.0.0.1", instance.port)
            await stack.enter_async_context(stream)
            await stream.send(_probe())
            assert b"HTTP/1.1 " in await _receive(stream, 1)
        for stream in used:
            await stream.send(_probe())
            assert b"HTTP/1.1 " in await _receive(stream, 1)


def _probe() -> bytes:
    return hosts.request_bytes("/v1/ready", Connection="keep-alive")


async def _receive(connection: anyio.abc.SocketStream, count: int) -> bytes:
    received = b""
    with anyio.fail_after(10):
        while received.count(b"HTTP/1.1 ") < count:
            received += await connection.receive()
    return received


async def _add_small_instance(site):
    configuration = hosts.configuration(2)
    configuration["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    await site.configure(configuration)
    site.limits = {"memory_mb": 160, "max_fds": 1638}
    return await site.add_instance()


async def test_the_largest_relayed_request_is_refused(fleet):
    """The reserve for instances must hold one."""
    site = await hosts.Site(fleet).start(replicas=1, instances=0)
    await _add_small_instance(site)
    relayed = hosts.request_bytes(
        "/safe/x", b"x" * 4_194_304, Geraniumlink_Relayed_Attempts="0"
    )
    assert (await hosts.send(site.peer_port(), relayed)).status == 200


async def test_a_refusal_of_a_relayed_request_looks_like_a_response(fleet):
    """The relaying instance would return a 503, and try no other one."""
    site = await hosts.Site(fleet).start(replicas=1, instances=0)
    instance = await _add_small_instance(site)
    relayed = hosts.request_bytes(
        "/safe/x", b"x" * 4_194_304, Geraniumlink_Relayed_Attempts="0"
    )
    answers = []
    for port, count in ((site.peer_port(), 3), (instance.port, 5)):
        async with contextlib.AsyncExitStack() as stack:
            streams = []
            for _ in range(count):
                stream = await anyio.connect_tcp("127.0.0.1", port)
                streams.append(await stack.enter_async_context(stream))
                await stream.send(relayed[:-500_000])
            with anyio.fail_after(10):
                # The first one is the oldest of those that are equal.
                answers.append(await streams[0].receive())
    assert answers[0].startswith(b"HTTP/1.1 421 ")
    assert answers[1].startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize(
    "field", ("a:bcdefghijkl\r\n", f"a: {'b' * 1000}\r\n")
)
async def test_a_client_within_the_limits_is_refused(fleet, field):
    """Four requests at once, each with the largest head; a large body."""
    site = await hosts.Site(fleet).start(replicas=1, instances=0)
    instance = await _add_small_instance(site)
    async with await anyio.connect_tcp(
        "127.0.0.1", instance.port
    ) as connection:
        await connection.send(4 * _head("/safe/x", 14_000, field))
        received = await _receive(connection, 4)
    assert received.count(b"HTTP/1.1 200 ") == 4
    body = hosts.request_bytes("/safe/x", b"x" * 4_194_304)
    assert (await hosts.send(instance.port, body)).status == 200
    assert not hosts.find_log_lines(instance, "clients_refused")


@pytest.mark.parametrize(
    ("data", "status"),
    (
        (b"GET /" + 20_000 * b"a", 414),
        (b"GET / HTTP/1.1\r\nx: " + 20_000 * b"a", 431),
        (b"GET / HTTP/1.1\r\n" + 20_000 * b"a", 431),
        (b"GET / HTTP/1.1\r\n" + 4000 * b"a:\r\n", 431),
        (1000 * b"\r\n", 400),
        (
            b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"
            + 20_000 * b"a",
            400,
        ),
    ),
    ids=("target", "value", "name", "fields", "empty lines", "extension"),
)
async def test_a_part_without_an_end_has_another_status(fleet, data, status):
    site = await hosts.Site(fleet).start(replicas=1)
    instance = site.instances[0]
    answer = await hosts.send(instance.port, data)
    assert answer.status == status
    (line,) = hosts.find_log_lines(instance, "clients_refused")
    assert sum(line["counts"].values()) == 1
    assert line["connections"] >= 1
    assert (await hosts.send_request(instance.port, "/safe/x")).status == 200


async def test_headers_of_a_relaying_instance_count_as_the_clients(fleet):
    """A head at the limit got 431 from the instance that it was relayed to."""
    site = await hosts.Site(fleet).start(replicas=1)
    limit = hosts.configuration()["limits"]["max_header_bytes"]
    own = {"Geraniumlink_Relayed_Attempts": "0", "X_Padding": "a" * limit}
    relayed = hosts.request_bytes("/safe/x", **own)
    answer = await hosts.send(site.peer_port(), relayed)
    assert answer.status == 200
    own["X_Padding"] = "a" * (limit + 4096)
    relayed = hosts.request_bytes("/safe/x", **own)
    assert (await hosts.send(site.peer_port(), relayed)).status == 431
    answer = await hosts.send_request(
        site.instances[0].port, "/safe/x", X_Padding="a" * limit
    )
    assert answer.status == 431
