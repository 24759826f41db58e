"""What an instance on the users' platform shows of itself, as metrics."""

from __future__ import annotations

from collections.abc import Callable

import aioprometheus
from aioprometheus import renderer


class HostMetrics:
    """A registry whose gauges are read when they are asked for."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._gauges: list[
            tuple[aioprometheus.Gauge, Callable[[], float]]
        ] = []

    def watch(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge; the name carries the unit."""
        gauge = aioprometheus.Gauge(name, doc, registry=self.registry)
        self._gauges.append((gauge, read))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics as text, and the headers of that answer."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        content, headers = renderer.render(self.registry, [])
        return content, dict(headers)
