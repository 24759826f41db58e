"""The holder of a shard is killed or frozen at each step of an upgrade.

The tests use real processes and signals; ``control_scenario.py`` checks the
history of each run.
"""

import pytest

from tests import control_scenario

pytestmark = pytest.mark.anyio

# The object API answers calls about ledgers 1500 ms late, so that the holder
# is interrupted before it knows that an intent was written.
SLOW_LEDGER_ANSWERS = {"slow_answers": {"replicas": 1500}}
# For each step of an order, the state of a ledger entry that shows that it
# was reached, and the faults that keep the holder there.
STEPS = {
    "load intended": ("loading", SLOW_LEDGER_ANSWERS),
    "load ordered": ("loading", {}),
    "unload intended": ("unloading", SLOW_LEDGER_ANSWERS),
    "unload ordered": ("unloading", {}),
}


@pytest.mark.parametrize("action", ["load", "unload"])
async def test_an_upgrade_survives_the_loss_of_two_holders(tmp_path, action):
    await control_scenario.run_variants(
        tmp_path,
        _interrupt_two_holders,
        f"{action} intended",
        f"{action} ordered",
    )


async def _interrupt_two_holders(fleet, folder, step):
    scenario = control_scenario.ControlScenario(fleet, folder)
    await scenario.start()
    killed_holder = await _interrupt_during_upgrade(
        scenario, "2", step, "kill"
    )
    frozen_holder = await _freeze_next_holder(scenario, killed_holder)
    await scenario.wait_until_resident("2")
    frozen_holder.thaw()
    second_frozen_holder = await _interrupt_during_upgrade(
        scenario, "3", step, "freeze"
    )
    await scenario.wait_until_resident("3")
    second_frozen_holder.thaw()
    await scenario.declare("4")
    await scenario.wait_until_resident("4")
    await scenario.check_history()


async def _interrupt_during_upgrade(scenario, version, step, interruption):
    """Kill or freeze the holder at a step of an upgrade; return it."""
    state, api_faults = STEPS[step]
    for engine in scenario.engines:
        await scenario.fleet.faults(engine, load_ms=300)
    before = len(await scenario.written_ledgers())
    await scenario.declare(version)
    await scenario.wait_for_state("loading", before)
    await scenario.fleet.faults(scenario.fleet.object_api, **api_faults)
    await scenario.wait_for_state(state, before)
    lease_holder = await scenario.lease_holder()
    if interruption == "kill":
        lease_holder.kill()
    else:
        lease_holder.freeze()
    await scenario.fleet.faults(scenario.fleet.object_api, slow_answers={})
    return lease_holder


async def _freeze_next_holder(scenario, killed_holder):
    """Freeze the next holder once it has the lease; return it."""

    async def taken():
        return await scenario.lease_holder() not in (None, killed_holder)

    await scenario.fleet.until(taken, "another instance holds the lease")
    lease_holder = await scenario.lease_holder()
    lease_holder.freeze()
    return lease_holder
