"""Counts the object API's calls that idle control work makes.

    python -m benches.control_calls [SECONDS]

Starts instances and declares deployments of one engine each whose model is
resident, waits until all are held, and counts the API's calls for a while
at several numbers of instances and shards. Prints one JSON line a size.
"""

from __future__ import annotations

import json
import sys
import typing

import anyio

from standins import fleet as fleets

LEASE_MS = 2000
# Instances and shards.
SIZES = ((3, 1), (3, 4), (6, 4), (9, 4))


async def _measure(
    instance_count: int, shard_count: int, seconds: float
) -> dict[str, typing.Any]:
    async with fleets.start() as fleet:
        engines = [
            fleet.engine({f"m{index}": "1"}) for index in range(shard_count)
        ]
        for _ in range(instance_count):
            fleet.instance(lease_ms=LEASE_MS)
        await fleet.ready()
        for instance in fleet.instances:
            await fleet.list_instance(instance, "live")
        for index, engine in enumerate(engines):
            await _declare(fleet, index, engine.address)
        await fleet.until(
            lambda: _all_claimed(fleet, shard_count), "all shards are held"
        )
        # Candidates settle on the few once membership is known.
        await anyio.sleep(5)
        before = await fleet.record(fleet.object_api)
        await anyio.sleep(seconds)
        after = await fleet.record(fleet.object_api)
    rates = {
        operation: (count - before["calls"].get(operation, 0)) / seconds
        for operation, count in after["calls"].items()
    }
    return {
        "instances": instance_count,
        "shards": shard_count,
        "lease_ms": LEASE_MS,
        "calls_per_second": rates,
    }


async def _declare(fleet: fleets.Fleet, index: int, address: str) -> None:
    deployment = {
        "name": f"d{index}",
        "kind": "MODEL_ENGINE",
        "replicas": [
            {
                "name": "r0",
                "address": address,
                "data_centre": "debark",
                "memory_mb": 1000,
                "max_in_flight": 8,
            }
        ],
        "models": [{"name": f"m{index}", "version": "1", "size_mb": 100}],
        "load_limits": {"loads_per_second": 1, "concurrent_loads": 1},
    }
    answer = await fleet.call(
        fleet.instances[0],
        "Operator/Apply",
        deployment=deployment,
        change_id=f"bench-change-{index}",
        author="bench",
    )
    if answer.status != 200:
        raise RuntimeError(str(answer.body))


async def _all_claimed(fleet: fleets.Fleet, shard_count: int) -> bool:
    record = await fleet.record(fleet.object_api)
    claimed = {
        entry["name"]
        for entry in record["history"]
        if entry["kind"] == "replicas" and entry["value"]["entries"]
    }
    return len(claimed) == shard_count


async def _main(seconds: float) -> None:
    for instance_count, shard_count in SIZES:
        result = await _measure(instance_count, shard_count, seconds)
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    anyio.run(_main, float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
