"""Models and adapters are loaded where they are asked for, by one holder."""

import itertools
import time

import pytest

from geraniumlink.serving import _replicas
from tests import hosts

pytestmark = pytest.mark.anyio

# The bound between two holders' orders in the settings of tests.hosts, in s.
_LEASE = 1.0


async def _site(fleet, replicas=2, instances=1):
    site = await hosts.Site(fleet).start(
        replicas=replicas, instances=instances, models=("m1",)
    )

    async def led():
        return any(
            hosts.find_log_lines(host, "lease_taken")
            for host in site.instances
        )

    await fleet.until(led, "an instance controls")
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


async def test_a_model_is_loaded_when_it_is_asked_for(fleet):
    site = await _site(fleet)
    await _served(site, "m2")
    loads = [o for o in await site.orders() if o["operation"] == "load"]
    assert [order["model"] for order in loads] == ["m2"]


async def test_a_replica_that_unloads_a_model_is_left_alone(fleet):
    """It lists the model until the last run ends, and refuses new ones."""
    site = await _site(fleet)
    await site.faults("r-1", closing="m1")
    began = time.monotonic()
    for _ in range(12):
        assert (await _ask(site, "m1")).status == 200
    took_ms = 1000 * (time.monotonic() - began)
    refused = (await fleet.record(site.replicas["r-1"]))["refused"]
    assert refused <= 1 + took_ms // _replicas.NOT_LOADED_TTL_MS


async def test_a_model_makes_room_and_is_never_too_much(fleet):
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


async def test_a_model_that_isnt_declared_is_refused(fleet):
    site = await _site(fleet)
    answer = await _ask(site, "m9")
    assert answer.status == 503
    assert not await site.orders()


async def test_adapters_are_loaded_into_free_places(fleet):
    site = await _site(fleet, replicas=1)
    for adapter in ("a1", "a2"):
        assert (await _ask(site, f"m1/{adapter}")).status == 200
    orders = await site.orders()
    assert [order["adapter"] for order in orders] == ["a1", "a2"]


async def test_the_adapter_unused_for_longest_makes_room(fleet):
    site = await _site(fleet, replicas=1)
    for adapter in ("a1", "a2"):
        assert (await _ask(site, f"m1/{adapter}")).status == 200
        # Uses within one report to the controller are of one time.
        await hosts.anyio.sleep(1)
    await _served(site, "m1/a3")
    unloads = [o for o in await site.orders() if o["operation"] == "unload"]
    assert [order["adapter"] for order in unloads] == ["a1"]


async def test_an_unload_that_waits_is_ordered_once(fleet):
    """A replica counts a repeated unload once, and all orders clash then."""
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


async def test_an_order_without_an_answer_is_not_carried_out_twice(fleet):
    site = await _site(fleet, replicas=1)
    await site.faults("r-1", lose_orders=1)
    await _served(site, "m2")
    taken = [o for o in await site.orders() if o["status"] == 202]
    assert [order["model"] for order in taken] == ["m2"]


async def test_an_order_that_is_lost_is_sent_again(fleet):
    site = await _site(fleet, replicas=1)
    await site.faults("r-1", ignore_orders=True)
    await _ask(site, "m2")
    await site.faults("r-1", ignore_orders=False)
    await _served(site, "m2")


async def test_one_instance_orders_at_a_time(fleet):
    """Its lease passes on after it was killed, and no sooner."""
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
            assert after["at"] - before["at"] > _LEASE
    assert len({order["holder"] for order in orders}) == 2


async def test_a_holder_that_was_frozen_orders_no_more(fleet):
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


async def test_the_models_of_a_dead_replica_are_loaded_elsewhere(fleet):
    """Its entry is still there, as it is for three heartbeats."""
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
        if order["operation"] == "load"
    ]
    assert [order["model"] for order in loads] == ["m1"]
