"""Brings adapters to the replicas that hold their models."""

from __future__ import annotations

import anyio

from geraniumlink import _clock
from geraniumlink.residency import _demand
from geraniumlink.residency import _holdings
from geraniumlink.residency import _order_desk

# An adapter that was asked for within this may be in use; a stream usually
# ends within it.
IN_USE_MS = 2500


class AdapterLoader:
    """Loads each adapter that is asked for once, however many ask."""

    def __init__(
        self,
        desk: _order_desk.OrderDesk,
        demands: _demand.Demands,
        clock: _clock.Clock,
    ) -> None:
        self._desk = desk
        self._demands = demands
        self._clock = clock
        self._loading: dict[tuple[str, str, str], anyio.Event] = {}

    async def bring(
        self,
        service: str,
        model: str,
        adapter: str,
        hosts: list[_holdings.Holding],
        places: int,
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
            for holding in sorted(hosts, key=_adapter_count):
                if await self._bring_to(holding, key, places):
                    return True
            return False
        finally:
            del self._loading[key]
            done.set()

    async def _bring_to(
        self,
        holding: _holdings.Holding,
        key: tuple[str, str, str],
        places: int,
    ) -> bool:
        service, model, adapter = key
        async with holding.ordering:
            if len(holding.charged_adapters()) >= places:
                if not await self._make_room(service, holding):
                    return False
                if len(holding.charged_adapters()) >= places:
                    return False
            return await self._desk.load_adapter(holding, model, adapter)

    async def _make_room(
        self, service: str, holding: _holdings.Holding
    ) -> bool:
        """Unload the adapter that was unused for longest, if long enough."""
        used = {
            (model, adapter): self._demands.adapter_used_at(
                service, model, adapter
            )
            for model, adapters in holding.models.items()
            for adapter in adapters
        }
        if not used:
            return False
        oldest = min(used, key=lambda entry: used[entry])
        if self._clock.now() - used[oldest] < IN_USE_MS:
            return False
        return await self._desk.unload_adapter(holding, *oldest)


def _adapter_count(holding: _holdings.Holding) -> int:
    return len(holding.charged_adapters())
