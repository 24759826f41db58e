"""Answers that break off in their head are not relayed as whole ones."""

import asyncio
import contextlib
import itertools
import random
import re
import socket
import struct
import typing

import aioprometheus
import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _server
from geraniumlink import _settings
from geraniumlink.hosting import _application
from geraniumlink.hosting import _http_protocol
from geraniumlink import platform
from geraniumlink.residency import _message_client
from geraniumlink.serving import _account_check
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _connections
from geraniumlink.serving import _forward
from geraniumlink.serving import _peer_relay
from geraniumlink.serving import _peers
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _stream_origins
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions
from standins import fleet as fleets
from standins import replica as replicas
from tests import builders
from tests import hosts

pytestmark = pytest.mark.anyio

_ENDS = ("close", "reset")
# To a replica, or over an instance; and what marks the end of its answer.
_DIRECT = (
    (False, "connection"),
    (False, "length"),
    (False, "chunks"),
)
_OVER_PEERS = (True, "chunks")
_PATHS = (_DIRECT[0], _OVER_PEERS)
_INTERIM = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" * 2,
    b"HTTP/1.1 100 Continue\r\n\r\n",
)
_UNKNOWN_STATUSES = (
    *(b"000", b"001", b"099", b"0", b"20", b"600", b"999", b"2000", b"2OO"),
    *(b"+20", b"-01", b" 00"),
)
_BODY = b"the whole body"
_EVENTS = tuple(replicas.event(number) for number in range(1, 4))
_EVENT_CHUNK = b"%x\r\n%b\r\n" % (len(_EVENTS[0]), _EVENTS[0])
_REQUEST_ID = re.compile(rb"\r\nx-request-id: ([^\r]*)", re.IGNORECASE)
# Requests have an empty body, or one of JSON.
_REQUEST_ENDS = (b"\r\n\r\n", b"}")
# All ids have one length, so that heads are equally long.
_ANY_ID = b"000000"
# Between two parts of an answer, so that they are received one by one.
_PAUSE_S = 0.001
_RETRIES = 1_000_000


class _Answer(typing.NamedTuple):
    """What a server sends in answer to a request, and what it does then."""

    data: bytes
    # "close", "reset", or "keep" to read another request.
    end: str = "keep"
    # Sent a moment later.
    rest: bytes = b""


def _head(request_id, framing, status=b"200 OK", length=0):
    """Return a head, short since it is cut after each byte."""
    lines = [
        b"HTTP/1.1 " + status,
        b"X-Response-Seal: 3e1b",
        b"X-Request-Id: " + request_id,
    ]
    if framing == "length":
        lines.append(b"Content-Length: %d" % length)
    if framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
    return b"\r\n".join([*lines, b"", b""])


def _whole(request_id, kind, framing, first=0, **fields):
    """Return a whole answer, as its head and its body."""
    parts = _EVENTS[first:] if kind.startswith("stream") else (_BODY,)
    if framing == "chunks":
        encoded = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
        return _head(request_id, framing, **fields), b"".join(
            [*encoded, b"0\r\n\r\n"]
        )
    body = b"".join(parts)
    return _head(request_id, framing, length=len(body), **fields), body


class _Server:
    """A replica or an instance, whose answers are set by request."""

    def __init__(self) -> None:
        # By request id: what each attempt gets; the last one is repeated.
        self.answers: dict[bytes, list[_Answer]] = {}
        # Ids of requests that came on a connection in use again.
        self.kept: set[bytes] = set()
        self.address = _settings.Address("127.0.0.1", 0)
        self.transports: set[asyncio.Transport] = set()

    @contextlib.asynccontextmanager
    async def listen(self):
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: _ServerConnection(self), "127.0.0.1", 0
        )
        port = listener.sockets[0].getsockname()[1]
        self.address = _settings.Address("127.0.0.1", port)
        try:
            yield self
        finally:
            listener.close()
            for transport in list(self.transports):
                transport.abort()
            while self.transports:
                await anyio.sleep(0)

    def next_answer(self, request_id: bytes) -> _Answer:
        answers = self.answers[request_id]
        return answers.pop(0) if len(answers) > 1 else answers[0]


class _ServerConnection(asyncio.Protocol):
    def __init__(self, server: _Server) -> None:
        self._server = server
        self._transport: asyncio.Transport
        self._received = b""
        self._in_use_again = False

    def connection_made(self, transport):
        self._transport = transport
        self._server.transports.add(transport)

    def connection_lost(self, exc):
        self._server.transports.discard(self._transport)

    def data_received(self, data):
        self._received += data
        if not self._received.endswith(_REQUEST_ENDS):
            return
        found = _REQUEST_ID.search(self._received)
        request_id = found.group(1) if found else b""
        self._received = b""
        if self._in_use_again:
            self._server.kept.add(request_id)
        self._in_use_again = True
        self._answer(self._server.next_answer(request_id))

    def _answer(self, answer: _Answer) -> None:
        self._transport.write(answer.data)
        if answer.rest:
            asyncio.get_running_loop().call_later(
                _PAUSE_S, self._transport.write, answer.rest
            )
        if answer.end == "close":
            self._transport.close()
        if answer.end == "reset":
            raw = self._transport.get_extra_info("socket")
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self._transport.abort()


@contextlib.asynccontextmanager
async def _serving(count=1):
    """Yield servers that share their answers."""
    async with contextlib.AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(_Server().listen())
            for _ in range(count)
        ]
        for server in servers:
            server.answers = servers[0].answers
        yield servers


class _Reachability:
    """The path to the replicas is there, or it is lost, for good."""

    def __init__(self, is_lost: bool) -> None:
        self.is_lost = is_lost

    def note_unanswered(self, replica):
        pass

    def suspect(self):
        pass

    async def check(self, is_certain=False):
        return self.is_lost


class _ConnectionPool(_connections.ConnectionPool):
    """The servers go on listening, which isn't tried for each broken head."""

    async def check_listener(self, address):
        pass


class _Directory:
    without_path = frozenset()

    def __init__(self, addresses) -> None:
        self.others = [str(address) for address in addresses]


def _make_forwarder(clock, addresses, over_peers=False):
    """Return a forwarder to some replicas, or to instances instead."""
    known = _replicas.Replicas(clock, 2000)
    known.replace_all(
        builders.replica_entry(f"r{number}")._replace(
            service="assistant", address=address
        )
        for number, address in enumerate(addresses)
    )
    active = _active_configuration.ActiveConfiguration()
    active.apply_if_newer(platform.decode_configuration(_configuration()))
    origins = _stream_origins.OriginTable(clock)
    source = random.Random(1)
    return _forward.Forwarder(
        active_configuration=active,
        replicas=known,
        residency=None,
        budgets=_retry_budgets.RetryBudgets(
            _retry_budgets.RetryLimit(1, _RETRIES, 1000), clock
        ),
        suspicions=_suspicions.SuspicionTable(clock),
        prompt_parts=_prompt_parts.PromptParts(clock, source),
        origins=origins,
        versions=None,
        permits=None,
        metrics=_request_metrics.RequestMetrics(aioprometheus.Registry()),
        connections=_ConnectionPool(clock),
        reachability=_Reachability(over_peers),
        peer_relay=_peer_relay.PeerRelay(
            _peers.Peers(_Directory(addresses), clock, source),
            _connections.ConnectionPool(clock),
            origins,
            clock,
        ),
        clock=clock,
        data_centre="dc1",
        random_source=source,
    ), active


def _configuration():
    return hosts.configuration(
        1, hosts.route("resumed", "stream", resumable=True, max_attempts=3)
    )


class _Received:
    """What a client got of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_complete = False

    async def send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
        else:
            self.body += message["body"]
            self.is_complete = not message.get("more_body")

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300 and self.is_complete


class _Setup:
    """Sends requests through a forwarder to servers, one after another."""

    def __init__(self, servers, over_peers=False) -> None:
        self.servers = servers
        self._clock = _clock.ManualClock()
        self._forwarder, _ = _make_forwarder(
            self._clock, [s.address for s in servers], over_peers
        )
        self._numbers = itertools.count(1)

    def next_id(self) -> bytes:
        return b"%06d" % next(self._numbers)

    async def send(self, request_id, kind, *answers) -> _Received:
        """Send a request whose attempts get these answers."""
        self.servers[0].answers[request_id] = list(answers)
        request = builders.model_request(
            id=request_id,
            host=hosts.HOST,
            target=b"/%b/x" % kind.encode(),
            headers=[(b"x-request-id", request_id)],
            model="",
            received_at=self._clock.now(),
        )
        received = _Received()
        writer = _response_writer.ResponseWriter(received.send, lambda: False)
        with anyio.fail_after(5):
            await self._forwarder.serve(request, writer)
        if any(answer.end != "keep" for answer in answers):
            # An instance that failed is used again after this time.
            self._clock.advance(_peers.FAILED_MS)
        return received


@contextlib.asynccontextmanager
async def _setup(count=2, **fields):
    async with _serving(count) as servers:
        yield _Setup(servers, **fields)


def _cuts(head, body, framing, end):
    """Return the lengths at which an answer isn't whole."""
    if framing != "connection":
        return range(len(head) + len(body))
    # Where the connection's close is the end of a body, any length is whole.
    return range(len(head) if end == "close" else len(head) + len(body) + 1)


@pytest.mark.parametrize("over_peers, framing", (*_DIRECT, _OVER_PEERS))
@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("kind", ("once", "stream-once"))
async def test_an_answer_that_breaks_off_is_no_success(
    kind, framing, end, over_peers
):
    async with _setup(over_peers=over_peers) as setup:
        head, body = _whole(_ANY_ID, kind, framing)
        for cut in _cuts(head, body, framing, end):
            request_id = setup.next_id()
            data = b"".join(_whole(request_id, kind, framing))
            answer = _Answer(data[:cut], end)
            received = await setup.send(request_id, kind, answer)
            assert not received.is_success, cut
            if cut < len(head):
                assert received.status == 502, cut


@pytest.mark.parametrize("over_peers, framing", _PATHS)
@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("kind", ("safe", "stream"))
async def test_a_request_is_retried_after_an_answer_that_breaks_off(
    kind, end, framing, over_peers
):
    async with _setup(over_peers=over_peers) as setup:
        for cut in range(len(_head(_ANY_ID, framing))):
            request_id = setup.next_id()
            broken = _head(request_id, framing)[:cut]
            whole = b"".join(_whole(request_id, kind, "chunks"))
            received = await setup.send(
                request_id, kind, _Answer(broken, end), _Answer(whole)
            )
            assert received.is_success, cut
            expected = _BODY if kind == "safe" else b"".join(_EVENTS)
            assert received.body == expected, cut


@pytest.mark.parametrize("over_peers, framing", _PATHS)
@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("kind", ("stream", "resumed"))
async def test_a_stream_that_goes_on_with_a_broken_head_is_not_complete(
    kind, framing, end, over_peers
):
    """It is unless a third attempt sends the rest."""
    async with _setup(count=3, over_peers=over_peers) as setup:
        for cut in range(len(_head(_ANY_ID, framing))):
            request_id = setup.next_id()
            begun = _head(request_id, "chunks") + _EVENT_CHUNK
            broken = _head(request_id, framing, length=100)[:cut]
            rest = b"".join(_whole(request_id, "stream", "chunks", first=1))
            received = await setup.send(
                request_id,
                kind,
                _Answer(begun, end),
                _Answer(broken, end),
                _Answer(rest),
            )
            assert received.status == 200, cut
            assert received.is_success is (kind == "resumed"), cut
            count = len(_EVENTS) if kind == "resumed" else 1
            assert received.body == b"".join(_EVENTS[:count]), cut


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("interim", _INTERIM, ids=("103", "102", "100"))
@pytest.mark.parametrize("kind", ("once", "stream-once"))
async def test_an_answer_that_breaks_off_after_interim_heads_is_no_success(
    kind, interim, end
):
    async with _setup() as setup:
        head = _head(_ANY_ID, "connection")
        for cut in range(len(interim + head)):
            request_id = setup.next_id()
            data = interim + _head(request_id, "connection")
            answer = _Answer(data[:cut], end)
            received = await setup.send(request_id, kind, answer)
            assert received.status == 502, cut


@pytest.mark.parametrize("over_peers", (False, True))
@pytest.mark.parametrize("interim", _INTERIM, ids=("103", "102", "100"))
@pytest.mark.parametrize("kind", ("safe", "once", "stream", "stream-once"))
async def test_an_answer_is_lost_behind_interim_heads(
    kind, interim, over_peers
):
    async with _setup(over_peers=over_peers) as setup:
        request_id = setup.next_id()
        whole = b"".join(_whole(request_id, kind, "length"))
        for answer in (
            _Answer(interim + whole),
            _Answer(interim, rest=whole),
        ):
            received = await setup.send(request_id, kind, answer)
            assert received.is_success


def _unknown_answer(request_id, kind, status):
    head = {"framing": "length", "status": status + b" -"}
    return _Answer(b"".join(_whole(request_id, kind, **head)))


@pytest.mark.parametrize("over_peers", (False, True))
@pytest.mark.parametrize("status", _UNKNOWN_STATUSES)
@pytest.mark.parametrize("kind", ("safe", "once", "stream", "stream-once"))
async def test_an_unknown_status_is_an_answer(kind, status, over_peers):
    async with _setup(over_peers=over_peers) as setup:
        request_id = setup.next_id()
        whole = b"".join(_whole(request_id, kind, "length"))
        received = await setup.send(
            request_id,
            kind,
            _unknown_answer(request_id, kind, status),
            _Answer(whole),
        )
        if kind.endswith("once"):
            assert received.status == 502
        else:
            assert received.is_success


@pytest.mark.parametrize("status", _UNKNOWN_STATUSES)
async def test_a_connection_is_used_again_after_an_unknown_status(status):
    async with _setup(count=1) as setup:
        request_id, next_id = setup.next_id(), setup.next_id()
        broken = _unknown_answer(request_id, "once", status)
        await setup.send(request_id, "once", broken)
        whole = _Answer(b"".join(_whole(next_id, "once", "length")))
        assert (await setup.send(next_id, "once", whole)).is_success
        assert next_id not in setup.servers[0].kept


@pytest.mark.parametrize("over_peers, framing", _PATHS)
@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("kind", ("once", "stream-once"))
async def test_an_answer_that_breaks_off_on_a_kept_connection_is_no_success(
    kind, framing, end, over_peers
):
    async with _setup(count=1, over_peers=over_peers) as setup:
        for cut in range(len(_head(_ANY_ID, framing))):
            whole_id, request_id = setup.next_id(), setup.next_id()
            whole = b"".join(_whole(whole_id, kind, "length"))
            assert (
                await setup.send(whole_id, kind, _Answer(whole))
            ).is_success
            answer = _Answer(_head(request_id, framing)[:cut], end)
            received = await setup.send(request_id, kind, answer)
            assert received.status == 502, cut
            assert request_id in setup.servers[0].kept


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("kind", ("safe", "once", "stream", "stream-once"))
@pytest.mark.parametrize(
    "head", (b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200\r\n\r\n")
)
async def test_a_status_line_alone_is_no_success(head, kind, end):
    async with _setup() as setup:
        answer = _Answer(head, end)
        received = await setup.send(setup.next_id(), kind, answer)
        assert received.status == 502


@pytest.mark.parametrize("kind", ("once", "stream-once"))
@pytest.mark.parametrize("begun", (b"200 OK", b"204 -"))
@pytest.mark.parametrize("status", (b"200 OK", b"500 -", b"000 -"))
async def test_a_head_that_breaks_off_is_not_joined_with_the_next_answers(
    kind, begun, status
):
    """The client would get its status with the other answer's body."""
    async with _setup(count=1) as setup:
        for cut in range(1, len(_head(_ANY_ID, "connection", begun)) - 1):
            whole_id, request_id = setup.next_id(), setup.next_id()
            whole = _Answer(b"".join(_whole(whole_id, kind, "length")))
            assert (await setup.send(whole_id, kind, whole)).is_success
            broken = _head(request_id, "connection", begun)[:cut]
            own = b"".join(_whole(request_id, kind, "length", status=status))
            answer = _Answer(broken, rest=own)
            received = await setup.send(request_id, kind, answer)
            assert received.status == 502, cut
            assert request_id in setup.servers[0].kept


@contextlib.asynccontextmanager
async def _instance(addresses, over_peers=False):
    """Run an instance's listener; yield its addresses."""
    clock = _clock.ManualClock()
    forwarder, active = _make_forwarder(clock, addresses, over_peers)
    ports = [_settings.Address("127.0.0.1", fleets.free_port()) for _ in "123"]
    own = _application.Addresses(*ports, metrics=None)
    application = _application.Application(
        addresses=own,
        active_configuration=active,
        account_check=_account_check.AccountCheck(
            active_configuration=active,
            confirmed_age_ms=lambda: None,
            bound_ms=None,
            metrics=None,
            random_source=random.Random(1),
        ),
        forwarder=forwarder,
        controller_protocol=None,
        clock=clock,
        metrics=None,
        load_monitor=None,
        is_ready=lambda: True,
    )
    listener = _server.Listener(
        application,
        ports,
        clock,
        _http_protocol.make_limited_protocol(active, lambda: False),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(listener.run)
        await _until_connected(own.clients)
        yield own, clock
        listener.stop()


async def _until_connected(address):
    with anyio.fail_after(5):
        while True:
            with contextlib.suppress(OSError):
                stream = await anyio.connect_tcp(address.host, address.port)
                await stream.aclose()
                return
            await anyio.sleep(0.01)


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("kind", ("once", "stream"))
async def test_an_answer_that_breaks_off_is_cut_on_its_way_over_an_instance(
    kind, end
):
    """As a client sees it, of the instance that has no path to replicas."""
    async with (
        _serving(2) as servers,
        _instance([server.address for server in servers]) as (relay, _),
        _instance([relay.instances], over_peers=True) as (front, clock),
    ):
        for cut in range(len(_head(_ANY_ID, "connection"))):
            clock.advance(_peers.FAILED_MS)
            request_id = b"%06d" % cut
            begun = _head(request_id, "chunks") + _EVENT_CHUNK
            broken = _head(request_id, "connection")[:cut]
            servers[0].answers[request_id] = [_Answer(broken, end)]
            if kind == "stream":
                servers[0].answers[request_id].insert(0, _Answer(begun, end))
            answer = await hosts.send_request(
                front.clients.port,
                f"/{kind}/x",
                X_Request_Id=request_id.decode(),
            )
            if kind == "stream":
                assert answer.body == _EVENTS[0], cut
                assert not answer.is_complete, cut
            else:
                assert answer.status == 502, cut


@pytest.mark.parametrize("end", _ENDS)
async def test_a_message_to_an_instance_that_breaks_off_is_a_failure(end):
    async with _serving() as (server,):
        client = _message_client.MessageClient(_clock.ManualClock())
        for cut in range(len(_head(b"", "connection"))):
            broken = _head(b"", "connection")[:cut]
            whole = _Answer(_head(b"", "length", length=2) + b"{}")
            server.answers[b""] = [whole, _Answer(broken, end)]
            await client.post(server.address, "/v1/x", b"{}")
            with pytest.raises(_http.BrokenError):
                await client.post(server.address, "/v1/x", b"{}")


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("status", (b"202 Accepted", b"200 OK"))
async def test_an_order_whose_answer_breaks_off_has_an_unknown_result(
    status, end
):
    async with _serving() as (server,):
        client = _order_client()
        order = platform.Order(
            "r1", server.address, True, "m1", "", 0, "i1", 1
        )
        for cut in range(len(_head(b"", "connection", status))):
            broken = _head(b"", "connection", status)[:cut]
            server.answers[b""] = [_Answer(broken, end)]
            result = await client.send(order, lambda: True)
            assert result is platform.OrderResult.UNKNOWN, cut


@pytest.mark.parametrize("end", _ENDS)
async def test_a_report_that_breaks_off_is_no_report(end):
    async with _serving() as (server,):
        client = _order_client()
        for cut in range(len(_head(b"", "connection")) + 1):
            broken = _head(b"", "connection")[:cut]
            server.answers[b""] = [_Answer(broken, end)]
            with pytest.raises(_http.BrokenError):
                await client.fetch_report("r1", server.address)
            if cut < len(_head(b"", "connection")):
                assert not await client.gets_response("r1", server.address)


@pytest.mark.parametrize("status", _UNKNOWN_STATUSES)
async def test_an_unknown_status_is_an_answer_to_a_call(status):
    async with _serving() as (server,):
        server.answers[b""] = [_unknown_answer(b"", "safe", status)]
        address, client = server.address, _order_client()
        order = platform.Order("r1", address, True, "m1", "", 0, "i1", 1)
        result = await client.send(order, lambda: True)
        assert result is platform.OrderResult.UNKNOWN
        with pytest.raises(_http.BrokenError):
            await client.fetch_report("r1", address)
        assert not await client.gets_response("r1", address)
        messages = _message_client.MessageClient(_clock.ManualClock())
        with anyio.fail_after(5), pytest.raises(_http.BrokenError):
            await messages.post(address, "/v1/x", b"{}")
        with anyio.fail_after(5), pytest.raises(_http.BrokenError):
            await _http.Client().request("GET", address, "/")


def _order_client():
    return platform.OrderClient(
        _http.Client(keeps_alive=False), lambda *_: None
    )
