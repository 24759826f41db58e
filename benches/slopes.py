"""Measures how the cost of one instance grows with its work.

    python -m benches.slopes

Each role is measured at four sizes or more, against stand-ins in processes
of their own, and a line is fitted. ``benches.capacity`` reads the result.
Processor time is that of the instance's process alone.
"""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable
import time
import typing

import anyio

from benches import _slopes
from standins import fleet as fleets
from tests import builders

TOKEN_SIZES = (16, 64, 256, 1024)
REQUESTS_PER_SIZE = 40
STREAM_SIZES = (25, 50, 100, 200, 400)
REPLICA_SIZES = (2, 4, 8, 16)
WATCH_S = 10.0
SETTLE_S = 6.0
REPORT_MS = 1000
# "GET /report HTTP/1.1" with its two headers, and a status line.
QUESTION_BYTES = 95

Measured = list[_slopes.Point]


class _Bench(typing.NamedTuple):
    fleet: fleets.Fleet
    instance: fleets.Process


def _cpu_s(pid: int) -> float:
    return _slopes.usage(pid).processor_ms / 1000


async def _one_engine(fleet: fleets.Fleet) -> _Bench:
    engine = fleet.engine({"notes": "1"}, "--max-in-flight", "2000")
    instance = fleet.instance(report_ms=REPORT_MS, heartbeat_ms=1000)
    await fleet.ready()
    declared = builders.engines([engine])
    declared["replicas"][0]["max_in_flight"] = 2000
    await builders.declare(fleet, instance, declared)
    await builders.serving(fleet, instance, 1)
    await fleet.faults(engine, token_ms=0)
    return _Bench(fleet, instance)


async def _generate(bench: _Bench, tokens: int) -> None:
    answer = await bench.fleet.call(
        bench.instance,
        "Inference/GenerateStream",
        model="notes",
        prompt="p",
        max_tokens=tokens,
        timeout_ms=600_000,
    )
    if "end" not in answer.body:
        raise RuntimeError(f"not whole: {answer.body}")


async def tokens(fleet: fleets.Fleet) -> Measured:
    """Processor seconds of a request against its tokens."""
    bench = await _one_engine(fleet)
    await _generate(bench, 64)
    points = []
    for size in TOKEN_SIZES:
        before = _cpu_s(bench.instance.pid)
        for _ in range(REQUESTS_PER_SIZE):
            await _generate(bench, size)
        spent = _cpu_s(bench.instance.pid) - before
        points.append(_slopes.Point(size, spent / REQUESTS_PER_SIZE))
    return points


async def streams(fleet: fleets.Fleet) -> Measured:
    """Resident MiB against streams that are open at once."""
    bench = await _one_engine(fleet)
    engine = next(p for p in fleet.processes if "engine" in p.name)
    await fleet.faults(engine, token_ms=100)
    points = []
    for size in STREAM_SIZES:
        async with anyio.create_task_group() as group:
            for _ in range(size):
                group.start_soon(_generate, bench, 60)
            await anyio.sleep(4)
            resident = _slopes.usage(bench.instance.pid).resident_kb / 1024
            points.append(_slopes.Point(size, resident))
    return points


async def reports(fleet: fleets.Fleet) -> Measured:
    """Core share against servers asked for a report each second.

    Plain services have no shard, so this is the cost of reports alone.
    """
    servers = [fleet.plain_service() for _ in range(REPLICA_SIZES[-1])]
    return await _shares(fleet, servers, builders.plain)


async def held_replicas(fleet: fleets.Fleet) -> Measured:
    """Core share against engines, whose shard this instance holds."""
    servers = [fleet.engine({"notes": "1"}) for _ in range(REPLICA_SIZES[-1])]
    return await _shares(fleet, servers, builders.engines)


async def _shares(
    fleet: fleets.Fleet,
    servers: list[fleets.Process],
    declaration: Callable[[list[fleets.Process]], dict],
) -> Measured:
    instance = fleet.instance(report_ms=REPORT_MS, heartbeat_ms=1000)
    await fleet.ready()
    points, version = [], 0
    for size in REPLICA_SIZES:
        declared = declaration(servers[:size])
        version = await builders.declare(fleet, instance, declared, version)
        # What a change sets off has come to rest.
        await anyio.sleep(SETTLE_S)
        points.append(_slopes.Point(size, await _idle_share(instance.pid)))
    return points


async def _idle_share(pid: int) -> float:
    """Return the share of a core that a process takes by itself."""
    before, began = _cpu_s(pid), time.monotonic()
    await anyio.sleep(WATCH_S)
    spent = _cpu_s(pid) - before
    return spent / (time.monotonic() - began)


async def metrics(fleet: fleets.Fleet) -> Measured:
    """Bytes of a scrape against models that were asked for."""
    models = [f"m{number}" for number in range(32)]
    engine = fleet.engine(dict.fromkeys(models, "1"))
    instance = fleet.instance()
    await fleet.ready()
    declared = builders.engines([engine], models, size_mb=10)
    await builders.declare(fleet, instance, declared)
    await builders.serving(fleet, instance, 1)
    points, asked = [], 0
    for size in (4, 8, 16, 32):
        for model in models[asked:size]:
            await fleet.call(instance, "Inference/Generate", model=model)
        asked = size
        scrape = await fleet.get(instance.peer_port, "/metrics")
        length = int(scrape.headers["content-length"]) if scrape else 0
        points.append(_slopes.Point(size, length))
    return points


async def report_bytes(fleet: fleets.Fleet) -> Measured:
    """Bytes of a report with its question, against resident models."""
    points = []
    for size in (1, 4, 16, 64):
        models = {f"model-{number:04}": "1" for number in range(size)}
        engine = fleet.engine(models)
        await fleet.answers(engine.port, "/report")
        answer = await fleet.get(engine.port, "/report")
        if answer is None:
            raise RuntimeError("the engine gives no report")
        head = sum(len(k) + len(v) + 4 for k, v in answer.headers.items())
        body = int(answer.headers["content-length"])
        points.append(_slopes.Point(size, QUESTION_BYTES + head + body))
    return points


Measurement = Callable[[fleets.Fleet], Awaitable[Measured]]
MEASUREMENTS: dict[str, Measurement] = {
    "cpu_s_per_request_by_tokens": tokens,
    "resident_mb_by_open_streams": streams,
    "cpu_share_by_reports_per_s": reports,
    "cpu_share_by_held_replicas": held_replicas,
    "scrape_bytes_by_models_used": metrics,
    "report_bytes_by_resident_models": report_bytes,
}


async def measure(names: list[str]) -> dict:
    results = {}
    for name in names:
        async with fleets.start() as fleet:
            points = await MEASUREMENTS[name](fleet)
        line = _slopes.fit(
            [point.size for point in points],
            [point.value for point in points],
        )
        results[name] = {"points": points, "fit": line._asdict()}
        print(f"{name}: {line.slope:.3g} each + {line.intercept:.3g}")
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="docs/measurements/slopes.json")
    parser.add_argument("--only", choices=MEASUREMENTS, action="append")
    options = parser.parse_args()
    results = anyio.run(measure, options.only or list(MEASUREMENTS))
    settings = {"report_ms": REPORT_MS, "requests": REQUESTS_PER_SIZE}
    _slopes.write(options.out, {"settings": settings, "results": results})


if __name__ == "__main__":
    main()
