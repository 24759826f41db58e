"""Builds settings and configurations, and runs instances for tests.

Also sends requests as a client does, and reads instances' logs.
"""

from __future__ import annotations

import base64
import contextlib
import io
import itertools
import json
import pathlib
import subprocess
import tarfile
import typing

import anyio

from standins import fleet as fleets

HOST = "shop.example"
# How long a store that is restored from a copy doesn't answer.
STORE_OUTAGE_S = 0.5
_request_ids = itertools.count(1)


def node_settings(store: fleets.Process, name: str) -> dict:
    """Return the content of an instance's settings file."""
    ports = [fleets.free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    return {
        "node_name": name,
        "bootstrap": True,
        "zone": "debark",
        "ip": "127.0.0.1",
        "listen": {"front": addresses[0], "ready": addresses[1]},
        "internal_ports": [ports[2], ports[2]],
        "bounds": {
            "grace_s": 8,
            "drain_ms": 2000,
            "lease_ms": 1000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 56,
        },
        "platform": {"address": store.address},
    }


def route(path: str, kind: str, **fields: object) -> dict:
    return {
        "name": path,
        "host": HOST,
        "path_prefix": f"/{path}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "gap_target_ms": 300,
        "priority": 1,
        "service": "assistant",
        "max_attempts": 2,
        **fields,
    }


def model(name: str) -> dict:
    return {
        "name": name,
        "weights_mb": 70.0,
        "load_s": 0.6,
        "warm_s": 0.2,
        "disk_s": 0.2,
        "adapters": 4,
        "adapter_mb": 1.0,
    }


def configuration(version: int = 1, *more_routes: dict) -> dict:
    """Return a configuration; a replica has memory for two of three models."""
    engine = {
        "slots": 8,
        "kv_capacity_tokens": 100_000,
        "weights_mb": 150.0,
        "adapter_slots": 2,
        "loads_per_s": 10.0,
        "models": [model("m1"), model("m2"), model("m3")],
    }
    return {
        "version": version,
        "routes": [
            route("safe", "safe"),
            route("once", "unsafe", max_attempts=1),
            route("stream", "stream", resumable=True),
            route("stream-once", "stream", max_attempts=1),
            *more_routes,
        ],
        "services": [
            {"name": "assistant", "max_connections": 100, "engine": engine}
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
    }


def check_out(commit: str, folder: pathlib.Path) -> str:
    """Write a landing's source to a folder; return the path to run it with."""
    archive = subprocess.run(
        ["git", "archive", commit, "src"],
        cwd=fleets.ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder, filter="data")
    return str(pathlib.Path(folder) / "src")


class Partition(typing.NamedTuple):
    """An instance, and the links that lead from it to the replicas."""

    fleet: fleets.Fleet
    instance: fleets.Process
    links: list[fleets.Process]
    mode_file: pathlib.Path

    async def cut(self, how: str) -> None:
        """Cut the path.

        :param how: what open connections do: "hang" or "reset", and new ones,
            too, or these are refused; "refuse": only new ones are refused;
            "accept-hang", "accept-reset": new ones are accepted before that.
        """
        if not how.startswith("accept"):
            self.mode_file.write_text("hang" if how == "hang" else "refuse")
        if how != "refuse":
            switch = "stall" if how.endswith("hang") else "cut"
            await self._set_links(**{switch: True})

    async def heal(self) -> None:
        self.mode_file.write_text("")
        await self._set_links(stall=False, cut=False)

    async def _set_links(self, **switches: bool) -> None:
        for link in self.links:
            await self.fleet.faults(link, **switches)


class Site:
    """The store, replicas and instances that one test runs."""

    def __init__(self, fleet: fleets.Fleet, *store_arguments: str) -> None:
        self.fleet = fleet
        self.store = fleet.stand_in("metadata_store", *store_arguments)
        self.replicas: dict[str, fleets.Process] = {}
        self.instances: list[fleets.Process] = []
        self._settings: list[dict] = []
        self._models: dict[str, list[str]] = {}
        # Of proxies before replicas, by the replicas' names.
        self._proxies: dict[str, str] = {}
        # Software versions; a replica that isn't here is of "v1".
        self.versions: dict[str, str] = {}
        # Bounds in the settings of instances that are started from now on,
        # where they differ from those of ``node_settings``.
        self.bounds: dict[str, float] = {}
        # Limits of the machine, in the same settings.
        self.limits: dict[str, int] = {}

    async def start(
        self,
        replicas: int = 2,
        instances: int = 1,
        models: tuple[str, ...] = (),
    ) -> Site:
        """Start all processes; return when the instances are ready."""
        await self.fleet.answers(self.store.port, "/record")
        for _ in range(replicas):
            await self.add_replica(*models)
        await self.configure(configuration())
        for _ in range(instances):
            await self.add_instance()
        return self

    async def add_replica(
        self, *models: str, near: str = "", proxy: str = ""
    ) -> str:
        """Start and register a replica with models; return its name.

        :param proxy: address of a proxy before it, if one is used.
        """
        name = f"r-{len(self.replicas) + 1}"
        arguments = ["--name", name]
        for model_name in models:
            arguments += ["--model", model_name]
        if near:
            arguments += ["--near", near]
        process = self.fleet.stand_in("replica", *arguments)
        self.replicas[name] = process
        self._models[name] = list(models)
        self._proxies[name] = proxy
        await self.fleet.answers(process.port, "/record")
        await self.register(name)
        return name

    async def register(self, name: str, state: str = "ready") -> None:
        await self.put("servers", name, self.entry(name, state))

    def entry(self, name: str, state: str = "ready") -> dict:
        """Return a replica's entry in the store."""
        return {
            "service": "assistant",
            "address": self._proxies[name] or self.replicas[name].address,
            "zone": "debark",
            "version": self.versions.get(name, "v1"),
            "slots": 8,
            "state": state,
            "born": 1,
            "models": [
                {"name": model_name, "adapters": []}
                for model_name in self._models[name]
            ],
        }

    async def add_instance(
        self,
        *arguments: str,
        environment: dict[str, str] | None = None,
        store_address: str = "",
    ) -> fleets.Process:
        """Start an instance; return when it is ready.

        :param store_address: that of a link to the store, if one is used.
        """
        settings = node_settings(self.store, f"i-{len(self._settings) + 1}")
        settings["bounds"] |= self.bounds
        if self.limits:
            settings["limits"] = self.limits
        if store_address:
            settings["platform"]["address"] = store_address
        process = self.fleet.hosted(
            settings, *arguments, environment=environment
        )
        self.instances.append(process)
        self._settings.append(settings)
        await self.wait_until_ready(len(self._settings) - 1)
        return process

    async def add_partitionable_instance(self) -> Partition:
        """Start an instance whose path to the replicas can be cut."""
        links = {
            replica.port: self.fleet.link(replica.address)
            for replica in self.replicas.values()
        }
        for link, _ in links.values():
            await self.fleet.answers(link.port, "/record")
        settings = node_settings(self.store, f"i-{len(self.instances) + 1}")
        mode_file = self.fleet.folder / f"{settings['node_name']}.mode"
        mode_file.write_text("")
        ports = {
            port: int(relay.rpartition(":")[2])
            for port, (_, relay) in links.items()
        }
        partition = json.dumps({"ports": ports, "mode": str(mode_file)})
        process = self.fleet.hosted(
            settings,
            module="standins.partitionable",
            environment={"PARTITION": partition},
        )
        self.instances.append(process)
        self._settings.append(settings)
        await self.wait_until_ready(len(self.instances) - 1)
        return Partition(
            self.fleet,
            process,
            [link for link, _ in links.values()],
            mode_file,
        )

    async def wait_until_ready(self, index: int = 0) -> None:
        await self.fleet.answers(self.ready_port(index), "/v1/ready")

    def ready_port(self, index: int = 0) -> int:
        address = self._settings[index]["listen"]["ready"]
        return int(address.rpartition(":")[2])

    def peer_address(self, index: int) -> str:
        """Return an instance's address for other instances."""
        settings = self._settings[index]
        return f"{settings['ip']}:{settings['internal_ports'][0]}"

    def peer_port(self, index: int = 0) -> int:
        return int(self._settings[index]["internal_ports"][0])

    async def configure(self, spec: dict) -> None:
        await self.put("config", "main", spec)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Create an object in the store, or replace it if it exists."""
        message = {"metadata": {"name": name}, "spec": spec}
        path = f"/v1/objects/{kind}"
        answer = await self.fleet.post(self.store, path, message)
        if answer.status == 409:
            await self.fleet.post(self.store, f"{path}/{name}", message, "PUT")

    async def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose spec needn't be valid JSON."""
        encoded = base64.b64encode(spec).decode()
        path = f"/raw-specs/{kind}/{name}"
        await self.fleet.post(self.store, path, {"spec": encoded})

    async def store_revision(self) -> int:
        """Return the revision of the store's last change."""
        return (await self.fleet.record(self.store))["revision"]

    async def restore_store(
        self, revision: int, *, counts_eras: bool = False
    ) -> None:
        """Let the store be gone for a moment, and come back older.

        :param revision: that of the last change which it still has.
        :param counts_eras: whether its answers tell that it was restored.
        """
        await self.fleet.faults(self.store, outage=True)
        message = {"revision": revision, "counts_eras": counts_eras}
        await self.fleet.post(self.store, "/restore", message)
        await anyio.sleep(STORE_OUTAGE_S)
        await self.fleet.faults(self.store, outage=False)

    async def remove(self, name: str) -> None:
        path = f"/v1/objects/servers/{name}"
        await self.fleet.post(self.store, path, {}, "DELETE")

    async def wait_for_orders(self) -> None:
        """Wait until the stored lease says that its holder may order."""

        async def wait_over() -> bool:
            stored = (await self.fleet.record(self.store))["objects"]
            return any(o["spec"].get("wait_over") for o in stored)

        await self.fleet.until(wait_over, "the controller may order")

    async def faults(self, replica: str, **switches: object) -> None:
        await self.fleet.faults(self.replicas[replica], **switches)

    async def runs(self) -> dict[str, list[dict]]:
        """Return the requests that each running replica has run."""
        return {
            name: (await self.fleet.record(process))["runs"]
            for name, process in self.replicas.items()
            if process.running
        }

    async def orders(self) -> list[dict]:
        """Return the orders that all replicas got, sorted by arrival."""
        orders = []
        for name, process in self.replicas.items():
            record = await self.fleet.record(process)
            orders += [{**o, "replica": name} for o in record["orders"]]
        return sorted(orders, key=lambda order: order["at"])

    async def model_orders(self):
        """Return the orders for models, without those for adapters."""
        return [
            order for order in await self.orders() if not order.get("adapter")
        ]


class Answer:
    """A response, parsed from the bytes that a client received.

    Its status is 0 if nothing was received.
    """

    def __init__(self, data: bytes) -> None:
        self.raw = data
        head, _, self.rest = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if data else 0
        self.headers = {
            name.lower(): value
            for name, _, value in (line.partition(": ") for line in lines[1:])
        }

    @property
    def body(self) -> bytes:
        if self.headers.get("transfer-encoding") == "chunked":
            return _unchunk(self.rest)[0]
        return self.rest

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was received."""
        if self.headers.get("transfer-encoding") == "chunked":
            return _unchunk(self.rest)[1]
        return len(self.rest) == int(self.headers["content-length"])


def _unchunk(data: bytes) -> tuple[bytes, bool]:
    """Return the decoded chunks, and whether the last chunk was received."""
    parts = []
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return b"".join(parts), True
        parts.append(data[:length])
        data = data[length + 2 :]
    return b"".join(parts), False


def request_bytes(
    target: str, body: bytes = b"", method: str = "POST", **headers: str
) -> bytes:
    """Return a request as a client sends it, with a unique id."""
    all_headers = {
        "Host": HOST,
        "X-Request-Id": f"request-{next(_request_ids)}",
        "X-Deadline-Ms": "4000",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **{key.replace("_", "-"): value for key, value in headers.items()},
    }
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [
        f"{name}: {value}" for name, value in all_headers.items() if value
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send(port: int, data: bytes) -> Answer:
    """Send bytes on a new connection; return what is received."""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream:
        await stream.send(data)
        received = b""
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                received += await stream.receive()
        return Answer(received)


async def send_request(port: int, target: str, **headers: str) -> Answer:
    """Send one request and return its response."""
    return await send(port, request_bytes(target, **headers))


def find_log_lines(process: fleets.Process, message: str) -> list[dict]:
    """Return an instance's log lines with that message type."""
    lines = []
    for line in process.log.read_text().splitlines():
        with contextlib.suppress(ValueError):
            fields = json.loads(line)
            if fields.get("message_type") == message:
                lines.append(fields)
    return lines
