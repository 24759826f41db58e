"""An instance that shuts down cuts and refuses no request."""

import contextlib
import json
import socket

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _server
from geraniumlink import _settings
from standins import fleet as fleets
from tests import balancer
from tests import builders
from tests import streaming

pytestmark = pytest.mark.anyio

# Longer than the load balancer's check interval and lag together.
_DRAIN_LAG_MS = 1200


async def _start(fleet, instances=3):
    served = [fleet.engine({"notes": "1"}) for _ in range(3)]
    started = [
        fleet.instance(drain_lag_ms=_DRAIN_LAG_MS) for _ in range(instances)
    ]
    await fleet.ready()
    await builders.declare(fleet, started[0], builders.engines(served))
    for instance in started:
        await builders.serving(fleet, instance, 3)
    return served, started


async def _restart(fleet, instance, signals) -> None:
    for _ in range(signals):
        instance.terminate()
    assert await anyio.to_thread.run_sync(instance.wait) == 0
    instance.start()
    await fleet.answers(instance.peer_port, "/ready")


async def _listener_is_closed(fleet, instance) -> None:
    def closed() -> bool:
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", instance.port)) != 0

    await fleet.until(closed, "the listener is closed")


@pytest.mark.parametrize(
    ("signals", "outage"),
    ((1, False), (2, True)),
    ids=("once", "twice_in_an_api_outage"),
)
async def test_every_instance_in_turn_under_load(fleet, signals, outage):
    _, instances = await _start(fleet)
    if outage:
        await fleet.faults(fleet.object_api, outage=True)
    async with balancer.Balancer(fleet, instances).load(8) as load:
        for instance in instances:
            await load.progress(30)
            async with streaming.open_stream(
                fleet, instance, "a long report", count=400
            ) as stream:
                await stream.read(3)
                async with anyio.create_task_group() as group:
                    group.start_soon(_restart, fleet, instance, signals)
                    lines = await stream.finish()
            streaming.assert_whole(lines, "a long report", 400)
        await load.progress(30)
    assert load.faults == []


@contextlib.asynccontextmanager
async def _connection(instance):
    """Open a connection of a caller that never opens another one."""
    connection = await anyio.connect_tcp("127.0.0.1", instance.port)
    async with connection:
        yield connection


async def _send(connection, method, prompt, count) -> None:
    fields = {"model": "notes", "prompt": prompt, "max_tokens": count}
    body = json.dumps(fields).encode()
    head = (
        f"POST /geraniumlink.v1.Inference/{method} HTTP/1.1\r\n"
        f"Host: instance\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    await connection.send(head.encode() + body)


async def _receive(connection, marks) -> bytes:
    """Read until one of the marks has arrived, or the connection ends."""
    data = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while not any(mark in data for mark in marks):
            data += await connection.receive()
    return data


async def test_a_kept_connection_is_answered_with_close(fleet):
    """A caller keeps using one connection beyond the end of the drain."""
    _, (instance,) = await _start(fleet, instances=1)
    async with _connection(instance) as connection:
        await _send(connection, "GenerateStream", "Boots?", 600)
        await _receive(connection, [b"token_count"])
        instance.terminate()
        await _listener_is_closed(fleet, instance)
        # This response began before the drain, so its head could not have
        # "connection: close".
        answer = await _receive(connection, [b"\r\n0\r\n\r\n"])
        assert b'"end"' in answer
        await _send(connection, "Generate", "And poles?", 10)
        answer = await _receive(connection, [b'"token_count": 10'])
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer.lower()
        assert await _receive(connection, [b"never"]) == b""
    assert await anyio.to_thread.run_sync(instance.wait) == 0


async def test_a_connection_not_yet_used_is_still_answered(fleet):
    _, (instance,) = await _start(fleet, instances=1)
    async with _connection(instance) as connection:
        instance.terminate()
        await _listener_is_closed(fleet, instance)
        await _send(connection, "Generate", "Boots?", 10)
        answer = await _receive(connection, [b'"token_count": 10'])
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer.lower()
    assert await anyio.to_thread.run_sync(instance.wait) == 0


async def _answer(_scope, _receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


class _ConnectingClock(_clock.Clock):
    """Has a client connect as the first sleep ends."""

    def __init__(self, address) -> None:
        self._address = address
        self.client = None

    async def sleep(self, milliseconds) -> None:
        await super().sleep(milliseconds)
        if self.client is None:
            self.client = socket.create_connection(self._address)
            self.client.send(b"GET / HTTP/1.1\r\nHost: instance\r\n\r\n")


async def test_a_connection_is_reset_in_the_queue_of_a_listener_that_closes():
    address = _settings.Address("127.0.0.1", fleets.free_port())
    clock = _ConnectingClock(address)
    listener = _server.Listener(_answer, [address], clock)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.run)
        # The listener accepts connections.
        while True:
            with contextlib.suppress(OSError):
                await (await anyio.connect_tcp(*address)).aclose()
                break
            await anyio.sleep(0.01)
        listener.stop()
        await listener.stopped()
    with clock.client:
        assert clock.client.recv(4096).startswith(b"HTTP/1.1 200")


async def _send_call(instance, key):
    """Send a call that may not be repeated; return what is received."""
    body = json.dumps(builders.booking(key)).encode()
    head = (
        "POST /geraniumlink.v1.Calls/Call HTTP/1.1\r\nHost: instance\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with _connection(instance) as connection:
            await connection.send(head.encode() + body)
            return await _receive(connection, [b"status", b"code"])
    except OSError:
        return b""


async def _change_configuration(fleet, instance, service):
    version = 0
    while True:
        declared = builders.plain([service] * (1 + version % 2), "other")
        answer = await builders.apply(fleet, instance, declared, version)
        version = int(answer.body.get("version", version))
        await anyio.sleep(0.4)


async def test_calls_are_cut_late_in_the_shutdown(fleet):
    """They run for longer than the drain lasts."""
    service = fleet.plain_service()
    instance = fleet.instance(drain_lag_ms=_DRAIN_LAG_MS)
    other = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.plain([service]))
    await fleet.faults(service, delay_ms=3 * _DRAIN_LAG_MS)
    answers = {}

    async def call(key):
        answers[key] = await _send_call(instance, key)

    async with anyio.create_task_group() as changes:
        changes.start_soon(_change_configuration, fleet, other, service)
        async with anyio.create_task_group() as group:
            group.start_soon(call, builders.key())
            await anyio.sleep(0.1)
            instance.terminate()
            for _ in range(40):
                group.start_soon(call, builders.key())
                await anyio.sleep(_DRAIN_LAG_MS / 20_000)
        assert await anyio.to_thread.run_sync(instance.wait) == 0
        changes.cancel_scope.cancel()
    runs = {run["run"] for run in (await fleet.record(service))["runs"]}
    answered = {key for key, answer in answers.items() if answer}
    assert runs == answered
    assert len(runs) > 1
    assert all(answers[key].startswith(b"HTTP/1.1 200") for key in runs)
