"""Streams and the software versions of the replicas that continue them."""

import anyio
import pytest

from geraniumlink.serving import _forward
from standins import replica as replicas
from tests import hosts

pytestmark = pytest.mark.anyio

_ALL = b"".join(replicas.event(n) for n in range(1, replicas.EVENTS + 1))
_VERSIONS = {"r-1": "v1", "r-2": "v1", "r-3": "v2", "r-4": "v2"}
# Enough that some stream meets the other version if it isn't avoided.
_STREAMS = 8


async def _start_site(fleet, versions, **fields):
    site = hosts.Site(fleet)
    site.versions.update(versions)
    return await site.start(replicas=len(versions), **fields)


async def _break_streams(site, cut_after=3):
    for name in site.replicas:
        await site.faults(name, cut_after=cut_after)


async def _versions_by_stream(site):
    """Return the versions that ran each stream, by the id it began with."""
    versions = {}
    for name, runs in (await site.runs()).items():
        for run in runs:
            stream = run["headers"].get("resumes", run["id"])
            versions.setdefault(stream, []).append(site.versions[name])
    return versions


async def _begin_streams(site, target="/stream-short/x", instance=0):
    """Have streams broken that can't be resumed in one answer."""
    ids = [f"stream-{number}" for number in range(_STREAMS)]
    port = site.instances[instance].port
    for request_id in ids:
        answer = await hosts.send_request(
            port, target, X_Request_Id=request_id
        )
        assert not answer.is_complete
    return ids


async def _resume(site, stream, instance=0):
    return await hosts.send_request(
        site.instances[instance].port,
        "/stream-short/x",
        Last_Event_Id="3",
        Resumes=stream,
    )


async def _allow_one_attempt(site):
    """Add a route whose streams only clients can resume."""
    route = hosts.route(
        "stream-short", "stream", resumable=True, max_attempts=1
    )
    await site.configure(hosts.configuration(2, route))

    async def is_in_force():
        answer = await hosts.send_request(
            site.instances[-1].port, "/stream-short/x"
        )
        return answer.status != 404

    await site.fleet.until(is_in_force, "the route is in force")


async def _wait_until_connected(site):
    """Wait until all instances know each other."""

    def is_connected():
        lists = [
            hosts.find_log_lines(instance, "instances_known")
            for instance in site.instances
        ]
        return all(
            known and known[-1]["instances"] == len(site.instances)
            for known in lists
        )

    await site.fleet.until(is_connected, "all instances know each other")


async def test_a_stream_goes_on_at_the_version_that_began_it(fleet):
    site = await _start_site(fleet, _VERSIONS)
    await _break_streams(site)
    for _ in range(_STREAMS):
        answer = await hosts.send_request(site.instances[0].port, "/stream/x")
        assert answer.is_complete
        assert answer.body == _ALL
    runs = await _versions_by_stream(site)
    assert len(runs) == _STREAMS
    assert all(a == b for a, b in runs.values())


async def test_a_stream_ends_where_no_replica_has_its_version(fleet):
    site = await _start_site(fleet, {"r-1": "v1", "r-2": "v2"})
    await _break_streams(site)
    for _ in range(_STREAMS):
        answer = await hosts.send_request(site.instances[0].port, "/stream/x")
        assert not answer.is_complete
    runs = await _versions_by_stream(site)
    assert all(len(versions) == 1 for versions in runs.values())


@pytest.mark.parametrize(
    "instance, killed",
    ((0, False), (1, False), (1, True)),
    ids=("same", "other", "killed"),
)
async def test_a_client_takes_a_stream_up_at_its_version(
    fleet, instance, killed
):
    site = await _start_site(fleet, _VERSIONS, instances=3)
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    await _break_streams(site)
    streams = await _begin_streams(site)
    if killed:
        site.instances[0].kill()
    for stream in streams:
        answer = await _resume(site, stream, instance)
        assert answer.is_complete
        assert answer.body == b"".join(
            replicas.event(n) for n in range(4, replicas.EVENTS + 1)
        )
    runs = await _versions_by_stream(site)
    for stream in streams:
        began, resumed = runs[stream]
        assert began == resumed


async def test_a_stream_of_an_unknown_version_is_not_resumed(fleet):
    site = await _start_site(fleet, _VERSIONS, instances=2)
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    before = await _versions_by_stream(site)
    answer = await _resume(site, "unheard-of")
    assert answer.status == 503
    assert await _versions_by_stream(site) == before


async def test_a_stream_of_a_version_that_is_gone_is_not_resumed(fleet):
    site = await _start_site(fleet, {"r-1": "v1"}, instances=2)
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    await _break_streams(site)
    streams = await _begin_streams(site)
    site.versions["r-2"] = "v2"
    await site.add_replica()
    await site.remove("r-1")
    site.replicas["r-1"].kill()

    async def is_known():
        told = hosts.find_log_lines(site.instances[1], "replica_seen")
        return any(line["replica"] == "r-2" for line in told)

    await fleet.until(is_known, "the new replica is known")
    for stream in streams:
        assert (await _resume(site, stream, 1)).status in (502, 503)
    runs = await fleet.record(site.replicas["r-2"])
    assert not runs["runs"]


async def _replace_version(site, fleet):
    """Have the only replica replaced by one of another version."""
    site.versions["r-2"] = "v2"
    await site.add_replica()
    await site.remove("r-1")
    site.replicas["r-1"].kill()


async def _restart_all(site):
    for instance in site.instances:
        instance.kill()
    for index, instance in enumerate(site.instances):
        instance.start()
        await site.wait_until_ready(index)


async def test_after_a_restart_of_all_no_stream_goes_on_at_another_version(
    fleet,
):
    """No instance knows then which versions served before."""
    site = await _start_site(fleet, {"r-1": "v1"}, instances=2)
    await _allow_one_attempt(site)
    await _break_streams(site)
    await _begin_streams(site)
    await _replace_version(site, fleet)
    await _restart_all(site)
    for _ in range(_STREAMS):
        answer = await hosts.send_request(
            site.instances[0].port, "/stream-short/x", Last_Event_Id="3"
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
    runs = await fleet.record(site.replicas["r-2"])
    assert not runs["runs"]


async def test_after_a_restart_of_one_streams_go_on_at_the_only_version(
    fleet,
):
    """Another instance knows that there was one version alone."""
    site = await _start_site(fleet, {"r-1": "v1"}, instances=2)
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    window_ms = _forward.ORIGIN_WINDOW_TIMEOUTS * 4000
    await anyio.sleep(window_ms / 1000)
    site.instances[0].kill()
    site.instances[0].start()
    await site.wait_until_ready(0)
    await _wait_until_connected(site)

    async def is_served():
        answer = await hosts.send_request(
            site.instances[0].port, "/stream-short/x", Last_Event_Id="3"
        )
        return answer.status == 200 and answer.is_complete

    with anyio.fail_after(window_ms / 1000 / 2):
        await fleet.until(is_served, "the stream goes on")


async def test_after_a_restart_of_all_half_of_the_named_streams_go_on(fleet):
    """Both versions serve, and the clients name their requests."""
    site = await _start_site(fleet, _VERSIONS, instances=2)
    await _allow_one_attempt(site)
    await _break_streams(site)
    streams = await _begin_streams(site)
    await _restart_all(site)
    answers = [await _resume(site, stream) for stream in streams]
    assert sum(answer.status == 200 for answer in answers) >= _STREAMS / 2


async def _start_cut_off_site(fleet, instances=2):
    """Start instances of which the first, the controller, is then cut off.

    Its list of replicas stays as it was: it reaches the store through a link,
    and has no other instance's changes, as it takes itself for the controller.
    """
    site = hosts.Site(fleet)
    link, address = fleet.link(site.store.address)
    await fleet.answers(link.port, "/record")
    await site.start(replicas=1, instances=0)
    await site.add_instance(store_address=address)
    await fleet.until(
        lambda: hosts.find_log_lines(site.instances[0], "lease_taken"),
        "the first instance is the controller",
    )
    for _ in range(instances - 1):
        await site.add_instance()
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    await fleet.faults(link, stall=True)
    return site


async def _begin_at_new_version(site, instance):
    """Add a replica of another version; return streams that began there."""
    site.versions["r-2"] = "v2"
    await site.add_replica()
    await _break_streams(site)

    async def is_known():
        told = hosts.find_log_lines(site.instances[instance], "replica_seen")
        return any(line["replica"] == "r-2" for line in told)

    await site.fleet.until(is_known, "the new replica is known")
    streams = await _begin_streams(site, instance=instance)
    runs = (await site.runs())["r-2"]
    return [stream for stream in streams if stream in {r["id"] for r in runs}]


async def _resume_unnamed(site, instance):
    return await hosts.send_request(
        site.instances[instance].port, "/stream-short/x", Last_Event_Id="3"
    )


async def _count_resumed(site):
    return sum(
        "last-event-id" in run["headers"]
        for runs in (await site.runs()).values()
        for run in runs
    )


@pytest.mark.parametrize(
    "others, named", (("answer", False), ("silent", False), ("silent", True))
)
async def test_an_instance_with_an_old_list_joins_streams_of_two_versions(
    fleet, others, named
):
    site = await _start_cut_off_site(fleet)
    streams = await _begin_at_new_version(site, instance=1)
    assert streams
    if others == "silent":
        site.instances[1].freeze()
    answers = [
        await (
            # All copies of how it began were lost.
            _resume(site, f"lost-{stream}")
            if named
            else _resume_unnamed(site, 0)
        )
        for stream in streams
    ]
    assert {answer.status for answer in answers} == {503}
    assert all(float(a.headers["retry-after"]) > 0 for a in answers)
    assert not await _count_resumed(site)


@pytest.mark.parametrize("frozen", (0, 1), ids=("controller", "other"))
async def test_a_thawed_instance_joins_streams_of_two_versions(fleet, frozen):
    site = await _start_site(fleet, {"r-1": "v1"}, instances=2)
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    site.instances[frozen].freeze()
    assert await _begin_at_new_version(site, instance=1 - frozen)
    statuses = []

    async def resume():
        answer = await _resume_unnamed(site, frozen)
        statuses.append(answer.status)

    async with anyio.create_task_group() as group:
        for _ in range(_STREAMS):
            group.start_soon(resume)
        await anyio.sleep(0.3)
        site.instances[frozen].thaw()
    assert statuses == [503] * _STREAMS
    assert not await _count_resumed(site)


async def test_streams_go_on_at_the_only_version_while_the_store_is_out(
    fleet,
):
    """Other instances have seen no other version."""
    site = await _start_site(fleet, {"r-1": "v1"}, instances=3)
    await _allow_one_attempt(site)
    await _wait_until_connected(site)
    await fleet.faults(site.store, silent=True)
    site.instances[0].kill()
    for _ in range(_STREAMS):
        answer = await _resume_unnamed(site, 1)
        assert answer.status == 200
        assert answer.is_complete
