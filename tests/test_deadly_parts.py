"""Prompts that share a part which crashes engines, with real processes."""

import itertools

import pytest

from geraniumlink.residency import _controller_protocol
from tests import hosts

pytestmark = pytest.mark.anyio

_REPLICAS = 8
# The users' rule counts requests that come later than some seconds after the
# fifth crash.
_MAX_CRASHES = 5
_numbers = itertools.count(1)


async def _start_site(fleet):
    site = await hosts.Site(fleet).start(
        replicas=_REPLICAS, instances=2, models=("m1",)
    )
    for name in site.replicas:
        await site.faults(name, deadly_part="bad")
    return site


async def _ask(site, index, *parts):
    """Send a request with these parts and one of its own."""
    own = f"own{next(_numbers)}"
    return await hosts.send_request(
        site.instances[index].port,
        "/stream/x",
        body=own.encode(),
        X_Model="m1",
        X_Token_Usage="100,10",
        X_Prefix_Hash=",".join(f"{key}:20" for key in (*parts, own)),
    )


def _crash_count(site):
    return sum(not process.running for process in site.replicas.values())


async def test_requests_that_share_a_part_crash_few_engines(fleet):
    """No two requests are alike; sound ones have the same other parts."""
    site = await _start_site(fleet)
    answers = []
    for number in range(16):
        await _ask(site, number % 2, "common", "bad", f"thing{number % 3}")
        answers.append(await _ask(site, number % 2, "common", "thing0"))
        # Until the other instance knows of the crashes.
        await hosts.anyio.sleep(
            2 * _controller_protocol.REPORT_INTERVAL_MS / 1000
        )
    assert _crash_count(site) <= _MAX_CRASHES
    assert [answer.status for answer in answers] == [200] * len(answers)


async def test_refused_part_does_not_refuse_sound_requests(fleet):
    site = await _start_site(fleet)
    while _crash_count(site) < _MAX_CRASHES:
        answer = await _ask(site, 0, "common", "bad")
        if b"a part of its prompt" in answer.body:
            break
    assert answer.status == 502
    runs = sum(len(runs) for runs in (await site.runs()).values())
    assert (await _ask(site, 0, "common", "bad")).status == 502
    assert sum(len(runs) for runs in (await site.runs()).values()) == runs
    assert (await _ask(site, 0, "common")).status == 200
