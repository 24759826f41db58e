"""Which instance controls the replicas, by a lease in the store.

Replicas don't check fencing numbers, so a former controller must have
stopped before the next one begins. It orders only for a short time after its
last renewal was sent, by a clock that goes on while the machine is
suspended; the next one waits for longer than that and the guard together.
"""

from __future__ import annotations

from collections.abc import Callable

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.control import _leases

SHARD = "controller"
# A renewal is a write to the store; two may fail before the lease lapses.
RENEW_MS = 500
# After its last renewal was sent, a holder orders for this long.
ORDERING_WINDOW_MS = 1200
# Kept between two holders' orders, beyond the platform's bound.
GUARD_MARGIN_MS = 200
# The leader's word that it leads is good for this long.
LED_MS = 700
# How often the others look who holds it, by reads that cost a tenth.
LOOK_MS = 500


class Leadership:
    """Takes and keeps the controller's lease for this instance."""

    def __init__(
        self, leases: _leases.Leases, guard_ms: int, clock: _clock.Clock
    ) -> None:
        self._leases = leases
        self._guard_ms = guard_ms + GUARD_MARGIN_MS
        self._clock = clock
        self._held: _leases.HeldLease | None = None
        self._renewed_at = 0
        self._orders_from = 0
        self._leader = ""
        self._led_until = 0
        self._stopped = False
        self._reachable = True
        self._on_regained: Callable[[], None] = lambda: None

    @property
    def guard_ms(self) -> int:
        """Time that is kept between two holders' orders."""
        return self._guard_ms

    @property
    def leader(self) -> str:
        """The address of the instance that holds the lease; may lag."""
        return self._leader

    @property
    def epoch(self) -> int:
        """The term of the lease; 0 when it isn't held here."""
        return self._held.lease.epoch if self._held else 0

    @property
    def lease_version(self) -> int:
        """The version of the lease when it was last renewed here, or 0."""
        return self._held.version if self._held else 0

    @property
    def is_leader(self) -> bool:
        """Whether the lease is held here, as far as is known."""
        return self._held is not None

    def may_order(self) -> bool:
        """Whether an order sent now can't meet another holder's."""
        if self._held is None:
            return False
        now = self._clock.since_boot()
        return self._orders_from <= now < self._renewed_at + ORDERING_WINDOW_MS

    def note_led(self, lease_version: int) -> None:
        """Take the leader's word that it renewed the lease."""
        self._leases.record_observation(SHARD, lease_version, self._leader)
        self._led_until = self._clock.now() + LED_MS

    def call_on_store_recovery(self, call: Callable[[], None]) -> None:
        """Call that whenever the store answers again after it did not."""
        self._on_regained = call

    async def run(self) -> None:
        """Take the lease whenever it is free, and renew it, for ever."""
        while True:
            if self._held is not None or self._clock.now() >= self._led_until:
                await self._look_or_renew()
            held = self._held is not None
            await self._clock.sleep(RENEW_MS if held else LOOK_MS)

    async def _look_or_renew(self) -> None:
        if self._stopped:
            return
        try:
            if self._held is None:
                await self._look()
            else:
                await self._renew(self._held)
        except _objects.UnavailableError as error:
            _logs.event("lease_unavailable", error=str(error))
            self._reachable = False
            return
        if not self._reachable:
            self._reachable = True
            self._on_regained()

    async def release(self) -> None:
        """Let another instance take over; used before the process ends."""
        self._stopped = True
        held, self._held = self._held, None
        if held is not None:
            await self._leases.release(held)

    async def _look(self) -> None:
        before = self._clock.since_boot()
        held = await self._leases.try_take(SHARD)
        if held is None:
            self._leader = self._leases.last_seen_holder(SHARD)
            return
        self._held = held
        self._leader = held.lease.holder
        # The machine may have been suspended since it was written.
        self._renewed_at = before
        # A holder that released it may have ordered just before.
        released = held.previous is not None and not held.previous.holder
        self._orders_from = before + (self._guard_ms if released else 0)

    async def _renew(self, held: _leases.HeldLease) -> None:
        sent_at = self._clock.since_boot()
        try:
            renewed = await self._leases.renew(held)
        except _leases.LeaseLostError:
            _logs.event("lease_lost", epoch=held.lease.epoch)
            self._held = None
            return
        if self._held is not None:
            self._held = renewed
            self._renewed_at = sent_at
