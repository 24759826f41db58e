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
OVERCOMMIT_FACTOR = 3


class _ReportState:
    """What was so here when a report was first seen."""

    def __init__(self) -> None:
        self.report: _engines.Report | None = None
        # Own requests that the report has counted.
        self.own_counted = 0
        self.own_when_received = 0
        # Between 0 and 1; decides who of many takes the odd place.
        self.rounding_draw = 0.0
        self.backoff_until = 0


def fair_share(max_in_flight: int, instances: int) -> int:
    """Return an instance's part of a replica's limit, at least one."""
    return max(1, max_in_flight // max(1, instances))


class ReplicaLimits:
    """The limits of every replica at this instance."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._states: weakref.WeakKeyDictionary[
            _backends.Backend, _ReportState
        ] = weakref.WeakKeyDictionary()

    def limit(
        self,
        backend: _backends.Backend,
        instances: int,
        guaranteed: int,
        has_no_queue: bool,
        now: int,
    ) -> int:
        """Return how many requests may be there from here.

        :param instances: how many instances use the replica.
        :param guaranteed: what may be there whatever the report says.
        :param answers_quickly: whether first tokens show that requests
            don't wait inside the replica.
        """
        max_in_flight = backend.declared.max_in_flight
        state = self._current_state(backend)
        if state.report is None or now < state.backoff_until:
            return guaranteed
        unused = max_in_flight - state.report.in_flight
        if unused <= 0:
            return guaranteed
        unused_share = unused / max(1, instances)
        # Of fewer places than instances, each takes one by chance.
        allowed = state.own_counted + int(
            OVERCOMMIT_FACTOR * unused_share + state.rounding_draw
        )
        if has_no_queue:
            # What is seen here is newer than the report: there is room.
            allowed = max(
                allowed, state.own_when_received + math.ceil(unused_share)
            )
        return min(max_in_flight, max(guaranteed, allowed))

    def estimated_load(self, backend: _backends.Backend) -> float:
        """Return the estimated part of a replica's limit that is in use.

        Others' requests are known by report only; own ones exactly.
        """
        state = self._current_state(backend)
        others = 0
        if state.report is not None:
            others = max(0, state.report.in_flight - state.own_counted)
        return (others + backend.in_flight) / backend.declared.max_in_flight

    def back_off(self, backend: _backends.Backend, now: int) -> None:
        self._current_state(backend).backoff_until = now + FULL_BACKOFF_MS

    def _current_state(self, backend: _backends.Backend) -> _ReportState:
        state = self._states.get(backend)
        if state is None:
            state = self._states[backend] = _ReportState()
        if state.report is not backend.report:
            state.report = backend.report
            # A report is about as old as the time between reports. Counting
            # what was sent since as unused room would lend it twice.
            state.own_counted = min(state.own_when_received, backend.in_flight)
            state.own_when_received = backend.in_flight
            state.rounding_draw = self._random.random()
        return state
