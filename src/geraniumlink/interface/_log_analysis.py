"""Traces a request through log lines, and summarizes a period of a log."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import typing

from geraniumlink import _log_messages
from geraniumlink.interface import _log_reader

LogLine = _log_reader.LogLine

# State changes within this time before a request arrived may have affected
# it: a replica's leaving and an instance's takeover of control last as long.
LOOKBACK_S = 5.0
# Rows of accounts in a summary; the busiest are listed.
_MAX_ACCOUNT_ROWS = 64
# State messages that are too frequent, and say too little, for a summary.
_TOO_FREQUENT = frozenset(("move", "move_ended", "order", "lines_left_out"))


def trace_request(lines: list[LogLine], request_id: str) -> Iterator[str]:
    """Yield the lines about a request and the state changes around it.

    State changes, marked by |, are those that may have affected it: of its
    instance, replicas or models. Times are in seconds after it arrived.
    Nothing is yielded if no line has that id.
    """
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return
    arrived = min(_arrival_time(line) for line in request_lines)
    ended = max(line.timestamp for line in request_lines)
    instances = {line.instance for line in request_lines}
    replicas = {line.fields.get("replica") for line in request_lines} - {
        None,
        "",
    }
    models = {line.fields.get("model") for line in request_lines} - {None, ""}
    for line in lines:
        if line in request_lines:
            yield _format(line, arrived)
        elif (
            arrived - LOOKBACK_S <= line.timestamp <= ended
            and _is_state_change(line)
            and _may_affect(line, instances, replicas, models)
        ):
            yield _format(line, arrived, mark="|")


def summarize(
    lines: list[LogLine],
    since_s: float,
    until_s: float,
    account: str | None = None,
) -> Iterator[str]:
    """Yield counts of requests by outcome and account, and state changes.

    Times, also the two limits, are in seconds after the first line.

    :param account: the only account whose requests are counted, if given.
    """
    if not lines:
        return
    start = lines[0].timestamp
    selected = [
        line
        for line in lines
        if since_s <= line.timestamp - start <= until_s
        and account in (None, line.fields.get("account", account))
    ]
    counts = collections.Counter(
        (
            line.fields.get("service", ""),
            line.fields.get("status"),
            line.fields.get("outcome", ""),
        )
        for line in selected
        if line.message == "request"
    )
    yield f"{sum(counts.values())} requests"
    for (service, status, outcome), count in counts.most_common():
        yield f"{count:8} {service} {status} {outcome}"
    yield from _count_accounts(selected)
    yield "state changes of instances"
    for line in selected:
        if _is_state_change(line) and line.message not in _TOO_FREQUENT:
            yield _format(line, start)


def _count_accounts(lines: list[LogLine]) -> Iterator[str]:
    """Yield counts of requests by account, and of those that were denied.

    Nothing is yielded for a log without accounts.
    """
    accounts = collections.Counter(
        (
            line.fields["account"],
            line.fields.get("status"),
            line.fields.get("outcome", ""),
        )
        for line in lines
        if line.message == "request" and line.fields.get("account")
    )
    if accounts:
        yield "requests of accounts"
    for row, count in accounts.most_common(_MAX_ACCOUNT_ROWS):
        account, status, outcome = row
        yield f"{count:8} {account} {status} {outcome}"
    denied = collections.Counter(
        (line.fields.get("route", ""), line.fields.get("reason", ""))
        for line in lines
        if line.message == "denied"
    )
    if denied:
        yield "denied requests"
    for (route, reason), count in denied.most_common():
        yield f"{count:8} {route}: {reason}"


def _arrival_time(line: LogLine) -> float:
    """Return when the request of a line arrived, as far as the line tells."""
    took_ms = line.fields.get("took_ms", 0)
    if line.message == "request" and isinstance(took_ms, int):
        return line.timestamp - took_ms / 1000
    return line.timestamp


def _is_state_change(line: LogLine) -> bool:
    return not _log_messages.is_about_request(line.message)


def _may_affect(
    line: LogLine,
    instances: set[str],
    replicas: set[typing.Any],
    models: set[typing.Any],
) -> bool:
    """Whether a state change may have affected a request."""
    fields = line.fields
    if fields.get("model") in models and models:
        return True
    if "replica" in fields:
        return fields["replica"] in replicas and line.instance in instances
    return line.instance in instances or line.message == "lease_taken"


def _format(line: LogLine, start: float, mark: str = " ") -> str:
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return (
        f"{line.timestamp - start:+9.3f} s {mark} {line.instance}"
        f" {line.message} {fields}"
    )
