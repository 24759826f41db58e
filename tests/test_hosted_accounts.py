"""Requests under client accounts, through hosted instances."""

import time

import anyio
import pytest

from tests import hosts

pytestmark = pytest.mark.anyio

_KEY = "key-of-shop-5f1c"
_BOUND_MS = 2000
# The last landing without accounts.
_BUILD_BEFORE = "61322b5"


def _configuration(version=1, *tenants, **fields):
    """Return a configuration in which "/open/" needs no key."""
    if not tenants:
        tenants = ({"name": "shop", "api_keys": [_KEY], "priority": 2},)
    spec = hosts.configuration(
        version, hosts.route("open", "safe", public=True)
    )
    return {**spec, "tenants": list(tenants), **fields}


def _token(key):
    return {"Authorization": f"Token {key}"}


async def _start(fleet, strict=False, **fields):
    """Start a site whose configuration has accounts from the beginning."""
    site = hosts.Site(fleet)
    if strict:
        site.bounds = {"strict_revoke": True, "revoke_ms": _BOUND_MS}
    await site.start(**fields)
    await site.configure(_configuration(2))
    await _until_status(site, 401, "/safe/x")
    return site


async def _until_status(site, status, target, index=0, **headers):
    async def is_reached():
        port = site.instances[index].port
        answer = await hosts.send_request(port, target, **headers)
        return answer.status == status

    await site.fleet.until(is_reached, f"{target} is answered by {status}")


async def _count_runs(site):
    return sum(len(runs) for runs in (await site.runs()).values())


async def _last_headers(site):
    runs = [run for runs in (await site.runs()).values() for run in runs]
    return max(runs, key=lambda run: run["at"])["headers"]


async def test_replicas_get_the_account_and_not_the_key(fleet):
    """Also from a client that claims to be another account."""
    site = await _start(fleet, replicas=1, models=("m1",))
    port = site.instances[0].port
    for target, credentials, account in (
        ("/safe/x", _token(_KEY), "shop"),
        ("/open/x", _token(_KEY), "shop"),
        ("/open/x", _token("unknown"), None),
        ("/open/x", {"Authorization": "Basic x"}, None),
        ("/open/x", {}, None),
    ):
        answer = await hosts.send_request(
            port,
            target,
            **credentials,
            X_Model="m1",
            X_Tenant="other",
            Geraniumlink_Relayed_Account="other",
        )
        assert answer.status == 200
        headers = await _last_headers(site)
        assert headers.get("x-tenant") == account
        assert headers["x-request-priority"] == ("7" if account else "4")
        assert not {"authorization", "geraniumlink-relayed-account"} & set(
            headers
        )
    log = site.instances[0].log.read_text()
    assert _KEY not in log
    (line,) = hosts.find_log_lines(site.instances[0], "accounts_in_force")
    assert (line["accounts"], line["problems"]) == (1, 0)
    admitted = hosts.find_log_lines(site.instances[0], "admitted")
    assert {line["account"] for line in admitted} == {"shop", ""}


async def test_a_request_without_a_known_key_is_refused_before_its_body(fleet):
    site = await _start(fleet, replicas=1)
    port = site.instances[0].port
    # The first probes may have run, before the accounts were in force.
    before = await site.runs()
    head = hosts.request_bytes("/safe/x", Content_Length="9000")
    answer = await hosts.send(port, head)
    assert answer.status == 401
    assert answer.headers["www-authenticate"] == "Token"
    for value in (f"Token {_KEY}x", f"Bearer {_KEY}", "Token", _KEY):
        answer = await hosts.send_request(port, "/safe/x", Authorization=value)
        assert answer.status == 401
    two = hosts.request_bytes("/safe/x", **_token(_KEY)).replace(
        b"\r\n\r\n", f"\r\nauthorization: Token {_KEY}\r\n\r\n".encode()
    )
    assert (await hosts.send(port, two)).status == 401
    assert (await hosts.send_request(port, "/nowhere")).status == 404
    assert await site.runs() == before


async def test_without_accounts_credentials_are_forwarded(fleet):
    """Deployments without accounts are served as before."""
    site = await hosts.Site(fleet).start(replicas=1)
    answer = await hosts.send_request(
        site.instances[0].port, "/safe/x", **_token(_KEY), X_Tenant="other"
    )
    assert answer.status == 200
    headers = await _last_headers(site)
    assert headers["authorization"] == f"Token {_KEY}"
    assert headers["x-tenant"] == "other"


async def _send_around(port, data, split, action):
    """Send a request in two parts and do something in between."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(data[:-split])
        # So that the head has arrived before the change.
        await anyio.sleep(0.3)
        await action()
        await stream.send(data[-split:])
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive()
        return hosts.Answer(received)


async def test_a_version_that_comes_with_the_body_doesnt_change_a_decision(
    fleet,
):
    """The request was accepted; its route and account stay."""
    site = await _start(fleet, replicas=1)

    async def remove_key_and_route():
        spec = _configuration(3, {"name": "shop", "api_keys": ["other-key"]})
        spec["routes"] = [r for r in spec["routes"] if r["name"] != "safe"]
        await site.configure(spec)
        await _until_status(site, 404, "/safe/x")

    data = hosts.request_bytes("/safe/x", b"a body", **_token(_KEY))
    answer = await _send_around(
        site.instances[0].port, data, 3, remove_key_and_route
    )
    assert answer.status == 200
    assert (await _last_headers(site))["x-tenant"] == "shop"


@pytest.mark.parametrize("key", (_KEY, "unknown"))
async def test_the_first_accounts_apply_to_a_request_without_its_body(
    fleet, key
):
    """Otherwise its key would be forwarded, or a claimed account."""
    site = await hosts.Site(fleet).start(replicas=1)

    def is_in_force():
        lines = hosts.find_log_lines(
            site.instances[0], "configuration_in_force"
        )
        return lines[-1]["version"] == 2

    async def configure():
        await site.configure(_configuration(2))
        # A request that asks for it might be run before.
        await fleet.until(is_in_force, "the accounts are in force")

    data = hosts.request_bytes(
        "/safe/x", b"a body", **_token(key), X_Tenant="other"
    )
    answer = await _send_around(site.instances[0].port, data, 3, configure)
    if key == _KEY:
        assert answer.status == 200
        headers = await _last_headers(site)
        assert headers["x-tenant"] == "shop"
        assert "authorization" not in headers
    else:
        assert answer.status == 401
        assert not any((await site.runs()).values())


async def test_an_instance_without_a_configuration_denies_nothing(fleet):
    """It can't know which keys are in force, so it answers 503."""
    site = hosts.Site(fleet)
    settings = hosts.node_settings(site.store, "i-1")
    await fleet.answers(site.store.port, "/record")
    await fleet.faults(site.store, outage=True)
    process = fleet.hosted(settings)

    async def is_answered():
        try:
            return await hosts.send_request(
                process.port, "/safe/x", **_token(_KEY)
            )
        except OSError:
            return None

    answer = None
    with anyio.fail_after(20):
        while answer is None:
            answer = await is_answered()
            await anyio.sleep(0.05)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_keys_change_with_the_configuration(fleet):
    """At an instance that watches, and at one that gets relayed changes."""
    site = await _start(fleet, replicas=1, instances=2)
    new = {"name": "shop", "api_keys": ["new-key"]}
    await site.configure(_configuration(3, new))
    with anyio.fail_after(3):
        for index in range(2):
            await _until_status(
                site, 200, "/safe/x", index, **_token("new-key")
            )
            await _until_status(site, 401, "/safe/x", index, **_token(_KEY))


async def test_a_relayed_request_keeps_its_account(fleet):
    """An instance without a path to replicas authenticates for the other."""
    site = await hosts.Site(fleet).start(
        replicas=3, instances=2, models=("m1",)
    )
    partition = await site.add_partitionable_instance()
    await site.configure(_configuration(2))
    for index in range(3):
        await _until_status(site, 401, "/safe/x", index)
    await partition.cut("refuse")

    async def is_passed_on():
        await hosts.send_request(
            partition.instance.port, "/safe/x", **_token(_KEY), X_Model="m1"
        )
        return hosts.find_log_lines(partition.instance, "passed_on")

    await fleet.until(is_passed_on, "a request is passed on")
    headers = await _last_headers(site)
    assert headers["x-tenant"] == "shop"
    assert headers["x-request-priority"] == "7"
    assert not {"authorization", "geraniumlink-relayed-account"} & set(headers)


async def _is_ready(site, index):
    answer = await site.fleet.get(site.ready_port(index), "/v1/ready")
    return answer is not None and answer.status == 200


async def test_a_removed_key_is_not_served_where_the_store_is_lost(fleet):
    """The only instance is cut off, so it can't learn of the removal."""
    site = hosts.Site(fleet)
    site.bounds = {"strict_revoke": True, "revoke_ms": _BOUND_MS}
    link, address = fleet.link(site.store.address)
    await fleet.answers(link.port, "/record")
    await fleet.answers(site.store.port, "/record")
    await site.add_replica()
    await site.configure(_configuration())
    await site.add_instance(store_address=address)
    await _until_status(site, 200, "/safe/x", **_token(_KEY))
    await fleet.faults(link, stall=True)
    other = {"name": "shop", "api_keys": ["other-key"]}
    await site.configure(_configuration(2, other))
    removed_at = time.monotonic()
    port = site.instances[0].port
    while (left_s := removed_at + 4.0 - time.monotonic()) > 0:
        answer = await hosts.send_request(port, "/safe/x", **_token(_KEY))
        is_late = left_s < 4.0 - _BOUND_MS / 1000
        assert answer.status == 503 if is_late else answer.status in (200, 503)
        await anyio.sleep(0.05)
    assert float(answer.headers["retry-after"]) > 0
    assert not await _is_ready(site, 0)
    open_answer = await hosts.send_request(port, "/open/x", **_token(_KEY))
    assert open_answer.status == 200
    denied = hosts.find_log_lines(site.instances[0], "denied")
    assert denied[-1]["confirmed_age_ms"] > 0.9 * _BOUND_MS
    await fleet.faults(link, stall=False)
    await _until_status(site, 401, "/safe/x", **_token(_KEY))
    await _until_status(site, 200, "/safe/x", **_token("other-key"))
    assert await _is_ready(site, 0)


async def test_a_removed_key_is_not_served_by_a_frozen_instance(fleet):
    """It is removed during the freeze, at an instance that gets relays."""
    site = await _start(fleet, strict=True, replicas=1, instances=2)
    for index in range(2):
        await _until_status(site, 200, "/safe/x", index, **_token(_KEY))
    leader = next(
        index
        for index, process in enumerate(site.instances)
        if hosts.find_log_lines(process, "lease_taken")
    )
    frozen = site.instances[1 - leader]
    frozen.freeze()
    other = {"name": "shop", "api_keys": ["other-key"]}
    await site.configure(_configuration(3, other))
    await anyio.sleep(_BOUND_MS / 1000 + 0.2)
    statuses = []

    async def send():
        answer = await hosts.send_request(
            frozen.port, "/safe/x", **_token(_KEY)
        )
        statuses.append(answer.status)

    async with anyio.create_task_group() as group:
        for _ in range(5):
            group.start_soon(send)
        await anyio.sleep(0.2)
        frozen.thaw()
    assert set(statuses) <= {401, 503}
    await _until_status(
        site, 200, "/safe/x", 1 - leader, **_token("other-key")
    )


async def test_in_normal_operation_nothing_is_stale(fleet):
    """Strictness must not cost requests while the store answers.

    The leader is killed, so that the others watch by themselves for a time.
    """
    site = await _start(fleet, strict=True, replicas=1, instances=3)
    leader = next(
        process
        for process in site.instances
        if hosts.find_log_lines(process, "lease_taken")
    )
    others = [p for p in site.instances if p is not leader]
    started = time.monotonic()
    while (now := time.monotonic()) < started + 8:
        if now > started + 3 and leader.running:
            leader.kill()
        for process in others:
            answer = await hosts.send_request(
                process.port, "/safe/x", **_token(_KEY)
            )
            assert answer.status == 200
        await anyio.sleep(0.1)


async def _start_beside_build_before(fleet, folder, instances):
    """Start a site that is controlled by an instance of the build before."""
    old_path = hosts.check_out(_BUILD_BEFORE, folder)
    site = await hosts.Site(fleet).start(
        replicas=3, instances=0, models=("m1",)
    )
    for _ in range(instances):
        await site.add_instance(environment={"PYTHONPATH": old_path})
    await fleet.until(
        lambda: hosts.find_log_lines(site.instances[0], "lease_taken"),
        "the first instance is the controller",
    )
    return site


async def test_a_controller_of_the_build_before_confirms_nothing(
    fleet, tmp_path
):
    """It states no age, so an instance asks the store by itself."""
    site = await _start_beside_build_before(fleet, tmp_path, instances=1)
    site.bounds = {"strict_revoke": True, "revoke_ms": _BOUND_MS}
    await site.add_instance()
    await site.configure(_configuration(2))
    await _until_status(site, 200, "/safe/x", 1, **_token(_KEY))
    await _until_status(site, 401, "/safe/x", 1)
    port = site.instances[1].port
    until = time.monotonic() + 1.5 * _BOUND_MS / 1000
    while time.monotonic() < until:
        answer = await hosts.send_request(port, "/safe/x", **_token(_KEY))
        assert answer.status == 200
        await anyio.sleep(0.05)
    other = {"name": "shop", "api_keys": ["other-key"]}
    await site.configure(_configuration(3, other))
    with anyio.fail_after(3):
        await _until_status(site, 401, "/safe/x", 1, **_token(_KEY))


async def test_the_build_before_forwards_a_relayed_account(fleet, tmp_path):
    site = await _start_beside_build_before(fleet, tmp_path, instances=2)
    partition = await site.add_partitionable_instance()
    await site.configure(_configuration(2))
    await _until_status(site, 401, "/safe/x", 2)
    await partition.cut("refuse")
    # Probes may have run before the accounts were in force.
    before = await _count_runs(site)

    async def is_passed_on():
        await hosts.send_request(
            partition.instance.port, "/safe/x", **_token(_KEY), X_Model="m1"
        )
        return await _count_runs(site) > before

    await fleet.until(is_passed_on, "a request is passed on and runs")
    headers = await _last_headers(site)
    assert headers["x-tenant"] == "shop"
    assert "authorization" not in headers
