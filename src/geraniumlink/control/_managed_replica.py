"""A replica as the holder of its shard knows it: ledger and last report."""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings
from geraniumlink.backends import _engines
from geraniumlink.control import _engine_reports
from geraniumlink.control import _ledger
from geraniumlink.control import _ledger_store
from geraniumlink.control import _orders
from geraniumlink.control import _placement_views
from geraniumlink.control import _reconciliation

# Without a report for this long a replica counts as down.
DOWN_AFTER_MS = 3000


class LeaseIdentity(typing.NamedTuple):
    """Who writes, and under which lease."""

    deployment: str
    holder: str
    epoch: int


class ManagedReplica:
    """Observes one engine, writes its ledger and sends it orders."""

    def __init__(
        self,
        identity: LeaseIdentity,
        declared: pb.Replica,
        objects: _objects.ObjectApi,
        client: _http.Client,
        clock: _clock.Clock,
        random_source: random.Random,
        metrics: _metrics.Metrics,
    ) -> None:
        self._identity = identity
        self.declared = declared
        self._address = _settings.parse_address(declared.address)
        self._client = client
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._store = _ledger_store.LedgerStore(
            objects,
            f"{identity.deployment}.{declared.name}",
            clock,
            random_source,
        )
        self._ages = _reconciliation.EntryAges()
        self._claimed = False
        self._report: _engine_reports.MemoryReport | None = None
        self._reported_at = 0
        self._sending = False

    @property
    def claimed(self) -> bool:
        return self._claimed

    @property
    def ledger(self) -> _ledger.Ledger:
        return self._store.ledger

    @property
    def has_report(self) -> bool:
        return self._report is not None

    @property
    def running_requests(self) -> dict[str, int]:
        """Requests that ran at the last report, by model."""
        return self._report.running_requests if self._report else {}

    @property
    def is_sending(self) -> bool:
        """Whether orders are on their way; no new ones are begun."""
        return self._sending

    @property
    def capacity_mb(self) -> int:
        return self.declared.memory_mb - self.declared.kv_cache_mb

    def is_usable(self) -> bool:
        """Whether copies here count, and more may be loaded."""
        return (
            self._claimed
            and not self._store.uncertain
            and self._report is not None
            and not self._report.leaving
            and not self.declared.draining
            and self._clock.now() - self._reported_at < DOWN_AFTER_MS
        )

    def has_confirmed(self, copy: _ledger.Copy) -> bool:
        """Whether ledger and report agree that the copy is resident."""
        entry = self.ledger.find(copy)
        if entry is None or entry.state is not _ledger.State.RESIDENT:
            return False
        if self._report is None:
            return False
        seen = self._report.copies.get(copy)
        return seen is not None and seen.resident

    def view(self) -> _placement_views.ReplicaView:
        """Return what placement is shown."""
        views = tuple(
            _placement_views.CopyView(
                entry.copy,
                entry.size_mb,
                entry.state,
                entry.state is _ledger.State.MAY_ARRIVE
                and not entry.unload_sent,
            )
            for entry in self.ledger.entries
        )
        return _placement_views.ReplicaView(
            self.declared.name,
            self.capacity_mb - self.ledger.charge_mb,
            self.is_usable(),
            views,
        )

    async def claim(self) -> None:
        """Make the ledger this holder's; errors as for the store's claim."""
        if self._claimed:
            return
        await self._store.claim(self._identity.holder, self._identity.epoch)
        self._claimed = True
        self._ages.update(self.ledger, self._clock.now())
        self._log("ledger_claimed", charge_mb=self.ledger.charge_mb)

    async def poll_reports(self, interval_ms: int) -> None:
        """Fetch the engine's report again and again."""
        while True:
            try:
                report = await _engine_reports.fetch(
                    self._client, self._address
                )
            except _engines.BadReportError as error:
                self._log("bad_memory_report", error=str(error))
                self._metrics.control_faults.inc({"kind": "report"})
            except (_http.NotSentError, _http.BrokenError):
                # The age of the last report shows that it is down.
                pass
            else:
                self._accept_report(report)
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(interval_ms * jitter)

    def _accept_report(self, report: _engine_reports.MemoryReport) -> None:
        before = self._report
        if before is not None and before.boot_id != report.boot_id:
            self._log("engine_restarted", boot_id=report.boot_id)
        self._report = report
        self._reported_at = self._clock.now()

    async def reconcile(self, rules: _reconciliation.LateOrderRules) -> None:
        """Write what the last report confirms; errors as for a write."""
        if self._store.uncertain:
            await self._store.resolve_uncertain_write()
        if self._report is None:
            return
        now = self._clock.now()
        reconciled = _reconciliation.reconcile(
            self.ledger, self._report, rules, self._ages, now
        )
        if reconciled.ledger == self.ledger:
            return
        for transition in reconciled.transitions:
            self._log_transition("observed", transition)
        await self._store.write(reconciled.ledger, capacity_mb=None)
        self._ages.update(self.ledger, self._clock.now())
        for transition in reconciled.transitions:
            self._log_transition(transition.log_event, transition)

    def discard_report(self) -> None:
        """Drop the report, so that the replica counts again after the next."""
        self._report = None

    def entries_to_resend(
        self, rules: _reconciliation.LateOrderRules
    ) -> list[_ledger.Entry]:
        """Return the entries whose orders show no effect."""
        if self._report is None or not self.is_up() or self._sending:
            return []
        now = self._clock.now()
        return [
            entry
            for entry in self.ledger.entries
            if _reconciliation.needs_resend(
                entry, self._report, rules, self._ages.age_ms(entry, now)
            )
        ]

    def is_up(self) -> bool:
        """Whether the engine answered lately, in service or not."""
        age_ms = self._clock.now() - self._reported_at
        return self._report is not None and age_ms < DOWN_AFTER_MS

    async def write_intent(
        self, action: _orders.Action, copy: _ledger.Copy, size_mb: int
    ) -> PreparedOrder | None:
        """Write the intent of an order; errors as for the store's write.

        Returns None for the unload of a copy that has no entry.
        """
        match action:
            case _orders.Action.LOAD:
                changed = self.ledger.with_load(copy, size_mb)
            case _orders.Action.UNLOAD:
                entry = self.ledger.find(copy)
                if entry is None:
                    return None
                changed = self.ledger.with_unload(entry)
        written = await self._store.write(changed, self.capacity_mb)
        self._ages.update(self.ledger, self._clock.now())
        order = _orders.Order(changed.fencing_number, action, copy, size_mb)
        self._log_order(
            "intent_written",
            order,
            charge_mb=changed.charge_mb,
            capacity_mb=self.capacity_mb,
        )
        self._metrics.moves.inc(
            {
                "deployment": self._identity.deployment,
                "action": action.value,
                "what": "adapter" if copy.adapter else "model",
            }
        )
        return PreparedOrder(order, written.started_at)

    async def send(self, prepared: list[PreparedOrder]) -> None:
        """Send orders in turn; the rest wait when one is not answered.

        What is not sent is due again after a while, under a new intent.
        """
        self._sending = True
        try:
            for order, write_started_at in prepared:
                age_ms = self._clock.now() - write_started_at
                if age_ms > _reconciliation.SEND_WINDOW_MS:
                    # A new holder may have stopped waiting for it.
                    self._log_order("order_too_old", order)
                    return
                self._log_order("order_sent", order)
                reply = await _orders.send(self._client, self._address, order)
                self._log_order("order_reply", order, reply=reply.value)
                if reply is _orders.Reply.UNKNOWN:
                    return
        finally:
            self._sending = False

    def _log_transition(
        self, log_event: str, transition: _reconciliation.Transition
    ) -> None:
        self._log(
            log_event,
            fencing_number=transition.fencing_number,
            seen=transition.seen,
            **transition.copy._asdict(),
        )

    def _log_order(
        self, log_event: str, order: _orders.Order, **fields: typing.Any
    ) -> None:
        self._log(
            log_event,
            fencing_number=order.fencing_number,
            action=order.action.value,
            size_mb=order.size_mb,
            **order.copy._asdict(),
            **fields,
        )

    def _log(self, log_event: str, **fields: typing.Any) -> None:
        _logs.event(
            log_event,
            deployment=self._identity.deployment,
            replica=self.declared.name,
            epoch=self._identity.epoch,
            **fields,
        )


class PreparedOrder(typing.NamedTuple):
    """An order whose intent is written, and when that write began."""

    order: _orders.Order
    write_started_at: int
