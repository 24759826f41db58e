"""How long an accepted change takes to be in force everywhere, in faults.

    python -m benches.in_force --out in_force.json

Eight instances as processes. In each scenario a few changes are accepted;
for each instance the time is read from its log, counted from the moment at
which the operator sent the change, or from the end of the instance's fault.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
import typing


import anyio

from benches import _slopes
from standins import fleet as fleets

INSTANCES = 8
SETTLE_S = 6.0


class Bench(typing.NamedTuple):
    """What a scenario works on; the last instance reaches the API by link."""

    fleet: fleets.Fleet
    link: fleets.Process


class Change(typing.NamedTuple):
    """An accepted change and when it was sent."""

    version: int
    sent_s: float


class Trial(typing.NamedTuple):
    """A change, and the instances whose time counts from later on."""

    change: Change
    later: dict[str, float]


async def _apply(bench: Bench, version: int, number: int) -> Change:
    replica = {
        "name": "r0",
        "address": f"127.0.0.1:{number + 1}",
        "data_centre": "debark",
        "max_in_flight": 8,
        "draining": True,
    }
    sent_s = time.time()
    answer = await bench.fleet.call(
        bench.fleet.instances[number % (INSTANCES - 1)],
        "Operator/Apply",
        deployment={
            "name": "booking",
            "kind": "PLAIN_SERVICE",
            "replicas": [replica],
        },
        expected_version=version,
        change_id=f"bench-change-{number}",
        author="bench",
    )
    if answer.status != 200:
        raise RuntimeError(f"the change was refused: {answer}")
    return Change(int(answer.body["version"]), sent_s)


async def _calm(bench: Bench, version: int, number: int) -> Trial:
    return Trial(await _apply(bench, version, number), {})


async def _slow_api(bench: Bench, version: int, number: int) -> Trial:
    api = bench.fleet.object_api
    await bench.fleet.faults(api, slow_ms=500)
    change = await _apply(bench, version, number)
    await anyio.sleep(SETTLE_S / 2)
    await bench.fleet.faults(api, slow_ms=0)
    return Trial(change, {})


async def _outage_after_acceptance(
    bench: Bench, version: int, number: int
) -> Trial:
    api = bench.fleet.object_api
    await bench.fleet.faults(api, outage_after_writes=1)
    change = await _apply(bench, version, number)
    await anyio.sleep(SETTLE_S)
    await bench.fleet.faults(api, outage=False)
    return Trial(change, {})


async def _stalled_link(bench: Bench, version: int, number: int) -> Trial:
    await bench.fleet.faults(bench.link, stall=True)
    change = await _apply(bench, version, number)
    await anyio.sleep(SETTLE_S)
    await bench.fleet.faults(bench.link, stall=False)
    return Trial(change, {})


async def _frozen(bench: Bench, version: int, number: int) -> Trial:
    instance = bench.fleet.instances[-2 - number % 3]
    applied_by = bench.fleet.instances[number % (INSTANCES - 1)]
    if instance is applied_by:
        instance = bench.fleet.instances[0]
    instance.freeze()
    change = await _apply(bench, version, number)
    await anyio.sleep(2)
    thawed_s = time.time()
    instance.thaw()
    return Trial(change, {instance.name: thawed_s})


_SCENARIOS = {
    "calm": _calm,
    "api_slow_500_ms": _slow_api,
    "outage_right_after_acceptance": _outage_after_acceptance,
    "one_link_to_the_api_stalled": _stalled_link,
    "one_instance_frozen_2_s": _frozen,
}


def _delays_ms(fleet: fleets.Fleet, trials: list[Trial]) -> list[float]:
    delays = []
    for instance in fleet.instances:
        seen: list[tuple[int, float]] = []
        for line in instance.log.read_text(encoding="utf-8").splitlines():
            if "configuration_in_force" in line:
                entry = json.loads(line)
                seen.append((entry["newest"], entry["timestamp"]))
        for trial in trials:
            at = min(
                when for newest, when in seen if newest >= trial.change.version
            )
            began = trial.later.get(instance.name, trial.change.sent_s)
            delays.append(1000 * (at - began))
    return delays


async def _measure(changes: int) -> dict[str, dict]:
    result: dict[str, dict] = {}
    async with fleets.start() as fleet:
        link, address = fleet.link(fleet.object_api.address)
        for _ in range(INSTANCES - 1):
            fleet.instance(heartbeat_ms=1000)
        fleet.instance(heartbeat_ms=1000, object_api=address)
        await fleet.ready()
        await anyio.sleep(2 * SETTLE_S)
        bench = Bench(fleet, link)
        version, number = 0, 0
        for name, scenario in _SCENARIOS.items():
            trials = []
            for _ in range(changes):
                trial = await scenario(bench, version, number)
                await anyio.sleep(SETTLE_S / 2)
                version, number = trial.change.version, number + 1
                trials.append(trial)
            result[name] = _summary(_delays_ms(fleet, trials))
    return result


def _summary(delays: list[float]) -> dict[str, float]:
    return {
        "count": len(delays),
        "p50_ms": round(statistics.median(delays), 1),
        "p95_ms": round(_slopes.percentile(delays, 0.95), 1),
        "max_ms": round(max(delays), 1),
    }


def main() -> None:
    """Run the bench as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=6)
    parser.add_argument("--out", default="-")
    options = parser.parse_args()
    scenarios = anyio.run(_measure, options.changes)
    _slopes.write(
        options.out, {"settings": vars(options), "scenarios": scenarios}
    )


if __name__ == "__main__":
    main()
