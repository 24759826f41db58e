"""An instance that shuts down cuts and refuses no request."""

import contextlib
import json
import socket

import anyio
import pytest

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
