"""The processes of a run, its operator and its clients."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import json
import math
import pathlib
import random
import time

import anyio
import httpcore

from soak import _checks
from standins import fleet as fleets
from tests import hosts

ADAPTERS = ("m1/a1", "m1/a2", "m1/a3", "m1/a4")
MODELS = ("m2", "m3")
# One after the other: the controller keeps those that are all asked for.
_ASKED_IN_A_ROW = 8
_ASK_EVERY_S = 0.25
_MODEL_EVERY_S = 0.15
_REGISTER_EVERY_S = 1.0
_CONFIGURE_EVERY_S = (2.0, 5.0)
_VERSION_STEPS = (1, 2, 5)
_REQUEST_TIMEOUT_S = 3.0
_CALL_TIMEOUT_S = 1.0
_RETRY_S = 0.1
_FAILED = (
    OSError,
    anyio.BrokenResourceError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    IndexError,
    ValueError,
)
# The route that each version moves to the other service, and these.
_MOVED = "moved"
_SERVICES = ("assistant", "plain")


class Site:
    """Instances behind links, the store and replicas of two services."""

    def __init__(
        self, fleet: fleets.Fleet, source: random.Random, replicas: int
    ) -> None:
        self.fleet = fleet
        self.state = fleet.folder / "store.jsonl"
        self.hosts = hosts.Site(fleet, "--state", str(self.state))
        self.hosts.bounds = {"lease_ms": round(1000 * _checks.LEASE_S)}
        self.links: list[fleets.Process] = []
        self.relayed: list[str] = []
        self.versions: list[_checks.Version] = []
        self.probes: list[_checks.Probe] = []
        self.disruptions: list[_checks.Disruption] = []
        # Number of starts, by instance.
        self.starts: dict[str, int] = {}
        self._source = source
        self._replicas = replicas
        # Services of the moved route, by version that was sent.
        self._sent: dict[int, str] = {}
        self._writing = anyio.Lock()

    async def start(self, instances: int) -> None:
        """Start all processes; return when the instances are ready."""
        await self.fleet.answers(self.hosts.store.port, "/record")
        for _ in range(self._replicas):
            await self.hosts.add_replica("m1")
        await self._register()
        await self.configure(1)
        for _ in range(instances):
            link, address = self.fleet.link(self.hosts.store.address)
            self.links.append(link)
            self.relayed.append(address)
            await self.fleet.answers(link.port, "/record")
            process = await self.hosts.add_instance(store_address=address)
            self.starts[process.name] = 1
            with self.disrupt(process.name, "started"):
                pass

    @contextlib.contextmanager
    def disrupt(
        self, target: str, kind: str, follows_s: float = 0
    ) -> Iterator[None]:
        """Record a disruption that lasts as long as the context."""
        began = time.monotonic()
        try:
            yield
        finally:
            ended = time.monotonic() + follows_s
            self.disruptions.append(
                _checks.Disruption(target, kind, began, ended)
            )

    async def configure(self, number: int = 0) -> None:
        """Write a version, or the last one again, until it's acknowledged."""
        async with self._writing:
            number = number or max(self._sent)
            self._sent.setdefault(number, _SERVICES[len(self._sent) % 2])
            spec = self._configuration(number)
            while not await self._put("config", "main", spec):
                await anyio.sleep(_RETRY_S)
            if not self.versions or self.versions[-1].number < number:
                version = _checks.Version(number, time.monotonic())
                self.versions.append(version)

    def _configuration(self, number: int) -> dict:
        added = [
            hosts.route(f"v{n}", "safe", service="plain")
            for n in self._sent
            if n > 1
        ]
        moved = hosts.route(_MOVED, "safe", service=self._sent[number])
        spec = hosts.configuration(number, moved, *added)
        spec["services"].append({"name": "plain", "max_connections": 100})
        return spec

    async def _put(self, kind: str, name: str, spec: object) -> bool:
        """Write an object; return whether the store acknowledged it."""
        message = {"metadata": {"name": name}, "spec": spec}
        path, store = f"/v1/objects/{kind}", self.hosts.store
        with (
            anyio.move_on_after(_CALL_TIMEOUT_S),
            contextlib.suppress(*_FAILED),
        ):
            answer = await self.fleet.post(store, path, message)
            if answer.status == 409:
                path = f"{path}/{name}"
                answer = await self.fleet.post(store, path, message, "PUT")
            return answer.status == 200
        return False

    async def operate(self) -> None:
        """Write a new version now and then."""
        while True:
            await anyio.sleep(self._source.uniform(*_CONFIGURE_EVERY_S))
            number = max(self._sent) + self._source.choice(_VERSION_STEPS)
            await self.configure(number)

    async def register_replicas(self) -> None:
        """Keep the replicas in the store."""
        while True:
            await self._register()
            await anyio.sleep(_REGISTER_EVERY_S)

    async def _register(self) -> None:
        for index, name in enumerate(self.hosts.replicas):
            entry = self.hosts.entry(name)
            # The first one alone gets orders.
            entry["service"] = _SERVICES[min(index, 1)]
            await self._put("servers", name, entry)

    async def ask_for_models(self, names: tuple[str, ...]) -> None:
        """Ask for models in turn, more than fit, so that orders go on."""
        async with anyio.create_task_group() as group:
            while True:
                for name in names:
                    for _ in range(_ASKED_IN_A_ROW):
                        instance = self._source.choice(self.hosts.instances)
                        group.start_soon(self._ask, instance, "stream", name)
                        await anyio.sleep(_MODEL_EVERY_S)

    async def ask_for_routes(self) -> None:
        """Ask every instance for routes of old and new versions."""
        async with anyio.create_task_group() as group:
            while True:
                newest = self.versions[-1].number
                older = self._source.choice(self.versions).number
                for instance in self.hosts.instances:
                    for path in {f"v{newest}", f"v{older}", _MOVED} - {"v1"}:
                        group.start_soon(self._probe, instance, path)
                await anyio.sleep(_ASK_EVERY_S)

    async def _ask(
        self, instance: fleets.Process, path: str, model: str = ""
    ) -> hosts.Answer:
        headers = {}
        if model:
            headers = {"X_Model": model, "X_Token_Usage": "100,10"}
        with (
            anyio.move_on_after(_REQUEST_TIMEOUT_S),
            contextlib.suppress(*_FAILED),
        ):
            target = f"/{path}/x"
            return await hosts.send_request(instance.port, target, **headers)
        return hosts.Answer(b"")

    async def _probe(self, instance: fleets.Process, path: str) -> None:
        start, sent = self.starts[instance.name], time.monotonic()
        answer = await self._ask(instance, path)
        answered = time.monotonic()
        if path == _MOVED:
            shown = self._versions_with(answer)
        else:
            shown = _versions_allowing(int(path[1:]), answer.status)
        if start == self.starts[instance.name] and shown:
            text = f"/{path}/ ({answer.status})"
            self.probes.append(
                _checks.Probe(
                    instance.name, start, sent, answered, *shown, text
                )
            )

    def _versions_with(self, answer: hosts.Answer) -> tuple[int, float] | None:
        """Return the oldest and newest version with the service it ran at."""
        seal = answer.headers.get("x-response-seal") if answer.status else ""
        if not seal:
            return None
        service = _SERVICES[0 if seal == "of-r-1" else 1]
        found = [n for n, moved in self._sent.items() if moved == service]
        return min(found), max(found)

    async def orders(self) -> list[_checks.Order]:
        """Return what replicas got so far."""
        return [
            _checks.Order(
                order["replica"],
                order["at"],
                order["holder"],
                order["fencing_token"],
            )
            for order in await self.hosts.orders()
        ]

    def write_record(self, out: pathlib.Path, orders: list) -> None:
        record = {
            "orders": orders,
            "versions": self.versions,
            "disruptions": self.disruptions,
            "probes": self.probes,
        }
        text = json.dumps(record, default=str)
        (out / "record.json").write_text(text)


def _versions_allowing(number: int, status: int) -> tuple[int, float] | None:
    """Return the oldest and newest version that answer a new route so."""
    if status == 404:
        return 0, number - 1
    return (number, math.inf) if status == 200 else None
