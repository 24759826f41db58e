"""Stand-in for a model replica that is ordered what to hold.

As PROTOCOL.md says it: an order is answered 202, 200 (it holds already) or
409 (another one is in progress, or the precondition differs). One that gets
no answer may be carried out seconds later; its precondition is checked then.
A restart clears `sequence` and what the replica held, and keeps its disk.
"""

from __future__ import annotations

import asyncio
import json
import time
import typing

import deployment
import replicas
import store as stores
import wire

HEARTBEAT_S = 1.2
UNLOAD_S = 0.05


class Engine(replicas.Replica):
    """One replica; it may start again under its id."""

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        store: stores.Store,
        record: deployment.Record,
        sizes: dict[str, float],
        load_s: tuple[float, float],
        weights_mb: float,
        held: list[str],
    ) -> None:
        super().__init__(name, service, *address, slots=64)
        self._store, self._record = store, record
        self._sizes, self._weights_mb = sizes, weights_mb
        self._load_s, self._disk_load_s = load_s
        self.held = list(held)
        self._on_disk = set(held)
        self.sequence = 0
        self._beats = 0
        # The order in progress: what is loaded or unloaded.
        self._order: tuple[str, str] | None = None
        # Asked for each order that would be accepted: how late it is carried
        # out, without an answer; 0 if it is on time.
        self.lateness: typing.Callable[[dict], float] = lambda _order: 0.0
        # Load orders carried out for which there was no room.
        self.overloads: list[str] = []
        self._is_up = False
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    async def start(self, store: stores.Store) -> None:
        await super().start(store)
        self._is_up = True
        self._beat()
        self._spawn(self._beat_on())

    def entry(self) -> dict[str, typing.Any]:
        self._beats += 1
        return {
            **super().entry(),
            "stage": "unified",
            "models": self._models(),
            "sequence": self._beats,
        }

    def _models(self) -> list[dict[str, typing.Any]]:
        return [{"name": m, "version": 1, "adapters": []} for m in self.held]

    def _beat(self) -> None:
        self._store.put("servers", self.name, self.entry())

    async def _beat_on(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._beat()

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def crash(self) -> None:
        """End like a killed process: its entry stays in the store."""
        self._is_up = False
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()
        self._record.line(f"{self.name} has crashed, with {self.held}")

    async def restart(self) -> None:
        """Start again under the same id, and hold nothing."""
        self.held, self._order, self.sequence = [], None, 0
        self.born = time.time_ns() // 1_000_000
        await self.start(self._store)
        self._record.line(f"{self.name} is back, empty, born {self.born}")

    async def handle(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        model = request.headers.get("x-model", "").partition("/")[0]
        if self._order is not None and model == self._order[1]:
            refusal = "X-Not-Executed: 1", *self.stated(request)
            writer.write(wire.response(503, b"", *refusal))
            return True
        if model not in self.held:
            writer.write(wire.response(421, b"", *self.stated(request)))
            return True
        return await super().handle(request, reader, writer)

    async def _handle(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.target == "/v1/report":
            writer.write(wire.response(200, self._report()))
            return True
        if request.target == "/v1/order":
            status = self._take_order(request)
            if status:
                writer.write(wire.response(status, b"{}"))
            return bool(status)
        return await super()._handle(request, reader, writer)

    def _report(self) -> bytes:
        return json.dumps(
            {
                "stage": "unified",
                "models": self._models(),
                "busy": self._order is not None,
                "sequence": self.sequence,
                "queue_depth": 0,
                "active_requests": self.running,
                "kv_used": 0,
                "kv_total": 130387,
                "handles": 0,
                "available": {"in_memory": [], "on_disk": sorted(self._on_disk)},
                "born": self.born,
            }
        ).encode()

    def _take_order(self, request: wire.Request) -> int:
        """Return the status of an order; 0 if it gets no answer."""
        order = json.loads(request.body)
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return 421
        if self._why_not(order):
            return self._carry_out(order, "")
        late_s = self.lateness(order)
        if not late_s:
            return self._carry_out(order, "")
        self._record.line(
            f"{self.name}: no answer to {describe(order)}; it is carried out"
            f" {late_s:.1f} s later if its precondition holds then"
        )
        # On the way to the replica: its restart doesn't end it.
        asyncio.get_running_loop().call_later(late_s, self._deliver, order)
        return 0

    def _deliver(self, order: dict) -> None:
        """Carry out an order that arrives late."""
        if self._is_up:
            self._carry_out(order, "late, ")

    def _why_not(self, order: dict) -> int:
        """Return the status of an order that isn't accepted; 0 if it is."""
        if self._order is not None or order["precondition"] != self.sequence:
            return 409
        if (order["model"] in self.held) == (order["operation"] == "load"):
            return 200
        return 0

    def _carry_out(self, order: dict, how: str) -> int:
        status = self._why_not(order)
        operation, model = order["operation"], order["model"]
        self._record.line(
            f"{self.name} at {self.sequence}, with {self.held}: {how}"
            f"{describe(order)}: {status or 202}"
        )
        if status:
            return status
        self.sequence += 1
        self._order = operation, model
        needed = sum(self._sizes[m] for m in (*self.held, model))
        if operation == "load" and needed > self._weights_mb:
            self.overloads.append(
                f"{describe(order)} beside {self.held}: {needed:.0f} MB of"
                f" {self._weights_mb:.0f}"
            )
            self._spawn(self.crash())
            return 202
        self._spawn(self._end_order(operation, model))
        return 202

    async def _end_order(self, operation: str, model: str) -> None:
        if operation == "load":
            is_near = model in self._on_disk
            await asyncio.sleep(
                self._disk_load_s if is_near else self._load_s
            )
            self._on_disk.add(model)
            self.held.append(model)
        else:
            await asyncio.sleep(UNLOAD_S)
            self.held.remove(model)
        self._order = None


def describe(order: dict) -> str:
    return (
        f"{order['operation']} {order['model']}"
        f" (precondition {order['precondition']}, {order['holder']},"
        f" token {order['fencing_token']})"
    )
