"""Requests from a caller through an instance to an engine."""

import anyio
import pytest

from standins import engine
from tests import builders

pytestmark = pytest.mark.anyio


async def test_each_instance_serves_what_was_declared_at_one(fleet):
    served = fleet.engine({"notes": "1"})
    first, second = fleet.instance(), fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, first, builders.engines([served]))
    for instance in (first, second):
        await builders.serving(fleet, instance, 1)
        answer = await fleet.call(
            instance,
            "Inference/GenerateStream",
            model="notes",
            prompt="Which boots?",
            max_tokens=20,
        )
        text = "".join(line.get("text", "") for line in answer.lines)
        expected = engine.expected_tokens("notes", "", "Which boots?", 20)
        assert text == "".join(expected)
        assert answer.body["end"] == {"token_count": 20}


async def test_as_many_streams_as_the_limit_run_at_once(fleet):
    # Regression: requests and control shared a pool of 200 connections, and
    # a request that got none marked a healthy server as unreachable.
    served = fleet.engine({"notes": "1"}, "--max-in-flight", "400")
    instance = fleet.instance(max_requests=260)
    await fleet.ready()
    declared = builders.engines([served])
    declared["replicas"][0]["max_in_flight"] = 400
    await builders.declare(fleet, instance, declared)
    await builders.serving(fleet, instance, 1)
    await fleet.faults(served, token_ms=2000)
    outcomes = []

    async def ask(number):
        answer = await fleet.call(
            instance,
            "Inference/GenerateStream",
            model="notes",
            prompt=f"p{number}",
            max_tokens=2,
        )
        expected = engine.expected_tokens("notes", "", f"p{number}", 2)
        text = "".join(line.get("text", "") for line in answer.lines)
        outcomes.append(text == "".join(expected) and "end" in answer.body)

    async with anyio.create_task_group() as group:
        for number in range(250):
            group.start_soon(ask, number)
    assert outcomes == [True] * 250
