"""What this instance knows of each backend server.

Own counts are exact and immediate; reports lag. Signs that a server is
leaving come from its own report, its refusals and the instance list; the
first of them stops new work there.
"""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _engines
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink._schema import geraniumlink_pb2 as pb

# A server that failed to connect is tried again after this long.
UNREACHABLE_MS = 2000


class Key(typing.NamedTuple):
    """Names a replica."""

    deployment: str
    replica: str


class Backend:
    """One backend server as seen from here."""

    def __init__(self, key: Key, declared: pb.Replica) -> None:
        self.key = key
        self.declared = declared
        self.address = _settings.parse_address(declared.address)
        self.report: _engines.Report | None = None
        # Requests of this instance that are running there.
        self.in_flight = 0
        self.listed_as_leaving = False
        self.refused_as_leaving = False
        self._unreachable_until = 0

    def state(self, now: int) -> str:
        """Return serving, draining, leaving or unreachable."""
        if self.declared.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        if now < self._unreachable_until:
            return "unreachable"
        return "serving"

    @property
    def leaving(self) -> bool:
        reported = self.report is not None and self.report.leaving
        return reported or self.refused_as_leaving or self.listed_as_leaving

    def holds(self, model: str, adapter: str) -> bool:
        """Whether the model, and the adapter if any, is resident there."""
        if self.report is None or model not in self.report.resident:
            return False
        return not adapter or f"{model}/{adapter}" in self.report.resident

    def mark_unreachable(self, now: int) -> None:
        self._unreachable_until = now + UNREACHABLE_MS

    def take_report(self, report: _engines.Report) -> None:
        if self.report is not None and self.report.boot_id != report.boot_id:
            self.refused_as_leaving = False
        self.report = report
        self._unreachable_until = 0


class Backends:
    """The backend servers of every deployment in force."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        client: _http.Client,
        clock: _clock.Clock,
    ) -> None:
        self._configuration = configuration
        self._client = client
        self._clock = clock
        self._backends: dict[Key, Backend] = {}

    def refresh(self) -> None:
        """Follow the configuration; knowledge of kept servers stays."""
        kept: dict[Key, Backend] = {}
        for deployment in self._configuration.deployments():
            for replica in deployment.replicas:
                key = Key(deployment.name, replica.name)
                kept[key] = self._keep(key, replica)
        self._backends = kept

    def _keep(self, key: Key, declared: pb.Replica) -> Backend:
        known = self._backends.get(key)
        if known is None or known.declared.address != declared.address:
            return Backend(key, declared)
        known.declared = declared
        return known

    def all(self) -> list[Backend]:
        return list(self._backends.values())

    def of(self, deployment: str) -> list[Backend]:
        return [
            backend
            for backend in self._backends.values()
            if backend.key.deployment == deployment
        ]

    async def poll(self, interval_ms: int) -> None:
        """Ask every server for its report, one after another, for ever."""
        while True:
            backends = self.all()
            pause_ms = interval_ms / max(1, len(backends))
            for backend in backends:
                await self._poll_one(backend)
                # Spread, so that instances don't ask in step.
                await self._clock.sleep(pause_ms * random.uniform(0.5, 1.5))
            if not backends:
                await self._clock.sleep(interval_ms)

    async def _poll_one(self, backend: Backend) -> None:
        try:
            report = await _engines.report(self._client, backend.address)
        except _engines.BadReportError as error:
            _logs.event(
                "bad_report",
                deployment=backend.key.deployment,
                replica=backend.key.replica,
                error=str(error),
            )
        except (_http.NotSentError, _http.BrokenError):
            backend.mark_unreachable(self._clock.now())
        else:
            backend.take_report(report)
