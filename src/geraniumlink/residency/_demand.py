"""What callers ask for, as the instances report it."""

from __future__ import annotations

import math
import typing

from geraniumlink import _clock
from geraniumlink.residency import _planner

# Time constant of the rates: long enough for some requests of each model in
# use, short against the time in which demand moves.
RATE_MS = 2500
# A rate below this is taken for none.
LEAST_RATE = 1.0


class Use(typing.NamedTuple):
    """What one instance was asked for since its last report."""

    service: str
    model: str
    adapter: str
    prompt_tokens: int


class _Rate(typing.NamedTuple):
    tokens_per_s: float
    asked_at: int


class Demands:
    """Rates of demand by service and model, and the last use of adapters."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._rates: dict[tuple[str, str], _Rate] = {}
        self._adapters: dict[tuple[str, str, str], int] = {}

    def note(self, use: Use) -> None:
        """Count a use that was reported now."""
        now = self._clock.now()
        key = (use.service, use.model)
        rate = self._faded(key, now) + use.prompt_tokens * 1000 / RATE_MS
        self._rates[key] = _Rate(rate, now)
        if use.adapter:
            self._adapters[(*key, use.adapter)] = now

    def of_service(
        self, service: str, wanted: dict[str, int]
    ) -> _planner.Demand:
        """Return the demand for a service's models now."""
        now = self._clock.now()
        rates, idle_ms = {}, {}
        for key, rate in self._rates.items():
            if key[0] != service:
                continue
            idle_ms[key[1]] = now - rate.asked_at
            faded = self._faded(key, now)
            if faded > LEAST_RATE:
                rates[key[1]] = faded
        return _planner.Demand(rates, idle_ms, wanted)

    def adapter_used_at(self, service: str, model: str, adapter: str) -> int:
        """Return when an adapter was last asked for, or 0."""
        return self._adapters.get((service, model, adapter), 0)

    def _faded(self, key: tuple[str, str], now: int) -> float:
        rate = self._rates.get(key)
        if rate is None:
            return 0.0
        age_ms = now - rate.asked_at
        return rate.tokens_per_s * math.exp(-age_ms / RATE_MS)
