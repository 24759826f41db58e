"""A replica that has ended gets no moves, and its models are loaded again."""

import anyio

from emulator import _control_plane
from emulator import _engines
from emulator import _sites
from emulator import _virtual_time
from geraniumlink import _http
from geraniumlink import platform
from geraniumlink.residency import _requirements
from tests import emulated_controller

_SITE = _sites.Site(engines=4, models=_sites.model_names(12), load_ms=1000.0)


class _Orders(_control_plane.EngineOrderClient):
    """Engines, some of which have ended; records the orders."""

    def __init__(self, engines, clock):
        super().__init__(engines, clock)
        self.ended = set()
        self.orders = []

    async def send(self, order, may_write):
        self.orders.append(order)
        if order.replica in self.ended:
            return platform.OrderResult.NO_LISTENER
        return await super().send(order, may_write)

    async def fetch_report(self, replica, address):
        if replica in self.ended:
            raise _http.NoListenerError("refused")
        return await super().fetch_report(replica, address)


def _make_engines():
    """Return engines that hold two models each, with room for a third."""
    return [
        _engines.Engine(
            number,
            _SITE.engine,
            _SITE,
            [f"m{2 * number}", f"m{2 * number + 1}"],
            [],
        )
        for number in range(_SITE.engines)
    ]


async def _start(group, clock, ends):
    engines = _make_engines()
    orders = _Orders(engines, clock)
    controller, replicas = emulated_controller.make_controller(
        _SITE, engines, orders, clock
    )
    group.start_soon(controller.run)
    await clock.sleep(1000)
    # Adapters have been loaded ahead.
    orders.orders.clear()
    orders.ended.add(ends)
    return controller, orders, replicas


async def _ask_for(controller, model):
    """Ask until it is resident; return where."""
    requirement = _requirements.Requirement(_sites.SERVICE, model, "")
    while True:
        answer = await controller.ensure_resident(requirement, set(), 30_000)
        if isinstance(answer, _requirements.Resident):
            return answer.replicas


async def _load_beside_ended(clock):
    async with anyio.create_task_group() as group:
        controller, orders, _ = await _start(group, clock, ends="e0")
        for model in ("m8", "m9", "m10", "m11"):
            group.start_soon(_ask_for, controller, model)
        await clock.sleep(5000)
        group.cancel_scope.cancel()
    return orders.orders


def test_ended_replica_takes_no_loads_from_others():
    orders = _virtual_time.run(_load_beside_ended)
    assert sum(order.replica == "e0" for order in orders) <= 1
    loaded = {
        order.model
        for order in orders
        if order.load and not order.adapter and order.replica != "e0"
    }
    assert len(loaded) == 4


async def _ask_for_model_of_ended(clock):
    async with anyio.create_task_group() as group:
        controller, orders, _ = await _start(group, clock, ends="e0")
        # An order that fails shows that the replica has ended.
        for model in ("m8", "m9", "m10", "m11"):
            group.start_soon(_ask_for, controller, model)
        await clock.sleep(5000)
        with anyio.fail_after(10):
            holders = await _ask_for(controller, "m0")
        group.cancel_scope.cancel()
    return holders


def test_model_of_an_ended_replica_is_loaded_elsewhere():
    assert "e0" not in _virtual_time.run(_ask_for_model_of_ended)


async def _look_after_restart(clock):
    requirement = _requirements.Requirement(_sites.SERVICE, "m0", "")
    async with anyio.create_task_group() as group:
        controller, _, replicas = await _start(group, clock, ends="e3")
        before = controller._directory.find_serving(requirement, set())
        entry = replicas.get("e0").entry
        replicas.update(entry._replace(started_at=99))
        controller._directory.sync()
        after = controller._directory.find_serving(requirement, set())
        group.cancel_scope.cancel()
    return before, after


def test_restarted_replica_is_no_holder_at_once():
    """Even if the list of holders was made in the same moment."""
    before, after = _virtual_time.run(_look_after_restart)
    assert [state.name for state in before] == ["e0"]
    assert not after
