"""Selects the backend server for a request.

Many instances balance load independently, with load reports that are out of
date. If each chose the server with the lowest reported load, all would send
to the same one at once. Instead, two servers with free capacity are sampled
at random and the less loaded is chosen: first by this instance's own
requests in flight, then by the reported load.
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

# A session is sent to another server while its preferred one would have,
# with the new request, more than this multiple of (mean + 1) in flight from
# this instance; the mean is over the free servers. Source: V. Mirrokni et
# al., "Consistent Hashing with Bounded Loads", SODA 2018.
AFFINITY_LOAD_BOUND = 1.25
# A session is not sent to a server whose slowdown reaches this ratio.
AFFINITY_MAX_SLOWDOWN = _first_token_times.SLOW_RATIO
# How long a subset is used before it is selected again from the current
# number of live instances and the current replicas.
SUBSET_CACHE_MS = 1000


class Requirements(typing.NamedTuple):
    """The properties of a request that decide which servers can take it."""

    deployment: str
    # Empty for a plain service.
    model: str = ""
    # Empty for the base model.
    adapter: str = ""
    # Requests with the same session prefer the same server; empty for none.
    session: str = ""


class Choice(typing.NamedTuple):
    """The selected server, or None with whether any server was eligible."""

    backend: _backends.Backend | None
    # Whether any server in state "serving" has the required model; without
    # a selected server, all of these are full or were tried.
    any_eligible: bool


class FreeCapacity(typing.NamedTuple):
    """How many more requests this instance may send for a model."""

    # Number of serving servers that have the model.
    servers: int
    # Requests that may be sent to them now, on top of those in flight.
    free: int


class SubsetParameters(typing.NamedTuple):
    """What determines the replicas that this instance uses first.

    All live instances share the replicas; see ``_subsets``.
    """

    instance_name: str = ""
    live_instance_count: Callable[[], int] = lambda: 1
    # Upper bound of a subset's size, by the setting of the same name.
    replicas_per_service: int = 16


class _ServerCapacity(typing.NamedTuple):
    """A server and how many more requests this instance may send to it.

    ``free`` is negative when the limit fell below the requests in flight.
    """

    backend: _backends.Backend
    free: int


class Router:
    """Selects among the backend servers that this instance knows."""

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
        """Select a serving server with free capacity that is not in tried."""
        eligible = self._holders(requirements, now)
        excluded = set(tried)
        free = [
            capacity.backend
            for capacity in self._server_capacities(eligible, now)
            if capacity.free > 0 and capacity.backend.key not in excluded
        ]
        # Fall back to replicas outside the subset when every replica in it
        # is full, excluded or not serving.
        subset = self._subset(requirements.deployment, now).keys
        free = [entry for entry in free if entry.key in subset] or free
        if not free:
            return Choice(None, bool(eligible))
        return Choice(self._select(requirements, free, now), True)

    def free_capacity(
        self, requirements: Requirements, now: int
    ) -> FreeCapacity:
        """Return how many more requests may be sent now."""
        eligible = self._holders(requirements, now)
        capacities = self._server_capacities(eligible, now)
        free = sum(max(0, capacity.free) for capacity in capacities)
        return FreeCapacity(len(eligible), free)

    def typical_first_token_ms(
        self, requirements: Requirements, now: int
    ) -> float:
        """Return the median time to first token of the model's servers.

        It is 0 if no first token was observed at any of them.
        """
        return (
            self._observed_times.median_ms(self._holders(requirements, now))
            or 0.0
        )

    def observe_first_token(
        self, backend: _backends.Backend, milliseconds: float, now: int
    ) -> None:
        """Record the time from sending a request to its first token."""
        self._observed_times.observe(backend, milliseconds, now)

    def observe_refusal(
        self, backend: _backends.Backend, reason: str, now: int
    ) -> None:
        """Record why a server refused to start a request.

        Only the reason "full" has an effect: this instance then sends no
        more than its guaranteed share for a while.
        """
        if reason == "full":
            self._limits.back_off(backend, now)

    def _holders(
        self, requirements: Requirements, now: int
    ) -> list[_backends.Backend]:
        """Return the serving servers that have the required model.

        Those that also have the required adapter loaded are returned alone
        if there are any.
        """
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
        # An engine may load the adapter on demand; it refuses the request
        # if it can't.
        return [
            entry
            for entry in serving
            if entry.has_resident(requirements.model, "")
        ]

    def _server_capacities(
        self, eligible: list[_backends.Backend], now: int
    ) -> list[_ServerCapacity]:
        """Return how many more requests may be sent to each server.

        Within the subset, a server's limit is shared by the instances that
        are expected to have that server in their subsets. Outside of it,
        nothing is guaranteed and unused capacity is shared by all
        instances.
        """
        if not eligible:
            return []
        subset = self._subset(eligible[0].key.deployment, now)
        # A model that only servers outside the subset have must still be
        # served, so the guarantee then applies to these.
        all_outside_subset = all(
            entry.key not in subset.keys for entry in eligible
        )
        capacities = []
        for backend in eligible:
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
        """Return this instance's subset, selected again when out of date."""
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
        """Select one of the free servers, by session affinity first."""
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
        """Return the sort key of a server; the lower one is chosen.

        It consists of this instance's own load there including the new
        request, and the estimated load by all instances, each multiplied by
        the server's slowdown. The estimate only breaks ties: it rests on a
        report that is older than the instance's own count and that all
        instances read alike.
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
        """Select by rendezvous hashing with bounded load.

        Returns the server ranked first for the session that is neither
        slow nor above the load bound, or None if there is none.
        """
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
