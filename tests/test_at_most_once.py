"""A non-idempotent call runs at most once, whichever component fails.

The tests count runs in the plain service's own record. Each test first waits
for the point of the call at which it injects its fault.
"""

import time

import anyio
import httpcore
import pytest

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.once import _at_most_once
from geraniumlink.once import _claims
from geraniumlink.once import _keys
from standins import fleet as fleets
from tests import builders

pytestmark = pytest.mark.anyio
CALL = "/geraniumlink.v1.Calls/Call"
DAY_MS = 24 * 60 * 60 * 1000


class Site:
    """A fleet of instances in front of a booking service."""

    def __init__(self, fleet, servers=1, instances=2, link=False):
        self.fleet = fleet
        self.services = [fleet.plain_service() for _ in range(servers)]
        self.service = self.services[0]
        self.api = fleet.object_api
        if link:
            # A link that the first instance reaches the object API through.
            self.link, address = fleet.link(self.api.address)
            fleet.instance(object_api=address)
        while len(fleet.instances) < instances:
            fleet.instance()
        self.first, self.second = fleet.instances[:2]

    async def start(self):
        await self.fleet.ready()
        await builders.declare(
            self.fleet, self.first, builders.plain(self.services)
        )
        await self.fleet.until(
            self._know_each_other, "instances know each other"
        )
        return self

    async def _know_each_other(self):
        for process in self.fleet.instances:
            status = await self.fleet.call(process, "Operator/Status")
            if len(status.body["instances"]) < len(self.fleet.instances):
                return False
        return True

    async def call(self, instance, key, **fields):
        request = builders.booking(key, **fields)
        return await self.fleet.post(instance, CALL, request)

    async def count_runs(self, key):
        """Return how often the servers that are up have run a key."""
        found = []
        for service in self.services:
            if service.running:
                record = await self.fleet.record(service)
                found += [run for run in record["runs"] if run["run"] == key]
        return len(found)

    async def until_run(self, key):
        async def begun():
            return await self.count_runs(key) > 0

        await self.fleet.until(begun, "the service runs it")

    async def claims(self):
        """Return every version of every claim, oldest first."""
        record = await self.fleet.record(self.api)
        return [
            entry["value"]
            for entry in record["history"]
            if entry["kind"].startswith("claims-")
        ]

    async def until_outcome(self, outcome):
        async def written():
            claims = await self.claims()
            return bool(claims) and claims[-1]["outcome"] == outcome

        await self.fleet.until(written, f"a claim says {outcome}")

    async def until_writes(self, count):
        async def reached():
            record = await self.fleet.record(self.api)
            return record["calls"].get("write", 0) >= count

        await self.fleet.until(reached, f"{count} writes were asked for")

    async def freeze_before_dispatch(self, group, key, **fields):
        """Freeze the first instance after its claim is written.

        Return a list that its answer is appended to.
        """
        await self.fleet.faults(self.api, hold_answers="claims-")
        answers = []
        group.start_soon(self.append_answer, answers, self.first, key, fields)
        await self.until_outcome("none")
        self.first.freeze()
        await self.fleet.faults(self.api, hold_answers=None)
        return answers

    async def append_answer(self, answers, instance, key, fields):
        answers.append(await self.call(instance, key, **fields))


def execution(answer):
    """Return the execution field of a refusal; fail on another answer."""
    assert answer.status >= 400, answer
    return answer.body["execution"]


def same_answer(one, other):
    return all(
        one.body[field] == other.body[field]
        for field in ("status", "headers", "body")
    )


async def test_a_resend_elsewhere_gets_the_answer_of_the_run(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    original = await site.call(site.first, key)
    assert original.status == 200 and not original.body.get("replayed")
    for instance in (site.second, site.first):
        again = await site.call(instance, key)
        assert again.body["replayed"] and same_answer(original, again)
    assert await site.count_runs(key) == 1


async def test_a_resend_elsewhere_joins_a_running_call(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.service, hold=True)
    answers = []
    async with anyio.create_task_group() as group:
        group.start_soon(site.append_answer, answers, site.first, key, {})
        await site.until_run(key)
        writes = (await fleet.record(site.api))["calls"]["write"]
        group.start_soon(site.append_answer, answers, site.second, key, {})
        await site.until_writes(writes + 1)
        await fleet.faults(site.service, hold=False)
    first, second = answers
    assert first.status == second.status == 200
    assert same_answer(first, second)
    assert await site.count_runs(key) == 1


async def test_concurrent_copies_at_all_instances_run_once(fleet):
    site = await Site(fleet, instances=4).start()
    keys = [builders.key() for _ in range(10)]
    answers = []
    async with anyio.create_task_group() as group:
        for key in keys:
            for instance in fleet.instances:
                group.start_soon(
                    site.append_answer, answers, instance, key, {}
                )
    assert [answer.status for answer in answers] == [200] * 40
    assert [await site.count_runs(key) for key in keys] == [1] * 10


async def test_a_claim_of_an_owner_frozen_before_dispatch_is_kept(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    async with anyio.create_task_group() as group:
        answers = await site.freeze_before_dispatch(group, key)
        refused = await site.call(site.second, key)
        assert execution(refused) == "MAY_HAVE_RUN"
        assert int(refused.body["retry_after_ms"]) > 0
        assert await site.count_runs(key) == 0
        site.first.thaw()
    assert answers[0].status == 200
    again = await site.call(site.second, key)
    assert again.body["replayed"] and same_answer(answers[0], again)
    assert await site.count_runs(key) == 1


async def test_an_owner_thawed_after_its_deadline_sends_nothing(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    # Later than the call's timeout.
    thaw_at = time.monotonic() + 2
    async with anyio.create_task_group() as group:
        answers = await site.freeze_before_dispatch(
            group, key, timeout_ms=1500
        )
        await fleet.until(
            lambda: time.monotonic() > thaw_at, "the deadline has passed"
        )
        site.first.thaw()
    assert answers[0].body["code"] == "deadline_exceeded"
    await site.until_outcome("not_run")
    assert await site.count_runs(key) == 0
    answer = await site.call(site.second, key)
    assert answer.status == 200 and not answer.body.get("replayed")
    assert await site.count_runs(key) == 1


async def test_a_claim_of_an_owner_frozen_after_dispatch_is_kept(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.service, hold=True)
    answers = []
    async with anyio.create_task_group() as group:
        group.start_soon(site.append_answer, answers, site.first, key, {})
        await site.until_run(key)
        site.first.freeze()
        await fleet.faults(site.service, hold=False)
        refused = await site.call(site.second, key)
        assert execution(refused) == "MAY_HAVE_RUN"
        site.first.thaw()
    again = await site.call(site.second, key)
    assert again.body["replayed"] and same_answer(answers[0], again)
    assert await site.count_runs(key) == 1


@pytest.mark.parametrize("dispatched", [False, True])
async def test_a_claim_of_a_killed_owner_is_kept(fleet, dispatched):
    site = await Site(fleet).start()
    key = builders.key()
    async with anyio.create_task_group() as group:
        if dispatched:
            await fleet.faults(site.service, hold=True)
            group.start_soon(_call_until_disconnected, site, key)
            await site.until_run(key)
        else:
            await fleet.faults(site.api, hold_answers="claims-")
            group.start_soon(_call_until_disconnected, site, key)
            await site.until_outcome("none")
        site.first.kill()
        await fleet.faults(site.api, hold_answers=None)
        await fleet.faults(site.service, hold=False)
    refused = await site.call(site.second, key)
    assert execution(refused) == "MAY_HAVE_RUN"
    site.first.start()
    await fleet.ready()
    refused = await site.call(site.second, key)
    assert execution(refused) == "MAY_HAVE_RUN"
    assert refused.body["code"] == "data_loss"
    assert await site.count_runs(key) == int(dispatched)


async def _call_until_disconnected(site, key):
    broken = (httpcore.NetworkError, httpcore.ProtocolError)
    with pytest.raises(broken):
        await site.call(site.first, key)


async def test_an_owner_cut_off_from_the_api_still_answers(fleet):
    site = await Site(fleet, link=True).start()
    key = builders.key()
    await fleet.faults(site.service, hold=True)
    answers = []
    async with anyio.create_task_group() as group:
        group.start_soon(site.append_answer, answers, site.first, key, {})
        await site.until_run(key)
        site.link.kill()
        await fleet.faults(site.service, hold=False)
    assert answers[0].status == 200
    again = await site.call(site.second, key)
    assert again.body["replayed"] and same_answer(answers[0], again)
    assert await site.count_runs(key) == 1


async def test_an_instance_cut_off_from_the_api_sends_nothing(fleet):
    site = await Site(fleet, link=True).start()
    key = builders.key()
    site.link.kill()
    refused = await site.call(site.first, key)
    assert execution(refused) == "MAY_HAVE_RUN"
    assert int(refused.body["retry_after_ms"]) > 0
    assert await site.count_runs(key) == 0
    answer = await site.call(site.second, key)
    # The instance that is cut off gets the outcome from its peer.
    again = await site.call(site.first, key)
    assert again.body["replayed"] and same_answer(answer, again)
    assert await site.count_runs(key) == 1


async def test_in_an_api_outage_only_known_calls_are_answered(fleet):
    site = await Site(fleet).start()
    known, new = builders.key(), builders.key()
    await fleet.faults(site.service, hold=True)
    answers = []
    async with anyio.create_task_group() as group:
        group.start_soon(site.append_answer, answers, site.first, known, {})
        await site.until_run(known)
        await fleet.faults(site.api, outage=True)
        for instance in fleet.instances:
            group.start_soon(site.append_answer, answers, instance, known, {})
        refused = await site.call(site.second, new)
        assert execution(refused) == "MAY_HAVE_RUN"
        assert int(refused.body["retry_after_ms"]) > 0
        assert await site.count_runs(new) == 0
        await fleet.faults(site.service, hold=False)
    assert all(same_answer(answers[0], answer) for answer in answers)
    assert await site.count_runs(known) == 1
    await fleet.faults(site.api, outage=False)
    answer = await site.call(site.first, new)
    assert answer.status == 200 and await site.count_runs(new) == 1


async def test_a_lost_answer_to_the_claim_does_not_block_its_owner(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.api, lose_answers=1)
    answer = await site.call(site.first, key)
    assert answer.status == 200 and not answer.body.get("replayed")
    assert await site.count_runs(key) == 1


async def test_another_request_under_a_used_key_is_refused(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    await site.call(site.first, key)
    for instance in fleet.instances:
        refused = await site.call(instance, key, path="/another")
        assert refused.body["code"] == "already_exists"
        assert execution(refused) == "NOT_RUN"
    assert await site.count_runs(key) == 1


async def test_an_expired_key_never_runs_and_is_refused_as_may_have_run(fleet):
    site = await Site(fleet).start()
    old = builders.key(time.time_ns() // 1_000_000 - DAY_MS - 1000)
    refused = await site.call(site.first, old)
    assert refused.body["code"] == "failed_precondition"
    assert execution(refused) == "MAY_HAVE_RUN"
    assert await site.count_runs(old) == 0


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({}, id="owner cut off from its peers"),
        pytest.param({"outcome": "a newer word"}, id="newer schema"),
        pytest.param({"owner": None}, id="corrupt"),
        pytest.param({"owner": {"name": "i9"}}, id="part of an owner"),
    ],
)
async def test_a_claim_without_a_known_outcome_is_not_taken_over(
    fleet, change
):
    site = await Site(fleet, instances=2).start()
    text = builders.key()
    key = _keys.Key(text, int(text.split("-")[0]))
    request = pb.CallRequest(**builders.booking(text) | {"body": b""})
    owner = _claims.Owner("i9", "boot", f"127.0.0.1:{fleets.free_port()}")
    digest = _at_most_once.compute_request_digest(request)
    claim = _claims.Claim("booking", key, digest, owner, "nonce")
    await fleet.post(
        site.api,
        f"/objects/{claim.kind}/{claim.name}?if_version=0",
        _claims.to_json(claim) | change,
        "PUT",
    )
    for instance in fleet.instances:
        refused = await site.call(instance, text, body="")
        assert execution(refused) == "MAY_HAVE_RUN"
        assert int(refused.body["retry_after_ms"]) > 0
    assert await site.count_runs(text) == 0


async def test_a_call_whose_connection_broke_is_not_sent_again(fleet):
    site = await Site(fleet, servers=2).start()
    key = builders.key()
    for service in site.services:
        await fleet.faults(service, lose_answers=1)
    refused = await site.call(site.first, key)
    assert execution(refused) == "MAY_HAVE_RUN"
    await site.until_outcome("unknown")
    for instance in fleet.instances:
        refused = await site.call(instance, key)
        assert execution(refused) == "MAY_HAVE_RUN"
    assert await site.count_runs(key) == 1


async def test_a_call_that_a_server_did_not_start_is_sent_to_another(fleet):
    site = await Site(fleet, servers=3).start()
    unreachable, refusing, _ = site.services
    unreachable.kill()
    await fleet.faults(refusing, refuse="full")
    keys = [builders.key() for _ in range(6)]
    for key in keys:
        answer = await site.call(site.first, key)
        assert answer.status == 200, answer
    assert [await site.count_runs(key) for key in keys] == [1] * 6


async def test_a_call_that_no_server_started_can_be_sent_again(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.service, refuse="full")
    for instance in fleet.instances:
        refused = await site.call(instance, key)
        assert execution(refused) == "NOT_RUN"
    await fleet.faults(site.service, refuse="")
    answer = await site.call(site.second, key)
    assert answer.status == 200 and not answer.body.get("replayed")
    assert await site.count_runs(key) == 1


async def test_a_call_whose_answer_is_too_large_to_keep_is_refused_as_ran(
    fleet,
):
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.service, answer_bytes=100_000)
    answer = await site.call(site.first, key)
    assert answer.status == 200
    refused = await site.call(site.second, key)
    assert execution(refused) == "RAN"
    assert await site.count_runs(key) == 1


async def test_a_resend_gets_the_answer_of_a_call_whose_caller_left(fleet):
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.service, hold=True)
    async with anyio.create_task_group() as group:
        group.start_soon(site.call, site.first, key)
        await site.until_run(key)
        group.cancel_scope.cancel()
    await fleet.faults(site.service, hold=False)
    await site.until_outcome("ran")
    answer = await site.call(site.second, key)
    assert answer.body["replayed"] and await site.count_runs(key) == 1


async def test_a_shutdown_records_a_run_whose_caller_has_left(fleet):
    # Regression: the process ended while the call was running, so a resend
    # was refused as MAY_HAVE_RUN although the server had answered.
    site = await Site(fleet).start()
    key = builders.key()
    await fleet.faults(site.service, hold=True)
    async with anyio.create_task_group() as group:
        group.start_soon(site.append_answer, [], site.first, key, {})
        await site.until_run(key)
        group.cancel_scope.cancel()
    site.first.terminate()

    async def is_leaving() -> bool:
        answer = await fleet.get(site.first.peer_port, "/ready")
        return answer is None or answer.status != 200

    await fleet.until(is_leaving, "the first instance is leaving")
    leaving_at = time.monotonic()
    # After the drain has ended, and before the limit on the wait for
    # outcomes that are not recorded.
    await fleet.until(
        lambda: time.monotonic() > leaving_at + 1.5, "the drain has ended"
    )
    await fleet.faults(site.service, hold=False)
    assert site.first.wait() == 0
    answer = await site.call(site.second, key)
    assert answer.status == 200 and answer.body["replayed"]
    assert await site.count_runs(key) == 1
