"""What callers ask for, as the instances report it."""

from __future__ import annotations

import math
import typing

from geraniumlink import _clock
from geraniumlink.residency import _planner

# Time constant of the rates: long enough for some requests of each model in
# use, short against the time in which demand moves.
RATE_TIME_CONSTANT_MS = 2500
# A rate below this is taken for none.
MIN_TOKENS_PER_S = 1.0


class DemandSample(typing.NamedTuple):
    """What one instance was asked for since its last report."""

    service: str
    model: str
    adapter: str
    prompt_tokens: int


class _Rate(typing.NamedTuple):
    tokens_per_s: float
    last_request_at: int


class DemandTracker:
    """Rates of demand by service and model, and the last use of adapters."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._rates: dict[tuple[str, str], _Rate] = {}
        self._adapter_last_used_at: dict[tuple[str, str, str], int] = {}

    def record(self, sample: DemandSample) -> None:
        """Count a use that was reported now."""
        now = self._clock.now()
        key = (sample.service, sample.model)
        rate = (
            self._decayed_rate(key, now)
            + sample.prompt_tokens * 1000 / RATE_TIME_CONSTANT_MS
        )
        self._rates[key] = _Rate(rate, now)
        if sample.adapter:
            self._adapter_last_used_at[(*key, sample.adapter)] = now

    def demand_of(
        self, service: str, waiting_ms: dict[str, int]
    ) -> _planner.Demand:
        """Return the demand for a service's models now."""
        now = self._clock.now()
        rates, idle_ms = {}, {}
        for key, rate in self._rates.items():
            if key[0] != service:
                continue
            idle_ms[key[1]] = now - rate.last_request_at
            decayed = self._decayed_rate(key, now)
            if decayed > MIN_TOKENS_PER_S:
                rates[key[1]] = decayed
        return _planner.Demand(rates, idle_ms, waiting_ms)

    def adapter_last_used_at(
        self, service: str, model: str, adapter: str
    ) -> int:
        """Return when an adapter was last asked for, or 0."""
        return self._adapter_last_used_at.get((service, model, adapter), 0)

    def _decayed_rate(self, key: tuple[str, str], now: int) -> float:
        rate = self._rates.get(key)
        if rate is None:
            return 0.0
        age_ms = now - rate.last_request_at
        return rate.tokens_per_s * math.exp(-age_ms / RATE_TIME_CONSTANT_MS)
