"""Machines that contend for the controller's lease, for tests."""

import random

from geraniumlink import _objects
from geraniumlink.control import _epochs
from geraniumlink.control import _leases
from geraniumlink.hosting import _instance
from geraniumlink.residency import _leadership

LEASE_MS = 3000
DURATION_MS = _instance.MIN_LEASE_EXPIRY_MS + LEASE_MS
STEP_MS = 50


class Machine:
    """A process on a machine, which contends for the lease."""

    def __init__(self, api, clock, name, process=1, boot_id=""):
        self._clock = clock
        random_source = random.Random(f"{name} {process}")
        self.leases = _leases.Leases(
            api,
            name,
            DURATION_MS,
            clock,
            random_source,
            tokens=_epochs.EpochSource(clock, random_source),
            boot_id=boot_id or f"boot of {name}",
            restart_ms=_leadership.restart_ms(LEASE_MS),
        )
        self.leadership = _leadership.Leadership(self.leases, LEASE_MS, clock)

    async def step(self):
        """Do what ``run`` does in each round; return whether it may order."""
        await self.leadership._renew_or_acquire()
        return self.leadership.may_order()

    async def step_until_first_order(self):
        """Return the time at which it may send an order."""
        while not self.leadership.may_order():
            await self.step()
            if not self.leadership.may_order():
                self._clock.advance(STEP_MS)
        return self._clock.now()


def restore(api, stored):
    """Set the lease back to an older copy; None removes it."""
    api.objects.pop((_leases.KIND, _leadership.SHARD), None)
    if stored is not None:
        api.objects[(_leases.KIND, _leadership.SHARD)] = stored


def stored_lease(api) -> _objects.Object:
    return api.objects[(_leases.KIND, _leadership.SHARD)]
