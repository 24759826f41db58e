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

# Reports lag behind the replica by less than this.
REPORT_LAG_MS = 400


class Holding:
    """One incarnation of a replica, as its controller accounts for it.

    A model is the pair of its name and an empty text, an adapter that of its
    model's name and its own.
    """

    def __init__(self, entry: _types.ReplicaEntry) -> None:
        self.name = entry.name
        self.address = entry.address
        self.started_at = entry.started_at
        # None until a report tells all that it holds or will hold.
        self.order_count: int | None = None
        self.models: dict[str, set[str]] = {}
        # Models that load from the replica's own memory or disk.
        self.near: frozenset[str] = frozenset()
        # What accepted orders bring in.
        self.pending: set[tuple[str, str]] = set()
        # What an order without an answer may bring in, until a newer order
        # is accepted.
        self.doubtful: set[tuple[str, str]] = set()
        # Adapters that were on their way there when it last reported.
        self.arriving: frozenset[tuple[str, str]] = frozenset()
        # What is being unloaded; still resident.
        self.leaving: set[tuple[str, str]] = set()
        # A model is being moved, or what it holds is being asked for.
        self.moving = False
        # One order at a time, since each names the count before it.
        self.ordering = anyio.Lock()
        self._ordered_at = 0

    @property
    def known(self) -> bool:
        """Whether a report told all that it holds or will hold."""
        return self.order_count is not None

    @property
    def settled(self) -> bool:
        """Whether it is known, and no adapter is being unloaded.

        Until then the replica refuses other orders.
        """
        return self.known and not any(adapter for _, adapter in self.leaving)

    def take_report(self, report: _types.ReplicaReport, now: int) -> None:
        """Adopt a report, unless an order came after it was made."""
        if self.order_count is not None:
            lagging = report.order_count < self.order_count
            if lagging and now - self._ordered_at < REPORT_LAG_MS:
                return
        if report.busy and report.order_count != self.order_count:
            # An order is carried out that isn't accounted for: a lost one
            # that came late, or a former controller's. What it brings in
            # doesn't show in the report.
            self.order_count = None
        else:
            if self.order_count != report.order_count:
                # What was in doubt has been carried out, or never will be.
                self.doubtful.clear()
            self.order_count = report.order_count
        self.near = report.local_models
        self.arriving = report.adapters_loading
        self.models = {m: set(a) for m, a in report.residents.items()}
        self.leaving &= self._resident()
        self.pending -= self._resident()

    def note_accepted(self, now: int) -> None:
        """Count an order; whatever was in doubt before is void now."""
        if self.order_count is not None:
            self.order_count += 1
        self._ordered_at = now
        self.doubtful.clear()

    def note_loaded(self, model: str, adapter: str) -> None:
        """Take it that an accepted order has been carried out."""
        self.pending.discard((model, adapter))
        self.arriving -= {(model, adapter)}
        self.models.setdefault(model, set()).add(adapter)

    def note_unloaded(self, model: str, adapter: str) -> None:
        """Take it that an accepted order has been carried out."""
        self.leaving.discard((model, adapter))
        self.arriving -= {(model, adapter)}
        self.models.get(model, set()).discard(adapter)

    def charged_models(self) -> frozenset[str]:
        """Return the models that are or may come to be resident."""
        return frozenset(m for m, a in self._charged() if not a)

    def charged_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that are or may come to be resident."""
        return {entry for entry in self._charged() if entry[1]}

    def staying_models(self) -> frozenset[str]:
        """Return the models that are charged and not being unloaded."""
        leaving = {m for m, a in self.leaving if not a}
        return self.charged_models() - leaving

    def doubtful_models(self) -> frozenset[str]:
        """Return the models that a lost order may still bring in."""
        doubtful = {model for model, adapter in self.doubtful if not adapter}
        return frozenset(doubtful - self.models.keys())

    def ready_models(self) -> frozenset[str]:
        """Return the models that serve requests."""
        return frozenset(m for m in self.models if self.holds(m, ""))

    def holds(self, model: str, adapter: str) -> bool:
        """Whether a request for them can be sent there."""
        if {(model, ""), (model, adapter)} & self.leaving:
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
        in_transit = self.pending | self.arriving
        return self._resident() | in_transit | self.doubtful
