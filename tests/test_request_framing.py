"""Requests are read as they were sent, however their bytes arrive."""

import asyncio
import typing

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest
import uvicorn
from uvicorn import server

from geraniumlink import _http_protocol
from geraniumlink.hosting import _http_protocol as _limited_protocol
from geraniumlink.serving import _active_configuration

pytestmark = pytest.mark.anyio

_PROTOCOLS = (
    _http_protocol.HttpProtocol,
    _limited_protocol.make_limited_protocol(
        _active_configuration.ActiveConfiguration(), lambda: False
    ),
)


class _Request(typing.NamedTuple):
    method: str
    target: str
    body: bytes
    # Sizes of the chunks of the body; None for a body with a length.
    chunks: list[int] | None
    # Lines of the head, and of the trailer section of a body in chunks.
    lines: list[str]
    trailers: list[str]

    def encode(self) -> bytes:
        chunked = self.chunks is not None
        framing = (
            "Transfer-Encoding: chunked"
            if chunked
            else f"Content-Length: {len(self.body)}"
        )
        start = f"{self.method} {self.target} HTTP/1.1"
        head = "\r\n".join([start, "Host: a", *self.lines, framing, "", ""])
        return head.encode() + (self._in_chunks() if chunked else self.body)

    def _in_chunks(self) -> bytes:
        encoded, left = b"", self.body
        for size in [*(self.chunks or []), len(left)]:
            if part := left[:size]:
                encoded += b"%x;x=1\r\n%b\r\n" % (len(part), part)
            left = left[size:]
        return encoded + "\r\n".join(["0", *self.trailers, "", ""]).encode()


_OFFERS = (
    ["Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c"],
    ["connection: upgrade", "Upgrade: websocket", "Sec-WebSocket-Key: YQ=="],
    ["Upgrade: x/1, y", "Connection: keep-alive, Upgrade"],
    ["Connection: upgrade"],
    ["Upgrade: h2c"],
    [],
)
_SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
_TRAILERS = (["X-Trailer: 1"], ["X-Trailer: 1", "Upgrade: h2c"], [])
_REQUESTS = st.builds(
    _Request,
    st.sampled_from(["GET", "POST", "PUT", "DELETE", "OPTIONS"]),
    st.sampled_from(["/a", "/a/%2F?x=%20", "/b?c"]),
    st.binary(max_size=30) | st.sampled_from([_SMUGGLED, 2 * _SMUGGLED]),
    st.none() | st.lists(st.integers(1, 20), max_size=3),
    st.sampled_from(_OFFERS),
    st.sampled_from(_TRAILERS),
)


class _Transport(asyncio.Transport):
    """Collects what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self._closing = False

    def write(self, data: typing.Any) -> None:
        self.written += data

    def write_eof(self) -> None:
        pass

    def close(self) -> None:
        self._closing = True

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass


class _Exchange:
    """One connection to an application that notes what it is asked."""

    def __init__(self, protocol_class: typing.Any) -> None:
        self.served: list[tuple[str, str, bytes]] = []
        self.headers: list[set[str]] = []
        self.transport = _Transport()
        config = uvicorn.Config(
            self._serve,
            interface="asgi3",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
        )
        self.protocol = protocol_class(config, server.ServerState(), {})
        self.protocol.connection_made(self.transport)

    async def _serve(self, scope, receive, send) -> None:
        body, more_body = b"", True
        while more_body:
            message = await receive()
            body += message["body"]
            more_body = message["more_body"]
        target = scope["target"].decode()
        self.served.append((scope["method"], target, body))
        self.headers.append({name.decode() for name, _ in scope["headers"]})
        length = [(b"content-length", b"0")]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": length})
        await send({"type": "http.response.body", "body": b""})

    async def send(self, data: bytes, sizes: list[int]) -> None:
        """Pass data on in parts of these sizes, over and over."""
        while data:
            size = sizes[0] if sizes else len(data)
            sizes = [*sizes[1:], size]
            self.protocol.data_received(data[:size])
            data = data[size:]
            await asyncio.sleep(0)

    async def until_responses(self, count: int) -> None:
        with anyio.fail_after(5):
            while self.transport.written.count(b"HTTP/1.1 ") < count:
                await asyncio.sleep(0)


@pytest.mark.parametrize("protocol", _PROTOCOLS, ids=("own", "limited"))
@hypothesis.settings(max_examples=300)
@hypothesis.given(
    requests=st.lists(_REQUESTS, min_size=1, max_size=4),
    sizes=st.lists(st.integers(1, 60), max_size=6),
)
async def test_a_request_is_run_with_another_body_or_smuggled(
    protocol, requests, sizes
):
    exchange = _Exchange(protocol)
    data = b"".join(request.encode() for request in requests)
    await exchange.send(data, sizes)
    await exchange.until_responses(len(requests))
    assert exchange.served == [
        (request.method, request.target, request.body) for request in requests
    ]
    assert exchange.transport.written.count(b"HTTP/1.1 200 ") == len(requests)
    for request, names in zip(requests, exchange.headers, strict=True):
        assert "x-trailer" not in names
        assert ("content-length" in names) == (request.chunks is None)
    exchange.protocol.connection_lost(None)


async def test_offers_to_upgrade_in_one_segment_exhaust_the_stack():
    exchange = _Exchange(_http_protocol.HttpProtocol)
    request = _Request("GET", "/a", b"", None, _OFFERS[0], [])
    await exchange.send(2000 * request.encode(), [])
    await exchange.until_responses(2000)
    assert len(exchange.served) == 2000
    exchange.protocol.connection_lost(None)


async def test_requests_of_one_segment_fill_the_memory():
    exchange = _Exchange(_http_protocol.HttpProtocol)
    data = _Request("GET", "/a", b"", None, [], []).encode()
    exchange.protocol.data_received(10_000 * data)
    in_one_part = _http_protocol.MAX_PARSED_BYTES // len(data)
    longest = _http_protocol.MAX_QUEUED_REQUESTS + in_one_part
    assert len(exchange.protocol.pipeline) <= longest
    assert exchange.protocol.flow.read_paused
    await exchange.until_responses(10_000)
    assert len(exchange.served) == 10_000
    assert not exchange.protocol.flow.read_paused
    exchange.protocol.connection_lost(None)


@pytest.mark.parametrize("answer", ("of the application", "for want of room"))
async def test_a_refused_request_is_kept_with_its_connection(answer):
    heads = []

    async def application(scope, _receive, send) -> None:
        heads.append(scope["headers"])
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": [(b"content-length", b"0")]})
        await send({"type": "http.response.body", "body": b""})

    exchange = _Exchange(_http_protocol.HttpProtocol)
    exchange.protocol.app = application
    head = b"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"
    exchange.protocol.data_received(head + 50_000 * b"x")
    if answer == "for want of room":
        exchange.protocol.refuse_incomplete()
    await exchange.until_responses(1)
    await asyncio.sleep(0)
    assert [len(head) for head in heads] == [2]
    assert not exchange.protocol.cycle.body
    assert not exchange.protocol.cycle.scope
    assert not exchange.protocol.headers
    exchange.protocol.connection_lost(None)
