"""Seeded traces of the demand for models.

Popularity is skewed, each model's demand moves tenfold within an hour, and
bursts come without warning. Values are mean requests in flight.
"""

from __future__ import annotations

import math
import random
import typing

# The exponent of Zipf's law for popularity.
SKEW = 1.0
# The lowest and highest factor that a model's demand moves between, which
# makes tenfold; a new target is drawn after each of these times.
DRIFT = (-0.5 * math.log(10), 0.5 * math.log(10))
DRIFT_S = (1200, 3600)
BURST_FACTOR = (4.0, 10.0)
BURST_S = (60, 300)
# Mean time between two bursts of one model.
BURST_EVERY_S = 7200


class _Model:
    """One model's demand as it moves."""

    def __init__(self, base: float, source: random.Random) -> None:
        self._base = base
        self._random = source
        self._from = self._to = source.uniform(*DRIFT)
        self._start = self._end = 0.0
        self._burst_end = 0.0
        self._burst = 1.0

    def at(self, second: float) -> float:
        if second >= self._end:
            self._from, self._to = self._to, self._random.uniform(*DRIFT)
            self._start = second
            self._end = second + self._random.uniform(*DRIFT_S)
        if second >= self._burst_end:
            self._burst = 1.0
            if self._random.random() < 1 / BURST_EVERY_S:
                self._burst = self._random.uniform(*BURST_FACTOR)
                self._burst_end = second + self._random.uniform(*BURST_S)
        done = (second - self._start) / (self._end - self._start)
        drift = math.exp(self._from + done * (self._to - self._from))
        return self._base * drift * self._burst


class Trace(typing.NamedTuple):
    """Demand by second, then by model."""

    seconds: list[dict[str, float]]


def trace(
    models: list[str], mean_total: float, duration_s: int, seed: int
) -> Trace:
    """Return a trace whose total is ``mean_total`` on average."""
    source = random.Random(seed)
    ranks = list(range(1, len(models) + 1))
    source.shuffle(ranks)
    moving = {
        name: _Model(rank**-SKEW, random.Random(source.random()))
        for name, rank in zip(models, ranks, strict=True)
    }
    seconds = [
        {name: model.at(second) for name, model in moving.items()}
        for second in range(duration_s)
    ]
    total = sum(sum(second.values()) for second in seconds)
    scale = mean_total * duration_s / total
    return Trace(
        [
            {name: value * scale for name, value in second.items()}
            for second in seconds
        ]
    )
