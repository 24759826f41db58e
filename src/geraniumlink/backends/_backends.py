"""The state of each backend server, as this instance sees it.

The counts of this instance's own requests are exact and current; a server's
reports lag. A server may be announced as leaving by its own report, by its
refusals, by peers and by the instance list. The first of these signals stops
new requests to it. Signals from peers or the list are ignored if the server's
own report contradicts them and something could be served nowhere else; see
``Backends.apply_instance_list``.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings
from geraniumlink.backends import _engines
from geraniumlink.configuration import _configuration

# How long a server is skipped after a failed connection, unless it answers a
# poll before.
UNREACHABLE_MS = 2000
# How long a refusal or a peer's notice counts as a signal of leaving. Reports
# lag by less at the default poll interval (``report_ms``, 1 s), so by then
# the server's own report has confirmed or denied it.
LEAVING_SIGNAL_MS = 10_000
# How often to look for servers to poll while none has been polled yet.
_FIRST_POLL_PAUSE_MS = 50
# A report older than this is no evidence that the server is still in service.
FRESH_REPORT_MS = 5000


class Key(typing.NamedTuple):
    """Identifies a replica: its deployment and its name there."""

    deployment: str
    replica: str


class Backend:
    """One replica of a deployment: its declaration and last known state."""

    def __init__(self, key: Key, declared: pb.Replica) -> None:
        self.key = key
        self.declared = declared
        self.address = _settings.parse_address(declared.address)
        self.report: _engines.Report | None = None
        self.polling = False
        # Whether a poll for its report has finished, even without an answer.
        self.polled = False
        # This instance's requests in flight there.
        self.in_flight = 0
        # Whether the instance list says that it is leaving and is believed.
        self.listed_as_leaving = False
        # Times on the monotonic clock, in milliseconds.
        self._reported_at = 0
        self._refused_until = 0
        self._announced_until = 0
        self._unreachable_until = 0

    def state(self, now: int) -> str:
        """Return serving, draining, leaving or unreachable."""
        if self.declared.draining:
            return "draining"
        if self.is_leaving(now):
            return "leaving"
        if now < self._unreachable_until:
            return "unreachable"
        return "serving"

    def is_leaving(self, now: int) -> bool:
        """Whether the server itself, the instance list or a peer says so."""
        return (
            self.reports_leaving(now)
            or self.listed_as_leaving
            or now < self._announced_until
        )

    def reports_leaving(self, now: int) -> bool:
        """Whether its last report or a recent refusal says so."""
        reported = self.report is not None and self.report.leaving
        return reported or now < self._refused_until

    def reports_serving(self, now: int) -> bool:
        """Whether a fresh report, and no refusal, says it is in service."""
        fresh = now - self._reported_at <= FRESH_REPORT_MS
        return self.report is not None and fresh and not self.is_stopping(now)

    def is_stopping(self, now: int) -> bool:
        """Whether it is declared as draining or says itself that it leaves."""
        return self.declared.draining or self.reports_leaving(now)

    def has_resident(self, model: str, adapter: str) -> bool:
        """Whether its report lists the model, and the adapter if any."""
        if self.report is None or model not in self.report.resident:
            return False
        return not adapter or f"{model}/{adapter}" in self.report.resident

    def mark_unreachable(self, now: int) -> None:
        """Record a failed connection; new requests skip the server."""
        self._unreachable_until = now + UNREACHABLE_MS

    def mark_refused(self, now: int) -> None:
        """Record that it refused a request because it is leaving."""
        self._refused_until = now + LEAVING_SIGNAL_MS

    def mark_announced(self, now: int) -> None:
        """Record a peer's notice that the server is leaving."""
        self._announced_until = now + LEAVING_SIGNAL_MS

    def record_report(self, report: _engines.Report, now: int) -> None:
        """Store a report; discard signals about an earlier process."""
        if self.report is not None and self.report.boot_id != report.boot_id:
            # Restarted: the signals were about the previous process.
            self._refused_until = 0
            self._announced_until = 0
        self.report = report
        self._reported_at = now
        self._unreachable_until = 0


class Backends:
    """The backend servers of every deployment in the configuration."""

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
        self._all_polled = False
        # Called with a server when its own report or refusal is the first
        # signal that it is leaving.
        self.on_leaving: Callable[[Backend], None] = _do_nothing

    @property
    def all_polled(self) -> bool:
        """Whether every server has been polled once since the start.

        Before that, a request could be refused just because the server that
        holds its model hasn't reported yet. Stays true once it is; servers
        that are added later don't change it.
        """
        if not self._all_polled:
            self._all_polled = all(backend.polled for backend in self.all())
        return self._all_polled

    def refresh(self) -> None:
        """Adopt the configured replicas; unmoved ones keep their state."""
        kept: dict[Key, Backend] = {}
        for deployment in self._configuration.deployments():
            for replica in deployment.replicas:
                key = Key(deployment.name, replica.name)
                kept[key] = self._reuse_or_create(key, replica)
        self._backends = kept

    def _reuse_or_create(self, key: Key, declared: pb.Replica) -> Backend:
        """Return the known backend, or a new one if its address changed."""
        known = self._backends.get(key)
        if known is None or known.declared.address != declared.address:
            return Backend(key, declared)
        known.declared = declared
        return known

    def all(self) -> list[Backend]:
        return list(self._backends.values())

    def for_deployment(self, deployment: str) -> list[Backend]:
        return [
            backend
            for backend in self._backends.values()
            if backend.key.deployment == deployment
        ]

    def at_address(self, address: str) -> list[Backend]:
        """Return the servers at an address, one for each deployment."""
        return [
            backend
            for backend in self._backends.values()
            if backend.declared.address == address
        ]

    def reporting_leaving(self) -> list[Backend]:
        """Return the servers whose reports or refusals say they leave."""
        now = self._clock.now()
        return [
            backend for backend in self.all() if backend.reports_leaving(now)
        ]

    def apply_instance_list(self, leaving: Iterable[str]) -> None:
        """Apply the addresses of leaving servers from the instance list.

        The list may be wrong. It is ignored for a server that reports itself
        in service if a deployment, model or adapter would otherwise be left
        without any server in service.
        """
        now = self._clock.now()
        named = set(leaving)
        before = {
            backend.key for backend in self.all() if backend.listed_as_leaving
        }
        for backend in self.all():
            backend.listed_as_leaving = False
        for backend in self.all():
            backend.listed_as_leaving = (
                backend.declared.address in named
                and not self._is_needed(backend, named, now)
            )
            if backend.listed_as_leaving != (backend.key in before):
                _logs.event(
                    "listed_as_leaving",
                    deployment=backend.key.deployment,
                    replica=backend.key.replica,
                    leaving=backend.listed_as_leaving,
                )

    def record_refusal(self, backend: Backend) -> None:
        """Record that a server refused a request because it is leaving."""
        with self._detecting_leaving(backend):
            backend.mark_refused(self._clock.now())

    def record_report(self, backend: Backend, report: _engines.Report) -> None:
        """Record a server's report of itself."""
        with self._detecting_leaving(backend):
            backend.record_report(report, self._clock.now())

    @contextlib.contextmanager
    def _detecting_leaving(self, backend: Backend) -> Iterator[None]:
        """Call ``on_leaving`` if the body records that the server leaves.

        It isn't called if that was already known from any source.
        """
        was_leaving = backend.is_leaving(self._clock.now())
        yield
        if backend.reports_leaving(self._clock.now()) and not was_leaving:
            _logs.event(
                "leaving",
                deployment=backend.key.deployment,
                replica=backend.key.replica,
            )
            self.on_leaving(backend)

    def record_peer_notice(self, address: str, boot_id: str) -> bool:
        """Record a peer's notice that a process is leaving.

        Returns whether that was unknown for any server at the address. The
        notice is ignored where the instance list would be, and if it is about
        another process than the one whose report this instance has.
        """
        now = self._clock.now()
        was_unknown = False
        for backend in self.at_address(address):
            report = backend.report
            if report is None or report.boot_id != boot_id:
                continue
            if self._is_needed(backend, {address}, now):
                continue
            if not backend.is_leaving(now):
                was_unknown = True
                _logs.event(
                    "told_leaving",
                    deployment=backend.key.deployment,
                    replica=backend.key.replica,
                )
            backend.mark_announced(now)
        return was_unknown

    def _is_needed(self, backend: Backend, named: set[str], now: int) -> bool:
        """Whether only this server, by its own report, can serve something.

        Servers at the ``named`` addresses are not counted as alternatives.
        """
        if not backend.reports_serving(now) or backend.report is None:
            return False
        others = [
            other
            for other in self.for_deployment(backend.key.deployment)
            if other.declared.address not in named
            and other.state(now) == "serving"
        ]
        # A plain service has no resident models, so any other server will do.
        return not others or any(
            not any(
                other.has_resident(*_split_resident(resident))
                for other in others
            )
            for resident in backend.report.resident
        )

    async def poll(self, interval_ms: int) -> None:
        """Request a report from each server once per interval, in a loop.

        Each poll is a task of its own, so a slow server doesn't delay others.
        """
        async with anyio.create_task_group() as group:
            while True:
                backends = self.all()
                pause_ms = interval_ms / max(1, len(backends))
                for backend in backends:
                    if not backend.polling:
                        group.start_soon(self._poll_one, backend)
                    # No pause for a server whose first poll hasn't finished,
                    # so that all are polled soon after the start.
                    if not backend.polled:
                        continue
                    # Random, so that instances don't poll in lockstep.
                    await self._clock.sleep(
                        pause_ms * random.uniform(0.5, 1.5)
                    )
                if not any(backend.polled for backend in backends):
                    await self._clock.sleep(_FIRST_POLL_PAUSE_MS)

    async def _poll_one(self, backend: Backend) -> None:
        """Fetch and record a report; log an invalid one."""
        backend.polling = True
        try:
            report = await _engines.fetch_report(self._client, backend.address)
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
            self.record_report(backend, report)
        finally:
            backend.polling = False
            backend.polled = True


def _split_resident(resident: str) -> tuple[str, str]:
    """Split the name of a resident into model and adapter."""
    model, _, adapter = resident.partition("/")
    return model, adapter


def _do_nothing(_: Backend) -> None:
    """Do nothing: the default of ``on_leaving``."""
