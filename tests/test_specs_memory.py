"""Checks the models of memory and of the last copy, and each mechanism."""

import minicheck
import pytest

from specs import last_copy
from specs import memory

ENGINE_VARIANTS = {
    "fencing": memory.Variant(checks_fencing=True, max_orders=5),
    "no fencing": memory.Variant(checks_fencing=False, max_orders=6),
}
# Detect a model that has lost steps.
MIN_STATES = {"fencing": 110_000, "no fencing": 70_000}


@pytest.mark.parametrize("engine", ENGINE_VARIANTS)
def test_memory_is_never_overcommitted(engine):
    protocol = memory.specification(ENGINE_VARIANTS[engine])
    result = minicheck.check_safety(protocol, max_states=500_000)
    assert result["exhaustive"]
    assert result["reachable_states"] > MIN_STATES[engine]
    for name, found in result["properties"].items():
        assert found["holds"], (name, found["counterexample"])


# The engine, and the switch of ``memory.Variant`` that leaves one mechanism
# out.
MEMORY_MUTANTS = {
    "no intent before the order": ("fencing", "no_intent"),
    "no comparison with the capacity": ("fencing", "no_charge_check"),
    "charge released by an order": ("fencing", "release_on_order"),
    "old report accepted": ("fencing", "ignore_reported_number"),
    "unconditional write under the lease": ("fencing", "trust_lease"),
    "unknown write assumed to succeed": ("fencing", "unknown_is_written"),
    "highest number lost at a restart": ("fencing", "engine_forgets"),
    "charge released before the wait": ("no fencing", "no_may_arrive"),
    "charges released by a restart": ("no fencing", "restart_clears"),
    "old intent still sent": ("no fencing", "no_send_window"),
}


@pytest.mark.parametrize("mutant", MEMORY_MUTANTS)
def test_memory_is_overcommitted_without(mutant):
    engine, switch = MEMORY_MUTANTS[mutant]
    variant = ENGINE_VARIANTS[engine]._replace(**{switch: True})
    result = minicheck.check_safety(
        memory.specification(variant), max_states=60_000
    )
    found = result["properties"]["memory is not overcommitted"]
    assert found["holds"] is False, result.get("incomplete_reason")


# Detect a model that has lost steps, with and without fencing.
LAST_COPY_MIN_STATES = {True: 52_000, False: 71_000}


@pytest.mark.parametrize("checks_fencing", LAST_COPY_MIN_STATES)
def test_the_last_copy_is_never_unloaded(checks_fencing):
    variant = last_copy.Variant(checks_fencing=checks_fencing)
    result = minicheck.check_safety(
        last_copy.specification(variant), max_states=200_000
    )
    assert result["exhaustive"]
    assert result["reachable_states"] > LAST_COPY_MIN_STATES[checks_fencing]
    found = result["properties"]["the model is resident"]
    assert found["holds"], found["counterexample"]


# The switch of ``last_copy.Variant``, and whether the engine checks fencing.
LAST_COPY_MUTANTS = {
    "ledger read but not claimed": ("no_claim", True),
    "claim under an old epoch": ("no_epoch", True),
    "unknown write assumed to fail": ("unknown_is_lost", True),
    "ordered load counted as a copy": ("count_loading", True),
    "other copy not checked": ("no_other_copy", True),
    "reload before a late unload": ("reload_early", False),
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
