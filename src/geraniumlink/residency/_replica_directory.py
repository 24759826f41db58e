"""The controller's records of the registered replicas, and who holds what."""

from __future__ import annotations

import collections
from collections.abc import Collection

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.residency import _replica_states
from geraniumlink.residency import _requirements
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _replicas

# How long the list of the replicas that hold each model is reused.
HOLDERS_REUSE_MS = 10


class ReplicaDirectory:
    """One record for each registered process of a replica with models."""

    def __init__(
        self,
        active_configuration: _active_configuration.ActiveConfiguration,
        replicas: _replicas.Replicas,
        clock: _clock.Clock,
    ) -> None:
        self._active_configuration = active_configuration
        self._replicas = replicas
        self._clock = clock
        self._states: dict[str, _replica_states.ReplicaState] = {}
        # The replicas that hold each model, and until when that is reused.
        self._holders: dict[str, list[_replica_states.ReplicaState]] = {}
        self._holders_valid_until = 0
        # Replicas that instances can't connect to. Their registered entries
        # expire only seconds later.
        self._unreachable: set[str] = set()
        # Replicas that turned some instance away for a while.
        self._backing_off: set[str] = set()

    def get(self, name: str) -> _replica_states.ReplicaState:
        """Return the record of a replica.

        :raises KeyError: if there is none.
        """
        return self._states[name]

    def states(self) -> Collection[_replica_states.ReplicaState]:
        """Return all records."""
        return self._states.values()

    def clear(self) -> None:
        """Drop all records."""
        self._states.clear()
        self.forget_holders()

    def sync(self) -> None:
        """Keep one record for each registered process of a replica."""
        configuration = self._active_configuration.current
        if configuration is None:
            return
        seen = set()
        for service in configuration.services.values():
            if service.engine is None:
                continue
            for replica in self._replicas.registered(service.name):
                entry = replica.entry
                seen.add(entry.name)
                known = self._states.get(entry.name)
                if known is None or known.started_at != entry.started_at:
                    self._states[entry.name] = _replica_states.ReplicaState(
                        entry
                    )
                    self.forget_holders()
        for name in self._states.keys() - seen:
            del self._states[name]
            self.forget_holders()

    def set_unreachable(self, replicas: set[str]) -> None:
        """Set the replicas to leave out, even if they are registered."""
        if replicas != self._unreachable:
            _logs.event("unreachable", replicas=sorted(replicas))
        self._unreachable = replicas

    def set_backing_off(self, replicas: set[str]) -> None:
        """Set the replicas that turned some instance away for a while."""
        self._backing_off = replicas

    def available(self, service: str) -> list[_replica_states.ReplicaState]:
        """Return the records of the replicas that may get requests now.

        Those that limit their rate, or turned an instance away for a while,
        are left out while they are the smaller part, so that models which
        only they hold get another copy.
        """
        replicas = self._replicas.available(service)
        unlimited = [
            replica
            for replica in replicas
            if replica.rate_limit.per_s is None
            and replica.entry.name not in self._backing_off
        ]
        if 2 * len(unlimited) > len(replicas):
            replicas = unlimited
        states = [
            self._states[replica.entry.name]
            for replica in replicas
            if replica.entry.name in self._states
            and replica.entry.name not in self._unreachable
        ]
        return [state for state in states if not state.has_ended]

    def is_available(
        self, state: _replica_states.ReplicaState, service: str
    ) -> bool:
        """Whether a replica of a service may get requests now."""
        known = self._replicas.get(state.name)
        return (
            known is not None
            and not state.has_ended
            and known.entry.service == service
            and state.name not in self._unreachable
            and self._replicas.is_available(state.name)
        )

    def find_serving(
        self, requirement: _requirements.Requirement, avoid: set[str]
    ) -> list[_replica_states.ReplicaState]:
        """Return the replicas that can serve a requirement.

        :param avoid: names of replicas to leave out.
        """
        return [
            state
            for state in self._holders_of(requirement.model)
            if state.can_serve(requirement.model, requirement.adapter)
            and state.name not in avoid
            and self.is_available(state, requirement.service)
        ]

    def forget_holders(self) -> None:
        """Have the list of holders made anew, as a record has changed."""
        self._holders_valid_until = 0

    def _holders_of(self, model: str) -> list[_replica_states.ReplicaState]:
        """Return the replicas that hold a model, as of HOLDERS_REUSE_MS ago.

        Hundreds of calls may wait for models, each of which looks again
        several times a second.
        """
        now = self._clock.now()
        if now >= self._holders_valid_until:
            self._holders_valid_until = now + HOLDERS_REUSE_MS
            self._holders = collections.defaultdict(list)
            for state in self._states.values():
                for held in state.models:
                    self._holders[held].append(state)
        return self._holders.get(model, [])
