"""The days that are compared, and those with troubles."""

from __future__ import annotations

from concurrent import futures
import typing

from emulator import _demand
from emulator import _policies
from emulator import _results
from emulator import _simulation
from emulator import _sites


class Scenario(typing.NamedTuple):
    """A site and what is asked of it."""

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

# Sizes at which the recovery is measured.
INSTANCE_COUNTS = (8, 40, 100)
FAULTS = {
    "controller killed": _simulation.Fault(kills_controller=True),
    "half of the instances killed": _simulation.Fault(killed_share=0.5),
    "store down for 5 s": _simulation.Fault(store_down_ms=5000),
    "none": _simulation.Fault(),
}


class Comparison(typing.TypedDict):
    """A policy on a scenario, over seeds."""

    scenario: str
    policy: str
    days: list[_results.DayNumbers]
    in_time: _results.MeanDeviation
    refused: _results.MeanDeviation


class RecoveryRun(typing.TypedDict):
    """A trouble at a number of instances, over seeds."""

    instances: int
    trouble: str
    days: list[_results.DayNumbers]
    recoveries: list[_results.Recovery]


def compare(seeds: range, jobs: int) -> list[Comparison]:
    """Play all scenarios with all policies and some seeds."""
    pairs = [(s, p) for s in SCENARIOS for p in _policies.POLICIES]
    with futures.ProcessPoolExecutor(jobs) as pool:
        days = [
            [
                pool.submit(_simulate_scenario, scenario, policy.name, seed)
                for seed in seeds
            ]
            for scenario, policy in pairs
        ]
        return [
            _make_comparison(
                scenario, policy, [day.result() for day in played]
            )
            for (scenario, policy), played in zip(pairs, days, strict=True)
        ]


def recover(seeds: range, jobs: int) -> list[RecoveryRun]:
    """Play all troubles at all sizes with some seeds."""
    pairs = [(n, fault_name) for n in INSTANCE_COUNTS for fault_name in FAULTS]
    with futures.ProcessPoolExecutor(jobs) as pool:
        days = [
            [
                pool.submit(_simulate_fault, n, fault_name, seed)
                for seed in seeds
            ]
            for n, fault_name in pairs
        ]
        runs = []
        for (n, fault_name), played in zip(pairs, days, strict=True):
            found = [day.result() for day in played]
            runs.append(
                RecoveryRun(
                    instances=n,
                    trouble=fault_name,
                    days=[numbers for numbers, _ in found],
                    recoveries=[recovery for _, recovery in found],
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
        in_time=_results.mean_and_deviation([day["in_time"] for day in days]),
        refused=_results.mean_and_deviation([day["refused"] for day in days]),
    )
