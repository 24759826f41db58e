"""The ASGI application behind all addresses of an instance."""

from __future__ import annotations

import typing

import anyio
import orjson

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.hosting import _host_metrics
from geraniumlink.hosting import _load_monitor
from geraniumlink import platform
from geraniumlink.residency import _controller_protocol
from geraniumlink.serving import _account_check
from geraniumlink.serving import _accounts
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _forward
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types

Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[typing.Any]]
Send = _response_writer.Send

# How long another instance may take to send a message. The largest, 256 KiB,
# takes 2.1 s on a link of 1 Mbit/s.
MESSAGE_TIMEOUT_MS = 10_000
# Size of the headers that an instance adds to a request that it relays, at
# most. The client's own were within the limit there.
MAX_RELAYED_BYTES = 4096


# Parts of a body are collected in blocks of about this size.
BODY_BLOCK_BYTES = 16_384


class BodyTooLargeError(Exception):
    """A request body is larger than its limit."""


class ClientDisconnectedError(Exception):
    """The connection was closed before the request was complete."""


class Addresses(typing.NamedTuple):
    """Addresses of an instance, by who connects.

    The load balancer checks ``readiness``.
    """

    clients: _settings.Address
    readiness: _settings.Address
    instances: _settings.Address
    # None when metrics aren't served.
    metrics: _settings.Address | None


class Application:
    """Serves each request by the port on which it arrived."""

    def __init__(
        self,
        *,
        addresses: Addresses,
        active_configuration: _active_configuration.ActiveConfiguration,
        account_check: _account_check.AccountCheck,
        forwarder: _forward.Forwarder,
        controller_protocol: _controller_protocol.ControllerProtocol,
        clock: _clock.Clock,
        metrics: _host_metrics.HostMetrics,
        load_monitor: _load_monitor.LoadMonitor,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self._addresses = addresses
        self._active_configuration = active_configuration
        self._account_check = account_check
        self._forwarder = forwarder
        self._controller_protocol = controller_protocol
        self._clock = clock
        self._metrics = metrics
        self._load_monitor = load_monitor
        self._is_ready = is_ready
        self._draining = False
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of clients' requests without a complete response."""
        return self._in_flight

    def start_draining(self) -> None:
        """Send ``connection: close`` with each response from now on."""
        self._draining = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request, as ASGI defines it.

        The scope has what the HTTP protocol adds to it besides.
        """
        has_next_request = scope["has_next_request"]
        response = _response_writer.ResponseWriter(
            send, lambda: self._draining and not has_next_request()
        )
        port = scope["server"][1]
        if port == self._addresses.readiness.port:
            status = 200 if self._is_ready() else 503
            await response.send_complete(status, [], b"")
        elif self._is_metrics_port(port):
            content, headers = self._metrics.render()
            await response.send_complete(
                200, _encode_headers(headers), content
            )
        elif port != self._addresses.instances.port:
            await self._serve_request(scope, receive, response, None)
        else:
            attempts = platform.decode_relayed_attempts(scope["headers"])
            if attempts is None:
                await self._serve_peer(scope, receive, response)
            elif self._draining:
                await _reject(scope, response, 421, "draining")
            else:
                await self._serve_request(scope, receive, response, attempts)

    def _is_metrics_port(self, port: int) -> bool:
        address = self._addresses.metrics
        return address is not None and address.port == port

    async def _serve_peer(
        self,
        scope: Scope,
        receive: Receive,
        response: _response_writer.ResponseWriter,
    ) -> None:
        """Pass another instance's message to the controller protocol."""
        try:
            with anyio.fail_after(MESSAGE_TIMEOUT_MS / 1000):
                body = await _read_body(
                    receive, _controller_protocol.MAX_MESSAGE_BYTES
                )
        except TimeoutError:
            await _reject(scope, response, 408, "the message takes too long")
            return
        except BodyTooLargeError as error:
            await _refuse_message(scope, response, error)
            return
        except ClientDisconnectedError:
            _logs.event("instance_left", path=scope["path"])
            return
        try:
            answer = await self._controller_protocol.handle_message(
                scope["path"], body
            )
        except ValueError as error:
            await _refuse_message(scope, response, error)
        else:
            encoded = orjson.dumps(answer)
            self._load_monitor.count_message(len(body), len(encoded))
            await response.send_complete(200, [], encoded)

    async def _serve_request(
        self,
        scope: Scope,
        receive: Receive,
        response: _response_writer.ResponseWriter,
        relayed_attempts: int | None,
    ) -> None:
        """Serve a client's request, and count it while that lasts.

        :param relayed_attempts: as in ``_types.Request``.
        """
        self._in_flight += 1
        try:
            await self._read_and_serve(
                scope, receive, response, relayed_attempts
            )
        finally:
            self._in_flight -= 1

    async def _read_and_serve(
        self,
        scope: Scope,
        receive: Receive,
        response: _response_writer.ResponseWriter,
        relayed_attempts: int | None,
    ) -> None:
        """Read a client's request within the operator's limits, and serve it.

        The decision on its account comes before its body. Before the first
        configuration the body isn't read: the forwarder responds without it.
        """
        received_at = self._clock.now() - scope["age_ms"]()
        limits = None
        if self._active_configuration.current is not None:
            limits = self._active_configuration.current.limits
        added_bytes = 0 if relayed_attempts is None else MAX_RELAYED_BYTES
        if (
            limits
            and _head_bytes(scope) > limits.max_header_bytes + added_bytes
        ):
            await _reject(scope, response, 431, "the head is too large")
            return
        had_accounts = self._account_check.has_accounts
        request, decision = self._decide(scope, received_at, relayed_attempts)
        if await self._is_refused(scope, response, decision):
            return
        body = b""
        if limits is not None:
            read = await _read_or_reject(scope, receive, response, limits)
            if read is None:
                return
            body = read
        if not had_accounts and self._account_check.has_accounts:
            # Accounts came into force while the body arrived: the request
            # may have credentials, which must not be forwarded any more.
            request, decision = self._decide(
                scope, received_at, relayed_attempts
            )
            if await self._is_refused(scope, response, decision):
                return
        await self._serve_while_connected(
            request._replace(body=body), receive, response, decision
        )

    def _decide(
        self, scope: Scope, received_at: int, relayed_attempts: int | None
    ) -> tuple[_types.Request, _accounts.Decision | None]:
        """Return a request without its body, and the decision on it.

        That is None where no accounts are in force, and for a request that
        another instance has decided on.
        """
        headers = scope["headers"]
        is_relayed = relayed_attempts is not None
        account = (
            platform.decode_relayed_account(headers) if is_relayed else ""
        )
        request = platform.decode_request_head(
            scope["method"].encode(),
            scope["target"],
            headers,
            received_at,
            has_accounts=bool(account) or self._account_check.has_accounts,
        )._replace(relayed_attempts=relayed_attempts, account=account)
        if is_relayed:
            return request, None
        decision = self._account_check.decide(request, headers)
        match decision:
            case _accounts.Admitted(account=_types.ClientAccount(name=name)):
                request = request._replace(account=name)
        return request, decision

    async def _is_refused(
        self,
        scope: Scope,
        response: _response_writer.ResponseWriter,
        decision: _accounts.Decision | None,
    ) -> bool:
        """Refuse a request that may not run; return whether it was."""
        match decision:
            case _accounts.Denied() | _accounts.Undecided():
                await self._account_check.refuse(
                    response, decision, _close_headers(scope)
                )
                return True
        return False

    async def _serve_while_connected(
        self,
        request: typing.Any,
        receive: Receive,
        response: _response_writer.ResponseWriter,
        decision: typing.Any,
    ) -> None:
        """Serve a request until its response ends or the client leaves."""
        async with anyio.create_task_group() as group:

            async def cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                group.cancel_scope.cancel()

            group.start_soon(cancel_on_disconnect)
            await self._forwarder.serve(request, response, decision)
            group.cancel_scope.cancel()


def _encode_headers(headers: dict[str, str]) -> _types.Headers:
    return [(k.lower().encode(), v.encode()) for k, v in headers.items()]


async def _refuse_message(
    scope: Scope,
    response: _response_writer.ResponseWriter,
    error: Exception,
) -> None:
    """Respond to another instance's message that can't be read."""
    _logs.event("bad_message", path=scope["path"], error=str(error))
    await response.send_complete(400, [], str(error).encode())


async def _reject(
    scope: Scope,
    response: _response_writer.ResponseWriter,
    status: int,
    reason: str,
) -> None:
    """Respond before the request is read, and close the connection."""
    await response.send_complete(
        status, _close_headers(scope), reason.encode()
    )


def _close_headers(scope: Scope) -> _types.Headers:
    """Return the headers of a response before the request is read.

    They close the connection. It stays open if a further request has been
    received: this one has then been received whole.
    """
    if scope["has_next_request"]():
        return []
    return [(b"connection", b"close")]


def _head_bytes(scope: Scope) -> int:
    """Return the size of a request's headers.

    Each has 4 bytes besides: colon, space and line end.
    """
    return sum(len(name) + len(value) + 4 for name, value in scope["headers"])


async def _read_or_reject(
    scope: Scope,
    receive: Receive,
    response: _response_writer.ResponseWriter,
    limits: _types.ClientLimits,
) -> bytes | None:
    """Return the request body; None if it wasn't received within limits.

    Unless the client has left, the request then has its response.
    """
    try:
        with anyio.fail_after(limits.idle_timeout_ms / 1000):
            return await _read_body(receive, limits.max_body_bytes)
    except TimeoutError:
        await _reject(scope, response, 408, "the body takes too long")
    except BodyTooLargeError:
        await _reject(scope, response, 413, "the body is too large")
    except ClientDisconnectedError:
        pass
    return None


async def _read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return the whole request body.

    :raises BodyTooLargeError: if it has more than ``max_bytes``.
    :raises ClientDisconnectedError: if the connection ends before the body.
    """
    # One object for each part would take many times the bytes of small ones,
    # and a single one that grows is copied again and again, which leaves the
    # heap fragmented: 200 bodies took 53 MB where blocks take less.
    blocks: list[bytearray] = []
    total_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        part, is_last = message["body"], not message["more_body"]
        total_bytes += len(part)
        if total_bytes > max_bytes:
            raise BodyTooLargeError
        if is_last and not blocks:
            return bytes(part)
        if not blocks or len(blocks[-1]) >= BODY_BLOCK_BYTES:
            blocks.append(bytearray())
        blocks[-1] += part
        if is_last:
            return b"".join(blocks)
