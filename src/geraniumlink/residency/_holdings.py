"""What each replica holds, as its orders and its own reports say.

A replica counts the orders that it accepted, and each order names the count
that it was made for. So a late order whose answer was lost can't be carried
out after a newer one; until then its memory stays charged. An account is
right for one count, and only a report tells both. Registered entries follow
seconds later and are not used.
"""

from __future__ import annotations

import anyio

from geraniumlink.serving import _types


class Holding:
    """One incarnation of a replica, as its controller accounts for it."""

    def __init__(self, entry: _types.ReplicaEntry) -> None:
        self.name = entry.name
        self.address = entry.address
        self.started_at = entry.started_at
        # None until a report told what it holds.
        self.order_count: int | None = None
        self.models: dict[str, set[str]] = {}
        # Models and adapters that accepted orders bring in.
        self.pending: set[tuple[str, str]] = set()
        # Those of an order that may be carried out until a newer one is.
        self.doubtful: set[tuple[str, str]] = set()
        # Models that are being unloaded; still resident.
        self.leaving: set[str] = set()
        self.moving = False
        # A model was being loaded or unloaded when it last reported.
        self.busy = False
        # One order at a time, since each names the count before it.
        self.ordering = anyio.Lock()

    @property
    def known(self) -> bool:
        """Whether its own report was read."""
        return self.order_count is not None

    def take_report(self, report: _types.ReplicaReport) -> None:
        """Adopt a report, unless an order came after it was made."""
        if self.order_count is not None:
            if report.order_count < self.order_count:
                return
            if report.order_count > self.order_count:
                # What was in doubt has been carried out, or never will be.
                self.doubtful.clear()
        self.order_count = report.order_count
        self.busy = report.busy
        self.models = {m: set(a) for m, a in report.residents.items()}
        self.leaving &= self.models.keys()
        self.pending = {
            (model, adapter)
            for model, adapter in self.pending
            if not self.holds(model, adapter)
        }

    def note_accepted(self) -> None:
        """Count an order; whatever was in doubt before is void now."""
        if self.order_count is not None:
            self.order_count += 1
        self.doubtful.clear()

    def charged_models(self) -> frozenset[str]:
        """Return the models that are or may come to be resident."""
        coming = {m for m, a in self.pending | self.doubtful if not a}
        return frozenset(self.models.keys() | coming)

    def charged_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that are or may come to be resident."""
        held = {
            (model, adapter)
            for model, adapters in self.models.items()
            for adapter in adapters
        }
        return held | {
            entry for entry in self.pending | self.doubtful if entry[1]
        }

    def holds(self, model: str, adapter: str) -> bool:
        if model in self.leaving:
            return False
        adapters = self.models.get(model)
        if adapters is None:
            return False
        return not adapter or adapter in adapters
