"""Loads adapters on replicas that hold their models.

Some are loaded as a request asks for them, others ahead of requests:
``_adapter_plan`` decides which.
"""

from __future__ import annotations

import anyio

from geraniumlink import _clock
from geraniumlink.residency import _adapter_plan
from geraniumlink.residency import _demand
from geraniumlink.residency import _order_sender
from geraniumlink.residency import _replica_states

# Pause before more adapters are loaded ahead on a replica where one could not
# be. Whatever prevented it has hardly changed before.
FAILURE_PAUSE_MS = 1000


class AdapterLoader:
    """Loads adapters; concurrent calls for the same one share a load."""

    def __init__(
        self,
        order_sender: _order_sender.OrderSender,
        demands: _demand.DemandTracker,
        clock: _clock.Clock,
    ) -> None:
        self._order_sender = order_sender
        self._demands = demands
        self._clock = clock
        self._loading: dict[tuple[str, str, str], anyio.Event] = {}

    async def ensure_loaded(
        self,
        service: str,
        model: str,
        adapter: str,
        candidates: list[_replica_states.ReplicaState],
        slots: int,
    ) -> bool:
        """Load an adapter on one of the candidates.

        Those with the fewest adapters are tried first.

        :param candidates: replicas that hold its model and accept orders.
        :param slots: how many adapters a replica has room for.
        :returns: whether it may be resident now. After another call's load
            that is True in any case, and the caller checks.
        """
        key = (service, model, adapter)
        loading = self._loading.get(key)
        if loading is not None:
            await loading.wait()
            return True
        finished = self._loading[key] = anyio.Event()
        try:
            for state in sorted(candidates, key=_adapter_count):
                if await self._load_at(state, key, slots, may_unload=True):
                    return True
            return False
        finally:
            del self._loading[key]
            finished.set()

    async def load_ahead(
        self,
        service: str,
        state: _replica_states.ReplicaState,
        loads: list[_adapter_plan.Load],
        slots: int,
    ) -> None:
        """Load adapters on a replica one after the other.

        Stops at the first that can't be loaded, and then leaves the replica
        alone for a while.
        """
        for load in loads:
            key = (service, load.model, load.adapter)
            if not await self._load_at(
                state, key, slots, may_unload=load.is_asked_for
            ):
                now = self._clock.now()
                state.no_adapters_ahead_until = now + FAILURE_PAUSE_MS
                return

    async def _load_at(
        self,
        state: _replica_states.ReplicaState,
        key: tuple[str, str, str],
        slots: int,
        *,
        may_unload: bool,
    ) -> bool:
        """Load an adapter on a replica, after an unload if it is full."""
        service, model, adapter = key
        async with state.order_lock:
            if len(state.charged_adapters()) >= slots:
                if not may_unload:
                    return False
                if not await self._unload_unused(service, state):
                    return False
                if len(state.charged_adapters()) >= slots:
                    return False
            return await self._order_sender.load_adapter(state, model, adapter)

    async def _unload_unused(
        self, service: str, state: _replica_states.ReplicaState
    ) -> bool:
        """Unload the least recently used adapter, unless it may be in use.

        Returns whether its slot is free now.
        """
        last_used_at = {
            (model, adapter): self._demands.adapter_last_used_at(
                service, model, adapter
            )
            for model, adapters in state.models.items()
            for adapter in adapters
        }
        if not last_used_at:
            return False
        # By name among equals, so that the choice depends on the inputs alone.
        least_recent = min(
            last_used_at, key=lambda entry: (last_used_at[entry], entry)
        )
        unused_ms = self._clock.now() - last_used_at[least_recent]
        if unused_ms < _adapter_plan.IN_USE_MS:
            return False
        return await self._order_sender.unload_adapter(state, *least_recent)


def _adapter_count(state: _replica_states.ReplicaState) -> int:
    return len(state.charged_adapters())
