"""Sound replicas that send nothing for a moment, and then go on."""

import itertools

import anyio
import pytest

from standins import replica as replicas
from tests import hosts

pytestmark = pytest.mark.anyio

_ALL = b"".join(replicas.event(n) for n in range(1, replicas.EVENTS + 1))
# Longer than each stall timeout that the routes of these tests have.
_SILENCE_S = 1.6
_EVENT_MS = 150


async def _send_while_silent(
    site, names, target, count=1, silence_s=_SILENCE_S, **headers
):
    """Send requests, and suspend replicas once each has begun to run.

    :returns: the answers.
    """
    ports = itertools.cycle([instance.port for instance in site.instances])
    answers = []

    async def send(port):
        answers.append(await hosts.send_request(port, target, **headers))

    async def begun():
        runs = (await site.runs()).values()
        return sum(len(found) for found in runs) == count

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(send, next(ports))
        await site.fleet.until(begun, "all requests run")
        await anyio.sleep(2 * _EVENT_MS / 1000)
        for name in names:
            site.replicas[name].freeze()
        await anyio.sleep(silence_s)
        for name in names:
            site.replicas[name].thaw()
    return answers


async def _site(fleet, bounds=None, **fields):
    site = hosts.Site(fleet)
    site.bounds = bounds or {}
    await site.start(**fields)
    for name in site.replicas:
        await site.faults(name, event_ms=_EVENT_MS, work_ms=600)
    return site


async def test_a_stream_is_cut_off_while_its_only_replica_is_silent(fleet):
    site = await _site(fleet, replicas=1)
    (answer,) = await _send_while_silent(site, ["r-1"], "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL


async def test_a_stream_is_cut_off_while_all_replicas_are_silent(fleet):
    site = await _site(fleet)
    answers = await _send_while_silent(
        site, site.replicas, "/stream/x", count=4
    )
    assert [answer.body for answer in answers] == 4 * [_ALL]
    assert all(answer.is_complete for answer in answers)


@pytest.mark.parametrize("silence_s", (1.2, 1.6, 2.4))
async def test_streams_are_cut_off_as_no_instance_hears_any_replica(
    fleet, silence_s
):
    """All instances take their paths for lost, and pass nothing on."""
    site = await _site(fleet, replicas=3, instances=3)
    answers = await _send_while_silent(
        site, site.replicas, "/stream/x", count=12, silence_s=silence_s
    )
    assert [answer.body for answer in answers] == 12 * [_ALL]
    assert all(answer.is_complete for answer in answers)


async def test_a_stream_is_cut_off_as_only_a_silent_replica_has_its_model(
    fleet,
):
    site = await hosts.Site(fleet).start(replicas=0)
    await site.add_replica("m1", "m2")
    await site.add_replica("m3")
    await site.faults("r-1", event_ms=_EVENT_MS)
    (answer,) = await _send_while_silent(
        site, ["r-1"], "/stream/x", X_Model="m1", X_Token_Usage="10,24"
    )
    assert answer.is_complete
    assert answer.body == _ALL


async def test_streams_are_cut_off_as_retries_of_silence_use_up_the_budget(
    fleet,
):
    site = await _site(fleet, bounds={"retry_slack": 1})
    answers = await _send_while_silent(site, ["r-1"], "/stream/x", count=16)
    assert [answer.body for answer in answers] == 16 * [_ALL]
    assert all(answer.is_complete for answer in answers)


async def test_an_answer_of_a_silent_replica_is_replaced_by_an_error(fleet):
    site = await _site(fleet, replicas=1)
    (answer,) = await _send_while_silent(site, ["r-1"], "/safe/x")
    assert answer.status == 200
    assert answer.body == b"answer to /safe/x"


async def test_a_stream_is_cut_off_as_a_replica_turns_it_down(fleet):
    """It was taken from a silent one, and that was its last attempt."""
    site = await _site(fleet)
    answers = []

    async def send():
        port = site.instances[0].port
        answers.append(await hosts.send_request(port, "/stream/x"))

    async def is_running():
        return any((await site.runs()).values())

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        await site.fleet.until(is_running, "the request runs")
        runs = await site.runs()
        (silent,) = (name for name in runs if runs[name])
        (full,) = site.replicas.keys() - {silent}
        await site.faults(full, refuse=True)
        await anyio.sleep(2 * _EVENT_MS / 1000)
        site.replicas[silent].freeze()
        await anyio.sleep(_SILENCE_S)
        site.replicas[silent].thaw()
    assert answers[0].is_complete
    assert answers[0].body == _ALL
