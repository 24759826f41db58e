"""The controller loads what a deployment declares, within its limits."""

import anyio
import pytest

from tests import builders

pytestmark = pytest.mark.anyio


async def test_a_declared_model_is_loaded_and_served(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    deployment = builders.engines(engines, ("notes", "reports", "trails"))
    await builders.declare(fleet, instance, deployment)
    await wait_until_served(fleet, instance, model="trails")


async def test_an_adapter_is_loaded_beside_its_model(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    deployment = builders.engines(
        engines,
        adapters=[
            {
                "name": "guides",
                "model": "notes",
                "version": "1",
                "size_mb": 10,
            }
        ],
    )
    await builders.declare(fleet, instance, deployment)
    await wait_until_served(fleet, instance, model="notes", adapter="guides")


async def test_status_shows_the_charge_at_every_instance(fleet):
    engine = fleet.engine()
    instances = [fleet.instance(), fleet.instance()]
    await fleet.ready()
    deployment = builders.engines([engine], ("notes", "trails"), size_mb=150)
    await builders.declare(fleet, instances[0], deployment)

    async def all_show_charge():
        charges = set()
        for instance in instances:
            status = await fleet.call(instance, "Operator/Status")
            for replica in status.body.get("replicas", ()):
                charges.add(replica.get("charged_mb"))
        return charges == {"300"}

    await fleet.until(all_show_charge, "both instances show the charge")


async def test_concurrent_loads_stay_within_the_limit(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    for engine in engines:
        await fleet.faults(engine, load_ms=150)
    deployment = builders.engines(engines, ("a", "b", "c", "d"))
    deployment["load_limits"]["concurrent_loads"] = 1
    await builders.declare(fleet, instance, deployment)
    for model in ("a", "b", "c", "d"):
        await wait_until_served(fleet, instance, model=model)
    events = []
    for engine in engines:
        events += (await fleet.record(engine))["memory"]
    events.sort(key=lambda event: event["time"])
    event_names = [
        event["event"]
        for event in events
        if event["event"] in ("load_begun", "loaded")
    ]
    assert event_names == ["load_begun", "loaded"] * 4


async def test_a_replica_with_a_corrupt_ledger_gets_no_orders(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    await fleet.post(
        fleet.object_api,
        "/objects/replicas/assistant.r0?if_version=0",
        {"schema": 99},
        "PUT",
    )
    deployment = builders.engines(engines, ("notes", "trails"))
    await builders.declare(fleet, instance, deployment)
    for model in ("notes", "trails"):
        await wait_until_served(fleet, instance, model=model)
    record = await fleet.record(engines[0])
    assert [event["event"] for event in record["memory"]] == ["started"]
    assert "ledger_unreadable" in instance.log.read_text()


async def test_a_lease_is_released_at_shutdown(fleet):
    engine = fleet.engine()
    first, second = fleet.instance(), fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, first, builders.engines([engine]))
    await wait_until_served(fleet, first, model="notes")
    for instance in (first, second):
        instance.terminate()
    first.wait()
    second.wait()
    assert (await _lease_history(fleet))[-1]["holder"] == ""


async def test_a_lease_is_released_while_its_renewal_is_not_answered(fleet):
    engine, instance = fleet.engine(), fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([engine]))
    await wait_until_served(fleet, instance, model="notes")
    await fleet.faults(fleet.object_api, slow_answers={"leases": 400})
    known = len(await _lease_history(fleet))

    async def is_renewed():
        return len(await _lease_history(fleet)) > known

    await fleet.until(is_renewed, "the lease is renewed")
    instance.terminate()
    instance.wait()
    assert (await _lease_history(fleet))[-1]["holder"] == ""


# The answer is lost during the shutdown, or comes after it.
@pytest.mark.parametrize("drain_lag_ms, lose_answers", ((3000, 1), (0, 0)))
async def test_a_lease_taken_without_an_answer_is_released_at_shutdown(
    fleet, drain_lag_ms, lose_answers
):
    engine = fleet.engine()
    instance = fleet.instance(drain_lag_ms=drain_lag_ms)
    await fleet.ready()
    await fleet.faults(fleet.object_api, slow_answers={"leases": 1500})
    await builders.declare(fleet, instance, builders.engines([engine]))
    await fleet.until(lambda: _lease_history(fleet), "the lease is taken")
    await fleet.faults(fleet.object_api, lose_answers=lose_answers)
    instance.terminate()
    instance.wait()
    assert (await _lease_history(fleet))[-1]["holder"] == ""


async def _lease_history(fleet):
    """Return all leases as they were written, the last one at the end."""
    record = await fleet.record(fleet.object_api)
    return [e["value"] for e in record["history"] if e["kind"] == "leases"]


async def wait_until_served(fleet, instance, **request):
    """Wait until a request for the model and adapter succeeds."""

    async def served():
        answer = await fleet.call(
            instance, "Inference/Generate", prompt="Where?", **request
        )
        return answer.status == 200

    await fleet.until(served, f"{request} is served")


async def test_a_model_is_reloaded_after_its_engine_lost_its_number(fleet):
    """The engine restarts without its fencing number.

    Ledgers rely on engines that keep it. Where one doesn't, its copies must
    be loaded again nevertheless.
    """
    engine = fleet.engine()
    instance = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([engine]))
    await wait_until_served(fleet, instance, model="notes")
    engine.kill()
    engine.start()
    await fleet.ready()
    await wait_until_served(fleet, instance, model="notes")


async def test_a_model_in_demand_gets_an_extra_copy(fleet):
    engines = [fleet.engine(None, "--memory-mb", "900") for _ in range(2)]
    instance = fleet.instance()
    await fleet.ready()
    deployment = builders.engines(
        engines, ["hot", "cold"], attainment_weight=1.0
    )
    for replica in deployment["replicas"]:
        replica["max_in_flight"] = 4
    await builders.declare(fleet, instance, deployment)
    await builders.serving(fleet, instance, 2)
    for engine in engines:
        await fleet.faults(engine, token_ms=200)

    async def has_two_copies() -> bool:
        status = await fleet.call(instance, "Operator/Status")
        models = [r.get("models", ()) for r in status.body["replicas"]]
        return all("hot" in held for held in models)

    async def send_requests():
        while True:
            await fleet.call(
                instance, "Inference/Generate", model="hot", max_tokens=20
            )

    async with anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(send_requests)
        await fleet.until(has_two_copies, "the model has two copies")
        group.cancel_scope.cancel()
