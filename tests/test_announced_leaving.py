"""Replicas that announce with their responses that they leave."""

import itertools
import time

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import platform
from geraniumlink.platform import _orders
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types
from tests import builders
from tests import hosts

pytestmark = pytest.mark.anyio

# The settings' bound after which a leaving replica must get no requests.
_BOUND_S = 2.0
_PER_S = 20
_LEAVES = _types.Announcement(leaving=True, back_off_ms=None)
_STAYS = _types.Announcement(leaving=False, back_off_ms=None)


@pytest.mark.parametrize(
    ("values", "leaving"),
    (
        ((b"1",), True),
        ((b" 1 ",), True),
        ((b"true",), True),
        ((b"",), True),
        ((b"0", b"1"), True),
        ((b"0",), False),
        ((), False),
    ),
)
@pytest.mark.parametrize("status", (200, 421, 500, 503))
def test_leaving_is_read_from_the_header_of_any_response(
    status, values, leaving
):
    headers = [(b"Server-Leaving", value) for value in values]
    head = platform.decode_response_head(status, headers)
    assert head.announcement.leaving is leaving


def test_a_response_to_an_earlier_request_takes_nothing_back():
    replica = _replicas.Replica(builders.replica_entry())
    replica.note_announcement(_LEAVES, sent_at=0, now=10)
    replica.note_announcement(_STAYS, sent_at=9, now=20)
    assert replica.leaving
    replica.note_announcement(_STAYS, sent_at=11, now=30)
    assert not replica.leaving


def test_an_announcement_ends_with_the_process():
    replicas = _replicas.Replicas(_clock.ManualClock(100), 2000)
    entry = builders.replica_entry()
    replicas.update(entry)
    replicas.note_call_announcement(entry.name, _LEAVES)
    replicas.update(entry)
    assert not replicas.available(entry.service)
    replicas.update(entry._replace(started_at=entry.started_at + 1))
    assert replicas.available(entry.service)


def test_an_answer_to_a_call_takes_nothing_back():
    replicas = _replicas.Replicas(_clock.ManualClock(100), 2000)
    entry = builders.replica_entry()
    replicas.update(entry)
    replicas.note_call_announcement(entry.name, _LEAVES)
    replicas.note_call_announcement(entry.name, _STAYS)
    assert replicas.get(entry.name).leaving


async def test_calls_of_the_controller_hear_that_a_replica_leaves():
    heard = []
    client = builders.HttpClient(200, [(b"Server-Leaving", b"1")], b"{}")
    calls = _orders.OrderClient(client, lambda *news: heard.append(news))
    address = builders.replica_entry().address
    order = _orders.Order("r-1", address, True, "m1", "", 0, "i", 1)
    await calls.send(order, lambda: True)
    assert heard == [("r-1", _LEAVES)]


async def _send_for(site, seconds, targets, **headers):
    """Send requests at _PER_S; return the answers and how long each took."""
    answers = []

    async def send(port, target):
        began = time.monotonic()
        answer = await hosts.send_request(port, target, **headers)
        answers.append((answer, time.monotonic() - began))

    ports = itertools.cycle([i.port for i in site.instances])
    next_target = itertools.cycle(targets)
    deadline = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        while time.monotonic() < deadline:
            group.start_soon(send, next(ports), next(next_target))
            await anyio.sleep(1 / _PER_S)
    return answers


async def _arrivals(site, name, after):
    record = await site.fleet.record(site.replicas[name])
    return [at for at in record["arrived_at"] if at >= after]


@pytest.mark.parametrize("target", ("/safe/x", "/stream/x"))
async def test_a_replica_that_announced_its_leaving_gets_requests(
    fleet, target
):
    """The store says that it is ready all the while."""
    site = await hosts.Site(fleet).start(replicas=2)
    await _send_for(site, 1, [target])
    announced = time.monotonic()
    await site.faults("r-1", leaving=1)
    answers = await _send_for(site, _BOUND_S + 2, [target])
    assert all(answer.status == 200 for answer, _ in answers)
    assert not await _arrivals(site, "r-1", announced + _BOUND_S)


@pytest.mark.serial
async def test_requests_wait_when_all_replicas_announced_their_leaving(fleet):
    site = await hosts.Site(fleet).start(replicas=2)
    announced = time.monotonic()
    for name in site.replicas:
        await site.faults(name, leaving=1)
    targets = ["/safe/x", "/once/x", "/stream/x"]
    await _send_for(site, _BOUND_S, targets)
    answers = await _send_for(site, 1, targets)
    for answer, took_s in answers:
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert took_s < 0.3
    for name in site.replicas:
        assert not await _arrivals(site, name, announced + _BOUND_S)


@pytest.mark.parametrize("fault", ("refuse", "fail"))
async def test_a_refusal_or_error_announces_leaving_in_vain(fleet, fault):
    site = await hosts.Site(fleet).start(replicas=2)
    announced = time.monotonic()
    await site.faults("r-1", leaving=1, **{fault: True})
    await _send_for(site, _BOUND_S + 1, ["/safe/x"])
    assert not await _arrivals(site, "r-1", announced + _BOUND_S)


async def test_other_instances_send_on_to_a_replica_that_leaves(fleet):
    site = await hosts.Site(fleet).start(replicas=2, instances=2)
    second = site.instances[1].port
    await site.faults("r-1", leaving=1)

    async def is_announced():
        await hosts.send_request(site.instances[0].port, "/safe/x")
        return hosts.find_log_lines(site.instances[1], "replica_leaving")

    await fleet.until(is_announced, "the second instance is told")
    told = time.monotonic()
    for _ in range(10):
        assert (await hosts.send_request(second, "/safe/x")).status == 200
    assert not await _arrivals(site, "r-1", told)


async def test_models_of_a_replica_that_leaves_are_loaded_nowhere_else(fleet):
    site = await hosts.Site(fleet).start(replicas=0)
    await site.add_replica("m1")
    await site.add_replica("m2")
    await fleet.until(
        lambda: hosts.find_log_lines(site.instances[0], "replica_seen"),
        "the replicas are seen",
    )
    await site.wait_for_orders()
    await site.faults("r-1", leaving=1)
    answers = await _send_for(site, 3, ["/stream/x"], X_Model="m1")
    assert all(answer.status == 200 for answer, _ in answers[_PER_S:])
    loads = [(o["replica"], o["model"]) for o in await site.model_orders()]
    assert ("r-2", "m1") in loads
