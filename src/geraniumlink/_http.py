"""One small JSON client over ``httpcore`` for platform, engines and peers.

What can have reached the other side is told apart here, once: a request that
failed before a connection stood can't have been read by anybody, and every
later failure may have been.
"""

from __future__ import annotations

import contextlib
import json
import typing
from collections.abc import AsyncIterator

import httpcore

from geraniumlink import _settings

MAX_BODY_BYTES = 4 * 2**20


class NotSentError(Exception):
    """The request did not leave this process."""


class GoneError(NotSentError):
    """Nobody listens at the address: the connection was refused."""


class NoConnectionError(NotSentError):
    """This process has no connection free; it says nothing of the server."""


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


class Client:
    """Keeps connections to a few addresses."""

    def __init__(self, max_connections: int = 200, max_idle: int = 50) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_idle,
            keepalive_expiry=20.0,
            # A connection that fails before the request is written may be
            # opened anew by us alone; a retry in here would be unseen.
            retries=0,
        )

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
            "pool": connect_ms / 1000,
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
        with _translated_errors():
            async with self._pool.stream(
                method,
                url,
                headers=sent_headers,
                content=body,
                extensions={"timeout": timeouts},
            ) as response:
                yield response

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
        await self._pool.aclose()


@contextlib.contextmanager
def _translated_errors() -> typing.Iterator[None]:
    try:
        yield
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
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
    if isinstance(error, httpcore.PoolTimeout):
        return NoConnectionError(text)
    if _was_refused(error):
        return GoneError(text)
    return NotSentError(text)


def _was_refused(error: BaseException | None) -> bool:
    """Look for the refusal under what the libraries wrapped round it."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False
