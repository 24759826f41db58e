"""Engines that send tokens without end."""

import anyio
import pytest

from geraniumlink.requests import _inference
from tests import builders

pytestmark = pytest.mark.anyio

_CHANGE_INTERVAL_S = 0.4
_SIZE_MB = 100


async def _start_site(fleet):
    """Start an instance with a faulty engine."""
    engine = fleet.engine({"notes": "1"})
    instance = fleet.instance()
    await fleet.ready()
    declared = builders.engines([engine])
    version = await builders.declare(fleet, instance, declared)
    await builders.serving(fleet, instance, 1)
    return engine, instance, version


async def _change_configuration(fleet, instance, engine, version):
    while True:
        await anyio.sleep(_CHANGE_INTERVAL_S)
        declared = builders.engines([engine], size_mb=_SIZE_MB + version)
        answer = await builders.apply(fleet, instance, declared, version)
        assert answer.status == 200
        version = int(answer.body["version"])


@pytest.mark.parametrize(
    ("max_tokens", "tokens", "characters"),
    (
        (10, 1000, 100),
        (_inference.MAX_MAX_TOKENS, 1, 200_000),
    ),
    ids=("tokens", "long_tokens"),
)
async def test_tokens_without_end_fill_the_memory(
    fleet, max_tokens, tokens, characters
):
    engine, instance, version = await _start_site(fleet)
    idle_kb = instance.peak_kb()
    await fleet.faults(engine, more_tokens=tokens, long_token=characters)
    async with anyio.create_task_group() as group:
        group.start_soon(
            _change_configuration, fleet, instance, engine, version
        )
        answer = await fleet.call(
            instance,
            "Inference/Generate",
            model="notes",
            prompt="p",
            max_tokens=max_tokens,
            timeout_ms=5000,
        )
        group.cancel_scope.cancel()
    assert answer.status == 503
    assert instance.peak_kb() <= 1.1 * idle_kb
