"""The configuration of real processes that are killed, frozen or cut off."""

import json

import anyio
import pytest

from geraniumlink.configuration import _configuration
from standins import fleet as fleets
from tests import builders

pytestmark = pytest.mark.anyio
KIND = _configuration.KIND


async def get_version(fleet, instance, name="booking"):
    answer = await fleet.call(instance, "Operator/Get", name=name)
    return int(answer.body["version"]) if answer.status == 200 else 0


async def until_version(fleet, instance, version):
    async def reached():
        return await get_version(fleet, instance) >= version

    await fleet.until(reached, f"{instance.name} has version {version}")


async def is_ready(fleet, instance):
    answer = await fleet.get(instance.peer_port, "/ready")
    return answer is not None and answer.status == 200


async def until_not_ready(fleet, instance):
    async def reached():
        answer = await fleet.get(instance.peer_port, "/ready")
        return answer is not None and answer.status == 503

    await fleet.until(reached, f"{instance.name} is not ready")


async def start_three(fleet, **settings):
    """Start three instances and declare a service; return its version too."""
    for number in range(3):
        fleet.instance(f"i{number}", heartbeat_ms=100, **settings)
    await fleet.ready()
    await until_members_known(fleet, fleet.instances)
    version = await builders.declare(
        fleet, fleet.instances[0], builders.services(1)
    )
    return *fleet.instances, version


async def until_members_known(fleet, instances):
    async def reached():
        for instance in instances:
            status = await fleet.call(instance, "Operator/Status")
            members = status.body.get("instances", ())
            live = [entry for entry in members if entry["state"] == "live"]
            if len(live) < len(instances):
                return False
        return True

    await fleet.until(reached, "the instances know each other")


async def apply_change(fleet, instance, version, replicas=2):
    answer = await builders.apply(
        fleet, instance, builders.services(replicas), version
    )
    assert answer.status == 200, answer
    return int(answer.body["version"])


async def test_an_instance_frozen_during_a_change_applies_it_when_thawed(
    fleet,
):
    first, _, frozen, version = await start_three(fleet)
    frozen.freeze()
    version = await apply_change(fleet, first, version)
    frozen.thaw()
    await until_version(fleet, frozen, version)


@pytest.mark.parametrize("fault", ["cut", "stall"])
async def test_an_instance_cut_off_from_the_api_gets_changes_from_peers(
    fleet, fault
):
    link, address = fleet.link(fleet.object_api.address)
    first, _, _, version = await start_three(fleet)
    cut = fleet.instance("cut", heartbeat_ms=100, object_api=address)
    await fleet.ready()
    await until_members_known(fleet, fleet.instances)
    await fleet.faults(link, **{fault: True})
    version = await apply_change(fleet, first, version)
    await until_version(fleet, cut, version)


async def test_an_api_outage_right_after_a_change_delays_no_instance(fleet):
    first, second, third, version = await start_three(fleet)
    await fleet.faults(fleet.object_api, outage_after_writes=1)
    version = await apply_change(fleet, first, version)
    for instance in (first, second, third):
        await until_version(fleet, instance, version)


async def test_a_restart_in_an_outage_gets_the_newest_version_of_its_peers(
    fleet,
):
    first, lagging, restarted, version = await start_three(fleet)
    lagging.freeze()
    version = await apply_change(fleet, first, version)
    await until_version(fleet, restarted, version)
    await fleet.faults(fleet.object_api, outage=True)
    restarted.kill()
    lagging.thaw()
    restarted.start()
    await fleet.answers(restarted.peer_port, "/ready")
    assert await get_version(fleet, restarted) == version
    await until_version(fleet, lagging, version)


async def test_a_start_in_an_outage_without_peers_refuses_as_unavailable(
    fleet,
):
    await fleet.ready()
    await fleet.faults(fleet.object_api, outage=True)
    alone = fleet.instance("alone", heartbeat_ms=100)
    await until_not_ready(fleet, alone)
    refused = await fleet.call(alone, "Inference/Generate", model="notes")
    assert refused.body["code"] == "unavailable"
    assert refused.body["execution"] == "NOT_RUN"
    assert int(refused.body["retry_after_ms"]) > 0
    # Regression: a call or change that is sent again under its key or change
    # id may have run or been accepted through another instance, which this
    # one can't know.
    for method, body in (
        ("Calls/Call", builders.booking(builders.key())),
        ("Operator/Retire", {"name": "booking", "expected_version": 1}),
    ):
        path = f"/geraniumlink.v1.{method}"
        refused = await fleet.post(alone, path, body)
        assert refused.body["execution"] == "MAY_HAVE_RUN"
    await fleet.faults(fleet.object_api, outage=False)
    await fleet.answers(alone.peer_port, "/ready")


async def test_a_delayed_watch_response_reverts_nothing(fleet):
    first, second, third, version = await start_three(fleet)
    await fleet.faults(fleet.object_api, stale_ms=700)
    seen = {instance.name: 0 for instance in fleet.instances}
    for number in range(5):
        version = await apply_change(fleet, first, version, 1 + number)
        for instance in (first, second, third):
            got = await get_version(fleet, instance)
            assert got >= seen[instance.name]
            seen[instance.name] = got
    for instance in (first, second, third):
        await until_version(fleet, instance, version)


async def test_a_slow_api_delays_changes_and_loses_none(fleet):
    first, second, third, version = await start_three(fleet)
    await fleet.faults(fleet.object_api, slow_ms=800)
    for replicas in (2, 3):
        version = await apply_change(fleet, first, version, replicas)
    for instance in (first, second, third):
        await until_version(fleet, instance, version)


async def test_an_instance_that_joins_during_changes_gets_the_newest(fleet):
    first, _, _, version = await start_three(fleet)
    joining = fleet.instance("joining", heartbeat_ms=100)
    for replicas in range(1, 9):
        version = await apply_change(fleet, first, version, replicas)
    await fleet.ready()
    await until_version(fleet, joining, version)


async def test_an_instance_with_a_compacted_watch_applies_removals(fleet):
    link, address = fleet.link(fleet.object_api.address)
    first, _, _, version = await start_three(fleet)
    cut = fleet.instance("cut", heartbeat_ms=100, object_api=address)
    await fleet.ready()
    for instance in fleet.instances[:3]:
        instance.kill()
    await fleet.faults(link, cut=True)
    path = f"/objects/{KIND}/booking?if_version={version}"
    await fleet.post(fleet.object_api, path, {}, "DELETE")
    await fleet.faults(fleet.object_api, forget_before=version + 1)
    await fleet.faults(link, cut=False)

    async def gone():
        return await get_version(fleet, cut) == 0

    await fleet.until(gone, "the removed deployment is not active")


async def test_an_isolated_instance_reports_it_and_keeps_serving(fleet):
    engine = fleet.engine({"notes": "1"})
    link, address = fleet.link(fleet.object_api.address)
    other = fleet.instance("other", heartbeat_ms=100)
    cut = fleet.instance(
        "cut", heartbeat_ms=100, isolation_ms=1000, object_api=address
    )
    await fleet.ready()
    await until_members_known(fleet, fleet.instances)
    await builders.declare(fleet, other, builders.engines([engine]))
    await builders.serving(fleet, cut, 1)
    other.freeze()
    await fleet.faults(link, cut=True)
    await until_not_ready(fleet, cut)

    async def status_is_suspect():
        status = await fleet.call(cut, "Operator/Status")
        states = {
            entry["name"]: entry["state"] for entry in status.body["instances"]
        }
        return states["cut"] == "suspect"

    await fleet.until(
        status_is_suspect, "its status shows that it is isolated"
    )
    served = await fleet.call(
        cut, "Inference/Generate", model="notes", prompt="Boots?"
    )
    assert served.status == 200
    refused = await builders.apply(fleet, cut, builders.services(1))
    assert refused.body["code"] == "unavailable"
    other.thaw()
    await fleet.answers(cut.peer_port, "/ready")


async def test_racing_operators_are_each_in_the_history_once(fleet):
    *instances, version = await start_three(fleet)
    accepted_changes: list[tuple[int, str]] = []

    async def operate(number, instance):
        base = version
        for attempt in range(7):
            change_id = f"change-by-{number}-{attempt}"
            answer = await builders.apply(
                fleet,
                instance,
                builders.services(1 + attempt),
                base,
                author=f"operator-{number}",
                change_id=change_id,
            )
            if answer.status == 200:
                base = int(answer.body["version"])
                accepted_changes.append((base, change_id))
            else:
                assert answer.body["code"] == "aborted", answer
                assert "operator-" in answer.body["message"]
                base = await stored_version(fleet)

    async with anyio.create_task_group() as group:
        for number, instance in enumerate(instances):
            group.start_soon(operate, number, instance)
    assert accepted_changes
    answer = await fleet.call(
        instances[0], "Operator/History", name="booking", limit=1000
    )
    history = [
        (int(change["version"]), change["change_id"])
        for change in answer.body["changes"]
    ]
    assert history[:-1] == sorted(accepted_changes, reverse=True)
    for instance in instances:
        await until_version(fleet, instance, max(accepted_changes)[0])


async def stored_version(fleet):
    stored_now = await fleet.get(
        fleet.object_api.port, f"/objects/{KIND}/booking"
    )
    return stored_now.body["version"]


async def test_a_retired_deployment_returns_only_when_it_is_declared_anew(
    fleet,
):
    first, second, third, _ = await start_three(fleet)
    creation = {"change_id": builders.change_id(), "author": "hirut"}
    declared = builders.services(1, "stock")
    answer = await builders.apply(fleet, first, declared, **creation)
    version = int(answer.body["version"])
    third.freeze()
    answer = await fleet.call(
        second,
        "Operator/Retire",
        name="stock",
        expected_version=version,
        change_id=builders.change_id(),
        author="selin",
    )
    assert answer.status == 200, answer
    again = await builders.apply(fleet, second, declared, **creation)
    assert again.body["already_accepted"]
    assert int(again.body["version"]) == version
    third.thaw()
    for instance in fleet.instances:

        async def gone(instance=instance):
            return await get_version(fleet, instance, "stock") == 0

        await fleet.until(gone, f"{instance.name} has retired the deployment")
    newer = await builders.apply(
        fleet, third, builders.services(3, "stock"), author="selin"
    )
    assert newer.status == 200, newer
    await builders.apply(fleet, first, declared, **creation)
    await builders.in_force(fleet, int(newer.body["version"]))
    for instance in fleet.instances:
        shown = await fleet.call(instance, "Operator/Get", name="stock")
        assert len(shown.body["deployment"]["replicas"]) == 3


async def test_a_model_declared_twice_in_a_race_has_one_owner_everywhere(
    fleet,
):
    engines = [fleet.engine({"notes": "1"}) for _ in range(2)]
    for number in range(2):
        fleet.instance(f"i{number}", heartbeat_ms=100)
    await fleet.ready()
    await fleet.faults(fleet.object_api, stale_ms=1500)
    for number, instance in enumerate(fleet.instances):
        answer = await builders.apply(
            fleet,
            instance,
            builders.engines([engines[number]], name=f"assistant-{number}"),
        )
        assert answer.status == 200, answer
    version = int(answer.body["version"])
    await fleet.faults(fleet.object_api, stale_ms=0)
    await builders.in_force(fleet, version)
    for instance in fleet.instances:
        await builders.serving(fleet, instance, 2)
        answer = await fleet.call(
            instance, "Inference/Generate", model="notes", prompt="Boots?"
        )
        assert answer.status == 200, answer
        assert logged_finding_places(instance) == [
            "deployments[assistant-1].models[notes]"
        ]
    assert len((await fleet.record(engines[0]))["runs"]) == 2
    assert (await fleet.record(engines[1]))["runs"] == []


def logged_finding_places(instance: fleets.Process) -> list[str]:
    lines = [
        json.loads(line)
        for line in instance.log.read_text().split("\n")
        if line.startswith("{")
    ]
    return [
        line["place"]
        for line in lines
        if line.get("message_type") == "configuration_finding"
    ]
