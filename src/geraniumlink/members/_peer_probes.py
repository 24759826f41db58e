"""Selects the peer to exchange with next, and tracks failed exchanges.

All peers are contacted in rounds of random order, so that each is contacted
within two rounds. A peer that failed once is contacted again as soon as
another one was heard.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
import enum
import random

from geraniumlink import _clock

# How many different peers that answered are remembered, to count them.
_MAX_COUNTED_PEERS = 8


class ProbeFailure(enum.Enum):
    """How certain it is, after a failed exchange, that the peer is down."""

    FIRST = "first failure: the peer is contacted again"
    # No peer was heard since the first failure, so this instance itself may
    # be cut off from the network.
    DOUBTFUL = "second failure, and no peer was heard in between"
    CERTAIN = "second failure, and another peer was heard in between"


class ProbeSchedule:
    """The order in which one instance contacts its peers."""

    def __init__(
        self, clock: _clock.Clock, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._remaining_round: list[str] = []
        # Time of the first failure, by peer; removed by the second failure or
        # by an answer.
        self._first_failed_at: dict[str, int] = {}
        # The peer that failed once most recently, to be contacted again.
        self._retry_peer: str | None = None
        # Peers that answered since the start, up to _MAX_COUNTED_PEERS.
        self._answered_peers: set[str] = set()
        # Peers that failed twice in a row and have not answered since.
        self._unresponsive: set[str] = set()

    @property
    def heard_peer_count(self) -> int:
        """Number of different peers that answered since the start, up to 8."""
        return len(self._answered_peers)

    def without_unresponsive(self, names: Iterable[str]) -> set[str]:
        """Return the names of peers that have not failed twice in a row."""
        return set(names) - self._unresponsive

    def next_peer(
        self, names: Collection[str], suspects: list[str], last_heard_at: int
    ) -> str | None:
        """Return the name of the peer to contact next, if there is any.

        ``names`` are the peers that may be alive, ``last_heard_at`` is the
        time of the last message from any peer.
        """
        retry = self._retry_peer
        if retry in names and self._heard_since_failure(retry, last_heard_at):
            return retry
        while self._remaining_round:
            name = self._remaining_round.pop()
            if name in names or name in suspects:
                return name
        self._remaining_round = self._shuffle_round(names, suspects)
        return self._remaining_round.pop() if self._remaining_round else None

    def _shuffle_round(
        self, names: Collection[str], suspects: list[str]
    ) -> list[str]:
        """Return all peers in random order, and one suspect.

        The suspect is probed as it may be back. Drops records of peers that
        are no longer known.
        """
        known = {*names, *suspects}
        self._unresponsive &= known
        self._first_failed_at = {
            name: failed_at
            for name, failed_at in self._first_failed_at.items()
            if name in known
        }
        round_order = list(names)
        if suspects:
            round_order.append(self._random.choice(suspects))
        self._random.shuffle(round_order)
        return round_order

    def record_answer(self, name: str) -> None:
        """Record that a peer answered an exchange."""
        if len(self._answered_peers) < _MAX_COUNTED_PEERS:
            self._answered_peers.add(name)
        self._unresponsive.discard(name)
        self._first_failed_at.pop(name, None)
        if self._retry_peer == name:
            self._retry_peer = None

    def record_failure(self, name: str, last_heard_at: int) -> ProbeFailure:
        """Record a failed exchange and return how certain the failure is.

        The first failure schedules a retry. The second marks the peer as
        unresponsive, and its failures are counted anew.
        """
        if name not in self._first_failed_at:
            self._first_failed_at[name] = self._clock.now()
            self._retry_peer = name
            return ProbeFailure.FIRST
        certain = self._heard_since_failure(name, last_heard_at)
        del self._first_failed_at[name]
        self._retry_peer = None
        self._unresponsive.add(name)
        return ProbeFailure.CERTAIN if certain else ProbeFailure.DOUBTFUL

    def _heard_since_failure(
        self, name: str | None, last_heard_at: int
    ) -> bool:
        """Whether a message from any peer came since the peer's failure."""
        first_failed_at = self._first_failed_at.get(name or "")
        return first_failed_at is not None and first_failed_at < last_heard_at
