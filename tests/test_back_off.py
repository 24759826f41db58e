"""Replicas that turn requests away and say for how long they want none."""

import datetime
import email.utils
import itertools
import time

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import platform
from geraniumlink.residency import _call_limits
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types
from tests import builders
from tests import hosts

pytestmark = pytest.mark.anyio

_PER_S = 30
# The platform's rule: from half a second after the answer to the end of the
# time that it states, no more requests than this arrive from an instance.
_MARGIN_S = 0.5
_MOST = 2


def _back_off_ms(*values, status=503):
    headers = [(b"Retry-After", value) for value in values]
    head = platform.decode_response_head(status, headers)
    return head.announcement.back_off_ms


@pytest.mark.parametrize(
    ("values", "expected_ms"),
    (
        ((b"3",), 3000),
        ((b"1.5",), 1500),
        ((b" 0.0001 ",), 1),
        ((b"0",), 0),
        ((b"1e9",), 3_600_000),
        ((b"inf",), 3_600_000),
        ((b"2", b"1"), 2000),
        ((b"1, 2",), 2000),
        ((b"soon", b"1"), 1000),
        ((), None),
        *(((value,), None) for value in (b"", b"-1", b"nan", b"soon", b"1_")),
    ),
)
def test_a_retry_after_is_read_from_a_refusal(values, expected_ms):
    assert _back_off_ms(*values) == expected_ms


def test_a_date_is_compared_with_the_time_of_day():
    now = datetime.datetime.now(datetime.timezone.utc)
    later = now + datetime.timedelta(seconds=30)
    date = email.utils.format_datetime(later, usegmt=True).encode()
    assert 25_000 < _back_off_ms(date) <= 30_000
    assert _back_off_ms(b"Wed, 21 Oct 2015 07:28:00 GMT") is None
    assert _back_off_ms(b"Wed, 99 Oct 2015 07:28:00 GMT") is None


@pytest.mark.parametrize("status", (200, 421, 429, 500))
def test_other_statuses_ask_for_no_pause(status):
    assert _back_off_ms(b"3", status=status) is None


def _turned_away(back_off_ms):
    return _types.Announcement(leaving=False, back_off_ms=back_off_ms)


def test_the_longest_of_several_pauses_holds():
    replica = _replicas.Replica(builders.replica_entry())
    replica.note_announcement(_turned_away(3000), sent_at=0, now=0)
    replica.note_announcement(_turned_away(1000), sent_at=0, now=100)
    assert replica.back_off_ms(200) == 2800
    replica.note_announcement(_turned_away(3000), sent_at=0, now=1000)
    assert replica.back_off_ms(1000) == 3000


def test_neither_an_answer_nor_the_paths_return_ends_a_pause():
    clock = _clock.ManualClock(1000)
    replicas = _replicas.Replicas(clock, 2000)
    entry = builders.replica_entry()
    replicas.update(entry)
    replica = replicas.get(entry.name)
    replica.note_announcement(_turned_away(3000), sent_at=0, now=1000)
    replica.note_activity(1000)
    replicas.end_pauses()
    replica.note_announcement(_turned_away(None), sent_at=1000, now=1000)
    assert not replicas.available(entry.service)


async def test_the_controllers_calls_reach_a_replica_that_backs_off():
    replicas = _replicas.Replicas(_clock.ManualClock(1000), 2000)
    entry = builders.replica_entry()
    replicas.update(entry)
    calls = _call_limits.PermittedCalls(
        replicas, None, _clock.ManualClock(1000)
    )
    assert await calls.wait(entry.name)
    replicas.note_call_announcement(entry.name, _turned_away(500))
    assert not await calls.wait(entry.name)


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


async def _arrivals_in_pauses(site, name, pause_s):
    """Return the most arrivals in any pause that the replica asked for."""
    record = await site.fleet.record(site.replicas[name])
    times = record["arrived_at"]
    return max(
        sum(start + _MARGIN_S < at < start + pause_s for at in times)
        for start in times
    )


@pytest.mark.parametrize("pause_s", (3, 1.5))
async def test_requests_reach_a_replica_that_turned_them_away(fleet, pause_s):
    site = await hosts.Site(fleet).start(replicas=2)
    await _send_for(site, 0.5, ["/safe/x"])
    await site.faults("r-1", refuse=True, retry_after=pause_s)
    answers = await _send_for(site, 5, ["/safe/x", "/stream/x"])
    assert all(answer.status == 200 for answer, _ in answers)
    assert await _arrivals_in_pauses(site, "r-1", pause_s) <= _MOST


@pytest.mark.parametrize("pause_s", (3, 1.5))
@pytest.mark.serial
async def test_requests_wait_while_all_replicas_turn_them_away(fleet, pause_s):
    site = await hosts.Site(fleet).start(replicas=2)
    for name in site.replicas:
        await site.faults(name, refuse=True, retry_after=pause_s)
    answers = await _send_for(site, 4, ["/safe/x", "/once/x", "/stream/x"])
    stated = []
    for answer, took_s in answers:
        assert answer.status == 503
        assert took_s < 0.3
        stated.append(float(answer.headers["retry-after"]))
    assert max(stated) <= pause_s + 1
    assert max(stated) > pause_s / 2
    for name in site.replicas:
        assert await _arrivals_in_pauses(site, name, pause_s) <= _MOST


async def test_a_model_waits_for_the_replica_that_turned_it_away(fleet):
    site = await hosts.Site(fleet).start(replicas=0)
    for models in (("m1",), ("m2",), ("m3",)):
        await site.add_replica(*models)
    await _send_for(site, 0.5, ["/stream/x"], X_Model="m1")
    await site.faults("r-1", refuse=True, retry_after=10)
    answers = await _send_for(site, 4, ["/stream/x"], X_Model="m1")
    assert answers[-1][0].status == 200
    assert await _arrivals_in_pauses(site, "r-1", 10) <= _MOST


async def test_all_requests_come_at_the_end_of_a_pause(fleet):
    """Clients that were refused together don't come back together."""
    site = await hosts.Site(fleet).start(replicas=2)
    for name in site.replicas:
        await site.faults(name, refuse=True, retry_after=2)
    answers = await _send_for(site, 1.5, ["/safe/x"])
    stated = {answer.headers["retry-after"] for answer, _ in answers}
    assert len(stated) > len(answers) / 2
