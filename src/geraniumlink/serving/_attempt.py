"""One attempt: sends a request to a replica and relays its response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import platform
from geraniumlink.serving import _balance
from geraniumlink.serving import _connections
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _events
from geraniumlink.serving import _failover
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _rejections
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_state
from geraniumlink.serving import _stream_origins
from geraniumlink.serving import _types

# A request that can be retried gives up on a replica that has sent nothing,
# on any connection, for this many times the route's latency target, within
# the bounds below.
STALL_TIMEOUT_TARGETS = 2
MIN_STALL_TIMEOUT_MS = 300
MAX_STALL_TIMEOUT_MS = 2000
# After a stream's first event: this many times the route's longest gap between
# events.
STALL_TIMEOUT_GAPS = 4

# A body is sent to the client once all of it was received, so that it can be
# retried until then. The parts of a longer one are sent as they arrive.
MAX_HELD_BODY_BYTES = 8192
# A stream with a longer event counts as broken off.
MAX_EVENT_BYTES = 8192
# The body of a rejection is read for this long, so that the connection can be
# used again. The head alone proves that the request has not run.
REJECTION_BODY_MS = 100
# Answers to other requests that are skipped before the awaited one.
MAX_SKIPPED_ANSWERS = 16
# A response counts as starting for this long after its first event, since
# that of a replica that crashes may have been received.
START_MS = 500

_T = typing.TypeVar("_T")


class StalledError(Exception):
    """A replica is silent, and another one takes the request."""


class Attempt:
    """Sends one request on one connection and relays the response."""

    _silence = "the replica is silent"

    def __init__(
        self,
        clock: _clock.Clock,
        state: _request_state.RequestState,
        replica: _replicas.Replica,
        connection: _connections.Connection,
        expected_ms: float,
        origins: _stream_origins.Origins,
        failover: _failover.Failover,
    ) -> None:
        self._clock = clock
        self._state = state
        self._replica = replica
        self._connection = connection
        self._expected_ms = expected_ms
        self._origins = origins
        self._failover = failover
        self._sent_at = clock.now()
        self._priority = state.route.priority
        self._prefill_tokens = replica.prefix_cache.uncached_tokens(
            state.request
        )
        # Prompt tokens that are read before its first event.
        self._tokens_to_read = self._prefill_tokens + replica.tokens_ahead(
            self._priority, self._sent_at
        )
        # Requests at the replica before it, as far as known.
        self._ahead = replica.in_flight + _balance.requests_of_others(
            replica, self._sent_at
        )
        self._body_sent = False
        # Whether the connection may carry another request.
        self.reusable = False
        # When the first event, or the whole body, was received; None before.
        self._first_event_at: int | None = None
        # When the read in progress began.
        self._read_began_at = self._sent_at
        # Checks the stall timeout at the given time; None if none is set.
        self._stall_timer: asyncio.TimerHandle | None = None
        self._stall_check_at = 0

    def is_starting(self) -> bool:
        """Whether the replica has only begun with its response, if at all.

        The response is then a likely cause if the replica has crashed.
        """
        return (
            self._first_event_at is None
            or self._clock.now() - self._first_event_at < START_MS
        )

    async def run(self) -> _outcomes.Outcome:
        """Run the attempt, and count its load while it lasts."""
        replica = self._replica
        replica.begin_request(self._sent_at)
        replica.prefill_tokens[self._priority] += self._prefill_tokens
        replica.memory.begin(self._state.request)
        try:
            return await self._exchange()
        except _http.BrokenError as error:
            return _outcomes.Interrupted(str(error))
        except StalledError:
            return _outcomes.Interrupted(self._silence, is_stall=True)
        finally:
            if self._stall_timer is not None:
                self._stall_timer.cancel()
            replica.in_flight -= 1
            replica.memory.end(self._state.request)
            self._end_prefill()
            await self._failover.stop()

    def _note_stall(self) -> None:
        """Record that the replica is silent."""
        self._replica.note_unreachable(self._clock.now(), self._silence)

    async def _exchange(self) -> _outcomes.Outcome:
        """Send the request and receive the response.

        A large body is sent concurrently with receiving, since a replica
        may respond before it has read the body.
        """
        body = self._state.request.body
        if len(body) <= _connections.SMALL_BODY_BYTES:
            await self._connection.send(self._encode_head() + body)
            return await self._receive()
        failure: Exception | None = None
        outcome: _outcomes.Outcome = _outcomes.Interrupted("no answer")
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._send_concurrently, self._encode_head() + body
            )
            try:
                outcome = await self._receive()
            except (_http.BrokenError, StalledError) as error:
                # Raised after the task group, which would wrap it in an
                # exception group.
                failure = error
            if not self._body_sent:
                # The replica would read the next request on this connection
                # as the rest of this body.
                self.reusable = False
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return outcome

    async def _send_concurrently(self, data: bytes) -> None:
        """Send a large request while the response is being received."""
        try:
            await self._connection.send(data)
            self._body_sent = True
        except _http.BrokenError as error:
            # Not a failure by itself: the replica may have responded before
            # it closed the connection. Receiving decides on the outcome.
            _logs.event(
                "body_not_taken",
                request_id=self._state.log_id,
                error=str(error),
            )

    def _encode_head(self) -> bytes:
        """Return the request head with the time that is left."""
        state = self._state
        left_ms = state.deadline - self._clock.now()
        return platform.encode_request_head(
            state.request,
            replica=self._replica.entry.name,
            left_ms=max(1, left_ms),
            priority=self._priority if state.request.model else None,
            last_event_id=state.last_event_id,
        )

    async def _receive(self) -> _outcomes.Outcome:
        """Receive the response, and relay it if it is a success."""
        head = await self._read_head()
        self._record_head(head)
        if 200 <= head.status < 300:
            if not head.from_replica:
                return _outcomes.Interrupted("an answer without its seal")
            if self._state.route.kind is _types.RouteKind.STREAM:
                return await self._relay_events(head)
            return await self._relay_body(head)
        self._connection.note_refusal(self._state.request.id)
        if head.not_run:
            self._record_refusal(head)
            # What was said holds even if the body has no end.
            with (
                contextlib.suppress(_http.BrokenError, StalledError),
                anyio.move_on_after(REJECTION_BODY_MS / 1000),
            ):
                await self._read_short_body()
                self._finish_response(head)
            has_room = head.load is not None and head.load.has_room
            return _outcomes.NotRun(
                f"the replica answered {head.status}",
                is_full=head.status == 503 and not has_room,
            )
        body = await self._read_short_body()
        self._finish_response(head)
        return _outcomes.Failed(
            head.status, head.headers, body, head.from_replica
        )

    def _record_refusal(self, head: platform.ResponseHead) -> None:
        """Record why the replica can't serve the request now.

        A replica that is unloading a model refuses requests for it even with
        free slots, and lists it as resident until its last run has ended.
        """
        request, now = self._state.request, self._clock.now()
        match _rejections.find_cause(head.status, head.load, request.model):
            case _rejections.Cause.NOT_LOADED:
                self._replica.note_not_loaded(
                    request.model, request.adapter, now
                )
            case _rejections.Cause.CLOSING:
                self._replica.note_not_loaded(request.model, "", now)
            case _rejections.Cause.NO_ROOM:
                self._replica.last_rejection.note(now)

    async def _read_head(self) -> platform.ResponseHead:
        """Return the response head; skip responses to other requests."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            response = await self._read_with_timeout(
                self._connection.read_head
            )
            head = platform.decode_response_head(
                response.status, response.headers
            )
            if head.request_id in (self._state.request.id, b""):
                return head
            _logs.event(
                "foreign_answer",
                replica=self._replica.entry.name,
                request_id=head.request_id.decode("latin-1"),
            )
            await self._read_with_timeout(self._connection.skip_response)
        raise _http.BrokenError("only answers to other requests")

    def _record_head(self, head: platform.ResponseHead) -> None:
        """Record what the replica stated of its load and of itself."""
        now = self._clock.now()
        if head.load is not None:
            self._replica.note_load(head.load, now)
        self._replica.note_rate_limit(head.rate_limit, self._sent_at, now)
        self._replica.note_brittleness(head.max_rejections, self._sent_at, now)
        self._replica.note_announcement(head.announcement, self._sent_at, now)
        if head.keep_alive_ms is not None:
            self._connection.idle_ms = head.keep_alive_ms

    async def _relay_body(
        self, head: platform.ResponseHead
    ) -> _outcomes.Outcome:
        """Send the client the response once all of it was received.

        The parts of a body over MAX_HELD_BODY_BYTES are sent as they arrive.
        """
        response = self._state.response
        held = bytearray()
        while (chunk := await self._read_chunk()) is not None:
            if response.started:
                await response.write(chunk)
                continue
            held += chunk
            if len(held) > MAX_HELD_BODY_BYTES:
                self._record_first_event()
                await response.start(head.status, head.headers)
                await response.write(bytes(held))
                held.clear()
        self._finish_response(head)
        self._record_call(head)
        if response.started:
            await response.finish()
        else:
            self._record_first_event()
            await response.send_complete(
                head.status, head.headers, bytes(held)
            )
        return _outcomes.Done()

    async def _read_short_body(self) -> bytes:
        """Return the body of a response that isn't a success.

        :raises _http.BrokenError: if it is over MAX_HELD_BODY_BYTES.
        """
        body = bytearray()
        while (chunk := await self._read_chunk()) is not None:
            body += chunk
            if len(body) > MAX_HELD_BODY_BYTES:
                raise _http.BrokenError("a failure without an end")
        return bytes(body)

    async def _read_chunk(self) -> bytes | None:
        return await self._read_with_timeout(self._connection.read_chunk)

    async def _relay_events(
        self, head: platform.ResponseHead
    ) -> _outcomes.Outcome:
        """Send the client each event once all of it was received.

        The response starts with the first whole event, so that a stream
        that fails before can still be answered with an error or retried.
        A stream that ends inside an event was broken off, however the
        replica marked its end.
        """
        state = self._state
        splitter = _events.EventSplitter()
        has_events = False
        is_continued = state.response.started
        if is_continued and not head.may_be_event_stream:
            return _outcomes.Interrupted("an answer that is no stream")
        while (events := await self._read_events(splitter)) is not None:
            if is_continued and not has_events:
                _check_order(state.last_event_id, splitter.first_id)
            has_events = True
            self._record_first_event()
            if state.software_version is None:
                self._record_origin()
            await self._start_response(head)
            await state.response.write(events)
            state.note_events(splitter.last_id, self._clock.now())
        partial_bytes = len(splitter.partial_event)
        if partial_bytes or head.framing == "connection":
            _decision_log.stream_ended(state, head.framing, partial_bytes)
        self._finish_response(head)
        if splitter.is_inside_event:
            return _outcomes.Interrupted("the stream ended inside an event")
        if head.framing == "connection" and not has_events:
            return _outcomes.Interrupted("the stream ended without an event")
        await self._start_response(head)
        await state.response.finish(splitter.partial_event)
        return _outcomes.Done()

    async def _read_events(
        self, splitter: _events.EventSplitter
    ) -> bytes | None:
        """Return events that were received whole; None after the last one.

        :raises _http.BrokenError: if one is over MAX_EVENT_BYTES.
        """
        while (chunk := await self._read_chunk()) is not None:
            events = splitter.feed(chunk)
            if len(splitter.partial_event) > MAX_EVENT_BYTES:
                raise _http.BrokenError("an event without an end")
            if events:
                return events
        return None

    def _record_origin(self) -> None:
        """Record which software version begins the stream.

        Before the client has its first event, so that the version is known
        when the client resumes the stream.
        """
        state, entry = self._state, self._replica.entry
        state.software_version = entry.software_version
        if state.route.resumable:
            origin = _stream_origins.Origin(
                state.service, entry.software_version
            )
            self._origins.record(state.request.id, origin)

    async def _start_response(self, head: platform.ResponseHead) -> None:
        """Send the head of a stream, unless a previous attempt sent it."""
        if self._state.response.started:
            return
        # If the stream is resumed at another replica, a replica's content
        # length covers only its own part.
        headers = [
            header
            for header in head.headers
            if header[0].lower() != b"content-length"
        ]
        await self._state.response.start(head.status, headers)

    def _finish_response(self, head: platform.ResponseHead) -> None:
        """Decide whether the connection can be reused.

        A faulty replica may write a refusal once more when the connection is
        in use again. One without an id would be taken for any request's.
        """
        is_nameless_refusal = head.status >= 300 and not head.request_id
        self.reusable = (
            self._connection.finish_response()
            and not head.closes_connection
            and not is_nameless_refusal
        )

    def _record_call(self, head: platform.ResponseHead) -> None:
        """Record how long a call to a service without an engine took.

        A body that was sent in parts may have waited for the client.
        """
        load, replica = head.load, self._replica
        if (
            self._state.request.model
            or self._state.response.started
            or load is None
            or load.service_time_percent is None
        ):
            return
        now = self._clock.now()
        replica.call_times.note_call(
            now - self._sent_at,
            replica.service_time.factor(now),
            self._ahead,
            max(1, replica.entry.slots),
            now,
        )

    def _record_first_event(self) -> None:
        """Record the time to first event; the prompt has been read."""
        if self._first_event_at is None:
            self._first_event_at = self._clock.now()
            target_at = self._sent_at + self._state.route.target_ms
            self._replica.answers = self._replica.answers.with_one(
                is_in_time=self._first_event_at <= target_at
            )
        if self._state.first_event_at is None:
            self._state.first_event_at = self._first_event_at
        if not self._prefill_tokens:
            return
        now = self._clock.now()
        took_ms = now - self._sent_at
        self._replica.note_excess_latency(took_ms - self._expected_ms, now)
        self._replica.prefill_speed.note_first_event(
            self._tokens_to_read,
            took_ms / self._replica.service_time.factor(now),
        )
        self._replica.prefix_cache.remember(self._state.request)
        self._end_prefill()

    def _end_prefill(self) -> None:
        """Stop counting the prompt's tokens as ahead of other requests."""
        self._replica.prefill_tokens[self._priority] -= self._prefill_tokens
        self._prefill_tokens = 0

    async def _read_with_timeout(
        self, read: Callable[[], Awaitable[_T]]
    ) -> _T:
        """Read from the replica's connection, with the stall timeout.

        :raises StalledError: if the request can be retried, the replica has
            sent nothing, on any connection, for the stall timeout, and
            another one takes the request.
        """
        self._read_began_at = self._clock.now()
        self._set_stall_timer()
        result = await read()
        self._replica.note_activity(self._clock.now())
        self._failover.cancel()
        return result

    def _set_stall_timer(self) -> None:
        """Have the stall timeout checked when it may be over.

        A timer that is set already is kept if it is early enough. Most last
        for many reads: setting one costs about as much as a read.
        """
        due_at = self._stall_due_at()
        if due_at is None:
            return
        if self._stall_timer is not None:
            if self._stall_check_at <= due_at:
                return
            self._stall_timer.cancel()
        self._stall_check_at = due_at
        left_ms = max(0, due_at - self._clock.now())
        self._stall_timer = asyncio.get_running_loop().call_later(
            left_ms / 1000, self._check_stall
        )

    def _check_stall(self) -> None:
        """Look for another replica if a read stalls; else check later."""
        self._stall_timer = None
        if not self._connection.is_reading:
            # The client is slow to take what was read.
            return
        if self._is_stalled():
            self._note_stall()
            self._failover.start(self._end_stalled_read)
        else:
            self._set_stall_timer()

    def _is_stalled(self) -> bool:
        due_at = self._stall_due_at()
        return due_at is not None and due_at <= self._clock.now()

    def _end_stalled_read(self, is_given_up: bool) -> bool:
        """Interrupt the read if it stalls still; return whether it did."""
        if not self._is_stalled():
            self._set_stall_timer()
            return False
        return self._connection.interrupt_read(
            _http.BrokenError("the replica can't be reached any more")
            if is_given_up
            else StalledError()
        )

    def _stall_due_at(self) -> int | None:
        """Return when a read stalls; None if there can be no retry."""
        stall_timeout_ms = self._stall_timeout_ms()
        if stall_timeout_ms is None:
            return None
        return stall_timeout_ms + max(
            self._replica.last_activity_at, self._read_began_at
        )

    def _stall_timeout_ms(self) -> int | None:
        """Return the stall timeout; None if there can be no retry."""
        route = self._state.route
        if (
            not self._state.can_be_repeated
            or self._state.runs >= route.max_attempts
        ):
            return None
        if self._state.response.started and route.gap_target_ms:
            stall_timeout_ms = STALL_TIMEOUT_GAPS * route.gap_target_ms
        else:
            stall_timeout_ms = STALL_TIMEOUT_TARGETS * route.target_ms
        return max(
            MIN_STALL_TIMEOUT_MS, min(MAX_STALL_TIMEOUT_MS, stall_timeout_ms)
        )


def _check_order(last_id: bytes, first_id: bytes) -> None:
    """Check that a stream's next events follow those that the client has.

    Ids that aren't numbers only have to differ.

    :param first_id: of the next events; empty if they have none.
    :raises _http.BrokenError: if they don't.
    """
    if last_id.isdigit() and first_id.isdigit():
        is_next = int(first_id) > int(last_id)
    else:
        is_next = first_id not in (b"", last_id)
    if not is_next:
        raise _http.BrokenError("events that don't continue the stream")
