"""Judges log lines by the table of messages and the types of fields."""

import json
import pathlib

from geraniumlink import _log_fields
from geraniumlink import _log_messages

# What each line has besides the fields of its message.
_COMMON = {
    "timestamp",
    "instance",
    "message_type",
    "task_uuid",
    "task_level",
}


def faults(paths):
    """Return what is wrong in the lines of some log files."""
    found = set()
    # A test may have made a pipe of one, which would never end.
    for path in filter(pathlib.Path.is_file, paths):
        for text in path.read_text(errors="replace").splitlines():
            found |= _faults_of(text)
    return sorted(found)


def _faults_of(text):
    try:
        line = json.loads(text)
    except ValueError:
        # Something else that the process printed, or a line that was cut.
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
            name in known.fields and _log_fields.fits(message, name, value)
        )
    }
