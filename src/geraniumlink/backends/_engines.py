"""The protocol of model engines; docs/platform.md describes it."""

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

_REPORT_TIMEOUT_MS = 1000
MAX_LINE_BYTES = 2**18


class GenerationRequest(typing.NamedTuple):
    """What an engine is asked to generate, from ``offset`` tokens on."""

    request_id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    offset: int


class Report(typing.NamedTuple):
    """What a backend server says of itself, with a lag."""

    # Changes when the process restarts and everything resident is lost.
    boot_id: str
    in_flight: int
    leaving: bool
    # "model" or "model/adapter" to version.
    resident: dict[str, str]


class RefusedError(Exception):
    """The backend server says that it did not begin the request."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class StalledError(_http.BrokenError):
    """The connection stands and nothing came on it for too long."""


class BadReportError(Exception):
    """A report that makes no sense; the last good one stays in use."""


async def generate(
    client: _http.Client,
    address: _settings.Address,
    generation: GenerationRequest,
    read_ms: int,
) -> AsyncGenerator[_streams.Chunk | _streams.End, None]:
    """Yield what the engine sends, in whichever order it comes.

    :raises RefusedError: if the engine did not begin it.
    :raises _http.NotSentError: if it did not reach the engine.
    :raises _http.BrokenError: if the connection broke, stalled for
        ``read_ms`` or carried nonsense.
    """
    body = json.dumps(generation._asdict()).encode()
    async with client.stream(
        "POST", address, "/generate", body=body, read_ms=read_ms
    ) as response:
        if response.status != 200:
            raise await _refusal(response)
        async for line in _lines(response):
            yield _message(line)


async def read_to_end(
    messages: AsyncGenerator[_streams.Chunk | _streams.End, None],
    limit_ms: int,
) -> None:
    """Read past the end of an answer, so that its connection can be kept.

    A connection whose answer was not read to its last byte must be closed,
    and the next request pays for a new one.
    """
    with contextlib.suppress(_http.BrokenError):
        with anyio.move_on_after(limit_ms / 1000):
            await anext(messages, None)


async def fetch_report(
    client: _http.Client, address: _settings.Address
) -> Report:
    """Ask an engine or plain service for its report.

    :raises BadReportError: if the answer makes no sense.
    :raises _http.NotSentError: if the server can't be reached.
    :raises _http.BrokenError: if no whole answer came.
    """
    return _check_report(await fetch_raw_report(client, address))


async def fetch_raw_report(
    client: _http.Client, address: _settings.Address
) -> typing.Any:
    """Return a report as it was sent; errors as of ``fetch_report``."""
    answer = await client.request(
        "GET",
        address,
        "/report",
        connect_ms=_REPORT_TIMEOUT_MS,
        read_ms=_REPORT_TIMEOUT_MS,
    )
    if answer.status != 200:
        raise BadReportError(f"status {answer.status}")
    return answer.json()


def _check_report(message: typing.Any) -> Report:
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


async def _refusal(response: typing.Any) -> Exception:
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


async def _lines(response: typing.Any) -> AsyncIterator[bytes]:
    pending = b""
    async for part in response.aiter_stream():
        *lines, pending = (pending + part).split(b"\n")
        for line in lines:
            if line:
                yield line
        if len(pending) > MAX_LINE_BYTES:
            raise _http.BrokenError("the engine sent an endless line")


def _message(line: bytes) -> _streams.Chunk | _streams.End:
    try:
        message = orjson.loads(line)
        request_id = message["request_id"]
        if message.get("end"):
            return _streams.End(request_id, int(message["token_count"]))
        tokens = tuple(str(token) for token in message["tokens"])
        return _streams.Chunk(request_id, int(message["offset"]), tokens)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise _http.BrokenError(f"not a chunk: {error!r}") from error
