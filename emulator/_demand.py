"""Seeded demand: waves, bursts, models that rise and fall, rare models."""

from __future__ import annotations

import math
import random
import typing

from emulator import _sites
from geraniumlink.serving import _types

# The wave of the whole demand, as a share of its mean.
_WAVE = 0.3
_WAVE_S = 12.0
# Requests of one model share this prompt; the rest is their session's.
_SHARED_TOKENS = 600
# Sessions of each model; their parts can be kept.
_SESSIONS = 20
# Popularity falls with the rank to this power (Zipf).
_ZIPF = 1.0
_ADAPTER_SHARE = 0.1
# Tries of a client that keeps to what it is told, and of one that doesn't.
_TRIES = 3
_ABUSIVE_TRIES = 6


class Load(typing.NamedTuple):
    """How much is asked for, and how it changes."""

    name: str
    duration_s: float = 30.0
    # Mean over the duration.
    rate_per_s: float = 40.0
    # The order of the models' popularity changes this often.
    shift_s: float = 10.0
    # Models whose popularity changes places at a shift.
    shifted: int = 4
    # Requests for any model alike.
    rare_share: float = 0.05
    # During a burst, the rate is so many times as high.
    burst: float = 1.0
    burst_from_s: float = 15.0
    burst_s: float = 4.0
    # Clients that come back at once and more often.
    abuse_share: float = 0.0


LOADS = (
    Load("calm", rate_per_s=25.0, shift_s=15.0),
    Load("high", rate_per_s=55.0),
    Load("shifting", rate_per_s=40.0, shift_s=4.0, shifted=8),
    Load("burst and abuse", rate_per_s=40.0, burst=3.0, abuse_share=0.15),
)


class Arrival(typing.NamedTuple):
    """A request as a client first sends it."""

    at_ms: int
    # Index of its class.
    traffic: int
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[_types.PrefixBlock, ...]
    # A client that does not keep to the time to come back.
    abusive: bool
    # How often the client asks in all.
    most_tries: int
    # The instance that it asks; None for any.
    instance: int | None = None


def arrivals(site: _sites.Site, load: Load, seed: int) -> list[Arrival]:
    """Return all arrivals in their order; the same for the same seed."""
    source = random.Random(seed)
    popular = _Popularity(site, load, source)
    peak = load.rate_per_s * (1 + _WAVE) * max(1.0, load.burst)
    found: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += source.expovariate(peak)
        if at_s >= load.duration_s:
            return found
        if source.random() < _rate(load, at_s) / peak:
            found.append(_arrival(site, load, popular, at_s, source))


def _rate(load: Load, at_s: float) -> float:
    rate = load.rate_per_s * (1 + _WAVE * math.sin(at_s / _WAVE_S * math.tau))
    in_burst = load.burst_from_s <= at_s < load.burst_from_s + load.burst_s
    return rate * (load.burst if in_burst else 1.0)


class _Popularity:
    """Which models are asked for, as it changes with time."""

    def __init__(
        self, site: _sites.Site, load: Load, source: random.Random
    ) -> None:
        self._load = load
        self._source = source
        self._order = list(site.models)
        self._weights = [
            1 / (rank + 1) ** _ZIPF for rank in range(len(site.models))
        ]
        self._shift_at_s = load.shift_s

    def draw(self, at_s: float) -> str:
        while at_s >= self._shift_at_s:
            self._shift_at_s += self._load.shift_s
            self._shift()
        if self._source.random() < self._load.rare_share:
            return self._source.choice(self._order)
        return self._source.choices(self._order, self._weights)[0]

    def _shift(self) -> None:
        places = self._source.sample(
            range(len(self._order)), min(self._load.shifted, len(self._order))
        )
        models = [self._order[place] for place in places]
        for place, model in zip(places, models[1:] + models[:1], strict=True):
            self._order[place] = model


def _arrival(
    site: _sites.Site,
    load: Load,
    popular: _Popularity,
    at_s: float,
    source: random.Random,
) -> Arrival:
    weights = [traffic.share for traffic in site.classes]
    number = source.choices(range(len(weights)), weights)[0]
    traffic = site.classes[number]
    model = popular.draw(at_s)
    adapter = ""
    if site.adapters and source.random() < _ADAPTER_SHARE:
        adapter = f"a{source.randrange(site.adapters)}"
    own = 1 + _geometric(traffic.prompt_tokens - _SHARED_TOKENS, source)
    session = f"{model}-{source.randrange(_SESSIONS)}"
    abusive = source.random() < load.abuse_share
    return Arrival(
        at_ms=round(1000 * at_s),
        traffic=number,
        model=model,
        adapter=adapter,
        prompt_tokens=_SHARED_TOKENS + own,
        output_tokens=1 + _geometric(traffic.output_tokens, source),
        parts=(
            _types.PrefixBlock(model, _SHARED_TOKENS),
            _types.PrefixBlock(session, own),
        ),
        abusive=abusive,
        most_tries=_ABUSIVE_TRIES if abusive else _TRIES,
    )


def _geometric(mean: float, source: random.Random) -> int:
    return int(source.expovariate(1 / max(1.0, mean)))
