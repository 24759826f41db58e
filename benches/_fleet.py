"""A fleet for the benches: engines with a capacity, a router to choose."""

from __future__ import annotations

from importlib import metadata
import os
import pathlib
import platform
import subprocess
import sys
import time
import typing

from standins import engine_capacity
from standins import fleet as fleets
from tests import builders

_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class BenchFleet(fleets.Fleet):
    """A fleet whose instances run with the router that is named."""

    def __init__(
        self, folder: pathlib.Path, router: str, time_scale: float = 1.0
    ) -> None:
        self._router = router
        self._time_scale = time_scale
        super().__init__(folder)

    def _start(
        self,
        name: str,
        command: list[str],
        port: int,
        peer_port: int = 0,
        environment: dict[str, str] | None = None,
    ) -> fleets.Process:
        if self._router and command[2] == "geraniumlink":
            command = [sys.executable, "-m", "benches._instance"]
            settings = str(self.folder / f"{name}.ini")
            command += [self._router, str(self._time_scale), settings]
        return super()._start(name, command, port, peer_port, environment)


class Site(typing.NamedTuple):
    """What a bench runs against."""

    instances: int
    engines: int
    speed: engine_capacity.Speed
    # Requests that wait inside an engine before it refuses.
    engine_queue: int
    models: list[str]
    report_ms: int
    report_lag_ms: int


async def start_site(fleet: fleets.Fleet, site: Site) -> list[fleets.Process]:
    """Start engines and instances; return the engines when all serve."""
    resident = {model: "1" for model in site.models}
    guard = site.speed.slots + site.engine_queue
    engines = [
        fleet.engine(
            resident,
            f"--max-in-flight={guard}",
            *engine_capacity.arguments(site.speed),
        )
        for _ in range(site.engines)
    ]
    for _ in range(site.instances):
        fleet.instance(report_ms=site.report_ms)
    await fleet.ready()
    for process in engines:
        await fleet.faults(process, report_lag_ms=site.report_lag_ms)
    deployment = builders.engines(engines, site.models)
    for replica in deployment["replicas"]:
        replica["max_in_flight"] = site.speed.slots
        replica["memory_mb"] = 10_000
    await builders.declare(fleet, fleet.instances[0], deployment)
    for process in fleet.instances:
        await builders.serving(fleet, process, site.engines)
    return engines


def cpu_seconds(process: fleets.Process) -> float:
    """Return the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def resident_mb(process: fleets.Process) -> float:
    """Return the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
    return int(text.split()[1]) * _PAGE_BYTES / 2**20


def versions() -> dict[str, str]:
    """Return what a result depends on."""
    names = ("anyio", "httpcore", "httptools", "starlette", "uvicorn")
    found = {name: metadata.version(name) for name in names}
    found["python"] = platform.python_version()
    found["commit"] = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    found["loop_ns"] = str(_loop_ns())
    found["processors"] = str(os.cpu_count())
    return found


def _loop_ns() -> int:
    """Return the processor time of one turn of an empty loop.

    It tells a slow or crowded machine from a slow program.
    """
    turns = 1_000_000
    started = time.process_time_ns()
    for _ in range(turns):
        pass
    return (time.process_time_ns() - started) // turns
