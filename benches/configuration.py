"""What an instance spends on the configuration as models are added.

    python -m benches.configuration --out configuration.json

For each number of declared models: the resident memory of a fresh instance
beside one with an empty configuration, the bytes that one change brings to
it, and the processor time to take a change and a whole list in.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time

import anyio

from benches import _slopes
from geraniumlink import _objects
from geraniumlink.configuration import _configuration
from standins import fleet as fleets

MODELS_PER_DEPLOYMENT = 40
REPLICAS_PER_DEPLOYMENT = 9
# Mahzen's 95 adapters for 39 models.
ADAPTERS_PER_MODEL = 2.4
CHANGES = 12


def deployments(models: int, source: random.Random) -> list[dict]:
    """Return declarations of that many models in all."""
    made: list[dict] = []
    while models > 0:
        count = min(models, MODELS_PER_DEPLOYMENT)
        made.append(_deployment(len(made), count, source))
        models -= count
    return made


def _deployment(number: int, models: int, source: random.Random) -> dict:
    names = [f"model-{number}-{index}" for index in range(models)]
    adapters = [
        {
            "name": f"adapter-{index}",
            "model": source.choice(names),
            "version": "2026-11-03",
            "size_mb": 1,
        }
        for index in range(int(models * ADAPTERS_PER_MODEL))
    ]
    return {
        "name": f"service-{number}",
        "kind": "MODEL_ENGINE",
        "replicas": [
            {
                "name": f"replica-{index}",
                "address": f"127.0.0.1:{1 + index}",
                "data_centre": "izmir-a",
                "memory_mb": 80_000,
                "kv_cache_mb": 8000,
                "max_in_flight": 64,
                # So that nobody is asked for reports.
                "draining": index > 0,
            }
            for index in range(REPLICAS_PER_DEPLOYMENT)
        ],
        "models": [
            {"name": name, "version": "2026-11-03", "size_mb": 100}
            for name in names
        ],
        "adapters": adapters,
        "load_limits": {
            "loads_per_second": 2,
            "concurrent_loads": 9,
            "adapters_in_transit": 72,
        },
        "order_rules": {"engines_check_fencing": True},
    }


async def _apply(
    fleet: fleets.Fleet,
    instance: fleets.Process,
    deployment: dict,
    version: int,
    change_id: str,
) -> int:
    answer = await fleet.call(
        instance,
        "Operator/Apply",
        deployment=deployment,
        expected_version=version,
        change_id=change_id,
        author="bench",
    )
    if answer.status != 200:
        raise RuntimeError(f"the change was refused: {answer}")
    return int(answer.body["version"])


async def _received(fleet: fleets.Fleet, instance: fleets.Process) -> float:
    answer = await fleet.get(instance.peer_port, "/metrics")
    for line in answer.lines if answer else ():
        text = line.get("text", "")
        if text.startswith("geraniumlink_object_api_received_bytes_total"):
            return float(text.rpartition(" ")[2])
    return 0.0


async def _until_version(
    fleet: fleets.Fleet, instance: fleets.Process, version: int
) -> None:
    async def reached() -> bool:
        status = await fleet.call(instance, "Operator/Status")
        return int(status.body.get("version", 0)) >= version

    await fleet.until(reached, f"version {version} is in force")


async def _run(models: int, seed: int) -> dict[str, float]:
    async with fleets.start() as fleet:
        writer = fleet.instance("writer", report_ms=60_000)
        await fleet.ready()
        empty_kb = _slopes.usage(writer.pid).resident_kb
        declared = deployments(models, random.Random(seed))
        versions = [
            await _apply(fleet, writer, entry, 0, f"declare-{number:08d}")
            for number, entry in enumerate(declared)
        ]
        # A fresh instance lists everything at once.
        reader = fleet.instance("reader", report_ms=60_000)
        await fleet.ready()
        await _until_version(fleet, reader, versions[-1])
        resident_kb = _slopes.usage(reader.pid).resident_kb
        per_change, delays = await _change(fleet, declared, versions)
    return {
        "deployments": len(declared),
        "resident_kb_over_empty": resident_kb - empty_kb,
        "received_bytes_per_change": round(statistics.mean(per_change)),
        "in_force_p50_ms": round(statistics.median(delays), 1),
        "in_force_max_ms": round(max(delays), 1),
        **_in_process(declared),
    }


async def _change(
    fleet: fleets.Fleet, declared: list[dict], versions: list[int]
) -> tuple[list[float], list[float]]:
    """Change one model's version a few times."""
    writer, reader = fleet.instances
    per_change: list[float] = []
    sent: dict[int, float] = {}
    for number in range(CHANGES):
        which = number % len(declared)
        declared[which]["models"][0]["version"] = f"rolled-{number}"
        await anyio.sleep(0.5)
        before = await _received(fleet, reader)
        time_s = time.time()
        versions[which] = await _apply(
            fleet,
            writer,
            declared[which],
            versions[which],
            f"roll-{number:08}",
        )
        sent[versions[which]] = time_s
        await _until_version(fleet, reader, versions[which])
        # The counter is brought into the metrics at the next heartbeat.
        await anyio.sleep(0.5)
        per_change.append(await _received(fleet, reader) - before)
    return per_change, _delays(reader, sent)


def _delays(instance: fleets.Process, sent: dict[int, float]) -> list[float]:
    delays = []
    for line in instance.log.read_text(encoding="utf-8").splitlines():
        if "configuration_in_force" not in line:
            continue
        entry = json.loads(line)
        at = sent.get(entry["newest"])
        if at is not None:
            delays.append(1000 * (entry["timestamp"] - at))
    return delays


def _in_process(declared: list[dict]) -> dict[str, float]:
    """Return processor milliseconds to take a list and one change in."""
    objects = [
        _objects.Object(_configuration.KIND, entry["name"], number, value)
        for number, entry in enumerate(declared, start=1)
        for value in [
            {
                "deployment": entry,
                "models_since": {},
                "changes": [],
                "archives": 0,
            }
        ]
    ]
    whole, one = [], []
    for _ in range(5):
        configuration = _configuration.Configuration()
        began = time.process_time()
        configuration.apply_listing(
            _objects.Listing(len(objects), objects), True
        )
        whole.append(1000 * (time.process_time() - began))
        changed = objects[0]._replace(version=len(objects) + 1)
        began = time.process_time()
        configuration.apply_listing(
            _objects.Listing(changed.version, [changed])
        )
        one.append(1000 * (time.process_time() - began))
    return {
        "processor_ms_per_list": round(statistics.median(whole), 3),
        "processor_ms_per_change": round(statistics.median(one), 3),
    }


def main() -> None:
    """Run the bench as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--models", default="39,150,600,1300")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="-")
    options = parser.parse_args()
    sizes = [int(size) for size in options.models.split(",")]
    rows = [anyio.run(_run, size, options.seed) for size in sizes]
    result = {
        "settings": vars(options),
        "models": dict(zip(sizes, rows, strict=True)),
    }
    if len(sizes) > 2:
        result["fits"] = _slopes.fits([float(size) for size in sizes], rows)
    _slopes.write(options.out, result)


if __name__ == "__main__":
    main()
