"""The holder of a shard loads what is declared, within its limits."""

import pytest

from tests import builders

pytestmark = pytest.mark.anyio


async def test_a_model_that_no_engine_holds_becomes_reachable(fleet):
    engines = [fleet.engine(), fleet.engine()]
    instance = fleet.instance()
    await fleet.ready()
    deployment = builders.engines(engines, ("notes", "reports", "trails"))
    await builders.declare(fleet, instance, deployment)
    await builders.serving(fleet, instance, 2)

    async def answered():
        answer = await fleet.call(
            instance, "Inference/Generate", model="trails", prompt="Where?"
        )
        return answer.status == 200

    await fleet.until(answered, "the model is served")
