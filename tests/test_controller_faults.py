"""The holder of a shard is cut at each step; real processes, real signals.

The judge reads the engines' own record of memory, the object API's history
and the instances' log lines.
"""

import pytest

from tests import control_judge

pytestmark = pytest.mark.anyio

# The state of an entry in the ledger that says which step has been reached,
# and the stand-in's switch that keeps the holder there for a while.
SLOW = {"slow_answers": {"replicas": 1500}}
STEPS = {
    "load intended": ("loading", SLOW),
    "load ordered": ("loading", {}),
    "unload intended": ("unloading", SLOW),
    "unload ordered": ("unloading", {}),
}


@pytest.mark.parametrize("action", ["load", "unload"])
async def test_a_roll_survives_cuts_of_two_holders(tmp_path, action):
    await control_judge.together(
        tmp_path, _cut_twice, f"{action} intended", f"{action} ordered"
    )


async def _cut_twice(fleet, folder, step):
    run = control_judge.Run(fleet, folder)
    await run.start()
    killed = await _cut_in_roll(run, "2", step, "kill")
    frozen = await _cut_again(run, killed)
    await run.settled("2")
    frozen.thaw()
    again = await _cut_in_roll(run, "3", step, "freeze")
    await run.settled("3")
    again.thaw()
    await run.declare("4")
    await run.settled("4")
    await run.judge()


async def _cut_in_roll(run, version, step, cut):
    """Cut the holder in the middle of a roll; return it."""
    state, switches = STEPS[step]
    for engine in run.engines:
        await run.fleet.faults(engine, load_ms=300)
    before = len(await run.ledgers())
    await run.declare(version)
    await run.saw_state("loading", before)
    await run.fleet.faults(run.fleet.object_api, **switches)
    await run.saw_state(state, before)
    holder = await run.holder()
    if cut == "kill":
        holder.kill()
    else:
        holder.freeze()
    await run.fleet.faults(run.fleet.object_api, slow_answers={})
    return holder


async def _cut_again(run, killed):
    """Freeze the next holder as soon as there is one; return it."""

    async def taken():
        return await run.holder() not in (None, killed)

    await run.fleet.until(taken, "another instance holds the lease")
    holder = await run.holder()
    holder.freeze()
    return holder
