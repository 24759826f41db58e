"""Quotas through hosted instances: charges, refusals and failures."""

import re
import time

import anyio
import pytest

from geraniumlink.residency import _issuer_table
from tests import hosts

pytestmark = pytest.mark.anyio

_KEY = "key-of-shop-5f1c"
_TOKEN = {"Authorization": f"Token {_KEY}"}


def _configuration(version=1, **quota):
    tenant = {"name": "shop", "api_keys": [_KEY], **quota}
    spec = hosts.configuration(version)
    return {**spec, "tenants": [tenant]}


async def _start(fleet, instances, slack=0, **quota):
    """Start a site whose only account has a quota; wait for the issuers."""
    site = hosts.Site(fleet)
    site.bounds = {
        "quota_window_s": 8,
        "quota_overshoot": 0.1,
        "quota_slack": slack,
    }
    await site.start(replicas=2, instances=instances, models=("m1",))
    await site.configure(_configuration(2, **quota))

    async def are_issuers_named():
        return all(
            hosts.find_log_lines(instance, "quota_issuers")
            for instance in site.instances
            if instance.running
        )

    await fleet.until(are_issuers_named, "issuers are named")
    return site


async def _send(site, index, **headers):
    return await hosts.send_request(
        site.instances[index].port,
        "/safe/x",
        X_Model="m1",
        **_TOKEN,
        **headers,
    )


async def _send_many(site, count, indices, answers, pause_s=0.0):
    """Send requests to instances in turn; add the status of each answer."""

    async def send(index):
        answers.append(await _send(site, index))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send, indices[number % len(indices)])
            await anyio.sleep(pause_s)


def _statuses(answers):
    return [answer.status for answer in answers]


async def test_all_instances_together_stay_within_a_quota(fleet):
    """A request over quota gets 429, isn't run and may come back later."""
    site = await _start(fleet, 3, rate_per_s=10, burst=40)
    # Issuers that were just named begin with less than the burst.
    await anyio.sleep(4)
    answers = []
    began = time.monotonic()
    await _send_many(site, 90, (0, 1, 2), answers)
    took_s = time.monotonic() - began
    statuses = _statuses(answers)
    assert set(statuses) == {200, 429}
    overshoot = 0.1 * (8 * 10 + 40)
    assert 40 <= statuses.count(200) <= 40 + 10 * took_s + overshoot
    runs = sum(len(runs) for runs in (await site.runs()).values())
    assert runs == statuses.count(200)
    refused = [a for a in answers if a.status == 429]
    waits = [a.headers["retry-after"] for a in refused]
    assert all(re.fullmatch(r"\d+\.\d{3}", wait) for wait in waits)
    assert len(set(waits)) > 1
    lines = [
        line
        for instance in site.instances
        for line in hosts.find_log_lines(instance, "quota_charged")
    ]
    assert len(lines) >= len(refused)
    await anyio.sleep(min(map(float, waits)))
    assert (await _send(site, 0)).status == 200


async def test_requests_that_did_not_run_are_refunded(fleet):
    site = await _start(fleet, 2, slack=100, rate_per_s=0.01, burst=20)
    for replica in site.replicas:
        await site.faults(replica, refuse=True)
    # Far more than the quota would allow, were they charged.
    answers = []
    for _ in range(8):
        await _send_many(site, 5, (0, 1), answers)
    assert 429 not in _statuses(answers)


@pytest.mark.parametrize("how", ("kill", "freeze"))
async def test_requests_within_the_quota_outlive_the_issuer(fleet, how):
    site = await _start(fleet, 4, rate_per_s=100, burst=100)
    lines = hosts.find_log_lines(site.instances[0], "quota_issuers")
    row = _issuer_table.find_row("shop")
    address = lines[-1]["issuers"][row]
    ends = next(
        i
        for i, _ in enumerate(site.instances)
        if site.peer_address(i) == address
    )
    others = [i for i in range(4) if i != ends]
    answers = []
    async with anyio.create_task_group() as group:
        group.start_soon(_send_many, site, 160, others, answers, 0.025)
        await anyio.sleep(1)
        getattr(site.instances[ends], how)()
    if how == "freeze":
        site.instances[ends].thaw()
    assert set(_statuses(answers)) == {200}
