"""Finds and confines the requests that crash backend servers.

When a backend server goes while requests of this instance are in flight
there, each of them is a suspect. A suspect runs once at a time in the whole
fleet and as the only suspect on its server, so that a second crash has one
request in common with the first and not many. After the second crash it is
refused. docs/design/crash-suspicion.md states the rules and their limits.

Who may run a suspect is agreed among the instances that can reach each
other, without the object API; ``_trials.py`` says how.
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

MAX_PROVEN = 4096
# A server that is gone refuses at once. The bound is for one that froze; it
# is long, because a crash that is missed may cost a third server.
_PROBE_MS = 2000
_PROBE_PAUSE_MS = 50
_MAX_KNOWN_CRASHES = 256
ANY_SERVER = _trials.ANY_SERVER
Standing = _suspicions.Standing
Asked = _suspect_messages.Asked
Message = _suspect_messages.Message
Answer = _suspect_messages.Answer
_PATH = _suspect_messages.PATH


class Run(typing.NamedTuple):
    """A request in flight on one process of a backend server."""

    number: int
    fingerprint: str
    backend: _backends.Backend
    # The crash that it would be.
    process: _suspicions.ServerProcess


class CrashSuspects:
    """Admits requests, and learns from crashes here and elsewhere."""

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
        self._number = 0
        self._trials = _trials.Trials(
            clock, broadcaster.own_name, broadcaster.is_alive
        )
        self._crashed: collections.deque[_suspicions.ServerProcess] = (
            collections.deque(maxlen=_MAX_KNOWN_CRASHES)
        )
        self._probing = anyio.Lock()
        self._proven: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._unsent: list[str] = []
        self._ended: list[Asked] = []
        self._wake = anyio.Event()

    @property
    def routes(self) -> list[routing.Route]:
        return [routing.Route(_PATH, self._receive, methods=["POST"])]

    def standing(self, fingerprint: str) -> Standing:
        return self._suspicions.standing(fingerprint)

    def recently_completed(self, fingerprint: str) -> bool:
        """Whether such a request completed through this instance lately."""
        return fingerprint in self._proven

    def trial_addresses(self) -> set[str]:
        """Return the addresses of servers that run a suspect now."""
        return self._trials.addresses()

    def start_run(self, fingerprint: str, backend: _backends.Backend) -> Run:
        """Note that a request is in flight; ``leave`` takes it back."""
        self._number += 1
        boot_id = backend.report.boot_id if backend.report else ""
        process = _suspicions.ServerProcess(backend.declared.address, boot_id)
        run = Run(self._number, fingerprint, backend, process)
        self._runs[run.number] = run
        return run

    def end_run(self, run: Run) -> None:
        """Note that a request is no longer in flight on this server."""
        del self._runs[run.number]
        self.record_survival(run)

    def record_completion(self, run: Run) -> None:
        """Take a request that ran to its end off suspicion."""
        self._proven[run.fingerprint] = None
        self._proven.move_to_end(run.fingerprint)
        if len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)
        if self.standing(run.fingerprint) is Standing.CLEAR:
            return
        self._suspicions.clear_crashes(run.fingerprint)
        self._unsent.append(run.fingerprint)
        self._wake.set()

    async def check_crash(self, run: Run) -> bool:
        """Find out whether a broken connection was a crash.

        When it was, every request of this instance that was in flight on
        that process becomes a suspect, and peers have been told, as far as
        they can be reached, before this returns.
        """
        if run.backend.is_ending(self._clock.now()):
            # It was going to stop, so no request need have stopped it.
            return False
        trial = self._trials.on_server(run.process.address)
        async with self._probing:
            if run.process in self._crashed:
                return True
            if not await self._has_gone(run):
                _logs.event("no_crash", server=run.process.address)
                return False
            self._crashed.append(run.process)
            await self._suspect(run.process, trial)
        return True

    def record_survival(self, run: Run) -> None:
        """Let the next suspect have the server of one that got on there.

        It went past the place where the server crashed. It stays a suspect
        until it completes.
        """
        if self._trials.runs(run.fingerprint):
            self.release_trial(run.fingerprint)

    async def reserve_trial(self, fingerprint: str, address: str) -> bool:
        """Ask for the only run of a request, and of a suspect on a server.

        Peers' answers bring what they hold against it, so its standing may
        have changed. ``leave`` ends what was granted; ``release`` does
        without a run.
        """
        if self._trials.objection(fingerprint, address):
            return False
        if self._runs_now(fingerprint):
            return False
        trial = self._trials.begin(fingerprint, address)
        try:
            granted = await self._ask(trial)
        except BaseException:
            # The caller left, or its deadline passed.
            if self._trials.stands(trial):
                self.release_trial(fingerprint)
            raise
        if not self._trials.stands(trial):
            return False
        if not granted or self.standing(fingerprint) is Standing.CONFIRMED:
            self.release_trial(fingerprint)
            return False
        self._trials.run(trial)
        return True

    def release_trial(self, fingerprint: str) -> None:
        """Give back a reservation."""
        ended = self._trials.end(fingerprint)
        if ended is not None:
            self._tell_ended([ended])

    def _tell_ended(self, ended: list[Asked]) -> None:
        self._ended += ended
        self._wake.set()

    async def run_gossip(self, interval_ms: int) -> None:
        """Send what is over, and compare tables with one peer, for ever.

        Comparing reaches peers that were cut off or not yet started when
        the news was told. Nothing is sent while nothing is suspected.
        """
        while True:
            with anyio.move_on_after(interval_ms / 1000):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._send_pending()
            latest = self._suspicions.latest()
            if latest:
                message = self._message(latest, compare=True)
                self._take_answers(
                    await self._broadcaster.broadcast(_PATH, message, count=1)
                )

    async def _send_pending(self) -> None:
        while self._unsent or self._ended:
            cleared = self._unsent[: _suspicions.MAX_SENT]
            ended = self._ended[: _suspect_messages.MAX_ENDED]
            del self._unsent[: len(cleared)]
            del self._ended[: len(ended)]
            entries = self._entries(cleared)
            message = self._message(entries, ended=ended)
            self._take_answers(
                await self._broadcaster.broadcast(_PATH, message)
            )

    async def _suspect(
        self, process: _suspicions.ServerProcess, trial: _trials.Trial | None
    ) -> None:
        found = {
            run.fingerprint
            for run in self._runs.values()
            if run.process == process
        }
        fresh = sorted(
            fingerprint
            for fingerprint in found
            if self._counts(fingerprint, trial)
        )
        for fingerprint in fresh:
            self._suspicions.add_crash(fingerprint, process)
            self._metrics.suspicions.inc({})
            _logs.event(
                "suspected",
                fingerprint=fingerprint,
                server=process.address,
                standing=self.standing(fingerprint).name,
            )
        while fresh:
            entries = self._entries(fresh[: _suspicions.MAX_SENT])
            del fresh[: _suspicions.MAX_SENT]
            message = self._message(entries)
            self._take_answers(
                await self._broadcaster.broadcast(
                    _PATH, message, sends=_broadcast.CRASH_NEWS_SENDS
                )
            )

    def _counts(self, fingerprint: str, trial: _trials.Trial | None) -> bool:
        """Whether a crash counts against a request that was present.

        Where a suspect was on trial, the crash is its own, and not that of
        suspects which had got on there before.
        """
        if trial is None or trial.fingerprint == fingerprint:
            return True
        return self.standing(fingerprint) is Standing.CLEAR

    async def _has_gone(self, run: Run) -> bool:
        """Whether nobody listens there now, or another process does."""
        with anyio.move_on_after(_PROBE_MS / 1000):
            while True:
                try:
                    return await self._probe(run)
                except (
                    _http.BrokenError,
                    _http.NotSentError,
                    _engines.BadReportError,
                ) as error:
                    # A process may be going: ask again.
                    _logs.event(
                        "crash_probe_failed",
                        server=run.process.address,
                        error=str(error),
                    )
                    await self._clock.sleep(_PROBE_PAUSE_MS)
        return False

    async def _probe(self, run: Run) -> bool:
        backend = run.backend
        try:
            report = await _engines.fetch_report(self._client, backend.address)
        except _http.GoneError:
            backend.mark_unreachable(self._clock.now())
            return True
        backend.record_report(report, self._clock.now())
        return report.boot_id != run.process.boot_id

    async def _ask(self, trial: _trials.Trial) -> bool:
        message = self._message(
            self._entries([trial.fingerprint]),
            trials=[Asked(trial.fingerprint, trial.address, trial.number)],
        )
        answers = await self._broadcaster.broadcast(_PATH, message)
        return self._take_answers(answers)

    def _runs_now(self, fingerprint: str) -> bool:
        return any(
            run.fingerprint == fingerprint for run in self._runs.values()
        )

    def _grant(self, sender: str, asked: Asked) -> bool:
        if self.standing(asked.fingerprint) is Standing.CONFIRMED:
            return False
        if self._runs_now(asked.fingerprint):
            return False
        given_up = self._trials.grant(sender, asked)
        self._tell_ended(given_up or [])
        return given_up is not None

    def _entries(self, fingerprints: list[str]) -> list[_suspicions.Suspicion]:
        found = [self._suspicions.get(name) for name in fingerprints]
        return [entry for entry in found if entry is not None]

    def _message(
        self,
        entries: list[_suspicions.Suspicion],
        *,
        trials: list[Asked] | None = None,
        ended: list[Asked] | None = None,
        compare: bool = False,
    ) -> Message:
        return Message(
            sender=self._broadcaster.own_name,
            suspicions=_suspicions.to_json(entries),
            trials=[list(asked) for asked in trials or ()],
            ended=[list(asked) for asked in ended or ()],
            compare=compare,
        )

    def _take_answers(self, answers: list[typing.Any]) -> bool:
        """Merge what peers know; return whether all of them granted."""
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

    async def _receive(self, request: requests.Request) -> responses.Response:
        try:
            message = json.loads(
                await _peer_protocol.read_bounded_body(request)
            )
            answer = self._answer(_suspect_messages.check(message))
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_suspicions", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        return responses.JSONResponse(answer)

    def _answer(self, message: Message) -> Answer:
        sender = message["sender"]
        received = _suspicions.from_json(message["suspicions"])
        self._suspicions.merge(received)
        for over in _suspect_messages.read_asked(
            message["ended"], _suspect_messages.MAX_ENDED
        ):
            self._trials.take_end(sender, over)
        granted = all(
            self._grant(sender, asked)
            for asked in _suspect_messages.read_asked(message["trials"], 1)
        )
        if message["compare"]:
            known = self._suspicions.latest()
        else:
            known = self._entries([entry.fingerprint for entry in received])
        return Answer(suspicions=_suspicions.to_json(known), granted=granted)


def crash_refusal() -> _refusals.Refusal:
    """Return the final answer to a request that crashed two servers."""
    return _refusals.Refusal(
        _refusals.Code.FAILED_PRECONDITION,
        "backend servers crashed twice while they ran this request; it is"
        " not run again",
        _refusals.Execution.MAY_HAVE_RUN,
    )
