"""Finds out whether the process of a silent replica has ended.

That it is silent doesn't tell. A new process under its name, or an address at
which nothing listens, does. One to which no connection opens may have lost its
machine: it is paused for longer and longer, so that the controller loads its
models elsewhere.
"""

from __future__ import annotations

import weakref

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink.serving import _connections
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replicas

# A replica is probed at most this often, however many requests wait for it.
PROBE_INTERVAL_MS = 400


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
        self._ended: weakref.WeakSet[_replicas.Replica] = weakref.WeakSet()

    async def has_ended(self, replica: _replicas.Replica) -> bool:
        """Whether a replica's process has ended for certain."""
        known = self._replicas.get(replica.entry.name)
        if replica in self._ended or known not in (None, replica):
            return True
        now = self._clock.now()
        if now < self._due_at.get(replica, 0):
            return False
        self._due_at[replica] = now + PROBE_INTERVAL_MS
        try:
            await self._connections.check_listener(replica.entry.address)
        except _http.NoListenerError as error:
            replica.note_unreachable(self._clock.now(), str(error))
            # An instance without a path is refused connections, too.
            if not await self._reachability.check(is_certain=True):
                self._ended.add(replica)
        except _http.NotSentError as error:
            replica.note_unreachable(self._clock.now(), str(error))
        return replica in self._ended
