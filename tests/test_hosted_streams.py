"""Streams of the users' platform: in order, resumed, never joined wrongly."""

import pytest

from standins import replica as replicas
from tests import hosts

pytestmark = pytest.mark.anyio

_ALL = b"".join(replicas.event(n) for n in range(1, replicas.EVENTS + 1))


async def _site(fleet, **fields):
    site = await hosts.Site(fleet).start(**fields)
    return site, site.instances[0].port


async def test_events_arrive_whole_and_in_order(fleet):
    _, port = await _site(fleet)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL


@pytest.mark.parametrize("half_event", (False, True))
@pytest.mark.parametrize("cut_after", (1, 3, 7))
async def test_a_cut_stream_goes_on_at_another(fleet, cut_after, half_event):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=cut_after, half_event=half_event)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL
    runs = [r for found in (await site.runs()).values() for r in found]
    resumed_at = [run["headers"].get("last-event-id") for run in runs]
    assert sorted(resumed_at, key=str) == [str(cut_after), None]


async def test_a_stream_without_events_is_no_success(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=0, half_event=True)
    assert (await hosts.send_request(port, "/stream/x")).status == 502


async def test_a_stream_that_cant_be_resumed_doesnt_look_whole(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=3)
    answer = await hosts.send_request(port, "/stream-once/x")
    assert not answer.is_complete
    assert answer.body == b"".join(replicas.event(n) for n in (1, 2, 3))
    runs = [r for found in (await site.runs()).values() for r in found]
    assert len(runs) == 1


async def test_a_client_resumes_its_stream(fleet):
    site, port = await _site(fleet, replicas=1)
    answer = await hosts.send_request(port, "/stream/x", Last_Event_Id="5")
    assert answer.body == b"".join(replicas.event(n) for n in (6, 7, 8))
    assert site.replicas


async def test_a_stream_ends_with_its_client(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", event_ms=2000)
    with pytest.raises(TimeoutError):
        with hosts.anyio.fail_after(0.5):
            await hosts.send_request(port, "/stream/x")

    async def cancelled():
        (runs,) = (await site.runs()).values()
        return runs and runs[0]["ended"] == "cancelled"

    await fleet.until(cancelled, "the replica's run is cancelled")


async def _end_the_one_that_serves(site, *, announced):
    """End the replica that runs a stream; return its name."""
    running = []

    async def serves():
        running[:] = [
            name
            for name, runs in (await site.runs()).items()
            if any(run["ended"] == "" for run in runs)
        ]
        return running

    await site.fleet.until(serves, "a replica serves the stream")
    (name,) = running
    if announced:
        await site.register(name, "draining")

        async def known():
            told = hosts.find_log_lines(site.instances[0], "replica_leaving")
            return any(line["replica"] == name for line in told)

        await site.fleet.until(known, "the replica is known to leave")
    site.replicas[name].kill()


@pytest.mark.parametrize("announced", (True, False))
async def test_a_stream_outlives_replicas_that_leave(fleet, announced):
    """What ends as it was announced has not been crashed by a request."""
    site = await hosts.Site(fleet).start(replicas=3)
    route = hosts.route(
        "stream-long", "stream", resumable=True, max_attempts=3
    )
    await site.configure(hosts.configuration(2, route))
    for name in site.replicas:
        await site.faults(name, event_ms=300)
    answers = []
    async with hosts.anyio.create_task_group() as group:

        async def ask():
            port = site.instances[0].port
            answers.append(
                await hosts.send_request(
                    port, "/stream-long/x", X_Deadline_Ms="9000"
                )
            )

        group.start_soon(ask)
        for _ in range(2):
            await _end_the_one_that_serves(site, announced=announced)
    # Two replicas that end without notice under it may be crashed by it.
    assert (answers[0].body == _ALL) is announced
