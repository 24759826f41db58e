"""One small JSON client over ``httpcore`` for platform, engines and peers.

What can have reached the other side is told apart here, once: a request that
failed before a connection stood can't have been read by anybody, and every
later failure may have been.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import json
import typing

import anyio
import httpcore

from geraniumlink import _settings

MAX_BODY_BYTES = 4 * 2**20


class NotSentError(Exception):
    """The request did not leave this process."""


class NoListenerError(NotSentError):
    """Nobody listens at the address: the connection was refused."""


class BrokenError(Exception):
    """The request left this process and no whole answer came back."""


class Response(typing.NamedTuple):
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON.

        :raises BrokenError: if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise BrokenError("the answer is not JSON") from error


Headers = list[tuple[bytes, bytes]]


# Shorter than the 5 s after which many servers close an idle connection, so
# that a request is not sent into one that is being closed.
KEEPALIVE_S = 4.0
# Past this many addresses, one that is not in use is forgotten.
MAX_ADDRESSES = 128


class _Connections:
    """The connections to one address, of which the idle ones are kept.

    httpcore's own pool looks at every idle connection, by a system call
    each, whenever a request begins or ends. Here only the one to be used is
    looked at, and the one that has been idle for longest.
    """

    def __init__(self, address: _settings.Address, keeps_alive: bool) -> None:
        self._keeps_alive = keeps_alive
        host = address.host.encode()
        self._origin = httpcore.Origin(b"http", host, address.port)
        # The most recently used is last.
        self._idle: list[httpcore.AsyncHTTPConnection] = []
        self.in_use = 0

    @contextlib.asynccontextmanager
    async def lend(self) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        """Yield an idle connection or a new one for one request."""
        self.in_use += 1
        connection = await self._take()
        try:
            yield connection
        finally:
            self.in_use -= 1
            with anyio.CancelScope(shield=True):
                await self._give_back(connection)

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        # A connection that fails before the request is written may be opened
        # anew by us alone; a retry in there would be unseen.
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=KEEPALIVE_S, retries=0
        )

    async def _give_back(
        self, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        # It is available once its answer has been read to the end.
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
    """Keeps connections to a few addresses."""

    def __init__(self, keeps_alive: bool = True) -> None:
        # Without, each request has a new connection: an idle one may be
        # closed by the server just when a request is written to it.
        self._keeps_alive = keeps_alive
        # The most recently used is last.
        self._connections: dict[_settings.Address, _Connections] = {}

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
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield the answer's head, body still to come.

        :raises NotSentError: if no connection stood.
        :raises BrokenError: if it failed later.
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
        # Made of its parts: parsing a URL would lose what follows a ";" or
        # an empty query.
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
            extensions={"timeout": timeouts},
        )
        connections = await self._connections_to(address)
        async with connections.lend() as connection:
            with _translated_errors():
                response = await connection.handle_async_request(request)
                try:
                    yield response
                finally:
                    with anyio.CancelScope(shield=True):
                        await response.aclose()

    async def _connections_to(
        self, address: _settings.Address
    ) -> _Connections:
        connections = self._connections.pop(address, None)
        if connections is None:
            connections = _Connections(address, self._keeps_alive)
        self._connections[address] = connections
        if len(self._connections) > MAX_ADDRESSES:
            await self._forget_one()
        return connections

    async def _forget_one(self) -> None:
        """Close what was not used for longest and is not in use."""
        for address, connections in self._connections.items():
            if not connections.in_use:
                del self._connections[address]
                await connections.close()
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
    ) -> Response:
        """Send a request and return the whole answer; errors as above."""
        async with self.stream(
            method,
            address,
            path,
            headers=headers,
            body=body,
            connect_ms=connect_ms,
            read_ms=read_ms,
        ) as response:
            data = bytearray()
            async for part in response.aiter_stream():
                data += part
                if len(data) > MAX_BODY_BYTES:
                    raise BrokenError("the answer is larger than 4 MiB")
        return Response(response.status, response.headers, bytes(data))

    async def post_json(
        self,
        address: _settings.Address,
        path: str,
        message: typing.Any,
        *,
        timeout_ms: int,
    ) -> Response:
        """Send a JSON message; wait for at most ``timeout_ms`` twice over."""
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
        for connections in self._connections.values():
            await connections.close()


@contextlib.contextmanager
def _translated_errors() -> typing.Iterator[None]:
    try:
        yield
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
    ) as error:
        raise _not_sent(error) from error
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        raise BrokenError(str(error) or type(error).__name__) from error


def _not_sent(error: Exception) -> NotSentError:
    text = str(error) or type(error).__name__
    if _was_refused(error):
        return NoListenerError(text)
    return NotSentError(text)


def _was_refused(error: BaseException | None) -> bool:
    """Look for the refusal under what the libraries wrapped round it."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False
