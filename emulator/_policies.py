"""The policies that are compared: the product's and baselines."""

from __future__ import annotations

import random
import typing

from geraniumlink.serving import _balance
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types


class Policy(typing.NamedTuple):
    """How replicas are chosen, and whether models are moved.

    The name is written to the report.
    """

    name: str
    choose: _balance.ChooseReplica
    # Whether the controller moves models.
    moves_models: bool = True


def _make_choice(
    replica: _replicas.Replica,
    request: _types.Request,
    priority: int,
    now: int,
) -> _balance.Choice:
    # The expected time only decides on refusals, which are not compared.
    expected_ms = _balance.estimate_first_event_ms(
        replica, request, priority, now
    )
    return _balance.Choice(replica, expected_ms)


def _random_of_two(
    replicas: list[_replicas.Replica],
    request: _types.Request,
    priority: int,
    data_centre: str,
    now: int,
    random_source: random.Random,
) -> _balance.Choice:
    """Choose the less busy of two random replicas.

    Only this instance's own requests in flight are counted.

    Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 2001.
    """
    drawn = random_source.sample(replicas, min(2, len(replicas)))
    best = min(drawn, key=lambda replica: replica.in_flight)
    return _make_choice(best, request, priority, now)


def _least_reported(
    replicas: list[_replicas.Replica],
    request: _types.Request,
    priority: int,
    data_centre: str,
    now: int,
    random_source: random.Random,
) -> _balance.Choice:
    """Choose the replica that last reported the least load.

    Ties are broken at random.
    """
    best = min(
        replicas,
        key=lambda replica: (_reported_load(replica), random_source.random()),
    )
    return _make_choice(best, request, priority, now)


def _reported_load(replica: _replicas.Replica) -> int:
    load = replica.load
    return load.running + load.waiting if load else 0


POLICIES = (
    Policy("geraniumlink", _balance.choose_replica),
    Policy("random of two", _random_of_two),
    Policy("least reported load", _least_reported),
    Policy("no moves of models", _balance.choose_replica, moves_models=False),
)
