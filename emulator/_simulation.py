"""Runs one simulation: a site under a workload, with injected faults."""

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

# Traffic starts after this. By then every instance knows all engines, and
# one instance has become the controller.
WARM_UP_MS = 6000
# A killed instance is restarted after this.
RESTART_DELAY_MS = 3000
# Between two samples of the placement.
SAMPLE_INTERVAL_MS = 100
# A placement is rated by the requests that arrived in this last period.
PLACEMENT_WINDOW_MS = 2000


class Fault(typing.NamedTuple):
    """A fault of instances or of the store, and when it is injected."""

    kills_controller: bool = False
    # Share of the instances that are killed; includes the controller.
    killed_share: float = 0.0
    # The store is unavailable for this long; 0 for no outage.
    store_down_ms: int = 0
    # From the start of traffic.
    at_ms: int = 12_000


class SimulationSpec(typing.NamedTuple):
    """All inputs of a simulation."""

    site: _sites.Site
    workload: _demand.Workload
    policy: _policies.Policy
    seed: int
    fault: Fault = Fault()
    # Requests to send; if empty, they are generated from the workload.
    arrivals: tuple[_demand.Arrival, ...] = ()


class PlacementSample(typing.NamedTuple):
    """The placement of models at one time."""

    # From the start of traffic.
    at_ms: int
    # Share of the recent requests whose model is resident on some engine.
    placed: float
    # Models moved so far.
    moves: int


class SimulationResult(typing.NamedTuple):
    """What a simulation measured."""

    results: list[_clients.RequestResult]
    samples: list[PlacementSample]
    log_summarizer: _log_summary.LogSummarizer
    # Calls to the metadata store.
    store_calls: int
    # Requests between instances.
    messages: int
    # Connections opened to engines.
    connections: int
    # Models loaded from the remote store, without a local copy.
    store_loads: int
    # Requests preempted for lack of KV cache memory.
    preemptions: int


def simulate(spec: SimulationSpec) -> SimulationResult:
    """Run a simulation in virtual time.

    Equal specs give equal results, unless instances are killed: ``kill``
    cancels their requests in the order of a set, which varies.
    """
    random.seed(spec.seed)
    return _virtual_time.run(_Simulation(spec).run)


class _Simulation:
    """The state of one simulation."""

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
        self._traffic_started_at = self._clock.now()
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
            wait_ms = (
                self._traffic_started_at + arrival.at_ms - self._clock.now()
            )
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
            residents = {
                m for engine in self._engines for m in engine.residents
            }
            # Without recent requests the share is undefined.
            if recent:
                placed = sum(model in residents for model in recent) / len(
                    recent
                )
                at_ms = now - self._traffic_started_at
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
    """Return engines with models assigned round-robin, by popularity."""
    engines = []
    names = site.models
    for number in range(site.engines):
        engine_spec = site.engine
        first = number * engine_spec.max_resident_models
        local_models = [
            names[(first + index) % len(names)]
            for index in range(engine_spec.max_local_models)
        ]
        residents = local_models[: engine_spec.max_resident_models]
        engines.append(
            _engines.Engine(number, engine_spec, site, residents, local_models)
        )
    return engines
