"""Sends orders to replicas and keeps the accounts of what they hold."""

from __future__ import annotations

from collections.abc import Callable

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.residency import _leadership
from geraniumlink.residency import _replica_states

# How often a replica is asked whether it has carried out an order, once it
# may have; its reports lag by about this.
POLL_INTERVAL_MS = 150
# An order without an answer is sent again this often in all.
MAX_SENDS = 4
# An adapter is in place after 5 to 10 ms unless many are on their way.
ADAPTER_LOAD_MS = 15


class OrderSender:
    """Orders in the name of the controller, while its lease is held."""

    def __init__(
        self,
        calls: platform.OrderCalls,
        leadership: _leadership.Leadership,
        clock: _clock.Clock,
        instance: str,
    ) -> None:
        self._calls = calls
        self._leadership = leadership
        self._clock = clock
        self._instance = instance

    async def load_model(
        self, state: _replica_states.ReplicaState, model: str
    ) -> bool:
        """Order until it is known to be accepted; False when it isn't."""
        state.loading.add((model, ""))
        if await self._send_until_answered(state, load=True, model=model):
            return True
        state.loading.discard((model, ""))
        return False

    async def unload_model(
        self, state: _replica_states.ReplicaState, model: str
    ) -> bool:
        """Order until it is known to be accepted; False when it isn't."""
        state.unloading.add((model, ""))
        if await self._send_until_answered(state, load=False, model=model):
            return True
        state.unloading.discard((model, ""))
        return False

    async def load_adapter(
        self, state: _replica_states.ReplicaState, model: str, adapter: str
    ) -> bool:
        """Load an adapter into a place that is free; whether it is there."""
        verdict = await self._send(state, True, model, adapter)
        match verdict:
            case platform.Verdict.ACCEPTED:
                state.loading.add((model, adapter))
                await self._clock.sleep(ADAPTER_LOAD_MS)
            case platform.Verdict.HOLDS:
                pass
            case _:
                return False
        state.record_loaded(model, adapter)
        return True

    async def unload_adapter(
        self, state: _replica_states.ReplicaState, model: str, adapter: str
    ) -> bool:
        """Unload an adapter; whether its place is free now.

        The replica waits for the requests that still use it.
        """
        verdict = await self._send(state, False, model, adapter)
        match verdict:
            case platform.Verdict.HOLDS:
                state.record_unloaded(model, adapter)
                return True
            case platform.Verdict.ACCEPTED:
                state.unloading.add((model, adapter))
        return False

    async def poll_until(
        self,
        state: _replica_states.ReplicaState,
        condition: Callable[[], bool],
        *,
        initial_delay_ms: float,
        timeout_ms: float,
    ) -> bool:
        """Ask a replica for its report until something holds."""
        until = self._clock.now() + timeout_ms
        await self._clock.sleep(initial_delay_ms)
        while not condition():
            if self._clock.now() >= until or not self._leadership.epoch:
                return False
            await self._clock.sleep(POLL_INTERVAL_MS)
            await self.fetch_report(state)
        return True

    async def fetch_report(self, state: _replica_states.ReplicaState) -> None:
        """Bring the account of a replica up to date with its report."""
        try:
            report = await self._calls.report(state.name, state.address)
        except (_http.NotSentError, _http.BrokenError) as error:
            _logs.event("report_missing", replica=state.name, error=str(error))
            return
        state.apply_report(report, self._clock.now())

    async def _send_until_answered(
        self, state: _replica_states.ReplicaState, *, load: bool, model: str
    ) -> bool:
        before = state.order_count
        may_be_accepted = False
        for _ in range(MAX_SENDS):
            async with state.order_lock:
                verdict = await self._send(state, load, model, "")
            match verdict:
                case platform.Verdict.ACCEPTED | platform.Verdict.HOLDS:
                    return True
                case platform.Verdict.UNKNOWN:
                    may_be_accepted = True
                    continue
                case platform.Verdict.REFUSED:
                    return False
            break
        await self._clock.sleep(_replica_states.REPORT_LAG_MS)
        await self.fetch_report(state)
        # Nobody else orders, so it was ours that was counted.
        return may_be_accepted and state.order_count != before

    async def _send(
        self,
        state: _replica_states.ReplicaState,
        load: bool,
        model: str,
        adapter: str,
    ) -> platform.Verdict:
        if state.order_count is None or not self._leadership.may_order():
            return platform.Verdict.REFUSED
        order = platform.Order(
            replica=state.name,
            address=state.address,
            load=load,
            model=model,
            adapter=adapter,
            order_count=state.order_count,
            holder=self._instance,
            epoch=self._leadership.epoch,
        )
        verdict = await self._calls.send(order)
        # An adapter that nobody uses is unloaded at once, and counted.
        completed_at_once = (
            verdict is platform.Verdict.HOLDS and adapter and not load
        )
        if verdict is platform.Verdict.ACCEPTED or completed_at_once:
            state.record_accepted_order(self._clock.now())
        if verdict is platform.Verdict.UNKNOWN and load:
            state.unconfirmed.add((model, adapter))
        _logs.event("order", **order._asdict(), verdict=verdict.name)
        if verdict is platform.Verdict.CONFLICT and adapter:
            await self.fetch_report(state)
        return verdict
