"""Overload through real processes: every outcome is right, at any speed."""

import anyio
import pytest

from benches import overload
from standins import engine
from tests import builders

pytestmark = [pytest.mark.anyio, pytest.mark.serial]

REQUESTS = 60
TOKENS = 5


async def test_beyond_capacity_each_request_is_whole_or_truly_not_run(fleet):
    engines = [
        fleet.engine({"notes": "1"}, "--slots=2", "--max-in-flight=3")
        for _ in range(2)
    ]
    instances = [fleet.instance(), fleet.instance()]
    await fleet.ready()
    deployment = builders.engines(engines)
    for replica in deployment["replicas"]:
        replica["max_in_flight"] = 2
    await builders.declare(fleet, instances[0], deployment)
    for instance in instances:
        await builders.serving(fleet, instance, 2)
    answers = {}

    async def ask(number):
        answers[number] = await fleet.call(
            instances[number % 2],
            "Inference/GenerateStream",
            model="notes",
            prompt=f"p{number}",
            max_tokens=TOKENS,
        )

    async with anyio.create_task_group() as group:
        for number in range(REQUESTS):
            group.start_soon(ask, number)
    ended = []
    for process in engines:
        runs = (await fleet.record(process))["runs"]
        ended += [run["request_id"] for run in runs]
    whole = 0
    for number, answer in answers.items():
        if answer.status == 200:
            text = "".join(line.get("text", "") for line in answer.lines)
            expected = engine.expected_tokens(
                "notes", "", f"p{number}", TOKENS
            )
            assert text == "".join(expected)
            whole += 1
        else:
            assert answer.body["code"] in ("resource_exhausted", "unavailable")
            assert answer.body["execution"] == "NOT_RUN"
            assert int(answer.body["retry_after_ms"]) > 0
            assert answer.body["request_id"] not in ended
    assert 0 < whole < REQUESTS
    assert len(ended) == whole


async def test_the_bench_runs_to_its_end_with_each_router():
    options = overload.Options(
        instances=2,
        engines=2,
        seconds=1.5,
        warm_up_seconds=0.2,
        loads=[0.5],
        routers=["geraniumlink", "least_reported"],
        report_ms=200,
        report_lag_ms=200,
        time_scale=1.0,
        seed=1,
    )
    result = await overload.run(options)
    points = result["points"]
    assert [point["router"] for point in points] == options.routers
    assert all(point["requests"] > 0 for point in points)
