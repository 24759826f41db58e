"""Reads log lines back from files, whatever stands before each object."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import pathlib
import typing

import orjson

# Of each line; what eliot adds is of no use to a reader.
_COMMON = ("timestamp", "instance", "message_type", "task_uuid", "task_level")


class LogLine(typing.NamedTuple):
    """One log line."""

    # Seconds since 1970, by the clock of that instance.
    timestamp: float
    instance: str
    message: str
    fields: dict[str, typing.Any]


def read_log_files(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the lines of some files in the order of their times.

    What is no log line is passed over: files hold what else a process or
    its platform printed.

    :raises OSError: if a file can't be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        with path.open("rb") as file:
            lines += _parse(file)
    return sorted(lines, key=lambda line: line.timestamp)


def _parse(file: Iterable[bytes]) -> Iterator[LogLine]:
    for raw in file:
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            found = orjson.loads(raw[start:])
        except orjson.JSONDecodeError:
            continue
        if not isinstance(found, dict) or "message_type" not in found:
            continue
        yield LogLine(
            float(found.get("timestamp", 0.0)),
            str(found.get("instance", "")),
            str(found["message_type"]),
            {k: v for k, v in found.items() if k not in _COMMON},
        )
