"""What callers got on a played day, as numbers."""

from __future__ import annotations

import collections
import statistics
import typing

from emulator import _clients
from emulator import _simulation
from emulator import _sites

# A model that was asked for so often and never answered for was starved.
_STARVATION_MIN_REQUESTS = 3
# Samples before a trouble that say how good the placement was.
_BASELINE_MS = 4000
# A placement is as good as before when it is short of that by no more.
_PLACEMENT_TOLERANCE = 0.02


class DayNumbers(typing.TypedDict):
    """A day's numbers; shares are of all clients' requests."""

    requests: int
    in_time: float
    late: float
    refused: float
    failed: float
    gave_up: float
    # By the class's name.
    in_time_by_class: dict[str, float]
    # To the first event, of requests that had one.
    first_event_p50_ms: float | None
    first_event_p99_ms: float | None
    tries: float
    starved_models: int
    # Calls to the store in a second, by all instances.
    store_calls_per_s: float
    messages_per_s: float
    connections: int
    moves: int
    store_loads: int
    put_back: int


class Recovery(typing.TypedDict):
    """How long a trouble was felt; None where it lasted to the end."""

    # From its beginning to the next move of a model.
    first_move_ms: int | None
    # From its beginning until the placement is as good as before.
    placed_again_ms: int | None
    placed_before: float
    placed_least: float


class MeanDeviation(typing.TypedDict):
    """A number over several seeds."""

    mean: float
    deviation: float


def summarize(
    site: _sites.Site, result: _simulation.SimulationResult
) -> DayNumbers:
    """Return the numbers of a day."""
    results = result.results
    counts = collections.Counter(result.outcome for result in results)
    total = max(1, len(results))
    first = sorted(
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
        first_event_p50_ms=_quantile(first, 0.5),
        first_event_p99_ms=_quantile(first, 0.99),
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
    """Return how the placement came back after a fault."""
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
    back = [
        sample.at_ms
        for sample in after
        if sample.at_ms >= worst.at_ms
        and sample.placed >= placed_before - _PLACEMENT_TOLERANCE
    ]
    return Recovery(
        first_move_ms=moved[0] - fault.at_ms if moved else None,
        placed_again_ms=back[0] - fault.at_ms if back else None,
        placed_before=placed_before,
        placed_least=worst.placed,
    )


def mean_and_deviation(values: list[float]) -> MeanDeviation:
    """Return mean and standard deviation."""
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return MeanDeviation(mean=statistics.fmean(values), deviation=deviation)


def _in_time_by_class(
    site: _sites.Site, results: list[_clients.RequestResult]
) -> dict[str, float]:
    shares = {}
    for number, traffic in enumerate(site.classes):
        own = [r for r in results if r.arrival.class_index == number]
        met = [r for r in own if r.outcome is _clients.RequestOutcome.IN_TIME]
        if own:
            shares[traffic.name] = len(met) / len(own)
    return shares


def _count_starved_models(results: list[_clients.RequestResult]) -> int:
    answered = (_clients.RequestOutcome.IN_TIME, _clients.RequestOutcome.LATE)
    asked = collections.Counter(r.arrival.model for r in results)
    served = {r.arrival.model for r in results if r.outcome in answered}
    return sum(
        count >= _STARVATION_MIN_REQUESTS and model not in served
        for model, count in asked.items()
    )


def _quantile(ordered: list[int], share: float) -> float | None:
    if not ordered:
        return None
    return float(ordered[min(len(ordered) - 1, int(share * len(ordered)))])
