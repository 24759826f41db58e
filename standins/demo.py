"""The demonstration: both users' sites, scaled down, through a bad minute.

Starts the stand-ins and three instances for each user as processes on
loopback, declares their deployments, sends requests, applies a change, kills
an instance, and prints what happened. ``./demo`` sets up and runs it.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
import contextlib
import pathlib
import signal
import sys
import tempfile
import time
import typing

import anyio
import httpcore

from standins import engine as engines
from standins import fleet as fleets

REQUESTS_AT_ONCE = 30
TOKENS = 40


class Site(typing.NamedTuple):
    """One user's deployments, scaled down."""

    user: str
    data_centres: tuple[str, ...]
    engines: str
    engine_count: int
    models: int
    service: str
    service_count: int


SITES = (
    Site(
        "Bekele",
        ("debark", "sankaber", "chenek"),
        "assistant",
        3,
        9,
        "booking",
        2,
    ),
    Site(
        "Mahzen",
        ("izmir-a", "manisa", "denizli"),
        "sommelier-llm",
        3,
        12,
        "custody-app",
        2,
    ),
)


class _Show:
    """Runs one site and prints a line for each step."""

    def __init__(self, site: Site, fleet: fleets.Fleet) -> None:
        self._site = site
        self._fleet = fleet
        self._engines: list[fleets.Process] = []
        self._services: list[fleets.Process] = []

    async def run(self) -> None:
        print(f"\n{self._site.user}")
        await self._start()
        await self._declare()
        await self._generate()
        await self._reserve()
        await self._change()
        await self._kill()

    async def _start(self) -> None:
        site, fleet = self._site, self._fleet
        self._engines = [
            fleet.engine(None, "--memory-mb", "10000")
            for _ in range(site.engine_count)
        ]
        self._services = [
            fleet.plain_service() for _ in range(site.service_count)
        ]
        for data_centre in site.data_centres:
            fleet.instance(f"{site.user.lower()}-{data_centre}", data_centre)
        await fleet.ready()
        print(
            f"  {len(fleet.processes)} processes, of them"
            f" {len(fleet.instances)} instances"
        )

    async def _declare(self) -> None:
        site, fleet = self._site, self._fleet
        await self._apply(self._engine_deployment("1"), 0)
        await self._apply(self._service_deployment(), 0)
        began = time.monotonic()
        await fleet.until(self._all_held, "every model is held")
        print(
            f"  {site.models} models on {site.engine_count} engines, all"
            f" reachable after {time.monotonic() - began:.1f} s"
        )

    def _engine_deployment(self, version: str) -> dict:
        site = self._site
        models = [
            {
                "name": f"{site.engines}-{number}",
                "version": "1",
                "size_mb": 1500,
            }
            for number in range(site.models)
        ]
        models[0]["version"] = version
        return {
            "name": site.engines,
            "kind": "MODEL_ENGINE",
            "replicas": [
                self._replica(index, process)
                | {"memory_mb": 10000, "kv_cache_mb": 1000}
                for index, process in enumerate(self._engines)
            ],
            "models": models,
            "load_limits": {
                "loads_per_second": 4,
                "concurrent_loads": 4,
                "adapters_in_transit": 32,
            },
            "order_rules": {"engines_check_fencing": True},
        }

    def _service_deployment(self) -> dict:
        return {
            "name": self._site.service,
            "kind": "PLAIN_SERVICE",
            "replicas": [
                self._replica(index, process)
                for index, process in enumerate(self._services)
            ],
        }

    def _replica(self, index: int, process: fleets.Process) -> dict:
        data_centres = self._site.data_centres
        return {
            "name": f"r{index}",
            "address": process.address,
            "data_centre": data_centres[index % len(data_centres)],
            "max_in_flight": 64,
        }

    async def _apply(self, deployment: dict, expected_version: int) -> int:
        """Apply, wait until it is in force everywhere, return the version."""
        fleet = self._fleet
        answer = await fleet.call(
            fleet.instances[0],
            "Operator/Apply",
            deployment=deployment,
            expected_version=expected_version,
            change_id=f"demo-{deployment['name']}-{expected_version}",
            author="demo",
        )
        if answer.status != 200:
            raise RuntimeError(f"refused: {answer.body}")
        version = int(answer.body["version"])
        began = time.monotonic()

        async def in_force() -> bool:
            for instance in fleet.instances:
                status = await fleet.call(instance, "Operator/Status")
                if int(status.body.get("version", 0)) < version:
                    return False
            return True

        await fleet.until(in_force, "the change is in force")
        elapsed_ms = 1000 * (time.monotonic() - began)
        print(
            f"  {deployment['name']}: version {version} in force at"
            f" {len(fleet.instances)} instances within {elapsed_ms:.0f} ms"
        )
        return version

    async def _all_held(self) -> bool:
        """Whether each instance knows a holder of every model."""
        for instance in self._fleet.instances:
            status = await self._fleet.call(instance, "Operator/Status")
            held = {
                model
                for replica in status.body.get("replicas", ())
                for model in replica.get("models", ())
            }
            if len(held) < self._site.models:
                return False
        return True

    async def _generate(self) -> None:
        whole = await self._generate_from(self._fleet.instances)
        print(f"  {REQUESTS_AT_ONCE} streams at once: {whole} whole")

    async def _generate_from(self, instances: list[fleets.Process]) -> int:
        """Send streams at once; return how many came back whole."""
        whole: list[int] = []
        async with anyio.create_task_group() as group:
            for number in range(REQUESTS_AT_ONCE):
                instance = instances[number % len(instances)]
                group.start_soon(self._one, instance, number, whole)
        return len(whole)

    async def _one(
        self, instance: fleets.Process, number: int, whole: list[int]
    ) -> None:
        model = f"{self._site.engines}-{number % self._site.models}"
        prompt = f"question {number}"
        answer = await self._fleet.call(
            instance,
            "Inference/GenerateStream",
            model=model,
            prompt=prompt,
            max_tokens=TOKENS,
        )
        text = "".join(line.get("text", "") for line in answer.lines)
        expected = engines.expected_tokens(model, "", prompt, TOKENS)
        if text == "".join(expected) and "end" in answer.body:
            whole.append(number)

    async def _reserve(self) -> None:
        """Send one non-idempotent call through every instance."""
        key = f"{time.time_ns() // 1_000_000}-demo-reserve"
        statuses = []
        for instance in self._fleet.instances:
            answer = await self._fleet.call(
                instance,
                "Calls/Call",
                service=self._site.service,
                method="POST",
                path="/reserve/12",
                body=base64.b64encode(b"one pair").decode(),
                idempotency_key=key,
            )
            statuses.append(answer.body.get("status", answer.body))
        runs = 0
        for service in self._services:
            record = await self._fleet.record(service)
            runs += len(record["runs"])
        print(
            f"  one reservation sent through {len(statuses)} instances:"
            f" answers {statuses}, run {runs} time(s)"
        )

    async def _change(self) -> None:
        """Roll a model's version while it is asked for."""
        fleet, site = self._fleet, self._site
        current = await fleet.call(
            fleet.instances[0], "Operator/Get", name=site.engines
        )
        version = int(current.body["version"])
        await self._apply(self._engine_deployment("2"), version)
        whole = await self._generate_from(fleet.instances)
        print(
            f"  {REQUESTS_AT_ONCE} streams while a model is rolled:"
            f" {whole} whole"
        )

    async def _kill(self) -> None:
        """Kill an instance; its callers ask the others again."""
        killed = self._fleet.instances.pop()
        killed.kill()
        whole = await self._generate_from(self._fleet.instances)
        print(
            f"  {killed.name} killed; {REQUESTS_AT_ONCE} streams through"
            f" the others: {whole} whole"
        )


async def _show(site: Site, folder: pathlib.Path) -> None:
    folder.mkdir()
    async with fleets.start(folder) as fleet:
        await _Show(site, fleet).run()


@contextlib.contextmanager
def _folder() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as temporary:
        yield pathlib.Path(temporary)


async def _main() -> None:
    with _folder() as folder:
        for site in SITES:
            await _show(site, folder / site.user)


def main() -> int:
    """Run the demonstration and return an exit code."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        anyio.run(_main)
    except (RuntimeError, TimeoutError, httpcore.NetworkError) as error:
        print(f"the demonstration failed: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
