"""Manages one replica for the instance that holds its deployment's lease.

The ledger is the stored list of the copies whose memory is charged to the
replica. An order's intent is written there before the order is sent. The
ledger is compared with the last memory report of the replica's engine.
"""

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

# A replica whose last report is older than this counts as down: about three
# polls at the default interval (``report_ms``, 1 s).
DOWN_AFTER_MS = 3000


class LeaseIdentity(typing.NamedTuple):
    """The lease under which ledgers are written and orders are sent."""

    deployment: str
    # The instance that holds the lease.
    holder: str
    epoch: int


class ManagedReplica:
    """Polls one engine's reports, writes its ledger and sends it orders."""

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
        """Whether the ledger was written under the present lease."""
        return self._claimed

    @property
    def ledger(self) -> _ledger.Ledger:
        return self._store.ledger

    @property
    def has_report(self) -> bool:
        return self._report is not None

    @property
    def running_requests(self) -> dict[str, int]:
        """Running requests in the last report, by model."""
        return self._report.running_requests if self._report else {}

    @property
    def is_sending(self) -> bool:
        """Whether orders are being sent; no new moves start meanwhile."""
        return self._sending

    @property
    def capacity_mb(self) -> int:
        """Memory for models and adapters, without the KV cache."""
        return self.declared.memory_mb - self.declared.kv_cache_mb

    def is_usable(self) -> bool:
        """Whether placement may count copies here and load more.

        The replica is claimed and in service, with a recent report and no
        ledger write of unknown outcome.
        """
        return (
            self._claimed
            and not self._store.uncertain
            and self._report is not None
            and not self._report.leaving
            and not self.declared.draining
            and self._clock.now() - self._reported_at < DOWN_AFTER_MS
        )

    def has_confirmed(self, copy: _ledger.Copy) -> bool:
        """Whether both ledger and report show the copy as resident."""
        entry = self.ledger.find(copy)
        if entry is None or entry.state is not _ledger.State.RESIDENT:
            return False
        if self._report is None:
            return False
        seen = self._report.copies.get(copy)
        return seen is not None and seen.resident

    def view(self) -> _placement_views.ReplicaView:
        """Return the replica as placement sees it.

        A copy in MAY_ARRIVE is reloadable only if no unload was sent: a
        late unload could remove the copy again after it was loaded.
        """
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
        """Write the ledger under the present lease, unless that was done.

        Errors are as for ``LedgerStore.claim``.
        """
        if self._claimed:
            return
        await self._store.claim(self._identity.holder, self._identity.epoch)
        self._claimed = True
        self._ages.update(self.ledger, self._clock.now())
        self._log("ledger_claimed", charge_mb=self.ledger.charge_mb)

    async def poll_reports(self, interval_ms: int) -> None:
        """Fetch the engine's memory report at jittered intervals."""
        while True:
            try:
                report = await _engine_reports.fetch(
                    self._client, self._address
                )
            except _engines.BadReportError as error:
                self._log("bad_memory_report", error=str(error))
                self._metrics.control_faults.inc({"kind": "report"})
            except (_http.NotSentError, _http.BrokenError):
                # The engine counts as down once its last report is too old.
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
        """Apply the last report to the ledger and write what changed.

        Each change is logged as "observed" before the write, and by the name
        of its kind after it. Errors are as for ``LedgerStore.write``.
        """
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
        """Drop the last report; the replica is down until the next one."""
        self._report = None

    def entries_to_resend(
        self, rules: _reconciliation.LateOrderRules
    ) -> list[_ledger.Entry]:
        """Return the entries whose orders had no visible effect.

        The list is empty while the engine is down or orders are being sent.
        """
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
        """Whether the last report is recent, in service or not."""
        age_ms = self._clock.now() - self._reported_at
        return self._report is not None and age_ms < DOWN_AFTER_MS

    async def write_intent(
        self, action: _orders.Action, copy: _ledger.Copy, size_mb: int
    ) -> PreparedOrder | None:
        """Write an order's intent to the ledger and return the order.

        Returns None for the unload of a copy without an entry. Errors are
        as for ``LedgerStore.write``.
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
        """Send orders one after another; stop at one that isn't answered.

        Orders that were not sent are resent later under a new intent.
        """
        self._sending = True
        try:
            for order, write_started_at in prepared:
                age_ms = self._clock.now() - write_started_at
                if age_ms > _reconciliation.SEND_WINDOW_MS:
                    # After the send window, a lease holder may have released
                    # the copy's charge, on the assumption that the order was
                    # never sent.
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
    """An order whose intent has been written, not sent yet."""

    order: _orders.Order
    # When the first attempt to write the intent began.
    write_started_at: int
