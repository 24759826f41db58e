"""Instances that are cut off from all replicas, while clients reach them."""

import collections
import contextlib
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


async def _start_site(fleet, models=(), instances=3, **fields):
    """Start instances of which the last one can be cut off."""
    site = await hosts.Site(fleet).start(
        replicas=3, instances=instances - 1, models=models, **fields
    )
    partition = await site.add_partitionable_instance()

    async def is_connected():
        known = [
            hosts.find_log_lines(instance, "instances_known")
            for instance in site.instances
        ]
        return all(k and k[-1]["instances"] == instances for k in known)

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


_WAYS = ("hang", "reset", "refuse", "accept-hang", "accept-reset")


@pytest.mark.parametrize("how", _WAYS)
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


@pytest.mark.parametrize("how", _WAYS)
async def test_an_instance_cut_off_serves_models_that_are_loaded(fleet, how):
    """It doesn't wait for other copies of them."""
    site, partition = await _start_site(fleet, models=("m1",))
    port = partition.instance.port
    await partition.cut(how)
    await _send_for(port, _SETTLING_S, X_Model="m1")
    served = await _send_for(port, _MEASURED_S, X_Model="m1")
    assert sum(served) >= _LEAST_PART * len(served)
    assert not await site.model_orders()


async def _wait_for_log_line(partition, message):
    await partition.fleet.until(
        lambda: hosts.find_log_lines(partition.instance, message), message
    )


async def _lose_path(partition, how="refuse"):
    """Cut an instance off, and wait until it has noticed."""
    await partition.cut(how)
    target = "/safe/x"
    with anyio.move_on_after(10):
        while not hosts.find_log_lines(partition.instance, "path_lost"):
            # Kept connections live on, so several requests at once.
            async with anyio.create_task_group() as group:
                for _ in range(8):
                    group.start_soon(
                        hosts.send_request, partition.instance.port, target
                    )


@pytest.mark.parametrize("how", ("hang", "accept-hang"))
async def test_two_of_three_instances_cut_off_serve_their_clients(fleet, how):
    site, partition = await _start_site(fleet, instances=2)
    other = await site.add_partitionable_instance()
    cut_off = (partition, other)
    for one in cut_off:
        await one.cut(how)
    for measured_s in (_SETTLING_S, _MEASURED_S):
        served = []
        for one in cut_off:
            served += await _send_for(one.instance.port, measured_s)
    assert sum(served) >= 0.9 * len(served)
    await _assert_no_request_ran_twice(site)


@pytest.mark.parametrize("how", ("reset", "accept-hang", "accept-reset"))
async def test_requests_go_to_replicas_directly_once_the_path_is_back(
    fleet, how
):
    site, partition = await _start_site(fleet)
    await _lose_path(partition, how)
    await partition.heal()
    await _wait_for_log_line(partition, "path_back")
    before = len(hosts.find_log_lines(partition.instance, "passed_on"))
    assert all(await _send_for(partition.instance.port, 1))
    after = len(hosts.find_log_lines(partition.instance, "passed_on"))
    assert after == before


@pytest.mark.serial
async def test_a_request_is_refused_at_once_where_no_instance_has_a_path(
    fleet,
):
    """Instances don't pass it on to each other in a loop."""
    site, partition = await _start_site(fleet, instances=2)
    other = await site.add_partitionable_instance()
    site.instances[0].kill()
    for cut_off in (partition, other):
        await _lose_path(cut_off)
    began = time.monotonic()
    answer = await hosts.send_request(partition.instance.port, "/once/x")
    assert answer.status == 503
    assert time.monotonic() - began < 1
    assert float(answer.headers["retry-after"]) > 0


async def test_a_client_cannot_mark_its_request_as_passed_on(fleet):
    site = await hosts.Site(fleet).start(replicas=1)
    answer = await hosts.send_request(
        site.instances[0].port,
        "/safe/x",
        Geraniumlink_Relayed_Attempts="7",
    )
    assert answer.status == 200
    (run,) = (await site.runs())["r-1"]
    assert "geraniumlink-relayed-attempts" not in run["headers"]
    (admitted,) = hosts.find_log_lines(site.instances[0], "admitted")
    assert admitted["relayed_attempts"] is None


@pytest.mark.serial
async def test_a_client_that_leaves_ends_its_request_at_the_replica(fleet):
    site, partition = await _start_site(fleet)
    await _lose_path(partition)
    for name in site.replicas:
        await site.faults(name, hang=True)
    with anyio.move_on_after(0.5):
        await hosts.send_request(
            partition.instance.port, "/once/x", X_Request_Id="leaves"
        )
    left_at = time.monotonic()

    async def is_cancelled():
        runs = [
            run
            for runs in (await site.runs()).values()
            for run in runs
            if run["id"] == "leaves"
        ]
        return runs and runs[0]["ended"] == "cancelled" and runs

    await fleet.until(is_cancelled, "the run is cancelled")
    (run,) = await is_cancelled()
    assert run["ended_at"] - left_at < 0.5


async def test_a_stream_goes_on_after_the_instance_that_relayed_it_ends(
    fleet,
):
    site, partition = await _start_site(fleet)
    await _lose_path(partition)
    for name in site.replicas:
        await site.faults(name, event_ms=150)
    answers = []

    async def send():
        answers.append(
            await hosts.send_request(partition.instance.port, "/stream/x")
        )

    async with anyio.create_task_group() as group:
        for _ in range(6):
            group.start_soon(send)
        await anyio.sleep(0.5)
        site.instances[0].kill()
    assert all(_is_served("/stream/x", answer) for answer in answers)
    passed_on = hosts.find_log_lines(partition.instance, "passed_on")
    assert any(line["attempt"] == 2 for line in passed_on)


async def test_a_model_that_a_cut_hides_is_not_waited_for(fleet):
    site, partition = await _start_site(fleet, models=("m1",))
    await _lose_path(partition)
    answer = await hosts.send_request(
        partition.instance.port, "/once/x", X_Model="m1"
    )
    assert answer.status == 200
    assert not hosts.find_log_lines(partition.instance, "waiting")


async def test_a_controller_without_a_path_leaves_its_lease_to_another(fleet):
    site = await hosts.Site(fleet).start(replicas=0, instances=0)
    for models in (("m1",), ("m2",), ("m2",)):
        await site.add_replica(*models, near="m3")
    partition = await site.add_partitionable_instance()
    await _wait_for_log_line(partition, "lease_taken")
    other = await site.add_instance()
    await _lose_path(partition)
    await _wait_for_log_line(partition, "lease_released")
    await fleet.until(
        lambda: hosts.find_log_lines(other, "lease_taken"), "it is taken"
    )

    async def is_served():
        answer = await hosts.send_request(
            partition.instance.port, "/once/x", X_Model="m3"
        )
        return answer.status == 200

    await fleet.until(is_served, "a model that had to be loaded is served")
    assert len(hosts.find_log_lines(partition.instance, "lease_taken")) == 1


async def _change_configuration(site):
    version = 1
    while True:
        await anyio.sleep(0.4)
        version += 1
        await site.configure(hosts.configuration(version))


@pytest.mark.parametrize("part", ("interim", "body"))
@pytest.mark.serial
async def test_endless_answers_over_a_hop_fill_the_memory(fleet, part):
    site, partition = await _start_site(fleet, instances=2)
    await _lose_path(partition)
    port = partition.instance.port
    await _send_for(port, 2)
    idle_kb = [instance.peak_kb() for instance in site.instances]
    runs = sum(len(runs) for runs in (await site.runs()).values())
    for name in site.replicas:
        await site.faults(name, endless=part)
    async with anyio.create_task_group() as changes:
        changes.start_soon(_change_configuration, site)
        with anyio.move_on_after(3):
            async with anyio.create_task_group() as group:
                for target in 15 * _TARGETS:
                    group.start_soon(hosts.send_request, port, target)
        changes.cancel_scope.cancel()
    assert sum(len(runs) for runs in (await site.runs()).values()) > runs
    for instance, before_kb in zip(site.instances, idle_kb, strict=True):
        assert instance.peak_kb() <= 1.1 * before_kb


@pytest.mark.parametrize("stopped", (0, -1), ids=("passed_on", "relays"))
async def test_sigterm_cuts_requests_over_a_hop(fleet, stopped):
    site, partition = await _start_site(fleet)
    await _lose_path(partition)
    for name in site.replicas:
        await site.faults(name, work_ms=1500, event_ms=200)
    answers = {}

    async def send(name, target):
        request = hosts.request_bytes(target, X_Request_Id=name)
        # The listener of an instance that drains is closed at last.
        with contextlib.suppress(OSError):
            answers[name] = await hosts.send(partition.instance.port, request)

    async with anyio.create_task_group() as changes:
        changes.start_soon(_change_configuration, site)
        async with anyio.create_task_group() as group:
            for number in range(100):
                target = _TARGETS[number % len(_TARGETS)]
                group.start_soon(send, f"hop-{number}", target)
                await anyio.sleep(_PAUSE_S / 2)
                if number == 25:
                    site.instances[stopped].terminate()
        changes.cancel_scope.cancel()
    ran = {run["id"] for runs in (await site.runs()).values() for run in runs}
    asked = {name for name in ran if name.startswith("hop-")}
    assert len(asked) > 25
    for name in asked:
        assert answers[name].status == 200
        assert answers[name].is_complete
    await _assert_no_request_ran_twice(site)
