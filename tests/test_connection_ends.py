"""What becomes of requests when the server ends a client's connection."""

import contextlib
import json
import socket
import time
from unittest import mock

import anyio
import pytest
import uvicorn
from uvicorn import server

from geraniumlink import _clock
from geraniumlink import _http_protocol
from geraniumlink import _server
from geraniumlink import _settings
from standins import fleet as fleets
from tests import builders
from tests import hosts

pytestmark = pytest.mark.anyio

_LARGE_BODY = b"x" * 4_000_000
# A body that is itself the text of a request.
_DOCUMENT = hosts.request_bytes("/once/of-the-document", b"{}")
_OFFERS = {
    "h2c": {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c"},
    "websocket": {"Connection": "upgrade", "Upgrade": "websocket"},
    "unknown": {"Connection": "keep-alive, Upgrade", "Upgrade": "x/1, y"},
}


async def _start_site(fleet):
    """Return a site with one replica, and its client port."""
    site = await hosts.Site(fleet).start(replicas=1)
    return site, site.instances[0].port


async def _receive_all(connection):
    """Return what is received until the connection ends or is reset."""
    received = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received += await connection.receive()
    return received


async def _until_run(fleet, site, count=1):
    async def has_run():
        return len((await site.runs())["r-1"]) >= count

    await fleet.until(has_run, "the replica runs the request")


def _kept(target, body=b"", **headers):
    return hosts.request_bytes(target, body, Connection="", **headers)


def _statuses(data):
    """Return the statuses of all responses; none of the bodies has one."""
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize("sent_at_s", (-0.3, 0.3, 1.2))
async def test_sigterm_drops_a_request_that_waits_behind_another(
    fleet, sent_at_s
):
    site, port = await _start_site(fleet)
    await site.faults("r-1", work_ms=1500)
    (instance,) = site.instances
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/once/1"))
        await _until_run(fleet, site)
        if sent_at_s < 0:
            await connection.send(_kept("/once/2"))
        await anyio.sleep(max(0, -sent_at_s))
        instance.terminate()
        await anyio.sleep(max(0, sent_at_s))
        if sent_at_s > 0:
            await connection.send(_kept("/once/2"))
        answers = await _receive_all(connection)
    first, _, second = answers.partition(b"answer to /once/1")
    assert _statuses(first) == [200]
    assert _statuses(second) == [200]
    assert second.endswith(b"answer to /once/2")
    assert b"connection: close" not in first.lower()
    assert b"connection: close" in second.lower()
    runs = (await site.runs())["r-1"]
    assert [run["target"] for run in runs] == ["/once/1", "/once/2"]


async def test_a_request_sent_during_the_last_stream_is_read_and_dropped(
    fleet,
):
    site, port = await _start_site(fleet)
    await site.faults("r-1", event_ms=200)
    (instance,) = site.instances
    instance.terminate()
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/stream/1"))
        answers = await connection.receive()
        await connection.send(_kept("/once/2"))
        answers += await _receive_all(connection)
    assert _statuses(answers) == [200]
    assert b"token 8" in answers
    assert not hosts.find_log_lines(instance, "requests_dropped")
    assert [run["target"] for run in (await site.runs())["r-1"]] == [
        "/stream/1"
    ]


async def test_a_client_that_always_sends_one_more_holds_up_the_shutdown(
    fleet,
):
    site, port = await _start_site(fleet)
    await site.faults("r-1", work_ms=600)
    (instance,) = site.instances
    sent = 2
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/once/1") + _kept("/once/2"))
        await _until_run(fleet, site)
        instance.terminate()
        answers = b""
        # Listeners close 2.3 s after SIGTERM; four requests may wait then.
        with (
            anyio.fail_after(2.3 + 4 * 0.6 + 1),
            contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
        ):
            while True:
                answers += await connection.receive()
                if sent <= len(_statuses(answers)) + 1:
                    sent += 1
                    await connection.send(_kept(f"/once/{sent}"))
    assert set(_statuses(answers)) == {200}
    assert answers.lower().count(b"connection: close") <= 1
    assert len((await site.runs())["r-1"]) == len(_statuses(answers))


async def test_own_interface_drops_a_request_that_waits_behind_another(fleet):
    engine = fleet.engine({"notes": "1"})
    instance = fleet.instance(drain_lag_ms=1200)
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([engine]))
    await builders.serving(fleet, instance, 1)
    fields = {"model": "notes", "prompt": "Boots?", "max_tokens": 200}
    body = json.dumps(fields).encode()
    head = (
        "POST /geraniumlink.v1.Inference/Generate HTTP/1.1\r\n"
        f"Host: instance\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    async with await anyio.connect_tcp(
        "127.0.0.1", instance.port
    ) as connection:
        await connection.send(2 * (head.encode() + body))
        await anyio.sleep(0.3)
        instance.terminate()
        answers = await _receive_all(connection)
    assert _statuses(answers) == [200, 200]


async def _change_limits(fleet, site, **limits):
    """Put a configuration with other limits into force."""
    configuration = hosts.configuration(2)
    configuration["limits"] |= limits
    await site.configure(configuration)
    (instance,) = site.instances

    async def is_in_force():
        return hosts.find_log_lines(instance, "configuration_in_force")[1:]

    await fleet.until(is_in_force, "the second configuration is in force")


async def test_a_rejected_request_drops_the_one_behind_it(fleet):
    site, port = await _start_site(fleet)
    too_large = _kept("/once/1", b"x" * 100_001)
    answer = await hosts.send(port, too_large + hosts.request_bytes("/once/2"))
    assert _statuses(answer.raw) == [413, 200]
    assert answer.raw.endswith(b"answer to /once/2")
    assert [run["target"] for run in (await site.runs())["r-1"]] == ["/once/2"]


@pytest.mark.parametrize("size", (150_000, 1_000_000, 4_000_000))
async def test_a_rejection_is_lost_in_a_reset_while_the_body_is_sent(
    fleet, size
):
    _, port = await _start_site(fleet)
    for _ in range(5):
        async with await anyio.connect_tcp("127.0.0.1", port) as connection:
            await connection.send(_kept("/once/1", _LARGE_BODY[:size]))
            with anyio.fail_after(5):
                received = b""
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        received += await connection.receive()
        assert _statuses(received) == [413]


@pytest.mark.parametrize(
    ("port", "data"),
    (
        ("client", [_kept("/once/1"), b"\r\n"]),
        ("readiness", [_kept("/v1/ready", b"x" * 100)[:-50], b"x"]),
    ),
    ids=("a line end", "a part of a body"),
)
async def test_a_connection_stays_open_after_bytes_that_are_no_request(
    fleet, port, data
):
    site, client_port = await _start_site(fleet)
    await _change_limits(fleet, site, idle_timeout_ms=500)
    ports = {"client": client_port, "readiness": site.ready_port()}
    async with await anyio.connect_tcp("127.0.0.1", ports[port]) as connection:
        await connection.send(data[0])
        await connection.receive()
        await connection.send(data[1])
        with anyio.fail_after(5):
            await _receive_all(connection)


@pytest.mark.parametrize("early_bytes", (0, 20))
async def test_an_idle_timeout_cuts_a_request_that_lasts_longer(
    fleet, early_bytes
):
    site, port = await _start_site(fleet)
    await _change_limits(fleet, site, idle_timeout_ms=500)
    await site.faults("r-1", work_ms=300)
    second = _kept("/once/2")
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/once/1") + second[:early_bytes])
        answers = await connection.receive()
        await site.faults("r-1", work_ms=1200)
        await connection.send(second[early_bytes:])
        answers += await _receive_all(connection)
    assert _statuses(answers) == [200, 200]


async def test_a_lowered_header_timeout_drops_the_request_that_was_late(fleet):
    """Its head is completed late, but before the answer to the first."""
    site, port = await _start_site(fleet)
    await site.faults("r-1", work_ms=2000)
    await _change_limits(fleet, site, header_timeout_ms=300)
    second = hosts.request_bytes("/once/2")
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/once/1") + second[:20])
        await anyio.sleep(0.6)
        await connection.send(second[20:])
        answers = await _receive_all(connection)
    assert _statuses(answers) == [200, 408]
    assert [run["target"] for run in (await site.runs())["r-1"]] == ["/once/1"]


@pytest.mark.parametrize(
    ("bad", "status"),
    (
        (b"no request\r\n\r\n", 400),
        (_kept("/x", X_Large="x" * 50_000), 431),
        (_kept("http://shop.example:99999/once/x"), 400),
    ),
    ids=("malformed", "too large", "bad target"),
)
async def test_a_bad_head_behind_a_request_spoils_the_answer_before(
    fleet, bad, status
):
    site, port = await _start_site(fleet)
    await site.faults("r-1", event_ms=150)
    answer = await hosts.send(port, _kept("/stream/x") + bad)
    assert _statuses(answer.raw) == [200, status]
    events, _, rejection = answer.raw.partition(b"0\r\n\r\n")
    assert b"token 8" in events
    assert b"connection: close" in rejection.lower()


async def test_a_replica_works_on_for_a_client_that_left_with_two_requests(
    fleet,
):
    site, port = await _start_site(fleet)
    await site.faults("r-1", work_ms=3000)
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/safe/1") + _kept("/safe/2"))
        await _until_run(fleet, site)

    async def has_ended():
        (run,) = (await site.runs())["r-1"]
        return run["ended"]

    await fleet.until(has_ended, "the replica stops")
    assert await has_ended() == "cancelled"


@pytest.mark.parametrize("connection", ("close", ""))
async def test_a_replica_works_on_for_a_client_that_asked_to_close(
    fleet, connection
):
    """Its end wasn't noticed until two more events had been written."""
    site, port = await _start_site(fleet)
    # No second event is written in the time that is measured.
    await site.faults("r-1", event_ms=1500)
    client = await anyio.connect_tcp("127.0.0.1", port)
    await client.send(
        hosts.request_bytes("/stream-once/x", Connection=connection)
    )
    received = b""
    while b"token 1" not in received:
        received += await client.receive()
    await client.aclose()

    await anyio.sleep(0.7)
    assert (await site.runs())["r-1"][0]["ended"] == "cancelled"


async def test_a_bad_target_gets_no_answer(fleet):
    _, port = await _start_site(fleet)
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/once/1"))
        first = await connection.receive()
        await connection.send(_kept("http://shop.example"))
        answers = first + await _receive_all(connection)
    assert _statuses(answers) == [200, 400]


async def test_time_behind_another_request_is_added_to_the_deadline(fleet):
    site, port = await _start_site(fleet)
    await site.faults("r-1", work_ms=1500)
    data = _kept("/once/1") + hosts.request_bytes("/once/2")
    assert _statuses((await hosts.send(port, data)).raw) == [200, 200]
    runs = (await site.runs())["r-1"]
    left_ms = [int(run["headers"]["x-deadline-ms"]) for run in runs]
    assert left_ms[1] <= 4000 - 1500


@pytest.mark.parametrize(
    "behind",
    (
        [_kept("/safe/2", b"x" * 90_000)],
        [_kept(f"/safe/{n}") for n in range(2, 7)],
    ),
    ids=("a large body", "five requests"),
)
async def test_a_replica_works_on_for_a_client_that_left_with_a_full_queue(
    fleet, behind
):
    site, port = await _start_site(fleet)
    await site.faults("r-1", work_ms=3000)
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        await connection.send(_kept("/safe/1"))
        await _until_run(fleet, site)
        for request in behind:
            await connection.send(request)
        await anyio.sleep(0.3)
    await anyio.sleep(0.7)
    assert (await site.runs())["r-1"][0]["ended"] == "cancelled"


@contextlib.asynccontextmanager
async def _listening(application):
    """Serve an application on a listener; yield its port."""
    address = _settings.Address("127.0.0.1", fleets.free_port())
    listener = _server.Listener(application, [address], _clock.Clock())
    async with anyio.create_task_group() as group:
        group.start_soon(listener.run)
        while True:
            with contextlib.suppress(OSError):
                await (await anyio.connect_tcp(*address)).aclose()
                break
            await anyio.sleep(0.01)
        yield address.port
        listener.stop()


async def test_an_error_of_the_application_drops_the_request_behind():
    async def application(scope, _receive, send):
        await anyio.sleep(0.1)
        if scope["path"] == "/bad":
            raise RuntimeError("bad")
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": [(b"content-length", b"0")]})
        await send({"type": "http.response.body", "body": b""})

    async with _listening(application) as port:
        data = _kept("/bad") + hosts.request_bytes("/good")
        answer = await hosts.send(port, data)
    assert _statuses(answer.raw) == [500, 200]


async def test_unread_bytes_cut_a_large_last_response_of_a_slow_reader():
    body = b"x" * 3_000_000

    async def application(_scope, _receive, send):
        await anyio.sleep(0.1)
        client.sendall(_kept("/next"))
        time.sleep(0.05)  # The event loop does not read it yet.
        headers = [
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def read_slowly():
        received = 0
        with contextlib.suppress(ConnectionResetError):
            while data := client.recv(65536):
                received += len(data)
                time.sleep(0.04)
        return received

    async with _listening(application) as port:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(_kept("/large"))
            received = await anyio.to_thread.run_sync(read_slowly)
    assert received > len(body)


@pytest.mark.parametrize("offer", _OFFERS)
@pytest.mark.parametrize("body", (b'{"bottle": 7}', _DOCUMENT))
@pytest.mark.parametrize("split", (True, False))
async def test_the_body_of_an_offer_to_upgrade_is_run_as_a_request(
    fleet, offer, body, split
):
    site, port = await _start_site(fleet)
    data = hosts.request_bytes("/once/1", body, **_OFFERS[offer])
    data += hosts.request_bytes("/once/2")
    head_bytes = data.index(b"\r\n\r\n") + 4 if split else 0
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        if split:
            await connection.send(data[:head_bytes])
            await anyio.sleep(0.05)
        await connection.send(data[head_bytes:])
        answers = await _receive_all(connection)
    assert _statuses(answers) == [200, 200]
    runs = (await site.runs())["r-1"]
    assert [(run["target"], run["body"]) for run in runs] == [
        ("/once/1", body.decode()),
        ("/once/2", ""),
    ]


async def test_the_chunks_of_an_offer_to_upgrade_are_run_as_a_request(fleet):
    site, port = await _start_site(fleet)
    headers = {
        **_OFFERS["h2c"],
        "Content_Length": "",
        "Transfer_Encoding": "chunked",
    }
    data = hosts.request_bytes("/once/1", **headers)
    data += b"%x\r\n%b\r\n0\r\n\r\n" % (len(_DOCUMENT), _DOCUMENT)
    answer = await hosts.send(port, data + hosts.request_bytes("/once/2"))
    assert _statuses(answer.raw) == [200, 200]
    runs = (await site.runs())["r-1"]
    assert [run["body"] for run in runs] == [_DOCUMENT.decode(), ""]


@pytest.mark.parametrize(
    ("head", "status"),
    (
        (b"CONNECT /once/0 HTTP/1.1\r\nHost: shop.example\r\n", 501),
        (b"PRI * HTTP/2.0\r\n", 400),
    ),
    ids=("CONNECT", "preface of HTTP/2"),
)
async def test_what_follows_another_protocol_is_run_as_a_request(
    fleet, head, status
):
    site, port = await _start_site(fleet)
    data = head + b"\r\n" + hosts.request_bytes("/once/1")
    answer = await hosts.send(port, data)
    assert _statuses(answer.raw) == [status]
    assert not (await site.runs())["r-1"]


async def test_a_trailer_field_is_taken_for_a_header(fleet):
    site, port = await _start_site(fleet)
    data = hosts.request_bytes(
        "/once/1", Content_Length="", Transfer_Encoding="chunked"
    )
    data += b"2\r\n{}\r\n0\r\nX-Deadline-Ms: 5\r\nX-Trailer: 1\r\n\r\n"
    assert (await hosts.send(port, data)).status == 200
    ((run,),) = (await site.runs()).values()
    assert run["body"] == "{}"
    assert "x-trailer" not in run["headers"]


def test_an_idle_timeout_drops_a_request_that_has_just_arrived():
    client, served = socket.socketpair()
    with client, served:
        transport = mock.Mock()
        transport.get_extra_info.return_value = served
        transport.is_closing.return_value = False
        protocol = _http_protocol.HttpProtocol(
            uvicorn.Config(None, ws="none", log_config=None),
            server.ServerState(),
            {},
            mock.Mock(),
        )
        protocol.connection_made(transport)
        client.send(b"POST")
        protocol.timeout_keep_alive_handler()
        assert not protocol.transport.is_closing()
        served.recv(4)
        protocol.timeout_keep_alive_handler()
        transport.close.assert_called_once()
