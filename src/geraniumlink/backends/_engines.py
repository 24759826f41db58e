"""The client side of the model engines' protocol; see docs/platform.md."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator
import contextlib
import json
import typing

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.requests import _streams

# Applies to connecting and to each read.
_REPORT_TIMEOUT_MS = 1000
# Of a report, which has up to 5,000 copies of models and adapters
# (``control/_ledger.py``) of some 100 bytes each.
MAX_REPORT_BYTES = 2**20
# Of one line of a stream, and of the body of a refusal.
MAX_LINE_BYTES = 2**18
# Far more than a token of any usual vocabulary has.
MAX_TOKEN_CHARACTERS = 1024


class GenerationRequest(typing.NamedTuple):
    """The body of a request to an engine, under the same field names.

    The engine leaves out the first ``offset`` tokens of its answer.
    """

    request_id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    offset: int


class Report(typing.NamedTuple):
    """A backend server's own state, as of the last poll."""

    # Changes when the process restarts; nothing is resident then.
    boot_id: str
    in_flight: int
    leaving: bool
    # Versions by "model" or "model/adapter".
    resident: dict[str, str]


class RefusedError(Exception):
    """The backend server answered that it did not start the request."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class StalledError(_http.BrokenError):
    """The connection is open, but nothing arrived within the timeout."""


class BadReportError(Exception):
    """A malformed report; the last valid one stays in use."""


async def generate(
    client: _http.Client,
    address: _settings.Address,
    generation: GenerationRequest,
    read_ms: int,
) -> AsyncGenerator[_streams.Chunk | _streams.End, None]:
    """Yield the engine's messages in the order of arrival.

    :raises RefusedError: if the engine did not start the request.
    :raises _http.NotSentError: if the request did not reach the engine.
    :raises _http.BrokenError: if the connection broke, stalled for
        ``read_ms`` or carried a malformed message.
    """
    body = json.dumps(generation._asdict()).encode()
    async with client.stream(
        "POST", address, "/generate", body=body, read_ms=read_ms
    ) as response:
        if response.status != 200:
            raise await _read_refusal(response)
        async for line in _iterate_lines(response):
            yield _parse_message(line)


async def read_to_end(
    messages: AsyncGenerator[_streams.Chunk | _streams.End, None],
    limit_ms: int,
) -> None:
    """Read an answer to its last byte, so that its connection is reusable.

    Otherwise the connection must be closed, and the next request has to open
    a new one. Gives up after ``limit_ms``, and if the connection breaks.
    """
    with contextlib.suppress(_http.BrokenError):
        with anyio.move_on_after(limit_ms / 1000):
            await anext(messages, None)


async def fetch_report(
    client: _http.Client, address: _settings.Address
) -> Report:
    """Request and validate the report of an engine or plain service.

    :raises BadReportError: if the answer is not a valid report.
    :raises _http.NotSentError: if the server can't be reached.
    :raises _http.BrokenError: if no complete answer arrived.
    """
    return _parse_report(await fetch_raw_report(client, address))


async def fetch_raw_report(
    client: _http.Client, address: _settings.Address
) -> typing.Any:
    """Return a report without validation; raises as ``fetch_report``."""
    answer = await client.request(
        "GET",
        address,
        "/report",
        connect_ms=_REPORT_TIMEOUT_MS,
        read_ms=_REPORT_TIMEOUT_MS,
        max_body_bytes=MAX_REPORT_BYTES,
    )
    if answer.status != 200:
        raise BadReportError(f"status {answer.status}")
    return answer.json()


def _parse_report(message: typing.Any) -> Report:
    try:
        resident = message.get("resident", {})
        checked = Report(
            boot_id=str(message["boot_id"]),
            in_flight=int(message["in_flight"]),
            leaving=message["leaving"] is True,
            resident={
                str(name): str(version) for name, version in resident.items()
            },
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BadReportError(repr(error)) from error
    if not 0 <= checked.in_flight <= 1_000_000:
        raise BadReportError(f"in_flight is {checked.in_flight}")
    return checked


async def _read_refusal(response: typing.Any) -> Exception:
    """Return the exception for an answer with a status other than 200."""
    data = bytearray()
    async for part in response.aiter_stream():
        data += part
        if len(data) > MAX_LINE_BYTES:
            break
    try:
        reason = json.loads(data)["refused"]
    except (ValueError, KeyError, TypeError):
        return _http.BrokenError(f"the engine answered {response.status}")
    return RefusedError(str(reason))


async def _iterate_lines(response: typing.Any) -> AsyncIterator[bytes]:
    """Yield the complete lines of a stream, without empty ones."""
    pending = b""
    async for part in response.aiter_stream():
        *lines, pending = (pending + part).split(b"\n")
        for line in lines:
            if line:
                yield line
        if len(pending) > MAX_LINE_BYTES:
            raise _http.BrokenError("the engine sent a line that is too long")


def _parse_message(line: bytes) -> _streams.Chunk | _streams.End:
    try:
        message = orjson.loads(line)
        request_id = message["request_id"]
        if message.get("end"):
            return _streams.End(request_id, int(message["token_count"]))
        tokens = tuple(str(token) for token in message["tokens"])
        if any(len(token) > MAX_TOKEN_CHARACTERS for token in tokens):
            raise ValueError("a token is too long")
        return _streams.Chunk(request_id, int(message["offset"]), tokens)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise _http.BrokenError(f"malformed message: {error!r}") from error
