"""Plans which adapters to load on replicas ahead of the requests for them.

A replica carries out one order at a time. While it loads a model, which takes
seconds, it accepts no adapter, although an adapter loads within milliseconds.
So adapters are loaded while their replicas are idle, and before the next load
of a model begins: first those that were asked for in vain, then others of the
models held, in free slots only.

An adapter that some replica holds isn't loaded again.
"""

from __future__ import annotations

from collections.abc import Callable
import typing

from geraniumlink.serving import _types

# A model, and an adapter of it.
Adapter = tuple[str, str]

# An adapter that was last asked for within this time is likely to be asked
# for again: refused clients come back after seconds.
ASKED_FOR_MS = 15_000
# An adapter that was requested within this time may still be in use, since a
# stream usually ends within it. Such an adapter is not unloaded.
IN_USE_MS = 2500


class View(typing.NamedTuple):
    """What the plan knows of a replica."""

    name: str
    # Models that requests can be sent to.
    ready: frozenset[str]
    # Adapters that are or may become resident.
    adapters: frozenset[Adapter]
    # Whether it can take an order now.
    idle: bool


class Load(typing.NamedTuple):
    """An adapter to load on a replica."""

    model: str
    adapter: str
    # Whether it was asked for of late. Only such a load may take the slot of
    # another adapter.
    is_asked_for: bool


def plan(
    engine: _types.Engine,
    views: list[View],
    rates: dict[str, float],
    asked_ms_ago: Callable[[str, str], float],
) -> dict[str, list[Load]]:
    """Return the loads to order at each replica, the most urgent first.

    :param rates: demand for each model, in prompt tokens a second.
    :param asked_ms_ago: how long ago an adapter of a model was last asked
        for; infinite if it never was.
    """
    held = {adapter for view in views for adapter in view.adapters}
    places = {
        view.name: _Place(view, engine.adapter_slots, asked_ms_ago)
        for view in views
        if view.idle
    }
    holders: dict[str, list[_Place]] = {}
    for place in places.values():
        for model in place.view.ready:
            holders.setdefault(model, []).append(place)
    missing = []
    for model in holders:
        declared = engine.models.get(model)
        adapters = declared.adapters if declared else ()
        expected = rates.get(model, 0.0) / max(1, len(adapters))
        for index, name in enumerate(adapters):
            if (model, name) not in held:
                ago = asked_ms_ago(model, name)
                key = _urgency(ago, expected, index)
                missing.append((key, model, name, ago))
    for _, model, name, ago in sorted(missing):
        best = max(holders[model], key=lambda place: place.rank())
        best.add(model, name, ago)
    return {name: place.loads for name, place in places.items() if place.loads}


def _urgency(
    ago: float, expected: float, index: int
) -> tuple[float, float, int]:
    """Return the sort key of an adapter's load; the least comes first.

    Those that were asked for of late, the latest first; then by the expected
    demand; where nothing is known of it, in the declared order.
    """
    if ago < ASKED_FOR_MS:
        return ago, 0.0, index
    return ASKED_FOR_MS, -expected, index


class _Place:
    """The slots of an idle replica, with the loads planned for it."""

    def __init__(
        self,
        view: View,
        slots: int,
        asked_ms_ago: Callable[[str, str], float],
    ) -> None:
        self.view = view
        self.loads: list[Load] = []
        self._free = slots - len(view.adapters)
        # For how long each adapter that may go is unused, the longest first.
        # Adapters of a model that is being unloaded go with it.
        self._unused_ms = sorted(
            (
                ago
                for model, adapter in view.adapters
                if model in view.ready
                and (ago := asked_ms_ago(model, adapter)) >= IN_USE_MS
            ),
            reverse=True,
        )

    def rank(self) -> tuple[float, float]:
        """Return how well another adapter fits; the greatest is best."""
        return self._free, self._unused_ms[0] if self._unused_ms else 0.0

    def add(self, model: str, adapter: str, ago: float) -> None:
        """Plan a load, if there is a slot for it."""
        is_asked_for = ago < ASKED_FOR_MS
        if self._free > 0:
            self._free -= 1
        elif is_asked_for and self._unused_ms and self._unused_ms[0] > ago:
            del self._unused_ms[0]
        else:
            return
        self.loads.append(Load(model, adapter, is_asked_for))
