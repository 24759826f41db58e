"""Passes requests on to other instances, for want of a path to replicas.

The other instance sends a request to a replica, repeats it where that is
allowed, and records where a stream began. Its answer is relayed like a
replica's.
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import platform
from geraniumlink.serving import _attempt
from geraniumlink.serving import _connections
from geraniumlink.serving import _failover
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _peers
from geraniumlink.serving import _request_state
from geraniumlink.serving import _stream_origins

# Subtracted from the time left, so that the other instance's last answer
# arrives before this one gives up.
ANSWER_MARGIN_MS = 15
# The other instance may notice a silent replica and try another one before it
# counts as silent itself.
STALL_FACTOR = 2
# Status with which an instance turns down a request that was passed on to it.
MISDIRECTED = 421


class _RelayAttempt(_attempt.Attempt):
    """Sends one request to another instance and relays its response."""

    _silence = "the other instance is silent"

    def __init__(
        self,
        clock: _clock.Clock,
        state: _request_state.RequestState,
        peer: _peers.Peer,
        connection: _connections.Connection,
        origins: _stream_origins.Origins,
        failover: _failover.Failover,
        peers: _peers.Peers,
    ) -> None:
        super().__init__(
            clock, state, peer.backend, connection, 0.0, origins, failover
        )
        self._peer = peer
        self._peers = peers
        # The prompt is ahead of others at a replica, not at the instance.
        self._prefill_tokens = 0

    def _note_stall(self) -> None:
        self._peers.note_failure(self._peer)

    def _encode_head(self) -> bytes:
        state = self._state
        left_ms = state.deadline - self._clock.now() - ANSWER_MARGIN_MS
        return platform.encode_relayed_head(
            state.request,
            left_ms=max(1, left_ms),
            attempts=state.runs - 1,
            last_event_id=state.last_event_id,
            resumes=state.request.resumes
            or (state.request.id if state.response.started else b""),
        )

    async def _receive(self) -> _outcomes.Outcome:
        outcome = await super()._receive()
        match outcome:
            case _outcomes.NotRun():
                return _outcomes.Unsent("the other instance can't take it")
            case _outcomes.Failed(status, headers, body, is_signed=False) if (
                status in _outcomes.NOT_RUN_STATUSES
            ):
                return _outcomes.Declined(status, headers, body)
        return outcome

    def _record_refusal(self, head: platform.ResponseHead) -> None:
        pass

    def _record_head(self, head: platform.ResponseHead) -> None:
        """Leave out what the replica stated: the other instance records it."""

    def _record_origin(self) -> None:
        """Leave it to the other instance, which knows the replica."""

    def _stall_timeout_ms(self) -> int | None:
        timeout_ms = super()._stall_timeout_ms()
        return None if timeout_ms is None else STALL_FACTOR * timeout_ms


class PeerRelay:
    """Chooses other instances, and passes requests on to them."""

    def __init__(
        self,
        peers: _peers.Peers,
        connections: _connections.ConnectionPool,
        origins: _stream_origins.Origins,
        clock: _clock.Clock,
    ) -> None:
        self._peers = peers
        self._connections = connections
        self._origins = origins
        self._clock = clock

    def choose(self) -> _peers.Peer | None:
        """Return an instance to pass a request on to, if there is one."""
        return self._peers.choose()

    async def connect(
        self, state: _request_state.RequestState, peer: _peers.Peer
    ) -> _connections.Connection | _outcomes.Unsent:
        """Return a connection to another instance for a request."""
        try:
            return await self._connections.acquire(
                peer.name,
                peer.address,
                strict_freshness=not state.route.retryable,
                request_id=state.request.id,
            )
        except _http.NotSentError as error:
            self._peers.note_failure(peer)
            return _outcomes.Unsent(str(error))

    def release(
        self, peer: _peers.Peer, connection: _connections.Connection
    ) -> None:
        """Take back a connection on which nothing was sent."""
        self._connections.release(peer.name, connection)

    async def send(
        self,
        state: _request_state.RequestState,
        peer: _peers.Peer,
        connection: _connections.Connection,
        failover: _failover.Failover,
    ) -> _outcomes.Outcome:
        """Pass the request on to another instance and relay its response."""
        state.attempts += 1
        was_passed_on = state.passed_on
        # Also for a search while the other instance has it.
        state.passed_on = True
        attempt = _RelayAttempt(
            self._clock,
            state,
            peer,
            connection,
            self._origins,
            failover,
            self._peers,
        )
        outcome: _outcomes.Outcome | None = None
        try:
            outcome = await attempt.run()
        finally:
            if not attempt.reusable:
                connection.close()
            elif outcome is not None:
                self._connections.release(peer.name, connection)
        match outcome:
            case _outcomes.Unsent():
                state.attempts -= 1
                state.passed_on = was_passed_on
                self._peers.note_failure(peer)
                return outcome
            case _outcomes.Interrupted():
                state.may_have_run = True
                self._peers.note_failure(peer)
        return outcome
