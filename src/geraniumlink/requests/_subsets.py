"""Selects the subset of a service's replicas that an instance uses first.

If several hundred instances used the same replica, each one's share of the
replica's limit would be below one request, and the replica would hold a
connection from every instance. So each instance uses a subset, selected by
rendezvous hashing: the subset changes little when replicas or instances are
added or removed, and instances exchange no messages to select it.
Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", IEEE/ACM Transactions on Networking 1998.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import typing

from geraniumlink.backends import _backends

# With one replica only, the subset would be empty when that one is lost.
MIN_SUBSET_SIZE = 2


class Subset(typing.NamedTuple):
    """The replicas of one service that this instance uses first."""

    keys: frozenset[_backends.Key]
    # Number of live instances.
    instances: int
    # Expected number of instances that have a given replica in their subset.
    instances_per_replica: int


def select_subset(
    instance: str,
    instances: int,
    backends: Iterable[_backends.Backend],
    replicas_per_service: int,
) -> Subset:
    """Return the subset of one instance among ``instances`` live ones."""
    ranked = sorted(
        backends, key=lambda backend: rendezvous_rank(instance, backend.key)
    )
    size = _subset_size(instances, ranked, replicas_per_service)
    chosen = frozenset(backend.key for backend in ranked[:size])
    expected = -(-instances * size // max(1, len(ranked)))
    return Subset(chosen, instances, max(1, min(instances, expected)))


def _subset_size(
    instances: int,
    backends: list[_backends.Backend],
    replicas_per_service: int,
) -> int:
    """Return the size of a subset, at most ``replicas_per_service``.

    It is as large as it can be with a fair share of one request or more per
    replica, but not below ``MIN_SUBSET_SIZE``.
    """
    total_limit = sum(backend.declared.max_in_flight for backend in backends)
    size = max(MIN_SUBSET_SIZE, total_limit // max(1, instances))
    return min(len(backends), replicas_per_service, size)


def rendezvous_rank(name: str, key: _backends.Key) -> bytes:
    """Return the sort key of a replica for an instance or a session name.

    The replica with the lowest key ranks first.
    """
    text = f"{name}\0{key.deployment}\0{key.replica}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
