"""Plays one day: a site, a load, a policy, a seed, and troubles."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.abc
import eliot

from emulator import _clients
from emulator import _control
from emulator import _demand
from emulator import _engines
from emulator import _instances
from emulator import _policies
from emulator import _sites
from emulator import _tally
from emulator import _virtual_time
from emulator import _wire

# Instances know all engines, and one of them controls, by then.
WARM_UP_MS = 6000
# An instance that was killed is there again after this.
RESTART_MS = 3000
SAMPLE_MS = 100
# The demand of this long decides how good a placement is.
PLACEMENT_MS = 2000


class Trouble(typing.NamedTuple):
    """What happens to instances or the store, and when."""

    kills_controller: bool = False
    # A share of all instances is killed, the controller among them.
    killed_share: float = 0.0
    # The store does not answer for this long.
    store_down_ms: int = 0
    at_ms: int = 12_000


class Day(typing.NamedTuple):
    """All that a played day depends on."""

    site: _sites.Site
    load: _demand.Load
    policy: _policies.Policy
    seed: int
    trouble: Trouble = Trouble()
    # What is asked; the load's own arrivals if it is empty.
    arrivals: tuple[_demand.Arrival, ...] = ()


class Sample(typing.NamedTuple):
    """How things stood at one time after the start of traffic."""

    at_ms: int
    # Share of the late demand, in requests, whose model is resident.
    placed: float
    # Moves of models so far.
    moves: int


class Outcome(typing.NamedTuple):
    """What came of a day."""

    results: list[_clients.Result]
    samples: list[Sample]
    tally: _tally.Tally
    store_calls: int
    messages: int
    connections: int
    store_loads: int
    put_back: int


def play(day: Day) -> Outcome:
    """Play a day in virtual time; the same for the same day."""
    random.seed(day.seed)
    return _virtual_time.run(_Player(day).run)


class _Player:
    def __init__(self, day: Day) -> None:
        self._day = day
        self._random = random.Random(f"clients-{day.seed}")
        self._results: list[_clients.Result] = []
        self._samples: list[Sample] = []
        self._asked: list[tuple[int, str]] = []
        self._tally = _tally.Tally()
        self._instances: dict[int, _instances.Instance] = {}

    async def run(self, clock: _virtual_time.VirtualClock) -> Outcome:
        self._clock = clock
        self._engines = _make_engines(self._day.site)
        self._network = _wire.Network(self._engines)
        self._around = _instances.Surroundings(
            self._day.site,
            clock,
            self._network,
            _control.Orders(self._engines, clock),
        )
        eliot.add_destinations(self._note_line)
        try:
            async with anyio.create_task_group() as group:
                await self._play(group)
                group.cancel_scope.cancel()
        finally:
            eliot.remove_destination(self._note_line)
        return self._outcome()

    async def _play(self, group: anyio.abc.TaskGroup) -> None:
        for number in range(self._day.site.instances):
            self._start(number, group)
        group.start_soon(
            _control.register_always, self._engines, self._tell, self._clock
        )
        await self._clock.sleep(WARM_UP_MS)
        self._began = self._clock.now()
        group.start_soon(self._sample)
        group.start_soon(self._make_trouble, group)
        async with anyio.create_task_group() as clients:
            await self._send_clients(clients)

    def _start(self, number: int, group: anyio.abc.TaskGroup) -> None:
        instance = _instances.Instance(
            number, self._around, self._day.policy, self._day.seed
        )
        for engine in self._engines:
            instance.take_entry(engine.entry())
        self._instances[number] = instance
        group.start_soon(instance.run)

    def _tell(self, entry: typing.Any) -> None:
        for instance in self._instances.values():
            instance.take_entry(entry)

    async def _send_clients(self, clients: anyio.abc.TaskGroup) -> None:
        day = self._day
        arrivals = day.arrivals or _demand.arrivals(
            day.site, day.load, day.seed
        )
        for arrival in arrivals:
            wait_ms = self._began + arrival.at_ms - self._clock.now()
            if wait_ms > 0:
                await self._clock.sleep(wait_ms)
            self._asked.append((self._clock.now(), arrival.model))
            clients.start_soon(self._ask, arrival)

    async def _ask(self, arrival: _demand.Arrival) -> None:
        client = _clients.Client(arrival, self._day.site, self._clock)

        def choose() -> _instances.Instance | None:
            return self._choose_instance(arrival.instance)

        self._results.append(await client.ask(choose))

    def _choose_instance(
        self, number: int | None
    ) -> _instances.Instance | None:
        if number in self._instances:
            return self._instances[number]
        if not self._instances:
            return None
        return self._random.choice(list(self._instances.values()))

    async def _make_trouble(self, group: anyio.abc.TaskGroup) -> None:
        trouble = self._day.trouble
        await self._clock.sleep(trouble.at_ms)
        if trouble.killed_share or trouble.kills_controller:
            group.start_soon(self._kill, group)
        if trouble.store_down_ms:
            self._around.store.down = True
            await self._clock.sleep(trouble.store_down_ms)
            self._around.store.down = False

    async def _kill(self, group: anyio.abc.TaskGroup) -> None:
        trouble = self._day.trouble
        numbers = sorted(
            self._instances,
            key=lambda number: not self._instances[number].is_controller,
        )
        count = round(trouble.killed_share * len(numbers))
        killed = numbers[: max(count, int(trouble.kills_controller))]
        for number in killed:
            self._instances.pop(number).kill()
        await self._clock.sleep(RESTART_MS)
        for number in killed:
            self._start(number, group)

    async def _sample(self) -> None:
        while True:
            now = self._clock.now()
            late = [
                model for at, model in self._asked if now - at <= PLACEMENT_MS
            ]
            held = {m for engine in self._engines for m in engine.residents}
            # Without demand there is nothing to be placed well.
            if late:
                placed = sum(model in held for model in late) / len(late)
                at_ms = now - self._began
                self._samples.append(Sample(at_ms, placed, self._tally.moves))
            await self._clock.sleep(SAMPLE_MS)

    def _note_line(self, line: dict[str, typing.Any]) -> None:
        self._tally.note(str(line.get("message_type")), line)

    def _outcome(self) -> Outcome:
        return Outcome(
            self._results,
            self._samples,
            self._tally,
            self._around.store.calls,
            self._around.mail.sent,
            self._network.opened,
            sum(engine.store_loads for engine in self._engines),
            sum(engine.put_back for engine in self._engines),
        )


def _make_engines(site: _sites.Site) -> list[_engines.Engine]:
    """Return engines that hold the most asked for models in turn."""
    engines = []
    names = site.models
    for number in range(site.engines):
        spec = site.engine
        first = number * spec.resident_models
        turned = [
            names[(first + index) % len(names)]
            for index in range(spec.near_models)
        ]
        held = turned[: spec.resident_models]
        engines.append(_engines.Engine(number, spec, site, held, turned))
    return engines
