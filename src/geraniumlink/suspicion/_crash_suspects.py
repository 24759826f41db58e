"""Detects requests that crash backend servers, and limits their runs.

When a backend server crashes, every request that this instance had in flight
there becomes a suspect. A suspect runs at most once at a time in the whole
fleet, as the only suspect on its server. A second crash then has a single
request in common with the first. After the second crash the request is
refused. docs/design/crash-suspicion.md states the rules and their limits.

The instances that can reach each other agree on who runs a suspect, without
the object API; see ``_trials.py``.
"""

from __future__ import annotations

import collections
import json
import typing

import anyio
from starlette import requests
from starlette import responses
from starlette import routing

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink.backends import _backends
from geraniumlink.backends import _engines
from geraniumlink.members import _peer_protocol
from geraniumlink.requests import _refusals
from geraniumlink.suspicion import _broadcast
from geraniumlink.suspicion import _suspect_messages
from geraniumlink.suspicion import _suspicions
from geraniumlink.suspicion import _trials

# Fingerprints of requests that completed last.
MAX_COMPLETED = 4096
# How long a server is probed after a broken connection. A crashed server
# refuses connections at once, so the limit only matters for one that hangs.
# It is long because after a missed crash the request may crash a third server.
_PROBE_TIMEOUT_MS = 2000
_PROBE_PAUSE_MS = 50
# Crashed processes that are remembered, so that each is counted once.
_MAX_KNOWN_CRASHES = 256
ANY_SERVER = _trials.ANY_SERVER
Standing = _suspicions.Standing
TrialRef = _suspect_messages.TrialRef
Message = _suspect_messages.Message
Answer = _suspect_messages.Answer
_PATH = _suspect_messages.PATH


class Run(typing.NamedTuple):
    """One request in flight on one process of a backend server."""

    number: int
    fingerprint: str
    backend: _backends.Backend
    # The process that the server reported last when the run began.
    process: _suspicions.ServerProcess


class CrashSuspects:
    """Tracks requests in flight, and records crashes here and elsewhere.

    Crashes that peers saw arrive in their messages.
    """

    def __init__(
        self,
        client: _http.Client,
        clock: _clock.Clock,
        broadcaster: _broadcast.Broadcaster,
        metrics: _metrics.Metrics,
    ) -> None:
        self._client = client
        self._clock = clock
        self._broadcaster = broadcaster
        self._metrics = metrics
        self._suspicions = _suspicions.SuspicionTable(clock)
        self._runs: dict[int, Run] = {}
        self._last_run_number = 0
        self._trials = _trials.Trials(
            clock, broadcaster.own_name, broadcaster.is_alive
        )
        self._known_crashes: collections.deque[_suspicions.ServerProcess] = (
            collections.deque(maxlen=_MAX_KNOWN_CRASHES)
        )
        self._probe_lock = anyio.Lock()
        self._completed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._unsent_cleared: list[str] = []
        self._unsent_ended: list[TrialRef] = []
        self._has_news = anyio.Event()

    @property
    def routes(self) -> list[routing.Route]:
        return [routing.Route(_PATH, self._handle_message, methods=["POST"])]

    def standing(self, fingerprint: str) -> Standing:
        """Return how requests with this fingerprint may run."""
        return self._suspicions.standing(fingerprint)

    def recently_completed(self, fingerprint: str) -> bool:
        """Whether such a request is among those that completed here last."""
        return fingerprint in self._completed

    def trial_addresses(self) -> set[str]:
        """Return the addresses of the servers that trials have reserved."""
        return self._trials.addresses()

    def start_run(self, fingerprint: str, backend: _backends.Backend) -> Run:
        """Record that a request is in flight, until ``end_run``."""
        self._last_run_number += 1
        boot_id = backend.report.boot_id if backend.report else ""
        process = _suspicions.ServerProcess(backend.declared.address, boot_id)
        run = Run(self._last_run_number, fingerprint, backend, process)
        self._runs[run.number] = run
        return run

    def end_run(self, run: Run) -> None:
        """Record that a request is no longer in flight; end its trial."""
        del self._runs[run.number]
        self.record_survival(run)

    def record_completion(self, run: Run) -> None:
        """Clear a request that completed of the crashes recorded for it."""
        self._completed[run.fingerprint] = None
        self._completed.move_to_end(run.fingerprint)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        if self.standing(run.fingerprint) is Standing.CLEAR:
            return
        self._suspicions.clear_crashes(run.fingerprint)
        self._unsent_cleared.append(run.fingerprint)
        self._has_news.set()

    async def check_crash(self, run: Run) -> bool:
        """Probe whether a connection broke because the server crashed.

        If so, every request that this instance had in flight on that process
        becomes a suspect. Before this returns, the news has been sent to all
        peers that can be reached.
        """
        if run.backend.is_stopping(self._clock.now()):
            # It was about to stop anyway, so no request is to blame.
            return False
        trial = self._trials.on_server(run.process.address)
        async with self._probe_lock:
            if run.process in self._known_crashes:
                return True
            if not await self._has_crashed(run):
                _logs.event("no_crash", server=run.process.address)
                return False
            self._known_crashes.append(run.process)
            await self._record_crash(run.process, trial)
        return True

    def record_survival(self, run: Run) -> None:
        """End a request's trial once it has run past the likely crash.

        This frees the server for the next suspect. The request remains a
        suspect until it completes.
        """
        if self._trials.is_running(run.fingerprint):
            self.release_trial(run.fingerprint)

    async def reserve_trial(self, fingerprint: str, address: str) -> bool:
        """Request a trial: the request's only run, alone on the server.

        Returns whether it was granted. The peers' answers carry the crashes
        that they recorded for the request, so its standing may have changed.
        ``end_run`` ends a granted trial, and so does ``release_trial`` if no
        run was started.
        """
        if self._trials.conflicting(fingerprint, address):
            return False
        if self._is_in_flight(fingerprint):
            return False
        trial = self._trials.propose(fingerprint, address)
        try:
            granted = await self._request_grant(trial)
        except BaseException:
            # Cancelled: the client disconnected, or its deadline passed.
            if self._trials.is_current(trial):
                self.release_trial(fingerprint)
            raise
        if not self._trials.is_current(trial):
            return False
        if not granted or self.standing(fingerprint) is Standing.CONFIRMED:
            self.release_trial(fingerprint)
            return False
        self._trials.mark_granted(trial)
        return True

    def release_trial(self, fingerprint: str) -> None:
        """End this instance's trial of a request, if any, and tell peers."""
        ended = self._trials.end_own(fingerprint)
        if ended is not None:
            self._queue_ended([ended])

    def _queue_ended(self, ended: list[TrialRef]) -> None:
        self._unsent_ended += ended
        self._has_news.set()

    async def run_gossip(self, interval_ms: int) -> None:
        """Send pending news, and compare tables with one peer, in a loop.

        The comparison reaches peers that were disconnected or not yet started
        when the news was sent. It is skipped while the table is empty.
        """
        while True:
            with anyio.move_on_after(interval_ms / 1000):
                await self._has_news.wait()
            self._has_news = anyio.Event()
            await self._send_pending()
            latest = self._suspicions.latest()
            if latest:
                message = self._make_message(latest, compare=True)
                self._merge_answers(
                    await self._broadcaster.broadcast(
                        _PATH, message, max_peers=1
                    )
                )

    async def _send_pending(self) -> None:
        while self._unsent_cleared or self._unsent_ended:
            cleared = self._unsent_cleared[
                : _suspicions.MAX_ENTRIES_PER_MESSAGE
            ]
            ended = self._unsent_ended[: _suspect_messages.MAX_ENDED]
            del self._unsent_cleared[: len(cleared)]
            del self._unsent_ended[: len(ended)]
            entries = self._get_entries(cleared)
            message = self._make_message(entries, ended=ended)
            self._merge_answers(
                await self._broadcaster.broadcast(_PATH, message)
            )

    async def _record_crash(
        self, process: _suspicions.ServerProcess, trial: _trials.Trial | None
    ) -> None:
        """Make suspects of the requests in flight there, and tell peers."""
        in_flight = {
            run.fingerprint
            for run in self._runs.values()
            if run.process == process
        }
        suspects = sorted(
            fingerprint
            for fingerprint in in_flight
            if self._counts_against(fingerprint, trial)
        )
        for fingerprint in suspects:
            self._suspicions.add_crash(fingerprint, process)
            self._metrics.suspicions.inc({})
            _logs.event(
                "suspected",
                fingerprint=fingerprint,
                server=process.address,
                standing=self.standing(fingerprint).name,
            )
        while suspects:
            entries = self._get_entries(
                suspects[: _suspicions.MAX_ENTRIES_PER_MESSAGE]
            )
            del suspects[: _suspicions.MAX_ENTRIES_PER_MESSAGE]
            message = self._make_message(entries)
            self._merge_answers(
                await self._broadcaster.broadcast(
                    _PATH, message, attempts=_broadcast.CRASH_NEWS_ATTEMPTS
                )
            )

    def _counts_against(
        self, fingerprint: str, trial: _trials.Trial | None
    ) -> bool:
        """Whether a crash counts against a request that was in flight.

        If a suspect had a trial on the server, the crash is attributed to it,
        and not to other suspects whose trials there had already ended.
        Requests that aren't suspects yet become suspects all the same.
        """
        if trial is None or trial.fingerprint == fingerprint:
            return True
        return self.standing(fingerprint) is Standing.CLEAR

    async def _has_crashed(self, run: Run) -> bool:
        """Whether the process has ended or was replaced, by repeated probes.

        A server whose state is still unknown at the timeout counts as alive.
        """
        with anyio.move_on_after(_PROBE_TIMEOUT_MS / 1000):
            while True:
                try:
                    return await self._probe(run)
                except (
                    _http.BrokenError,
                    _http.NotSentError,
                    _engines.BadReportError,
                ) as error:
                    # The process may be about to exit, so probe again.
                    _logs.event(
                        "crash_probe_failed",
                        server=run.process.address,
                        error=str(error),
                    )
                    await self._clock.sleep(_PROBE_PAUSE_MS)
        return False

    async def _probe(self, run: Run) -> bool:
        """Return whether the process has ended or was replaced.

        Any other failure than a refused connection is raised.
        """
        backend = run.backend
        try:
            report = await _engines.fetch_report(self._client, backend.address)
        except _http.NoListenerError:
            backend.mark_unreachable(self._clock.now())
            return True
        backend.record_report(report, self._clock.now())
        return report.boot_id != run.process.boot_id

    async def _request_grant(self, trial: _trials.Trial) -> bool:
        message = self._make_message(
            self._get_entries([trial.fingerprint]),
            trials=[TrialRef(trial.fingerprint, trial.address, trial.number)],
        )
        answers = await self._broadcaster.broadcast(_PATH, message)
        return self._merge_answers(answers)

    def _is_in_flight(self, fingerprint: str) -> bool:
        return any(
            run.fingerprint == fingerprint for run in self._runs.values()
        )

    def _grant_trial(self, sender: str, requested: TrialRef) -> bool:
        """Grant a peer's trial unless the request is confirmed or running."""
        if self.standing(requested.fingerprint) is Standing.CONFIRMED:
            return False
        if self._is_in_flight(requested.fingerprint):
            return False
        withdrawn = self._trials.grant(sender, requested)
        self._queue_ended(withdrawn or [])
        return withdrawn is not None

    def _get_entries(
        self, fingerprints: list[str]
    ) -> list[_suspicions.Suspicion]:
        entries = [self._suspicions.get(name) for name in fingerprints]
        return [entry for entry in entries if entry is not None]

    def _make_message(
        self,
        entries: list[_suspicions.Suspicion],
        *,
        trials: list[TrialRef] | None = None,
        ended: list[TrialRef] | None = None,
        compare: bool = False,
    ) -> Message:
        return Message(
            sender=self._broadcaster.own_name,
            suspicions=_suspicions.to_json(entries),
            trials=[list(trial) for trial in trials or ()],
            ended=[list(trial) for trial in ended or ()],
            compare=compare,
        )

    def _merge_answers(self, answers: list[typing.Any]) -> bool:
        """Merge the peers' entries; return whether all granted the trial.

        A malformed answer is logged and doesn't count as an objection.
        """
        granted = True
        for answer in answers:
            try:
                entries = _suspicions.from_json(answer["suspicions"])
                granted = granted and answer["granted"] is True
            except (ValueError, KeyError, TypeError) as error:
                _logs.event("bad_suspicions", error=str(error))
            else:
                self._suspicions.merge(entries)
        return granted

    async def _handle_message(
        self, request: requests.Request
    ) -> responses.Response:
        try:
            message = json.loads(
                await _peer_protocol.read_bounded_body(request)
            )
            answer = self._process_message(_suspect_messages.validate(message))
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_suspicions", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        return responses.JSONResponse(answer)

    def _process_message(self, message: Message) -> Answer:
        """Merge a peer's entries and ended trials; decide on its trial."""
        sender = message["sender"]
        received = _suspicions.from_json(message["suspicions"])
        self._suspicions.merge(received)
        for trial_ref in _suspect_messages.parse_trial_refs(
            message["ended"], _suspect_messages.MAX_ENDED
        ):
            self._trials.record_end(sender, trial_ref)
        granted = all(
            self._grant_trial(sender, requested)
            for requested in _suspect_messages.parse_trial_refs(
                message["trials"], 1
            )
        )
        if message["compare"]:
            known = self._suspicions.latest()
        else:
            known = self._get_entries(
                [entry.fingerprint for entry in received]
            )
        return Answer(suspicions=_suspicions.to_json(known), granted=granted)


def crash_refusal() -> _refusals.Refusal:
    """Return the refusal of a request that crashed two servers."""
    return _refusals.Refusal(
        _refusals.Code.FAILED_PRECONDITION,
        "backend servers crashed twice while they ran this request; it is"
        " not run again",
        _refusals.Execution.MAY_HAVE_RUN,
    )
