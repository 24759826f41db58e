"""Notices when this instance has lost its path to all replicas.

A replica that can't be reached is paused by itself; that tells nothing of
the others. When several replicas chosen at random accept no connection at
the same time, the path is taken for lost: an instance doesn't wait until a
request has failed at each of them. Connections that are open may live on.

Nothing is probed while replicas answer. Silence is a reason for a probe and
no evidence: one replica may be busy or suspended for a second.
"""

from __future__ import annotations

import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.serving import _replicas

# How often silence is looked for, and a lost path is probed.
CHECK_INTERVAL_MS = 200
# With requests in flight, silence of all replicas for this long is a reason to
# probe. First events mostly come earlier.
SILENCE_MS = 600
# Replicas to which a connection is tried, and the least number that tells
# anything.
PROBES = 4
MIN_PROBES = 2
# Each connection is tried this long after the one before, unless that was
# accepted by then: mostly the first one is.
STAGGER_MS = 50
# After a probe that succeeded there is none for this long.
REACHED_MS = 1000
# Probes in a row that must succeed before the path counts as back.
PROBES_UNTIL_BACK = 2


class Probe(typing.Protocol):
    """Tries connections, as ``_connections.ConnectionPool`` does."""

    async def can_connect(self, address: _settings.Address) -> bool:
        """Return whether a new connection to an address is accepted."""


class Reachability:
    """Whether this instance reaches any replica."""

    def __init__(
        self,
        replicas: _replicas.Replicas,
        probe: Probe,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._replicas = replicas
        self._probe = probe
        self._clock = clock
        self._random = random_source
        # Since when the path is lost; None while it isn't.
        self._lost_at: int | None = None
        self._successes = 0
        # No probe before this time.
        self._reached_until = 0
        # Set when a connection is slow to open.
        self._suspected = anyio.Event()
        # Set when the probe in progress ends; None if there is none.
        self._probed: anyio.Event | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the path to all replicas is taken for lost."""
        return self._lost_at is not None

    @property
    def lost_ms(self) -> int:
        """For how long the path has been lost; 0 while it isn't."""
        if self._lost_at is None:
            return 0
        return self._clock.now() - self._lost_at

    def suspect(self) -> None:
        """Have the path probed at once, unless it was a moment ago."""
        self._suspected.set()

    async def check(self, is_certain: bool = False) -> bool:
        """Return whether the path is lost, after a probe if in doubt.

        :param is_certain: whether a probe of a moment ago isn't enough.
        """
        if self._lost_at is None and (
            is_certain or self._clock.now() >= self._reached_until
        ):
            await self._run_probe()
        return self.is_lost

    async def run(self) -> None:
        """Probe when all replicas are silent, and while the path is lost."""
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_MS / 1000):
                await self._suspected.wait()
            is_suspected = self._suspected.is_set()
            self._suspected = anyio.Event()
            silent_ms = self._replicas.silent_ms()
            if self._lost_at is not None:
                # Suspicions must not make the probes more frequent.
                if is_suspected:
                    await self._clock.sleep(CHECK_INTERVAL_MS)
                await self._run_probe()
            elif is_suspected or silent_ms > SILENCE_MS:
                await self.check()

    async def _run_probe(self) -> None:
        """Probe some replicas, or wait for the probe in progress."""
        if self._probed is not None:
            await self._probed.wait()
            return
        addresses = list(
            {
                replica.entry.address
                for replica in self._replicas.all()
                if not replica.leaving and replica.missing_since is None
            }
        )
        if len(addresses) < MIN_PROBES:
            self._lost_at = None
            return
        sample = self._random.sample(
            sorted(addresses), min(PROBES, len(addresses))
        )
        self._probed = anyio.Event()
        try:
            reached = await self._reaches_any(sample)
            self._apply(reached, len(sample))
        finally:
            self._probed.set()
            self._probed = None

    async def _reaches_any(self, addresses: list[_settings.Address]) -> bool:
        reached = False
        async with anyio.create_task_group() as group:

            async def try_one(
                address: _settings.Address, delay_ms: int
            ) -> None:
                nonlocal reached
                await self._clock.sleep(delay_ms)
                if await self._probe.can_connect(address):
                    reached = True
                    group.cancel_scope.cancel()

            for index, address in enumerate(addresses):
                group.start_soon(try_one, address, index * STAGGER_MS)
        return reached

    def _apply(self, reached: bool, probes: int) -> None:
        """Record the result of a probe."""
        now = self._clock.now()
        if not reached:
            self._successes = 0
            if self._lost_at is None:
                self._lost_at = now
                _logs.event(
                    "path_lost",
                    probes=probes,
                    silent_ms=self._replicas.silent_ms(),
                )
            return
        self._reached_until = now + REACHED_MS
        self._successes += 1
        if self._lost_at is not None and self._successes >= PROBES_UNTIL_BACK:
            _logs.event("path_back", lost_ms=now - self._lost_at)
            self._lost_at = None
            self._replicas.end_pauses()
