"""A client is told that a request never ran, although it has run.

One of four replicas fails a part of its requests with 503 after it has run
them (`srv_grey`); it doesn't state X-Not-Executed. Clients repeat an unsafe
request after 503, once, as PROTOCOL.md says.
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
# `srv_grey`: one of four replicas, which fails this share of its requests for
# so long. The site: share 0.14, x 0.45, 6.5 s.
FAILS = 0.4
CALM_S = 1.0
GREY_S = 6.5
REQUESTS_S = 10.0
REQUEST_GAP_S = 0.02
REFUSALS = (408, 421, 429, 503)


class GreyReplica(replicas.Replica):
    """Fails requests at the end of their work, for a time."""

    grey_from = float("inf")

    def result(self, request: wire.Request) -> tuple[int, bytes]:
        is_grey = 0 <= time.monotonic() - self.grey_from < GREY_S
        if is_grey and len(self.runs) * FAILS % 1 < FAILS:
            return 503, b"the ledger did not confirm the withdrawal"
        return super().result(request)


async def send(
    deploy: deployment.Deployment, request_id: str, target: str
) -> int:
    """Send one attempt of a client; return the status of its answer."""
    machine = deploy.choose()
    answer = await wire.call(
        machine.front,
        "POST",
        target,
        b"withdraw a bottle",
        {
            "Host": deployment.HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
        },
        timeout_s=4.0,
    )
    deploy.record.line(
        f"{request_id} {target} sent to {machine.name}:"
        f" answered {answer.status}"
    )
    return answer.status


async def main() -> None:
    deploy = deployment.Deployment(pathlib.Path("."), MACHINES)
    record = deploy.record
    configuration = {
        "version": 7,
        "routes": [
            deployment.route(
                "release", "unsafe", "custody", max_attempts=1
            )
        ],
        "services": [{"name": "custody", "max_connections": 110}],
        "limits": deployment.LIMITS,
    }
    host = f"{deploy.net}.3"
    own = [
        (replicas.Replica if n else GreyReplica)(
            f"i-{n}", "custody", host, deployment.free_port(host)
        )
        for n in range(REPLICAS)
    ]
    answers: dict[str, int] = {}
    repeated: list[str] = []
    try:
        for replica in own:
            await replica.start(deploy.store)
        await deploy.start(configuration)
        began = time.monotonic()
        if deployment.has_trouble():
            GreyReplica.grey_from = began + CALM_S
        until = began + REQUESTS_S
        for number in itertools.count():
            if time.monotonic() > until:
                break
            target = f"/release/case-{number}"
            status = await send(deploy, f"first-{number}", target)
            answers[f"first-{number}"] = status
            if status in REFUSALS:
                repeated.append(target)
                answers[f"again-{number}"] = await send(
                    deploy, f"again-{number}", target
                )
            await asyncio.sleep(REQUEST_GAP_S)
    finally:
        await deploy.close()
        for replica in own:
            await replica.server.stop()
    ran = {run.request_id: run for replica in own for run in replica.runs}
    refused = [n for n, s in answers.items() if s in REFUSALS]
    broken = [name for name in refused if name in ran]
    twice = [
        number
        for number in range(len(answers))
        if f"first-{number}" in ran and f"again-{number}" in ran
    ]
    for name, run in ran.items():
        record.line(f"{name} ran at {run.replica}")
    for name in refused:
        at = f"ran at {ran[name].replica}" if name in ran else "did not run"
        record.line(f"{name}: answered {answers[name]}, {at}")
    served = sum(status == 200 for status in answers.values())
    ended = sum(machine.own_ends for machine in deploy.machines)
    deploy.discard()
    record.line(
        f"attempts: {len(answers)}, 200: {served}, refused: {len(refused)},"
        f" refused and run: {len(broken)}; withdrawals made twice as their"
        f" client came back: {len(twice)}"
    )
    if not served or ended:
        record.finish(2, "nothing was served, or a process ended")
    if broken:
        record.finish(
            1, f"{len(broken)} unsafe requests were refused and have run"
        )
    record.finish(0, "no refused request has run")


asyncio.run(main())
