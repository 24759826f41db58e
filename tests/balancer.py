"""Plays the platform's balancer and its callers under steady load."""

import contextlib
import itertools
import json

import anyio
import httpcore

from tests import streaming

CHECK_S = 0.05
# An instance whose readiness fails is still sent to for this long.
LAG_S = 0.3


class Balancer:
    """Sends to instances that are ready, as far as it knows."""

    def __init__(self, fleet, instances):
        self._fleet = fleet
        self._instances = instances
        self._in_use = {instance.name: instance for instance in instances}
        self._numbers = itertools.count()
        self.faults = []
        self.served = 0

    @contextlib.asynccontextmanager
    async def load(self, callers):
        """Keep that many callers busy while the block runs."""
        async with anyio.create_task_group() as group:
            for instance in self._instances:
                group.start_soon(self._check, instance)
            for caller in range(callers):
                group.start_soon(self._call_for_ever, caller)
            yield self
            group.cancel_scope.cancel()

    async def progress(self, count) -> None:
        """Wait until this many more requests were served."""
        goal = self.served + count
        await self._fleet.until(lambda: self.served >= goal, "progress")

    async def _check(self, instance) -> None:
        while True:
            answer = await self._fleet.get(instance.peer_port, "/ready")
            if answer is not None and answer.status == 200:
                self._in_use[instance.name] = instance
            elif instance.name in self._in_use:
                await anyio.sleep(LAG_S)
                self._in_use.pop(instance.name, None)
            await anyio.sleep(CHECK_S)

    async def _call_for_ever(self, caller) -> None:
        """One caller with one connection to each instance, kept alive."""
        async with contextlib.AsyncExitStack() as stack:
            pools = {
                instance.name: await stack.enter_async_context(
                    httpcore.AsyncConnectionPool(max_connections=1)
                )
                for instance in self._instances
            }
            while True:
                number = next(self._numbers)
                names = sorted(self._in_use)
                name = names[number % len(names)]
                await self._call(pools[name], name, f"guest {number}", caller)

    async def _call(self, pool, name, prompt, caller) -> None:
        method = ("Generate", "GenerateStream")[caller % 2]
        address = self._fleet_address(name)
        body = {"model": "notes", "prompt": prompt, "max_tokens": 10}
        try:
            response = await pool.request(
                "POST",
                f"http://{address}/geraniumlink.v1.Inference/{method}",
                content=json.dumps(body).encode(),
                extensions={"timeout": {"connect": 5.0, "read": 60.0}},
            )
        except Exception as error:
            if isinstance(error, httpcore.ConnectError) and (
                name not in self._in_use
            ):
                # It stopped being sent to while this caller connected.
                return
            self.faults.append(f"{name} {method}: cut: {error!r}")
            return
        lines = [json.loads(line) for line in response.content.splitlines()]
        expected = streaming.expected(prompt, 10)
        if response.status != 200 or streaming.text_of(lines) != expected:
            self.faults.append(f"{name} {method}: {lines[-1:]}")
        self.served += 1

    def _fleet_address(self, name) -> str:
        return next(i.address for i in self._instances if i.name == name)
