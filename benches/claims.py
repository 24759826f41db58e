"""Measures what claims cost, and what an outage of the object API refuses.

    python -m benches.claims

Costs are of one instance with calls one after another. In the outages, calls
of three sorts go through instances drawn at random: idempotent ones, new
non-idempotent ones, and non-idempotent ones that are sent again after they
were answered.
"""

from __future__ import annotations

import argparse
import collections
from collections.abc import Awaitable, Callable
import random
import statistics
import time
import typing

import anyio

from benches import _slopes
from standins import fleet as fleets
from tests import builders

CALL = "/geraniumlink.v1.Calls/Call"
SIZES = (50, 100, 200, 400)
INSTANCES = 4
# Calls of each sort in each outage.
CALLS = 100
AT_ONCE = 10


class Sent(typing.NamedTuple):
    """One call's outcome and how long the caller waited for it."""

    outcome: str
    duration_ms: float


async def _site(fleet: fleets.Fleet, instances: int) -> None:
    services = [fleet.plain_service() for _ in range(2)]
    for _ in range(instances):
        fleet.instance(heartbeat_ms=1000, report_ms=1000)
    await fleet.ready()
    first = fleet.instances[0]
    await builders.declare(fleet, first, builders.plain(services))

    async def acquainted() -> bool:
        for process in fleet.instances:
            status = await fleet.call(process, "Operator/Status")
            if len(status.body["instances"]) < instances:
                return False
        return True

    await fleet.until(acquainted, "instances know each other")


async def _call(
    fleet: fleets.Fleet, instance: fleets.Process, key: str, repeatable: bool
) -> Sent:
    started = time.monotonic()
    request = builders.booking(key, idempotent=repeatable)
    answer = await fleet.post(instance, CALL, request)
    outcome = answer.body.get("execution", "answered")
    return Sent(outcome, 1000 * (time.monotonic() - started))


async def _writes(fleet: fleets.Fleet) -> int:
    record = await fleet.record(fleet.object_api)
    return record["calls"].get("write", 0)


async def _cost(fleet: fleets.Fleet, repeatable: bool) -> dict:
    instance = fleet.instances[0]
    points = []
    writes = []
    waits = []
    for size in SIZES:
        before = _slopes.usage(instance.pid)
        writes_before = await _writes(fleet)
        for _ in range(size):
            key = builders.key()
            sent = await _call(fleet, instance, key, repeatable)
            waits.append(sent.duration_ms)
        after = _slopes.usage(instance.pid)
        spent_ms = after.processor_ms - before.processor_ms
        points.append(_slopes.Point(size, spent_ms))
        writes.append((await _writes(fleet) - writes_before) / size)
    return {
        "cpu_ms": _slopes.fit(
            [point.size for point in points],
            [point.value for point in points],
        )._asdict(),
        "points": points,
        "writes_per_call": writes,
        "median_ms": statistics.median(waits),
    }


async def _stall(fleet: fleets.Fleet) -> None:
    fleet.object_api.freeze()


async def _refuse(fleet: fleets.Fleet) -> None:
    await fleet.faults(fleet.object_api, outage=True)


async def _stay(_: fleets.Fleet) -> None:
    return


OUTAGES: dict[str, Callable[[fleets.Fleet], Awaitable[None]]] = {
    "none": _stay,
    "answers 503": _refuse,
    "stalls": _stall,
}


async def _outage(
    fleet: fleets.Fleet, source: random.Random, begin: str
) -> dict:
    known = [builders.key() for _ in range(CALLS)]
    await _send(fleet, source, known, repeatable=False)
    await OUTAGES[begin](fleet)
    fresh = [builders.key() for _ in range(CALLS)]
    repeatable = [builders.key() for _ in range(CALLS)]
    return {
        "idempotent": await _send(fleet, source, repeatable, repeatable=True),
        "new": await _send(fleet, source, fresh, repeatable=False),
        "sent again": await _send(fleet, source, known, repeatable=False),
    }


async def _send(
    fleet: fleets.Fleet,
    source: random.Random,
    keys: list[str],
    *,
    repeatable: bool,
) -> dict:
    sent: list[Sent] = []
    limiter = anyio.CapacityLimiter(AT_ONCE)

    async def one(key: str) -> None:
        async with limiter:
            instance = source.choice(fleet.instances)
            sent.append(await _call(fleet, instance, key, repeatable))

    async with anyio.create_task_group() as group:
        for key in keys:
            group.start_soon(one, key)
    waits = sorted(one.duration_ms for one in sent)
    return {
        "outcomes": collections.Counter(one.outcome for one in sent),
        "median_ms": statistics.median(waits),
        "longest_ms": waits[-1],
    }


async def _run(seed: int) -> dict:
    results: dict = {"cost": {}, "outages": {}}
    async with fleets.start() as fleet:
        await _site(fleet, 1)
        for sort, repeatable in (("idempotent", True), ("claimed", False)):
            results["cost"][sort] = await _cost(fleet, repeatable)
    for begin in OUTAGES:
        async with fleets.start() as fleet:
            await _site(fleet, INSTANCES)
            results["outages"][begin] = await _outage(
                fleet, random.Random(seed), begin
            )
    return results


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="docs/measurements/claims.json")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    settings = {
        "sizes": SIZES,
        "instances": INSTANCES,
        "calls": CALLS,
        "seed": options.seed,
    }
    results = anyio.run(_run, options.seed)
    _slopes.write(options.out, {"settings": settings, "results": results})
