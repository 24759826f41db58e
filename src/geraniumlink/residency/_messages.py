"""What the messages between instances hold."""

from __future__ import annotations

import typing


class ReplicaLoad(typing.NamedTuple):
    """Requests in flight at a replica, and prompt tokens unread by rank."""

    in_flight: int
    prefilling: dict[int, int]

    def plus(self, other: ReplicaLoad) -> ReplicaLoad:
        prefilling = dict(self.prefilling)
        for rank, tokens in other.prefilling.items():
            prefilling[rank] = prefilling.get(rank, 0) + tokens
        return ReplicaLoad(self.in_flight + other.in_flight, prefilling)

    def minus(self, other: ReplicaLoad) -> ReplicaLoad:
        """Return what is left without a part of this load."""
        prefilling = dict(self.prefilling)
        for rank, tokens in other.prefilling.items():
            prefilling[rank] = prefilling.get(rank, 0) - tokens
        return ReplicaLoad(self.in_flight - other.in_flight, prefilling)


class LastReport(typing.NamedTuple):
    """When an instance reported, and which replicas it can't reach."""

    received_at: int
    unreachable: frozenset[str]


def loads_to_json(
    loads: dict[str, ReplicaLoad],
) -> dict[str, list[typing.Any]]:
    """Leave out what is zero."""
    return {
        replica: [
            load.in_flight,
            [[r, tokens] for r, tokens in load.prefilling.items() if tokens],
        ]
        for replica, load in loads.items()
        if load.in_flight
    }


class Report(typing.TypedDict):
    instance: str
    # Service, model, adapter, prompt tokens.
    uses: list[list[typing.Any]]
    # Revisions of the store's kinds that are known there.
    known: dict[str, int]
    # By replica: requests in flight, then pairs of rank and prompt tokens.
    loads: dict[str, list[typing.Any]]
    # Replicas that could not be connected to lately.
    unreachable: list[str]
    suspicions: list[typing.Any]
