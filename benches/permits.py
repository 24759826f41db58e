"""Measures permits for replicas that limit what they are sent.

    python -m benches.permits

Real datagrams on loopback, all instances in one process: one of them issues.
For each number of instances it prints the processor time of a permit (asked,
answered and used, on both sides together), how long the slowest answer took,
and how many permits were issued of what the limit allows.
"""

from __future__ import annotations

import random
import time
import typing

import anyio
import anyio.abc

from benches import stream_origins
from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.hosting import _datagrams
from geraniumlink.hosting import _permit_exchange
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _permits
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

INSTANCES = (9, 83, 400)
SECONDS = 5
LIMIT_PER_S = 50.0
# Requests a second of all instances together.
DEMAND_PER_S = 200


class _Leadership:
    """One instance issues for all others, and never ends."""

    def __init__(self, leader: str, is_leader: bool) -> None:
        self.leader = leader
        self.is_leader = is_leader
        self.epoch = int(is_leader)

    def may_order(self) -> bool:
        return self.is_leader


class _Instance(typing.NamedTuple):
    exchange: _permit_exchange.PermitExchange
    replica: _replicas.Replica


def _make_instance(
    address: str, addresses: list[str], datagrams: _datagrams.Datagrams
) -> _Instance:
    clock = _clock.Clock()
    directory = _instance_directory.InstanceDirectory(address, clock)
    directory.apply_list(addresses)
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all(
        [
            _types.ReplicaEntry(
                "r1",
                "assistant",
                _settings.Address("127.0.0.1", 1),
                "dc1",
                8,
                False,
                1,
                {},
            )
        ]
    )
    replica = replicas.all()[0]
    replica.note_rate_limit(LIMIT_PER_S, 0, clock.now())
    exchange = _permit_exchange.PermitExchange(
        replicas=replicas,
        leadership=_Leadership(addresses[0], address == addresses[0]),
        directory=directory,
        datagrams=datagrams,
        clock=clock,
        random_source=random.Random(address),
    )
    return _Instance(exchange, replica)


async def _measure(count: int) -> None:
    addresses = stream_origins.free_addresses(count)
    async with anyio.create_task_group() as group:
        instances = []
        for address in addresses:
            datagrams = _datagrams.Datagrams(address)
            await group.start(datagrams.run)
            instances.append(_make_instance(address, addresses, datagrams))
        await _ask(instances)
        group.cancel_scope.cancel()


async def _ask(instances: list[_Instance]) -> None:
    source = random.Random(1)
    granted, slowest_ms = 0, 0.0
    began, asked = time.process_time_ns(), SECONDS * DEMAND_PER_S
    for _ in range(asked):
        await anyio.sleep(1 / DEMAND_PER_S)
        instance = source.choice(instances)
        asked_at = time.monotonic()
        answer = await instance.exchange.acquire(instance.replica, 0)
        slowest_ms = max(slowest_ms, 1000 * (time.monotonic() - asked_at))
        granted += isinstance(answer, _permits.Granted)
    took_us = (time.process_time_ns() - began) / 1000 / asked
    print(
        f"{len(instances)} instances: {took_us:.0f} us a permit, slowest"
        f" {slowest_ms:.1f} ms, {granted} of {SECONDS * LIMIT_PER_S:.0f}"
    )


def main() -> None:
    for count in INSTANCES:
        anyio.run(_measure, count)


if __name__ == "__main__":
    main()
