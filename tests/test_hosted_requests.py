"""Requests of the users' platform: whole answers, true refusals, repeats."""

import pytest

from tests import hosts

pytestmark = pytest.mark.anyio


async def _site(fleet, **fields):
    site = await hosts.Site(fleet).start(**fields)
    return site, site.instances[0].port


async def _all_runs(site):
    return [run for runs in (await site.runs()).values() for run in runs]


async def test_a_request_is_passed_on_unchanged(fleet):
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


async def test_the_longest_prefix_wins(fleet):
    site, port = await _site(fleet)
    longer = hosts.route("safe/deep", "safe", service="nobody")
    await site.configure(hosts.configuration(2, longer))

    async def in_force():
        return (await hosts.send_request(port, "/safe/deep/x")).status == 503

    await fleet.until(in_force, "the longer route is in force")
    assert (await hosts.send_request(port, "/safe/dee")).status == 200


async def test_an_idempotent_request_is_repeated_elsewhere(fleet):
    site, port = await _site(fleet)
    await site.faults("r-1", fail=True)
    for _ in range(6):
        assert (await hosts.send_request(port, "/safe/x")).status == 200
    assert (await site.runs())["r-1"]


async def test_a_request_that_runs_once_isnt_repeated(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, garbage=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 502
    assert "retry-after" not in answer.headers
    assert len(await _all_runs(site)) == 1


async def test_a_refusal_by_the_replica_is_not_run(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, refuse=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not await _all_runs(site)


async def test_a_replicas_own_failure_is_passed_on(fleet):
    site, port = await _site(fleet)
    for name in site.replicas:
        await site.faults(name, fail=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 500
    assert answer.body == b"failed"
    assert answer.headers["x-response-seal"].startswith("of-r-")


async def test_a_long_body_is_passed_on_and_its_loss_is_told(fleet):
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


async def test_an_answer_without_its_seal_is_no_success(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", unsealed=True)
    assert (await hosts.send_request(port, "/once/x")).status == 502


async def test_an_answer_without_a_length_is_whole(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", unframed=True)
    answer = await hosts.send_request(port, "/safe/x")
    assert answer.is_complete
    assert answer.body == b"answer to /safe/x"


async def test_an_answer_to_another_request_is_skipped(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", foreign=True)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 200
    assert answer.body == b"answer to /once/x"


async def test_what_follows_an_answer_reaches_nobody(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", extra=True)
    for number in range(5):
        answer = await hosts.send_request(port, f"/once/{number}")
        assert answer.body == f"answer to /once/{number}".encode()


async def test_the_routes_time_limit_gives_a_final_answer(fleet):
    site, port = await _site(fleet, replicas=1)
    quick = hosts.route("quick", "unsafe", timeout_ms=300, max_attempts=1)
    await site.configure(hosts.configuration(2, quick))

    async def in_force():
        return (await hosts.send_request(port, "/quick/x")).status == 200

    await fleet.until(in_force, "the route is in force")
    await site.faults("r-1", hang=True)
    assert (await hosts.send_request(port, "/quick/x")).status == 504


async def test_a_silent_replica_is_left_for_another(fleet):
    site, port = await _site(fleet)
    await site.faults("r-1", hang=True)
    for _ in range(4):
        assert (await hosts.send_request(port, "/safe/x")).status == 200


async def test_work_for_a_client_that_left_is_cancelled(fleet):
    site, port = await _site(fleet, replicas=1)
    await site.faults("r-1", work_ms=20_000)
    with pytest.raises(TimeoutError):
        with hosts.anyio.fail_after(0.5):
            await hosts.send_request(port, "/once/x")

    async def cancelled():
        runs = await _all_runs(site)
        return runs and runs[0]["ended"] == "cancelled"

    await fleet.until(cancelled, "the replica's run is cancelled")


async def test_nothing_in_service_is_refused_at_once(fleet):
    site, port = await _site(fleet, replicas=0)
    answer = await hosts.send_request(port, "/once/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not site.replicas
