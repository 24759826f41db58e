"""Limits the requests that this instance has in flight at each replica.

A replica's ``max_in_flight`` keeps its KV cache within its memory budget,
and all instances share that limit without exchanging messages about it. Each
instance may use its fair share, the limit divided by the number of
instances. It may use more only while the replica's load report shows unused
capacity, which is divided among the instances too. Reports are out of date,
so the sum over all instances may briefly exceed the limit. What protects the
memory is the engine, which refuses requests with the reason "full"; the
instance then keeps to its fair share for a while.
"""

from __future__ import annotations

import math
import random
import weakref

from geraniumlink.backends import _backends
from geraniumlink.backends import _engines

# How long an instance keeps to its fair share after the refusal "full".
FULL_BACKOFF_MS = 1000

# Unused capacity is handed out this many times over, because few instances
# use all of their part of it at the same time.
OVERCOMMIT_FACTOR = 3


class _ReportState:
    """The last report of a replica, with this instance's counts then."""

    def __init__(self) -> None:
        self.report: _engines.Report | None = None
        # Estimate of how many of this instance's requests are included in
        # the report's count.
        self.own_counted = 0
        # This instance's requests in flight when the report was received.
        self.own_when_received = 0
        # Random number from 0 to 1, drawn for each report, that rounds a
        # fractional part up or down.
        self.rounding_draw = 0.0
        # Until then only the guaranteed share is used.
        self.backoff_until = 0


def fair_share(max_in_flight: int, instances: int) -> int:
    """Return an instance's share of a replica's limit, at least one."""
    return max(1, max_in_flight // max(1, instances))


class ReplicaLimits:
    """The limits that this instance observes at each replica."""

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
        """Return how many requests this instance may have in flight there.

        :param instances: the number of instances that use the replica.
        :param guaranteed: a lower bound of the result, which holds whatever
            the report says.
        :param has_no_queue: whether the times to first token show that
            requests don't queue inside the replica.
        """
        max_in_flight = backend.declared.max_in_flight
        state = self._current_state(backend)
        if state.report is None or now < state.backoff_until:
            return guaranteed
        unused = max_in_flight - state.report.in_flight
        if unused <= 0:
            return guaranteed
        unused_share = unused / max(1, instances)
        # Random rounding: with less unused capacity than instances, some
        # of them get one request more and the others none.
        allowed = state.own_counted + int(
            OVERCOMMIT_FACTOR * unused_share + state.rounding_draw
        )
        if has_no_queue:
            # The observed times are newer than the report and show that
            # there still is capacity, so at least one more is allowed.
            allowed = max(
                allowed, state.own_when_received + math.ceil(unused_share)
            )
        return min(max_in_flight, max(guaranteed, allowed))

    def estimated_load(self, backend: _backends.Backend) -> float:
        """Return the estimated fraction of a replica's limit in use.

        This instance's requests are counted exactly; those of the others
        are known from the replica's report only.
        """
        state = self._current_state(backend)
        others = 0
        if state.report is not None:
            others = max(0, state.report.in_flight - state.own_counted)
        return (others + backend.in_flight) / backend.declared.max_in_flight

    def back_off(self, backend: _backends.Backend, now: int) -> None:
        """Keep to the guaranteed share after the refusal "full"."""
        self._current_state(backend).backoff_until = now + FULL_BACKOFF_MS

    def _current_state(self, backend: _backends.Backend) -> _ReportState:
        """Return the state of a replica, updated when its report changed."""
        state = self._states.get(backend)
        if state is None:
            state = self._states[backend] = _ReportState()
        if state.report is not backend.report:
            state.report = backend.report
            # A report is about as old as the interval between reports, so
            # it counts about the requests that were in flight when the
            # previous one was received. Those sent since then may occupy
            # capacity that the report shows as unused; taking them as
            # counted would hand that capacity out twice.
            state.own_counted = min(state.own_when_received, backend.in_flight)
            state.own_when_received = backend.in_flight
            state.rounding_draw = self._random.random()
        return state
