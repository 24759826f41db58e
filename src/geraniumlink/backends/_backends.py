"""What this instance knows of each backend server.

Own counts are exact and immediate; reports lag. Signs that a server is
leaving come from its own report, its refusals, peers and the instance list;
the first of them stops new work there. docs/design/leaving.md gives the rule
for signs that a server itself contradicts.
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

# A server that failed to connect is tried again after this long.
UNREACHABLE_MS = 2000
# A refusal, or a peer's word, counts for this long; then the server's own
# reports, which lag by less, have said the same or the opposite.
SIGN_MS = 10_000
# Until the first servers have been asked, new ones are looked for this often.
_FIRST_PAUSE_MS = 50
# An older report does not show that the server still serves.
FRESH_REPORT_MS = 5000


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
        self.polling = False
        # Whether it was asked for a report, with or without an answer.
        self.asked = False
        # Requests of this instance that are running there.
        self.in_flight = 0
        # Set where the instance list's word is believed.
        self.listed_as_leaving = False
        self._reported_at = 0
        self._refused_until = 0
        self._told_until = 0
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
        return (
            self.says_leaving(now)
            or self.listed_as_leaving
            or now < self._told_until
        )

    def says_leaving(self, now: int) -> bool:
        """Whether the server told this instance so itself."""
        reported = self.report is not None and self.report.leaving
        return reported or now < self._refused_until

    def says_serving(self, now: int) -> bool:
        """Whether a fresh report contradicts what others say."""
        fresh = now - self._reported_at <= FRESH_REPORT_MS
        return self.report is not None and fresh and not self.is_ending(now)

    def is_ending(self, now: int) -> bool:
        return self.declared.draining or self.says_leaving(now)

    def has_resident(self, model: str, adapter: str) -> bool:
        """Whether the model, and the adapter if any, is resident there."""
        if self.report is None or model not in self.report.resident:
            return False
        return not adapter or f"{model}/{adapter}" in self.report.resident

    def mark_unreachable(self, now: int) -> None:
        self._unreachable_until = now + UNREACHABLE_MS

    def mark_refused(self, now: int) -> None:
        """Note that it refused a request because it is leaving."""
        self._refused_until = now + SIGN_MS

    def mark_told(self, now: int) -> None:
        """Note that a peer was told by the server that it is leaving."""
        self._told_until = now + SIGN_MS

    def record_report(self, report: _engines.Report, now: int) -> None:
        if self.report is not None and self.report.boot_id != report.boot_id:
            # Another process: what was said of the former one is void.
            self._refused_until = 0
            self._told_until = 0
        self.report = report
        self._reported_at = now
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
        self._all_polled = False
        # Called at the first sign that a server itself gives.
        self.on_leaving: Callable[[Backend], None] = _ignore

    @property
    def all_polled(self) -> bool:
        """Whether every server of a first configuration has been asked.

        Before that a request could be refused for want of a report alone.
        """
        if not self._all_polled:
            self._all_polled = all(backend.asked for backend in self.all())
        return self._all_polled

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

    def say_leaving(self) -> list[Backend]:
        """Return the servers that told this instance that they leave."""
        now = self._clock.now()
        return [backend for backend in self.all() if backend.says_leaving(now)]

    def apply_instance_list(self, leaving: Iterable[str]) -> None:
        """Take the addresses that the instance list says are leaving.

        The list may be wrong. It is not believed of a server that says
        itself that it serves, where believing it would leave something
        that is resident there without any server in service.
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
        """Note that a server refused a request because it is leaving."""
        with self._noticing(backend):
            backend.mark_refused(self._clock.now())

    def record_report(self, backend: Backend, report: _engines.Report) -> None:
        """Note what a server says of itself."""
        with self._noticing(backend):
            backend.record_report(report, self._clock.now())

    @contextlib.contextmanager
    def _noticing(self, backend: Backend) -> Iterator[None]:
        known = backend.is_leaving(self._clock.now())
        yield
        if backend.says_leaving(self._clock.now()) and not known:
            _logs.event(
                "leaving",
                deployment=backend.key.deployment,
                replica=backend.key.replica,
            )
            self.on_leaving(backend)

    def record_peer_notice(self, address: str, boot_id: str) -> bool:
        """Take a peer's word that a process is leaving; return if new.

        It is passed over where the list's word would be, and when it is
        about another process than the one that reports here.
        """
        now = self._clock.now()
        news = False
        for backend in self.at_address(address):
            report = backend.report
            if report is None or report.boot_id != boot_id:
                continue
            if self._is_needed(backend, {address}, now):
                continue
            if not backend.is_leaving(now):
                news = True
                _logs.event(
                    "told_leaving",
                    deployment=backend.key.deployment,
                    replica=backend.key.replica,
                )
            backend.mark_told(now)
        return news

    def _is_needed(self, backend: Backend, named: set[str], now: int) -> bool:
        """Whether it serves, by its own word, what no other one would."""
        if not backend.says_serving(now) or backend.report is None:
            return False
        others = [
            other
            for other in self.for_deployment(backend.key.deployment)
            if other.declared.address not in named
            and other.state(now) == "serving"
        ]
        # A plain service has nothing resident: any other server will do.
        return not others or any(
            not any(other.has_resident(*_split(resident)) for other in others)
            for resident in backend.report.resident
        )

    async def poll(self, interval_ms: int) -> None:
        """Ask every server for its report, for ever.

        A server that is slow to answer does not delay the others' reports.
        """
        async with anyio.create_task_group() as group:
            while True:
                backends = self.all()
                pause_ms = interval_ms / max(1, len(backends))
                for backend in backends:
                    if not backend.polling:
                        group.start_soon(self._poll_one, backend)
                    if not backend.asked:
                        continue
                    # Spread, so that instances don't ask in step.
                    await self._clock.sleep(
                        pause_ms * random.uniform(0.5, 1.5)
                    )
                if not any(backend.asked for backend in backends):
                    await self._clock.sleep(_FIRST_PAUSE_MS)

    async def _poll_one(self, backend: Backend) -> None:
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
            backend.asked = True


def _split(resident: str) -> tuple[str, str]:
    """Return the model and the adapter of a resident's name."""
    model, _, adapter = resident.partition("/")
    return model, adapter


def _ignore(_: Backend) -> None:
    """Stand in for ``on_leaving`` until it is set."""
