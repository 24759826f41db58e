"""Serves the schema's methods over HTTP: POST requests with JSON bodies.

``check_methods`` compares the method table with the schema, so that a
declared method can't be left without a handler.
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
# How long a caller may take to send its request body.
BODY_TIMEOUT_MS = 30_000
# Suggested wait when the limit of requests in flight is reached.
RETRY_AFTER_FULL_MS = 1000
# Suggested wait when the instance has no configuration yet.
RETRY_AFTER_NO_CONFIGURATION_MS = 1000
# Served even before the configuration is known.
_STATUS_METHOD = "Operator/Status"
# How many messages of a stream may wait to be sent. Beyond that the handler
# waits, so a caller that reads slowly can't fill the memory.
MAX_PENDING_MESSAGES = 64


class Unary(typing.NamedTuple):
    """A method that returns a single response message."""

    request_type: type[Message]
    # Called with the request message and the request id.
    handle: Callable[[typing.Any, str], Awaitable[Result]]
    # The execution status reported for a request that is refused before its
    # body is parsed. Methods whose requests can be retried under the same
    # key report MAY_HAVE_RUN, as an earlier try may have run.
    execution_if_unread: _refusals.Execution = _refusals.Execution.NOT_RUN


class Stream(typing.NamedTuple):
    """A method that emits messages and then returns the last one."""

    request_type: type[Message]
    # Called with the request message, the request id and the function that
    # sends a message of the stream.
    handle: Callable[[typing.Any, str, EmitMessage], Awaitable[Result]]
    # As in Unary.
    execution_if_unread: _refusals.Execution = _refusals.Execution.NOT_RUN


MethodTable = dict[str, Unary | Stream]


def check_methods(methods: MethodTable) -> None:
    """Raise ValueError unless the table has exactly the schema's methods."""
    declared = {
        f"/{service.full_name}/{method.name}"
        for service in pb.DESCRIPTOR.services_by_name.values()
        for method in service.methods
    }
    if declared != methods.keys():
        raise ValueError(
            f"methods differ from the schema: {declared ^ methods.keys()}"
        )


class RpcServer:
    """ASGI application that serves callers and operators."""

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
        # Tells whether the complete configuration has been loaded.
        self._has_configuration = has_configuration
        # The random part keeps a restarted instance from reusing request
        # ids.
        self._id_prefix = f"{instance}-{uuid.uuid4().hex[:8]}"
        self._request_numbers = itertools.count(1)
        self._max_requests = max_requests
        self._max_request_bytes = max_request_bytes
        self._clock = clock
        self._metrics = metrics
        self._in_flight = 0
        # When set, each response asks its client to close the connection.
        self.shutting_down = False

    @property
    def in_flight(self) -> int:
        """The number of HTTP requests that are being served now."""
        return self._in_flight

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope["type"] != "http":
            return
        request_id = f"{self._id_prefix}-{next(self._request_numbers)}"
        self._in_flight += 1
        self._metrics.in_flight.set({}, self._in_flight)
        exchange = _Exchange(self, scope, receive, send, request_id)
        started_at = self._clock.now()
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
            duration_ms=self._clock.now() - started_at,
        )

    def find_method(
        self, request: requests.Request
    ) -> expression.Result[Unary | Stream, _refusals.Refusal]:
        """Return the requested method, or the reason to refuse it now."""
        method = self._methods.get(request.url.path)
        if method is None:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.NOT_FOUND,
                    f"{request.url.path} is not a method of the schema",
                )
            )
        if request.method != "POST":
            return expression.Error(_wrong_http_method(request.method))
        if not self._has_configuration() and not request.url.path.endswith(
            _STATUS_METHOD
        ):
            return expression.Error(_no_configuration(method))
        if self._in_flight > self._max_requests:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.RESOURCE_EXHAUSTED,
                    "this instance has too many requests in flight",
                    method.execution_if_unread,
                    retry_after_ms=RETRY_AFTER_FULL_MS,
                )
            )
        return expression.Ok(method)


def _no_configuration(method: Unary | Stream) -> _refusals.Refusal:
    """Return the refusal of a request before the configuration is known.

    Until then the instance can't tell what does not exist from what it has
    not learnt yet.
    """
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        "this instance has started and does not know the configuration yet;"
        " send the request to another instance",
        method.execution_if_unread,
        retry_after_ms=RETRY_AFTER_NO_CONFIGURATION_MS,
    )


class _Exchange:
    """One HTTP request and its response."""

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
        self._response_started = False
        # Messages of a stream that were emitted but not sent yet.
        self._queued: list[Message] = []
        # Both are replaced by a new event after each use.
        self._message_queued = anyio.Event()
        self._queue_sent = anyio.Event()

    async def run(self) -> str:
        """Serve the request; return "ok", "caller_left" or an error code."""
        request = requests.Request(self._scope, self._receive)
        try:
            method = self._server.find_method(request)
            if method.is_error():
                return await self._refuse(method.error)
            message = await self._read_message(request, method.ok)
            if message.is_error():
                return await self._refuse(message.error)
            return await self._run_until_disconnect(method.ok, message.ok)
        except requests.ClientDisconnect:
            return "caller_left"
        except Exception as error:
            # An internal error must not look like a complete response, nor
            # claim to know whether a backend server ran the request.
            _logs.event(
                "internal_error",
                request_id=self._request_id,
                error=repr(error),
            )
            return await self._refuse(_internal_error())

    async def _read_message(
        self, request: requests.Request, method: Unary | Stream
    ) -> Result:
        """Read and parse the body, within the limits of size and time."""
        body = bytearray()
        with anyio.move_on_after(BODY_TIMEOUT_MS / 1000) as scope:
            async for chunk in request.stream():
                body += chunk
                if len(body) > self._server._max_request_bytes:
                    return expression.Error(
                        self._body_too_large(self._server._max_request_bytes)
                    )
        if scope.cancelled_caught:
            refusal = _refusals.deadline_passed(method.execution_if_unread)
            return expression.Error(refusal)
        return parse_request(bytes(body), method.request_type)

    def _body_too_large(self, limit: int) -> _refusals.Refusal:
        findings = _findings.Findings()
        findings.add("body", f"has more than {limit} bytes")
        return _refusals.invalid_argument(findings)

    async def _run_until_disconnect(
        self, method: Unary | Stream, message: Message
    ) -> str:
        """Run the method; cancel it if the caller disconnects."""
        outcome = "caller_left"
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_on_disconnect, group.cancel_scope)
            if isinstance(method, Stream):
                group.start_soon(self._send_queued)
            outcome = await self._run_method(method, message)
            group.cancel_scope.cancel()
        return outcome

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                scope.cancel()
                return

    async def _run_method(
        self, method: Unary | Stream, message: Message
    ) -> str:
        """Call the handler and send its messages or its refusal."""
        match method:
            case Unary():
                result = await method.handle(message, self._request_id)
                if result.is_error():
                    return await self._refuse(result.error)
                return await self._send_single(200, result.ok, 0)
            case Stream():
                result = await method.handle(
                    message, self._request_id, self._emit
                )
                if result.is_error():
                    return await self._refuse(result.error)
                await self._emit(result.ok)
                await self._finish_stream()
        return "ok"

    async def _emit(self, message: Message) -> None:
        """Queue one message of a stream; send the headers before the first.

        Waits for the next send if more than MAX_PENDING_MESSAGES are queued.
        """
        if not self._response_started:
            self._response_started = True
            headers = [(b"content-type", b"application/x-ndjson")]
            headers += self._connection_headers()
            await self._send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": headers,
                }
            )
        self._queued.append(message)
        self._message_queued.set()
        if len(self._queued) > MAX_PENDING_MESSAGES:
            await self._queue_sent.wait()

    async def _send_queued(self) -> None:
        """Send the queued messages of a stream in batches, until cancelled.

        A system call for each token costs as much as all other work on that
        token. This task gets its turn once all tokens that arrived together
        have been emitted, and so sends them together.
        """
        while True:
            await self._message_queued.wait()
            self._message_queued = anyio.Event()
            # The queue is empty if the stream has been finished meanwhile;
            # nothing may be sent after the end of the response.
            if self._queued:
                await self._send_messages(more_body=True)
            self._queue_sent.set()
            self._queue_sent = anyio.Event()

    async def _send_messages(self, more_body: bool) -> None:
        """Send all queued messages as lines of JSON in one body part."""
        messages = _json_lines.merge_chunks(self._queued)
        self._queued = []
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

    async def _finish_stream(self) -> None:
        await self._send_messages(more_body=False)

    async def _refuse(self, refusal: _refusals.Refusal) -> str:
        """Send a refusal and return its code's name.

        It becomes the last line of a stream that has started, and otherwise
        a response with the HTTP status of its code.
        """
        error = error_message(refusal, self._request_id)
        if self._response_started:
            chunk = pb.GenerateChunk(request_id=self._request_id, error=error)
            await self._emit(chunk)
            await self._finish_stream()
        else:
            status = refusal.code.http_status
            await self._send_single(status, error, refusal.retry_after_ms)
        return refusal.code.wire_name

    async def _send_single(
        self, status: int, message: Message, retry_after_ms: int
    ) -> str:
        """Send a complete response of one message and return "ok"."""
        response = responses.Response(
            _json_lines.to_json(message), status, media_type="application/json"
        )
        if retry_after_ms:
            seconds = -(-retry_after_ms // 1000)
            response.headers["retry-after"] = str(seconds)
        response.raw_headers += self._connection_headers()
        self._response_started = True
        await response(self._scope, self._receive, self._send)
        return "ok"

    def _connection_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header that ends the connection during shutdown.

        A request that has been received behind this one is served before.
        """
        has_next_request = self._scope.get("has_next_request", bool)
        if self._server.shutting_down and not has_next_request():
            return [(b"connection", b"close")]
        return []


def parse_request(body: bytes, request_type: type[Message]) -> Result:
    """Parse a JSON request body; refuse unknown fields and wrong types."""
    message = request_type()
    try:
        json_format.Parse(body.decode(), message, max_recursion_depth=20)
    except (json_format.ParseError, ValueError, RecursionError) as error:
        findings = _findings.Findings()
        findings.add("body", f"is not a {request_type.__name__}: {error}")
        return expression.Error(_refusals.invalid_argument(findings))
    return expression.Ok(message)


def error_message(refusal: _refusals.Refusal, request_id: str) -> pb.Error:
    """Return the schema's Error message for a refusal."""
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


def _wrong_http_method(method: str) -> _refusals.Refusal:
    findings = _findings.Findings()
    findings.add("method", f"{method} is not supported; use POST")
    return _refusals.invalid_argument(findings)


def _internal_error() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.INTERNAL,
        "internal error in geraniumlink; find this request id in its log",
        _refusals.Execution.MAY_HAVE_RUN,
    )
