"""Another writer's entries take the memory of every process.

PROTOCOL.md, Service discovery: "An entry may come from another writer:
fields missing or of another type [...]. It names no replica to use; the
others hold." An object has `value_bytes` (1,048,576) at most.
"""

import asyncio
import itertools
import pathlib
import time

import deployment
import replicas
import wire

MACHINES = 3
REPLICAS = 4
# Of the other writer: each has fewer bytes than `value_bytes`.
ENTRIES = 14
ENTRY_BYTES = 1_000_000
# One a second: an entry's heartbeat interval is 1.2 s.
ENTRY_GAP_S = 1.0
CALM_S = 4.0
AFTER_S = 20.0
REQUEST_GAP_S = 0.05
# RULES.md, Fault: "if on a tenth of the machines in use (two at least)
# processes end by themselves three times in the day with no disruption
# there (memory over the limit counts)".
ENDS = 3
ENDED_MACHINES = 2


def another_writers_entry(number: int) -> dict:
    """Return an entry without a state, whose models have no names.

    It lists the units of a rack, each with its height.
    """
    units = ENTRY_BYTES // len('{"u":10},')
    return {
        "service": "racks",
        "address": f"rack-{number}",
        "models": [{"u": n % 90 + 10} for n in range(units)],
    }


async def send_requests(
    deploy: deployment.Deployment, counts: dict[str, int], until: float
) -> None:
    """Send a request at a time; count how they are answered."""
    for number in itertools.count():
        if time.monotonic() > until:
            return
        path = "safe" if number % 2 else "once"
        machine = deploy.choose()
        request_id = f"{path}-{time.monotonic_ns()}"
        answer = await wire.call(
            machine.front,
            "POST",
            f"/{path}/{number}",
            b"order",
            {
                "Host": deployment.HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "1000",
            },
            timeout_s=1.0,
        )
        deploy.record.line(
            f"{request_id} sent to {machine.name}: answered {answer.status}"
        )
        counts[str(answer.status)] = counts.get(str(answer.status), 0) + 1
        await asyncio.sleep(REQUEST_GAP_S)


async def main() -> None:
    deploy = deployment.Deployment(pathlib.Path("."), MACHINES)
    record = deploy.record
    configuration = {
        "version": 7,
        "routes": [
            deployment.route("safe", "safe", "custody"),
            deployment.route("once", "unsafe", "custody", max_attempts=1),
        ],
        "services": [{"name": "custody", "max_connections": 110}],
        "limits": deployment.LIMITS,
    }
    host = f"{deploy.net}.3"
    own = [
        replicas.Replica(
            f"i-{n}", "custody", host, deployment.free_port(host)
        )
        for n in range(REPLICAS)
    ]
    try:
        for replica in own:
            await replica.start(deploy.store)
        await deploy.start(configuration)
        before: dict[str, int] = {}
        after: dict[str, int] = {}
        now = time.monotonic()
        await send_requests(deploy, before, now + CALM_S)
        record.line(f"answers before, by status (0: none): {before}")
        written = asyncio.create_task(write_entries(deploy))
        writing_s = ENTRIES * ENTRY_GAP_S
        now = time.monotonic()
        await send_requests(deploy, after, now + writing_s + AFTER_S)
        await written
        record.line(f"answers after, by status (0: none): {after}")
    finally:
        await deploy.close()
        for replica in own:
            await replica.server.stop()
    for machine in deploy.machines:
        record.line(
            f"{machine.name}: most memory {machine.peak_mb:.0f} MB,"
            f" ended {machine.own_ends} times"
        )
    for replica in own:
        for run in replica.runs:
            record.line(f"{run.request_id} ran at {run.replica}")
    deploy.discard()
    if not before.get("200"):
        record.finish(2, "nothing was served before the disruption")
    ended = [m for m in deploy.machines if m.own_ends >= ENDS]
    if len(ended) >= ENDED_MACHINES:
        record.finish(
            1,
            f"processes of {len(ended)} of {MACHINES} machines ended"
            f" {ENDS} times or more by themselves",
        )
    record.finish(0, "no machine's process ended three times by itself")


async def write_entries(deploy: deployment.Deployment) -> None:
    """Write another writer's entries, one after the other."""
    for number in range(ENTRIES):
        if deployment.has_trouble():
            deploy.store.put(
                "servers", f"rack-{number}", another_writers_entry(number)
            )
            deploy.record.line(f"another writer writes servers/rack-{number}")
        await asyncio.sleep(ENTRY_GAP_S)


asyncio.run(main())
