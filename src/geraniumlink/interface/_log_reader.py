"""Reads the log lines of instances back from files.

A line may have any prefix before its JSON object; it is skipped.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import pathlib
import typing

import orjson

# Keys of every line that are not fields of its message. Eliot, the logging
# library, adds task_uuid and task_level; they are dropped.
_COMMON_KEYS = (
    "timestamp",
    "instance",
    "message_type",
    "task_uuid",
    "task_level",
)


class LogLine(typing.NamedTuple):
    """One parsed log line."""

    # Seconds since 1970 by the clock of the instance that wrote the line.
    timestamp: float
    instance: str
    message: str
    fields: dict[str, typing.Any]


def read_log_files(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the log lines of some files, sorted by time.

    Other lines are skipped: a file may also hold what the process or its
    platform printed.

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
            entry = orjson.loads(raw[start:])
        except orjson.JSONDecodeError:
            continue
        if not isinstance(entry, dict) or "message_type" not in entry:
            continue
        yield LogLine(
            float(entry.get("timestamp", 0.0)),
            str(entry.get("instance", "")),
            str(entry["message_type"]),
            {
                key: value
                for key, value in entry.items()
                if key not in _COMMON_KEYS
            },
        )
