"""Chooses the backend server for a request.

Many instances choose at once from reports that lag, so the least loaded
server by report would draw all of them. Two servers drawn at random are
compared instead, by this instance's own count first and the report second.
Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", IEEE TPDS 2001.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import random
import typing

from geraniumlink.backends import _backends
from geraniumlink.requests import _first_token_times
from geraniumlink.requests import _replica_limits
from geraniumlink.requests import _subsets

# A session leaves its usual server when that has this much more than the
# mean of own requests. Source: V. Mirrokni et al., "Consistent Hashing with
# Bounded Loads", SODA 2018.
AFFINITY_LOAD_BOUND = 1.25
# A session does not go to a server that is this many times slower.
AFFINITY_MAX_SLOWDOWN = _first_token_times.SLOW_RATIO
# How long the count of instances and the subsets drawn by it are kept.
SUBSET_CACHE_MS = 1000


class Requirements(typing.NamedTuple):
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
    any_eligible: bool


class FreeCapacity(typing.NamedTuple):
    """How much this instance may still send for what is wanted."""

    # Servers in service that hold it.
    servers: int
    # Requests that they may take now.
    free: int


class SubsetParameters(typing.NamedTuple):
    """This instance among the live ones, all of which share the replicas."""

    instance_name: str = ""
    live_instance_count: Callable[[], int] = lambda: 1
    replicas_per_service: int = 16


class _ServerCapacity(typing.NamedTuple):
    """A server and how many more requests it may have from here."""

    backend: _backends.Backend
    free: int


class Router:
    """Chooses among the backend servers known here."""

    def __init__(
        self,
        backends: _backends.Backends,
        random_source: random.Random,
        subset_parameters: SubsetParameters | None = None,
    ) -> None:
        self._backends = backends
        self._random = random_source
        self._subset_parameters = subset_parameters or SubsetParameters()
        self._limits = _replica_limits.ReplicaLimits(random_source)
        self._observed_times = _first_token_times.FirstTokenTimes()
        self._subsets: dict[str, tuple[int, _subsets.Subset]] = {}

    def choose(
        self,
        requirements: Requirements,
        tried: Iterable[_backends.Key],
        now: int,
    ) -> Choice:
        """Return a server in service with room that was not tried yet."""
        holders = self._holders(requirements, now)
        excluded = set(tried)
        free = [
            capacity.backend
            for capacity in self._server_capacities(holders, now)
            if capacity.free > 0 and capacity.backend.key not in excluded
        ]
        # Replicas outside the subset serve when all of it is full or lost.
        subset = self._subset(requirements.deployment, now).keys
        free = [entry for entry in free if entry.key in subset] or free
        if not free:
            return Choice(None, bool(holders))
        return Choice(self._select(requirements, free, now), True)

    def free_capacity(
        self, requirements: Requirements, now: int
    ) -> FreeCapacity:
        """Return how much may be sent now."""
        holders = self._holders(requirements, now)
        capacities = self._server_capacities(holders, now)
        free = sum(max(0, capacity.free) for capacity in capacities)
        return FreeCapacity(len(holders), free)

    def typical_first_token_ms(
        self, requirements: Requirements, now: int
    ) -> float:
        """Return the usual time to the first token, 0 if none was seen."""
        return (
            self._observed_times.median_ms(self._holders(requirements, now))
            or 0.0
        )

    def observe_first_token(
        self, backend: _backends.Backend, milliseconds: float, now: int
    ) -> None:
        """Take in how long a server took to send its first token."""
        self._observed_times.observe(backend, milliseconds, now)

    def observe_refusal(
        self, backend: _backends.Backend, reason: str, now: int
    ) -> None:
        """Take in why a server did not begin a request."""
        if reason == "full":
            self._limits.back_off(backend, now)

    def _holders(
        self, requirements: Requirements, now: int
    ) -> list[_backends.Backend]:
        """Return the servers in service, those with the adapter if any."""
        serving = [
            backend
            for backend in self._backends.for_deployment(
                requirements.deployment
            )
            if backend.state(now) == "serving"
        ]
        if not requirements.model:
            return serving
        with_adapter = [
            backend
            for backend in serving
            if backend.has_resident(requirements.model, requirements.adapter)
        ]
        if with_adapter or not requirements.adapter:
            return with_adapter
        # An engine may load an adapter on demand, and refuses if it can't.
        return [
            entry
            for entry in serving
            if entry.has_resident(requirements.model, "")
        ]

    def _server_capacities(
        self, holders: list[_backends.Backend], now: int
    ) -> list[_ServerCapacity]:
        """Return how much may be sent to each of these servers."""
        if not holders:
            return []
        subset = self._subset(holders[0].key.deployment, now)
        # A model that is held only outside the subset stays reachable.
        all_outside_subset = all(
            entry.key not in subset.keys for entry in holders
        )
        capacities = []
        for backend in holders:
            instances = subset.instances
            guaranteed = 0
            if backend.key in subset.keys:
                instances = subset.instances_per_replica
            if backend.key in subset.keys or all_outside_subset:
                max_in_flight = backend.declared.max_in_flight
                guaranteed = _replica_limits.fair_share(
                    max_in_flight, instances
                )
            limit = self._limits.limit(
                backend,
                instances,
                guaranteed,
                self._observed_times.has_no_queue(backend),
                now,
            )
            capacities.append(
                _ServerCapacity(backend, limit - backend.in_flight)
            )
        return capacities

    def _subset(self, deployment: str, now: int) -> _subsets.Subset:
        selected_at, subset = self._subsets.get(deployment, (None, None))
        if (
            subset is None
            or selected_at is None
            or now - selected_at >= SUBSET_CACHE_MS
        ):
            subset = _subsets.select_subset(
                self._subset_parameters.instance_name,
                max(1, self._subset_parameters.live_instance_count()),
                self._backends.for_deployment(deployment),
                self._subset_parameters.replicas_per_service,
            )
            self._subsets[deployment] = (now, subset)
        return subset

    def _select(
        self,
        requirements: Requirements,
        free: list[_backends.Backend],
        now: int,
    ) -> _backends.Backend:
        median_ms = self._observed_times.median_ms(free)
        if requirements.session:
            preferred = self._select_by_session(
                requirements.session, free, median_ms, now
            )
            if preferred is not None:
                return preferred
        candidates = self._random.sample(free, min(2, len(free)))
        return min(
            candidates, key=lambda backend: self._cost(backend, median_ms, now)
        )

    def _cost(
        self, backend: _backends.Backend, median_ms: float | None, now: int
    ) -> tuple[float, float]:
        """Return own load there with one more, then the estimate of all.

        The report is older than what this instance knows itself, and all
        instances read the same one; it only decides between equals.
        """
        slowdown = self._observed_times.slowdown(backend, median_ms, now)
        own_load = (backend.in_flight + 1) / backend.declared.max_in_flight
        return own_load * slowdown, self._limits.estimated_load(
            backend
        ) * slowdown

    def _select_by_session(
        self,
        session: str,
        free: list[_backends.Backend],
        median_ms: float | None,
        now: int,
    ) -> _backends.Backend | None:
        """Rendezvous hashing with a bound on load."""
        mean = sum(backend.in_flight for backend in free) / len(free)
        bound = AFFINITY_LOAD_BOUND * (mean + 1)
        ranked = sorted(
            free,
            key=lambda entry: _subsets.rendezvous_rank(session, entry.key),
        )
        for backend in ranked:
            slowdown = self._observed_times.slowdown(backend, median_ms, now)
            if slowdown < AFFINITY_MAX_SLOWDOWN and (
                backend.in_flight + 1 <= bound
            ):
                return backend
        return None
