"""Estimates the demand for each model from the requests that engines run.

Refused requests are not included. Excess demand for a model still shows,
since the replicas that hold it then run at full capacity.
"""

from __future__ import annotations

import math

# Time constant of the exponential smoothing.
SMOOTHING_MS = 30_000


class DemandEstimate:
    """Exponentially smoothed requests in flight, by model.

    A burst that is short against the time constant hardly changes the
    estimate, so placement doesn't load and unload copies for it.
    """

    def __init__(self) -> None:
        self._smoothed: dict[str, float] = {}
        self._updated_ms: int | None = None

    def add_sample(self, running: dict[str, int], now_ms: int) -> None:
        """Update the estimate with the requests that run now, by model."""
        if self._updated_ms is None:
            self._smoothed = {
                model: float(value) for model, value in running.items()
            }
        else:
            elapsed_ms = max(0, now_ms - self._updated_ms)
            weight = 1 - math.exp(-elapsed_ms / SMOOTHING_MS)
            for model in self._smoothed.keys() | running.keys():
                before = self._smoothed.get(model, 0.0)
                change = running.get(model, 0) - before
                self._smoothed[model] = before + weight * change
        self._updated_ms = now_ms

    def mean_in_flight(self) -> dict[str, float]:
        """Return the mean number of requests in flight, by model."""
        return dict(self._smoothed)
