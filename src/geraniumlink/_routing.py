"""Chooses the backend server for a request.

Many instances choose at once from reports that lag, so the least loaded
server by report would draw all of them. Two servers drawn at random are
compared instead, by this instance's own count first and the report second.
Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", IEEE TPDS 2001.
"""

from __future__ import annotations

import hashlib
import random
import typing
from collections.abc import Iterable

from geraniumlink import _backends

# A session leaves its usual server when that has this much more than the
# mean of own requests. Source: V. Mirrokni et al., "Consistent Hashing with
# Bounded Loads", SODA 2018.
AFFINITY_LOAD_BOUND = 1.25


class Wanted(typing.NamedTuple):
    """What a request needs of a server."""

    deployment: str
    # Empty for a plain service.
    model: str = ""
    adapter: str = ""
    session: str = ""


class Choice(typing.NamedTuple):
    """A server, or why there is none."""

    backend: _backends.Backend | None
    # Whether any server in service holds what is wanted.
    reachable: bool


class Router:
    """Chooses among the backend servers known here."""

    def __init__(
        self, backends: _backends.Backends, random_source: random.Random
    ) -> None:
        self._backends = backends
        self._random = random_source

    def choose(
        self, wanted: Wanted, tried: Iterable[_backends.Key], now: int
    ) -> Choice:
        """Return a server in service with room that was not tried yet."""
        holders = [
            backend
            for backend in self._backends.of(wanted.deployment)
            if backend.state(now) == "serving" and _suits(backend, wanted)
        ]
        excluded = set(tried)
        free = [
            backend
            for backend in holders
            if backend.key not in excluded
            and backend.in_flight < backend.declared.max_in_flight
        ]
        if not free:
            return Choice(None, bool(holders))
        if wanted.session:
            return Choice(_by_session(wanted.session, free), True)
        return Choice(self._two_choices(free), True)

    def _two_choices(self, free: list[_backends.Backend]) -> _backends.Backend:
        drawn = self._random.sample(free, min(2, len(free)))
        return min(drawn, key=_load)


def _suits(backend: _backends.Backend, wanted: Wanted) -> bool:
    return not wanted.model or backend.holds(wanted.model, wanted.adapter)


def _load(backend: _backends.Backend) -> tuple[float, int]:
    own = backend.in_flight / backend.declared.max_in_flight
    reported = backend.report.in_flight if backend.report else 0
    return own, reported


def _by_session(
    session: str, free: list[_backends.Backend]
) -> _backends.Backend:
    """Rendezvous hashing with a bound on load."""
    mean = sum(backend.in_flight for backend in free) / len(free)
    bound = AFFINITY_LOAD_BOUND * (mean + 1)
    ranked = sorted(free, key=lambda backend: _weight(session, backend))
    for backend in ranked:
        if backend.in_flight + 1 <= bound:
            return backend
    return ranked[0]


def _weight(session: str, backend: _backends.Backend) -> bytes:
    text = f"{session}\0{backend.key.replica}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
