"""HTTP client on ``httpcore`` for the platform, engines and peers.

Errors say whether the server can have received the request: it can't have
if the connection was never established (``NotSentError``), and it may have
after any later failure (``BrokenError``). A call that is given up is
withdrawn: its connection is reset, so that the kernel doesn't go on sending
what the server hasn't acknowledged.
"""

from __future__ import annotations

from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import socket
import struct
import typing

import anyio
import httpcore

from geraniumlink import _settings

# Largest response body that ``Client.request`` reads by default (4 MiB).
MAX_BODY_BYTES = 4 * 2**20
# Limit of the bytes received before the head of a response is complete,
# interim responses (1xx) included. Usual servers send heads of 8 to 16 KiB at
# most.
MAX_HEAD_BYTES = 32 * 2**10
# RFC 9110 defines no classes of status codes outside these bounds.
MIN_STATUS = 100
MAX_STATUS = 599
# Value of SO_LINGER with which closing a socket resets the connection and
# drops what wasn't acknowledged.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class NotSentError(Exception):
    """No connection was established, so the request was not sent."""


class NoListenerError(NotSentError):
    """The connection was refused: no process listens at the address."""


class WithheldError(NotSentError):
    """The request might no longer be sent; at most a part of it was."""


class BrokenError(Exception):
    """The request may have been sent, but no complete response arrived."""


class TooLargeError(BrokenError):
    """The body of a response is larger than its reader accepts."""


class Response(typing.NamedTuple):
    """A complete response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON.

        :raises BrokenError: if the body is not valid JSON, or too deeply
            nested to be decoded.
        """
        try:
            return json.loads(self.body)
        except (RecursionError, ValueError) as error:
            raise BrokenError("the response is not JSON") from error


Headers = list[tuple[bytes, bytes]]


# Idle connections are not reused after this long. It is shorter than the 5 s
# after which many servers close an idle connection, so that a request is not
# written to a connection that the server is closing.
IDLE_EXPIRY_S = 4.0
# Above this number of addresses, the pool that has not been used for longest
# is closed, unless all are in use.
MAX_POOLS = 128


class _HeadLimit:
    """Counts the bytes that are received while a head is awaited."""

    def __init__(self) -> None:
        self._left_bytes = 0
        self._awaits_head = False

    @contextlib.contextmanager
    def applied(self) -> typing.Iterator[None]:
        """Apply the limit until the head is complete or has failed."""
        self._left_bytes, self._awaits_head = MAX_HEAD_BYTES, True
        try:
            yield
        finally:
            self._awaits_head = False

    def restrict(self, max_bytes: int) -> int:
        """Return how many of some bytes may be received now.

        :raises httpcore.RemoteProtocolError: if none may.
        """
        if not self._awaits_head:
            return max_bytes
        if self._left_bytes <= 0:
            raise httpcore.RemoteProtocolError("a head without an end")
        return min(max_bytes, self._left_bytes)

    def count(self, data: bytes) -> None:
        self._left_bytes -= len(data)


class WritePermission(typing.NamedTuple):
    """When a request may be written, and how late it may be delivered."""

    # Asked immediately before each write.
    may_write: Callable[[], bool]
    # The kernel gives the connection up if written data isn't acknowledged
    # within this time, also while this process is stopped.
    unacknowledged_ms: int


class _Call:
    """The call that is in progress on a connection, if any."""

    def __init__(self) -> None:
        self.head_limit = _HeadLimit()
        # None if the request may be written at any time.
        self.permission: WritePermission | None = None
        # Whether the last response was received to its end.
        self.is_complete = False

    @contextlib.contextmanager
    def begun(
        self, permission: WritePermission | None
    ) -> typing.Iterator[None]:
        """Begin a call; end when the head of its response is complete."""
        self.permission = permission
        self.is_complete = False
        with self.head_limit.applied():
            yield


class _CallBody:
    """The body of a response that notes when it was received to its end.

    httpcore closes the connection of a last response before the call ends.
    """

    def __init__(self, body: AsyncIterable[bytes], call: _Call) -> None:
        self._body = body
        self._call = call

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for part in self._body:
            yield part
        self._call.is_complete = True

    async def aclose(self) -> None:
        if hasattr(self._body, "aclose"):
            await self._body.aclose()


class _CallStream(httpcore.AsyncNetworkStream):
    """A network stream that applies what is set for a call."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, call: _Call
    ) -> None:
        self._stream = stream
        self._call = call
        self._limit = call.head_limit

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        data = await self._stream.read(
            self._limit.restrict(max_bytes), timeout
        )
        self._limit.count(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        permission = self._call.permission
        # Writes without bytes end the request.
        if permission is not None and buffer:
            self._bound_unacknowledged(permission.unacknowledged_ms)
            # The write below passes the bytes to the kernel before the event
            # loop runs anything else.
            if not permission.may_write():
                raise WithheldError("the request may no longer be sent")
        await self._stream.write(buffer, timeout)

    def _bound_unacknowledged(self, timeout_ms: int) -> None:
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            self._set_option(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    async def aclose(self) -> None:
        if not self._call.is_complete:
            self._set_option(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        await self._stream.aclose()

    def _set_option(self, level: int, option: int, value: int | bytes) -> None:
        raw = self._stream.get_extra_info("socket")
        # It fails if the connection has ended: then nothing is left to send.
        with contextlib.suppress(OSError):
            if raw is not None:
                raw.setsockopt(level, option, value)

    def get_extra_info(self, info: str) -> typing.Any:
        return self._stream.get_extra_info(info)


class _CallBackend(httpcore.AnyIOBackend):
    """Opens the network streams of a connection."""

    def __init__(self, call: _Call) -> None:
        self._call = call

    async def connect_tcp(
        self, *args: typing.Any, **options: typing.Any
    ) -> httpcore.AsyncNetworkStream:
        stream = await super().connect_tcp(*args, **options)
        return _CallStream(stream, self._call)


class _Connection(httpcore.AsyncHTTPConnection):
    """A connection on which heads have a limit, and calls are withdrawn.

    httpcore drops interim responses, however many there are.
    """

    def __init__(self, origin: httpcore.Origin) -> None:
        self._call = _Call()
        # No retries in httpcore: whether a failed connection attempt is
        # repeated is up to the caller, who wouldn't see those retries.
        super().__init__(
            origin,
            keepalive_expiry=IDLE_EXPIRY_S,
            retries=0,
            network_backend=_CallBackend(self._call),
        )

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        with self._call.begun(request.extensions.get("permission")):
            response = await super().handle_async_request(request)
        body = typing.cast(AsyncIterable[bytes], response.stream)
        response.stream = _CallBody(body, self._call)
        return response


class _ConnectionPool:
    """A pool of connections to one address that keeps idle ones for reuse.

    httpcore's own pool checks every idle connection, with a system call
    each, whenever a request begins or ends. This pool checks only the
    connection to be used and the one that has been idle for longest.
    """

    def __init__(self, address: _settings.Address, keeps_alive: bool) -> None:
        self._keeps_alive = keeps_alive
        host = address.host.encode()
        self._origin = httpcore.Origin(b"http", host, address.port)
        # Ordered by last use, the most recent last.
        self._idle: list[_Connection] = []
        self.in_use = 0

    @contextlib.asynccontextmanager
    async def borrow(self) -> AsyncIterator[_Connection]:
        """Yield an idle or new connection for the duration of one request."""
        self.in_use += 1
        connection = await self._acquire()
        try:
            yield connection
        finally:
            self.in_use -= 1
            with anyio.CancelScope(shield=True):
                await self._release(connection)

    async def _acquire(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return _Connection(self._origin)

    async def _release(self, connection: _Connection) -> None:
        # Reusable only if its response has been read to the end.
        if self._keeps_alive and connection.is_available():
            self._idle.append(connection)
        else:
            await connection.aclose()
        if self._idle and self._idle[0].has_expired():
            await self._idle.pop(0).aclose()

    async def close(self) -> None:
        while self._idle:
            await self._idle.pop().aclose()


class Client:
    """Sends HTTP requests over one connection pool for each address.

    :param keeps_alive: whether connections are reused. Without reuse, no
        request is written to an idle connection that the server happens to
        be closing.
    """

    def __init__(self, keeps_alive: bool = True) -> None:
        self._keeps_alive = keeps_alive
        # Ordered by last use, the most recent last.
        self._pools: dict[_settings.Address, _ConnectionPool] = {}

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        address: _settings.Address,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        connect_ms: int = 1000,
        read_ms: int = 600_000,
        permission: WritePermission | None = None,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield the response, its body not yet read.

        :raises NotSentError: if no connection was established, or the request
            may not be written.
        :raises BrokenError: on any later failure, also while the body is
            being read, and if the status isn't one of a final response.
        """
        sent_headers = [
            (b"Host", str(address).encode()),
            (b"Content-Length", str(len(body)).encode()),
            *(headers or []),
        ]
        timeouts = {
            "connect": connect_ms / 1000,
            "read": read_ms / 1000,
            "write": read_ms / 1000,
        }
        # Built from its parts, because parsing a URL string would lose an
        # empty query and anything after a ";".
        url = httpcore.URL(
            scheme=b"http",
            host=address.host.encode(),
            port=address.port,
            target=path.encode(),
        )
        request = httpcore.Request(
            method,
            url,
            headers=sent_headers,
            content=body,
            extensions={"timeout": timeouts, "permission": permission},
        )
        pool = await self._pool_for(address)
        async with pool.borrow() as connection:
            with _translated_errors():
                response = await connection.handle_async_request(request)
                try:
                    if not is_final_status(response.status):
                        raise BrokenError(f"status {response.status}")
                    yield response
                finally:
                    with anyio.CancelScope(shield=True):
                        await response.aclose()

    async def _pool_for(self, address: _settings.Address) -> _ConnectionPool:
        pool = self._pools.pop(address, None)
        if pool is None:
            pool = _ConnectionPool(address, self._keeps_alive)
        self._pools[address] = pool
        if len(self._pools) > MAX_POOLS:
            await self._close_least_recently_used()
        return pool

    async def _close_least_recently_used(self) -> None:
        """Close the least recently used pool that is not in use, if any."""
        for address, pool in self._pools.items():
            if not pool.in_use:
                del self._pools[address]
                await pool.close()
                return

    async def request(
        self,
        method: str,
        address: _settings.Address,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        connect_ms: int = 1000,
        read_ms: int = 600_000,
        max_body_bytes: int = MAX_BODY_BYTES,
        permission: WritePermission | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        :raises NotSentError: if no connection was established, or the request
            may not be written.
        :raises TooLargeError: if the body is larger than ``max_body_bytes``.
        :raises BrokenError: on any other later failure.
        """
        async with self.stream(
            method,
            address,
            path,
            headers=headers,
            body=body,
            connect_ms=connect_ms,
            read_ms=read_ms,
            permission=permission,
        ) as response:
            data = bytearray()
            async for chunk in response.aiter_stream():
                data += chunk
                if len(data) > max_body_bytes:
                    raise TooLargeError(
                        f"the body has more than {max_body_bytes} bytes"
                    )
        return Response(response.status, response.headers, bytes(data))

    async def post_json(
        self,
        address: _settings.Address,
        path: str,
        message: typing.Any,
        *,
        timeout_ms: int,
    ) -> Response:
        """Send a JSON message and return the response.

        ``timeout_ms`` applies to connecting, and again to each write and
        each read.
        """
        return await self.request(
            "POST",
            address,
            path,
            headers=[(b"Content-Type", b"application/json")],
            body=json.dumps(message).encode(),
            connect_ms=timeout_ms,
            read_ms=timeout_ms,
        )

    async def close(self) -> None:
        for pool in self._pools.values():
            await pool.close()


def is_final_status(status: int) -> bool:
    """Return whether a status is one of a final response.

    httpcore takes three digits from 200 on, and 101, though no request asks
    for another protocol.
    """
    return 200 <= status <= MAX_STATUS


@contextlib.contextmanager
def _translated_errors() -> typing.Iterator[None]:
    """Raise httpcore's errors as the exceptions of this module."""
    try:
        yield
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
    ) as error:
        raise _make_not_sent_error(error) from error
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        raise BrokenError(str(error) or type(error).__name__) from error


def _make_not_sent_error(error: Exception) -> NotSentError:
    """Return the exception for a connection that was not established."""
    text = str(error) or type(error).__name__
    if _is_connection_refusal(error):
        return NoListenerError(text)
    return NotSentError(text)


def _is_connection_refusal(error: BaseException | None) -> bool:
    """Whether a refused connection caused the error.

    httpcore and anyio wrap the ``ConnectionRefusedError`` in their own.
    """
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False
