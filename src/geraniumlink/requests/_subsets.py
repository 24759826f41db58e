"""Which replicas of a service an instance uses first.

With several hundred instances before a replica, each one's share of its
limit would be below one request, and each replica would hold a connection
from every instance. So an instance uses a subset, drawn by rendezvous
hashing: it changes little when replicas or instances come and go, and needs
no message.
Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", IEEE/ACM Transactions on Networking 1998.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import typing

from geraniumlink.backends import _backends

# A subset of one would leave nowhere to go when its replica is lost.
MIN_SUBSET_SIZE = 2


class Subset(typing.NamedTuple):
    """The replicas of one service that this instance uses first."""

    keys: frozenset[_backends.Key]
    instances: int
    # How many instances a replica is expected to have before it.
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
    """Shrink the subset until each instance's share is one or more."""
    total_limit = sum(backend.declared.max_in_flight for backend in backends)
    size = max(MIN_SUBSET_SIZE, total_limit // max(1, instances))
    return min(len(backends), replicas_per_service, size)


def rendezvous_rank(name: str, key: _backends.Key) -> bytes:
    """Return the rank of a replica for an instance or a session."""
    text = f"{name}\0{key.deployment}\0{key.replica}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
