"""Instances that are cut off from all replicas, while clients reach them."""

import collections
import itertools
import time

import anyio
import pytest

from standins import replica as replicas
from tests import hosts

pytestmark = pytest.mark.anyio

# The platform's rule: from its stability window on, first attempts at an
# instance without a path are served at least this part as often as at others.
_SETTLING_S = 3.0
_LEAST_PART = 2 / 3
_MEASURED_S = 4.0
_PAUSE_S = 0.08
_TARGETS = ("/safe/x", "/once/x", "/stream/x", "/stream-once/x")
_EVENTS = b"".join(replicas.event(n) for n in range(1, replicas.EVENTS + 1))


async def _start_site(fleet, models=(), **fields):
    """Start three instances of which the last one can be cut off."""
    site = await hosts.Site(fleet).start(
        replicas=3, instances=2, models=models, **fields
    )
    partition = await site.add_partitionable_instance()

    async def is_connected():
        known = [
            hosts.find_log_lines(instance, "instances_known")
            for instance in site.instances
        ]
        return all(k and k[-1]["instances"] == 3 for k in known)

    await fleet.until(is_connected, "all instances know each other")
    return site, partition


def _is_served(target, answer):
    if answer.status != 200 or not answer.is_complete:
        return False
    return not target.startswith("/stream") or answer.body == _EVENTS


async def _send_for(port, seconds, **headers):
    """Send requests of all kinds; return whether each was served."""
    served = []

    async def send(target):
        answer = await hosts.send_request(port, target, **headers)
        served.append(_is_served(target, answer))

    targets = itertools.cycle(_TARGETS)
    deadline = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        while time.monotonic() < deadline:
            group.start_soon(send, next(targets))
            await anyio.sleep(_PAUSE_S)
    return served


async def _assert_no_request_ran_twice(site):
    counts = collections.Counter(
        run["id"]
        for runs in (await site.runs()).values()
        for run in runs
        if not run["target"].startswith(("/safe", "/stream/"))
    )
    assert max(counts.values()) == 1


@pytest.mark.parametrize("how", ("hang", "reset", "refuse"))
async def test_an_instance_cut_off_from_all_replicas_serves_its_clients(
    fleet, how
):
    site, partition = await _start_site(fleet)
    port = partition.instance.port
    assert all(await _send_for(port, 1))
    await partition.cut(how)
    await _send_for(port, _SETTLING_S)
    served = await _send_for(port, _MEASURED_S)
    others = await _send_for(site.instances[0].port, 1)
    assert all(others)
    assert sum(served) >= _LEAST_PART * len(served)
    await _assert_no_request_ran_twice(site)


@pytest.mark.parametrize("how", ("hang", "reset", "refuse"))
async def test_an_instance_cut_off_serves_models_that_are_loaded(fleet, how):
    """It doesn't wait for other copies of them."""
    site, partition = await _start_site(fleet, models=("m1",))
    port = partition.instance.port
    await partition.cut(how)
    await _send_for(port, _SETTLING_S, X_Model="m1")
    served = await _send_for(port, _MEASURED_S, X_Model="m1")
    assert sum(served) >= _LEAST_PART * len(served)
    assert not await site.orders()
