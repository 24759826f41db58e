"""Which peer to exchange with next, and which ones fail to answer.

All peers are asked in rounds of random order, so that each is asked within
two rounds. A peer that failed once is asked again as soon as another one
was heard.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
import enum
import random

from geraniumlink import _clock

_MAX_ANSWERED = 8


class ProbeFailure(enum.Enum):
    """What a failed exchange says of the peer."""

    FIRST = "it is asked again"
    # Nobody was heard since the first: this instance may be cut off.
    DOUBTFUL = "it failed twice, and nobody else was heard"
    CERTAIN = "it failed twice, and others were heard"


class ProbeSchedule:
    """The rounds of one instance."""

    def __init__(
        self, clock: _clock.Clock, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._round: list[str] = []
        # When each peer that failed to answer did so first.
        self._failed_at: dict[str, int] = {}
        self._retry: str | None = None
        # A few of those that answered, and those that do not answer now.
        self._answered: set[str] = set()
        self._unresponsive: set[str] = set()

    @property
    def heard_peer_count(self) -> int:
        """Different peers that answered since the start, up to 8."""
        return len(self._answered)

    def responsive(self, names: Iterable[str]) -> set[str]:
        """Return the names without those that do not answer now."""
        return set(names) - self._unresponsive

    def next_peer(
        self, names: Collection[str], suspects: list[str], heard_at: int
    ) -> str | None:
        """Return whom to ask next, if there is anybody.

        ``heard_at`` is when any peer was last heard.
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
        """Shuffle all peers, and one suspect: it may have come back."""
        known = {*names, *suspects}
        self._unresponsive &= known
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if name in known
        }
        drawn = list(names)
        if suspects:
            drawn.append(self._random.choice(suspects))
        self._random.shuffle(drawn)
        return drawn

    def record_answer(self, name: str) -> None:
        """Note that a peer answered an exchange."""
        if len(self._answered) < _MAX_ANSWERED:
            self._answered.add(name)
        self._unresponsive.discard(name)
        self._failed_at.pop(name, None)
        if self._retry == name:
            self._retry = None

    def record_failure(self, name: str, heard_at: int) -> ProbeFailure:
        """Note that an exchange failed."""
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
