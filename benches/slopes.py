"""Measures how the cost of one instance grows with its work.

    python -m benches.slopes

Each role is measured at four sizes or more, against stand-ins in processes
of their own, and a line is fitted. ``benches.capacity`` reads the result.
Processor time is that of the instance's process alone.
"""

from __future__ import annotations

import time
import typing
from collections.abc import Awaitable, Callable

import anyio

from benches import _measure
from standins import fleet as fleets
from tests import builders

TOKEN_SIZES = (16, 64, 256, 1024)
REQUESTS_PER_SIZE = 40
STREAM_SIZES = (25, 50, 100, 200, 400)
REPLICA_SIZES = (2, 4, 8, 16)
CALL_SIZES = (50, 100, 200, 400)
WATCH_S = 8.0
REPORT_MS = 1000

Measured = list[_measure.Point]


class _Bench(typing.NamedTuple):
    fleet: fleets.Fleet
    instance: fleets.Process


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
        before = _measure.cpu_s(bench.instance.pid)
        for _ in range(REQUESTS_PER_SIZE):
            await _generate(bench, size)
        spent = _measure.cpu_s(bench.instance.pid) - before
        points.append(_measure.Point(size, spent / REQUESTS_PER_SIZE))
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
            resident = _measure.resident_mb(bench.instance.pid)
            points.append(_measure.Point(size, resident))
    return points


async def reports(fleet: fleets.Fleet) -> Measured:
    """Processor share against replicas asked for a report each second."""
    engines = [fleet.engine({"notes": "1"}) for _ in range(REPLICA_SIZES[-1])]
    instance = fleet.instance(report_ms=REPORT_MS, heartbeat_ms=1000)
    await fleet.ready()
    points, version = [], 0
    for size in REPLICA_SIZES:
        declared = builders.engines(engines[:size])
        version = await builders.declare(fleet, instance, declared, version)
        await builders.serving(fleet, instance, size)
        points.append(_measure.Point(size, await _idle_share(instance.pid)))
    return points


async def _idle_share(pid: int) -> float:
    """Return the share of a core that a process takes by itself."""
    before, began = _measure.cpu_s(pid), time.monotonic()
    await anyio.sleep(WATCH_S)
    spent = _measure.cpu_s(pid) - before
    return spent / (time.monotonic() - began)


async def calls(fleet: fleets.Fleet, idempotent: bool) -> Measured:
    """Processor seconds against calls to a plain service."""
    service = fleet.plain_service()
    instance = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.plain([service]))
    points = []
    for size in CALL_SIZES:
        before = _measure.cpu_s(instance.pid)
        for number in range(size):
            await _call(fleet, instance, idempotent, f"{size}-{number}")
        spent = _measure.cpu_s(instance.pid) - before
        points.append(_measure.Point(size, spent))
    return points


async def _call(
    fleet: fleets.Fleet,
    instance: fleets.Process,
    idempotent: bool,
    name: str,
) -> None:
    body: dict[str, object] = {"service": "booking", "path": "/reserve"}
    body |= {"method": "POST", "idempotent": idempotent}
    if not idempotent:
        issued_ms = time.time_ns() // 1_000_000
        body["idempotency_key"] = f"{issued_ms}-bench-{name}"
    answer = await fleet.call(instance, "Calls/Call", **body)
    if answer.status != 200:
        raise RuntimeError(f"not answered: {answer.body}")


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
        points.append(_measure.Point(size, length))
    return points


Measurement = Callable[[fleets.Fleet], Awaitable[Measured]]
MEASUREMENTS: dict[str, Measurement] = {
    "cpu_s_per_request_by_tokens": tokens,
    "resident_mb_by_open_streams": streams,
    "cpu_share_by_reports_per_s": reports,
    "cpu_s_by_idempotent_calls": lambda fleet: calls(fleet, True),
    "cpu_s_by_claimed_calls": lambda fleet: calls(fleet, False),
    "scrape_bytes_by_models_used": metrics,
}


async def measure(names: list[str]) -> dict:
    results = {}
    for name in names:
        async with fleets.start() as fleet:
            points = await MEASUREMENTS[name](fleet)
        line = _measure.fit(points)
        results[name] = {"points": points, "fit": line._asdict()}
        print(f"{name}: {line.slope:.3g} each + {line.intercept:.3g}")
    return results


def main() -> None:
    parser = _measure.parser(__doc__, "docs/measurements/slopes.json")
    parser.add_argument("--only", choices=MEASUREMENTS, action="append")
    options = parser.parse_args()
    results = anyio.run(measure, options.only or list(MEASUREMENTS))
    settings = {"report_ms": REPORT_MS, "requests": REQUESTS_PER_SIZE}
    _measure.write(options.output, settings, results)


if __name__ == "__main__":
    main()
