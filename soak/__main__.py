"""Runs instances under faults: ``python -m soak run --seed 1 --seconds 40``.

Exits with 1 if a promise was broken; see docs/soak.md.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from concurrent import futures
import json
import pathlib
import random
import subprocess
import sys
import tempfile

import anyio

from soak import _checks
from soak import _faults
from soak import _schedule
from soak import _site
from standins import fleet as fleets

_INSTANCES = (3, 4, 5)
_REPLICAS = (2, 3)


def main() -> int:
    """Run the chosen command; return its exit status."""
    options = _read_arguments()
    run: Callable[[argparse.Namespace], int] = options.run
    return run(options)


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m soak", description=__doc__
    )
    commands = parser.add_subparsers(required=True)
    one = commands.add_parser("run", help="one run")
    one.add_argument("--seed", type=int, required=True)
    one.set_defaults(run=_run_one)
    many = commands.add_parser("many", help="a run for each seed")
    many.add_argument("--seeds", required=True, metavar="A-B")
    many.add_argument("--jobs", type=int, default=1, help="default: 1")
    many.set_defaults(run=_run_many)
    for command in (one, many):
        command.add_argument(
            "--seconds", type=float, default=40.0, help="default: 40"
        )
        command.add_argument(
            "--instances",
            type=int,
            help="default: 3 to 5, drawn from the seed",
        )
        command.add_argument(
            "--no-restore",
            action="store_true",
            help="the store never comes back from an older copy",
        )
        command.add_argument(
            "--out",
            type=pathlib.Path,
            help="folder for logs, schedule and record; default: not kept",
        )
    return parser.parse_args()


def _run_one(options: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory() as temporary:
        out = options.out or pathlib.Path(temporary)
        out.mkdir(parents=True, exist_ok=True)
        lines = anyio.run(_soak, options, out)
    for line in lines:
        print(line)
    return int(bool(lines))


async def _soak(options: argparse.Namespace, out: pathlib.Path) -> list[str]:
    source = random.Random(options.seed)
    instances = options.instances or source.choice(_INSTANCES)
    replicas = source.choice(_REPLICAS)
    faults = _schedule.draw(
        source, options.seconds, instances, restores=not options.no_restore
    )
    schedule = [fault._asdict() for fault in faults]
    (out / "schedule.json").write_text(json.dumps(schedule, indent=1))
    async with fleets.start(out) as fleet:
        site = _site.Site(fleet, source, replicas)
        await site.start(instances)
        with anyio.move_on_after(options.seconds):
            async with anyio.create_task_group() as group:
                group.start_soon(site.operate)
                group.start_soon(site.register_replicas)
                group.start_soon(site.ask_for_models, _site.ADAPTERS)
                group.start_soon(site.ask_for_models, _site.MODELS)
                group.start_soon(site.ask_for_routes)
                group.start_soon(_faults.Injector(site).run, faults)
        orders = await site.orders()
        site.write_record(out, orders)
        ended = [p.name for p in site.hosts.instances if not p.running]
    turns = sum(
        a.replica == b.replica and a.holder != b.holder
        for a, b in zip(orders, orders[1:], strict=False)
    )
    print(
        f"seed {options.seed}: {instances} instances, {len(faults)} faults,"
        f" {len(orders)} orders, {turns} changes of their sender,"
        f" {len(site.versions)} versions, {len(site.probes)} probes; not"
        f" running at the end: {', '.join(ended) or 'none'}",
        file=sys.stderr,
    )
    return [
        *_checks.find_order_conflicts(orders, site.disruptions),
        *_checks.find_late_configurations(
            site.probes, site.versions, site.disruptions
        ),
        *_checks.find_older_configurations(site.probes, site.disruptions),
    ]


def _run_many(options: argparse.Namespace) -> int:
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    with futures.ThreadPoolExecutor(options.jobs) as pool:
        ended = pool.map(lambda seed: _run_apart(options, seed), seeds)
        broken = dict(zip(seeds, ended, strict=True))
    for rule in sorted(set().union(*broken.values())):
        found = [str(seed) for seed in seeds if rule in broken[seed]]
        print(f"{rule}: {len(found)} of {len(seeds)}: {' '.join(found)}")
    count = sum(bool(rules) for rules in broken.values())
    print(f"{count} of {len(seeds)} seeds broke a rule")
    return int(count > 0)


def _run_apart(options: argparse.Namespace, seed: int) -> set[str]:
    """Make a run in a process of its own; return what it broke."""
    command = [sys.executable, "-m", "soak", "run", "--seed", str(seed)]
    command += ["--seconds", str(options.seconds)]
    if options.instances:
        command += ["--instances", str(options.instances)]
    if options.no_restore:
        command.append("--no-restore")
    if options.out:
        command += ["--out", str(options.out / str(seed))]
    ended = subprocess.run(
        command, capture_output=True, check=False, text=True
    )
    print(f"{ended.stderr}{ended.stdout}".rstrip(), flush=True)
    broken = {line.partition(":")[0] for line in ended.stdout.splitlines()}
    return broken or {"the run failed"} if ended.returncode else set()


if __name__ == "__main__":
    sys.exit(main())
