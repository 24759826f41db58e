"""Replicas leave just before the leader is cut off from the store."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import quiet_link  # noqa: E402
import standins  # noqa: E402

SERVICE = "custody-app"
LINGER_S = 1.5
CUT_S = 4.0
ROUNDS = 10
REPLICAS = 8
LEAVING = 2
IN_TOUCH_S = standins.BOUNDS["stability_window_ms"] / 1000
DRAIN_S = standins.BOUNDS["drain_ms"] / 1000


async def leave(store, record, replica, acked_at):
    replica.stop_beating()
    replica.state = "draining"
    await replica.beat()
    acked_at[replica.name] = record.now()
    record.write("leaves", replica=replica.name)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    await store.delete("servers", replica.name)
    replica.close()


async def main(record, folder, trouble):
    store = standins.Store(record)
    await store.open()
    await store.put("config", "main", standins.configuration(
        3,
        [standins.route("release", "unsafe", SERVICE, max_attempts=1),
         standins.route("rack", "safe", SERVICE)],
        [{"name": SERVICE, "max_connections": 110}],
    ))
    replicas = []

    async def add(count):
        for _ in range(count):
            replica = standins.Replica(
                store, record, f"i-{len(replicas)}", SERVICE, work_ms=20,
                slots=64,
            )
            replicas.append(replica)
            await replica.start()
            await asyncio.sleep(0.2)

    await add(REPLICAS)
    links = [quiet_link.QuietLink(store) for _ in range(4)]
    instances = [
        standins.Instance(n, link.address, folder, record)
        for n, link in enumerate(links)
    ]
    cuts, acked_at, leaving = [], {}, []
    try:
        for link in links:
            await link.open()
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_until_ready()
        await asyncio.sleep(6)
        client = standins.Client(instances, record)
        load = asyncio.create_task(client.load(
            150, record.now() + 8.2 * ROUNDS, ["/release/1", "/rack/1"]
        ))
        for _ in range(ROUNDS):
            await asyncio.sleep(random.uniform(3.05, 3.2))
            present = [r for r in replicas if r.name not in acked_at]
            store.watch_answered.clear()
            await store.watch_answered.wait()
            store.lease_written.clear()
            for replica in present[:LEAVING]:
                leaving.append(asyncio.create_task(
                    leave(store, record, replica, acked_at)
                ))
            await store.lease_written.wait()
            await asyncio.sleep(0.03)
            if trouble:
                holder = store.objects["leases", "controller"]["spec"][
                    "holder"]
                leader = next(
                    i for i in instances if holder.startswith(i.host + ":")
                )
                links[instances.index(leader)].is_cut = True
                record.write("CUT", instance=leader.name)
                cuts.append((leader.name, record.now()))
            await asyncio.sleep(CUT_S)
            for link in links:
                link.is_cut = False
            record.write("healed")
            await add(LEAVING)
        await asyncio.gather(*leaving)
        await load
    finally:
        for instance in instances:
            await instance.stop()
    breaks = []
    by_id = client.instance_of
    for replica in replicas:
        left_at = acked_at.get(replica.name, float("inf"))
        for at, request_id, target in replica.arrivals:
            name = by_id[request_id]
            is_in_touch = not any(
                name == cut_name and cut_at <= at < cut_at + CUT_S + IN_TOUCH_S
                for cut_name, cut_at in cuts
            )
            if at > left_at + DRAIN_S and is_in_touch:
                breaks.append(
                    f"DRAIN: {request_id} {target} reached {replica.name}"
                    f" from {name} {1000 * (at - left_at):.0f} ms after the"
                    f" store acknowledged that it is draining;"
                    f" answered {client.answers[request_id][2]}"
                )
    served = sum(s == 200 for _, _, s in client.answers.values())
    record.write("served", count=served, of=len(client.answers))
    return breaks


standins.run_case(main, FOLDER)
