"""Attainment per accelerator and moves: the policy against two baselines.

    python -m benches.policy

Drives the decision code by seeded demand traces at both users' sizes, in one
run, and writes JSON. ``weight`` is the deployment's attainment_weight.
"""

from __future__ import annotations

import argparse
import json
import statistics
import typing

from google.protobuf import json_format

from benches import _demand
from benches import _fluid_site
from benches import _policies
from benches import _slopes
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _placement
from standins import fleet as fleets

DEPLOYMENTS = ("bekele/assistant", "mahzen/sommelier-llm")
WEIGHTS = (0.0, 0.25, 0.5, 0.75, 1.0)
DURATION_S = 2 * 3600
# Mean demand as a share of all slots.
LOADS = (0.5, 0.8)


class Row(typing.NamedTuple):
    """One policy on one deployment and load, over all seeds."""

    deployment: str
    load: float
    policy: str
    weight: float | None
    attainment: tuple[float, float, float]
    attained_per_accelerator: tuple[float, float, float]
    moves: tuple[float, float, float]
    unreachable_s: int
    overcommitted_mb: int


def _read(name: str) -> pb.Deployment:
    text = (fleets.ROOT / "examples" / f"{name}.json").read_text()
    return json_format.ParseDict(json.loads(text), pb.Deployment())


def _row(
    deployment: pb.Deployment,
    load: float,
    policy: tuple[str, _fluid_site.Policy],
    weight: float | None,
    traces: list[_demand.Trace],
) -> Row:
    if weight is not None:
        deployment.attainment_weight = weight
    outcomes = [
        _fluid_site.Site(deployment, policy[1]).run(trace.seconds)
        for trace in traces
    ]
    return Row(
        deployment.name,
        load,
        policy[0],
        weight,
        _range([found.attainment for found in outcomes]),
        _range([found.attained_per_accelerator for found in outcomes]),
        _range([float(found.moves) for found in outcomes]),
        max(found.unreachable_s for found in outcomes),
        max(found.overcommitted_mb for found in outcomes),
    )


def _range(values: list[float]) -> tuple[float, float, float]:
    """Return the lowest, the mean and the highest."""
    mean = statistics.fmean(values)
    return round(min(values), 4), round(mean, 4), round(max(values), 4)


def measure(seeds: list[int], duration_s: int) -> list[Row]:
    rows = []
    for name in DEPLOYMENTS:
        deployment = _read(name)
        models = [model.name for model in deployment.models]
        slots = sum(found.max_in_flight for found in deployment.replicas)
        for load in LOADS:
            traces = [
                _demand.trace(models, load * slots, duration_s, seed)
                for seed in seeds
            ]
            for label, policy in (
                ("static", _policies.static),
                ("greedy", _policies.greedy),
            ):
                rows.append(
                    _row(deployment, load, (label, policy), None, traces)
                )
            for weight in WEIGHTS:
                chosen = ("plan", _placement.plan)
                rows.append(_row(deployment, load, chosen, weight, traces))
            for row in rows[-2 - len(WEIGHTS) :]:
                print(*row, flush=True)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="docs/measurements/policy.json")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--duration-s", type=int, default=DURATION_S)
    options = parser.parse_args()
    first = options.first_seed
    seeds = list(range(first, first + options.seeds))
    rows = measure(seeds, options.duration_s)
    settings = {"seeds": seeds, "duration_s": options.duration_s}
    _slopes.write(
        options.out,
        {"settings": settings, "rows": [row._asdict() for row in rows]},
    )


if __name__ == "__main__":
    main()
