"""Chooses the instance to which a request is passed on.

An instance without a path to any replica serves its clients through others.
A request is passed on once: who gets it sends it to a replica, or says that
it can't, so there are no loops even if instances believe wrong things of
each other.
"""

from __future__ import annotations

from collections.abc import Collection
import random
import typing

from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

# How long an instance is left out after it failed, or took no request.
FAILED_MS = 1000
# Instances compared at random: the one with fewer requests from here is
# chosen.
SAMPLE_SIZE = 2
# Requests of other instances that are in flight here at most. Less urgent ones
# get a smaller part of it.
MAX_RELAYED = 128
LEAST_PART = 0.5
PART_PER_PRIORITY = 0.25


class Directory(typing.Protocol):
    """Knows the other instances."""

    @property
    def others(self) -> Collection[str]:
        """Addresses of the instances that were heard of lately."""

    @property
    def without_path(self) -> Collection[str]:
        """Addresses of those that have no path to any replica."""


class Peer:
    """Another instance, to which requests are passed on."""

    def __init__(self, address: str) -> None:
        self.name = address
        self.address = _settings.parse_address(address)
        # Stands for the instance in an attempt, which counts its requests
        # and when it was last heard.
        self.backend = _replicas.Replica(
            _types.ReplicaEntry(
                name=address,
                service="",
                address=self.address,
                data_centre="",
                slots=0,
                leaving=False,
                started_at=0,
                residents={},
            )
        )
        self.failed_at: int | None = None


class Peers:
    """The other instances as this one knows them."""

    def __init__(
        self,
        directory: Directory,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._random = random_source
        self._known: dict[str, Peer] = {}

    def choose(self) -> Peer | None:
        """Return an instance to pass a request on to, if there is one."""
        others = set(self._directory.others)
        for name in self._known.keys() - others:
            del self._known[name]
        now = self._clock.now()
        usable = [
            name
            for name in sorted(others - set(self._directory.without_path))
            if not self._has_failed(name, now)
        ]
        if not usable:
            return None
        sample = self._random.sample(usable, min(SAMPLE_SIZE, len(usable)))
        peers = [self._known.setdefault(n, Peer(n)) for n in sample]
        return min(peers, key=lambda peer: peer.backend.in_flight)

    def note_failure(self, peer: Peer) -> None:
        """Record that it did not answer, or takes no requests now."""
        peer.failed_at = self._clock.now()

    def _has_failed(self, name: str, now: int) -> bool:
        peer = self._known.get(name)
        return (
            peer is not None
            and peer.failed_at is not None
            and now - peer.failed_at < FAILED_MS
        )


def has_room(relayed_in_flight: int, priority: int) -> bool:
    """Whether a request of another instance is taken, by its priority."""
    part = max(LEAST_PART, 1 - PART_PER_PRIORITY * priority)
    return relayed_in_flight < part * MAX_RELAYED
