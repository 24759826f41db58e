"""What each replica holds, as its orders and its own words say.

A replica counts the orders that it accepted, and each order names the count
that it was made for. So a late order whose answer was lost can't be carried
out after a newer one; until then its memory stays charged. Only a report
tells the count. The registered entry follows some time after an order.
"""

from __future__ import annotations

import anyio

from geraniumlink.serving import _types


# An entry that is registered shows an order after a heartbeat of the replica
# and the time in which its change is read.
ENTRY_LAG_MS = 2500


class Holding:
    """One incarnation of a replica, as its controller accounts for it."""

    def __init__(self, entry: _types.ReplicaEntry) -> None:
        self.name = entry.name
        self.address = entry.address
        self.started_at = entry.started_at
        # None until a report told it.
        self.order_count: int | None = None
        self.ordered_at = 0
        self._adopted_at = 0
        self.models = {m: set(a) for m, a in entry.residents.items()}
        # Models and adapters that an order may still bring in.
        self.pending: set[tuple[str, str]] = set()
        # Models that are being unloaded; still resident.
        self.leaving: set[str] = set()
        self.moving = False
        # One order at a time, since each names the count before it.
        self.ordering = anyio.Lock()

    def take_entry(
        self, entry: _types.ReplicaEntry, changed_at: int
    ) -> None:
        """Adopt what the replica registered, unless it may lag behind.

        ``changed_at`` is when the entry was first seen as it is.
        """
        if changed_at > max(self._adopted_at, self.ordered_at + ENTRY_LAG_MS):
            self._adopt(entry.residents, changed_at)

    def take_report(self, report: _types.ReplicaReport, now: int) -> None:
        """Adopt a report, unless an order came after it was made."""
        if self.order_count is None or report.order_count >= self.order_count:
            self.order_count = report.order_count
            self._adopt(report.residents, now)

    def note_accepted(self, now: int) -> None:
        """Count an order; one that was unknown before is void now."""
        if self.order_count is not None:
            self.order_count += 1
        self.ordered_at = now

    def charged_models(self) -> frozenset[str]:
        """Return the models that are or may come to be resident."""
        pending = {model for model, adapter in self.pending if not adapter}
        return frozenset(self.models.keys() | pending)

    def charged_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that are or may come to be resident."""
        held = {
            (model, adapter)
            for model, adapters in self.models.items()
            for adapter in adapters
        }
        return held | {entry for entry in self.pending if entry[1]}

    def holds(self, model: str, adapter: str) -> bool:
        if model in self.leaving:
            return False
        adapters = self.models.get(model)
        if adapters is None:
            return False
        return not adapter or adapter in adapters

    def _adopt(self, residents: _types.Residents, now: int) -> None:
        self._adopted_at = now
        self.models = {m: set(a) for m, a in residents.items()}
        self.leaving &= self.models.keys()
        self.pending = {
            (model, adapter)
            for model, adapter in self.pending
            if not self.holds(model, adapter)
        }
