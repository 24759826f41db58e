"""Moves a request away from a silent replica, once another can take it.

Silence tells little: a replica that sends nothing may have ended, or it may
pause for a moment and go on. So it ends no attempt by itself. Another target
is chosen and connected to meanwhile, and the attempt ends only when that has
worked, or the replica is given up; if it sends something before, the request
stays there.
"""

from __future__ import annotations

import asyncio
import typing

import anyio

from geraniumlink import _clock
from geraniumlink.serving import _balance
from geraniumlink.serving import _connections
from geraniumlink.serving import _peers

# Pauses before another search after one that found nothing; each is twice as
# long as the one before.
FIRST_PAUSE_MS = 200
LONGEST_PAUSE_MS = 1600


Target = _balance.Choice | _peers.Peer


class Successor(typing.NamedTuple):
    """Where a request goes on, with a connection that is open."""

    target: Target
    connection: _connections.Connection


class Source(typing.Protocol):
    """Finds successors for one request."""

    async def is_given_up(self) -> bool:
        """Whether the replica isn't to be waited for any longer."""

    async def find(self) -> Successor | None:
        """Return a successor that may be sent the request at once, or None.

        It is counted as a retry.
        """

    def discard(self, successor: Successor) -> None:
        """Give back a successor that isn't used, and don't count it."""


class EndAttempt(typing.Protocol):
    """Ends the attempt."""

    def __call__(self, is_given_up: bool) -> bool:
        """Return whether it did; it doesn't if the replica has spoken.

        :param is_given_up: whether it ends because the replica isn't waited
            for any longer; otherwise there is a successor.
        """


class Failover:
    """The search for the successor of one attempt."""

    def __init__(self, source: Source, clock: _clock.Clock) -> None:
        self._source = source
        self._clock = clock
        self._search: asyncio.Task[None] | None = None
        self._successor: Successor | None = None

    def start(self, end_attempt: EndAttempt) -> None:
        """Begin to search, unless a search is in progress."""
        if self._search is None or self._search.done():
            self._search = asyncio.create_task(self._run(end_attempt))

    def cancel(self) -> None:
        """End the search in progress, as the replica has sent something."""
        if self._search is not None:
            self._search.cancel()

    async def stop(self) -> None:
        """End the search in progress, and wait for its end.

        :raises Exception: if the search has failed with one.
        """
        if self._search is None:
            return
        self._search.cancel()
        with anyio.CancelScope(shield=True):
            await asyncio.wait([self._search])
        if not self._search.cancelled():
            self._search.result()

    def take(self) -> Successor | None:
        """Return the successor for which the attempt was ended, if any."""
        successor, self._successor = self._successor, None
        return successor

    def discard(self) -> None:
        """Give back a successor that was not taken."""
        successor = self.take()
        if successor is not None:
            self._source.discard(successor)

    async def _run(self, end_attempt: EndAttempt) -> None:
        pause_ms = FIRST_PAUSE_MS
        while True:
            if await self._source.is_given_up():
                end_attempt(is_given_up=True)
                return
            found = await self._source.find()
            if found is not None:
                break
            await self._clock.sleep(pause_ms)
            pause_ms = min(2 * pause_ms, LONGEST_PAUSE_MS)
        if end_attempt(is_given_up=False):
            self._successor = found
        else:
            self._source.discard(found)
