"""Waiting for many models costs the controller little processor time."""

import random
import time

import anyio

from emulator import _control_plane
from emulator import _engines
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.residency import _controller
from geraniumlink.residency import _requirements
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _replicas

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


class _Leadership:
    epoch = 1
    guard_ms = 0

    def may_order(self):
        return True


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
    replicas = _replicas.Replicas(clock, 2000)
    for engine in engines:
        replicas.update(engine.registry_entry())
    active = _active_configuration.ActiveConfiguration()
    active.apply_if_newer(_sites.make_configuration(_SITE))
    controller = _controller.Controller(
        active_configuration=active,
        replicas=replicas,
        leadership=_Leadership(),
        orders=_control_plane.EngineOrderClient(engines, clock),
        clock=clock,
        instance="i1",
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


def test_waiting_calls_leave_the_controller_half_of_a_slow_core():
    """A slow core is half as fast as one that runs this test."""
    took_ms = _virtual_time.run(_play)
    assert took_ms < _DURATION_MS / 2 / 2
