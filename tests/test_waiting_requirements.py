"""Waiting for many models costs the controller little processor time."""

import random
import time

import anyio
import pytest

from emulator import _control_plane
from emulator import _engines
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.residency import _requirements
from tests import emulated_controller

_SITE = _sites.Site(
    instances=1,
    engines=70,
    models=_sites.model_names(305),
    loads_per_s=20.0,
)
_DURATION_MS = 4000
# 10 instances wait for each of 100 models: a burst of requests for rare ones.
_MODELS_WAITED_FOR = 100
_CALLS_PER_MODEL = 10


def _make_engines():
    """Return engines that hold the models which nobody waits for."""
    held = _SITE.models[_MODELS_WAITED_FOR:]
    random_source = random.Random(1)
    engines = []
    for number in range(_SITE.engines):
        residents = random_source.sample(held, 3)
        engines.append(
            _engines.Engine(number, _SITE.engine, _SITE, residents, residents)
        )
    return engines


async def _play(clock):
    engines = _make_engines()
    controller, _ = emulated_controller.make_controller(
        _SITE,
        engines,
        _control_plane.EngineOrderClient(engines, clock),
        clock,
    )

    async def wait_for(model):
        requirement = _requirements.Requirement(_sites.SERVICE, model, "")
        while True:
            answer = await controller.ensure_resident(
                requirement, set(), 30_000
            )
            if isinstance(answer, _requirements.Resident):
                return

    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        # Until the reports of all engines are there.
        await clock.sleep(1000)
        began = time.process_time()
        for model in _SITE.models[:_MODELS_WAITED_FOR]:
            for _ in range(_CALLS_PER_MODEL):
                group.start_soon(wait_for, model)
        await clock.sleep(_DURATION_MS)
        took_ms = (time.process_time() - began) * 1000
        group.cancel_scope.cancel()
    return took_ms


@pytest.mark.serial
def test_waiting_calls_leave_the_controller_half_of_a_slow_core():
    """A slow core is half as fast as one that runs this test."""
    took_ms = _virtual_time.run(_play)
    assert took_ms < _DURATION_MS / 2 / 2
