"""Runs non-idempotent calls at most once.

docs/design/at-most-once.md gives the reasons. specs/claims.py is the model;
the names of the log lines here are the names of its steps.
"""

from __future__ import annotations

from collections.abc import Callable
import hashlib
import random
import uuid

import anyio
from anyio import abc
import expression

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings
from geraniumlink.once import _claim_queries
from geraniumlink.once import _claims
from geraniumlink.once import _keys
from geraniumlink.once import _resolution
from geraniumlink.once import _runs
from geraniumlink.requests import _answers
from geraniumlink.requests import _call_dispatch
from geraniumlink.requests import _call_refusals
from geraniumlink.requests import _refusals

# The most runs that an instance executes or whose outcomes are not stored
# yet; further calls are refused.
MAX_LIVE_RUNS = 500
# Mean pause between attempts to store an outcome.
RECORD_RETRY_MS = 500
Result = expression.Result[_runs.RunResult, _refusals.Refusal]
_MAY_HAVE_RUN = _refusals.Execution.MAY_HAVE_RUN


class AtMostOnceExecutor:
    """Claims a key, sends its call, and records the call's outcome."""

    def __init__(
        self,
        dispatcher: _call_dispatch.CallDispatcher,
        store: _claims.ClaimStore,
        client: _http.Client,
        clock: _clock.Clock,
        name: str,
        peer_address: _settings.Address,
        peers: Callable[[], list[_settings.Address]],
    ) -> None:
        self._dispatcher = dispatcher
        self._store = store
        # If the server closed an idle connection while a call was being
        # written to it, the outcome would be unknown. So each call has a new
        # connection.
        self._fresh_client = _http.Client(keeps_alive=False)
        self._clock = clock
        self._owner = _claims.Owner(name, uuid.uuid4().hex, str(peer_address))
        self._runs = _runs.RunRegistry()
        self._task_group: abc.TaskGroup | None = None
        boot_id = self._owner.boot_id
        self.query_handler = _claim_queries.QueryHandler(self._runs, boot_id)
        self._resolver = _resolution.Resolver(
            self.query_handler, client, clock, boot_id, peers
        )

    @property
    def in_flight(self) -> int:
        """The number of calls that are live or whose outcome isn't stored."""
        return len(self._runs)

    async def run(self) -> None:
        """Host the tasks of runs, which outlive their callers, for ever."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            try:
                await anyio.sleep_forever()
            finally:
                self._task_group = None

    async def execute(
        self,
        request: pb.CallRequest,
        key: _keys.Key,
        timeout_ms: int,
        known_service: bool,
    ) -> Result:
        """Return the answer of the key's only run, or a refusal.

        Starts a run unless one is live or recently ended here; the run finds
        out whether another instance has claimed the key.
        """
        refusal = _keys.check_age(key, self._clock.wall())
        if refusal is not None:
            return expression.Error(refusal)
        deadline = self._clock.now() + timeout_ms
        claim = self._new_claim(request, key)
        run = self._runs.get(claim.name)
        started_run = run is None
        if run is None:
            recent = self._runs.recent_claim(claim.name)
            if recent is not None:
                return _to_result(
                    _resolution.replay_outcome(recent, claim.digest)
                )
            if self._task_group is None or len(self._runs) >= MAX_LIVE_RUNS:
                return expression.Error(_call_refusals.too_many_calls())
            run = _runs.Run(claim, deadline)
            self._runs.add(run)
            self._task_group.start_soon(
                self._execute_run, run, request, known_service
            )
        elif run.claim.digest != claim.digest:
            return expression.Error(_call_refusals.key_reused())
        result = await self._wait(run, deadline)
        if started_run:
            return result
        return result.map(lambda ended: ended._replace(replayed=True))

    def _new_claim(
        self, request: pb.CallRequest, key: _keys.Key
    ) -> _claims.Claim:
        return _claims.Claim(
            request.service,
            key,
            compute_request_digest(request),
            self._owner,
            uuid.uuid4().hex,
        )

    async def _wait(self, run: _runs.Run, deadline: int) -> Result:
        """Wait for a run's result until a caller's deadline."""
        run.waiters += 1
        run.deadline = max(run.deadline, deadline)
        remaining_ms = deadline - self._clock.now()
        try:
            with anyio.move_on_after(remaining_ms / 1000):
                await run.done.wait()
            if run.result is not None:
                return _to_result(run.result)
            # There must be no await between this and remove_waiter(): if the
            # caller is told NOT_RUN, remove_waiter() abandons the run before
            # it can be sent.
            return expression.Error(
                _call_refusals.deadline_passed(
                    run.execution_for_leaving_caller()
                )
            )
        finally:
            run.remove_waiter()

    async def _execute_run(
        self, run: _runs.Run, request: pb.CallRequest, known_service: bool
    ) -> None:
        """Bring a run to its result, then store its outcome."""
        try:
            run.finish(
                await self._claim_and_dispatch(run, request, known_service)
            )
        except Exception as error:
            _logs.event(
                "internal_error", claim=run.claim.name, error=str(error)
            )
        finally:
            if run.result is None:
                self._fail(run)
        # Frees a large body: storing the outcome may take as long as an
        # outage of the object API.
        del request
        if run.dispatched:
            await self._record_until_stored(run)
            self._runs.remove(run)
        else:
            # Once the run is removed, this process replies that the call was
            # never sent, so others can claim the key even if this write
            # fails.
            self._runs.remove(run)
            if run.claim_held:
                await self._store.record_outcome(run.claim, run.version)

    def _fail(self, run: _runs.Run) -> None:
        """Finish a run that was cancelled or met an internal error."""
        if run.dispatched:
            _set_outcome(run, _answers.Unknown())
        else:
            _set_outcome(run, _answers.NOT_SENT)
            self._runs.remove(run)
        refusal = _refusals.Refusal(
            _refusals.Code.INTERNAL,
            "this instance failed to carry out the call",
            _MAY_HAVE_RUN,
            _call_refusals.RETRY_AFTER_MS,
        )
        run.finish(_runs.RunResult(refusal))

    async def _claim_and_dispatch(
        self, run: _runs.Run, request: pb.CallRequest, known_service: bool
    ) -> _runs.RunResult:
        """Claim the key and send the call, or find out an earlier outcome."""
        version = _objects.ABSENT
        while not self._must_stop(run):
            match await self._acquire_or_read(run, version, known_service):
                case _claims.ClaimHeld(version):
                    run.version = version
                    return await self._dispatch_if_key_valid(run, request)
                case _claims.ClaimFound(found, version):
                    result = await self._resolver.resolve(run, found)
                    if not isinstance(result, _resolution.TakeOver):
                        return result
                    if not known_service:
                        return self._refuse_unknown_service(run)
                case _claims.NoClaim():
                    return self._refuse_unknown_service(run)
                case _claims.ClaimUnreadable(problem):
                    return await self._resolver.resolve_from_peers(
                        run, problem
                    )
        return _runs.RunResult(_call_refusals.deadline_passed(_MAY_HAVE_RUN))

    async def _acquire_or_read(
        self, run: _runs.Run, version: int, known_service: bool
    ) -> _claims.AcquireResult | _claims.NoClaim:
        """Claim the key; for an unknown service, only read its claim."""
        if not known_service:
            return await self._store.read(run.claim)
        return await self._store.acquire(run.claim, version)

    def _refuse_unknown_service(self, run: _runs.Run) -> _runs.RunResult:
        """Refuse a call of a service that this instance doesn't know.

        Another instance may have known it and run an earlier attempt. That
        attempt's claim would have been found unless the key has expired
        since, so the age is checked again.
        """
        unknown = _call_refusals.unknown_service(run.claim.service)
        age_refusal = _keys.check_age(run.claim.key, self._clock.wall())
        return _runs.RunResult(age_refusal or unknown)

    def _must_stop(self, run: _runs.Run) -> bool:
        return run.must_stop(self._clock.now())

    async def _dispatch_if_key_valid(
        self, run: _runs.Run, request: pb.CallRequest
    ) -> _runs.RunResult:
        """Check the key's age again, with its claim held, and send the call.

        This process may have been frozen while the claim of an earlier run
        expired and was removed. If the key is still valid, no claim on it
        can have been removed, so a NOT_RUN from here on is true of every
        attempt under the key.
        """
        age_refusal = _keys.check_age(run.claim.key, self._clock.wall())
        run.claim_held = True
        if run.abandoned:
            return _finish_as_not_run(
                run, _call_refusals.deadline_passed(_MAY_HAVE_RUN)
            )
        if age_refusal is not None:
            _resolution.log_step("key_expired", run)
            return _finish_as_not_run(run, age_refusal)
        _resolution.log_step("claim_held", run)
        run.no_earlier_run = True
        return await self._dispatch(run, request)

    async def _dispatch(
        self, run: _runs.Run, request: pb.CallRequest
    ) -> _runs.RunResult:
        """Send a call whose claim is held to servers until one starts it."""
        tried: list = []
        choice = self._dispatcher.choose(request.service, tried)
        while choice.backend and len(tried) < _call_dispatch.MAX_ATTEMPTS:
            # Checked immediately before sending, because the process may
            # have been frozen since the last check.
            if self._must_stop(run):
                _resolution.log_step("call_abandoned", run)
                not_run = _refusals.Execution.NOT_RUN
                return _finish_as_not_run(
                    run, _call_refusals.deadline_passed(not_run)
                )
            tried.append(choice.backend.key)
            run.dispatched = True
            _resolution.log_step("call_dispatched", run)
            result = await self._dispatcher.dispatch(
                self._fresh_client, choice.backend, request
            )
            match result:
                case _answers.Answer():
                    _resolution.log_step("server_answers", run)
                    _set_outcome(
                        run,
                        _answers.without_large_answer(_answers.Ran(result)),
                    )
                    return _runs.RunResult(_answers.Ran(result))
                case _call_dispatch.ConnectionLost():
                    _resolution.log_step("connection_breaks", run)
                    _set_outcome(run, _answers.Unknown())
                    return _runs.RunResult(_call_refusals.connection_lost())
                case _call_dispatch.NotStarted():
                    _resolution.log_step("server_refuses", run)
                    run.dispatched = False
            choice = self._dispatcher.choose(request.service, tried)
        _resolution.log_step("call_abandoned", run)
        refusal = _call_dispatch.no_server_refusal(
            request.service, choice, tried, _refusals.Execution.NOT_RUN
        )
        return _finish_as_not_run(run, refusal)

    async def _record_until_stored(self, run: _runs.Run) -> None:
        """Retry until the outcome is stored or the claim is another's."""
        version: int | None = run.version
        while version is not None:
            version = await self._store.record_outcome(run.claim, version)
            if version is None:
                _resolution.log_step("record", run)
            else:
                pause_ms = RECORD_RETRY_MS * random.uniform(0.5, 1.5)
                await self._clock.sleep(pause_ms)


def compute_request_digest(request: pb.CallRequest) -> str:
    """Return a digest that detects another request under the same key."""
    digest = hashlib.blake2b(digest_size=20)
    parts = [request.service, request.method, request.path]
    for header in request.headers:
        parts += [header.name.lower(), header.value]
    for part in [*(part.encode() for part in parts), request.body]:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def _set_outcome(run: _runs.Run, outcome: _answers.Outcome) -> None:
    run.claim = run.claim._replace(outcome=outcome)


def _finish_as_not_run(
    run: _runs.Run, refusal: _refusals.Refusal
) -> _runs.RunResult:
    """Set the outcome to NotRun and return the refusal as the result."""
    _set_outcome(run, _answers.NotRun(refusal))
    return _runs.RunResult(refusal)


def _to_result(result: _runs.RunResult) -> Result:
    """Turn a run's result into the answer or refusal for a caller."""
    match result.outcome:
        case _refusals.Refusal() as refusal:
            return expression.Error(refusal)
        case _answers.Ran(None):
            return expression.Error(_call_refusals.answer_not_kept())
    return expression.Ok(result)
