"""Tells from log lines how a request fared, and what was believed when."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import typing

from geraniumlink import _log_messages
from geraniumlink.interface import _log_reader

LogLine = _log_reader.LogLine

# What changed this long before a request came may have decided about it: a
# replica that leaves, and an instance that takes control, take as long.
BEFORE_S = 5.0
# Moves and orders fill a summary and say little about a stretch of time.
_FREQUENT = frozenset(("move", "move_ended", "order", "lines_left_out"))


def trace_request(lines: list[LogLine], request_id: str) -> Iterator[str]:
    """Yield what touched a request, and what its instance believed then.

    Nothing is yielded if no line has that id.
    """
    own = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not own:
        return
    began = min(_began(line) for line in own)
    ended = max(line.timestamp for line in own)
    instances = {line.instance for line in own}
    replicas = {line.fields.get("replica") for line in own} - {None, ""}
    models = {line.fields.get("model") for line in own} - {None, ""}
    for line in lines:
        if line in own:
            yield _text(line, began)
        elif (
            began - BEFORE_S <= line.timestamp <= ended
            and _is_state(line)
            and _concerns(line, instances, replicas, models)
        ):
            yield _text(line, began, mark="|")


def summarize(
    lines: list[LogLine], since_s: float, until_s: float
) -> Iterator[str]:
    """Yield counts of requests by outcome, and changes of belief.

    Times are in seconds after the first line.
    """
    if not lines:
        return
    first = lines[0].timestamp
    stretch = [
        line for line in lines if since_s <= line.timestamp - first <= until_s
    ]
    counts = collections.Counter(
        (
            line.fields.get("service", ""),
            line.fields.get("status"),
            line.fields.get("outcome", ""),
        )
        for line in stretch
        if line.message == "request"
    )
    yield f"{sum(counts.values())} requests"
    for (service, status, outcome), count in counts.most_common():
        yield f"{count:8} {service} {status} {outcome}"
    yield "what instances believed"
    for line in stretch:
        if _is_state(line) and line.message not in _FREQUENT:
            yield _text(line, first)


def _began(line: LogLine) -> float:
    took_ms = line.fields.get("took_ms", 0)
    if line.message == "request" and isinstance(took_ms, int):
        return line.timestamp - took_ms / 1000
    return line.timestamp


def _is_state(line: LogLine) -> bool:
    return not _log_messages.is_about_request(line.message)


def _concerns(
    line: LogLine,
    instances: set[str],
    replicas: set[typing.Any],
    models: set[typing.Any],
) -> bool:
    """Whether a change of state bears on a request."""
    fields = line.fields
    if fields.get("model") in models and models:
        return True
    if "replica" in fields:
        return fields["replica"] in replicas and line.instance in instances
    return line.instance in instances or line.message == "lease_taken"


def _text(line: LogLine, first: float, mark: str = " ") -> str:
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return (
        f"{line.timestamp - first:+9.3f} s {mark} {line.instance}"
        f" {line.message} {fields}"
    )
