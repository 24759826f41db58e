"""Finds out what has become of a silent replica.

That it is silent doesn't tell. A new process under its name, or an address at
which nothing listens, does: it has ended. One to which no connection opens may
have lost its machine: it is paused for longer and longer, so that the
controller loads its models elsewhere.
"""

from __future__ import annotations

import enum
import weakref

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink.serving import _connections
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replicas

# A replica is probed at most this often, however many requests wait for it.
PROBE_INTERVAL_MS = 400


class Liveness(enum.Enum):
    """What is known of a silent replica."""

    # It accepts connections, or wasn't probed yet.
    MAY_GO_ON = "may go on"
    # No connection could be opened.
    UNREACHABLE = "unreachable"
    # Its process has ended for certain.
    ENDED = "ended"


class ProcessProbe:
    """Probes silent replicas, each once for all of its requests."""

    def __init__(
        self,
        replicas: _replicas.Replicas,
        connections: _connections.ConnectionPool,
        reachability: _reachability.Reachability,
        clock: _clock.Clock,
    ) -> None:
        self._replicas = replicas
        self._connections = connections
        self._reachability = reachability
        self._clock = clock
        # When each replica may be probed again.
        self._due_at: weakref.WeakKeyDictionary[_replicas.Replica, int] = (
            weakref.WeakKeyDictionary()
        )
        self._found: weakref.WeakKeyDictionary[_replicas.Replica, Liveness] = (
            weakref.WeakKeyDictionary()
        )

    async def probe(self, replica: _replicas.Replica) -> Liveness:
        """Return what is known of a replica, after a probe if one is due."""
        known = self._replicas.get(replica.entry.name)
        if known not in (None, replica):
            return Liveness.ENDED
        found = self._found.get(replica, Liveness.MAY_GO_ON)
        now = self._clock.now()
        if found is Liveness.ENDED or now < self._due_at.get(replica, 0):
            return found
        self._due_at[replica] = now + PROBE_INTERVAL_MS
        self._found[replica] = found = await self._try_listener(replica)
        return found

    async def _try_listener(self, replica: _replicas.Replica) -> Liveness:
        try:
            await self._connections.check_listener(replica.entry.address)
        except _http.NoListenerError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            # An instance without a path is refused connections, too.
            if await self._reachability.check(is_certain=True):
                return Liveness.MAY_GO_ON
            return Liveness.ENDED
        except _http.NotSentError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            return Liveness.UNREACHABLE
        return Liveness.MAY_GO_ON
