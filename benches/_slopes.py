"""What the benches share: linear fits, and what a result says of its run."""

from __future__ import annotations

import importlib.metadata
import json
import math
import os
import pathlib
import platform
import subprocess
import typing

_LIBRARIES = ("anyio", "httpcore", "uvicorn", "starlette", "protobuf")


class Fit(typing.NamedTuple):
    """A line by least squares; the error is the residuals' deviation."""

    intercept: float
    slope: float
    error: float


def fit(sizes: list[float], values: list[float]) -> Fit:
    """Fit ``values`` against three or more ``sizes``."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = (
        sum((size - mean_size) * (value - mean_value) for size, value in pairs)
        / spread
    )
    intercept = mean_value - slope * mean_size
    squares = sum(
        (value - intercept - slope * size) ** 2 for size, value in pairs
    )
    error = math.sqrt(squares / (count - 2))
    return Fit(round(intercept, 6), round(slope, 6), round(error, 6))


def fits(sizes: list[float], rows: list[dict]) -> dict[str, dict]:
    """Fit each number of the rows against the sizes."""
    return {
        key: fit(sizes, [row[key] for row in rows])._asdict()
        for key, value in rows[0].items()
        if isinstance(value, int | float)
    }


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def versions() -> dict[str, str]:
    found = {name: importlib.metadata.version(name) for name in _LIBRARIES}
    return {"python": platform.python_version(), **found}


def write(path: str, result: dict) -> None:
    """Write a result with the versions and the machine's load."""
    # Where it was written says nothing of the run.
    result.get("settings", {}).pop("out", None)
    result = {
        **result,
        "commit": _commit(),
        "versions": versions(),
        "processors": os.cpu_count(),
        "load_average": os.getloadavg(),
    }
    text = json.dumps(result, indent=1)
    if path == "-":
        print(text)
    else:
        pathlib.Path(path).write_text(text + "\n", encoding="utf-8")


def _commit() -> str:
    found = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()


class Point(typing.NamedTuple):
    """One measured size."""

    size: float
    value: float


class Usage(typing.NamedTuple):
    """What a process used until now."""

    processor_ms: float
    resident_kb: int


def usage(pid: int) -> Usage:
    """Read a process's processor time and resident memory."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    milliseconds = 1000 * ticks / os.sysconf("SC_CLK_TCK")
    return Usage(milliseconds, int(line.split()[1]))
