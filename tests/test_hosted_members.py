"""Replicas that come and go, and the store's outages."""

import contextlib
import time

import pytest

from tests import hosts

pytestmark = pytest.mark.anyio

# The platform's bound in the settings of tests.hosts, in s.
_LEAVING_BOUND = 2.0


async def _site(fleet, **fields):
    site = await hosts.Site(fleet).start(**fields)
    return site, site.instances[0].port


async def _ask_for(port, seconds):
    until = time.monotonic() + seconds
    statuses = set()
    while time.monotonic() < until:
        statuses.add((await hosts.send_request(port, "/safe/x")).status)
        await hosts.anyio.sleep(0.05)
    return statuses


async def test_a_leaving_replica_gets_nothing_new(fleet):
    site, port = await _site(fleet)
    await site.register("r-1", "draining")
    acknowledged = time.monotonic()
    assert await _ask_for(port, _LEAVING_BOUND + 1) == {200}
    late = [
        run
        for run in (await site.runs())["r-1"]
        if run["at"] > acknowledged + _LEAVING_BOUND
    ]
    assert not late


async def test_a_replica_that_vanished_gets_nothing_after_the_bound(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.remove("r-1")
    acknowledged = time.monotonic()
    statuses = await _ask_for(port, _LEAVING_BOUND + 1)
    # The only one is used for a while: its entry may have lapsed.
    assert statuses == {200, 503}
    late = [
        run
        for run in (await site.runs())["r-1"]
        if run["at"] > acknowledged + _LEAVING_BOUND
    ]
    assert not late


async def test_an_entry_that_makes_no_sense_harms_no_other(fleet):
    site, port = await _site(fleet, replicas=1)
    for name, spec in (
        ("bad-1", {"service": "assistant"}),
        ("bad-2", "text"),
        ("bad-3", {**site.entry("r-1"), "state": "asleep"}),
        ("bad-4", {**site.entry("r-1"), "address": "nowhere"}),
        ("bad-5", {**site.entry("r-1"), "slots": "many"}),
        ("bad-6", None),
    ):
        await site.put("servers", name, spec)
    await site.add_replica()

    async def both_used():
        await hosts.send_request(port, "/safe/x")
        return all((await site.runs()).values())

    await fleet.until(both_used, "the replicas are in use")
    read = {line["replica"] for line in _unreadable(site)}
    assert {"bad-1", "bad-2", "bad-3", "bad-4", "bad-5"} <= read


def _unreadable(site):
    return hosts.find_log_lines(site.instances[0], "entry_unreadable")


async def test_requests_are_served_while_the_store_is_out(fleet):
    site, port = await _site(fleet)
    await fleet.faults(site.store, outage=True)
    assert await _ask_for(port, 2) == {200}
    await fleet.faults(site.store, outage=False)
    added = hosts.route("added", "safe")
    await site.configure(hosts.configuration(2, added))

    async def in_force():
        return (await hosts.send_request(port, "/added/x")).status == 200

    await fleet.until(in_force, "the change is in force")


async def test_a_forgotten_history_is_read_anew(fleet):
    site, port = await _site(fleet)
    await fleet.faults(site.store, outage=True, forget_before=10_000)
    await fleet.faults(site.store, outage=False)
    added = hosts.route("added", "safe")
    await site.configure(hosts.configuration(2, added))

    async def in_force():
        return (await hosts.send_request(port, "/added/x")).status == 200

    await fleet.until(in_force, "the change is in force")


async def test_a_configuration_never_goes_back(fleet):
    site, port = await _site(fleet)
    added = hosts.route("added", "safe")
    await site.configure(hosts.configuration(5, added))

    async def in_force():
        return (await hosts.send_request(port, "/added/x")).status == 200

    await fleet.until(in_force, "the change is in force")
    await site.configure(hosts.configuration(4))
    await site.configure({"version": "six"})
    assert await _ask_for(port, 1) == {200}
    assert (await hosts.send_request(port, "/added/x")).status == 200
    assert hosts.find_log_lines(site.instances[0], "configuration_unreadable")


async def test_an_instance_without_a_configuration_isnt_ready(fleet):
    site = hosts.Site(fleet)
    await fleet.answers(site.store.port, "/record")
    starting = hosts.node_settings(site.store, "i-1")
    process = fleet.hosted(starting)
    ready = int(starting["listen"]["ready"].rpartition(":")[2])

    async def answers():
        return await fleet.get(ready, "/v1/ready")

    await fleet.until(answers, "the instance answers")
    assert (await answers()).status == 503
    answer = await hosts.send_request(process.port, "/safe/x")
    assert answer.status == 503
    await site.configure(hosts.configuration())
    await fleet.answers(ready, "/v1/ready")


async def test_nothing_is_taken_late_after_sigterm(fleet):
    """Seen on the bench: mahzen-ops, trouble-2, seed 772549515491.

    A request that is taken 3 s after it may not end within the grace.
    """
    site, port = await _site(fleet, replicas=1)
    kept = await hosts.anyio.connect_tcp("127.0.0.1", port)
    async with kept:
        first = hosts.request_bytes("/safe/first", Connection="keep-alive")
        await kept.send(first)
        await kept.receive()
        await site.faults("r-1", event_ms=500)
        async with hosts.anyio.create_task_group() as group:
            group.start_soon(hosts.send_request, port, "/stream/x")

            async def running():
                return len((await site.runs())["r-1"]) == 2

            await fleet.until(running, "a stream runs")
            site.instances[0].terminate()
            await hosts.anyio.sleep(2.95)
            late = hosts.request_bytes("/safe/late", Connection="keep-alive")
            with contextlib.suppress(hosts.anyio.BrokenResourceError):
                await kept.send(late)
    targets = [run["target"] for run in (await site.runs())["r-1"]]
    assert targets == ["/safe/first", "/stream/x"]


async def test_sigterm_cuts_nothing(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", event_ms=300)
    answers = []

    async def ask():
        answers.append(await hosts.send_request(port, "/stream/x"))

    async with hosts.anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(ask)

        async def running():
            return len((await site.runs())["r-1"]) == 4

        await fleet.until(running, "all streams run")
        site.instances[0].terminate()
        await hosts.anyio.sleep(0.3)
        ready = await fleet.get(site.ready_port(), "/v1/ready")
        assert ready.status == 503
        # Clients come until the balancer has seen that.
        late = await hosts.send_request(
            port, "/safe/late", Connection="keep-alive"
        )
        assert late.status == 200
        assert late.headers["connection"] == "close"
    assert all(answer.is_complete for answer in answers)
    assert site.instances[0].wait() == 0
