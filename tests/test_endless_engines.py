"""Engines that send tokens or reports without end."""

import contextlib

import anyio
import pytest

from geraniumlink.requests import _inference
from tests import builders
from tests import endless

pytestmark = pytest.mark.anyio

_CHANGE_INTERVAL_S = 0.4
_SIZE_MB = 100
# Target of the plan for control on a node.
_CONTROL_KB = 64_000
_FAULTY_ENGINES = 6
_MEASURED_S = 3


async def _start_instance(fleet, addresses):
    """Start an instance; return it and the version of the deployment."""
    instance = fleet.instance()
    await fleet.ready()
    declared = builders.engines(addresses)
    version = await builders.declare(fleet, instance, declared)
    await builders.serving(fleet, instance, len(addresses))
    return instance, version


async def _change_configuration(fleet, instance, addresses, version):
    while True:
        await anyio.sleep(_CHANGE_INTERVAL_S)
        declared = builders.engines(addresses, size_mb=_SIZE_MB + version)
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
@pytest.mark.serial
async def test_tokens_without_end_fill_the_memory(
    fleet, max_tokens, tokens, characters
):
    engine = fleet.engine({"notes": "1"})
    instance, version = await _start_instance(fleet, [engine.address])
    idle_kb = instance.peak_kb()
    await fleet.faults(engine, more_tokens=tokens, long_token=characters)
    async with anyio.create_task_group() as group:
        group.start_soon(
            _change_configuration, fleet, instance, [engine.address], version
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


@pytest.mark.serial
async def test_reports_without_end_fill_the_memory(fleet):
    engines = [fleet.engine({"notes": "1"}) for _ in range(_FAULTY_ENGINES)]
    async with contextlib.AsyncExitStack() as stack:
        proxies = [
            await stack.enter_async_context(
                endless.Proxy(engine.port, prefix="/report").serve()
            )
            for engine in engines
        ]
        addresses = [proxy.address for proxy in proxies]
        instance, version = await _start_instance(fleet, addresses)
        async with anyio.create_task_group() as group:
            group.start_soon(
                _change_configuration, fleet, instance, addresses, version
            )
            for proxy in proxies:
                proxy.part = "body"
            await anyio.sleep(_MEASURED_S)
            group.cancel_scope.cancel()
    assert all(proxy.requests for proxy in proxies)
    assert instance.peak_kb() <= _CONTROL_KB
