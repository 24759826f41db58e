"""Estimates how the demand for models spreads over their holders."""

from __future__ import annotations

import typing

ROUNDS = 4


class LoadDistribution(typing.NamedTuple):
    """Mean requests in flight, by replica and by model and replica."""

    load: dict[str, float]
    share: dict[tuple[str, str], float]


def distribute_load(
    demand: dict[str, float],
    holders: dict[str, list[str]],
    capacity: dict[str, float],
) -> LoadDistribution:
    """Share each model's demand so that its holders are equally busy.

    Requests go to the less busy of two holders, so over time the holders of
    a model come to the same utilisation where its demand suffices. Models
    are shared in turn, a few rounds over, which converges.
    """
    load = dict.fromkeys(capacity, 0.0)
    share: dict[tuple[str, str], float] = {}
    models = [model for model in demand if holders.get(model)]
    for _ in range(ROUNDS):
        for model in models:
            for name in holders[model]:
                load[name] -= share.get((model, name), 0.0)
            level = _level(demand[model], holders[model], load, capacity)
            for name in holders[model]:
                part = max(0.0, level * capacity[name] - load[name])
                share[(model, name)] = part
                load[name] += part
    return LoadDistribution(load, share)


def _level(
    amount: float,
    names: list[str],
    load: dict[str, float],
    capacity: dict[str, float],
) -> float:
    """Return the utilisation at which the names take the amount up.

    The least busy fill up first; each step takes one more of them in.
    """
    filling_load = filling_capacity = 0.0
    level = 0.0
    ranked = sorted(names, key=lambda name: load[name] / capacity[name])
    for index, name in enumerate(ranked):
        filling_load += load[name]
        filling_capacity += capacity[name]
        level = (filling_load + amount) / filling_capacity
        if index + 1 == len(ranked):
            break
        following = ranked[index + 1]
        if level <= load[following] / capacity[following]:
            break
    return level
