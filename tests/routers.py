"""Builders of routers, and a small simulation of many before one service.

The simulation has no clock but its own, so that what it shows about herding
is the same on every run.
"""

from __future__ import annotations

import heapq
import random

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.backends import _backends
from geraniumlink.backends import _engines
from geraniumlink.requests import _routing

REQUIREMENTS = _routing.Requirements("assistant", "notes")


class FixedBackends:
    """Stands for ``_backends.Backends`` with these servers."""

    def __init__(self, backends):
        self.backends = backends

    def for_deployment(self, deployment):
        return [
            backend
            for backend in self.backends
            if backend.key.deployment == deployment
        ]


def backend(index=0, max_in_flight=16, resident=("notes",), in_flight=0):
    """Return a server that has reported."""
    declared = pb.Replica(
        name=f"r{index}",
        address=f"127.0.0.1:{1000 + index}",
        max_in_flight=max_in_flight,
    )
    made = _backends.Backend(
        _backends.Key("assistant", declared.name), declared
    )
    report(made, in_flight, resident)
    return made


def report(backend, in_flight, resident=("notes",)):
    backend.record_report(
        _engines.Report(
            "boot", in_flight, False, dict.fromkeys(resident, "1")
        ),
        now=0,
    )


def router(backends, instances=1, name="i0", subset=16, seed=1, kind=None):
    subset_parameters = _routing.SubsetParameters(
        name, lambda: instances, subset
    )
    kind = kind or _routing.Router
    return kind(
        FixedBackends(backends), random.Random(seed), subset_parameters
    )


class Simulation:
    """Instances that choose by reports which lag; times in milliseconds."""

    def __init__(self, kind, instances, replicas, max_in_flight, seed=1):
        self._random = random.Random(seed)
        self._replicas = replicas
        self._views = [
            [backend(index, max_in_flight) for index in range(replicas)]
            for _ in range(instances)
        ]
        self._routers = [
            router(view, instances, f"i{index}", seed=index, kind=kind)
            for index, view in enumerate(self._views)
        ]
        self.in_flight = [0] * replicas
        self.peaks = [0] * replicas
        self.refused = 0

    def run(self, requests, rate_per_s, service_ms, lag_ms):
        """Let requests arrive at random instances until all have ended."""
        now, events, history = 0.0, [], [(0.0, list(self.in_flight))]
        for number in range(requests):
            now += self._random.expovariate(rate_per_s / 1000)
            while events and events[0][0] <= now:
                _, _, view, replica = heapq.heappop(events)
                self._views[view][replica].in_flight -= 1
                self.in_flight[replica] -= 1
            if now - history[-1][0] >= lag_ms:
                self._report(history[-1][1])
                history.append((now, list(self.in_flight)))
            self._arrive(number, now, events, service_ms)

    def _report(self, loads):
        for view in self._views:
            for server, load in zip(view, loads, strict=True):
                report(server, load)

    def _arrive(self, number, now, events, service_ms):
        view = self._random.randrange(len(self._views))
        choice = self._routers[view].choose(REQUIREMENTS, (), int(now))
        if choice.backend is None:
            self.refused += 1
            return
        replica = self._views[view].index(choice.backend)
        choice.backend.in_flight += 1
        self.in_flight[replica] += 1
        load = self.in_flight[replica]
        self.peaks[replica] = max(self.peaks[replica], load)
        ends = now + self._random.expovariate(1 / service_ms)
        heapq.heappush(events, (ends, number, view, replica))
