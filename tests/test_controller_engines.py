"""Faults of engines and of the object API while a shard is controlled.

``control_scenario.py`` checks the history of each run.
"""

import pytest

from tests import control_scenario

pytestmark = pytest.mark.anyio


async def test_models_of_a_dead_engine_are_loaded_elsewhere(fleet, tmp_path):
    scenario = control_scenario.ControlScenario(
        fleet, tmp_path, engine_count=3
    )
    await scenario.start()
    dead_index = next(
        i for i, held in enumerate(scenario.resident_copies()) if held
    )
    scenario.engines[dead_index].kill()
    wanted = {(model, "1") for model in control_scenario.MODELS}

    def all_elsewhere():
        held = scenario.resident_copies()
        return (
            set().union(*held[:dead_index], *held[dead_index + 1 :]) == wanted
        )

    await fleet.until(all_elsewhere, "every model is held by a live engine")
    await scenario.check_history(crashes=True)


async def test_a_restarted_engine_is_never_overcommitted(tmp_path):
    await control_scenario.run_variants(
        tmp_path, _upgrade_with_restarts, True, False
    )


async def _upgrade_with_restarts(fleet, folder, checks):
    scenario = control_scenario.ControlScenario(
        fleet, folder, **control_scenario.ORDER_RULES[checks]
    )
    await scenario.start()
    await scenario.declare("2")
    for engine in scenario.engines:
        engine.kill()
        engine.start()
    await fleet.ready()
    await scenario.wait_until_resident("2")
    await scenario.check_history(crashes=True)


async def test_late_duplicated_and_lost_orders_are_tolerated(fleet, tmp_path):
    scenario = control_scenario.ControlScenario(fleet, tmp_path)
    await scenario.start()
    for engine in scenario.engines:
        await fleet.faults(
            engine, late_orders_ms=150, duplicate_orders_ms=450, lose_orders=2
        )
    await scenario.declare("2")
    await scenario.wait_until_resident("2")
    await scenario.check_history()


async def test_a_duplicated_load_after_its_unload_fits_in_memory(
    fleet, tmp_path
):
    """Engines without fencing checks apply duplicated orders.

    A load that arrives again after its unload makes the copy resident once
    more. Its charge must still be in the ledger, or the engine would be
    overcommitted.
    """
    scenario = control_scenario.ControlScenario(
        fleet,
        tmp_path,
        engines_check_fencing=False,
        order_lateness_bound_ms=2100,
    )
    scenario.size_mb = 250
    await fleet.ready()
    for engine in scenario.engines:
        await fleet.faults(engine, duplicate_orders_ms=2000)
    await scenario.start()
    for version in ("2", "3", "4"):
        await scenario.declare(version)
        await fleet.until(
            lambda v=version: scenario.all_resident(v),
            f"version {version} is held",
        )
    await scenario.wait_until_resident("4")
    await scenario.check_history()


async def test_an_api_outage_delays_an_upgrade_and_unloads_nothing(
    fleet, tmp_path
):
    scenario = control_scenario.ControlScenario(fleet, tmp_path)
    await scenario.start()
    for engine in scenario.engines:
        await fleet.faults(engine, load_ms=300)
    before = len(await scenario.written_ledgers())
    await fleet.faults(fleet.object_api, lose_answers=3)
    await scenario.declare("2")
    await scenario.wait_for_state("loading", before)
    await fleet.faults(fleet.object_api, outage=True)
    await scenario.wait_for_log("lease_lost")
    assert {
        model for held in scenario.resident_copies() for model, _ in held
    } == set(control_scenario.MODELS)
    await fleet.faults(fleet.object_api, outage=False)
    await scenario.wait_until_resident("2")
    await scenario.check_history()
