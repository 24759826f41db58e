"""What an instance spends on membership as instances are added.

    python -m benches.membership --out membership.json

Instances run as processes without backend servers. After all know each
other, a quiet stretch is measured, then a change a second is accepted, and
for each the time from the operator's sending it until it is in force at every
instance is read from the instances' logs. A second part runs the table code
alone with up to 400 members in this process.
"""

from __future__ import annotations

import argparse
import collections
import json
import statistics
import time
import typing

import anyio

from benches import _membership_tables
from benches import _slopes
from standins import fleet as fleets

CHANGES = 10
_COUNTERS = (
    "geraniumlink_peer_sent_bytes_total",
    "geraniumlink_peer_received_bytes_total",
    "geraniumlink_object_api_calls_total",
    "geraniumlink_object_api_received_bytes_total",
)


class Sample(typing.NamedTuple):
    """The counters of one instance at a time."""

    time_s: float
    processor_ms: float
    resident_kb: int
    counters: dict[str, float]


async def _sample(fleet: fleets.Fleet, instance: fleets.Process) -> Sample:
    answer = await fleet.get(instance.peer_port, "/metrics")
    counters = dict.fromkeys(_COUNTERS, 0.0)
    for line in answer.lines if answer else ():
        name, _, value = line.get("text", "").replace("{}", "").partition(" ")
        if name in counters:
            counters[name] = float(value)
    used = _slopes.usage(instance.pid)
    return Sample(
        time.monotonic(), used.processor_ms, used.resident_kb, counters
    )


async def _samples(fleet: fleets.Fleet) -> list[Sample]:
    return [await _sample(fleet, instance) for instance in fleet.instances]


def _rates(
    before: list[Sample], after: list[Sample], prefix: str
) -> dict[str, float]:
    """Return each rate per instance and second, as a mean of all."""
    rates: dict[str, list[float]] = collections.defaultdict(list)
    for first, last in zip(before, after, strict=True):
        elapsed_s = last.time_s - first.time_s
        used_ms = last.processor_ms - first.processor_ms
        rates["processor_ms_per_s"].append(used_ms / elapsed_s)
        for name in _COUNTERS:
            grown = last.counters[name] - first.counters[name]
            short = name.removeprefix("geraniumlink_").removesuffix("_total")
            rates[f"{short}_per_s"].append(grown / elapsed_s)
        rates["resident_kb"].append(last.resident_kb)
    return {
        f"{prefix}_{name}": round(statistics.mean(values), 3)
        for name, values in rates.items()
    }


async def _until_known(fleet: fleets.Fleet) -> float:
    """Wait until every instance sees all as live; return the seconds."""
    began = time.monotonic()
    waiting = list(fleet.instances)

    async def known() -> bool:
        status = await fleet.call(waiting[0], "Operator/Status")
        members = status.body.get("instances", ())
        live = sum(1 for entry in members if entry["state"] == "live")
        if live >= len(fleet.instances):
            waiting.pop(0)
        return not waiting

    await fleet.until(known, "all instances know each other")
    return round(time.monotonic() - began, 2)


async def _change(
    fleet: fleets.Fleet, instance: fleets.Process, version: int, number: int
) -> tuple[int, float]:
    """Apply a change; return its version and when it was sent."""
    replica = {
        "name": "r0",
        "address": f"127.0.0.1:{number + 1}",
        "data_centre": "debark",
        "max_in_flight": 8,
        "draining": True,
    }
    sent = time.time()
    answer = await fleet.call(
        instance,
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
    return int(answer.body["version"]), sent


def _in_force_ms(fleet: fleets.Fleet, sent: dict[int, float]) -> list[float]:
    """Return the delay of each change at each instance, from the logs."""
    delays = []
    for instance in fleet.instances:
        seen: dict[int, float] = {}
        for line in instance.log.read_text(encoding="utf-8").splitlines():
            if "configuration_in_force" in line:
                entry = json.loads(line)
                seen[entry["newest"]] = entry["timestamp"]
        for version, time_s in sent.items():
            at = min(
                (when for newest, when in seen.items() if newest >= version),
                default=None,
            )
            if at is None:
                raise RuntimeError(f"{version} never came to {instance.name}")
            delays.append(1000 * (at - time_s))
    return delays


async def _measure(size: int, seconds: float, heartbeat_ms: int) -> dict:
    async with fleets.start() as fleet:
        for _ in range(size):
            fleet.instance(heartbeat_ms=heartbeat_ms)
        await fleet.ready()
        known_s = await _until_known(fleet)
        row: dict[str, float] = {"all_known_s": known_s}
        # Until what was said at the start has been passed on.
        await anyio.sleep(10 * heartbeat_ms / 1000)
        before = await _samples(fleet)
        await anyio.sleep(seconds)
        quiet = await _samples(fleet)
        row |= _rates(before, quiet, "quiet")
        sent: dict[int, float] = {}
        version = 0
        for number in range(CHANGES):
            instance = fleet.instances[number % size]
            version, time_s = await _change(fleet, instance, version, number)
            sent[version] = time_s
            await anyio.sleep(1)
        row |= _rates(quiet, await _samples(fleet), "changing")
        delays = _in_force_ms(fleet, sent)
    row["in_force_p50_ms"] = round(statistics.median(delays), 1)
    row["in_force_max_ms"] = round(max(delays), 1)
    return row


def main() -> None:
    """Run the bench as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="4,8,16,32,64")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--heartbeat-ms", type=int, default=1000)
    parser.add_argument("--members", default="50,100,200,400")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="-")
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(",") if size]
    rows = [
        anyio.run(_measure, size, options.seconds, options.heartbeat_ms)
        for size in sizes
    ]
    counts = [int(count) for count in options.members.split(",") if count]
    tables = [
        _membership_tables.measure(count, options.seed) for count in counts
    ]
    result: dict[str, typing.Any] = {
        "settings": vars(options),
        "processes": dict(zip(sizes, rows, strict=True)),
        "tables": dict(zip(counts, tables, strict=True)),
    }
    if len(sizes) > 2:
        result["process_fits"] = _slopes.fits([float(s) for s in sizes], rows)
    if len(counts) > 2:
        result["table_fits"] = _slopes.fits([float(c) for c in counts], tables)
    _slopes.write(options.out, result)


if __name__ == "__main__":
    main()
