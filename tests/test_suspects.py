"""A request that crashes backend servers takes down two of them at most."""

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink.suspicion import _suspicions
from tests import builders
from tests import streaming

pytestmark = pytest.mark.anyio

_POISON = "poison: a prompt that ends engines"


async def _start(fleet, engines=4, instances=3):
    served = [fleet.engine({"notes": "1"}) for _ in range(engines)]
    started = [fleet.instance() for _ in range(instances)]
    await fleet.ready()
    for process in served:
        await _arm(fleet, process)
    await builders.declare(fleet, started[0], builders.engines(served))
    for instance in started:
        await builders.serving(fleet, instance, engines)
        await _knows_peers(fleet, instance, instances)
    return served, started


async def _arm(fleet, process) -> None:
    await fleet.faults(process, crash_on="poison", token_ms=20)


async def _knows_peers(fleet, instance, count) -> None:
    async def known() -> bool:
        status = await fleet.call(instance, "Operator/Status")
        return len(status.body.get("instances", ())) == count

    await fleet.until(known, f"{instance.name} knows {count} instances")


async def _send_poison(fleet, instance, answers, **fields):
    answers.append(
        await fleet.call(
            instance,
            "Inference/Generate",
            model="notes",
            prompt=_POISON,
            **fields,
        )
    )


def _count_dead(served) -> int:
    return sum(1 for process in served if not process.running)


async def _outage(fleet, outage) -> None:
    if outage:
        await fleet.faults(fleet.object_api, outage=True)


@pytest.mark.parametrize("outage", (False, True), ids=("", "api_outage"))
async def test_sent_again_through_each_instance_in_turn(fleet, outage):
    served, instances = await _start(fleet)
    await _outage(fleet, outage)
    answers = []
    for instance in instances * 2:
        await _send_poison(fleet, instance, answers)
        # A platform that starts dead engines again offers new victims.
        for process in served:
            if not process.running:
                process.deaths = getattr(process, "deaths", 0) + 1
                process.start()
                await fleet.answers(process.port, "/record")
                await _arm(fleet, process)
    assert sum(getattr(process, "deaths", 0) for process in served) <= 2
    for answer in answers:
        assert answer.body["code"] == "failed_precondition"
        assert answer.body["execution"] == "MAY_HAVE_RUN"
        assert "retry_after_ms" not in answer.body


@pytest.mark.parametrize("outage", (False, True), ids=("", "api_outage"))
async def test_sent_through_all_instances_at_once(fleet, outage):
    served, instances = await _start(fleet)
    await _outage(fleet, outage)
    answers = []
    async with anyio.create_task_group() as group:
        for instance in instances * 2:
            group.start_soon(_send_poison, fleet, instance, answers)
    assert _count_dead(served) <= 2
    codes = {answer.body["code"] for answer in answers}
    assert codes == {"failed_precondition"}
    for instance in instances:
        await _send_poison(fleet, instance, answers)
        assert answers[-1].body["code"] == "failed_precondition"
    assert _count_dead(served) <= 2


@pytest.mark.parametrize("outage", (False, True), ids=("", "api_outage"))
async def test_answers_in_flight_beside_it_finish_whole(fleet, outage):
    served, instances = await _start(fleet)
    await _outage(fleet, outage)
    answers, streams = [], {}

    async def ask(number):
        prompt = f"innocent {number}"
        streams[prompt] = await streaming.generate(
            fleet, instances[number % 3], prompt, 40
        )

    async def running() -> bool:
        in_flight = 0
        for process in served:
            report = await fleet.get(process.port, "/report")
            in_flight += report.body["in_flight"]
        return in_flight == 12

    async with anyio.create_task_group() as group:
        for number in range(12):
            group.start_soon(ask, number)
        await fleet.until(running, "all streams run")
        await _send_poison(fleet, instances[0], answers)
    assert _count_dead(served) <= 2
    assert answers[0].body["code"] == "failed_precondition"
    for prompt, lines in streams.items():
        streaming.assert_whole(lines, prompt, 40)


async def test_an_innocent_request_leaves_suspicion_when_it_completes(fleet):
    """Each run loses a server; the crashes are not added up."""
    served, (instance,) = await _start(fleet, engines=3, instances=1)
    for _ in range(3):
        async with streaming.open_stream(
            fleet, instance, "Boots?", 40
        ) as stream:
            await stream.read(3)
            lost = await _running_on(fleet, served)
            lost.kill()
            lines = await stream.finish()
        streaming.assert_whole(lines, "Boots?", 40)
        lost.start()
        await fleet.answers(lost.port, "/record")
        await _arm(fleet, lost)
        await builders.serving(fleet, instance, 3)


async def test_many_suspects_do_not_wait_for_each_others_ends(fleet):
    """Each is on trial for some tokens, not for its whole answer."""
    served, (instance,) = await _start(fleet, engines=3, instances=1)
    streams = {}

    async def ask(number):
        prompt = f"innocent {number}"
        streams[prompt] = await streaming.generate(
            fleet, instance, prompt, 300, timeout_ms=25_000
        )

    async def running() -> bool:
        report = await fleet.get(served[0].port, "/report")
        return report.body["in_flight"] >= 7

    async with anyio.create_task_group() as group:
        for number in range(30):
            group.start_soon(ask, number)
        await fleet.until(running, "the first engine has its share")
        served[0].kill()
    for prompt, lines in streams.items():
        streaming.assert_whole(lines, prompt, 300)


async def _running_on(fleet, served):
    for process in served:
        report = await fleet.get(process.port, "/report")
        if report.body["in_flight"]:
            return process
    raise AssertionError("no engine runs anything")


async def test_a_cut_connection_alone_is_no_crash(fleet):
    """Twice cut off by servers that stay up: not refused finally."""
    served, instances = await _start(fleet, engines=3, instances=1)
    for process in served[:2]:
        await fleet.faults(process, cut_after=5)
    for _ in range(4):
        lines = await streaming.generate(fleet, instances[0], "Boots?", 20)
        streaming.assert_whole(lines, "Boots?", 20)


async def test_an_instance_that_was_frozen_learns_what_it_missed(fleet):
    served, instances = await _start(fleet)
    instances[2].freeze()
    answers = []
    await _send_poison(fleet, instances[0], answers)
    assert _count_dead(served) == 2
    instances[2].thaw()

    def learned() -> bool:
        return "CONFIRMED" in instances[2].log.read_text()

    await fleet.until(learned, "the thawed instance compared tables")
    await _send_poison(fleet, instances[2], answers)
    assert answers[-1].body["code"] == "failed_precondition"
    assert _count_dead(served) == 2


async def test_an_instance_that_pauses_briefly_is_told_at_once(fleet):
    """It misses no news; a busy machine pauses for longer than a call."""
    served, instances = await _start(fleet)
    answers = []
    instances[2].freeze()
    async with anyio.create_task_group() as group:
        group.start_soon(_send_poison, fleet, instances[0], answers)
        await anyio.sleep(1.0)
        instances[2].thaw()
    assert _count_dead(served) == 2
    await _send_poison(fleet, instances[2], answers)
    assert answers[-1].body["code"] == "failed_precondition"
    assert _count_dead(served) == 2


async def test_an_instance_that_starts_later_learns_what_it_missed(fleet):
    served, instances = await _start(fleet, instances=2)
    answers = []
    await _send_poison(fleet, instances[0], answers)
    late = fleet.instance()
    await fleet.ready()

    def learned() -> bool:
        return "CONFIRMED" in late.log.read_text()

    await fleet.until(learned, "the late instance compared tables")
    await _send_poison(fleet, late, answers)
    assert answers[-1].body["code"] == "failed_precondition"
    assert _count_dead(served) == 2


_crashes = st.sampled_from(
    [_suspicions.ServerProcess(f"10.0.0.{n}:1", f"boot{n}") for n in range(3)]
)


@st.composite
def _histories(draw):
    """What several instances noted about one request, in some order."""
    return draw(st.lists(_crashes | st.just("completed"), max_size=6))


@hypothesis.given(st.lists(_histories(), min_size=2, max_size=4), st.data())
def test_tables_agree_whatever_order_messages_come_in(histories, data):
    clock = _clock.ManualClock()
    tables = []
    for history in histories:
        table = _suspicions.SuspicionTable(clock)
        for step in history:
            if step == "completed":
                table.clear_crashes("f")
            else:
                table.add_crash("f", step)
        tables.append(table)
    sent = [_suspicions.to_json(table.latest()) for table in tables]
    for table in tables:
        # Every message, in any order, some twice.
        order = data.draw(st.permutations(sent + sent[:2]))
        for message in order:
            table.merge(_suspicions.from_json(message))
    assert len({table.standing("f") for table in tables}) == 1
    assert len({str(table.latest()) for table in tables}) >= 1


def test_the_table_is_bounded_and_forgets():
    clock = _clock.ManualClock()
    table = _suspicions.SuspicionTable(clock)
    crash = _suspicions.ServerProcess("10.0.0.1:1", "boot")
    for number in range(2 * _suspicions.MAX_SUSPICIONS):
        table.add_crash(f"f{number}", crash)
    assert len(table) <= _suspicions.MAX_SUSPICIONS
    assert len(table.latest()) == _suspicions.MAX_SENT
    clock.advance(_suspicions.EXPIRY_MS + 1)
    assert table.latest() == []
    assert table.standing("f1") is _suspicions.Standing.CLEAR


@pytest.mark.parametrize(
    "message",
    (
        None,
        [[]],
        [["f", [], [], "soon"]],
        [["f", [["a"]], [], 1]],
        [["f" * 1000, [], [], 1]],
        [["f", [["a", "b"]] * 9, [], 1]],
        [["f", [], [], 1]] * 65,
    ),
)
def test_a_message_that_makes_no_sense_is_refused(message):
    with pytest.raises(ValueError):
        _suspicions.from_json(message)
