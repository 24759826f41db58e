"""The ASGI application behind an instance's three addresses."""

from __future__ import annotations

import typing

import anyio
import orjson

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.hosting import _host_metrics
from geraniumlink import platform
from geraniumlink.residency import _controller_protocol
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _forward
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types

Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[typing.Any]]
Send = _response_writer.Send


class TooLargeError(Exception):
    """A client's body is larger than the operator allows."""


class ClientLeftError(Exception):
    """The client closed its connection before its request was whole."""


class Addresses(typing.NamedTuple):
    """Where clients, the balancer's check and other instances connect."""

    clients: _settings.Address
    readiness: _settings.Address
    instances: _settings.Address
    # None when nobody asks for metrics.
    metrics: _settings.Address | None


class Application:
    """Tells the addresses apart and serves what comes to each."""

    def __init__(
        self,
        *,
        addresses: Addresses,
        active_configuration: _active_configuration.ActiveConfiguration,
        forwarder: _forward.Forwarder,
        controller_protocol: _controller_protocol.ControllerProtocol,
        clock: _clock.Clock,
        metrics: _host_metrics.HostMetrics,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self._addresses = addresses
        self._active_configuration = active_configuration
        self._forwarder = forwarder
        self._controller_protocol = controller_protocol
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._draining = False
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests of clients that have no final answer yet."""
        return self._in_flight

    def drain(self) -> None:
        """Ask each client to close its connection with the next answer."""
        self._draining = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        response = _response_writer.ResponseWriter(
            send, lambda: self._draining
        )
        port = scope["server"][1]
        if port == self._addresses.readiness.port:
            status = 200 if self._is_ready() else 503
            await response.send_complete(status, [], b"")
        elif self._is_for_metrics(port):
            content, headers = self._metrics.render()
            await response.send_complete(200, _encoded(headers), content)
        elif port == self._addresses.instances.port:
            await self._serve_instance(scope, receive, response)
        else:
            self._in_flight += 1
            try:
                await self._serve_client(scope, receive, response)
            finally:
                self._in_flight -= 1

    def _is_for_metrics(self, port: int) -> bool:
        address = self._addresses.metrics
        return address is not None and address.port == port

    async def _serve_instance(
        self,
        scope: Scope,
        receive: Receive,
        response: _response_writer.ResponseWriter,
    ) -> None:
        try:
            body = await _read(receive, _controller_protocol.MAX_MESSAGE_BYTES)
            answer = await self._controller_protocol.handle_message(
                scope["path"], body
            )
        except (ValueError, TooLargeError) as error:
            _logs.event("bad_message", path=scope["path"], error=str(error))
            await response.send_complete(400, [], str(error).encode())
        except ClientLeftError:
            _logs.event("instance_left", path=scope["path"])
        else:
            await response.send_complete(200, [], orjson.dumps(answer))

    async def _serve_client(
        self,
        scope: Scope,
        receive: Receive,
        response: _response_writer.ResponseWriter,
    ) -> None:
        received_at = self._clock.now()
        headers = scope["headers"]
        request = platform.decode_request_head(
            scope["method"].encode(), scope["target"], headers, received_at
        )
        current = self._active_configuration.current
        if current is not None:
            size = sum(len(name) + len(value) + 4 for name, value in headers)
            if size > current.limits.max_header_bytes:
                await _reject(response, 431, "the head is too large")
                return
        body = b""
        try:
            if current is not None:
                with anyio.fail_after(current.limits.idle_timeout_ms / 1000):
                    body = await _read(receive, current.limits.max_body_bytes)
        except TimeoutError:
            await _reject(response, 408, "the body takes too long")
            return
        except TooLargeError:
            await _reject(response, 413, "the body is too large")
            return
        except ClientLeftError:
            return
        await self._serve_while_connected(
            request._replace(body=body), receive, response
        )

    async def _serve_while_connected(
        self,
        request: typing.Any,
        receive: Receive,
        response: _response_writer.ResponseWriter,
    ) -> None:
        """Serve a request until it is answered or its client leaves."""
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                group.cancel_scope.cancel()

            group.start_soon(watch)
            await self._forwarder.serve(request, response)
            group.cancel_scope.cancel()


def _encoded(headers: dict[str, str]) -> _types.Headers:
    return [(k.lower().encode(), v.encode()) for k, v in headers.items()]


async def _reject(
    response: _response_writer.ResponseWriter, status: int, reason: str
) -> None:
    """Answer what is not read to its end, and close the connection."""
    await response.send_complete(
        status, [(b"connection", b"close")], reason.encode()
    )


async def _read(receive: Receive, most_bytes: int) -> bytes:
    """Return a whole body.

    :raises TooLargeError: if it is larger than allowed.
    :raises ClientLeftError: if it ends too early.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientLeftError
        parts.append(message["body"])
        size += len(message["body"])
        if size > most_bytes:
            raise TooLargeError
        if not message["more_body"]:
            return b"".join(parts)
