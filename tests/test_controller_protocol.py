"""Requests that wait for a model are refused in time.

A controller that is silent or unreachable must not hold them any longer.
"""

import anyio

from emulator import _virtual_time
from geraniumlink.residency import _controller_protocol
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replicas
from tests import builders

_CONTROLLER = "127.0.0.1:7000"
# How long a call to a controller that does not answer takes.
_CALL_TIMEOUT_MS = 1400


class _Leadership:
    is_leader = False
    leader = _CONTROLLER


class _Link:
    """A link to a controller that does not answer."""

    def __init__(self, clock, unreachable=False):
        self._clock = clock
        self._unreachable = unreachable
        self.calls = 0

    def is_unreachable(self, controller):
        return self._unreachable and controller == _CONTROLLER

    async def call(self, *_args, **_fields):
        self.calls += 1
        await self._clock.sleep(_CALL_TIMEOUT_MS)


def _make_protocol(link, clock):
    return _controller_protocol.ControllerProtocol(
        controller=None,
        leadership=_Leadership(),
        replicas=_replicas.Replicas(clock, 2000),
        reachability=None,
        budgets=None,
        permit_issuer=None,
        limits=None,
        request_sync=None,
        part_sync=None,
        relay=None,
        link=link,
        directory=None,
        clock=clock,
        instance="i1",
    )


async def _time_to_refusal_ms(controller_protocol, clock, wait_ms):
    began = clock.now()
    request = builders.model_request("m9")
    refusal = await controller_protocol.ensure_loaded(
        "s", request, set(), wait_ms
    )
    assert isinstance(refusal, _outcomes.Refusal)
    assert refusal.retry_after_ms > 0
    return clock.now() - began


def test_request_to_silent_controller_is_refused_in_time():
    async def main(clock):
        controller_protocol = _make_protocol(_Link(clock), clock)
        return await _time_to_refusal_ms(controller_protocol, clock, 300)

    assert (
        _virtual_time.run(main) <= 300 + _controller_protocol.REFUSAL_MARGIN_MS
    )


def test_shared_call_does_not_extend_a_shorter_wait():
    async def main(clock):
        controller_protocol = _make_protocol(_Link(clock), clock)
        async with anyio.create_task_group() as group:
            group.start_soon(
                _time_to_refusal_ms, controller_protocol, clock, 5000
            )
            await anyio.sleep(0)
            return await _time_to_refusal_ms(controller_protocol, clock, 300)

    assert (
        _virtual_time.run(main) <= 300 + _controller_protocol.REFUSAL_MARGIN_MS
    )


def test_requests_are_refused_at_once_while_controller_is_unreachable():
    async def main(clock):
        link = _Link(clock, unreachable=True)
        controller_protocol = _make_protocol(link, clock)
        took_ms = await _time_to_refusal_ms(controller_protocol, clock, 2000)
        return took_ms, link.calls

    assert _virtual_time.run(main) == (0, 0)
