"""Stand-in for a replica that answers with streams of events."""

from __future__ import annotations

import asyncio
import contextlib
import time

import replicas
import wire


class StreamRun:
    """A run of a stream, from its arrival to its end at the replica."""

    def __init__(self, request_id: str, replica: str, is_paused: bool) -> None:
        self.request_id, self.replica = request_id, replica
        self.is_paused = is_paused
        self.began_at = time.monotonic()
        # Set when the replica stops work on it.
        self.ended_at: float | None = None
        # When it would have ended by itself.
        self.whole_at = 0.0


class StreamReplica(replicas.Replica):
    """Sends events one after the other.

    As PROTOCOL.md allows, a run may be preempted in the middle of its stream:
    then it pauses, and goes on. A run is dropped when its connection closes.
    """

    events = 8
    event_ms = 50
    # Every so many runs pause, after so many events and for so long.
    pause_every = 2
    pause_after = 2
    pause_ms = 3000

    def __init__(self, name: str, service: str, host: str, port: int) -> None:
        super().__init__(name, service, host, port, slots=64)
        self.streams: list[StreamRun] = []

    async def handle(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        number = len(self.streams)
        is_paused = number % self.pause_every == 0
        run = StreamRun(
            request.headers["x-request-id"], self.name, is_paused
        )
        self.streams.append(run)
        first = int(request.headers.get("last-event-id", "0")) + 1
        left_ms = (self.events - first + 1) * self.event_ms
        if is_paused and first <= self.pause_after:
            left_ms += self.pause_ms
        run.whole_at = run.began_at + left_ms / 1000
        work = asyncio.create_task(self._send(request, run, writer, first))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            return work.done() and not closed.done()
        finally:
            run.ended_at = time.monotonic()
            for task in (work, closed):
                task.cancel()
                with contextlib.suppress(
                    asyncio.CancelledError, ConnectionError
                ):
                    await task

    async def _send(
        self,
        request: wire.Request,
        run: StreamRun,
        writer: asyncio.StreamWriter,
        first: int,
    ) -> None:
        lines = (
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Response-Seal: {self.name}.200",
            *self.stated(request),
        )
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            if run.is_paused and number == self.pause_after + 1:
                await asyncio.sleep(self.pause_ms / 1000)
            await asyncio.sleep(self.event_ms / 1000)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
