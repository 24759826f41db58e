"""Models and adapters are loaded on demand, by one controller at a time.

The instances run as processes of their own.
"""

import itertools
import time

import pytest

from geraniumlink.serving import _replicas
from tests import hosts

pytestmark = pytest.mark.anyio

# Minimum time between two leaders' orders in the settings of tests.hosts.
_GUARD_S = 1.0


async def _site(fleet, replicas=2, instances=1):
    site = await hosts.Site(fleet).start(
        replicas=replicas, instances=instances, models=("m1",)
    )
    await site.wait_for_orders()
    return site


async def _ask(site, model, index=0):
    return await hosts.send_request(
        site.instances[index].port,
        "/stream/x",
        X_Model=model,
        X_Token_Usage="100,10",
    )


async def _served(site, model, index=0):
    async def served():
        return (await _ask(site, model, index)).status == 200

    await site.fleet.until(served, f"{model} is served")


async def test_model_is_loaded_when_it_is_requested(fleet):
    site = await _site(fleet)
    await _served(site, "m2")
    loads = [o for o in await site.model_orders() if o["operation"] == "load"]
    assert [order["model"] for order in loads] == ["m2"]


async def test_replica_that_unloads_a_model_gets_few_requests_for_it(fleet):
    """It lists the model until the last request ends, but refuses new ones."""
    site = await _site(fleet)
    await site.faults("r-1", closing="m1")
    began = time.monotonic()
    for _ in range(12):
        assert (await _ask(site, "m1")).status == 200
    took_ms = 1000 * (time.monotonic() - began)
    refused = (await fleet.record(site.replicas["r-1"]))["refused"]
    assert refused <= 1 + took_ms // _replicas.NOT_LOADED_TTL_MS


async def test_models_are_evicted_so_that_they_always_fit(fleet):
    site = await _site(fleet, replicas=1)
    for model in ("m2", "m3", "m1", "m2"):
        await _served(site, model)
    held = {"m1"}
    for order in await site.orders():
        if order["status"] not in (200, 202):
            continue
        if order["operation"] == "load":
            held.add(order["model"])
        else:
            held.discard(order["model"])
        assert len(held) <= 2


async def test_undeclared_model_is_refused(fleet):
    site = await _site(fleet)
    answer = await _ask(site, "m9")
    assert answer.status == 503
    assert not await site.model_orders()


async def test_adapters_are_loaded_into_free_slots(fleet):
    site = await _site(fleet, replicas=1)
    for adapter in ("a1", "a2"):
        assert (await _ask(site, f"m1/{adapter}")).status == 200
    orders = await site.orders()
    assert [order["adapter"] for order in orders] == ["a1", "a2"]


async def test_least_recently_used_adapter_is_evicted(fleet):
    site = await _site(fleet, replicas=1)
    for adapter in ("a1", "a2"):
        assert (await _ask(site, f"m1/{adapter}")).status == 200
        # Uses within one report to the controller count as simultaneous.
        await hosts.anyio.sleep(1)
    await _served(site, "m1/a3")
    unloads = [o for o in await site.orders() if o["operation"] == "unload"]
    assert [order["adapter"] for order in unloads] == ["a1"]


async def test_unload_that_waits_is_ordered_once(fleet):
    """A replica counts a repeated unload only once.

    A controller that counts it twice sends all later orders with a wrong
    count, and the replica answers them with a conflict.
    """
    site = await _site(fleet, replicas=1)
    await site.faults("r-1", unload_waits=True)
    for adapter in ("a1", "a2"):
        assert (await _ask(site, f"m1/{adapter}")).status == 200

    async def unloading():
        await _ask(site, "m1/a3")
        return [o for o in await site.orders() if o["operation"] == "unload"]

    await fleet.until(unloading, "an adapter is being unloaded")
    for _ in range(4):
        await _ask(site, "m1/a4")
        await hosts.anyio.sleep(0.1)
    assert len(await unloading()) == 1


async def test_order_without_an_answer_is_not_carried_out_twice(fleet):
    site = await _site(fleet, replicas=1)
    await site.faults("r-1", lose_orders=1)
    await _served(site, "m2")
    taken = [o for o in await site.model_orders() if o["status"] == 202]
    assert [order["model"] for order in taken] == ["m2"]


async def test_lost_order_is_sent_again(fleet):
    site = await _site(fleet, replicas=1)
    await site.faults("r-1", ignore_orders=True)
    await _ask(site, "m2")
    await site.faults("r-1", ignore_orders=False)
    await _served(site, "m2")


async def test_one_instance_orders_at_a_time(fleet):
    """The lease passes on only after the guard interval."""
    site = await _site(fleet, replicas=2, instances=3)
    await _served(site, "m2")
    leader = next(
        h for h in site.instances if hosts.find_log_lines(h, "lease_taken")
    )
    leader.kill()
    others = [i for i, h in enumerate(site.instances) if h is not leader]
    await _served(site, "m3", others[0])
    orders = await site.orders()
    for before, after in itertools.pairwise(orders):
        assert after["fencing_token"] >= before["fencing_token"]
        if before["holder"] != after["holder"]:
            assert after["fencing_token"] > before["fencing_token"]
            assert after["at"] - before["at"] > _GUARD_S
    assert len({order["holder"] for order in orders}) == 2


async def test_leader_that_was_frozen_sends_no_more_orders(fleet):
    site = await _site(fleet, replicas=2, instances=2)
    leader = next(
        h for h in site.instances if hosts.find_log_lines(h, "lease_taken")
    )
    other = next(i for i, h in enumerate(site.instances) if h is not leader)
    leader.freeze()
    await _served(site, "m2", other)
    leader.thaw()
    await _served(site, "m3", site.instances.index(leader))
    holders = [order["holder"] for order in await site.orders()]
    assert len(set(holders)) == 1


@pytest.mark.serial
async def test_models_of_a_dead_replica_are_loaded_elsewhere(fleet):
    """Its registered entry is still there, for three heartbeats."""
    site = await _site(fleet, replicas=1, instances=2)
    await site.add_replica("m3")
    leader = next(
        h for h in site.instances if hosts.find_log_lines(h, "lease_taken")
    )
    other = next(i for i, h in enumerate(site.instances) if h is not leader)
    site.replicas["r-1"].kill()
    with hosts.anyio.fail_after(5):
        await _served(site, "m1", other)
    loads = [
        order
        for order in (await fleet.record(site.replicas["r-2"]))["orders"]
        if order["operation"] == "load" and not order.get("adapter")
    ]
    assert [order["model"] for order in loads] == ["m1"]
