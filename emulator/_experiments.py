"""Compares policies over scenarios, and measures recovery from faults."""

from __future__ import annotations

from concurrent import futures
import typing

from emulator import _demand
from emulator import _policies
from emulator import _results
from emulator import _simulation
from emulator import _sites


class Scenario(typing.NamedTuple):
    """A site and its workload."""

    name: str
    site: _sites.Site
    workload: _demand.Workload


_CALM, _HIGH, _SHIFTING, _BURST = _demand.WORKLOADS
_FEW_MODELS = _sites.Site(models=_sites.model_names(6), adapters=3)
_MANY_INSTANCES = _sites.Site(instances=40)
SCENARIOS = (
    Scenario("many models, calm", _sites.Site(), _CALM),
    Scenario("many models, high", _sites.Site(), _HIGH),
    Scenario("many models, shifting", _sites.Site(), _SHIFTING),
    Scenario("many models, burst and abuse", _sites.Site(), _BURST),
    Scenario("few models, high", _FEW_MODELS, _HIGH),
    Scenario("few models, burst and abuse", _FEW_MODELS, _BURST),
    Scenario("40 instances, high", _MANY_INSTANCES, _HIGH),
)

# Numbers of instances at which the recovery is measured.
INSTANCE_COUNTS = (8, 40, 100)
# The keys are written to the report.
FAULTS = {
    "controller killed": _simulation.Fault(kills_controller=True),
    "half of the instances killed": _simulation.Fault(killed_share=0.5),
    "store down for 5 s": _simulation.Fault(store_down_ms=5000),
    "none": _simulation.Fault(),
}


class Comparison(typing.TypedDict):
    """Figures of a policy on a scenario, over seeds.

    The field names are keys of the JSON report.
    """

    scenario: str
    policy: str
    # The figures of each seed.
    days: list[_results.DayNumbers]
    in_time: _results.MeanDeviation
    refused: _results.MeanDeviation


class RecoveryRun(typing.TypedDict):
    """Recovery from a fault with a number of instances, over seeds.

    The field names are keys of the JSON report.
    """

    instances: int
    # Name of the fault.
    trouble: str
    # The figures of each seed.
    days: list[_results.DayNumbers]
    recoveries: list[_results.Recovery]


def compare(seeds: range, jobs: int) -> list[Comparison]:
    """Simulate each scenario with each policy and seed.

    ``jobs`` is the number of processes that run at a time.
    """
    pairs = [(s, p) for s in SCENARIOS for p in _policies.POLICIES]
    with futures.ProcessPoolExecutor(jobs) as pool:
        submitted = [
            [
                pool.submit(_simulate_scenario, scenario, policy.name, seed)
                for seed in seeds
            ]
            for scenario, policy in pairs
        ]
        return [
            _make_comparison(
                scenario,
                policy,
                [future.result() for future in futures_by_seed],
            )
            for (scenario, policy), futures_by_seed in zip(
                pairs, submitted, strict=True
            )
        ]


def recover(seeds: range, jobs: int) -> list[RecoveryRun]:
    """Simulate each fault with each number of instances and seed.

    ``jobs`` is the number of processes that run at a time.
    """
    pairs = [(n, fault_name) for n in INSTANCE_COUNTS for fault_name in FAULTS]
    with futures.ProcessPoolExecutor(jobs) as pool:
        submitted = [
            [
                pool.submit(_simulate_fault, n, fault_name, seed)
                for seed in seeds
            ]
            for n, fault_name in pairs
        ]
        runs = []
        for (n, fault_name), futures_by_seed in zip(
            pairs, submitted, strict=True
        ):
            outcomes = [future.result() for future in futures_by_seed]
            runs.append(
                RecoveryRun(
                    instances=n,
                    trouble=fault_name,
                    days=[figures for figures, _ in outcomes],
                    recoveries=[recovery for _, recovery in outcomes],
                )
            )
        return runs


def _simulate_scenario(
    scenario: Scenario, policy_name: str, seed: int
) -> _results.DayNumbers:
    (policy,) = (p for p in _policies.POLICIES if p.name == policy_name)
    spec = _simulation.SimulationSpec(
        scenario.site, scenario.workload, policy, seed
    )
    return _results.summarize(scenario.site, _simulation.simulate(spec))


def _simulate_fault(
    instances: int, fault_name: str, seed: int
) -> tuple[_results.DayNumbers, _results.Recovery]:
    site = _sites.Site(instances=instances)
    fault = FAULTS[fault_name]
    policy = _policies.POLICIES[0]
    result = _simulation.simulate(
        _simulation.SimulationSpec(site, _SHIFTING, policy, seed, fault)
    )
    return (
        _results.summarize(site, result),
        _results.measure_recovery(result, fault),
    )


def _make_comparison(
    scenario: Scenario,
    policy: _policies.Policy,
    days: list[_results.DayNumbers],
) -> Comparison:
    return Comparison(
        scenario=scenario.name,
        policy=policy.name,
        days=days,
        in_time=_results.mean_and_deviation(
            [figures["in_time"] for figures in days]
        ),
        refused=_results.mean_and_deviation(
            [figures["refused"] for figures in days]
        ),
    )
