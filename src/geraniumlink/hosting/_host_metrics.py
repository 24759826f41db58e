"""The metrics registry of an instance on the users' platform."""

from __future__ import annotations

from collections.abc import Callable

import aioprometheus
from aioprometheus import renderer

from geraniumlink import _connection_limits


class HostMetrics:
    """A registry whose gauges are read when the metrics are rendered."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._gauges: list[
            tuple[aioprometheus.Gauge, Callable[[], float]]
        ] = []
        self._refusals = aioprometheus.Counter(
            "geraniumlink_clients_refused_total",
            "Connections closed and requests refused at a limit, by cause",
            registry=self.registry,
        )

    def count_refusal(self, cause: _connection_limits.Cause) -> None:
        """Count a closed connection or a refused request."""
        self._refusals.inc({"cause": cause.value})

    def add_gauge(
        self, name: str, description: str, read_value: Callable[[], float]
    ) -> None:
        """Add a gauge whose name ends in the unit of its value, if any."""
        gauge = aioprometheus.Gauge(name, description, registry=self.registry)
        self._gauges.append((gauge, read_value))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Read the gauges; return all metrics as text, and HTTP headers."""
        for gauge, read_value in self._gauges:
            gauge.set({}, read_value())
        content, headers = renderer.render(self.registry, [])
        return content, dict(headers)
