"""Measures what it costs that instances know how streams began.

    python -m benches.stream_origins

Runs the exchanges of a fleet's instances in one process, on loopback. Prints
the processor time of a stream's record, with its copies sent and received,
and of a query for a stream that the asking instance doesn't know; and
for how many streams an origin is found after a share of the instances has
ended at the same moment.
"""

from __future__ import annotations

import random
import socket
import time
import typing

import anyio
import anyio.abc

from geraniumlink import _clock
from geraniumlink.hosting import _datagrams
from geraniumlink.hosting import _origin_exchange
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _stream_origins

INSTANCES = (8, 83, 400)
STREAMS = 1000
# Share of the instances that end at once, before streams are resumed.
ENDED_SHARES = (0.1, 0.6)

_ORIGIN = _stream_origins.Origin("assistant", "v1.1")


class _Instance(typing.NamedTuple):
    exchange: _origin_exchange.OriginExchange
    scope: anyio.CancelScope


def free_addresses(count: int) -> list[str]:
    sockets = [
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)
    ]
    for opened in sockets:
        opened.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for opened in sockets:
        opened.close()
    return addresses


async def _run(
    datagrams: _datagrams.Datagrams,
    task_status: anyio.abc.TaskStatus[anyio.CancelScope],
) -> None:
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as group:
            await group.start(datagrams.run)
            task_status.started(scope)


async def _measure(count: int, ended_share: float) -> None:
    clock, addresses = _clock.Clock(), free_addresses(count)
    instances = []
    async with anyio.create_task_group() as group:
        for address in addresses:
            directory = _instance_directory.InstanceDirectory(address, clock)
            directory.apply_list(addresses)
            datagrams = _datagrams.Datagrams(address)
            exchange = _origin_exchange.OriginExchange(
                _stream_origins.OriginTable(clock), directory, datagrams
            )
            scope = await group.start(_run, datagrams)
            instances.append(_Instance(exchange, scope))
        await _measure_fleet(instances, ended_share)
        group.cancel_scope.cancel()


async def _measure_fleet(
    instances: list[_Instance], ended_share: float
) -> None:
    ids = [f"{number:016x}".encode() for number in range(STREAMS)]
    ended = instances[: round(ended_share * len(instances))]
    survivors = instances[len(ended) :]
    began = time.process_time_ns()
    for number, request_id in enumerate(ids):
        # Only the streams of those that end have to be found elsewhere.
        ended[number % len(ended)].exchange.record(request_id, _ORIGIN)
        await anyio.sleep(0.001)
    recorded_ns = time.process_time_ns() - began
    for instance in ended:
        instance.scope.cancel()
    await anyio.sleep(0.05)
    found, slowest_ms = 0, 0.0
    began = time.process_time_ns()
    for request_id in ids:
        asked_at = time.monotonic()
        exchange = random.choice(survivors).exchange
        found += await exchange.find(request_id) is not None
        slowest_ms = max(slowest_ms, 1000 * (time.monotonic() - asked_at))
    asked_ns = time.process_time_ns() - began
    print(
        f"{len(instances)} instances, {len(ended)} ended: record"
        f" {recorded_ns / STREAMS / 1000:.0f} us, query"
        f" {asked_ns / STREAMS / 1000:.0f} us, found {found} of {STREAMS},"
        f" slowest {slowest_ms:.0f} ms"
    )


def main() -> None:
    for count in INSTANCES:
        for share in ENDED_SHARES:
            anyio.run(_measure, count, share)


if __name__ == "__main__":
    main()
