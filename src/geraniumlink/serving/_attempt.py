"""One attempt: a request sent to one replica, and its answer relayed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.serving import _connections
from geraniumlink.serving import _events
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replicas
from geraniumlink.serving import _task
from geraniumlink.serving import _types

# A replica of which nothing was heard for this many times the target is
# taken for dead by requests that may be repeated.
SILENCE_TARGETS = 2
SHORTEST_SILENCE_MS = 300
LONGEST_SILENCE_MS = 2000
# The same once a stream runs, in longest pauses.
SILENCE_PAUSES = 4

_T = typing.TypeVar("_T")


class SilentError(Exception):
    """Nothing was heard of a replica for too long."""


class Attempt:
    """One request on one connection to one replica."""

    def __init__(
        self,
        clock: _clock.Clock,
        task: _task.Task,
        replica: _replicas.Replica,
        connection: _connections.Connection,
        expected_ms: float,
    ) -> None:
        self._clock = clock
        self._task = task
        self._replica = replica
        self._connection = connection
        self._expected_ms = expected_ms
        self._sent_at = clock.now()
        self._rank = task.route.priority
        self._prefilling = replica.uncached_tokens(task.request)
        self._body_sent = False
        # Whether the connection may carry another request.
        self.reusable = False

    async def run(self) -> _outcomes.Outcome:
        replica = self._replica
        replica.in_flight += 1
        replica.prefill_tokens[self._rank] += self._prefilling
        try:
            return await self._exchange()
        except _http.BrokenError as error:
            return _outcomes.Interrupted(str(error))
        except SilentError:
            reason = "the replica is silent"
            replica.note_unreachable(self._clock.now(), reason)
            return _outcomes.Interrupted(reason)
        finally:
            replica.in_flight -= 1
            self._end_prefill()

    async def _exchange(self) -> _outcomes.Outcome:
        body = self._task.request.body
        if len(body) <= _connections.SMALL_BODY_BYTES:
            await self._connection.send(self._head() + body)
            return await self._receive()
        failure: Exception | None = None
        outcome: _outcomes.Outcome = _outcomes.Interrupted("no answer")
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_large, self._head() + body)
            try:
                outcome = await self._receive()
            except (_http.BrokenError, SilentError) as error:
                # A task group would wrap it.
                failure = error
            if not self._body_sent:
                # What follows on this connection would be taken for it.
                self.reusable = False
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return outcome

    async def _send_large(self, data: bytes) -> None:
        try:
            await self._connection.send(data)
            self._body_sent = True
        except _http.BrokenError as error:
            # The answer may have come before; reading tells.
            _logs.event(
                "body_not_taken",
                request_id=self._task.log_id,
                error=str(error),
            )

    def _head(self) -> bytes:
        task = self._task
        left_ms = task.until - self._clock.now()
        return platform.encode_request_head(
            task.request,
            replica=self._replica.entry.name,
            left_ms=max(1, left_ms),
            priority=self._rank if task.request.model else None,
            last_event_id=task.last_event_id,
        )

    async def _receive(self) -> _outcomes.Outcome:
        head = await self._read_head()
        self._note_head(head)
        if 200 <= head.status < 300:
            if not head.from_replica:
                return _outcomes.Interrupted("an answer without its seal")
            if self._task.route.kind is _types.RouteKind.STREAM:
                return await self._relay_events(head)
            return await self._relay_whole(head)
        body = await self._read_whole()
        self._finish(head)
        if head.not_run:
            self._note_refusal(head)
            return _outcomes.NotRun(f"the replica answered {head.status}")
        return _outcomes.Failed(head.status, head.headers, body)

    def _note_refusal(self, head: platform.ResponseHead) -> None:
        """Learn that the replica doesn't serve a model, or an adapter.

        One that is moving a model refuses requests for it, though it has
        room, and lists it until the model's last run has ended.
        """
        request, now = self._task.request, self._clock.now()
        if head.status == 421:
            self._replica.note_not_loaded(request.model, request.adapter, now)
        elif head.load is not None and head.load.has_room:
            self._replica.note_not_loaded(request.model, "", now)

    async def _read_head(self) -> platform.ResponseHead:
        """Return the head of the own answer; skip those to others."""
        while True:
            message = await self._heard(self._connection.read_head)
            head = platform.decode_response_head(
                message.status, message.headers
            )
            if head.request_id in (self._task.request.id, b""):
                return head
            _logs.event(
                "foreign_answer",
                replica=self._replica.entry.name,
                request_id=head.request_id.decode("latin-1"),
            )
            await self._heard(self._connection.skip_response)

    def _note_head(self, head: platform.ResponseHead) -> None:
        now = self._clock.now()
        if head.load is not None:
            self._replica.note_load(head.load, now)
        if head.keep_alive_ms is not None:
            self._connection.idle_ms = head.keep_alive_ms

    async def _relay_whole(
        self, head: platform.ResponseHead
    ) -> _outcomes.Outcome:
        body = await self._read_whole()
        self._note_first_event()
        self._finish(head)
        await self._task.response.send_complete(
            head.status, head.headers, body
        )
        return _outcomes.Done()

    async def _read_whole(self) -> bytes:
        parts: list[bytes] = []
        while True:
            part = await self._heard(self._connection.read_chunk)
            if part is None:
                return b"".join(parts)
            parts.append(part)

    async def _relay_events(
        self, head: platform.ResponseHead
    ) -> _outcomes.Outcome:
        task = self._task
        splitter = _events.EventSplitter()
        while True:
            part = await self._heard(self._connection.read_chunk)
            if part is None:
                break
            events = splitter.feed(part)
            if not events:
                continue
            self._note_first_event()
            await self._start_reply(head)
            await task.response.write(events)
            task.last_event_id = splitter.last_id or task.last_event_id
        self._finish(head)
        await self._start_reply(head)
        await task.response.finish(splitter.rest)
        return _outcomes.Done()

    async def _start_reply(self, head: platform.ResponseHead) -> None:
        """Send the head of the stream's first replica."""
        if self._task.response.started:
            return
        # The length is that of one replica's part, if the stream goes on
        # at another.
        headers = [
            header
            for header in head.headers
            if header[0].lower() != b"content-length"
        ]
        await self._task.response.start(head.status, headers)

    def _finish(self, head: platform.ResponseHead) -> None:
        self.reusable = (
            self._connection.finish_response() and not head.closes_connection
        )

    def _note_first_event(self) -> None:
        if self._task.first_event_at is None:
            self._task.first_event_at = self._clock.now()
        if not self._prefilling:
            return
        now = self._clock.now()
        took_ms = now - self._sent_at
        self._replica.note_lag(took_ms - self._expected_ms, now)
        self._replica.remember_prefix(self._task.request)
        self._end_prefill()

    def _end_prefill(self) -> None:
        self._replica.prefill_tokens[self._rank] -= self._prefilling
        self._prefilling = 0

    async def _heard(self, step: Callable[[], Awaitable[_T]]) -> _T:
        """Wait for the replica, as long as there is hope.

        :raises SilentError: if the request can be repeated, and nothing was
            heard of the replica for too long.
        """
        silence_ms = self._silence_ms()
        if silence_ms is None:
            result = await step()
            self._replica.note_activity(self._clock.now())
            return result
        while True:
            now = self._clock.now()
            due = (
                max(self._replica.last_activity_at, self._sent_at) + silence_ms
            )
            if due <= now:
                raise SilentError
            with anyio.move_on_after((due - now) / 1000):
                result = await step()
                self._replica.note_activity(self._clock.now())
                return result

    def _silence_ms(self) -> int | None:
        route = self._task.route
        if not route.retryable or self._task.attempts >= route.max_attempts:
            return None
        if self._task.response.started and route.gap_target_ms:
            silence_ms = SILENCE_PAUSES * route.gap_target_ms
        else:
            silence_ms = SILENCE_TARGETS * route.target_ms
        return max(SHORTEST_SILENCE_MS, min(LONGEST_SILENCE_MS, silence_ms))
