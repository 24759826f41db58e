"""The orders and the memory of the model engine's stand-in.

Orders are POSTed to ``/orders``; the answer says accepted (200) or refused
for its fencing number (409). Memory is taken when a load begins and given
back when the copy is unloaded. Every change is in the record and, with
``--journal``, in a file that outlives the process; an engine that checks
fencing numbers reads the highest one from there when it starts again.

Fault switches: ``lose_orders`` (this many next orders have no effect and no
answer), ``late_orders_ms`` (each order takes effect so much later, without
an answer), ``duplicate_orders_ms`` (each order arrives again so much
later), ``ignore_fencing`` (orders of any number are taken), ``load_ms``,
``adapter_load_ms``. ``--ignore-fencing`` sets the switch at the start.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import time
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

DEFAULT_LOAD_MS = 20
DEFAULT_SIZE_MB = 100


class Copy(typing.NamedTuple):
    """One version of a model or adapter."""

    model: str
    adapter: str
    version: str

    @property
    def key(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class Held(typing.NamedTuple):
    """A copy that takes memory."""

    size_mb: int
    resident: bool


class Memory:
    """What takes memory, at every instant."""

    def __init__(
        self,
        capacity_mb: int,
        journal: pathlib.Path | None = None,
        ignore_fencing: bool = False,
    ) -> None:
        # Capacity 0 is without limit.
        self._capacity_mb = capacity_mb
        self.ignore_fencing = ignore_fencing
        self._journal = journal
        self._events: list[dict] = []
        self._peak_mb = 0
        self.copies: dict[Copy, Held] = {}
        # "model" or "model/adapter" to the version that serves.
        self.resident: dict[str, str] = {}

    @property
    def used_mb(self) -> int:
        return sum(held.size_mb for held in self.copies.values())

    def record(self) -> dict:
        return {
            "memory": self._events,
            "peak_mb": self._peak_mb,
            "overcommitted": [
                event for event in self._events if event["overcommitted"]
            ],
        }

    def begin_load(self, copy: Copy, size_mb: int) -> None:
        self.copies[copy] = Held(size_mb, resident=False)
        self.note("load_begun", copy)

    def end_load(self, copy: Copy) -> None:
        if copy in self.copies:
            self.copies[copy] = self.copies[copy]._replace(resident=True)
            self.resident[copy.key] = copy.version
            self.note("loaded", copy)

    def unload(self, copy: Copy) -> None:
        if self.copies.pop(copy, None) is None:
            return
        if self.resident.get(copy.key) == copy.version:
            del self.resident[copy.key]
        for other, held in self.copies.items():
            if other.key == copy.key and held.resident:
                self.resident[copy.key] = other.version
        self.note("unloaded", copy)

    def note(self, event: str, copy: Copy, fencing_number: int = 0) -> None:
        used_mb = self.used_mb
        self._peak_mb = max(self._peak_mb, used_mb)
        entry = {
            "time": time.time(),
            "event": event,
            **copy._asdict(),
            "fencing_number": fencing_number,
            "used_mb": used_mb,
            "overcommitted": 0 < self._capacity_mb < used_mb,
        }
        self._events.append(entry)
        if self._journal:
            with self._journal.open("a", encoding="utf-8") as journal:
                journal.write(json.dumps(entry) + "\n")

    def journalled_fencing_number(self) -> int:
        if not self._journal or not self._journal.exists():
            return 0
        lines = self._journal.read_text(encoding="utf-8").splitlines()
        numbers = [json.loads(line)["fencing_number"] for line in lines]
        return max(numbers, default=0)


class Orders:
    """Takes orders, with faults."""

    def __init__(self, memory: Memory, faults: _base.Faults) -> None:
        self._memory = memory
        self._faults = faults
        faults["ignore_fencing"] = memory.ignore_fencing
        self._highest = memory.journalled_fencing_number()
        self._loads: dict[Copy, asyncio.Task] = {}

    def routes(self) -> list[routing.Route]:
        return [routing.Route("/orders", self._order, methods=["POST"])]

    def report(self) -> dict:
        copies = [
            {
                **copy._asdict(),
                "size_mb": held.size_mb,
                "state": "resident" if held.resident else "loading",
            }
            for copy, held in self._memory.copies.items()
        ]
        number = 0 if self._faults.ignore_fencing else self._highest
        return {"copies": copies, "fencing_number": number}

    async def _order(self, request: requests.Request) -> responses.Response:
        order = json.loads(await request.body())
        if self._faults.lose_orders:
            self._faults["lose_orders"] -= 1
            return _lost()
        again_ms = self._faults.duplicate_orders_ms
        if again_ms:
            asyncio.get_running_loop().call_later(
                again_ms / 1000, self._arrive, order
            )
        late_ms = self._faults.late_orders_ms
        if late_ms:
            asyncio.get_running_loop().call_later(
                late_ms / 1000, self._arrive, order
            )
            return _lost()
        if not self._arrive(order):
            return responses.JSONResponse(
                {"refused": "old_fencing_number"}, 409
            )
        return responses.JSONResponse({"accepted": True})

    def _arrive(self, order: dict) -> bool:
        """Apply an order; return whether it was accepted."""
        copy = Copy(order["model"], order["adapter"], order["version"])
        number = order["fencing_number"]
        if not self._faults.ignore_fencing and number <= self._highest:
            self._memory.note("refused", copy)
            return False
        self._highest = max(self._highest, number)
        self._memory.note(f"{order['action']}_accepted", copy, number)
        if order["action"] == "load":
            self._begin_load(copy, order["size_mb"])
        else:
            self._unload(copy)
        return True

    def _begin_load(self, copy: Copy, size_mb: int) -> None:
        if copy in self._memory.copies:
            return
        self._memory.begin_load(copy, size_mb)
        name = "adapter_load_ms" if copy.adapter else "load_ms"
        load_ms = self._faults.get(name, DEFAULT_LOAD_MS)
        self._loads[copy] = asyncio.create_task(self._load(copy, load_ms))

    async def _load(self, copy: Copy, load_ms: float) -> None:
        await asyncio.sleep(load_ms / 1000)
        self._memory.end_load(copy)

    def _unload(self, copy: Copy) -> None:
        loading = self._loads.pop(copy, None)
        if loading is not None:
            loading.cancel()
        self._memory.unload(copy)


def add_arguments(made: argparse.ArgumentParser) -> None:
    """Add what the engine is told of its memory."""
    made.add_argument("--resident", action="append", default=[])
    made.add_argument("--memory-mb", type=int, default=0)
    made.add_argument("--journal", type=pathlib.Path)
    made.add_argument("--ignore-fencing", action="store_true")


def from_arguments(options: argparse.Namespace) -> Memory:
    """Return a memory that holds the ``--resident`` copies."""
    memory = Memory(options.memory_mb, options.journal, options.ignore_fencing)
    memory.note("started", Copy("", "", ""))
    for entry in options.resident:
        key, version = entry.split("=")
        model, _, adapter = key.partition("/")
        copy = Copy(model, adapter, version)
        memory.begin_load(copy, DEFAULT_SIZE_MB)
        memory.end_load(copy)
    return memory


def _lost() -> responses.Response:
    """An answer whose connection closes before it is whole."""
    response = responses.Response(b"", 200)
    response.headers["content-length"] = "1000"
    response.headers["connection"] = "close"
    return response
