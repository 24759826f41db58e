"""Plays a day of requests against a controller of emulated engines."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import typing

import anyio

from emulator import _control_plane
from emulator import _engines
from emulator import _sites
from geraniumlink.residency import _demand
from geraniumlink.residency import _requirements
from tests import emulated_controller


class Arrival(typing.NamedTuple):
    """A request for a model, or for an adapter of it."""

    model: str
    prompt_tokens: int
    # How long its client waits.
    wait_ms: int
    # Empty for the model itself.
    adapter: str = ""


# A model, and an adapter of it or "".
Wanted = tuple[str, str]


def make_engines(site, models, random_source):
    """Return engines with up to three models each, placed at random.

    :param models: the models to place, one entry for each copy; those that
        find no room are left out.
    """
    places = [[] for _ in range(site.engines)]
    for model in models:
        options = [
            place for place in places if len(place) < 3 and model not in place
        ]
        if options:
            random_source.choice(options).append(model)
    return [
        _engines.Engine(number, site.engine, site, held, held)
        for number, held in enumerate(places)
    ]


class Day:
    """Sends requests at a steady rate; records when each was served.

    :param leadership: the controller's lease; held all the time if None.
    :param lead_ms: time before the first request.
    """

    def __init__(self, clock, site, engines, leadership=None, lead_ms=1000):
        self._clock = clock
        self._lead_ms = lead_ms
        self._engines = engines
        self._controller, _ = emulated_controller.make_controller(
            site,
            engines,
            _control_plane.EngineOrderClient(engines, clock),
            clock,
            leadership,
        )
        self.asked_at: dict[Wanted, list[int]] = collections.defaultdict(list)
        self.served_at: dict[Wanted, list[int]] = collections.defaultdict(list)
        # Whether each request for an adapter was served, of those whose model
        # was resident as they came.
        self.adapter_requests: list[bool] = []

    async def play(self, arrivals: Iterable[Arrival], per_s: float):
        async with anyio.create_task_group() as group:
            group.start_soon(self._controller.run)
            await self._clock.sleep(self._lead_ms)
            for arrival in arrivals:
                group.start_soon(self._send, arrival)
                await self._clock.sleep(1000 / per_s)
            group.cancel_scope.cancel()
        return self

    def asked_through_the_day(self, min_requests, min_span_ms):
        """Return what is asked for so often, over at least a span."""
        return [
            wanted
            for wanted, times in self.asked_at.items()
            if len(times) >= min_requests
            and times[-1] - times[0] >= min_span_ms
        ]

    async def _send(self, arrival):
        is_resident = any(
            arrival.model in engine.residents for engine in self._engines
        )
        is_served = await self._ask(arrival)
        if arrival.adapter and is_resident:
            self.adapter_requests.append(is_served)

    async def _ask(self, arrival):
        """Ask until the client gives up; return whether it is served."""
        wanted = (arrival.model, arrival.adapter)
        self.asked_at[wanted].append(self._clock.now())
        self._controller.record_demand(
            _demand.DemandSample(
                _sites.SERVICE, *wanted, arrival.prompt_tokens
            )
        )
        requirement = _requirements.Requirement(_sites.SERVICE, *wanted)
        deadline = self._clock.now() + arrival.wait_ms
        while (left_ms := deadline - self._clock.now()) > 0:
            answer = await self._controller.ensure_resident(
                requirement, set(), left_ms
            )
            match answer:
                case _requirements.Resident():
                    self.served_at[wanted].append(self._clock.now())
                    return True
                case _requirements.RetryLater():
                    return False
        return False
