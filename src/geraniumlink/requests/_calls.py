"""Passes calls through to plain services."""

from __future__ import annotations

import typing

import anyio
import expression

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _http
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.backends import _backends
from geraniumlink.configuration import _configuration
from geraniumlink.once import _at_most_once
from geraniumlink.once import _keys
from geraniumlink.once import _runs
from geraniumlink.requests import _answers
from geraniumlink.requests import _call_dispatch
from geraniumlink.requests import _call_refusals
from geraniumlink.requests import _inference
from geraniumlink.requests import _refusals

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
# Set for the connection to the backend server, not by the caller.
_CONNECTION_HEADERS = _answers.HOP_BY_HOP | {"content-length", "host"}
MAX_BODY_BYTES = 2**20
Result = expression.Result[typing.Any, _refusals.Refusal]


class Calls:
    """Answers Call."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        dispatcher: _call_dispatch.CallDispatcher,
        client: _http.Client,
        clock: _clock.Clock,
        executor: _at_most_once.AtMostOnceExecutor,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._client = client
        self._clock = clock
        self._executor = executor

    async def call(self, request: pb.CallRequest, request_id: str) -> Result:
        findings = validate(request)
        key = None
        if not request.idempotent:
            key = _keys.parse_key(request.idempotency_key, findings)
        if findings:
            return expression.Error(_refusals.invalid_argument(findings))
        timeout_ms = request.timeout_ms or _inference.DEFAULT_TIMEOUT_MS
        if key is not None:
            outcome = await self._executor.execute(
                request, key, timeout_ms, self._has_service(request.service)
            )
            return outcome.map(
                lambda settled: _response_of_settled(settled, request_id)
            )
        if not self._has_service(request.service):
            refusal = _call_refusals.unknown_service(request.service)
            return expression.Error(refusal)
        idempotent_call = _IdempotentCall(
            self._dispatcher, self._client, request
        )
        with anyio.move_on_after(timeout_ms / 1000):
            answered = await idempotent_call.run_attempts()
            return answered.map(lambda answer: _response(answer, request_id))
        return expression.Error(
            _refusals.deadline_passed(idempotent_call.execution)
        )

    def _has_service(self, service: str) -> bool:
        entry = self._configuration.get(service)
        return (
            entry is not None
            and entry.deployment is not None
            and entry.deployment.kind == pb.Kind.PLAIN_SERVICE
        )


class _IdempotentCall:
    """An idempotent call on its way through one or more servers."""

    def __init__(
        self,
        dispatcher: _call_dispatch.CallDispatcher,
        client: _http.Client,
        request: pb.CallRequest,
    ) -> None:
        self._dispatcher = dispatcher
        self._client = client
        self._request = request
        # What is true to say when the call is given up now.
        self.execution = _refusals.Execution.NOT_RUN

    async def run_attempts(self) -> Result:
        service = self._request.service
        tried: list[_backends.Key] = []
        choice = self._dispatcher.choose(service, tried)
        while choice.backend and len(tried) < _call_dispatch.MAX_ATTEMPTS:
            tried.append(choice.backend.key)
            execution_before = self.execution
            # The deadline may pass while a server runs the call.
            self.execution = _refusals.Execution.MAY_HAVE_RUN
            result = await self._dispatcher.dispatch(
                self._client, choice.backend, self._request
            )
            match result:
                case _answers.Answer():
                    return expression.Ok(result)
                case _call_dispatch.NotStarted():
                    self.execution = execution_before
            choice = self._dispatcher.choose(service, tried)
        return expression.Error(
            _call_dispatch.no_server_refusal(
                service, choice, tried, self.execution
            )
        )


def validate(request: pb.CallRequest) -> _findings.Findings:
    """Collect the faults of a call."""
    findings = _findings.Findings()
    findings.require(
        request.method in METHODS,
        "method",
        f"write one of {', '.join(METHODS)}",
    )
    findings.require(
        request.path.startswith("/")
        and request.path.isascii()
        and request.path.isprintable()
        and not set(request.path) & {" ", "#"},
        "path",
        "write a path that begins with / and is percent-encoded",
    )
    findings.require(
        len(request.body) <= MAX_BODY_BYTES,
        "body",
        f"has more than {MAX_BODY_BYTES} bytes",
    )
    for index, header in enumerate(request.headers):
        _validate_header(f"headers[{index}]", header, findings)
    _inference.validate_common(request.priority, request.timeout_ms, findings)
    return findings


def _validate_header(
    place: str, header: pb.Header, findings: _findings.Findings
) -> None:
    token = header.name.replace("-", "").replace("_", "")
    findings.require(
        token.isalnum() and header.name.isascii(),
        f"{place}.name",
        "write letters, digits, - and _",
    )
    findings.require(
        header.name.lower() not in _CONNECTION_HEADERS,
        f"{place}.name",
        f"{header.name} belongs to one connection and is not passed on",
    )
    findings.require(
        header.value.isprintable()
        and header.value.isascii()
        and header.value == header.value.strip(),
        f"{place}.value",
        "write printable ASCII characters, without spaces around them",
    )


def _response_of_settled(
    settled: _runs.RunResult, request_id: str
) -> pb.CallResponse:
    match settled.outcome:
        case _answers.Ran(_answers.Answer() as answer):
            response = _response(answer, request_id)
            response.replayed = settled.replayed
            return response
    raise AssertionError(f"not an answer: {settled!r}")


def _response(answer: _answers.Answer, request_id: str) -> pb.CallResponse:
    response = pb.CallResponse(
        request_id=request_id, status=answer.status, body=answer.body
    )
    for name, value in answer.headers:
        response.headers.add(name=name, value=value)
    return response
