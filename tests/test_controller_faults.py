"""The holder of a shard is cut at each step; real processes, real signals.

The judge reads the engines' own record of memory, the object API's history
and the instances' log lines.
"""

import pytest

from tests import control_judge

pytestmark = pytest.mark.anyio

# The state of an entry in the ledger that says which step has been reached,
# and the stand-in's switch that keeps the holder there for a while.
STEPS = {
    "load intended": ("loading", {"slow_answers": {"replicas": 1800}}),
    "load ordered": ("loading", {}),
    "unload intended": ("unloading", {"slow_answers": {"replicas": 1800}}),
    "unload ordered": ("unloading", {}),
}


@pytest.mark.parametrize("cut", ["kill", "freeze"])
@pytest.mark.parametrize("step", STEPS)
async def test_a_roll_survives_a_cut_of_its_holder(fleet, tmp_path, step, cut):
    run = control_judge.Run(fleet, tmp_path)
    await run.start()
    await _cut_in_roll(run, "2", step, cut)
    await run.settled("2")
    for instance in run.instances:
        instance.thaw()
    await _cut_in_roll(run, "3", step, "freeze")
    await run.settled("3")
    for instance in run.instances:
        instance.thaw()
    await run.declare("4")
    await run.settled("4")
    await run.judge()


async def _cut_in_roll(run, version, step, cut):
    state, switches = STEPS[step]
    for engine in run.engines:
        await run.fleet.faults(engine, load_ms=300)
    before = len(await run.ledgers())
    await run.declare(version)
    await run.fleet.faults(run.fleet.object_api, **switches)
    await run.saw_state(state, before)
    holder = await run.holder()
    if cut == "kill":
        holder.kill()
    else:
        holder.freeze()
    await run.fleet.faults(run.fleet.object_api, slow_answers={})
