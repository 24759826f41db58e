"""Builds a controller over emulated engines, without other instances."""

from emulator import _sites
from geraniumlink.residency import _controller
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _replicas


class Leadership:
    """A lease that is held all the time."""

    epoch = 1
    guard_ms = 10_000

    async def wait_until_leader(self):
        pass

    def may_order(self):
        return True


class CallLimits:
    """No replica states a limit."""

    async def wait(self, _replica):
        return True


def make_controller(site, engines, orders, clock, leadership=None):
    """Return a controller that may order the engines, and its replicas.

    :param leadership: its lease; held all the time if None.
    """
    replicas = _replicas.Replicas(clock, 2000)
    for engine in engines:
        replicas.update(engine.registry_entry())
    active = _active_configuration.ActiveConfiguration()
    active.apply_if_newer(_sites.make_configuration(site))
    controller = _controller.Controller(
        active_configuration=active,
        replicas=replicas,
        leadership=leadership or Leadership(),
        orders=orders,
        call_limits=CallLimits(),
        clock=clock,
        instance="i1",
    )
    return controller, replicas
