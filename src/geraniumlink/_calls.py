"""Passes calls through to plain services."""

from __future__ import annotations

import typing

import anyio
import expression

from geraniumlink import _backends
from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _findings
from geraniumlink import _http
from geraniumlink import _inference
from geraniumlink import _refusals
from geraniumlink import _routing
from geraniumlink._schema import geraniumlink_pb2 as pb

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
MAX_BODY_BYTES = 2**20
MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1000
Result = expression.Result[typing.Any, _refusals.Refusal]


class Calls:
    """Answers Call."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        router: _routing.Router,
        client: _http.Client,
        clock: _clock.Clock,
    ) -> None:
        self._configuration = configuration
        self._router = router
        self._client = client
        self._clock = clock

    async def call(self, request: pb.CallRequest, request_id: str) -> Result:
        findings = check(request)
        if findings:
            return expression.Error(_refusals.invalid(findings))
        entry = self._configuration.get(request.service)
        if entry is None:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.NOT_FOUND,
                    f"there is no service {request.service!r}",
                )
            )
        timeout_ms = request.timeout_ms or _inference.DEFAULT_TIMEOUT_MS
        run = _Run(self, request, request_id)
        with anyio.move_on_after(timeout_ms / 1000):
            return await run.attempts()
        return expression.Error(_refusals.deadline_passed(run.execution))


class _Run:
    """One call on its way through one or more servers."""

    def __init__(
        self, calls: Calls, request: pb.CallRequest, request_id: str
    ) -> None:
        self._calls = calls
        self._request = request
        self._request_id = request_id
        self.execution = _refusals.Execution.NOT_RUN

    async def attempts(self) -> Result:
        wanted = _routing.Wanted(self._request.service)
        tried: list[_backends.Key] = []
        for _ in range(MAX_ATTEMPTS):
            now = self._calls._clock.now()
            choice = self._calls._router.choose(wanted, tried, now)
            if choice.backend is None:
                break
            tried.append(choice.backend.key)
            answer = await self._attempt(choice.backend)
            if answer is not None:
                return expression.Ok(answer)
        return expression.Error(
            _refusals.Refusal(
                _refusals.Code.UNAVAILABLE,
                f"no server of {self._request.service!r} answered",
                self.execution,
                RETRY_AFTER_MS,
            )
        )

    async def _attempt(
        self, backend: _backends.Backend
    ) -> pb.CallResponse | None:
        backend.in_flight += 1
        try:
            answer = await self._calls._client.request(
                self._request.method,
                backend.address,
                self._request.path,
                headers=_headers(self._request),
                body=self._request.body,
            )
        except _http.NotSentError:
            backend.mark_unreachable(self._calls._clock.now())
            return None
        except _http.BrokenError:
            self.execution = _refusals.Execution.MAY_HAVE_RUN
            return None
        finally:
            backend.in_flight -= 1
        return _response(answer, self._request_id)


def check(request: pb.CallRequest) -> _findings.Findings:
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
        and " " not in request.path,
        "path",
        "write a path that begins with / and is percent-encoded",
    )
    findings.require(
        len(request.body) <= MAX_BODY_BYTES,
        "body",
        f"has more than {MAX_BODY_BYTES} bytes",
    )
    for index, header in enumerate(request.headers):
        _check_header(f"headers[{index}]", header, findings)
    findings.require(
        request.idempotent,
        "idempotent",
        "non-idempotent calls are not served by this version",
    )
    _inference.check_common(request.priority, request.timeout_ms, findings)
    return findings


def _check_header(
    place: str, header: pb.Header, findings: _findings.Findings
) -> None:
    token = header.name.replace("-", "").replace("_", "")
    findings.require(
        token.isalnum() and header.name.isascii(),
        f"{place}.name",
        "write letters, digits, - and _",
    )
    findings.require(
        header.name.lower() not in HOP_BY_HOP,
        f"{place}.name",
        f"{header.name} belongs to one connection and is not passed on",
    )
    findings.require(
        header.value.isprintable() and header.value.isascii(),
        f"{place}.value",
        "write printable ASCII characters",
    )


def _headers(request: pb.CallRequest) -> _http.Headers:
    return [
        (header.name.encode(), header.value.encode())
        for header in request.headers
    ]


def _response(answer: _http.Response, request_id: str) -> pb.CallResponse:
    response = pb.CallResponse(
        request_id=request_id, status=answer.status, body=answer.body
    )
    for name, value in answer.headers:
        if name.decode("latin-1").lower() not in HOP_BY_HOP:
            response.headers.add(
                name=name.decode("latin-1"), value=value.decode("latin-1")
            )
    return response
