"""Limits that replicas state on the requests from all instances together."""

import itertools
import time

import anyio
import pytest

from geraniumlink import platform
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types
from tests import builders
from tests import hosts

# The platform's rule: from its stability window on, no more than one and a
# half times the limit and five requests arrive in any window.
_SETTLING_S = 3.0
_WINDOW_S = 4.0
_FACTOR = 1.5
_CONSTANT = 5


def _stated(*values):
    headers = [(b"Server-Limit", value) for value in values]
    return platform.decode_response_head(200, headers).rate_limit


@pytest.mark.parametrize(
    ("values", "limit"),
    (
        ((b"4",), 4.0),
        ((b" 1.6 ",), 1.6),
        ((b"0",), 0.0),
        ((b"2", b"1"), 1.0),
        ((b"2, 3",), 2.0),
        ((b"2", b"many"), 2.0),
        ((b"999999999",), 999_999_999.0),
        ((), _types.Unstated.ABSENT),
        *(
            ((value,), _types.Unstated.UNREADABLE)
            for value in (b"", b"-1", b"nan", b"inf", b"1e3", b"1" * 40)
        ),
    ),
)
def test_limit_is_read_from_the_header(values, limit):
    assert _stated(*values) == limit


def _replica():
    return _replicas.Replica(builders.replica_entry())


def test_a_response_without_a_limit_ends_it():
    replica = _replica()
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.ABSENT, sent_at=11, now=20)
    assert replica.rate_limit is None


def test_a_response_to_an_earlier_request_does_not_end_a_limit():
    replica = _replica()
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.ABSENT, sent_at=9, now=20)
    assert replica.rate_limit.per_s == 2.0


def test_an_unreadable_limit_changes_nothing():
    replica = _replica()
    replica.note_rate_limit(_types.Unstated.UNREADABLE, sent_at=0, now=10)
    assert replica.rate_limit is None
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.UNREADABLE, sent_at=20, now=30)
    assert replica.rate_limit.per_s == 2.0


def _most_in_window(times):
    """Return the most arrivals in any window of _WINDOW_S."""
    return max(
        (
            sum(start <= at < start + _WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


async def _send_at_rate(site, per_s, seconds, target="/safe/x"):
    """Send requests to all instances in turn; return the answers."""
    answers = []

    async def send(port):
        answers.append(await hosts.send_request(port, target))

    ports = itertools.cycle([i.port for i in site.instances])
    deadline = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        while time.monotonic() < deadline:
            group.start_soon(send, next(ports))
            await anyio.sleep(1 / per_s)
    return answers


async def _arrivals(site, name, after=0.0):
    runs = (await site.fleet.record(site.replicas[name]))["runs"]
    return [run["at"] for run in runs if run["at"] >= after]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "limits",
    ({"r-1": 1}, {"r-1": 1.6}, {"r-1": 4, "r-2": 4, "r-3": 4}),
    ids=("one", "fraction", "all"),
)
async def test_replicas_get_no_more_than_their_limit_from_all_instances(
    fleet, limits
):
    site = await hosts.Site(fleet).start(replicas=3, instances=3)
    began = time.monotonic()
    for name, limit in limits.items():
        await site.faults(name, limit=limit)
    answers = await _send_at_rate(site, 30, _SETTLING_S + 2 * _WINDOW_S)
    for name, limit in limits.items():
        arrivals = await _arrivals(site, name, began + _SETTLING_S)
        allowed = _FACTOR * limit * _WINDOW_S + _CONSTANT
        assert _most_in_window(arrivals) <= allowed
        # The replica's capacity is used, and the end of the limit is seen.
        assert len(arrivals) >= limit * _WINDOW_S
    refused = [answer for answer in answers if answer.status != 200]
    if len(limits) < len(site.replicas):
        assert not refused
    for answer in refused:
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
