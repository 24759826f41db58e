"""Routers to compare with, behind the interface of ``_routing.Router``.

None of them admits or limits: a request goes to a server at once, and waits
there. ``Earlier`` is the first version of this project's own router.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import random
import typing

from geraniumlink.backends import _backends
from geraniumlink.requests import _routing

_UNLIMITED = 10**9


class _Baseline(_routing.Router):
    """Sends wherever ``_select`` says, with no limit and no memory."""

    def choose(
        self,
        requirements: _routing.Requirements,
        tried: Iterable[_backends.Key],
        now: int,
    ) -> _routing.Choice:
        holders = self._holders(requirements, now)
        excluded = set(tried)
        untried = [entry for entry in holders if entry.key not in excluded]
        if not untried:
            return _routing.Choice(None, bool(holders))
        return _routing.Choice(self._select(requirements, untried, now), True)

    def free_capacity(
        self, requirements: _routing.Requirements, now: int
    ) -> _routing.FreeCapacity:
        return _routing.FreeCapacity(
            len(self._holders(requirements, now)), _UNLIMITED
        )

    def typical_first_token_ms(
        self, requirements: _routing.Requirements, now: int
    ) -> float:
        return 0.0


class RoundRobin(_Baseline):
    """Takes servers in turn."""

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        self._turns = itertools.count(random.randrange(1000))

    def _select(
        self,
        requirements: _routing.Requirements,
        free: list[_backends.Backend],
        now: int,
    ) -> _backends.Backend:
        return free[next(self._turns) % len(free)]


class LeastReported(_Baseline):
    """Takes the server with the least load by its last report."""

    def _select(
        self,
        requirements: _routing.Requirements,
        free: list[_backends.Backend],
        now: int,
    ) -> _backends.Backend:
        return min(free, key=_reported)


class Earlier(_Baseline):
    """The first version: two random choices, limits counted alone."""

    def choose(
        self,
        requirements: _routing.Requirements,
        tried: Iterable[_backends.Key],
        now: int,
    ) -> _routing.Choice:
        holders = self._holders(requirements, now)
        excluded = set(tried)
        free = [
            entry
            for entry in holders
            if entry.key not in excluded
            and entry.in_flight < entry.declared.max_in_flight
        ]
        if not free:
            return _routing.Choice(None, bool(holders))
        drawn = self._random.sample(free, min(2, len(free)))
        chosen = min(drawn, key=lambda entry: (_own(entry), _reported(entry)))
        return _routing.Choice(chosen, True)


def _own(backend: _backends.Backend) -> float:
    return backend.in_flight / backend.declared.max_in_flight


def _reported(backend: _backends.Backend) -> int:
    return backend.report.in_flight if backend.report else 0


ROUTERS: dict[str, type[_routing.Router]] = {
    "geraniumlink": _routing.Router,
    "round_robin": RoundRobin,
    "least_reported": LeastReported,
    "earlier": Earlier,
}
