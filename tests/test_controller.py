"""The holder of a shard loads what is declared, within its limits."""

import anyio
import pytest

from tests import builders

pytestmark = pytest.mark.anyio


async def test_a_model_that_no_engine_holds_becomes_reachable(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    deployment = builders.engines(engines, ("notes", "reports", "trails"))
    await builders.declare(fleet, instance, deployment)
    await answers(fleet, instance, model="trails")


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
    await answers(fleet, instance, model="notes", adapter="guides")


async def test_status_shows_the_charge_at_every_instance(fleet):
    engine = fleet.engine()
    instances = [fleet.instance(), fleet.instance()]
    await fleet.ready()
    deployment = builders.engines([engine], ("notes", "trails"), size_mb=150)
    await builders.declare(fleet, instances[0], deployment)

    async def shown():
        charges = set()
        for instance in instances:
            status = await fleet.call(instance, "Operator/Status")
            for replica in status.body.get("replicas", ()):
                charges.add(replica.get("charged_mb"))
        return charges == {"300"}

    await fleet.until(shown, "both instances show the charge")


async def test_loads_keep_to_the_limits_of_the_weight_store(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    for engine in engines:
        await fleet.faults(engine, load_ms=150)
    deployment = builders.engines(engines, ("a", "b", "c", "d"))
    deployment["load_limits"]["concurrent_loads"] = 1
    await builders.declare(fleet, instance, deployment)
    for model in ("a", "b", "c", "d"):
        await answers(fleet, instance, model=model)
    events = []
    for engine in engines:
        events += (await fleet.record(engine))["memory"]
    events.sort(key=lambda event: event["time"])
    order = [
        event["event"]
        for event in events
        if event["event"] in ("load_begun", "loaded")
    ]
    assert order == ["load_begun", "loaded"] * 4


async def test_a_replica_whose_ledger_is_corrupt_is_left_alone(fleet):
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
        await answers(fleet, instance, model=model)
    left_alone = await fleet.record(engines[0])
    assert [event["event"] for event in left_alone["memory"]] == ["started"]
    assert "ledger_unreadable" in instance.log.read_text()


async def test_a_lease_is_released_at_shutdown(fleet):
    engine = fleet.engine()
    first, second = fleet.instance(), fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, first, builders.engines([engine]))
    await answers(fleet, first, model="notes")
    for instance in (first, second):
        instance.terminate()
    first.wait()
    second.wait()
    record = await fleet.record(fleet.object_api)
    leases = [e["value"] for e in record["history"] if e["kind"] == "leases"]
    assert leases[-1]["holder"] == ""


async def answers(fleet, instance, **request):
    """Wait until a model is served."""

    async def served():
        answer = await fleet.call(
            instance, "Inference/Generate", prompt="Where?", **request
        )
        return answer.status == 200

    await fleet.until(served, f"{request} is served")


async def test_a_model_comes_back_after_its_engine_forgot_its_number(fleet):
    """The assumption on restarts is broken, and the model still returns."""
    engine = fleet.engine()
    instance = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([engine]))
    await answers(fleet, instance, model="notes")
    engine.kill()
    engine.start()
    await fleet.ready()
    await answers(fleet, instance, model="notes")


async def test_a_model_in_demand_gets_a_further_copy(fleet):
    engines = [fleet.engine(None, "--memory-mb", "900") for _ in range(2)]
    instance = fleet.instance()
    await fleet.ready()
    declared = builders.engines(
        engines, ["hot", "cold"], attainment_weight=1.0
    )
    for replica in declared["replicas"]:
        replica["max_in_flight"] = 4
    await builders.declare(fleet, instance, declared)
    await builders.serving(fleet, instance, 2)
    for process in engines:
        await fleet.faults(process, token_ms=200)

    async def held_twice() -> bool:
        status = await fleet.call(instance, "Operator/Status")
        models = [r.get("models", ()) for r in status.body["replicas"]]
        return all("hot" in held for held in models)

    async def ask():
        while True:
            await fleet.call(
                instance, "Inference/Generate", model="hot", max_tokens=20
            )

    async with anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(ask)
        await fleet.until(held_twice, "the model has two copies")
        group.cancel_scope.cancel()
