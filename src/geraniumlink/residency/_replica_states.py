"""The controller's record of what each replica holds.

It is derived from the orders sent and from the replica's own reports.

A replica counts the orders that it accepts, and each order carries the count
that it expects as a precondition. So an order that arrives late, after its
answer was given up, is refused once a newer one was accepted; until then the
memory that it would take stays charged. A record is valid for one order
count only, and only a report gives both together. The registered entries
lag by seconds and are not used.
"""

from __future__ import annotations

import anyio

from geraniumlink.serving import _types

# Upper bound of the age of what a report says, in ms.
REPORT_LAG_MS = 400


class ReplicaState:
    """What one incarnation of a replica holds, and its orders in progress.

    Sets of pairs hold models and adapters: a model is (model, ""), an
    adapter (model, adapter). What is or may become resident is "charged": it
    is counted against the replica's memory or its adapter slots.
    """

    def __init__(self, entry: _types.ReplicaEntry) -> None:
        self.name = entry.name
        self.address = entry.address
        self.started_at = entry.started_at
        # Orders that the replica has accepted since it started. None while
        # no report has given all that it holds or will hold.
        self.order_count: int | None = None
        # Resident models, and the resident adapters of each.
        self.models: dict[str, set[str]] = {}
        # Models that can be loaded from the replica's own memory or disk.
        self.local_models: frozenset[str] = frozenset()
        # What is being loaded: by an accepted order or one about to be sent.
        self.loading: set[tuple[str, str]] = set()
        # What a load order whose answer was lost may still bring in; void
        # once a newer order is accepted.
        self.unconfirmed: set[tuple[str, str]] = set()
        # Adapters that were in transit to the replica at its last report.
        self.adapters_loading: frozenset[tuple[str, str]] = frozenset()
        # What is being unloaded. It is still resident and charged.
        self.unloading: set[tuple[str, str]] = set()
        # Whether it refused the last connection. Its registered entry may
        # outlive its process by seconds.
        self.has_ended = False
        # Whether a task of the controller moves a model here or fetches the
        # replica's report; no other is started meanwhile.
        self.task_running = False
        # Monotonic time in ms at which the present move is expected to end;
        # 0 without one.
        self.move_ends_at = 0
        # Whether adapters are being loaded ahead of requests; no move begins
        # meanwhile.
        self.loads_adapters_ahead = False
        # Monotonic time in ms before which none are.
        self.no_adapters_ahead_until = 0
        # Held while an order is sent: each carries the count of the orders
        # before it, so that there can be one at a time.
        self.order_lock = anyio.Lock()
        self._last_accepted_at = 0

    @property
    def is_known(self) -> bool:
        """Whether a report has given all that it holds or will hold."""
        return self.order_count is not None

    @property
    def ready_for_orders(self) -> bool:
        """Whether its state is known and no adapter is being unloaded.

        While it unloads an adapter, the replica refuses other orders.
        """
        return self.is_known and not any(
            adapter for _, adapter in self.unloading
        )

    @property
    def is_idle(self) -> bool:
        """Whether a move, or loads of adapters ahead, may begin."""
        return (
            self.ready_for_orders
            and not self.task_running
            and not self.loads_adapters_ahead
        )

    def apply_report(self, report: _types.ReplicaReport, now: int) -> None:
        """Apply a report, unless it may predate the last accepted order."""
        if self.order_count is not None:
            lagging = report.order_count < self.order_count
            if lagging and now - self._last_accepted_at < REPORT_LAG_MS:
                return
        if report.busy and report.order_count != self.order_count:
            # The replica carries out an order that isn't recorded here: one
            # whose answer was lost and that arrived late, or a former
            # leader's. The report doesn't show what that will bring in.
            self.order_count = None
        else:
            if self.order_count != report.order_count:
                # Unconfirmed orders have been carried out by now, or can't
                # be any more, since the count has moved on.
                self.unconfirmed.clear()
            self.order_count = report.order_count
        self.local_models = report.local_models
        self.adapters_loading = report.adapters_loading
        self.models = {m: set(a) for m, a in report.residents.items()}
        self.unloading &= self._resident()
        self.loading -= self._resident()

    def record_accepted_order(self, now: int) -> None:
        """Count an accepted order, which voids all unconfirmed ones."""
        if self.order_count is not None:
            self.order_count += 1
        self._last_accepted_at = now
        self.unconfirmed.clear()

    def record_loaded(self, model: str, adapter: str) -> None:
        """Record that an adapter, or a model if "", is resident."""
        self.loading.discard((model, adapter))
        self.adapters_loading -= {(model, adapter)}
        self.models.setdefault(model, set()).add(adapter)

    def record_unloaded(self, model: str, adapter: str) -> None:
        """Record that an adapter is no longer resident."""
        self.unloading.discard((model, adapter))
        self.adapters_loading -= {(model, adapter)}
        self.models.get(model, set()).discard(adapter)

    def charged_models(self) -> frozenset[str]:
        """Return the models that are or may become resident."""
        return frozenset(m for m, a in self._charged() if not a)

    def charged_adapters(self) -> set[tuple[str, str]]:
        """Return the (model, adapter) pairs that are or may be resident."""
        return {entry for entry in self._charged() if entry[1]}

    def models_after_unloads(self) -> frozenset[str]:
        """Return the charged models that are not being unloaded."""
        unloading = {m for m, a in self.unloading if not a}
        return self.charged_models() - unloading

    def unconfirmed_models(self) -> frozenset[str]:
        """Return the models that an unconfirmed order may still load."""
        unconfirmed = {
            model for model, adapter in self.unconfirmed if not adapter
        }
        return frozenset(unconfirmed - self.models.keys())

    def ready_models(self) -> frozenset[str]:
        """Return the models that requests can be sent to now."""
        return frozenset(m for m in self.models if self.can_serve(m, ""))

    def can_serve(self, model: str, adapter: str) -> bool:
        """Whether a request for the model, and adapter if any, can run."""
        if {(model, ""), (model, adapter)} & self.unloading:
            return False
        adapters = self.models.get(model)
        if adapters is None:
            return False
        return not adapter or adapter in adapters

    def _resident(self) -> set[tuple[str, str]]:
        resident = {(model, "") for model in self.models}
        for model, adapters in self.models.items():
            resident |= {(model, adapter) for adapter in adapters}
        return resident

    def _charged(self) -> set[tuple[str, str]]:
        in_transit = self.loading | self.adapters_loading
        return self._resident() | in_transit | self.unconfirmed
