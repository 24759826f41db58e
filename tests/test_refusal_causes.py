"""The controller says why something can't be resident in time."""

import anyio
import pytest

from emulator import _control_plane
from emulator import _engines
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.residency import _controller_protocol
from geraniumlink.residency import _requirements
from tests import emulated_controller

_SITE = _sites.Site(
    instances=1,
    engines=1,
    models=_sites.model_names(6),
    engine=_sites.EngineSpec(max_resident_models=2, adapter_slots=1),
)


class _NoLease(emulated_controller.Leadership):
    def may_order(self):
        return False


def _ask(*requirements, wait_ms=500, leadership=None):
    """Return the last answer; before it, each is asked for at once."""

    async def play(clock):
        engines = [_engines.Engine(0, _SITE.engine, _SITE, ["m0"], ["m2"])]
        orders = _control_plane.EngineOrderClient(engines, clock)
        controller, _ = emulated_controller.make_controller(
            _SITE, engines, orders, clock, leadership
        )

        async def ask(name):
            requirement = _requirements.Requirement(
                _sites.SERVICE, *name.partition("/")[::2]
            )
            return await controller.ensure_resident(
                requirement, set(), wait_ms
            )

        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            await clock.sleep(1000)
            for requirement in requirements[:-1]:
                group.start_soon(ask, requirement)
                await clock.sleep(400)
            answer = await ask(requirements[-1])
            group.cancel_scope.cancel()
        return answer

    return _virtual_time.run(play)


@pytest.mark.parametrize(
    ("requirements", "cause"),
    [
        (["m1"], _requirements.Cause.ABSENT),
        (["m1", "m1"], _requirements.Cause.LOADING),
        (["m1", "m0/a1"], _requirements.Cause.HOLDERS_BUSY),
        (["unknown"], _requirements.Cause.NOT_DECLARED),
    ],
)
def test_refusal_states_its_cause(requirements, cause):
    assert _ask(*requirements).cause is cause


def test_client_comes_back_before_a_busy_replica_can_load_its_local_copy():
    """The only replica has 3.6 s of another load before it."""
    answer = _ask("m1", "m2")
    other_load_ms = _SITE.load_ms - 400
    assert answer.retry_ms >= min(
        _SITE.load_ms, other_load_ms + _SITE.local_load_ms
    )


def test_refusal_without_a_lease_states_it():
    answer = _ask("m1", leadership=_NoLease())
    assert answer.cause is _requirements.Cause.NO_CONTROLLER


@pytest.mark.parametrize("answer", [{}, {"cause": "OF_A_LATER_BUILD"}])
def test_unknown_cause_of_another_build_is_accepted(answer):
    found = _controller_protocol._decode_cause(answer)
    assert found is _requirements.Cause.UNKNOWN
