"""Replicas in trouble that send bytes without end."""

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.serving import _connections
from standins import replica as replicas
from tests import hosts

pytestmark = pytest.mark.anyio

_CONNECTIONS = 50
# Parts of an answer after which the client can't be given a whole one.
_BROKEN = (
    "head",
    "header",
    "interim",
    "foreign",
    "chunk_size",
    "chunk_extension",
    "trailer",
    "failure",
)


async def _site(fleet, part):
    site = await hosts.Site(fleet).start()
    for name in site.replicas:
        await site.faults(name, endless=part)
    return site, site.instances[0].port


@pytest.mark.parametrize("target", ("/once/x", "/safe/x", "/stream/x"))
@pytest.mark.parametrize("part", _BROKEN)
async def test_an_answer_without_an_end_is_a_502_before_the_deadline(
    fleet, part, target
):
    _, port = await _site(fleet, part)
    with anyio.fail_after(3):
        assert (await hosts.send_request(port, target)).status == 502


async def test_bytes_without_an_end_after_an_answer_reach_no_client(fleet):
    _, port = await _site(fleet, "after")
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 200
    assert answer.body == b"a"


async def test_a_refusal_without_an_end_is_still_a_refusal(fleet):
    _, port = await _site(fleet, "refusal")
    with anyio.fail_after(3):
        assert (await hosts.send_request(port, "/once/x")).status == 503


async def test_an_event_without_an_end_breaks_the_stream_off(fleet):
    _, port = await _site(fleet, "body")
    with anyio.fail_after(3):
        assert (await hosts.send_request(port, "/stream/x")).status == 502


async def test_a_request_goes_on_at_another_replica(fleet):
    site, port = await _site(fleet, "head")
    await site.faults("r-2", endless="")

    async def is_run_by_broken():
        assert (await hosts.send_request(port, "/safe/x")).status == 200
        return (await site.runs())["r-1"]

    await fleet.until(is_run_by_broken, "r-1 runs a request")


@pytest.mark.parametrize("part", (*_BROKEN, "body", "after", "refusal"))
@pytest.mark.serial
async def test_endless_answers_leave_the_memory_flat(fleet, part):
    site, port = await _site(fleet, part)
    calm = hosts.route("calm", "safe", service="calm")
    spec = hosts.configuration(2, calm)
    spec["services"].append({**spec["services"][0], "name": "calm"})
    await site.configure(spec)
    name = await site.add_replica()
    await site.put("servers", name, {**site.entry(name), "service": "calm"})

    async def is_served():
        return (await hosts.send_request(port, "/calm/x")).status == 200

    await fleet.until(is_served, "calm requests are served")
    idle_kb = site.instances[0].peak_kb()
    async with anyio.create_task_group() as group:
        for number in range(_CONNECTIONS):
            target = "/once/x" if number % 2 else "/stream-once/x"
            group.start_soon(_abandon, port, target)
        for _ in range(10):
            assert await is_served()
            await anyio.sleep(0.05)
    assert site.instances[0].peak_kb() <= 1.1 * idle_kb


async def _abandon(port, target):
    """Send a request, and leave without reading the answer."""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream:
        await stream.send(hosts.request_bytes(target))
        await anyio.sleep(1)


class _Transport:
    """Notes whether reading is paused."""

    paused = False

    def set_write_buffer_limits(self, high):
        pass

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def is_closing(self):
        return False


def _connection():
    connection = _connections.Connection(_settings.Address("127.0.0.1", 1))
    transport = _Transport()
    connection.connection_made(transport)
    return connection, transport


async def _read_all(connection):
    """Return what can be read: heads, bodies and how it ended."""
    found = []
    try:
        while True:
            found.append((await connection.read_head()).status)
            body = b""
            while (chunk := await connection.read_chunk()) is not None:
                body += chunk
            found.append(body)
            connection.finish_response()
    except _http.BrokenError as error:
        found.append(str(error))
    return found


_RESPONSES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2;x=1\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\nabc",
    b"HTTP/1.1 204 -\r\n\r\n",
    b"no answer\r\n\r\n",
)


@hypothesis.given(
    st.lists(st.sampled_from(_RESPONSES), min_size=1, max_size=4),
    st.lists(st.integers(1, 40), max_size=20),
)
async def test_answers_are_read_alike_however_they_are_split(parts, sizes):
    data = b"".join(parts)
    whole, _ = _connection()
    whole.feed(data)
    whole.eof_received()
    split, _ = _connection()
    while data:
        size = sizes.pop() if sizes else len(data)
        split.feed(data[:size])
        data = data[size:]
    split.eof_received()
    assert await _read_all(whole) == await _read_all(split)


_BOUND_BYTES = _connections.MAX_FRAMING_BYTES + _connections.MAX_UNREAD_BYTES


@hypothesis.given(
    st.lists(st.sampled_from(_RESPONSES), max_size=3),
    st.one_of(
        st.sampled_from([part for _, part in replicas.ENDLESS.values()]),
        st.binary(min_size=1, max_size=30),
    ),
    st.integers(1, _connections.READ_BYTES),
)
async def test_bytes_without_an_end_are_not_read_without_an_end(
    parts, filler, size
):
    connection, transport = _connection()
    connection.feed(b"".join(parts))
    block = (filler * size)[:size]
    received = 0
    while not transport.paused and received <= 10 * _BOUND_BYTES:
        connection.feed(block)
        received += len(block)
    assert transport.paused
    assert received <= _BOUND_BYTES + len(block)
