"""Engines and the object API fail under the holder of a shard.

The judge is that of ``test_controller_faults.py``.
"""

import pytest

from tests import control_judge

pytestmark = pytest.mark.anyio


async def test_models_of_a_dead_engine_are_loaded_elsewhere(fleet, tmp_path):
    run = control_judge.Run(fleet, tmp_path, engine_count=3)
    await run.start()
    dead = next(i for i, held in enumerate(run.resident()) if held)
    run.engines[dead].kill()
    wanted = {(model, "1") for model in control_judge.MODELS}

    def elsewhere():
        held = run.resident()
        return set().union(*held[:dead], *held[dead + 1 :]) == wanted

    await fleet.until(elsewhere, "every model is held by a live engine")
    await run.judge(crashes=True)


async def test_a_restarted_engine_is_never_overcommitted(tmp_path):
    await control_judge.together(tmp_path, _restart_engines, True, False)


async def _restart_engines(fleet, folder, checks):
    run = control_judge.Run(fleet, folder, **control_judge.RULES[checks])
    await run.start()
    await run.declare("2")
    for engine in run.engines:
        engine.kill()
        engine.start()
    await fleet.ready()
    await run.settled("2")
    await run.judge(crashes=True)


async def test_late_repeated_and_lost_orders_do_no_harm(fleet, tmp_path):
    run = control_judge.Run(fleet, tmp_path)
    await run.start()
    for engine in run.engines:
        await fleet.faults(
            engine, late_orders_ms=150, duplicate_orders_ms=450, lose_orders=2
        )
    await run.declare("2")
    await run.settled("2")
    await run.judge()


async def test_a_load_that_arrives_after_its_unload_finds_room(
    fleet, tmp_path
):
    """Engines that do not check load a copy again when a repeat arrives."""
    run = control_judge.Run(
        fleet,
        tmp_path,
        engines_check_fencing=False,
        order_lateness_bound_ms=2100,
    )
    run.size_mb = 250
    await fleet.ready()
    for engine in run.engines:
        await fleet.faults(engine, duplicate_orders_ms=2000)
    await run.start()
    for version in ("2", "3", "4"):
        await run.declare(version)
        await fleet.until(
            lambda v=version: run.holds_all(v), f"version {version} is held"
        )
    await run.settled("4")
    await run.judge()


async def test_an_api_outage_stops_a_change_and_cuts_nothing(fleet, tmp_path):
    run = control_judge.Run(fleet, tmp_path)
    await run.start()
    for engine in run.engines:
        await fleet.faults(engine, load_ms=300)
    before = len(await run.ledgers())
    await fleet.faults(fleet.object_api, lose_answers=3)
    await run.declare("2")
    await run.saw_state("loading", before)
    await fleet.faults(fleet.object_api, outage=True)
    await run.saw_log("lease_lost")
    assert {model for held in run.resident() for model, _ in held} == set(
        control_judge.MODELS
    )
    await fleet.faults(fleet.object_api, outage=False)
    await run.settled("2")
    await run.judge()
