"""Tests of what instances report: traces and summaries of logs, metrics."""

import itertools
import os
import select
import time

import anyio
import pytest

from geraniumlink.interface import _log_analysis
from geraniumlink.interface import _log_reader
from standins import fleet as fleets
from tests import hosts

pytestmark = pytest.mark.anyio


async def _start_site(fleet, **fields):
    site = await hosts.Site(fleet).start(**fields)
    return site, site.instances[0].port


def _read_lines(site):
    return _log_reader.read_log_files([host.log for host in site.instances])


def _messages(site, request_id):
    """Return the names of the messages about a request, in order of time."""
    trace = _log_analysis.trace_request(_read_lines(site), request_id)
    # After the time come the instance, the message and its fields. A line
    # that then begins with | is about the instance, not the request.
    texts = [text.partition(" s ")[2] for text in trace]
    return [
        text.split()[1]
        for text in texts
        if "request_id=" in text and not text.startswith("|")
    ]


async def _send_request(port, target, request_id):
    return await hosts.send_request(port, target, X_Request_Id=request_id)


async def test_trace_of_a_served_request(fleet):
    site, port = await _start_site(fleet)
    await _send_request(port, "/safe/x", "plain")
    assert _messages(site, "plain") == ["admitted", "attempt", "request"]


async def test_trace_of_a_retried_request(fleet):
    site, port = await _start_site(fleet)
    await site.faults("r-1", fail=True)
    numbers = itertools.count(1)

    async def is_retried():
        """Which replica is tried first is random."""
        request_id = f"again-{next(numbers)}"
        await _send_request(port, "/safe/x", request_id)
        failed = ["attempt", "attempt_failed"]
        trace = ["admitted", *failed, "attempt", "request"]
        return _messages(site, request_id) == trace

    await fleet.until(is_retried, "a request is retried and traced")


async def test_log_of_a_resumed_stream(fleet):
    site, port = await _start_site(fleet)
    for name in site.replicas:
        await site.faults(name, cut_after=3)
    await _send_request(port, "/stream/x", "resumed")
    lines = _read_lines(site)
    attempts = [
        line.fields["last_event_id"]
        for line in lines
        if line.message == "attempt" and line.fields["request_id"] == "resumed"
    ]
    assert attempts == ["", "3"]


@pytest.mark.parametrize(
    ("path", "switches", "why_final"),
    (
        ("safe", {"fail": True}, "no attempts left"),
        ("once", {"fail": True}, "the route does not allow it after this"),
        (
            "stream-once",
            {"cut_after": 3},
            "the route does not allow it after this",
        ),
    ),
)
async def test_the_log_says_why_an_attempt_was_final(
    fleet, path, switches, why_final
):
    site, port = await _start_site(fleet)
    for name in site.replicas:
        await site.faults(name, **switches)
    await _send_request(port, f"/{path}/x", "given-up")
    failed = [
        line for line in _read_lines(site) if line.message == "attempt_failed"
    ]
    assert failed[-1].fields["why_final"] == why_final
    assert not any(line.fields["why_final"] for line in failed[:-1])


async def test_the_log_says_that_all_replicas_rejected_a_request(fleet):
    """Its route allows one run, and rejections aren't runs."""
    site, port = await _start_site(fleet)
    for name in site.replicas:
        await site.faults(name, refuse=True)
    await _send_request(port, "/once/x", "rejected")
    lines = _read_lines(site)
    failed = [line for line in lines if line.message == "attempt_failed"]
    assert {line.fields["replica"] for line in failed} == set(site.replicas)
    assert [line.fields["rejections"] for line in failed] == [1, 2]
    assert not any(line.fields["why_final"] for line in failed)
    (end,) = [line for line in lines if line.message == "request"]
    assert end.fields["outcome"] == "refused: all replicas have rejected it"
    assert end.fields["status"] == 503


async def test_trace_of_a_request_whose_instance_was_killed(fleet):
    site, port = await _start_site(fleet, replicas=1)
    await site.faults("r-1", hang=True)
    async with anyio.create_task_group() as group:

        async def ask():
            await _send_request(port, "/once/x", "cut")

        group.start_soon(ask)

        async def sent():
            return any((await site.runs()).values())

        await fleet.until(sent, "the request runs")
        site.instances[0].kill()
    assert _messages(site, "cut") == ["admitted", "attempt"]


async def test_trace_includes_an_outage_of_the_store(fleet):
    site, port = await _start_site(fleet)
    await fleet.faults(site.store, outage=True)

    async def lost():
        return bool(hosts.find_log_lines(site.instances[0], "store_lost"))

    await fleet.until(lost, "the outage is noticed")
    await _send_request(port, "/safe/x", "in-outage")
    trace = list(_log_analysis.trace_request(_read_lines(site), "in-outage"))
    assert any(" | " in text and "store_lost" in text for text in trace)


def test_an_unknown_request_has_no_trace():
    assert not list(_log_analysis.trace_request([], "nobody"))


async def test_a_summary_counts_requests_and_lists_state_changes(fleet):
    site, port = await _start_site(fleet)
    for number in range(3):
        await _send_request(port, "/safe/x", f"counted-{number}")
    text = "\n".join(_log_analysis.summarize(_read_lines(site), 0, 1000))
    assert "3 requests" in text
    assert "3 assistant 200 done" in text
    assert "replica_seen" in text


@pytest.mark.serial
async def test_a_full_output_pipe_delays_no_request(fleet, tmp_path):
    site = await hosts.Site(fleet).start(instances=0)
    # The instance writes its output to this pipe, which nobody reads.
    path = tmp_path / "i-1.log"
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    try:
        host = await site.add_instance()
        for number in range(300):
            started_at = time.monotonic()
            answer = await hosts.send_request(host.port, f"/safe/{number}")
            assert answer.status == 200
            # 4 s is the deadline of the request.
            assert time.monotonic() - started_at < 4
        # The test shows nothing unless the pipe was full: less space than
        # a write of PIPE_BUF bytes needs was left.
        writer = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        try:
            with pytest.raises(BlockingIOError):
                os.write(writer, bytes(select.PIPE_BUF))
        finally:
            os.close(writer)
    finally:
        os.close(reader)


async def test_metrics_are_served(fleet):
    site = await hosts.Site(fleet).start(instances=0)
    metrics_port = fleets.free_port()
    host = await site.add_instance("--metrics-port", str(metrics_port))
    assert (await hosts.send_request(host.port, "/safe/x")).status == 200
    request = hosts.request_bytes("/metrics", method="GET")
    answer = await hosts.send(metrics_port, request)
    assert answer.status == 200
    text = answer.body.decode()
    assert (
        'geraniumlink_requests_total{outcome="done",route="safe",'
        'service="assistant"} 1' in text
    )
    assert (
        'geraniumlink_request_seconds_count{outcome="done",route="safe",'
        'service="assistant"} 1' in text
    )
    for gauge in ("replicas 2", "requests_waiting 0", "controller "):
        assert f"geraniumlink_{gauge}" in text


async def test_the_cause_of_an_answer_without_an_end_is_not_logged(fleet):
    site = await hosts.Site(fleet).start(instances=0)
    metrics_port = fleets.free_port()
    host = await site.add_instance("--metrics-port", str(metrics_port))
    for name in site.replicas:
        await site.faults(name, cut_after=3)
    answer = await hosts.send_request(host.port, "/stream-once/x")
    assert not answer.is_complete
    (line,) = hosts.find_log_lines(host, "unfinished")
    assert line["reason"] == "the replica broke off"
    assert line["status"] == 200
    assert line["last_event_id"] == "3"
    request = hosts.request_bytes("/metrics", method="GET")
    metrics = (await hosts.send(metrics_port, request)).body.decode()
    assert (
        'geraniumlink_unfinished_requests_total{cause="break",'
        'service="assistant"} 1' in metrics
    )
