"""Replicas that fall over if they turn too many requests away in a second."""

import itertools
import time

import anyio
import pytest

from tests import hosts

pytestmark = pytest.mark.anyio

# The platform's rule: in one time, the replicas of a service fall over no more
# often than twice and once for each ten of them, from its stability window
# on. A replica that fell over is back after some seconds.
_SETTLING_S = 3.0
_MEASURED_S = 5.0
_FALLS = 2
_FALLS_PER_REPLICA = 0.1
_BACK_AFTER_S = 3.0
_BRITTLE = 4
_ROOM = 8
_WORK_MS = 300
_PER_S = 120


def _count_falls(times):
    """Return how often a replica that turned requests away then fell over."""
    falls, up_from = 0, 0.0
    for index, at in enumerate(times):
        window = [t for t in times[: index + 1] if t > max(at - 1, up_from)]
        if len(window) > _BRITTLE:
            falls, up_from = falls + 1, at + _BACK_AFTER_S
    return falls


async def _send_for(site, seconds, **headers):
    """Send more requests than there is room for; return the answers."""
    answers = []

    async def send(port):
        answers.append(await hosts.send_request(port, "/once/x", **headers))

    ports = itertools.cycle([i.port for i in site.instances])
    deadline = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        while time.monotonic() < deadline:
            group.start_soon(send, next(ports))
            await anyio.sleep(1 / _PER_S)
    return answers


async def _start_site(fleet, **fields):
    site = await hosts.Site(fleet).start(replicas=3, instances=3, **fields)
    for name in site.replicas:
        await site.faults(name, brittle=_BRITTLE, room=_ROOM, work_ms=_WORK_MS)
    return site


@pytest.mark.serial
async def test_brittle_replicas_are_not_made_to_fall_over(fleet):
    site = await _start_site(fleet)
    await _send_for(site, _SETTLING_S)
    began = time.monotonic()
    answers = await _send_for(site, _MEASURED_S)
    falls = 0
    for process in site.replicas.values():
        times = (await fleet.record(process))["turned_away"]
        falls += _count_falls([at for at in times if at >= began])
    assert falls <= _FALLS + _FALLS_PER_REPLICA * len(site.replicas)
    served = sum(answer.status == 200 for answer in answers)
    capacity = len(site.replicas) * _ROOM * 1000 / _WORK_MS * _MEASURED_S
    assert served >= capacity / 2
    for answer in answers:
        assert answer.status in (200, 503)
        if answer.status == 503:
            assert float(answer.headers["retry-after"]) > 0


async def test_requests_beyond_the_room_do_not_wait_for_another_copy(fleet):
    site = await _start_site(fleet, models=("m1",))
    # It doesn't hold the model, and could load it.
    other = await site.add_replica("m2")
    await site.faults(other, brittle=_BRITTLE, room=_ROOM, work_ms=_WORK_MS)
    await hosts.send_request(site.instances[0].port, "/once/x", X_Model="m2")
    await _send_for(site, _SETTLING_S, X_Model="m1")
    for instance in site.instances:
        assert not hosts.find_log_lines(instance, "waiting")
