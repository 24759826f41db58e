"""Tests that answers stay complete when replicas or connections fail."""

import anyio
import pytest

from tests import builders
from tests import streaming

pytestmark = pytest.mark.anyio


async def _start_fleet(fleet, engines=2, instances=1, token_ms=10, **settings):
    engine_processes = [
        fleet.engine({"notes": "1"}, "--max-in-flight", "400")
        for _ in range(engines)
    ]
    started = [fleet.instance(**settings) for _ in range(instances)]
    await fleet.ready()
    for process in engine_processes:
        await fleet.faults(process, token_ms=token_ms)
    deployment = builders.engines(engine_processes)
    for replica in deployment["replicas"]:
        replica["max_in_flight"] = 400
    await builders.declare(fleet, started[0], deployment)
    for instance in started:
        await builders.serving(fleet, instance, engines)
    return engine_processes, started


async def _generating_engine(fleet, engine_processes):
    """Return the engine that is still generating an answer."""
    for process in engine_processes:
        runs = (await fleet.record(process))["runs"]
        if any(not run["ended"] for run in runs):
            return process
    raise AssertionError("no engine runs anything")


@pytest.mark.parametrize("failure", ("kill", "freeze"))
async def test_an_answer_is_resumed_when_its_replica_dies_or_freezes(
    fleet, failure
):
    engine_processes, (instance,) = await _start_fleet(fleet)
    async with streaming.open_stream(fleet, instance, "Boots?") as stream:
        await stream.read(10)
        failed = await _generating_engine(fleet, engine_processes)
        getattr(failed, failure)()
        lines = await stream.finish()
    streaming.assert_whole(lines, "Boots?")
    (other,) = [
        process for process in engine_processes if process is not failed
    ]
    (run,) = (await fleet.record(other))["runs"]
    # Resumed after the tokens that the caller has, not from the start.
    assert run["offset"] >= 10


@pytest.mark.parametrize("switch", ("cut_after", "stall_after", "close_after"))
async def test_an_answer_is_resumed_when_its_stream_breaks(fleet, switch):
    engine_processes, (instance,) = await _start_fleet(fleet, engines=3)
    await fleet.faults(engine_processes[0], **{switch: 30})
    await fleet.faults(engine_processes[1], **{switch: 60})
    lines = await streaming.generate(fleet, instance, "Boots?")
    streaming.assert_whole(lines, "Boots?")


@pytest.mark.parametrize("switch", ("cut_after", "close_after"))
async def test_an_answer_that_cannot_be_completed_ends_in_an_error(
    fleet, switch
):
    engine_processes, (instance,) = await _start_fleet(fleet)
    for process in engine_processes:
        await fleet.faults(process, **{switch: 30})
    lines = await streaming.generate(fleet, instance, "Boots?")
    assert not any("end" in line for line in lines)
    assert lines[-1]["error"]["code"] == "data_loss"
    assert lines[-1]["error"]["execution"] == "MAY_HAVE_RUN"
    assert streaming.text_of(lines) == streaming.expected("Boots?", 30)
    answer = await fleet.call(
        instance, "Inference/Generate", model="notes", prompt="Boots?"
    )
    assert answer.status >= 500
    assert "text" not in answer.body
    assert answer.body["execution"] == "MAY_HAVE_RUN"


async def test_a_request_timed_out_before_any_token_may_have_run(fleet):
    _, (instance,) = await _start_fleet(fleet, token_ms=60_000)
    answer = await fleet.call(
        instance,
        "Inference/Generate",
        model="notes",
        prompt="Boots?",
        timeout_ms=300,
    )
    assert answer.body["code"] == "deadline_exceeded"
    assert answer.body["execution"] == "MAY_HAVE_RUN"


async def test_an_empty_stream_without_an_end_may_have_run(fleet):
    engine_processes, (instance,) = await _start_fleet(fleet)
    for process in engine_processes:
        await fleet.faults(process, close_after=0)
    answer = await fleet.call(
        instance, "Inference/Generate", model="notes", prompt="Boots?"
    )
    assert answer.body["execution"] == "MAY_HAVE_RUN"


async def test_generation_is_cancelled_when_the_caller_leaves(fleet):
    engine_processes, (instance,) = await _start_fleet(fleet, token_ms=50)
    async with streaming.open_stream(
        fleet, instance, "Boots?", count=8192, timeout_ms=600_000
    ) as stream:
        await stream.read(3)
        running = await _generating_engine(fleet, engine_processes)

    async def stopped() -> bool:
        report = await fleet.get(running.port, "/report")
        return report.body["in_flight"] == 0

    await fleet.until(stopped, "the engine stopped generating")
    (run,) = (await fleet.record(running))["runs"]
    assert not run["ended"]


async def test_connections_to_engines_are_reused(fleet):
    """Guards against closing a response before it was read to its end.

    Each answer would then need a new connection. The report interval is
    longer than the test, because a report that is requested during an
    answer opens another connection.
    """
    engine_processes, (instance,) = await _start_fleet(
        fleet, engines=1, report_ms=60_000
    )
    for number in range(5):
        await streaming.generate(fleet, instance, f"Boots {number}?", 5)
    runs = (await fleet.record(engine_processes[0]))["runs"]
    assert [run["ended"] for run in runs] == [True] * 5
    assert len({run["connection"] for run in runs}) == 1


async def test_three_hundred_streams_at_once_do_not_mix(fleet):
    engine_processes, instances = await _start_fleet(
        fleet, engines=4, instances=3
    )
    for delay, process in enumerate(engine_processes):
        await fleet.faults(
            process,
            token_ms=5 + 7 * delay,
            duplicate=True,
            reorder=True,
            foreign=True,
        )
    answers = {}

    async def ask(number):
        prompt = f"Which boots for guest {number}?"
        instance = instances[number % len(instances)]
        answers[prompt] = await streaming.generate(fleet, instance, prompt, 20)

    async with anyio.create_task_group() as group:
        for number in range(300):
            group.start_soon(ask, number)
    assert len(answers) == 300
    for prompt, lines in answers.items():
        streaming.assert_whole(lines, prompt, 20)
