"""Selects the next peer to exchange with, and tracks those that fail.

Peers are contacted in rounds, each in a new random order, so the time between
two exchanges with a peer is at most two rounds. After a first failure the
peer is retried as soon as any other peer was heard from.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
import enum
import random

from geraniumlink import _clock

# Bounds the set of peers that answered, and so ``heard_peer_count``.
_MAX_ANSWERED = 8


class ProbeFailure(enum.Enum):
    """What a failed exchange implies about the peer."""

    FIRST = "failed once, will be retried"
    # No peer was heard from since the first failure, so this instance may be
    # the one that is disconnected.
    DOUBTFUL = "failed twice, and no other peer was heard from in between"
    CERTAIN = "failed twice, and another peer was heard from in between"


class ProbeSchedule:
    """The order in which one instance contacts its peers."""

    def __init__(
        self, clock: _clock.Clock, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._round: list[str] = []
        # When the first exchange with a failing peer failed.
        self._failed_at: dict[str, int] = {}
        # The peer whose first failure was the latest.
        self._retry: str | None = None
        # Peers that answered since the start, up to _MAX_ANSWERED.
        self._answered: set[str] = set()
        # Peers whose last two exchanges failed.
        self._unresponsive: set[str] = set()

    @property
    def heard_peer_count(self) -> int:
        """Number of distinct peers that answered since the start, up to 8."""
        return len(self._answered)

    def responsive(self, names: Iterable[str]) -> set[str]:
        """Return the names without those whose last two exchanges failed."""
        return set(names) - self._unresponsive

    def next_peer(
        self, names: Collection[str], suspects: list[str], heard_at: int
    ) -> str | None:
        """Return the peer to contact next, or None if there is no peer.

        ``heard_at`` is when any peer was last heard from. Of the suspects,
        one is contacted per round.
        """
        retry = self._retry
        if retry in names and self._failed_before(retry, heard_at):
            return retry
        while self._round:
            name = self._round.pop()
            if name in names or name in suspects:
                return name
        self._round = self._new_round(names, suspects)
        return self._round.pop() if self._round else None

    def _new_round(
        self, names: Collection[str], suspects: list[str]
    ) -> list[str]:
        """Shuffle all peers and a random suspect, which may be back.

        Peers that are no longer known are forgotten.
        """
        known = {*names, *suspects}
        self._unresponsive &= known
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if name in known
        }
        round_names = list(names)
        if suspects:
            round_names.append(self._random.choice(suspects))
        self._random.shuffle(round_names)
        return round_names

    def record_answer(self, name: str) -> None:
        """Record that a peer answered an exchange."""
        if len(self._answered) < _MAX_ANSWERED:
            self._answered.add(name)
        self._unresponsive.discard(name)
        self._failed_at.pop(name, None)
        if self._retry == name:
            self._retry = None

    def record_failure(self, name: str, heard_at: int) -> ProbeFailure:
        """Record a failed exchange; return what it implies."""
        if name not in self._failed_at:
            self._failed_at[name] = self._clock.now()
            self._retry = name
            return ProbeFailure.FIRST
        certain = self._failed_before(name, heard_at)
        del self._failed_at[name]
        self._retry = None
        self._unresponsive.add(name)
        return ProbeFailure.CERTAIN if certain else ProbeFailure.DOUBTFUL

    def _failed_before(self, name: str | None, heard_at: int) -> bool:
        failed_at = self._failed_at.get(name or "")
        return failed_at is not None and failed_at < heard_at
