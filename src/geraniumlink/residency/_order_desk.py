"""Sends orders to replicas and keeps the accounts of what they hold."""

from __future__ import annotations

from collections.abc import Callable

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.residency import _holdings
from geraniumlink.residency import _leadership

# How often a replica is asked whether it has carried out an order, once it
# may have; its reports lag by about this.
POLL_MS = 150
# An order without an answer is sent again this often in all.
MAX_SENDS = 4
# An adapter is in place after 5 to 10 ms unless many are on their way.
ADAPTER_MS = 15


class OrderDesk:
    """Orders in the name of the controller, while its lease is held."""

    def __init__(
        self,
        calls: platform.OrderClient,
        leadership: _leadership.Leadership,
        clock: _clock.Clock,
        instance: str,
    ) -> None:
        self._calls = calls
        self._leadership = leadership
        self._clock = clock
        self._instance = instance

    async def load_model(self, holding: _holdings.Holding, model: str) -> bool:
        """Order until it is known to be accepted; False when it isn't."""
        holding.pending.add((model, ""))
        if await self._send_surely(holding, load=True, model=model):
            return True
        holding.pending.discard((model, ""))
        return False

    async def unload_model(
        self, holding: _holdings.Holding, model: str
    ) -> bool:
        """Order until it is known to be accepted; False when it isn't."""
        holding.leaving.add((model, ""))
        if await self._send_surely(holding, load=False, model=model):
            return True
        holding.leaving.discard((model, ""))
        return False

    async def load_adapter(
        self, holding: _holdings.Holding, model: str, adapter: str
    ) -> bool:
        """Load an adapter into a place that is free; whether it is there."""
        verdict = await self._send(holding, True, model, adapter)
        match verdict:
            case platform.OrderResult.ACCEPTED:
                holding.pending.add((model, adapter))
                await self._clock.sleep(ADAPTER_MS)
            case platform.OrderResult.HOLDS:
                pass
            case _:
                return False
        holding.note_loaded(model, adapter)
        return True

    async def unload_adapter(
        self, holding: _holdings.Holding, model: str, adapter: str
    ) -> bool:
        """Unload an adapter; whether its place is free now.

        The replica waits for the requests that still use it.
        """
        verdict = await self._send(holding, False, model, adapter)
        match verdict:
            case platform.OrderResult.HOLDS:
                holding.note_unloaded(model, adapter)
                return True
            case platform.OrderResult.ACCEPTED:
                holding.leaving.add((model, adapter))
        return False

    async def until(
        self,
        holding: _holdings.Holding,
        reached: Callable[[], bool],
        *,
        not_before_ms: float,
        within_ms: float,
    ) -> bool:
        """Ask a replica for its report until something holds."""
        until = self._clock.now() + within_ms
        await self._clock.sleep(not_before_ms)
        while not reached():
            if self._clock.now() >= until or not self._leadership.epoch:
                return False
            await self._clock.sleep(POLL_MS)
            await self.ask(holding)
        return True

    async def ask(self, holding: _holdings.Holding) -> None:
        """Bring the account of a replica up to date with its report."""
        try:
            report = await self._calls.fetch_report(
                holding.name, holding.address
            )
        except (_http.NotSentError, _http.BrokenError) as error:
            _logs.event(
                "report_missing", replica=holding.name, error=str(error)
            )
            return
        holding.take_report(report, self._clock.now())

    async def _send_surely(
        self, holding: _holdings.Holding, *, load: bool, model: str
    ) -> bool:
        before = holding.order_count
        in_doubt = False
        for _ in range(MAX_SENDS):
            async with holding.ordering:
                verdict = await self._send(holding, load, model, "")
            match verdict:
                case (
                    platform.OrderResult.ACCEPTED | platform.OrderResult.HOLDS
                ):
                    return True
                case platform.OrderResult.UNKNOWN:
                    in_doubt = True
                    continue
                case platform.OrderResult.REFUSED:
                    return False
            break
        await self._clock.sleep(_holdings.REPORT_LAG_MS)
        await self.ask(holding)
        # Nobody else orders, so it was ours that was counted.
        return in_doubt and holding.order_count != before

    async def _send(
        self, holding: _holdings.Holding, load: bool, model: str, adapter: str
    ) -> platform.OrderResult:
        if holding.order_count is None or not self._leadership.may_order():
            return platform.OrderResult.REFUSED
        order = platform.Order(
            replica=holding.name,
            address=holding.address,
            load=load,
            model=model,
            adapter=adapter,
            order_count=holding.order_count,
            holder=self._instance,
            epoch=self._leadership.epoch,
        )
        verdict = await self._calls.send(order)
        # An adapter that nobody uses is unloaded at once, and counted.
        at_once = (
            verdict is platform.OrderResult.HOLDS and adapter and not load
        )
        if verdict is platform.OrderResult.ACCEPTED or at_once:
            holding.note_accepted(self._clock.now())
        if verdict is platform.OrderResult.UNKNOWN and load:
            holding.doubtful.add((model, adapter))
        _logs.event("order", **order._asdict(), verdict=verdict.name)
        if verdict is platform.OrderResult.CONFLICT and adapter:
            await self.ask(holding)
        return verdict
