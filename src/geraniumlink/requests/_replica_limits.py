"""How many requests this instance may have at each replica.

A replica's ``max_in_flight`` keeps its KV cache within budget, and all
instances use it together. They don't talk about it: each takes its share by
the number of instances, and more only while the replica's own report shows
unused room, of which it takes its share again. Reports lag, so the sum may
pass the limit for a moment; the engine's own refusal "full" is what guards
the memory, and sends the instance back to its share for a while.
"""

from __future__ import annotations

import math
import random
import weakref

from geraniumlink.backends import _backends
from geraniumlink.backends import _engines

# After the refusal "full" nothing above the share is sent for this long.
FULL_BACKOFF_MS = 1000

# Unused room is lent this many times over, because few instances use all of
# what they are lent at the same time.
LENDING = 3


class _Known:
    """What was so here when a report was first seen."""

    def __init__(self) -> None:
        self.report: _engines.Report | None = None
        # Own requests that the report has counted.
        self.own = 0
        self.own_when_seen = 0
        # Between 0 and 1; decides who of many takes the odd place.
        self.draw = 0.0
        self.full_until = 0


def share(max_in_flight: int, instances: int) -> int:
    """Return an instance's part of a replica's limit, at least one."""
    return max(1, max_in_flight // max(1, instances))


class ReplicaLimits:
    """The limits of every replica at this instance."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._known: weakref.WeakKeyDictionary[_backends.Backend, _Known] = (
            weakref.WeakKeyDictionary()
        )

    def limit(
        self,
        backend: _backends.Backend,
        instances: int,
        guaranteed: int,
        answers_quickly: bool,
        now: int,
    ) -> int:
        """Return how many requests may be there from here.

        :param instances: how many instances use the replica.
        :param guaranteed: what may be there whatever the report says.
        :param answers_quickly: whether first tokens show that requests
            don't wait inside the replica.
        """
        maximum = backend.declared.max_in_flight
        known = self._refreshed(backend)
        if known.report is None or now < known.full_until:
            return guaranteed
        unused = maximum - known.report.in_flight
        if unused <= 0:
            return guaranteed
        part = unused / max(1, instances)
        # Of fewer places than instances, each takes one by chance.
        allowed = known.own + int(LENDING * part + known.draw)
        if answers_quickly:
            # What is seen here is newer than the report: there is room.
            allowed = max(allowed, known.own_when_seen + math.ceil(part))
        return min(maximum, max(guaranteed, allowed))

    def load(self, backend: _backends.Backend) -> float:
        """Return the estimated part of a replica's limit that is in use.

        Others' requests are known by report only; own ones exactly.
        """
        known = self._refreshed(backend)
        others = 0
        if known.report is not None:
            others = max(0, known.report.in_flight - known.own)
        return (others + backend.in_flight) / backend.declared.max_in_flight

    def refused_as_full(self, backend: _backends.Backend, now: int) -> None:
        self._refreshed(backend).full_until = now + FULL_BACKOFF_MS

    def _refreshed(self, backend: _backends.Backend) -> _Known:
        known = self._known.get(backend)
        if known is None:
            known = self._known[backend] = _Known()
        if known.report is not backend.report:
            known.report = backend.report
            # A report is about as old as the time between reports. Counting
            # what was sent since as unused room would lend it twice.
            known.own = min(known.own_when_seen, backend.in_flight)
            known.own_when_seen = backend.in_flight
            known.draw = self._random.random()
        return known
