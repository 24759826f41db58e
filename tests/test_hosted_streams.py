"""Streams through a hosted instance: order, resumption and completeness."""

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
async def test_a_broken_stream_is_resumed_at_another_replica(
    fleet, cut_after, half_event
):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=cut_after, half_event=half_event)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL
    runs = [r for found in (await site.runs()).values() for r in found]
    resumed_at = [run["headers"].get("last-event-id") for run in runs]
    assert sorted(resumed_at, key=str) == [str(cut_after), None]


async def test_a_stream_that_breaks_late_is_cut_off(fleet):
    """Later than a client would wait for the first event."""
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=7, event_ms=380)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL


async def test_a_stream_that_breaks_before_its_first_event_is_a_502(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=0, half_event=True)
    assert (await hosts.send_request(port, "/stream/x")).status == 502


async def test_a_broken_stream_that_cannot_be_resumed_is_incomplete(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=3)
    answer = await hosts.send_request(port, "/stream-once/x")
    assert not answer.is_complete
    assert answer.body == b"".join(replicas.event(n) for n in (1, 2, 3))
    runs = [r for found in (await site.runs()).values() for r in found]
    assert len(runs) == 1


# How a replica may mark the end of a stream that it breaks off.
_ENDS = ({"unframed": True}, {"last_chunk": True})
# A part of an event's first line; all but the last line feed.
_CUT_EVENTS = (7, len(replicas.event(4)) - 1)


@pytest.mark.parametrize("end", _ENDS, ids=lambda end: next(iter(end)))
@pytest.mark.parametrize("event_bytes", _CUT_EVENTS)
async def test_a_stream_that_ends_inside_an_event_is_resumed(
    fleet, event_bytes, end
):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=3, event_bytes=event_bytes, **end)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL


@pytest.mark.parametrize("end", _ENDS, ids=lambda end: next(iter(end)))
@pytest.mark.parametrize("event_bytes", _CUT_EVENTS)
async def test_a_stream_that_ends_inside_an_event_is_not_complete(
    fleet, event_bytes, end
):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=3, event_bytes=event_bytes, **end)
    answer = await hosts.send_request(port, "/stream-once/x")
    assert not answer.is_complete
    assert answer.body == b"".join(replicas.event(n) for n in (1, 2, 3))


@pytest.mark.parametrize("resumed", replicas.RESUMED)
async def test_an_error_is_found_in_the_middle_of_a_stream(fleet, resumed):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=3, resumed=resumed)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.status == 200
    assert not answer.is_complete
    assert answer.body == b"".join(replicas.event(n) for n in (1, 2, 3))


async def test_an_unframed_stream_without_events_is_not_complete(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=0, unframed=True)
    assert (await hosts.send_request(port, "/stream-once/x")).status == 502


async def test_an_unframed_stream_that_ends_after_an_event_is_complete(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, unframed=True)
    answer = await hosts.send_request(port, "/stream/x")
    assert answer.is_complete
    assert answer.body == _ALL


async def test_a_client_resumes_a_stream_by_the_last_event_id(fleet):
    site, port = await _site(fleet, replicas=1)
    answer = await hosts.send_request(port, "/stream/x", Last_Event_Id="5")
    assert answer.body == b"".join(replicas.event(n) for n in (6, 7, 8))
    assert site.replicas


async def test_a_stream_is_cancelled_when_its_client_disconnects(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", event_ms=2000)
    with pytest.raises(TimeoutError):
        with hosts.anyio.fail_after(0.5):
            await hosts.send_request(port, "/stream/x")

    async def cancelled():
        (runs,) = (await site.runs()).values()
        return runs and runs[0]["ended"] == "cancelled"

    await fleet.until(cancelled, "the replica's run is cancelled")


async def _kill_serving_replica(site, *, announced):
    """Kill the replica that runs the stream.

    :param announced: whether it is marked as draining first.
    """
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

        await site.fleet.until(
            known, "the instance knows that the replica is leaving"
        )
    site.replicas[name].kill()


@pytest.mark.parametrize("announced", (True, False))
async def test_a_stream_outlives_replicas_that_leave(fleet, announced):
    """A replica that is killed while draining was not crashed by a request.

    Two unannounced ends make the request a confirmed suspect, so it isn't
    sent to the third replica and the stream stays incomplete.
    """
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
            await _kill_serving_replica(site, announced=announced)
    # Without an announcement, the two ends count as crashes by the request.
    assert (answers[0].body == _ALL) is announced
