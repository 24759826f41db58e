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
    load: _demand.Load


_CALM, _HIGH, _SHIFTING, _BURST = _demand.LOADS
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
INSTANCES = (8, 40, 100)
TROUBLES = {
    "controller killed": _simulation.Trouble(kills_controller=True),
    "half of the instances killed": _simulation.Trouble(killed_share=0.5),
    "store down for 5 s": _simulation.Trouble(store_down_ms=5000),
    "none": _simulation.Trouble(),
}


class Comparison(typing.TypedDict):
    """A policy on a scenario, over seeds."""

    scenario: str
    policy: str
    days: list[_results.DayNumbers]
    in_time: _results.Spread
    refused: _results.Spread


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
                pool.submit(_numbers_of, scenario, policy.name, seed)
                for seed in seeds
            ]
            for scenario, policy in pairs
        ]
        return [
            _comparison(scenario, policy, [day.result() for day in played])
            for (scenario, policy), played in zip(pairs, days, strict=True)
        ]


def recover(seeds: range, jobs: int) -> list[RecoveryRun]:
    """Play all troubles at all sizes with some seeds."""
    pairs = [(n, trouble) for n in INSTANCES for trouble in TROUBLES]
    with futures.ProcessPoolExecutor(jobs) as pool:
        days = [
            [pool.submit(_recovery_of, n, trouble, seed) for seed in seeds]
            for n, trouble in pairs
        ]
        runs = []
        for (n, trouble), played in zip(pairs, days, strict=True):
            found = [day.result() for day in played]
            runs.append(
                RecoveryRun(
                    instances=n,
                    trouble=trouble,
                    days=[numbers for numbers, _ in found],
                    recoveries=[recovery for _, recovery in found],
                )
            )
        return runs


def _numbers_of(
    scenario: Scenario, policy_name: str, seed: int
) -> _results.DayNumbers:
    (policy,) = (p for p in _policies.POLICIES if p.name == policy_name)
    day = _simulation.Day(scenario.site, scenario.load, policy, seed)
    return _results.numbers(scenario.site, _simulation.play(day))


def _recovery_of(
    instances: int, trouble_name: str, seed: int
) -> tuple[_results.DayNumbers, _results.Recovery]:
    site = _sites.Site(instances=instances)
    trouble = TROUBLES[trouble_name]
    policy = _policies.POLICIES[0]
    outcome = _simulation.play(
        _simulation.Day(site, _SHIFTING, policy, seed, trouble)
    )
    return (
        _results.numbers(site, outcome),
        _results.recovery(outcome, trouble),
    )


def _comparison(
    scenario: Scenario,
    policy: _policies.Policy,
    days: list[_results.DayNumbers],
) -> Comparison:
    return Comparison(
        scenario=scenario.name,
        policy=policy.name,
        days=days,
        in_time=_results.spread([day["in_time"] for day in days]),
        refused=_results.spread([day["refused"] for day in days]),
    )
