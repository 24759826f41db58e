"""Sends orders to replicas and updates the record of what they hold."""

from __future__ import annotations

from collections.abc import Callable

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.residency import _call_limits
from geraniumlink.residency import _leadership
from geraniumlink.residency import _replica_states

# Interval between reports fetched to see whether an order was carried out.
# About the lag of the reports: more often would show nothing new.
POLL_INTERVAL_MS = 150
# How many times an order is sent in all while no answer arrives.
MAX_SENDS = 4
# How long to wait until an adapter is resident. A load takes 5 to 10 ms
# unless many adapters are in transit.
ADAPTER_LOAD_MS = 15


class _Term:
    """Allows an order to be written in the term in which it was made."""

    def __init__(
        self,
        leadership: _leadership.Leadership,
        epoch: int,
        clock: _clock.Clock,
    ) -> None:
        self._leadership = leadership
        self._epoch = epoch
        self._clock = clock
        self.began_at = clock.now()
        # None unless the whole order was written.
        self.written_after_ms: int | None = None

    def may_write(self) -> bool:
        """Return whether a part of the order may be written now."""
        self.written_after_ms = None
        if (
            self._leadership.epoch != self._epoch
            or not self._leadership.may_order()
        ):
            return False
        self.written_after_ms = self._clock.now() - self.began_at
        return True


class OrderSender:
    """Sends the controller's orders while its lease is held here.

    :param instance: sent along with each order as its holder.
    """

    def __init__(
        self,
        calls: platform.OrderClient,
        leadership: _leadership.Leadership,
        clock: _clock.Clock,
        instance: str,
        call_limits: _call_limits.CallLimits,
    ) -> None:
        self._call_limits = call_limits
        self._calls = calls
        self._leadership = leadership
        self._clock = clock
        self._instance = instance

    async def load_model(
        self, state: _replica_states.ReplicaState, model: str
    ) -> bool:
        """Order a load; return whether it is known to be accepted.

        It may then still be in progress.
        """
        state.loading.add((model, ""))
        if await self._send_until_answered(state, load=True, model=model):
            return True
        state.loading.discard((model, ""))
        return False

    async def unload_model(
        self, state: _replica_states.ReplicaState, model: str
    ) -> bool:
        """Order an unload; return whether it is known to be accepted.

        It may then still be in progress.
        """
        state.unloading.add((model, ""))
        if await self._send_until_answered(state, load=False, model=model):
            return True
        state.unloading.discard((model, ""))
        return False

    async def load_adapter(
        self, state: _replica_states.ReplicaState, model: str, adapter: str
    ) -> bool:
        """Load an adapter into a free slot; return whether it succeeded.

        It is taken to be resident ADAPTER_LOAD_MS after the order was
        accepted, without a report.
        """
        verdict = await self._send(state, True, model, adapter)
        match verdict:
            case platform.OrderResult.ACCEPTED:
                state.loading.add((model, adapter))
                await self._clock.sleep(ADAPTER_LOAD_MS)
            case platform.OrderResult.HOLDS:
                pass
            case _:
                return False
        state.record_loaded(model, adapter)
        return True

    async def unload_adapter(
        self, state: _replica_states.ReplicaState, model: str, adapter: str
    ) -> bool:
        """Unload an adapter; return whether its slot is free now.

        Otherwise, if the order was accepted, the replica unloads it after
        the requests that still use it.
        """
        verdict = await self._send(state, False, model, adapter)
        match verdict:
            case platform.OrderResult.HOLDS:
                state.record_unloaded(model, adapter)
                return True
            case platform.OrderResult.ACCEPTED:
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
        """Fetch a replica's reports until a condition holds.

        Returns False after ``timeout_ms``, when the lease was lost, or when
        the replica's process has ended.
        """
        deadline = self._clock.now() + timeout_ms
        await self._clock.sleep(initial_delay_ms)
        while not condition():
            if (
                self._clock.now() >= deadline
                or not self._leadership.epoch
                or state.has_ended
            ):
                return False
            await self._clock.sleep(POLL_INTERVAL_MS)
            await self.fetch_report(state)
        return True

    async def fetch_report(self, state: _replica_states.ReplicaState) -> None:
        """Fetch a replica's report and update its state.

        A failure is logged and leaves the state as it was, and so does a
        limit that the replica states.
        """
        if not await self._call_limits.wait(state.name):
            return
        try:
            report = await self._calls.fetch_report(state.name, state.address)
        except (_http.NotSentError, _http.BrokenError) as error:
            _logs.event("report_missing", replica=state.name, error=str(error))
            if isinstance(error, _http.NoListenerError):
                state.has_ended = True
            return
        state.has_ended = False
        state.apply_report(report, self._clock.now())

    async def _send_until_answered(
        self, state: _replica_states.ReplicaState, *, load: bool, model: str
    ) -> bool:
        """Send an order until it is answered; return whether it is accepted.

        After a conflict, or when no attempt was answered, the order count of
        the next report decides. Repeats are safe: the replica accepts only
        one order for each count.
        """
        count_before = state.order_count
        may_be_accepted = False
        for _ in range(MAX_SENDS):
            async with state.order_lock:
                verdict = await self._send(state, load, model, "")
            match verdict:
                case (
                    platform.OrderResult.ACCEPTED | platform.OrderResult.HOLDS
                ):
                    return True
                case platform.OrderResult.UNKNOWN:
                    may_be_accepted = True
                    continue
                case (
                    platform.OrderResult.REFUSED
                    | platform.OrderResult.NO_LISTENER
                ):
                    return False
            break
        await self._clock.sleep(_replica_states.REPORT_LAG_MS)
        await self.fetch_report(state)
        # Only this controller sends orders now, so a changed count means
        # that an unanswered attempt was accepted.
        return may_be_accepted and state.order_count != count_before

    async def _send(
        self,
        state: _replica_states.ReplicaState,
        load: bool,
        model: str,
        adapter: str,
    ) -> platform.OrderResult:
        """Send an order once and record what is known of its outcome.

        REFUSED also stands for an order that was not sent, since the
        replica's order count is unknown, its limit doesn't allow it, or the
        lease may have expired.
        """
        if not await self._call_limits.wait(state.name):
            return platform.OrderResult.REFUSED
        if state.order_count is None or not self._leadership.may_order():
            return platform.OrderResult.REFUSED
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
        term = _Term(self._leadership, order.epoch, self._clock)
        verdict = await self._calls.send(order, term.may_write)
        took_ms = self._clock.now() - term.began_at
        # An unload of an adapter that no request uses is completed at once,
        # and the replica counts it as accepted.
        completed_at_once = (
            verdict is platform.OrderResult.HOLDS and adapter and not load
        )
        if verdict is platform.OrderResult.ACCEPTED or completed_at_once:
            state.record_accepted_order(self._clock.now())
        if verdict is platform.OrderResult.NO_LISTENER:
            state.has_ended = True
        if verdict is platform.OrderResult.UNKNOWN and load:
            state.unconfirmed.add((model, adapter))
        _logs.event(
            "order",
            **order._asdict(),
            verdict=verdict.name,
            took_ms=took_ms,
            written_after_ms=term.written_after_ms,
        )
        if verdict is platform.OrderResult.CONFLICT and adapter:
            await self.fetch_report(state)
        return verdict
