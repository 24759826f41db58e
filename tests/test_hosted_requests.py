"""Requests through a hosted instance: responses, refusals and retries."""

import anyio
import pytest

from tests import hosts

pytestmark = pytest.mark.anyio

# Well under the routes' timeout.
_AT_ONCE_S = 2


async def _site(fleet, **fields):
    site = await hosts.Site(fleet).start(**fields)
    return site, site.instances[0].port


async def _all_runs(site):
    return [run for runs in (await site.runs()).values() for run in runs]


async def _check_retry(site, broken, other, count):
    """Check that ``count`` requests succeed, and that one is retried.

    Either replica may be chosen first, so more are sent until the broken one
    has run one of them.
    """

    async def is_run_by_broken():
        answer = await hosts.send_request(site.instances[0].port, "/safe/x")
        assert answer.status == 200
        return (await site.runs())[broken]

    for _ in range(count):
        await is_run_by_broken()
    await site.fleet.until(is_run_by_broken, f"{broken} runs a request")
    runs = await site.runs()
    retried = {run["id"] for run in runs[broken]}
    assert retried <= {run["id"] for run in runs[other]}


async def test_a_request_is_forwarded_unchanged(fleet):
    site, port = await _site(fleet)
    target = "/safe/a%20b//c;x=1?"
    data = hosts.request_bytes(
        target, b"a body", X_Own="kept", Last_Event_Id="", X_Hold="stolen"
    )
    answer = await hosts.send(port, data)
    assert answer.status == 200
    assert answer.body == b"answer to " + target.encode()
    assert answer.headers["x-response-seal"].startswith("of-r-")
    (run,) = await _all_runs(site)
    assert run["target"] == target
    assert run["body"] == "a body"
    assert run["headers"]["x-own"] == "kept"
    assert run["headers"]["x-expect-instance"] in site.replicas
    assert 3000 < int(run["headers"]["x-deadline-ms"]) <= 4000
    assert "x-hold" not in run["headers"]
    assert "connection" not in run["headers"]


async def test_a_host_or_path_without_a_route_is_not_found(fleet):
    _, port = await _site(fleet)
    assert (await hosts.send_request(port, "/nowhere/")).status == 404
    assert (
        await hosts.send_request(port, "/safe/", Host="other")
    ).status == 404


async def test_the_route_with_the_longest_prefix_is_used(fleet):
    site, port = await _site(fleet)
    longer = hosts.route("safe/deep", "safe", service="nobody")
    await site.configure(hosts.configuration(2, longer))

    async def is_active():
        return (await hosts.send_request(port, "/safe/deep/x")).status == 503

    await fleet.until(is_active, "the longer route is active")
    assert (await hosts.send_request(port, "/safe/dee")).status == 200


async def test_an_idempotent_request_is_retried_at_another_replica(fleet):
    site, _ = await _site(fleet)
    await site.faults("r-1", fail=True)
    await _check_retry(site, "r-1", "r-2", count=6)


async def test_a_request_that_runs_at_most_once_is_not_retried(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, garbage=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 502
    assert "retry-after" not in answer.headers
    assert len(await _all_runs(site)) == 1


async def test_a_refusal_by_every_replica_is_a_503_without_a_run(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, refuse=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not await _all_runs(site)


async def test_an_error_response_of_a_replica_is_relayed(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, fail=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 500
    assert answer.body == b"failed"
    assert answer.headers["x-response-seal"].startswith("of-r-")


@pytest.mark.parametrize("path", ("safe", "once", "stream"))
@pytest.mark.parametrize(
    "status", ("000", "001", "099", "0", "600", 799, "999", "2OO")
)
async def test_a_client_gets_no_answer_if_a_replica_has_an_unknown_status(
    fleet, status, path
):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, fail=status)
    with anyio.fail_after(_AT_ONCE_S):
        assert (await hosts.send_request(port, f"/{path}/x")).status == 502
    if path == "once":
        assert len(await _all_runs(site)) == 1


async def test_a_large_body_is_forwarded_and_its_loss_is_a_502(fleet):
    site, port = await _site(fleet)
    body = b"x" * 90_000
    answer = await hosts.send(port, hosts.request_bytes("/once/x", body))
    assert answer.status == 200
    (run,) = await _all_runs(site)
    assert len(run["body"]) == len(body)
    for name in site.replicas:
        await site.faults(name, garbage=True)
    answer = await hosts.send(port, hosts.request_bytes("/once/x", body))
    assert answer.status == 502
    answer = await hosts.send(port, hosts.request_bytes("/safe/x", body))
    assert answer.status == 502
    assert len(await _all_runs(site)) == 4


async def test_a_response_without_the_seal_header_is_a_502(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", unsealed=True)
    assert (await hosts.send_request(port, "/once/x")).status == 502


async def test_a_response_without_a_length_ends_with_its_connection(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", unframed=True)
    answer = await hosts.send_request(port, "/safe/x")
    assert answer.is_complete
    assert answer.body == b"answer to /safe/x"


async def test_a_response_to_another_request_is_skipped(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", foreign=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 200
    assert answer.body == b"answer to /once/x"


async def test_bytes_after_a_response_reach_no_client(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", extra=True)
    for number in range(5):
        answer = await hosts.send_request(port, f"/once/{number}")
        assert answer.body == f"answer to /once/{number}".encode()


async def test_a_request_times_out_after_the_routes_timeout(fleet):
    site, port = await _site(fleet, replicas=1)
    quick = hosts.route("quick", "unsafe", timeout_ms=300, max_attempts=1)
    await site.configure(hosts.configuration(2, quick))

    async def is_active():
        return (await hosts.send_request(port, "/quick/x")).status == 200

    await fleet.until(is_active, "the route is active")
    await site.faults("r-1", hang=True)
    assert (await hosts.send_request(port, "/quick/x")).status == 504


async def test_a_request_is_retried_when_a_replica_stalls(fleet):
    site, _ = await _site(fleet)
    await site.faults("r-1", hang=True)
    await _check_retry(site, "r-1", "r-2", count=4)


async def test_a_run_is_cancelled_when_its_client_disconnects(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", work_ms=20_000)
    with pytest.raises(TimeoutError):
        with hosts.anyio.fail_after(0.5):
            await hosts.send_request(port, "/once/x")

    async def cancelled():
        runs = await _all_runs(site)
        return runs and runs[0]["ended"] == "cancelled"

    await fleet.until(cancelled, "the replica's run is cancelled")


async def test_a_request_is_refused_when_no_replica_is_in_service(fleet):
    site, port = await _site(fleet, replicas=0)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not site.replicas
