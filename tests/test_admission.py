"""Admission: early refusals, displacement, fairness, no one held back."""

import random

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink.requests import _admission
from geraniumlink.requests import _refusals
from geraniumlink.requests import _routing
from tests import routers

pytestmark = pytest.mark.anyio

TIMEOUT_MS = 60_000


class Service:
    """One replica with an admission before it, and a clock set by hand."""

    def __init__(self, max_in_flight, models=("notes",)):
        self.clock = _clock.ManualClock(1000)
        self.backend = routers.backend(
            max_in_flight=max_in_flight, resident=models
        )
        self.router = routers.router([self.backend])
        self.admission = _admission.Admission(
            self.router, self.clock, random.Random(1)
        )
        self.order = []
        self.refusals = {}
        self._ends = {}

    async def request(self, name, model="notes", priority=0, **fields):
        """Enter, hold a place until ``end`` is called, and leave."""
        requirements = _routing.Requirements("assistant", model)
        timeout_ms = fields.get("timeout_ms", TIMEOUT_MS)
        admission_result = await self.admission.admit(
            requirements, priority, timeout_ms
        )
        if admission_result.is_error():
            self.refusals[name] = admission_result.error
            return
        with admission_result.ok:
            self.backend.in_flight += 1
            self.order.append(name)
            try:
                self._ends[name] = anyio.Event()
                await self._ends[name].wait()
            finally:
                self.backend.in_flight -= 1

    def end(self, name):
        self._ends.pop(name).set()

    def end_all(self):
        for name in list(self._ends):
            self.end(name)

    async def complete_requests(self, count, duration_ms=20):
        """Make the service rate known: requests that take this long."""
        for number in range(count):
            async with anyio.create_task_group() as group:
                group.start_soon(self.request, f"quick{number}")
                await anyio.wait_all_tasks_blocked()
                self.clock.advance(duration_ms)
                self.end(f"quick{number}")
        self.order.clear()


async def test_a_request_that_can_not_start_in_time_is_refused_at_once():
    service = Service(1)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "first")
        await anyio.wait_all_tasks_blocked()
        # A place is held for a second as far as is known; 610 ms are left.
        await service.request("second")
        service.end("first")
    refusal = service.refusals["second"]
    assert refusal.code is _refusals.Code.RESOURCE_EXHAUSTED
    assert refusal.execution is _refusals.Execution.NOT_RUN
    assert refusal.retry_after_ms >= 1000


async def test_a_request_that_can_start_in_time_waits_for_its_turn():
    service = Service(1)
    await service.complete_requests(60)
    async with anyio.create_task_group() as group:
        for name in ("a", "b", "c"):
            group.start_soon(service.request, name)
            await anyio.wait_all_tasks_blocked()
        assert service.order == ["a"]
        for name in ("a", "b", "c"):
            service.end(name)
            await anyio.wait_all_tasks_blocked()
    assert service.order == ["a", "b", "c"]
    assert not service.refusals


async def test_higher_priority_goes_first_and_displaces_the_lowest():
    service = Service(1)
    await service.complete_requests(60, duration_ms=250)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "running")
        await anyio.wait_all_tasks_blocked()
        for name in ("low1", "low2"):
            group.start_soon(service.request, name)
            await anyio.wait_all_tasks_blocked()
        assert not service.refusals
        group.start_soon(service.request, "high", "notes", 9)
        await anyio.wait_all_tasks_blocked()
        # Three don't fit into 610 ms at 250 ms each; the last one is told.
        assert list(service.refusals) == ["low2"]
        for name in ("running", "high", "low1"):
            service.end(name)
            await anyio.wait_all_tasks_blocked()
    assert service.order == ["running", "high", "low1"]


async def test_a_model_with_many_requests_does_not_keep_another_waiting():
    service = Service(1, ("notes", "rare"))
    await service.complete_requests(60)
    async with anyio.create_task_group() as group:
        names = ["busy0", "busy1", "busy2", "busy3"]
        for name in names:
            group.start_soon(service.request, name)
            await anyio.wait_all_tasks_blocked()
        group.start_soon(service.request, "rare", "rare")
        await anyio.wait_all_tasks_blocked()
        for _ in range(5):
            service.end_all()
            await anyio.wait_all_tasks_blocked()
    assert service.order.index("rare") <= 2


async def test_one_that_waits_is_told_as_soon_as_it_is_too_late():
    service = Service(1)
    await service.complete_requests(60)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "running")
        await anyio.wait_all_tasks_blocked()
        group.start_soon(service.request, "waiting")
        await anyio.wait_all_tasks_blocked()
        service.clock.advance(_admission.FIRST_TOKEN_TARGET_MS)
        with anyio.fail_after(30):
            while "waiting" not in service.refusals:
                await anyio.sleep(0)
        assert service.order == ["running"]
        service.end("running")


async def test_a_caller_that_leaves_frees_its_place_in_the_queue():
    service = Service(1)
    await service.complete_requests(60)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "running")
        await anyio.wait_all_tasks_blocked()
        async with anyio.create_task_group() as leaving:
            leaving.start_soon(service.request, "left")
            await anyio.wait_all_tasks_blocked()
            assert service.admission.waiting_count("assistant") == 1
            leaving.cancel_scope.cancel()
        assert service.admission.waiting_count("assistant") == 0
        service.end("running")
        await anyio.wait_all_tasks_blocked()
        group.start_soon(service.request, "next")
        await anyio.wait_all_tasks_blocked()
        assert service.order == ["running", "next"]
        service.end("next")


async def test_a_caller_that_leaves_when_it_is_granted_frees_the_place():
    service = Service(1)
    await service.complete_requests(60)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "running")
        await anyio.wait_all_tasks_blocked()
        async with anyio.create_task_group() as leaving:
            leaving.start_soon(service.request, "left")
            await anyio.wait_all_tasks_blocked()
            service.end("running")
            leaving.cancel_scope.cancel()
        await anyio.wait_all_tasks_blocked()
        group.start_soon(service.request, "next")
        await anyio.wait_all_tasks_blocked()
        assert service.order[-1] == "next"
        service.end("next")


async def test_the_times_to_come_back_differ_among_those_refused_together():
    service = Service(1)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "running")
        await anyio.wait_all_tasks_blocked()
        for number in range(20):
            await service.request(f"r{number}")
        service.end("running")
    times = {entry.retry_after_ms for entry in service.refusals.values()}
    assert len(times) > 10


async def test_a_deployment_without_room_does_not_hold_back_another():
    service = Service(1)
    async with anyio.create_task_group() as group:
        group.start_soon(service.request, "running")
        await anyio.wait_all_tasks_blocked()
        requirements = _routing.Requirements("other", "notes")
        # It has no server at all: routing, not admission, has the refusal.
        admission_result = await service.admission.admit(
            requirements, 0, TIMEOUT_MS
        )
        assert admission_result.is_ok()
        service.end("running")
