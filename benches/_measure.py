"""Readings of processes, linear fits and the form of a bench's result."""

from __future__ import annotations

import argparse
import importlib.metadata
import json
import math
import os
import pathlib
import platform
import statistics
import subprocess
import typing

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LIBRARIES = ("anyio", "uvicorn", "httpcore", "protobuf", "starlette")


class Point(typing.NamedTuple):
    """One measured size."""

    size: float
    value: float


class Fit(typing.NamedTuple):
    """A straight line through points, with its root mean square error."""

    slope: float
    intercept: float
    rms_error: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"process {pid} has no resident memory")


def fit(points: list[Point]) -> Fit:
    """Fit a line by least squares."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    squares = [
        (point.value - line.intercept - line.slope * point.size) ** 2
        for point in points
    ]
    error = math.sqrt(sum(squares) / len(points))
    return Fit(line.slope, line.intercept, error)


def write(path: pathlib.Path, settings: dict, results: dict) -> None:
    """Write a result with what is needed to run it again."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    result = {
        "settings": settings,
        "commit": commit.stdout.strip(),
        "python": platform.python_version(),
        "libraries": {
            name: importlib.metadata.version(name) for name in LIBRARIES
        },
        "processors": os.cpu_count(),
        "load_average": os.getloadavg(),
        "results": results,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(result, indent=1) + "\n")


def parser(description: str | None, output: str) -> argparse.ArgumentParser:
    """Return a parser with what all benches are told."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--output", type=pathlib.Path, default=output)
    made.add_argument("--seed", type=int, default=1)
    return made
