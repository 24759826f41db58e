"""Estimates how the demand for models loads the replicas that hold them."""

from __future__ import annotations

import typing

# How often each model's demand is divided anew, given the other models'.
BALANCING_ROUNDS = 4


class LoadDistribution(typing.NamedTuple):
    """The expected load of replicas, in mean requests in flight."""

    # By replica.
    load: dict[str, float]
    # By model and replica; its sum over models is the replica's load.
    share: dict[tuple[str, str], float]


def distribute_load(
    demand: dict[str, float],
    holders: dict[str, list[str]],
    capacity: dict[str, float],
) -> LoadDistribution:
    """Divide each model's demand so that its holders are equally utilised.

    ``demand`` is in requests in flight by model, ``holders`` lists the
    replicas with a copy of each model, and ``capacity`` is the number of
    requests that each replica runs at once. The utilisation of a replica is
    its load divided by its capacity.

    The router sends a request to the less loaded of two holders. Over time
    the holders of a model therefore reach the same utilisation, except those
    that other models load more than that. Models are handled in turn, and a
    few rounds are enough to converge.
    """
    load = dict.fromkeys(capacity, 0.0)
    share: dict[tuple[str, str], float] = {}
    models = [model for model in demand if holders.get(model)]
    for _ in range(BALANCING_ROUNDS):
        for model in models:
            for holder in holders[model]:
                load[holder] -= share.get((model, holder), 0.0)
            utilisation = _common_utilisation(
                demand[model], holders[model], load, capacity
            )
            for holder in holders[model]:
                holder_share = max(
                    0.0, utilisation * capacity[holder] - load[holder]
                )
                share[(model, holder)] = holder_share
                load[holder] += holder_share
    return LoadDistribution(load, share)


def _common_utilisation(
    model_demand: float,
    holders: list[str],
    load: dict[str, float],
    capacity: dict[str, float],
) -> float:
    """Return the utilisation of the holders that share a model's demand.

    ``load`` is the holders' load from other models.

    The demand fills the least utilised holders first, up to a common
    utilisation. Each step includes one more holder, until the next one is
    more utilised than that already.
    """
    total_load = total_capacity = 0.0
    utilisation = 0.0
    ranked = sorted(
        holders, key=lambda holder: load[holder] / capacity[holder]
    )
    for index, holder in enumerate(ranked):
        total_load += load[holder]
        total_capacity += capacity[holder]
        utilisation = (total_load + model_demand) / total_capacity
        if index + 1 == len(ranked):
            break
        next_holder = ranked[index + 1]
        if utilisation <= load[next_holder] / capacity[next_holder]:
            break
    return utilisation
