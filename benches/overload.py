"""Measures attainment and goodput below and beyond capacity.

Usage: python -m benches.overload [--instances N] [--json FILE] [--html FILE]

The same open-loop load goes through the same number of instances with each
router in turn. A request is met when its answer is whole, its first token
came within 610 ms and the rest at 48 ms a token or faster. Goodput is the
rate of requests met.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import sys
import tempfile
import typing

import anyio

from benches import _baselines
from benches import _fleet
from benches import _load
from benches import _report
from standins import engine_capacity
from standins import fleet as fleets

FIRST_TOKEN_MS = 610
BETWEEN_TOKENS_MS = 48
SPEED = engine_capacity.Speed(
    slots=16, prefill_ms=50, base_ms=20, per_request_ms=1.0
)
MIN_TOKENS = 10
MAX_TOKENS = 40
MEAN_TOKENS = (MIN_TOKENS + MAX_TOKENS) // 2
TIMEOUT_MS = 20_000
GENERATORS = 3
# Past this lateness of the generators the machine is the limit.
MAX_LATENESS_P99_MS = 50


class Point(typing.NamedTuple):
    """The result of one router at one load."""

    router: str
    load: float
    offered_per_s: float
    requests: int
    met_share: float
    goodput_per_s: float
    # Share of the requests by outcome.
    outcomes: dict[str, float]
    # Of whole answers.
    first_token_p50_ms: float
    first_token_p95_ms: float
    between_tokens_p95_ms: float
    refusal_p95_ms: float
    lateness_p99_ms: float
    instance_cpu_share: float
    engine_cpu_share: float
    machine_load_average: float


class Options(typing.NamedTuple):
    """The settings of a run."""

    instances: int
    engines: int
    seconds: float
    warm_up_seconds: float
    loads: list[float]
    routers: list[str]
    report_ms: int
    report_lag_ms: int
    # All of the engines' times, the limits and the reports are this many
    # times as long, so that a crowded machine is not what is measured.
    time_scale: float
    seed: int

    @property
    def speed(self) -> engine_capacity.Speed:
        return SPEED._replace(
            prefill_ms=SPEED.prefill_ms * self.time_scale,
            base_ms=SPEED.base_ms * self.time_scale,
            per_request_ms=SPEED.per_request_ms * self.time_scale,
        )


def met(sample: _load.Sample, time_scale: float) -> bool:
    return (
        sample.outcome == "ok"
        and sample.first_token_ms <= FIRST_TOKEN_MS * time_scale
        and sample.between_tokens_ms <= BETWEEN_TOKENS_MS * time_scale
    )


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that the share does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def generate(
    addresses: list[str], rate: float, options: Options, models: list[str]
) -> list[_load.Sample]:
    """Run the generators to the end and return all samples."""
    samples: list[_load.Sample] = []

    async def one(index: int) -> None:
        plan = _load.Plan(
            addresses,
            models,
            rate / GENERATORS,
            options.seconds,
            options.warm_up_seconds,
            MIN_TOKENS,
            MAX_TOKENS,
            TIMEOUT_MS,
            options.seed * 1000 + index,
        )
        done = await anyio.run_process(
            [
                sys.executable,
                "-m",
                "benches._load",
                json.dumps(plan._asdict()),
            ],
            stderr=None,
        )
        rows = json.loads(done.stdout)["samples"]
        samples.extend(_load.Sample(*row) for row in rows)

    async with anyio.create_task_group() as group:
        for index in range(GENERATORS):
            group.start_soon(one, index)
    return samples


def summarise(
    router: str,
    load: float,
    rate: float,
    options: Options,
    samples: list[_load.Sample],
    cpu_shares: tuple[float, float],
) -> Point:
    count = max(1, len(samples))
    counted_seconds = options.seconds - options.warm_up_seconds
    whole = [sample for sample in samples if sample.outcome == "ok"]
    refused = [sample for sample in samples if sample.outcome != "ok"]
    met_count = sum(met(sample, options.time_scale) for sample in samples)
    outcomes: dict[str, float] = {}
    for sample in samples:
        share = outcomes.get(sample.outcome, 0.0) + 1 / count
        outcomes[sample.outcome] = share
    first = [sample.first_token_ms for sample in whole]
    between = [sample.between_tokens_ms for sample in whole]
    return Point(
        router,
        load,
        round(rate, 2),
        len(samples),
        round(met_count / count, 4),
        round(met_count / counted_seconds, 2),
        {name: round(share, 4) for name, share in sorted(outcomes.items())},
        percentile(first, 0.5),
        percentile(first, 0.95),
        percentile(between, 0.95),
        percentile([sample.total_ms for sample in refused], 0.95),
        percentile([sample.lateness_ms for sample in samples], 0.99),
        round(cpu_shares[0], 3),
        round(cpu_shares[1], 3),
        round(os.getloadavg()[0], 1),
    )


async def measure_router(router: str, options: Options) -> list[Point]:
    """Measure every load with one router, on a fresh fleet."""
    site = _fleet.Site(
        options.instances,
        options.engines,
        options.speed,
        SPEED.slots,
        [f"model-{number}" for number in range(4)],
        int(options.report_ms * options.time_scale),
        int(options.report_lag_ms * options.time_scale),
    )
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = _fleet.BenchFleet(
            pathlib.Path(folder), router, options.time_scale
        )
        try:
            engines = await _fleet.start_site(fleet, site)
            for load in options.loads:
                point = await _measure(
                    fleet, engines, site, router, load, options
                )
                print(_line(point), file=sys.stderr, flush=True)
                points.append(point)
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
    return points


async def _measure(
    fleet: fleets.Fleet,
    engines: list[fleets.Process],
    site: _fleet.Site,
    router: str,
    load: float,
    options: Options,
) -> Point:
    rate = load * capacity(options)
    groups = (fleet.instances, engines)
    before = [_cpu(group) for group in groups]
    addresses = [process.address for process in fleet.instances]
    samples = await generate(addresses, rate, options, site.models)
    used = [
        (_cpu(group) - earlier) / options.seconds / len(group)
        for group, earlier in zip(groups, before, strict=True)
    ]
    return summarise(router, load, rate, options, samples, (used[0], used[1]))


def _cpu(processes: list[fleets.Process]) -> float:
    return sum(_fleet.cpu_seconds(process) for process in processes)


def capacity(options: Options) -> float:
    """Return the requests a second that the engines can complete."""
    each = engine_capacity.requests_per_second(options.speed, MEAN_TOKENS)
    return options.engines * each


def _line(point: Point) -> str:
    return (
        f"{point.router:15} {point.load:4} of capacity:"
        f" {100 * point.met_share:5.1f} % met,"
        f" goodput {point.goodput_per_s:6.1f}/s,"
        f" first token p95 {point.first_token_p95_ms:6.0f} ms,"
        f" between p95 {point.between_tokens_p95_ms:5.1f} ms,"
        f" late p99 {point.lateness_p99_ms:5.1f} ms {point.outcomes}"
    )


async def run(options: Options) -> dict:
    """Measure all routers and return the result as JSON data."""
    points: list[Point] = []
    for router in options.routers:
        points += await measure_router(router, options)
    limited = any(
        point.lateness_p99_ms > MAX_LATENESS_P99_MS * options.time_scale
        for point in points
    )
    return {
        "bench": "overload",
        "options": options._asdict(),
        "engine": options.speed._asdict(),
        "tokens_per_request": [MIN_TOKENS, MAX_TOKENS],
        "capacity_per_s": round(capacity(options), 2),
        "limits_ms": [
            FIRST_TOKEN_MS * options.time_scale,
            BETWEEN_TOKENS_MS * options.time_scale,
        ],
        "versions": _fleet.versions(),
        "machine_was_the_limit": limited,
        "points": [point._asdict() for point in points],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=16)
    parser.add_argument("--warm-up-seconds", type=float, default=4)
    parser.add_argument(
        "--loads", type=float, nargs="+", default=[0.5, 0.9, 1.0, 1.5, 3.0]
    )
    parser.add_argument(
        "--routers", nargs="+", default=list(_baselines.ROUTERS)
    )
    parser.add_argument("--report-ms", type=int, default=500)
    parser.add_argument("--report-lag-ms", type=int, default=500)
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--html", type=pathlib.Path)
    arguments = vars(parser.parse_args())
    json_path, html_path = arguments.pop("json"), arguments.pop("html")
    result = anyio.run(run, Options(**arguments))
    text = json.dumps(result, indent=1) + "\n"
    if json_path is None:
        print(text, end="")
    else:
        json_path.write_text(text)
    if html_path is not None:
        html_path.write_text(_report.overload_page(result))


if __name__ == "__main__":
    main()
