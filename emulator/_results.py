"""Computes the figures of a simulation, and statistics over seeds."""

from __future__ import annotations

import collections
import statistics
import typing

from emulator import _clients
from emulator import _simulation
from emulator import _sites

# A model with at least this many requests and no complete response counts
# as starved.
_STARVATION_MIN_REQUESTS = 3
# Period before a fault whose samples give the baseline of the placement.
_BASELINE_MS = 4000
# A placement has recovered when its share of placed requests is at most this
# much below the baseline.
_PLACEMENT_TOLERANCE = 0.02


class DayNumbers(typing.TypedDict):
    """Figures of one simulation; shares are of all clients' requests.

    The field names are keys of the JSON reports.
    """

    requests: int
    in_time: float
    late: float
    refused: float
    failed: float
    gave_up: float
    # By the name of the traffic class.
    in_time_by_class: dict[str, float]
    # Time to first event, of requests with a complete response.
    first_event_p50_ms: float | None
    first_event_p99_ms: float | None
    # Mean attempts of a request.
    tries: float
    starved_models: int
    # By all instances; messages are requests between instances.
    store_calls_per_s: float
    messages_per_s: float
    # Connections that were opened to engines.
    connections: int
    moves: int
    # Loads from the remote store, without a local copy.
    store_loads: int
    # Preempted requests.
    put_back: int


class Recovery(typing.TypedDict):
    """Times of recovery from a fault; None if not reached by the end.

    The field names are keys of the JSON reports.
    """

    # From the fault to the next move of a model.
    first_move_ms: int | None
    # From the fault until the placement has recovered from its minimum.
    placed_again_ms: int | None
    # Share of the recent requests whose model is resident: the mean before
    # the fault, and the minimum after it.
    placed_before: float
    placed_least: float


class MeanDeviation(typing.TypedDict):
    """Mean and standard deviation of a figure over several seeds."""

    mean: float
    deviation: float


def summarize(
    site: _sites.Site, result: _simulation.SimulationResult
) -> DayNumbers:
    """Return the figures of a simulation."""
    results = result.results
    counts = collections.Counter(result.outcome for result in results)
    total = max(1, len(results))
    first_event_times = sorted(
        result.first_event_ms
        for result in results
        if result.first_event_ms is not None
    )
    last = result.samples[-1]
    seconds = (last.at_ms + _simulation.WARM_UP_MS) / 1000
    return DayNumbers(
        requests=len(results),
        in_time=counts[_clients.RequestOutcome.IN_TIME] / total,
        late=counts[_clients.RequestOutcome.LATE] / total,
        refused=counts[_clients.RequestOutcome.REFUSED] / total,
        failed=counts[_clients.RequestOutcome.FAILED] / total,
        gave_up=counts[_clients.RequestOutcome.GAVE_UP] / total,
        in_time_by_class=_in_time_by_class(site, results),
        first_event_p50_ms=_quantile(first_event_times, 0.5),
        first_event_p99_ms=_quantile(first_event_times, 0.99),
        tries=sum(result.attempts for result in results) / total,
        starved_models=_count_starved_models(results),
        store_calls_per_s=result.store_calls / seconds,
        messages_per_s=result.messages / seconds,
        connections=result.connections,
        moves=last.moves,
        store_loads=result.store_loads,
        put_back=result.preemptions,
    )


def measure_recovery(
    result: _simulation.SimulationResult, fault: _simulation.Fault
) -> Recovery:
    """Return how fast the placement recovered from a fault."""
    samples = result.samples
    before = [
        sample
        for sample in samples
        if fault.at_ms - _BASELINE_MS <= sample.at_ms < fault.at_ms
    ]
    after = [s for s in samples if s.at_ms >= fault.at_ms]
    placed_before = statistics.fmean(sample.placed for sample in before)
    worst = min(after, key=lambda sample: sample.placed)
    moved = [s.at_ms for s in after if s.moves > after[0].moves]
    recovered = [
        sample.at_ms
        for sample in after
        if sample.at_ms >= worst.at_ms
        and sample.placed >= placed_before - _PLACEMENT_TOLERANCE
    ]
    return Recovery(
        first_move_ms=moved[0] - fault.at_ms if moved else None,
        placed_again_ms=recovered[0] - fault.at_ms if recovered else None,
        placed_before=placed_before,
        placed_least=worst.placed,
    )


def mean_and_deviation(values: list[float]) -> MeanDeviation:
    """Return mean and standard deviation; the latter is 0 for one value."""
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return MeanDeviation(mean=statistics.fmean(values), deviation=deviation)


def _in_time_by_class(
    site: _sites.Site, results: list[_clients.RequestResult]
) -> dict[str, float]:
    shares = {}
    for number, traffic in enumerate(site.classes):
        class_results = [r for r in results if r.arrival.class_index == number]
        in_time = [
            r
            for r in class_results
            if r.outcome is _clients.RequestOutcome.IN_TIME
        ]
        if class_results:
            shares[traffic.name] = len(in_time) / len(class_results)
    return shares


def _count_starved_models(results: list[_clients.RequestResult]) -> int:
    answered = (_clients.RequestOutcome.IN_TIME, _clients.RequestOutcome.LATE)
    request_counts = collections.Counter(r.arrival.model for r in results)
    served = {r.arrival.model for r in results if r.outcome in answered}
    return sum(
        count >= _STARVATION_MIN_REQUESTS and model not in served
        for model, count in request_counts.items()
    )


def _quantile(ordered: list[int], share: float) -> float | None:
    if not ordered:
        return None
    return float(ordered[min(len(ordered) - 1, int(share * len(ordered)))])
