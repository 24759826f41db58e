"""Serves the schema's methods as HTTP POSTs of JSON.

The method table is checked against the schema when it is built, so a method
can't be declared and not served.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
import itertools
import typing
import uuid

import anyio
import expression
from google.protobuf import json_format
from google.protobuf import message as protobuf_message
from starlette import requests
from starlette import responses
from starlette import types

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.interface import _json_lines
from geraniumlink.requests import _refusals

Message = protobuf_message.Message
Result = expression.Result[typing.Any, _refusals.Refusal]
EmitMessage = Callable[[Message], Awaitable[None]]
# How long a caller may take to send its whole request.
BODY_TIMEOUT_MS = 30_000
RETRY_AFTER_FULL_MS = 1000
RETRY_AFTER_NOT_LOADED_MS = 1000
# Answered at all times.
_STATUS = "Operator/Status"
# Messages of a stream that wait for a caller who reads slowly.
MAX_PENDING_MESSAGES = 64


class Unary(typing.NamedTuple):
    """A method with one answer."""

    request_type: type[Message]
    handle: Callable[[typing.Any, str], Awaitable[Result]]
    # What is true of a request that is refused unread. One that is sent
    # again under its key may have run before.
    unread: _refusals.Execution = _refusals.Execution.NOT_RUN


class Stream(typing.NamedTuple):
    """A method that emits messages and ends with a last one."""

    request_type: type[Message]
    handle: Callable[[typing.Any, str, EmitMessage], Awaitable[Result]]
    unread: _refusals.Execution = _refusals.Execution.NOT_RUN


MethodTable = dict[str, Unary | Stream]


def check_methods(methods: MethodTable) -> None:
    """Raise ValueError unless exactly the schema's methods are there."""
    declared = {
        f"/{service.full_name}/{method.name}"
        for service in pb.DESCRIPTOR.services_by_name.values()
        for method in service.methods
    }
    if declared != methods.keys():
        raise ValueError(f"methods differ: {declared ^ methods.keys()}")


class RpcServer:
    """The ASGI application towards callers and operators."""

    def __init__(
        self,
        methods: MethodTable,
        instance: str,
        max_requests: int,
        max_request_bytes: int,
        clock: _clock.Clock,
        metrics: _metrics.Metrics,
        has_configuration: Callable[[], bool],
    ) -> None:
        self._methods = methods
        # Whether a whole configuration is known.
        self._has_configuration = has_configuration
        # A restarted instance must not use the same request ids again.
        self._id_prefix = f"{instance}-{uuid.uuid4().hex[:8]}"
        self._numbers = itertools.count(1)
        self._max_requests = max_requests
        self._max_request_bytes = max_request_bytes
        self._clock = clock
        self._metrics = metrics
        self._in_flight = 0
        self.shutting_down = False

    @property
    def in_flight(self) -> int:
        return self._in_flight

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope["type"] != "http":
            return
        request_id = f"{self._id_prefix}-{next(self._numbers)}"
        self._in_flight += 1
        self._metrics.in_flight.set({}, self._in_flight)
        exchange = _Exchange(self, scope, receive, send, request_id)
        started = self._clock.now()
        try:
            outcome = await exchange.run()
        finally:
            self._in_flight -= 1
            self._metrics.in_flight.set({}, self._in_flight)
        method = scope["path"] if scope["path"] in self._methods else "other"
        self._metrics.requests.inc({"method": method, "outcome": outcome})
        _logs.event(
            "request",
            request_id=request_id,
            method=method,
            outcome=outcome,
            duration_ms=self._clock.now() - started,
        )

    def lookup(
        self, request: requests.Request
    ) -> expression.Result[Unary | Stream, _refusals.Refusal]:
        """Return the method asked for, or why it isn't served now."""
        method = self._methods.get(request.url.path)
        if method is None:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.NOT_FOUND,
                    f"{request.url.path} is not a method of the schema",
                )
            )
        if request.method != "POST":
            return expression.Error(_not_post(request.method))
        if not self._has_configuration() and not request.url.path.endswith(
            _STATUS
        ):
            return expression.Error(_not_loaded(method))
        if self._in_flight > self._max_requests:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.RESOURCE_EXHAUSTED,
                    "this instance is full",
                    method.unread,
                    retry_after_ms=RETRY_AFTER_FULL_MS,
                )
            )
        return expression.Ok(method)


def _not_loaded(method: Unary | Stream) -> _refusals.Refusal:
    """Nothing may be called unknown before everything is known."""
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        "this instance has started and does not know the configuration yet;"
        " send it through another one",
        method.unread,
        retry_after_ms=RETRY_AFTER_NOT_LOADED_MS,
    )


class _Exchange:
    """One HTTP request and its answer."""

    def __init__(
        self,
        server: RpcServer,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
        request_id: str,
    ) -> None:
        self._server = server
        self._scope = scope
        self._receive = receive
        self._send = send
        self._request_id = request_id
        self._begun = False
        # Messages of a stream that were emitted and are not sent yet.
        self._pending: list[Message] = []
        self._pending_added = anyio.Event()
        self._pending_sent = anyio.Event()

    async def run(self) -> str:
        """Answer; return "ok", "caller_left" or the code of the error."""
        request = requests.Request(self._scope, self._receive)
        try:
            found = self._server.lookup(request)
            if found.is_error():
                return await self._refuse(found.error)
            read = await self._read(request, found.ok)
            if read.is_error():
                return await self._refuse(read.error)
            return await self._until_caller_leaves(found.ok, read.ok)
        except requests.ClientDisconnect:
            return "caller_left"
        except Exception as error:
            # A fault of ours must not look like a whole answer, nor claim
            # to know whether a backend server ran the request.
            _logs.event(
                "internal_error",
                request_id=self._request_id,
                error=repr(error),
            )
            return await self._refuse(_internal())

    async def _read(
        self, request: requests.Request, method: Unary | Stream
    ) -> Result:
        body = bytearray()
        with anyio.move_on_after(BODY_TIMEOUT_MS / 1000) as scope:
            async for part in request.stream():
                body += part
                if len(body) > self._server._max_request_bytes:
                    return expression.Error(
                        self._too_large(self._server._max_request_bytes)
                    )
        if scope.cancelled_caught:
            refusal = _refusals.deadline_passed(method.unread)
            return expression.Error(refusal)
        return parse_request(bytes(body), method.request_type)

    def _too_large(self, limit: int) -> _refusals.Refusal:
        findings = _findings.Findings()
        findings.add("body", f"has more than {limit} bytes")
        return _refusals.invalid_argument(findings)

    async def _until_caller_leaves(
        self, method: Unary | Stream, message: Message
    ) -> str:
        """Cancel the work when the caller closes its connection."""
        outcome = "caller_left"
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_caller, group.cancel_scope)
            if isinstance(method, Stream):
                group.start_soon(self._send_pending)
            outcome = await self._answer(method, message)
            group.cancel_scope.cancel()
        return outcome

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                scope.cancel()
                return

    async def _answer(self, method: Unary | Stream, message: Message) -> str:
        match method:
            case Unary():
                result = await method.handle(message, self._request_id)
                if result.is_error():
                    return await self._refuse(result.error)
                return await self._send_whole(200, result.ok, 0)
            case Stream():
                result = await method.handle(
                    message, self._request_id, self._emit
                )
                if result.is_error():
                    return await self._refuse(result.error)
                await self._emit(result.ok)
                await self._finish()
        return "ok"

    async def _emit(self, message: Message) -> None:
        """Send one line of a stream, after the head if it is the first."""
        if not self._begun:
            self._begun = True
            headers = [(b"content-type", b"application/x-ndjson")]
            headers += self._closing_headers()
            await self._send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": headers,
                }
            )
        self._pending.append(message)
        self._pending_added.set()
        if len(self._pending) > MAX_PENDING_MESSAGES:
            await self._pending_sent.wait()

    async def _send_pending(self) -> None:
        """Send the messages of a stream, all that are there at once.

        A system call for each token costs as much as all else that is done
        with it. This task runs when the tokens that arrived together have
        all been emitted.
        """
        while True:
            await self._pending_added.wait()
            self._pending_added = anyio.Event()
            # Nothing is left when the stream was finished meanwhile, and
            # then nothing may be sent.
            if self._pending:
                await self._send_messages(more_body=True)
            self._pending_sent.set()
            self._pending_sent = anyio.Event()

    async def _send_messages(self, more_body: bool) -> None:
        messages = _json_lines.merge_chunks(self._pending)
        self._pending = []
        body = b"".join(
            _json_lines.to_json(message) + b"\n" for message in messages
        )
        await self._send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": more_body,
            }
        )

    async def _finish(self) -> None:
        await self._send_messages(more_body=False)

    async def _refuse(self, refusal: _refusals.Refusal) -> str:
        error = error_message(refusal, self._request_id)
        if self._begun:
            chunk = pb.GenerateChunk(request_id=self._request_id, error=error)
            await self._emit(chunk)
            await self._finish()
        else:
            status = refusal.code.http_status
            await self._send_whole(status, error, refusal.retry_after_ms)
        return refusal.code.wire_name

    async def _send_whole(
        self, status: int, message: Message, retry_after_ms: int
    ) -> str:
        response = responses.Response(
            _json_lines.to_json(message), status, media_type="application/json"
        )
        if retry_after_ms:
            seconds = -(-retry_after_ms // 1000)
            response.headers["retry-after"] = str(seconds)
        response.raw_headers += self._closing_headers()
        self._begun = True
        await response(self._scope, self._receive, self._send)
        return "ok"

    def _closing_headers(self) -> list[tuple[bytes, bytes]]:
        if self._server.shutting_down:
            return [(b"connection", b"close")]
        return []


def parse_request(body: bytes, request_type: type[Message]) -> Result:
    """Read a request's JSON; unknown fields and wrong types are faults."""
    message = request_type()
    try:
        json_format.Parse(body.decode(), message, max_recursion_depth=20)
    except (json_format.ParseError, ValueError, RecursionError) as error:
        findings = _findings.Findings()
        findings.add("body", f"is not a {request_type.__name__}: {error}")
        return expression.Error(_refusals.invalid_argument(findings))
    return expression.Ok(message)


def error_message(refusal: _refusals.Refusal, request_id: str) -> pb.Error:
    """Return the schema's form of a refusal."""
    return pb.Error(
        code=refusal.code.wire_name,
        message=refusal.message,
        execution=refusal.execution.value,
        retry_after_ms=refusal.retry_after_ms,
        findings=_finding_messages(refusal.findings),
        request_id=request_id,
    )


def _finding_messages(
    findings: Iterable[_findings.Finding],
) -> list[pb.Finding]:
    return [
        pb.Finding(place=finding.place, problem=finding.problem)
        for finding in findings
    ]


def _not_post(method: str) -> _refusals.Refusal:
    findings = _findings.Findings()
    findings.add("method", f"{method} is not served; write POST")
    return _refusals.invalid_argument(findings)


def _internal() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.INTERNAL,
        "a fault of geraniumlink; its log names the request id",
        _refusals.Execution.MAY_HAVE_RUN,
    )
