"""Plays the requests of a logged day again, and says the difference.

The lines are those of a day of the users' bench, or of any instances. They
tell each request that came, also those of clients that came back, so nobody
comes back here. What they don't tell is taken as the site has it: speeds,
times of loads, parts of prompts that are shared, who leaves or crashes.
"""

from __future__ import annotations

import collections
import pathlib
import typing

from emulator import _demand
from emulator import _policies
from emulator import _simulation
from emulator import _sites
from emulator import _tally
from geraniumlink.interface import _log_reader

# Lines tell the most tokens that a client takes; answers end sooner.
_MADE_SHARE = 0.3
# No line tells the time in which an answer has its full worth.
_TARGET_MS = 500
_SEED = 1


class Check(typing.TypedDict):
    """The same requests on a logged day and in the emulator."""

    logged: _tally.Shares
    emulated: _tally.Shares


def check(path: pathlib.Path) -> Check:
    """Play a logged day again.

    :raises OSError: if the file can't be read.
    :raises ValueError: if it has no requests for models.
    """
    lines = _log_reader.read_log_files([path])
    logged = _tally.Tally()
    for line in lines:
        logged.note(line.message, line.fields)
    outcome = _simulation.play(_day(lines))
    return Check(logged=logged.shares(), emulated=outcome.tally.shares())


def _day(lines: list[_log_reader.LogLine]) -> _simulation.Day:
    asked = [
        line
        for line in lines
        if line.message == "admitted" and line.fields["model"]
    ]
    if not asked:
        raise ValueError("no requests for models are logged")
    instances = sorted({line.instance for line in lines})
    routes = sorted({line.fields["route"] for line in asked})
    arrivals = tuple(
        _arrival(line, asked[0].timestamp, instances, routes) for line in asked
    )
    site = _sites.Site(
        instances=len(instances),
        engines=_engines(lines, asked),
        models=_by_demand(asked),
        classes=tuple(_traffic(route, asked) for route in routes),
    )
    load = _demand.Load("logged")
    policy = _policies.POLICIES[0]
    return _simulation.Day(site, load, policy, _SEED, arrivals=arrivals)


def _arrival(
    line: _log_reader.LogLine,
    first: float,
    instances: list[str],
    routes: list[str],
) -> _demand.Arrival:
    fields = line.fields
    return _demand.Arrival(
        at_ms=round(1000 * (line.timestamp - first)),
        traffic=routes.index(fields["route"]),
        model=fields["model"],
        adapter=fields["adapter"],
        prompt_tokens=max(1, fields["prompt_tokens"]),
        output_tokens=max(1, round(_MADE_SHARE * fields["output_tokens"])),
        parts=(),
        abusive=False,
        most_tries=1,
        instance=instances.index(line.instance),
    )


def _traffic(
    route: str, asked: list[_log_reader.LogLine]
) -> _sites.TrafficClass:
    own = [line.fields for line in asked if line.fields["route"] == route]
    return _sites.TrafficClass(
        name=route,
        priority=own[0]["priority"],
        target_ms=_TARGET_MS,
        timeout_ms=max(fields["left_ms"] for fields in own),
        share=len(own) / len(asked),
        prompt_tokens=0,
        output_tokens=0,
    )


def _engines(
    lines: list[_log_reader.LogLine], asked: list[_log_reader.LogLine]
) -> int:
    """Count the engines that were there before the first request."""
    services = {line.fields["service"] for line in asked}
    return len(
        {
            line.fields["replica"]
            for line in lines
            if line.message == "replica_seen"
            and line.timestamp <= asked[0].timestamp
            and line.fields["service"] in services
        }
    )


def _by_demand(asked: list[_log_reader.LogLine]) -> tuple[str, ...]:
    counts = collections.Counter(line.fields["model"] for line in asked)
    return tuple(model for model, _ in counts.most_common())
