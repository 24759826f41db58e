"""Replays logged requests in the emulator and compares the outcomes.

The log may come from the users' bench or from any instances. It has a line
for each request that arrived, retries included, so replayed clients do not
retry. What it lacks is as in the default site: speeds and load times; no
prefixes are shared, and no client or server leaves or crashes.
"""

from __future__ import annotations

import collections
import pathlib
import typing

from emulator import _demand
from emulator import _log_summary
from emulator import _policies
from emulator import _simulation
from emulator import _sites
from geraniumlink.interface import _log_reader

# The log states the maximum of output tokens; responses generate this share.
_GENERATED_SHARE = 0.3
# Target for the first event, which the log does not state.
_TARGET_MS = 500
_SEED = 1


class ReplayComparison(typing.TypedDict):
    """Figures of the same requests in the log and in the emulator.

    The field names are keys of the JSON reports.
    """

    logged: _log_summary.LogSummary
    emulated: _log_summary.LogSummary


def replay(path: pathlib.Path) -> ReplayComparison:
    """Replay the requests of a log.

    :raises OSError: if the file can't be read.
    :raises ValueError: if it has no requests for models.
    """
    lines = _log_reader.read_log_files([path])
    logged = _log_summary.LogSummarizer()
    for line in lines:
        logged.add_line(line.message, line.fields)
    result = _simulation.simulate(_make_spec(lines))
    return ReplayComparison(
        logged=logged.summarize(), emulated=result.log_summarizer.summarize()
    )


def _make_spec(lines: list[_log_reader.LogLine]) -> _simulation.SimulationSpec:
    admitted = [
        line
        for line in lines
        if line.message == "admitted" and line.fields["model"]
    ]
    if not admitted:
        raise ValueError("no requests for models are logged")
    instances = sorted({line.instance for line in lines})
    routes = sorted({line.fields["route"] for line in admitted})
    arrivals = tuple(
        _arrival(line, admitted[0].timestamp, instances, routes)
        for line in admitted
    )
    site = _sites.Site(
        instances=len(instances),
        engines=_count_engines(lines, admitted),
        models=_models_by_demand(admitted),
        classes=tuple(
            _make_traffic_class(route, admitted) for route in routes
        ),
    )
    workload = _demand.Workload("logged")
    policy = _policies.POLICIES[0]
    return _simulation.SimulationSpec(
        site, workload, policy, _SEED, arrivals=arrivals
    )


def _arrival(
    line: _log_reader.LogLine,
    first: float,
    instances: list[str],
    routes: list[str],
) -> _demand.Arrival:
    fields = line.fields
    return _demand.Arrival(
        at_ms=round(1000 * (line.timestamp - first)),
        class_index=routes.index(fields["route"]),
        model=fields["model"],
        adapter=fields["adapter"],
        prompt_tokens=max(1, fields["prompt_tokens"]),
        output_tokens=max(
            1, round(_GENERATED_SHARE * fields["output_tokens"])
        ),
        prefix_blocks=(),
        ignores_retry_after=False,
        max_attempts=1,
        instance=instances.index(line.instance),
    )


def _make_traffic_class(
    route: str, admitted: list[_log_reader.LogLine]
) -> _sites.TrafficClass:
    own = [line.fields for line in admitted if line.fields["route"] == route]
    return _sites.TrafficClass(
        name=route,
        priority=own[0]["priority"],
        target_ms=_TARGET_MS,
        timeout_ms=max(fields["left_ms"] for fields in own),
        share=len(own) / len(admitted),
        prompt_tokens=0,
        output_tokens=0,
    )


def _count_engines(
    lines: list[_log_reader.LogLine], admitted: list[_log_reader.LogLine]
) -> int:
    """Count the engines that were known before the first request."""
    services = {line.fields["service"] for line in admitted}
    return len(
        {
            line.fields["replica"]
            for line in lines
            if line.message == "replica_seen"
            and line.timestamp <= admitted[0].timestamp
            and line.fields["service"] in services
        }
    )


def _models_by_demand(admitted: list[_log_reader.LogLine]) -> tuple[str, ...]:
    counts = collections.Counter(line.fields["model"] for line in admitted)
    return tuple(model for model, _ in counts.most_common())
