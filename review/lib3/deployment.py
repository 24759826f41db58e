"""A small deployment on loopback: machines, their platform, and the record.

Each machine has a loopback address of its own, as the program listens on a
fixed port for metrics. Every process is started with the command of
``deploy/system.toml`` and ended by its own id.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

import store as stores
import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# As in the settings that DEPLOY.md and `fleetbench wire` show.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "fencing_enforced": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overshoot": 1.1,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
MEMORY_MB = 300
HOST = "ficu95.example"
READY_INTERVAL_S = 1.0
RESTART_S = 0.5


def has_trouble() -> bool:
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happened, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        at = time.monotonic() - self._began
        self._file.write(f"{at:8.3f}  {text}\n")
        self._file.flush()

    def finish(self, status: int, text: str) -> typing.NoReturn:
        """Write the verdict and end with its status."""
        self.line(f"verdict {status}: {text}")
        self._file.close()
        print(f"{status}: {text}")
        sys.exit(status)


class Machine:
    """One machine with one process of the program."""

    def __init__(
        self, name: str, ip: str, folder: pathlib.Path, store: str
    ) -> None:
        self.name, self.ip = name, ip
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.is_ready = False
        # How often a process ended that was not told to.
        self.own_ends = 0
        self.peak_mb = 0.0
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._settings.write_text(json.dumps(self._make_settings(store)))

    def _make_settings(self, store: str) -> dict[str, typing.Any]:
        port = free_port(self.ip)
        return {
            "node_name": self.name,
            "role": "instance",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": "izmir-a",
            "region": "anatolia-west",
            "zones": {"izmir-a": "anatolia-west"},
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [port, port],
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": stores.VALUE_BYTES,
                "min_ttl_ms": 1000,
            },
        }

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["instance"]["run"].split(" ")
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GERANIUMLINK_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    def resident_mb(self) -> float:
        """Return the memory of the process, in MiB."""
        if self._process is None:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self._process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(10)

    def log_lines(self, message_type: str) -> list[dict[str, typing.Any]]:
        """Return the log lines of one type."""
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            if f'"{message_type}"' in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


class Deployment:
    """The machines, the store, and the platform's supervision of both."""

    def __init__(self, folder: pathlib.Path, machines: int) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        files = pathlib.Path(self._temporary.name)
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.net = net
        self.store = stores.Store(f"{net}.2", free_port(f"{net}.2"))
        self.machines = [
            Machine(
                f"front-izmir-a-{n + 1}",
                f"{net}.{10 + n}",
                files,
                self.store.server.address,
            )
            for n in range(machines)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, configuration: dict[str, typing.Any]) -> None:
        """Start everything; return once all machines are in rotation."""
        await self.store.server.start()
        self.store.put("config", "main", configuration)
        for machine in self.machines:
            machine.start()
            self._tasks.append(asyncio.create_task(self._supervise(machine)))
            self._tasks.append(asyncio.create_task(self._check(machine)))
        give_up = time.monotonic() + 20
        while not all(machine.is_ready for machine in self.machines):
            if time.monotonic() > give_up:
                await self.close()
                self.record.finish(2, "the machines didn't become ready")
            await asyncio.sleep(0.1)
        self.record.line("all machines are in rotation")

    async def _supervise(self, machine: Machine) -> None:
        """Enforce the limit of memory, and start an ended process again."""
        while True:
            await asyncio.sleep(0.05)
            memory_mb = machine.resident_mb()
            machine.peak_mb = max(machine.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                self.record.line(
                    f"{machine.name}: {memory_mb:.0f} MB, more than"
                    f" {MEMORY_MB}: the platform kills the process"
                )
                machine.send(signal.SIGKILL)
                await asyncio.sleep(0.05)
            if not machine.running:
                machine.own_ends += 1
                self.record.line(
                    f"{machine.name}: its process has ended,"
                    f" {machine.own_ends} times so far"
                )
                await asyncio.sleep(RESTART_S)
                machine.start()

    async def _check(self, machine: Machine) -> None:
        """Ask whether a machine is ready; two misses take it out."""
        misses = 2
        while True:
            answer = await wire.call(
                machine.ready, "GET", "/v1/ready", timeout_s=READY_INTERVAL_S
            )
            misses = 0 if answer.status == 200 else misses + 1
            is_ready = misses < 2
            if is_ready != machine.is_ready:
                machine.is_ready = is_ready
                state = "in" if is_ready else "out of"
                self.record.line(f"{machine.name}: {state} rotation")
            await asyncio.sleep(READY_INTERVAL_S)

    def choose(self) -> Machine:
        """Return the machine to which the platform forwards a connection."""
        ready = [m for m in self.machines if m.is_ready]
        if 2 * len(ready) < len(self.machines):
            ready = self.machines
        return random.choice(ready)

    async def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        await self.store.server.stop()

    def discard(self) -> None:
        """Remove the temporary folder."""
        self._temporary.cleanup()


def free_port(ip: str) -> int:
    """Return a port that nobody has at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def route(path: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{path}",
        "host": HOST,
        "path_prefix": f"/{path}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }
