"""Elects the controller of the replicas by a lease in the store.

Replicas don't check fencing numbers, so a former leader must have stopped
sending orders before the next one starts. A leader sends orders only within
ORDERING_WINDOW_MS after it sent its last successful renewal, measured by a
clock that keeps running while the machine is suspended. A successor waits
until the lease has been unchanged for longer than that window and the guard
interval together.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _leases
from geraniumlink import platform

# Name of the lease in the store.
SHARD = "controller"
# Each renewal is a write to the store. Two of them may fail before
# ORDERING_WINDOW_MS ends.
RENEWAL_INTERVAL_MS = 500
# How long a leader may send orders after it sent its last successful
# renewal.
ORDERING_WINDOW_MS = 1200
# How long a leader relays what it knows of the store after it sent its last
# successful renewal. If the store is slow, the next one is answered later, and
# relaying pauses for less than others rely on it.
RELAY_WINDOW_MS = 800
# Two machines' monotonic clocks differ by this at most over the lease's
# duration, with the rounding of times to whole milliseconds.
CLOCK_ERROR_MS = 50
# Added to the platform's minimum interval between the last order of one
# leader and the first order of the next: an order may still arrive until it
# times out.
GUARD_MARGIN_MS = platform.ORDER_TIMEOUT_MS + CLOCK_ERROR_MS
# How long an instance relies on the leader's report of its renewal before it
# reads the lease itself.
LEADER_CONFIRMED_MS = 700
# How often an instance that isn't the leader reads the lease. A read costs
# the store a tenth of a write.
CHECK_INTERVAL_MS = 500


def restart_ms(gap_ms: int) -> int:
    """Return the age of a lease up to which a later holder can't have ordered.

    It takes a lease that was released with a wait of the guard interval. Once
    the store has forgotten it, it may order for its window at most.

    :param gap_ms: as ``guard_ms`` of ``Leadership``.
    """
    return gap_ms + GUARD_MARGIN_MS - ORDERING_WINDOW_MS


class Leadership:
    """Acquires and renews the controller's lease for this instance.

    :param guard_ms: minimum time between the last order of one leader and
        the first order of the next, as the platform requires.
    """

    def __init__(
        self, leases: _leases.Leases, guard_ms: int, clock: _clock.Clock
    ) -> None:
        self._leases = leases
        self._guard_ms = guard_ms + GUARD_MARGIN_MS
        self._clock = clock
        self._held: _leases.HeldLease | None = None
        # These two are times of the clock that counts suspension.
        self._renewed_at = 0
        self._may_order_from = 0
        self._leader = ""
        # Set when the lease is acquired.
        self._acquired = anyio.Event()
        # Until then the leader's reports stand in for reads of the lease.
        self._leader_confirmed_until = 0
        self._released = False
        self._must_yield: Callable[[], bool] = lambda: False
        self._store_reachable = True
        self._on_store_recovery: Callable[[], None] = lambda: None

    @property
    def guard_ms(self) -> int:
        """Minimum time between two leaders' orders, in ms, with margin."""
        return self._guard_ms

    @property
    def leader(self) -> str:
        """The last known holder's address, or "" if there is none."""
        return self._leader

    @property
    def epoch(self) -> int:
        """The epoch of the lease; 0 when it isn't held here."""
        return self._held.lease.epoch if self._held else 0

    @property
    def lease_version(self) -> int:
        """The stored version of the lease; 0 when it isn't held here."""
        return self._held.version if self._held else 0

    @property
    def lease_renewals(self) -> int:
        """How often the lease was renewed; 0 when it isn't held here."""
        return self._held.lease.renewals if self._held else 0

    @property
    def is_leader(self) -> bool:
        """Whether this instance believes that it holds the lease.

        It may have expired already; ``may_order`` takes that into account.
        """
        return self._held is not None

    async def wait_until_leader(self) -> None:
        """Wait until this instance holds the lease."""
        while self._held is None:
            self._acquired = anyio.Event()
            await self._acquired.wait()

    def may_order(self) -> bool:
        """Whether orders may be sent now.

        Another leader's orders are then at least ``guard_ms`` away.
        """
        if self._held is None:
            return False
        now = self._clock.since_boot()
        return (
            self._may_order_from <= now < self._renewed_at + ORDERING_WINDOW_MS
        )

    def may_relay(self) -> bool:
        """Whether this leader reached the store so recently that it relays.

        It needn't wait for former holders' orders: what it relays is as
        recent as its last renewal, whoever relays beside it.
        """
        age_ms = self._clock.since_boot() - self._renewed_at
        return self.is_leader and age_ms < RELAY_WINDOW_MS

    def record_leader_renewal(
        self, lease_version: int, epoch: int | None, renewals: int | None
    ) -> None:
        """Record the lease version that the leader reports to have written.

        For a short time it stands in for a read of the lease.

        :param epoch: None if the leader is of a build that doesn't send it.
        :param renewals: as ``epoch``.
        """
        self._leases.record_observation(
            SHARD, lease_version, self._leader, epoch, renewals
        )
        self._leader_confirmed_until = self._clock.now() + LEADER_CONFIRMED_MS

    def call_on_store_recovery(self, callback: Callable[[], None]) -> None:
        """Set the callback for when the store answers again after a fault."""
        self._on_store_recovery = callback

    def yield_while(self, condition: Callable[[], bool]) -> None:
        """Leave the lease to other instances while a condition holds."""
        self._must_yield = condition

    async def run(self) -> None:
        """Acquire the lease whenever it is free, and renew it, for ever."""
        while True:
            if (
                self._held is not None
                or self._clock.now() >= self._leader_confirmed_until
            ):
                await self._renew_or_acquire()
            held = self._held is not None
            await self._clock.sleep(
                RENEWAL_INTERVAL_MS if held else CHECK_INTERVAL_MS
            )

    async def _renew_or_acquire(self) -> None:
        if self._released:
            return
        try:
            if self._must_yield():
                await self._yield()
            elif self._held is None:
                await self._try_acquire()
            else:
                await self._renew(self._held)
        except _objects.UnavailableError as error:
            _logs.event("lease_unavailable", error=str(error))
            self._store_reachable = False
            return
        if not self._store_reachable:
            self._store_reachable = True
            self._on_store_recovery()

    async def release(self) -> None:
        """Release the lease for good, before the process ends."""
        self._released = True
        held, self._held = self._held, None
        if held is not None:
            await self._release(held)

    async def _release(self, held: _leases.HeldLease) -> None:
        """Release the lease; others may have held it if it has expired."""
        is_wait_over = self._is_wait_over() and not self._has_expired()
        await self._leases.release(held, is_wait_over)

    async def _yield(self) -> None:
        """Release the lease if it is held, and look who holds it."""
        held, self._held = self._held, None
        if held is not None:
            await self._release(held)
        self._leader = await self._leases.read_holder(SHARD)

    async def _try_acquire(self) -> None:
        before = self._clock.since_boot()
        held = await self._leases.try_take(SHARD)
        if held is None:
            self._leader = self._leases.last_seen_holder(SHARD)
            return
        self._held = held
        self._acquired.set()
        self._leader = held.lease.holder
        # The time before the write counts: the machine may have been
        # suspended after it.
        self._renewed_at = before
        self._may_order_from = held.proposed_at + self._wait_ms(held.wait)

    def _is_wait_over(self) -> bool:
        """Whether the lease acquired last was waited for long enough."""
        return self._clock.since_boot() >= self._may_order_from

    def _has_expired(self) -> bool:
        """Whether others may have taken the lease acquired last."""
        age_ms = self._clock.since_boot() - self._renewed_at
        return age_ms >= self._leases.duration_ms

    def _wait_ms(self, wait: _leases.Wait) -> int:
        """Return the time from taking the lease to the first order."""
        match wait:
            case _leases.Wait.NONE:
                return 0
            case _leases.Wait.GUARD:
                return self._guard_ms
            case _leases.Wait.DURATION:
                return self._leases.duration_ms

    async def _renew(self, held: _leases.HeldLease) -> None:
        sent_at = self._clock.since_boot()
        if self._has_expired():
            # Others may have held it since. That the stored lease is
            # unchanged doesn't exclude it: the store may have been restored.
            _logs.event(
                "lease_lost",
                deployment=SHARD,
                epoch=held.lease.epoch,
                held_version=held.version,
            )
            self._held = None
            return
        try:
            renewed = await self._leases.renew(held, self._is_wait_over())
        except _leases.LeaseLostError as error:
            error.log()
            self._held = None
            return
        if self._held is not None:
            self._held = renewed
            self._renewed_at = sent_at
