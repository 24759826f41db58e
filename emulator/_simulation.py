"""Plays one day: a site, a load, a policy, a seed, and troubles."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.abc
import eliot

from emulator import _clients
from emulator import _control_plane
from emulator import _demand
from emulator import _emulated_instances
from emulator import _engine_connections
from emulator import _engines
from emulator import _log_summary
from emulator import _policies
from emulator import _sites
from emulator import _virtual_time

# Instances know all engines, and one of them controls, by then.
WARM_UP_MS = 6000
# An instance that was killed is there again after this.
RESTART_DELAY_MS = 3000
SAMPLE_INTERVAL_MS = 100
# The demand of this long decides how good a placement is.
PLACEMENT_WINDOW_MS = 2000


class Fault(typing.NamedTuple):
    """What happens to instances or the store, and when."""

    kills_controller: bool = False
    # A share of all instances is killed, the controller among them.
    killed_share: float = 0.0
    # The store does not answer for this long.
    store_down_ms: int = 0
    at_ms: int = 12_000


class SimulationSpec(typing.NamedTuple):
    """All that a played day depends on."""

    site: _sites.Site
    workload: _demand.Workload
    policy: _policies.Policy
    seed: int
    fault: Fault = Fault()
    # What is asked; the load's own arrivals if it is empty.
    arrivals: tuple[_demand.Arrival, ...] = ()


class PlacementSample(typing.NamedTuple):
    """How things stood at one time after the start of traffic."""

    at_ms: int
    # Share of the late demand, in requests, whose model is resident.
    placed: float
    # Moves of models so far.
    moves: int


class SimulationResult(typing.NamedTuple):
    """What came of a spec."""

    results: list[_clients.RequestResult]
    samples: list[PlacementSample]
    log_summarizer: _log_summary.LogSummarizer
    store_calls: int
    messages: int
    connections: int
    store_loads: int
    preemptions: int


def simulate(spec: SimulationSpec) -> SimulationResult:
    """Play a day in virtual time; the same for the same spec."""
    random.seed(spec.seed)
    return _virtual_time.run(_Simulation(spec).run)


class _Simulation:
    def __init__(self, spec: SimulationSpec) -> None:
        self._spec = spec
        self._random = random.Random(f"clients-{spec.seed}")
        self._results: list[_clients.RequestResult] = []
        self._samples: list[PlacementSample] = []
        self._requested_models: list[tuple[int, str]] = []
        self._log_summarizer = _log_summary.LogSummarizer()
        self._instances: dict[int, _emulated_instances.EmulatedInstance] = {}

    async def run(self, clock: _virtual_time.VirtualClock) -> SimulationResult:
        self._clock = clock
        self._engines = _make_engines(self._spec.site)
        self._network = _engine_connections.EngineNetwork(self._engines)
        self._environment = _emulated_instances.Environment(
            self._spec.site,
            clock,
            self._network,
            _control_plane.EngineOrderClient(self._engines, clock),
        )
        eliot.add_destinations(self._record_log_line)
        try:
            async with anyio.create_task_group() as group:
                await self._run_phases(group)
                group.cancel_scope.cancel()
        finally:
            eliot.remove_destination(self._record_log_line)
        return self._make_result()

    async def _run_phases(self, group: anyio.abc.TaskGroup) -> None:
        for number in range(self._spec.site.instances):
            self._start_instance(number, group)
        group.start_soon(
            _control_plane.run_heartbeats,
            self._engines,
            self._publish_entry,
            self._clock,
        )
        await self._clock.sleep(WARM_UP_MS)
        self._began = self._clock.now()
        group.start_soon(self._sample_placement)
        group.start_soon(self._inject_fault, group)
        async with anyio.create_task_group() as client_group:
            await self._start_clients(client_group)

    def _start_instance(self, number: int, group: anyio.abc.TaskGroup) -> None:
        instance = _emulated_instances.EmulatedInstance(
            number, self._environment, self._spec.policy, self._spec.seed
        )
        for engine in self._engines:
            instance.update_replica(engine.registry_entry())
        self._instances[number] = instance
        group.start_soon(instance.run)

    def _publish_entry(self, entry: typing.Any) -> None:
        for instance in self._instances.values():
            instance.update_replica(entry)

    async def _start_clients(self, client_group: anyio.abc.TaskGroup) -> None:
        spec = self._spec
        arrivals = spec.arrivals or _demand.generate_arrivals(
            spec.site, spec.workload, spec.seed
        )
        for arrival in arrivals:
            wait_ms = self._began + arrival.at_ms - self._clock.now()
            if wait_ms > 0:
                await self._clock.sleep(wait_ms)
            self._requested_models.append((self._clock.now(), arrival.model))
            client_group.start_soon(self._run_client, arrival)

    async def _run_client(self, arrival: _demand.Arrival) -> None:
        client = _clients.Client(arrival, self._spec.site, self._clock)

        def choose() -> _emulated_instances.EmulatedInstance | None:
            return self._choose_instance(arrival.instance)

        self._results.append(await client.run(choose))

    def _choose_instance(
        self, number: int | None
    ) -> _emulated_instances.EmulatedInstance | None:
        if number in self._instances:
            return self._instances[number]
        if not self._instances:
            return None
        return self._random.choice(list(self._instances.values()))

    async def _inject_fault(self, group: anyio.abc.TaskGroup) -> None:
        fault = self._spec.fault
        await self._clock.sleep(fault.at_ms)
        if fault.killed_share or fault.kills_controller:
            group.start_soon(self._kill_and_restart, group)
        if fault.store_down_ms:
            self._environment.store.unavailable = True
            await self._clock.sleep(fault.store_down_ms)
            self._environment.store.unavailable = False

    async def _kill_and_restart(self, group: anyio.abc.TaskGroup) -> None:
        fault = self._spec.fault
        numbers = sorted(
            self._instances,
            key=lambda number: not self._instances[number].is_controller,
        )
        count = round(fault.killed_share * len(numbers))
        killed = numbers[: max(count, int(fault.kills_controller))]
        for number in killed:
            self._instances.pop(number).kill()
        await self._clock.sleep(RESTART_DELAY_MS)
        for number in killed:
            self._start_instance(number, group)

    async def _sample_placement(self) -> None:
        while True:
            now = self._clock.now()
            recent = [
                model
                for at, model in self._requested_models
                if now - at <= PLACEMENT_WINDOW_MS
            ]
            held = {m for engine in self._engines for m in engine.residents}
            # Without demand there is nothing to be placed well.
            if recent:
                placed = sum(model in held for model in recent) / len(recent)
                at_ms = now - self._began
                self._samples.append(
                    PlacementSample(at_ms, placed, self._log_summarizer.moves)
                )
            await self._clock.sleep(SAMPLE_INTERVAL_MS)

    def _record_log_line(self, line: dict[str, typing.Any]) -> None:
        self._log_summarizer.add_line(str(line.get("message_type")), line)

    def _make_result(self) -> SimulationResult:
        return SimulationResult(
            self._results,
            self._samples,
            self._log_summarizer,
            self._environment.store.call_count,
            self._environment.peer_transport.request_count,
            self._network.connection_count,
            sum(engine.store_loads for engine in self._engines),
            sum(engine.preemptions for engine in self._engines),
        )


def _make_engines(site: _sites.Site) -> list[_engines.Engine]:
    """Return engines that hold the most asked for models in turn."""
    engines = []
    names = site.models
    for number in range(site.engines):
        engine_spec = site.engine
        first = number * engine_spec.max_resident_models
        turned = [
            names[(first + index) % len(names)]
            for index in range(engine_spec.max_local_models)
        ]
        held = turned[: engine_spec.max_resident_models]
        engines.append(
            _engines.Engine(number, engine_spec, site, held, turned)
        )
    return engines
