"""Serves requests to model engines: attempts, resumption and deadlines."""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Awaitable, Callable

import anyio
import expression

from geraniumlink import _admission
from geraniumlink import _backends
from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _engines
from geraniumlink import _findings
from geraniumlink import _http
from geraniumlink import _metrics
from geraniumlink import _refusals
from geraniumlink import _routing
from geraniumlink import _streams
from geraniumlink._schema import geraniumlink_pb2 as pb

DEFAULT_TIMEOUT_MS = 60_000
MAX_TIMEOUT_MS = 600_000
DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 8192
MAX_PROMPT_BYTES = 256 * 1024
MAX_ATTEMPTS = 4
# An engine that is silent for this long between tokens has stalled.
STALL_MS = 10_000
RETRY_AFTER_MS = 1000


class Tokens(typing.NamedTuple):
    """Tokens of the answer in order, ready for the caller."""

    offset: int
    tokens: tuple[str, ...]


Emit = Callable[[Tokens], Awaitable[None]]
Outcome = expression.Result[_streams.End, _refusals.Refusal]


class Inference:
    """Answers Generate and GenerateStream."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        backends: _backends.Backends,
        router: _routing.Router,
        client: _http.Client,
        clock: _clock.Clock,
        metrics: _metrics.Metrics,
        admission: _admission.Admission,
    ) -> None:
        self._admission = admission
        self._configuration = configuration
        self._backends = backends
        self._router = router
        self._client = client
        self._clock = clock
        self._metrics = metrics

    async def serve(
        self, request: pb.GenerateRequest, request_id: str, emit: Emit
    ) -> Outcome:
        """Emit the answer's tokens in order; return its end or a refusal."""
        findings = check(request)
        if findings:
            return expression.Error(_refusals.invalid(findings))
        deployment = self._configuration.owner_of_model(request.model)
        if deployment is None:
            return expression.Error(_unknown_model(request.model))
        if not _has_adapter(deployment, request):
            return expression.Error(_unknown_adapter(request))
        timeout_ms = request.timeout_ms or DEFAULT_TIMEOUT_MS
        run = _Run(self, deployment, request, request_id, emit)
        with anyio.move_on_after(timeout_ms / 1000):
            entrance = await self._admission.enter(
                run.wanted, request.priority, timeout_ms
            )
            if entrance.is_error():
                return expression.Error(entrance.error)
            with entrance.ok:
                return await run.attempts()
        return expression.Error(_refusals.deadline_passed(run.execution))


class _Run:
    """One request on its way through one or more servers."""

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
        self._reassembly = _streams.Reassembly(request_id)
        self.execution = _refusals.Execution.NOT_RUN
        self.wanted = _routing.Wanted(
            deployment.name, request.model, request.adapter, request.session
        )

    async def attempts(self) -> Outcome:
        tried: list[_backends.Key] = []
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose(tried)
            if choice.backend is None:
                return expression.Error(self._no_server(choice, tried))
            if tried and not self._may_retry():
                return expression.Error(self._gave_up())
            tried.append(choice.backend.key)
            if await self._attempt(choice.backend):
                end = _streams.End(self._request_id, self._reassembly.offset)
                return expression.Ok(end)
        return expression.Error(self._gave_up())

    def _choose(self, tried: list[_backends.Key]) -> _routing.Choice:
        now = self._inference._clock.now()
        return self._inference._router.choose(self.wanted, tried, now)

    def _may_retry(self) -> bool:
        within = self._inference._admission.may_retry(self._deployment.name)
        # An answer that has begun is resumed all the same.
        return within or self._reassembly.offset > 0

    async def _attempt(self, backend: _backends.Backend) -> bool:
        """Run or resume on one server; return whether the answer is whole."""
        outcome = "ok"
        backend.in_flight += 1
        try:
            await self._relay(backend)
        except _engines.RefusedError as refused:
            outcome = "refused"
            self._inference._router.observe_refusal(
                backend, refused.reason, self._inference._clock.now()
            )
            if refused.reason == "leaving":
                backend.refused_as_leaving = True
        except _http.NotSentError:
            outcome = "not_sent"
            backend.mark_unreachable(self._inference._clock.now())
        except (_http.BrokenError, _streams.BrokenStreamError):
            outcome = "broken"
            self.execution = _refusals.Execution.MAY_HAVE_RUN
        finally:
            backend.in_flight -= 1
            labels = {
                "deployment": self._deployment.name,
                "outcome": outcome,
            }
            self._inference._metrics.attempts.inc(labels)
        return self._reassembly.ended

    async def _relay(self, backend: _backends.Backend) -> None:
        generation = _engines.Generation(
            self._request_id,
            self._request.model,
            self._request.adapter,
            self._request.prompt,
            self._request.max_tokens or DEFAULT_MAX_TOKENS,
            self._request.priority,
            self._reassembly.offset,
        )
        messages = _engines.generate(
            self._inference._client, backend.address, generation, STALL_MS
        )
        sent_at = self._inference._clock.now()
        first = True
        async with contextlib.aclosing(messages):
            async for message in messages:
                if first:
                    first = False
                    self._observe_first_token(backend, sent_at)
                self.execution = _refusals.Execution.MAY_HAVE_RUN
                offset = self._reassembly.offset
                tokens = self._reassembly.take(message)
                if tokens:
                    await self._emit(Tokens(offset, tokens))
                if self._reassembly.ended:
                    await _engines.read_to_end(messages)
                    return

    def _observe_first_token(
        self, backend: _backends.Backend, sent_at: int
    ) -> None:
        now = self._inference._clock.now()
        self._inference._router.observe_first_token(
            backend, now - sent_at, now
        )

    def _no_server(
        self, choice: _routing.Choice, tried: list[_backends.Key]
    ) -> _refusals.Refusal:
        if tried:
            return self._gave_up()
        if choice.reachable:
            return _refusals.Refusal(
                _refusals.Code.RESOURCE_EXHAUSTED,
                f"every server of {self._request.model!r} is full",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return _refusals.Refusal(
            _refusals.Code.UNAVAILABLE,
            f"no server in service holds {self._request.model!r} now",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _gave_up(self) -> _refusals.Refusal:
        code = _refusals.Code.UNAVAILABLE
        if self._reassembly.offset:
            code = _refusals.Code.DATA_LOSS
        return _refusals.Refusal(
            code,
            "the servers that were tried failed before the whole answer",
            self.execution,
            RETRY_AFTER_MS,
        )


def check(request: pb.GenerateRequest) -> _findings.Findings:
    """Collect the faults of a request."""
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
    check_common(request.priority, request.timeout_ms, findings)
    return findings


def check_common(
    priority: int, timeout_ms: int, findings: _findings.Findings
) -> None:
    """Collect the faults of what all requests have."""
    findings.require(0 <= priority <= 9, "priority", "write 0 to 9")
    findings.require(
        0 <= timeout_ms <= MAX_TIMEOUT_MS,
        "timeout_ms",
        f"write 1 to {MAX_TIMEOUT_MS} milliseconds",
    )


def _has_adapter(
    deployment: pb.Deployment, request: pb.GenerateRequest
) -> bool:
    return not request.adapter or any(
        adapter.model == request.model and adapter.name == request.adapter
        for adapter in deployment.adapters
    )


def _unknown_model(model: str) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.NOT_FOUND,
        f"no deployment has a model {model!r}; Operator.List shows them",
    )


def _unknown_adapter(request: pb.GenerateRequest) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.NOT_FOUND,
        f"model {request.model!r} has no adapter {request.adapter!r}",
    )
