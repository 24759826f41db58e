"""Validates log lines against the tables of messages and field types."""

import json
import pathlib

from geraniumlink import _log_fields
from geraniumlink import _log_messages

# Fields that every line has besides those of its message.
_COMMON = {
    "timestamp",
    "instance",
    "message_type",
    "task_uuid",
    "task_level",
}


def find_errors(paths):
    """Return the errors in the lines of log files, sorted."""
    found = set()
    # A test may have replaced a file by a named pipe, which has no end.
    for path in filter(pathlib.Path.is_file, paths):
        for text in path.read_text(errors="replace").splitlines():
            found |= _find_line_errors(text)
    return sorted(found)


def _find_line_errors(text):
    try:
        line = json.loads(text)
    except ValueError:
        # Other output of the process, or a truncated line.
        return set()
    if not isinstance(line, dict) or "message_type" not in line:
        return set()
    message = line["message_type"]
    if message.startswith("eliot:"):
        return set()
    known = _log_messages.MESSAGES.get(message)
    if known is None:
        return {f"{message} is not in the table"}
    return {
        f"{message} {name} is {value!r:.60}"
        for name, value in line.items()
        if name not in _COMMON
        and not (
            name in known.fields and _log_fields.is_valid(message, name, value)
        )
    }
