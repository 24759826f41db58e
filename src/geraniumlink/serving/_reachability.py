"""Notices when this instance has lost its path to all replicas.

A replica that can't be reached is paused by itself; that tells nothing of
the others. When several replicas chosen at random accept no connection at
the same time, the path is taken for lost: an instance doesn't wait until a
request has failed at each of them. Connections that are open may live on.
A proxy on the path may accept connections that lead nowhere, so where replicas
send nothing although they got requests, they have to answer a call, too.

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


_ByAddress = dict[_settings.Address, _replicas.Replica]


class Probe(typing.Protocol):
    """Tries connections, as ``_connections.ConnectionPool`` does."""

    async def can_connect(self, address: _settings.Address) -> bool:
        """Return whether a new connection to an address is accepted."""


class Call(typing.Protocol):
    """Calls replicas, as ``platform.OrderClient`` does."""

    async def gets_response(
        self, replica: str, address: _settings.Address
    ) -> bool:
        """Return whether a replica answers a call that needs no slot."""


class Reachability:
    """Whether this instance reaches any replica."""

    def __init__(
        self,
        replicas: _replicas.Replicas,
        probe: Probe,
        call: Call,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._replicas = replicas
        self._probe = probe
        self._call = call
        self._clock = clock
        self._random = random_source
        # Since when the path is lost; None while it isn't.
        self._lost_at: int | None = None
        self._successes = 0
        # No probe before this time.
        self._reached_until = 0
        # When a request last broke off without any response, by replica.
        self._unanswered_at: dict[str, int] = {}
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

    def note_unanswered(self, replica: str) -> None:
        """Record that a request was sent to a replica, which closed on it.

        One replica may have ended; several of them are a reason for a probe.
        """
        self._unanswered_at[replica] = self._clock.now()
        if self._lost_at is None and self._must_answer():
            self._reached_until = 0
            self.suspect()

    def _must_answer(self) -> bool:
        """Whether a connection that is accepted is too little evidence."""
        if self._lost_at is not None:
            return True
        if self._replicas.silent_ms() > SILENCE_MS:
            return True
        heard_at = self._replicas.heard_at()
        unanswered = [
            at for at in self._unanswered_at.values() if at >= heard_at
        ]
        return len(unanswered) >= MIN_PROBES

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
        replicas = {
            replica.entry.address: replica
            for replica in self._replicas.all()
            if not replica.leaving and replica.missing_since is None
        }
        if len(replicas) < MIN_PROBES:
            self._lost_at = None
            return
        must_answer = self._must_answer()
        if must_answer:
            callable_ = self._find_callable(replicas)
            # Too few to tell: connections have to be evidence enough.
            must_answer = len(callable_) >= MIN_PROBES
            replicas = callable_ if must_answer else replicas
        addresses = self._random.sample(
            sorted(replicas), min(PROBES, len(replicas))
        )
        sample = [replicas[address] for address in addresses]
        self._probed = anyio.Event()
        try:
            reached = await self._reaches_any(sample, must_answer)
            self._apply(reached, len(sample))
        finally:
            self._probed.set()
            self._probed = None

    def _find_callable(self, replicas: _ByAddress) -> _ByAddress:
        """Return the replicas that don't mind one more call."""
        now = self._clock.now()
        return {
            address: replica
            for address, replica in replicas.items()
            if replica.rate_limit.per_s is None
            and not replica.back_off_ms(now)
        }

    async def _reaches_any(
        self, sample: list[_replicas.Replica], must_answer: bool
    ) -> bool:
        reached = False
        async with anyio.create_task_group() as group:

            async def try_one(
                replica: _replicas.Replica, delay_ms: int
            ) -> None:
                nonlocal reached
                await self._clock.sleep(delay_ms)
                if await self._reaches(replica, must_answer):
                    reached = True
                    group.cancel_scope.cancel()

            for index, replica in enumerate(sample):
                group.start_soon(try_one, replica, index * STAGGER_MS)
        return reached

    async def _reaches(
        self, replica: _replicas.Replica, must_answer: bool
    ) -> bool:
        """Connect to one replica, or call it if it has to answer."""
        entry = replica.entry
        if must_answer:
            return await self._call.gets_response(entry.name, entry.address)
        return await self._probe.can_connect(entry.address)

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
        self._unanswered_at.clear()
        self._successes += 1
        if self._lost_at is not None and self._successes >= PROBES_UNTIL_BACK:
            _logs.event("path_back", lost_ms=now - self._lost_at)
            self._lost_at = None
            self._replicas.end_pauses()
