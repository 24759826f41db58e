"""JSON-line logs by eliot; docs/operators.md lists the messages."""

from __future__ import annotations

import pathlib
import sys
import typing

import eliot


def start(log_file: str, instance: str) -> None:
    """Send log lines to a file, or to standard error for ``-``."""
    if log_file == "-":
        eliot.to_file(sys.stderr)
    else:
        path = pathlib.Path(log_file)
        # It stays open until the process ends.
        eliot.to_file(path.open("a", encoding="utf-8", buffering=1))
    eliot.add_global_fields(instance=instance)


def event(message: str, **fields: typing.Any) -> None:
    """Write one log line; a field's name carries its unit."""
    eliot.log_message(message_type=message, **fields)
