"""Serves generation requests with model engines.

A request is sent to several servers one after another if need be, and an
answer whose stream broke is resumed on the next one.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import contextlib
import math
import typing

import anyio
import expression

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _http
from geraniumlink import _metrics
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.backends import _backends
from geraniumlink.backends import _engines
from geraniumlink.backends import _models
from geraniumlink.configuration import _configuration
from geraniumlink.requests import _admission
from geraniumlink.requests import _refusals
from geraniumlink.requests import _routing
from geraniumlink.requests import _server_selection
from geraniumlink.requests import _streams
from geraniumlink.suspicion import _crash_suspects
from geraniumlink.suspicion import _suspicions

DEFAULT_TIMEOUT_MS = 60_000
MAX_TIMEOUT_MS = 600_000
DEFAULT_MAX_TOKENS = 256
# Largest permitted value of a request's max_tokens.
MAX_MAX_TOKENS = 8192
MAX_PROMPT_BYTES = 256 * 1024
# Servers that one request is sent to at most.
MAX_ATTEMPTS = 4
# An engine that sends nothing for this long has stalled. Before the first
# token the limit is larger, because the request may be queued in the engine.
FIRST_TOKEN_TIMEOUT_MS = 10_000
STALL_TIMEOUT_MS = 3000
# How long an engine may take to close the stream after the explicit end.
# Only a response that was read to its end leaves a reusable connection.
STREAM_CLOSE_TIMEOUT_MS = 50
# Stated in refusals for which no better estimate is known.
RETRY_AFTER_MS = 1000
# A suspect that received this many more tokens from a server has passed the
# point in its answer at which another server crashed.
SURVIVED_TOKENS = 4


class Tokens(typing.NamedTuple):
    """Consecutive tokens of the answer, the first one at ``offset``."""

    offset: int
    tokens: tuple[str, ...]


Emit = Callable[[Tokens], Awaitable[None]]
Outcome = expression.Result[_streams.End, _refusals.Refusal]


class Inference:
    """Serves the methods Generate and GenerateStream."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        backends: _backends.Backends,
        router: _routing.Router,
        client: _http.Client,
        clock: _clock.Clock,
        metrics: _metrics.Metrics,
        suspects: _crash_suspects.CrashSuspects,
        admission: _admission.Admission,
    ) -> None:
        self._admission = admission
        self._configuration = configuration
        self._backends = backends
        self._router = router
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._suspects = suspects

    async def serve(
        self, request: pb.GenerateRequest, request_id: str, emit: Emit
    ) -> Outcome:
        """Emit the answer's tokens in order; return its end or a refusal.

        The request's timeout covers admission and all attempts.
        """
        findings = validate(request)
        if findings:
            return expression.Error(_refusals.invalid_argument(findings))
        found = _models.find_deployment(self._configuration, request)
        if found.is_error():
            return expression.Error(found.error)
        timeout_ms = request.timeout_ms or DEFAULT_TIMEOUT_MS
        runner = _RequestRunner(self, found.ok, request, request_id, emit)
        with anyio.move_on_after(timeout_ms / 1000):
            admission_result = await self._admission.admit(
                runner.requirements, request.priority, timeout_ms
            )
            if admission_result.is_error():
                return expression.Error(admission_result.error)
            with admission_result.ok:
                return await runner.run_attempts()
        return expression.Error(_refusals.deadline_passed(runner.execution))


class _RequestRunner:
    """Runs one request on one or more servers, one after another."""

    def __init__(
        self,
        inference: Inference,
        deployment: pb.Deployment,
        request: pb.GenerateRequest,
        request_id: str,
        emit: Emit,
    ) -> None:
        self._inference = inference
        self._deployment = deployment
        self._request = request
        self._request_id = request_id
        self._emit = emit
        self._max_tokens = request.max_tokens or DEFAULT_MAX_TOKENS
        self._reassembly = _streams.Reassembly(request_id, self._max_tokens)
        self._suspects = inference._suspects
        # It leaves out the request id, so that a request which a caller
        # sends again has the same fingerprint.
        self._fingerprint = _suspicions.compute_fingerprint(
            request.model, request.adapter, request.prompt
        )
        # What a refusal has to say of the execution if it is made now.
        self.execution = _refusals.Execution.NOT_RUN
        self.requirements = _routing.Requirements(
            deployment.name, request.model, request.adapter, request.session
        )
        self._selector = _server_selection.ServerSelector(
            self.requirements,
            self._fingerprint,
            inference._backends,
            inference._router,
            inference._suspects,
            inference._clock,
        )

    async def run_attempts(self) -> Outcome:
        """Try servers until the answer is complete; return the outcome."""
        tried: list[_backends.Key] = []
        for _ in range(MAX_ATTEMPTS):
            if tried and not self._may_retry():
                return expression.Error(self._failure_refusal())
            choice = await self._selector.select(tried)
            if choice.backend is None:
                return expression.Error(self._no_server_refusal(choice, tried))
            tried.append(choice.backend.key)
            if await self._attempt(choice.backend):
                end = _streams.End(self._request_id, self._reassembly.offset)
                return expression.Ok(end)
        return expression.Error(self._failure_refusal())

    def _may_retry(self) -> bool:
        within_budget = self._inference._admission.withdraw_retry(
            self._deployment.name
        )
        # An answer of which tokens were emitted is resumed even without a
        # budget: the caller can't use a partial answer.
        return within_budget or self._reassembly.offset > 0

    async def _attempt(self, backend: _backends.Backend) -> bool:
        """Start or resume the answer on a server; return if it is complete.

        The attempt is counted in the server's requests in flight, in the
        runs that a crash makes suspects, and in the metrics.
        """
        backend.in_flight += 1
        run = self._suspects.start_run(self._fingerprint, backend)
        outcome = "cancelled"
        try:
            outcome = await self._try_server(run)
        finally:
            self._suspects.end_run(run)
            backend.in_flight -= 1
            labels = {
                "deployment": self._deployment.name,
                "outcome": outcome,
            }
            self._inference._metrics.attempts.inc(labels)
        return self._reassembly.is_complete

    async def _try_server(self, run: _crash_suspects.Run) -> str:
        """Relay the answer of one server; return the outcome for metrics."""
        execution_before = self.execution
        # Set before sending, because the deadline may cancel this attempt
        # at any time, also before the server has sent anything.
        self.execution = _refusals.Execution.MAY_HAVE_RUN
        try:
            await self._relay(run)
        except _engines.RefusedError as refused:
            self.execution = execution_before
            self._inference._router.observe_refusal(
                run.backend, refused.reason, self._inference._clock.now()
            )
            if refused.reason == "leaving":
                self._inference._backends.record_refusal(run.backend)
            return "refused"
        except _http.NotSentError:
            self.execution = execution_before
            run.backend.mark_unreachable(self._inference._clock.now())
            return "not_sent"
        except (_engines.StalledError, _streams.BrokenStreamError):
            return "broken"
        except _http.BrokenError:
            crashed = await self._suspects.check_crash(run)
            return "crashed" if crashed else "broken"
        if not self._reassembly.is_complete:
            # The engine closed the stream without an explicit end.
            return "cut"
        self._suspects.record_completion(run)
        return "ok"

    async def _relay(self, run: _crash_suspects.Run) -> None:
        """Emit the tokens of one server's stream until it ends.

        :raises StalledError: if the server sends nothing for too long.
        """
        self._reassembly.resume()
        survived_at = self._reassembly.offset + SURVIVED_TOKENS
        generation = _engines.GenerationRequest(
            self._request_id,
            self._request.model,
            self._request.adapter,
            self._request.prompt,
            self._max_tokens,
            self._request.priority,
            self._reassembly.offset,
        )
        messages = _engines.generate(
            self._inference._client,
            run.backend.address,
            generation,
            # Longer than any timeout of the scope below, which is the one
            # that detects a stalled server.
            2 * FIRST_TOKEN_TIMEOUT_MS,
        )
        sent_at = self._inference._clock.now()
        is_first = True
        async with contextlib.aclosing(messages):
            # One scope for all messages: a scope for each message takes a
            # tenth of the processing time of a token.
            with anyio.CancelScope() as stall_scope:
                stall_scope.deadline = (
                    anyio.current_time() + FIRST_TOKEN_TIMEOUT_MS / 1000
                )
                async for message in messages:
                    # Time spent waiting for a caller that reads slowly must
                    # not count as a stall of the engine.
                    stall_scope.deadline = math.inf
                    if is_first:
                        is_first = False
                        self._observe_first_token(run.backend, sent_at)
                    await self._accept(message, run, survived_at)
                    if self._reassembly.is_complete:
                        break
                    stall_scope.deadline = (
                        anyio.current_time() + STALL_TIMEOUT_MS / 1000
                    )
            if stall_scope.cancelled_caught:
                raise _engines.StalledError("no token arrived in time")
            if self._reassembly.is_complete:
                await _engines.read_to_end(messages, STREAM_CLOSE_TIMEOUT_MS)

    async def _accept(
        self,
        message: _streams.Chunk | _streams.End,
        run: _crash_suspects.Run,
        survived_at: int,
    ) -> None:
        """Add a message to the answer; emit the tokens now in order."""
        offset = self._reassembly.offset
        tokens = self._reassembly.accept(message)
        if self._reassembly.offset >= survived_at:
            self._suspects.record_survival(run)
        if tokens:
            await self._emit(Tokens(offset, tokens))

    def _observe_first_token(
        self, backend: _backends.Backend, sent_at: int
    ) -> None:
        now = self._inference._clock.now()
        self._inference._router.observe_first_token(
            backend, now - sent_at, now
        )

    def _no_server_refusal(
        self, choice: _routing.Choice, tried: list[_backends.Key]
    ) -> _refusals.Refusal:
        """Return the refusal for when no server could be selected."""
        if tried or self._crashes_servers():
            return self._failure_refusal()
        if choice.any_eligible:
            return _refusals.Refusal(
                _refusals.Code.RESOURCE_EXHAUSTED,
                f"every server of {self._request.model!r} is full",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return _refusals.Refusal(
            _refusals.Code.UNAVAILABLE,
            f"no server in service has {self._request.model!r} loaded now",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _crashes_servers(self) -> bool:
        """Whether the request is confirmed to crash servers."""
        standing = self._suspects.standing(self._fingerprint)
        return standing is _crash_suspects.Standing.CONFIRMED

    def _failure_refusal(self) -> _refusals.Refusal:
        """Return the refusal for when all attempts failed."""
        if self._crashes_servers():
            return _crash_suspects.crash_refusal()
        code = _refusals.Code.UNAVAILABLE
        if self._reassembly.offset:
            code = _refusals.Code.DATA_LOSS
        return _refusals.Refusal(
            code,
            "the servers that were tried failed before the answer was"
            " complete",
            self.execution,
            RETRY_AFTER_MS,
        )


def validate(request: pb.GenerateRequest) -> _findings.Findings:
    """Return the findings on the fields of a request."""
    findings = _findings.Findings()
    findings.require(bool(request.model), "model", "write a model's name")
    findings.require(
        len(request.prompt.encode()) <= MAX_PROMPT_BYTES,
        "prompt",
        f"has more than {MAX_PROMPT_BYTES} bytes",
    )
    findings.require(
        0 <= request.max_tokens <= MAX_MAX_TOKENS,
        "max_tokens",
        f"write 1 to {MAX_MAX_TOKENS}",
    )
    validate_common(request.priority, request.timeout_ms, findings)
    return findings


def validate_common(
    priority: int, timeout_ms: int, findings: _findings.Findings
) -> None:
    """Add the findings on the fields that all requests have."""
    findings.require(0 <= priority <= 9, "priority", "write 0 to 9")
    findings.require(
        0 <= timeout_ms <= MAX_TIMEOUT_MS,
        "timeout_ms",
        f"write 1 to {MAX_TIMEOUT_MS} milliseconds",
    )
