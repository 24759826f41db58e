"""The demand for each model, smoothed from what engines report.

Engines report the requests that run; those that were refused are not in it.
A model whose holders are full shows by how busy they are.
"""

from __future__ import annotations

import math

SMOOTHING_MS = 30_000


class DemandEstimate:
    """Exponentially smoothed requests in flight, by model.

    A burst shorter than the smoothing time moves nothing, which is the
    hysteresis of placement on the side of its input.
    """

    def __init__(self) -> None:
        self._smoothed: dict[str, float] = {}
        self._updated_ms: int | None = None

    def add_sample(self, running: dict[str, int], now_ms: int) -> None:
        """Take in the requests that run now, by model."""
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
        """Return mean requests in flight, by model."""
        return dict(self._smoothed)
