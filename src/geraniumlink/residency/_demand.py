"""Tracks the demand for models and adapters that instances report."""

from __future__ import annotations

import math
import typing

from geraniumlink import _clock
from geraniumlink.residency import _packing

# Time constant of the exponential decay of the rates: long enough to see
# several requests for each model in use, and short against the time in which
# demand moves between models.
RATE_TIME_CONSTANT_MS = 2500
# Lower rates count as no demand.
MIN_TOKENS_PER_S = 1.0


class DemandSample(typing.NamedTuple):
    """Demand at one instance since its last report, for one model or adapter.

    ``adapter`` is "" for requests to the model itself.
    """

    service: str
    model: str
    adapter: str
    prompt_tokens: int


class _Rate(typing.NamedTuple):
    """The rate of demand for a model as of the last report of it."""

    tokens_per_s: float
    last_request_at: int


class DemandTracker:
    """Decaying demand rates of models, and when adapters were last used."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._observed_since = clock.now()
        self._rates: dict[tuple[str, str], _Rate] = {}
        self._adapter_last_used_at: dict[tuple[str, str, str], int] = {}

    def start_observing(self) -> None:
        """Record that all demand is reported here from now on."""
        self._observed_since = self._clock.now()

    def record(self, sample: DemandSample) -> None:
        """Add a sample that was reported just now."""
        now = self._clock.now()
        key = (sample.service, sample.model)
        rate = (
            self._decayed_rate(key, now)
            + sample.prompt_tokens * 1000 / RATE_TIME_CONSTANT_MS
        )
        self._rates[key] = _Rate(rate, now)
        if sample.adapter:
            self.note_adapter_asked(*key, sample.adapter)

    def note_adapter_asked(
        self, service: str, model: str, adapter: str
    ) -> None:
        """Record that an adapter is asked for now."""
        key = (service, model, adapter)
        self._adapter_last_used_at[key] = self._clock.now()

    def demand_of(
        self, service: str, waiting_ms: dict[str, int]
    ) -> _packing.Demand:
        """Return the present demand for a service's models.

        :param waiting_ms: models that requests wait for, and for how long.
        """
        now = self._clock.now()
        rates, idle_ms = {}, {}
        for key, rate in self._rates.items():
            if key[0] != service:
                continue
            idle_ms[key[1]] = now - rate.last_request_at
            decayed = self._decayed_rate(key, now)
            if decayed > MIN_TOKENS_PER_S:
                rates[key[1]] = decayed
        observed_ms = now - self._observed_since
        return _packing.Demand(rates, idle_ms, waiting_ms, observed_ms)

    def model_last_used_at(self, service: str, model: str) -> int:
        """Return when use of a model was last reported; 0 if never."""
        rate = self._rates.get((service, model))
        return rate.last_request_at if rate else 0

    def adapter_asked_ms_ago(
        self, service: str, model: str, adapter: str
    ) -> float:
        """Return how long ago an adapter was asked for; infinite if never."""
        last = self._adapter_last_used_at.get((service, model, adapter))
        return math.inf if last is None else self._clock.now() - last

    def adapter_last_used_at(
        self, service: str, model: str, adapter: str
    ) -> int:
        """Return when use of an adapter was last reported; 0 if never."""
        return self._adapter_last_used_at.get((service, model, adapter), 0)

    def _decayed_rate(self, key: tuple[str, str], now: int) -> float:
        """Return a model's rate with its decay until now."""
        rate = self._rates.get(key)
        if rate is None:
            return 0.0
        age_ms = now - rate.last_request_at
        return rate.tokens_per_s * math.exp(-age_ms / RATE_TIME_CONSTANT_MS)
