"""A request goes from a caller through an instance to an engine and back."""

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
