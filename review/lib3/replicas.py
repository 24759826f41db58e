"""Stand-ins for replicas of a service without models."""

from __future__ import annotations

import asyncio
import time
import typing

import store as stores
import wire


class Run(typing.NamedTuple):
    """A request that a replica ran."""

    request_id: str
    replica: str
    at: float


class Replica:
    """One replica: it runs each request for a time and answers it."""

    work_ms = 60

    def __init__(
        self, name: str, service: str, host: str, port: int, slots: int = 6
    ) -> None:
        self.name, self.service, self.slots = name, service, slots
        self.server = wire.Server(host, port, self._handle)
        self.runs: list[Run] = []
        self.running = 0
        self.born = time.time_ns() // 1_000_000

    def entry(self) -> dict[str, typing.Any]:
        """Return what it registers in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "izmir-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def start(self, store: stores.Store) -> None:
        await self.server.start()
        store.put("servers", self.name, self.entry())

    def stated(self, request: wire.Request) -> tuple[str, ...]:
        """Return the headers that each answer has."""
        return (
            f"X-Request-Id: {request.headers.get('x-request-id', '')}",
            f"X-Server-Load: {self.running},0,{self.slots}",
        )

    async def _handle(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(
                wire.response(421, b"", f"X-Instance-Id: {self.name}")
            )
            return True
        if "x-request-id" not in request.headers:
            writer.write(wire.response(400, b"", "X-Not-Executed: 1"))
            return True
        return await self.handle(request, reader, writer)

    async def handle(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; return whether the connection goes on."""
        if self.running >= self.slots:
            writer.write(
                wire.response(
                    503, b"", "X-Not-Executed: 1", *self.stated(request)
                )
            )
            return True
        self.note_run(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        status, body = self.result(request)
        seal = f"X-Response-Seal: {self.name}.{status}"
        writer.write(
            wire.response(status, body, seal, *self.stated(request))
        )
        return True

    def note_run(self, request: wire.Request) -> None:
        self.runs.append(
            Run(
                request.headers["x-request-id"], self.name, time.monotonic()
            )
        )

    def result(self, request: wire.Request) -> tuple[int, bytes]:
        """Return how a run ends."""
        return 200, b"answer to " + request.target.encode()
