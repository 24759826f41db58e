"""Generates requests from a seed, with changing rates and popularity.

The rate follows a sine and may have a burst; the popularity of models is
a Zipf distribution whose order changes.
"""

from __future__ import annotations

import math
import random
import typing

from emulator import _sites
from geraniumlink.serving import _types

# Amplitude of the sine of the request rate, as a share of the mean rate.
_RATE_AMPLITUDE = 0.3
_RATE_PERIOD_S = 12.0
# Tokens of the prefix that all prompts for a model share; the rest of a
# prompt is shared within its session.
_SHARED_TOKENS = 600
# Prompts of one session share a prefix block, which engines can cache.
_SESSIONS_PER_MODEL = 20
# The popularity of a model is 1 / rank ** exponent.
_ZIPF_EXPONENT = 1.0
# Share of the requests that need an adapter.
_ADAPTER_SHARE = 0.1
# Attempts of a client that honours Retry-After, and of one that ignores it.
_MAX_ATTEMPTS = 3
_ABUSIVE_MAX_ATTEMPTS = 6


class Workload(typing.NamedTuple):
    """The rate of requests and the popularity of models, over time."""

    name: str
    duration_s: float = 30.0
    # Mean of the sine, without the burst.
    rate_per_s: float = 40.0
    # The popularity ranks change at this interval.
    shift_interval_s: float = 10.0
    # Models that exchange their popularity ranks at each change.
    models_per_shift: int = 4
    # Share of the requests that choose any model with equal probability.
    uniform_share: float = 0.05
    # The rate is multiplied by this during the burst; 1 for no burst.
    burst_factor: float = 1.0
    burst_start_s: float = 15.0
    burst_duration_s: float = 4.0
    # Share of the clients that ignore Retry-After and retry more often.
    abusive_share: float = 0.0


WORKLOADS = (
    Workload("calm", rate_per_s=25.0, shift_interval_s=15.0),
    Workload("high", rate_per_s=55.0),
    Workload(
        "shifting", rate_per_s=40.0, shift_interval_s=4.0, models_per_shift=8
    ),
    Workload(
        "burst and abuse",
        rate_per_s=40.0,
        burst_factor=3.0,
        abusive_share=0.15,
    ),
)


class Arrival(typing.NamedTuple):
    """A client's request, with the time of its first attempt."""

    # From the start of traffic.
    at_ms: int
    # Index into the site's traffic classes.
    class_index: int
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[_types.PrefixBlock, ...]
    # The client retries without waiting for Retry-After.
    ignores_retry_after: bool
    # Including the first.
    max_attempts: int
    # Number of the instance to send to; None for a random one.
    instance: int | None = None


def generate_arrivals(
    site: _sites.Site, workload: Workload, seed: int
) -> list[Arrival]:
    """Return all arrivals by time; deterministic for a given seed.

    A Poisson process at the peak rate is thinned to the rate in force.
    """
    random_source = random.Random(seed)
    popularity = _Popularity(site, workload, random_source)
    peak_rate = (
        workload.rate_per_s
        * (1 + _RATE_AMPLITUDE)
        * max(1.0, workload.burst_factor)
    )
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += random_source.expovariate(peak_rate)
        if at_s >= workload.duration_s:
            return arrivals
        if random_source.random() < _rate_at(workload, at_s) / peak_rate:
            arrivals.append(
                _make_arrival(site, workload, popularity, at_s, random_source)
            )


def _rate_at(workload: Workload, at_s: float) -> float:
    rate = workload.rate_per_s * (
        1 + _RATE_AMPLITUDE * math.sin(at_s / _RATE_PERIOD_S * math.tau)
    )
    in_burst = (
        workload.burst_start_s
        <= at_s
        < workload.burst_start_s + workload.burst_duration_s
    )
    return rate * (workload.burst_factor if in_burst else 1.0)


class _Popularity:
    """Samples models by a popularity that changes with time."""

    def __init__(
        self,
        site: _sites.Site,
        workload: Workload,
        random_source: random.Random,
    ) -> None:
        self._workload = workload
        self._random_source = random_source
        self._models_by_rank = list(site.models)
        self._weights = [
            1 / (rank + 1) ** _ZIPF_EXPONENT
            for rank in range(len(site.models))
        ]
        self._shift_at_s = workload.shift_interval_s

    def sample(self, at_s: float) -> str:
        while at_s >= self._shift_at_s:
            self._shift_at_s += self._workload.shift_interval_s
            self._rotate_ranks()
        if self._random_source.random() < self._workload.uniform_share:
            return self._random_source.choice(self._models_by_rank)
        return self._random_source.choices(
            self._models_by_rank, self._weights
        )[0]

    def _rotate_ranks(self) -> None:
        ranks = self._random_source.sample(
            range(len(self._models_by_rank)),
            min(self._workload.models_per_shift, len(self._models_by_rank)),
        )
        models = [self._models_by_rank[rank] for rank in ranks]
        for rank, model in zip(ranks, models[1:] + models[:1], strict=True):
            self._models_by_rank[rank] = model


def _make_arrival(
    site: _sites.Site,
    workload: Workload,
    popularity: _Popularity,
    at_s: float,
    random_source: random.Random,
) -> Arrival:
    weights = [traffic.share for traffic in site.classes]
    class_index = random_source.choices(range(len(weights)), weights)[0]
    traffic = site.classes[class_index]
    model = popularity.sample(at_s)
    adapter = ""
    if site.adapters and random_source.random() < _ADAPTER_SHARE:
        adapter = f"a{random_source.randrange(site.adapters)}"
    unshared_tokens = 1 + _geometric(
        traffic.prompt_tokens - _SHARED_TOKENS, random_source
    )
    session = f"{model}-{random_source.randrange(_SESSIONS_PER_MODEL)}"
    abusive = random_source.random() < workload.abusive_share
    return Arrival(
        at_ms=round(1000 * at_s),
        class_index=class_index,
        model=model,
        adapter=adapter,
        prompt_tokens=_SHARED_TOKENS + unshared_tokens,
        output_tokens=1 + _geometric(traffic.output_tokens, random_source),
        prefix_blocks=(
            _types.PrefixBlock(model, _SHARED_TOKENS),
            _types.PrefixBlock(session, unshared_tokens),
        ),
        ignores_retry_after=abusive,
        max_attempts=_ABUSIVE_MAX_ATTEMPTS if abusive else _MAX_ATTEMPTS,
    )


def _geometric(mean: float, random_source: random.Random) -> int:
    """Return a geometric sample; a mean below 1 counts as 1."""
    return int(random_source.expovariate(1 / max(1.0, mean)))
