"""Injects the faults of a schedule from outside the processes."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import json
import time

import anyio
import httpcore

from soak import _checks
from soak import _schedule
from soak import _site
from standins import fleet as fleets

_POLL_S = 0.05
_LATE_EVERY = 2
_WRITTEN_AGAIN_S = 0.5
_GRACE_S = 8.0
_SIGNAL_EVERY_S = 0.2
_UNREACHABLE = (httpcore.NetworkError, httpcore.ProtocolError, RuntimeError)

# Switches of the stand-ins by kind of fault, with its parameter.
_STORE: dict[str, Callable[[float], dict]] = {
    "silent": lambda _: {"silent": True},
    "slow": lambda value: {"slow_ms": value},
    "unavailable": lambda value: {"outage": int(value)},
    "too_many": lambda value: {"outage": int(value)},
    "lost_answers": lambda value: {"lose_answers": round(value)},
    "late_writes": lambda value: {
        "late_writes_ms": value,
        "late_every": _LATE_EVERY,
    },
    "old_reads": lambda value: {"old_reads_ms": value},
    # Also for watches after the last revision; others hear nothing.
    "forgets": lambda value: {"forget_before": value + 1, "deaf": True},
}
_LINK: dict[str, dict] = {
    "cut": {"cut": True},
    "stalled": {"stall": True},
    "refused": {"cut": True, "refuse": True},
}


class Injector:
    """Makes faults happen and records when they were in effect."""

    def __init__(self, site: _site.Site) -> None:
        self._site = site
        self._fleet = site.fleet
        self._store = site.hosts.store
        # One thing at a time is done to a process.
        self._locks = [anyio.Lock() for _ in site.hosts.instances]
        self._store_lock = anyio.Lock()

    async def run(self, faults: list[_schedule.Fault]) -> None:
        """Return when the last fault is over."""
        began = time.monotonic()
        async with anyio.create_task_group() as group:
            for fault in faults:
                remaining_s = began + fault.at_s - time.monotonic()
                await anyio.sleep(max(0, remaining_s))
                group.start_soon(self._inject, fault)

    async def _inject(self, fault: _schedule.Fault) -> None:
        if fault.instance is not None:
            index = fault.instance
            if index == _schedule.LEADER:
                index = await self._leader()
            await self._disrupt_instance(fault, index)
        elif fault.kind in ("down", "restore"):
            async with self._store_lock:
                with self._site.disrupt(_checks.STORE, fault.kind):
                    await self._stop_store(fault)
        else:
            late = fault.kind == "late_writes"
            follows_s = fault.parameter / 1000 if late else 0
            with self._site.disrupt(_checks.STORE, fault.kind, follows_s):
                await self._switch_store(fault)

    async def _disrupt_instance(
        self, fault: _schedule.Fault, index: int
    ) -> None:
        process = self._site.hosts.instances[index]
        if fault.kind in _checks.LINK_FAULTS:
            with self._site.disrupt(process.name, fault.kind):
                await self._disrupt_link(fault, index)
            return
        lock = self._locks[index]
        if lock.locked() and not process.running:
            # It is about to be started again.
            return
        async with lock:
            with self._site.disrupt(process.name, fault.kind):
                if fault.kind == "frozen":
                    process.freeze()
                    await anyio.sleep(fault.lasts_s)
                    process.thaw()
                else:
                    await self._end_process(fault, process)

    async def _leader(self) -> int:
        """Return the index of the instance that sent the last order."""
        orders = await self._site.orders()
        names = [process.name for process in self._site.hosts.instances]
        return names.index(orders[-1].holder) if orders else 0

    async def _set(self, process: fleets.Process, switches: dict) -> None:
        with contextlib.suppress(*_UNREACHABLE):
            await self._fleet.faults(process, **switches)

    async def _switch_store(self, fault: _schedule.Fault) -> None:
        revision = 0
        if fault.kind == "forgets":
            with contextlib.suppress(*_UNREACHABLE):
                revision = (await self._fleet.record(self._store))["revision"]
        switches = _STORE[fault.kind](fault.parameter or revision)
        await self._set(self._store, switches)
        await anyio.sleep(fault.lasts_s)
        await self._set(self._store, dict.fromkeys(switches))

    async def _stop_store(self, fault: _schedule.Fault) -> None:
        for link in self._site.links:
            await self._set(link, _LINK["refused"])
        self._store.kill()
        if fault.kind == "restore":
            self._restore(fault.parameter)
        await anyio.sleep(fault.lasts_s)
        self._store.start()
        await self._fleet.answers(self._store.port, "/record")
        for link in self._site.links:
            await self._set(link, dict.fromkeys(_LINK["refused"]))
        if fault.kind == "restore":
            await anyio.sleep(_WRITTEN_AGAIN_S)
            await self._site.configure()

    def _restore(self, age_s: float) -> None:
        """Take what was written since the copy out of the store's file."""
        state = self._site.state
        until = time.monotonic() - age_s
        kept = [
            line
            for line in state.read_text().splitlines(keepends=True)
            if age_s != _schedule.EMPTY_COPY and json.loads(line)["at"] < until
        ]
        state.write_text("".join(kept))

    async def _disrupt_link(self, fault: _schedule.Fault, index: int) -> None:
        if fault.kind in _LINK:
            target, switches = self._site.links[index], _LINK[fault.kind]
        else:
            host = self._site.relayed[index]
            target = self._store
            switches = {"refuse_hosts": {host: int(fault.parameter)}}
        await self._set(target, switches)
        await anyio.sleep(fault.lasts_s)
        await self._set(target, dict.fromkeys(switches))

    async def _end_process(
        self, fault: _schedule.Fault, process: fleets.Process
    ) -> None:
        if fault.kind == "terminated":
            with anyio.move_on_after(_GRACE_S):
                for _ in range(round(fault.parameter)):
                    process.terminate()
                    await anyio.sleep(_SIGNAL_EVERY_S)
                while process.running:
                    await anyio.sleep(_POLL_S)
        process.kill()
        await anyio.sleep(fault.lasts_s)
        self._site.starts[process.name] += 1
        process.start()
