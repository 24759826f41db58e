"""A request that waits for a model is refused in time, come what may."""

import anyio

from emulator import _virtual_time
from geraniumlink.residency import _controller_protocol
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replicas
from tests import builders

_CONTROLLER = "127.0.0.1:7000"
# A call to a controller that is silent ends after this.
_SILENCE_MS = 1400


class _Leadership:
    is_leader = False
    leader = _CONTROLLER


class _Link:
    """Reaches a controller that does not answer."""

    def __init__(self, clock, lost=False):
        self._clock = clock
        self._lost = lost
        self.calls = 0

    def is_lost(self, controller):
        return self._lost and controller == _CONTROLLER

    async def call(self, *_args, **_fields):
        self.calls += 1
        await self._clock.sleep(_SILENCE_MS)


def _protocol_over(link, clock):
    return _controller_protocol.ControllerProtocol(
        controller=None,
        leadership=_Leadership(),
        replicas=_replicas.Replicas(clock, 2000),
        budgets=None,
        suspicions=None,
        relay=None,
        link=link,
        clock=clock,
        instance="i1",
    )


async def _refused_after_ms(controller_protocol, clock, wait_ms):
    began = clock.now()
    request = builders.model_request("m9")
    refusal = await controller_protocol.ensure_loaded(
        "s", request, set(), wait_ms
    )
    assert isinstance(refusal, _outcomes.Refusal)
    assert refusal.retry_after_ms > 0
    return clock.now() - began


def test_a_controller_that_is_silent_holds_no_request_past_its_time():
    async def main(clock):
        controller_protocol = _protocol_over(_Link(clock), clock)
        return await _refused_after_ms(controller_protocol, clock, 300)

    assert (
        _virtual_time.run(main) <= 300 + _controller_protocol.ANSWER_MARGIN_MS
    )


def test_a_request_does_not_wait_for_as_long_as_another_can():
    async def main(clock):
        controller_protocol = _protocol_over(_Link(clock), clock)
        async with anyio.create_task_group() as group:
            group.start_soon(
                _refused_after_ms, controller_protocol, clock, 5000
            )
            await anyio.sleep(0)
            return await _refused_after_ms(controller_protocol, clock, 300)

    assert (
        _virtual_time.run(main) <= 300 + _controller_protocol.ANSWER_MARGIN_MS
    )


def test_while_the_controller_is_lost_requests_are_refused_at_once():
    async def main(clock):
        link = _Link(clock, lost=True)
        controller_protocol = _protocol_over(link, clock)
        took_ms = await _refused_after_ms(controller_protocol, clock, 2000)
        return took_ms, link.calls

    assert _virtual_time.run(main) == (0, 0)
