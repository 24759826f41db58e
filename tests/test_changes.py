"""Accepted changes are written once, and known for ever."""

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.configuration import _audit
from geraniumlink.configuration import _changes
from geraniumlink.configuration import _configuration
from geraniumlink.configuration import _tombstones
from geraniumlink.requests import _refusals
from tests import builders

pytestmark = pytest.mark.anyio

DAY_MS = 24 * 3_600_000


class Operators:
    """Accepts changes to one deployment through several instances."""

    def __init__(self, fleet) -> None:
        address = _settings.parse_address(fleet.object_api.address)
        self.client = _http.Client()
        self.api = _objects.ObjectApi(self.client, address)
        self.clock = _clock.ManualClock()
        self.changes = [
            _changes.ChangeStore(self.api, f"i{number}", self.clock)
            for number in range(3)
        ]

    async def accept(self, request, instance=0):
        return await self.changes[instance].accept(request)

    async def declare_times(self, count, version=0) -> int:
        for number in range(count):
            request = declare(version, replicas=1 + number % 3)
            version = (await self.accept(request)).ok.version
        return version

    async def history(self, name="booking", limit=10_000):
        return await self.changes[0].history(name, limit)

    async def deployment(self, name="booking"):
        current = await self.api.get(_configuration.KIND, name)
        return _audit.read(current)["deployment"]


@pytest.fixture
async def operators(fleet):
    await fleet.ready()
    made = Operators(fleet)
    yield made
    await made.client.close()


def declare(expected_version=0, replicas=1, author="hirut", **fields):
    request = _changes.ChangeRequest(
        "booking",
        _changes.Declare(builders.services(replicas)),
        expected_version,
        builders.change_id(),
        author,
    )
    return request._replace(**fields)


def retire(expected_version, **fields):
    return declare(expected_version, edit=_changes.Retire(), **fields)


async def test_loser_of_a_race_is_told_who_won_and_at_which_version(operators):
    first = await operators.accept(declare(author="hirut"))
    lost = await operators.accept(declare(author="selin"), instance=1)
    assert lost.error.code is _refusals.Code.ABORTED
    assert "hirut" in lost.error.message
    assert f"version {first.ok.version}" in lost.error.message


async def test_lost_answer_is_resolved_within_the_call(fleet, operators):
    await fleet.faults(fleet.object_api, lose_answers=1)
    accepted = await operators.accept(declare())
    assert accepted.is_ok()
    assert len(await operators.history()) == 1


async def test_outage_right_after_a_lost_answer_is_resolved_by_change_id(
    fleet, operators
):
    await fleet.faults(fleet.object_api, lose_answers=1, outage_after_writes=1)
    request = declare()
    unknown = await operators.accept(request)
    assert unknown.error.execution is _refusals.Execution.MAY_HAVE_RUN
    assert unknown.error.retry_after_ms > 0
    await fleet.faults(fleet.object_api, outage=False)
    again = await operators.accept(request, instance=1)
    assert again.ok.already_accepted
    assert len(await operators.history()) == 1


async def test_archived_creation_sent_again_does_not_undo_a_retirement(
    operators,
):
    creation = declare()
    version = (await operators.accept(creation)).ok.version
    created = version
    version = await operators.declare_times(60, version)
    assert (await operators.accept(retire(version))).is_ok()
    again = await operators.accept(creation, instance=1)
    assert again.ok == _changes.AcceptedChange(created, already_accepted=True)
    assert await operators.deployment() is None


async def test_archived_change_sent_again_is_recognised(operators):
    version = await operators.declare_times(1)
    old = declare(version, replicas=7)
    accepted = (await operators.accept(old)).ok
    await operators.declare_times(60, accepted.version)
    again = await operators.accept(old, instance=2)
    assert again.ok == _changes.AcceptedChange(
        accepted.version, already_accepted=True
    )


async def test_history_is_whole_and_in_order_across_archives(operators):
    await operators.declare_times(75)
    history = await operators.history()
    assert len(history) == 75
    versions = [entry.version for entry in history]
    assert versions == sorted(versions, reverse=True)
    bases = [entry.change["base_version"] for entry in history]
    assert bases == [*versions[1:], 0]


async def test_change_id_of_another_change_is_refused(operators):
    first = declare()
    await operators.accept(first)
    other = declare(replicas=2, change_id=first.change_id)
    refused = await operators.accept(other, instance=1)
    assert refused.error.code is _refusals.Code.ALREADY_EXISTS
    assert len(await operators.history()) == 1


async def test_drain_keeps_a_change_that_its_instance_has_not_seen(operators):
    version = await operators.declare_times(1)
    newer = (await operators.accept(declare(version, replicas=3))).ok.version
    drain = declare(newer, edit=_changes.Drain("r0", undo=False))
    await operators.accept(drain, instance=2)
    replicas = (await operators.deployment())["replicas"]
    draining = [replica.get("draining", False) for replica in replicas]
    assert draining == [True, False, False]


async def test_drain_of_an_unknown_replica_changes_nothing(operators):
    version = await operators.declare_times(1)
    drain = declare(version, edit=_changes.Drain("r9", undo=False))
    refused = await operators.accept(drain)
    assert refused.error.code is _refusals.Code.NOT_FOUND
    assert len(await operators.history()) == 1


async def test_racing_operators_are_all_in_one_history(operators):
    accepted = []

    async def work(number):
        done = 0
        while done < 12:
            current = await operators.api.get(_configuration.KIND, "booking")
            request = declare(current.version, author=f"o{number}")
            outcome = await operators.accept(request, number)
            if outcome.is_ok():
                accepted.append((outcome.ok.version, request.change_id))
                done += 1
            else:
                assert outcome.error.code is _refusals.Code.ABORTED

    async with anyio.create_task_group() as group:
        for number in range(3):
            group.start_soon(work, number)
    history = await operators.history()
    assert sorted(accepted, reverse=True) == [
        (entry.version, entry.change["change_id"]) for entry in history
    ]


async def test_old_tombstones_are_removed_and_their_changes_stay_known(
    operators,
):
    creation = declare()
    version = (await operators.accept(creation)).ok.version
    retirement = retire(version)
    await operators.accept(retirement)
    before = await operators.history()
    now = operators.clock.wall()
    assert await _tombstones.remove_expired(operators.api, now) == []
    removed = await _tombstones.remove_expired(operators.api, now + 2 * DAY_MS)
    assert removed == ["booking"]
    listing = await operators.api.list(_configuration.KIND)
    assert listing.objects == []
    assert await operators.history() == before
    for request in (creation, retirement):
        assert (
            await operators.accept(request, instance=1)
        ).ok.already_accepted
    assert await operators.deployment() is None
    assert (await operators.accept(declare())).is_ok()
    assert len(await operators.history()) == 3


async def test_an_object_that_is_no_deployment_is_refused_not_replaced(
    operators,
):
    await operators.api.put(_configuration.KIND, "booking", [1, 2], 0)
    refused = await operators.accept(declare())
    assert refused.error.code is _refusals.Code.FAILED_PRECONDITION
    stored = await operators.api.get(_configuration.KIND, "booking")
    assert stored.value == [1, 2]


async def test_a_deployment_larger_than_the_api_holds_is_refused(operators):
    huge = builders.services(1) | {"name": "x" * _objects.MAX_VALUE_BYTES}
    refused = await operators.accept(declare(edit=_changes.Declare(huge)))
    assert refused.error.code is _refusals.Code.INVALID_ARGUMENT


async def test_the_stand_in_takes_one_of_many_writes_onto_one_version(
    operators,
):
    won = []

    async def write(number):
        try:
            await operators.api.put("kind", "name", {"by": number}, 0)
            won.append(number)
        except _objects.ConflictError:
            pass

    async with anyio.create_task_group() as group:
        for number in range(50):
            group.start_soon(write, number)
    assert len(won) == 1
