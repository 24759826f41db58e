"""Brings adapters to the replicas that hold their models."""

from __future__ import annotations

import anyio

from geraniumlink import _clock
from geraniumlink.residency import _demand
from geraniumlink.residency import _order_sender
from geraniumlink.residency import _replica_states

# An adapter that was asked for within this may be in use; a stream usually
# ends within it.
ADAPTER_IN_USE_MS = 2500


class AdapterLoader:
    """Loads each adapter that is asked for once, however many ask."""

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
        """Load an adapter at one of some replicas that hold its model.

        ``places`` is how many adapters a replica has room for. Returns
        whether it may be there now.
        """
        key = (service, model, adapter)
        loading = self._loading.get(key)
        if loading is not None:
            await loading.wait()
            return True
        done = self._loading[key] = anyio.Event()
        try:
            for state in sorted(candidates, key=_adapter_count):
                if await self._load_at(state, key, slots):
                    return True
            return False
        finally:
            del self._loading[key]
            done.set()

    async def _load_at(
        self,
        state: _replica_states.ReplicaState,
        key: tuple[str, str, str],
        slots: int,
    ) -> bool:
        service, model, adapter = key
        async with state.order_lock:
            if len(state.charged_adapters()) >= slots:
                if not await self._unload_unused(service, state):
                    return False
                if len(state.charged_adapters()) >= slots:
                    return False
            return await self._order_sender.load_adapter(state, model, adapter)

    async def _unload_unused(
        self, service: str, state: _replica_states.ReplicaState
    ) -> bool:
        """Unload the adapter that was unused for longest, if long enough."""
        used = {
            (model, adapter): self._demands.adapter_last_used_at(
                service, model, adapter
            )
            for model, adapters in state.models.items()
            for adapter in adapters
        }
        if not used:
            return False
        oldest = min(used, key=lambda entry: used[entry])
        if self._clock.now() - used[oldest] < ADAPTER_IN_USE_MS:
            return False
        return await self._order_sender.unload_adapter(state, *oldest)


def _adapter_count(state: _replica_states.ReplicaState) -> int:
    return len(state.charged_adapters())
