"""The specifications hold, and need each of their mechanisms."""

import minicheck
import pytest

from specs import last_copy
from specs import memory

ENGINES = {
    "checks": memory.Variant(checks_fencing=True, max_number=5),
    "does not check": memory.Variant(checks_fencing=False, max_number=6),
}
FLOORS = {"checks": 110_000, "does not check": 70_000}


@pytest.mark.parametrize("engine", ENGINES)
def test_memory_is_never_overcommitted(engine):
    protocol = memory.specification(ENGINES[engine])
    result = minicheck.check_safety(protocol, max_states=500_000)
    assert result["exhaustive"]
    assert result["reachable_states"] > FLOORS[engine]
    for name, found in result["properties"].items():
        assert found["holds"], (name, found["counterexample"])


MEMORY_MUTANTS = {
    "no intent before the order": ("checks", "no_intent"),
    "no comparison with the capacity": ("checks", "no_charge_check"),
    "charge given back by an order": ("checks", "release_on_order"),
    "old report believed": ("checks", "ignore_reported_number"),
    "lease trusted": ("checks", "trust_lease"),
    "unknown write taken as written": ("checks", "unknown_is_written"),
    "number forgotten at a restart": ("checks", "engine_forgets"),
    "unloaded copy not kept charged": ("does not check", "no_may_arrive"),
    "restart gives charges back": ("does not check", "restart_clears"),
    "paused sender still sends": ("does not check", "no_send_window"),
}


@pytest.mark.parametrize("mutant", MEMORY_MUTANTS)
def test_memory_is_overcommitted_without(mutant):
    engine, switch = MEMORY_MUTANTS[mutant]
    variant = ENGINES[engine]._replace(**{switch: True})
    result = minicheck.check_safety(
        memory.specification(variant), max_states=60_000
    )
    found = result["properties"]["memory is not overcommitted"]
    assert found["holds"] is False, result.get("incomplete_reason")


LAST_COPY_FLOORS = {True: 52_000, False: 71_000}


@pytest.mark.parametrize("checks_fencing", LAST_COPY_FLOORS)
def test_the_last_copy_is_never_unloaded(checks_fencing):
    variant = last_copy.Variant(checks_fencing=checks_fencing)
    result = minicheck.check_safety(
        last_copy.specification(variant), max_states=200_000
    )
    assert result["exhaustive"]
    assert result["reachable_states"] > LAST_COPY_FLOORS[checks_fencing]
    found = result["properties"]["the model is resident"]
    assert found["holds"], found["counterexample"]


LAST_COPY_MUTANTS = {
    "ledgers read and not claimed": ("no_claim", True),
    "claims under an old epoch": ("no_epoch", True),
    "unknown write taken as lost": ("unknown_is_lost", True),
    "a load that is ordered counted": ("count_loading", True),
    "the other copy not looked at": ("no_other_copy", True),
    "reload while an unload may arrive": ("reload_early", False),
}


@pytest.mark.parametrize("mutant", LAST_COPY_MUTANTS)
def test_the_last_copy_is_unloaded_without(mutant):
    switch, checks_fencing = LAST_COPY_MUTANTS[mutant]
    variant = last_copy.Variant(checks_fencing=checks_fencing)
    result = minicheck.check_safety(
        last_copy.specification(variant._replace(**{switch: True})),
        max_states=100_000,
    )
    found = result["properties"]["the model is resident"]
    assert found["holds"] is False, result.get("incomplete_reason")
