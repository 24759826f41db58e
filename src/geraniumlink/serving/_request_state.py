"""The state of a client's request while it is being served."""

from __future__ import annotations

import hashlib

from geraniumlink.serving import _outcomes
from geraniumlink.serving import _quotas
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions

# The users' clients abandon a stream that has no events after the longest of
# this time, and these multiples of the route's latency target and of its
# longest gap between events, as the users' documentation states.
MIN_ABANDON_MS = 2000
ABANDON_TARGETS = 4
ABANDON_GAPS = 8


class RequestState:
    """A request, its response, and the attempts made to serve it."""

    def __init__(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
        route: _types.Route,
        service: str,
        deadline: int,
    ) -> None:
        self.request = request
        self.response = response
        self.route = route
        self.service = service
        # Time, by this instance's clock, at which the request times out.
        self.deadline = deadline
        # Time at which the client gives up unless it gets another event, or a
        # whole answer.
        self._event_deadline = request.received_at + _longest_gap_ms(route)
        # Replicas that it was sent to, also by another instance before.
        self.attempts = request.relayed_attempts or 0
        # Replicas among them that stated that they did not run it.
        self.rejections = 0
        # Whether one of them had no room for it.
        self.was_rejected_as_full = False
        # Whether another instance took it, and may have sent it to replicas
        # that aren't known here.
        self.passed_on = False
        # Whether it has left a silent replica for another target.
        self.failed_over = False
        # Attempts for which no connection could be opened.
        self.connect_failures = 0
        # Names of the replicas of all attempts, which are not chosen again.
        self.tried_replicas: set[str] = set()
        # Whether some replica ran it, or may have, also by another instance
        # before.
        self.may_have_run = bool(request.relayed_attempts)
        # Whether it is at a replica, or at another instance.
        self.in_attempt = False
        # What its account's quota was charged; None if nothing.
        self.charge: _quotas.Decision | None = None
        # Id of the last event that the client has; a stream is resumed after
        # it. Empty if there is none.
        self.last_event_id = request.last_event_id
        # Software version of the replica that sent the stream's first event;
        # None while there is no event. Only replicas of that version can
        # continue the stream.
        self.software_version: str | None = None
        self.fingerprint = _fingerprint(request)
        # Fingerprints of the parts of its prompt that other requests may
        # have too. The last part is the request's own or its session's.
        self.shared_parts = tuple(
            _prompt_parts.part_fingerprint(block.key)
            for block in request.prefix_blocks[:-1]
        )
        # Whether it may run although a part of its prompt is blocked.
        self.is_part_trial = False
        # Name of the replica chosen last; empty before the first choice.
        self.last_replica = ""
        # When the first event, or the whole body, was received; None before.
        self.first_event_at: int | None = None
        # The final outcome, for log lines and metrics; empty until then.
        self.outcome = ""
        # Why the last attempt has failed, for log lines and metrics; None if
        # none has.
        self.failed_attempt: _outcomes.Outcome | None = None

    @property
    def runs(self) -> int:
        """On how many replicas it ran, or may have run."""
        return self.attempts - self.rejections

    @property
    def latest_next_event(self) -> int:
        """When the next event, or a whole answer, comes too late."""
        return min(self.deadline, self._event_deadline)

    @property
    def resumes_stream(self) -> bool:
        """Whether the client has events of the stream already."""
        return bool(self.request.last_event_id) and self.route.resumable

    @property
    def can_be_repeated(self) -> bool:
        """Whether the route and the client's response allow another run.

        A stream goes on after its last event; a body that was sent in part
        can't.
        """
        return self.route.retryable and (
            not self.response.started
            or self.route.kind is _types.RouteKind.STREAM
        )

    @property
    def log_id(self) -> str:
        """The request id as it appears in log lines."""
        return self.request.id.decode("latin-1")

    def note_events(self, last_id: bytes, now: int) -> None:
        """Record that events were sent to the client.

        :param last_id: of the last one; empty if they have no ids.
        """
        self.last_event_id = last_id or self.last_event_id
        self._event_deadline = now + _longest_gap_ms(self.route)


def _longest_gap_ms(route: _types.Route) -> int:
    """Return how long a client waits for an event, or for a whole answer."""
    if route.kind is not _types.RouteKind.STREAM:
        return route.timeout_ms
    return max(
        MIN_ABANDON_MS,
        ABANDON_TARGETS * route.target_ms,
        ABANDON_GAPS * route.gap_target_ms,
    )


def _fingerprint(request: _types.Request) -> str:
    """Return a digest that is the same if the request is sent again.

    Its id is left out, since a client may choose another one.
    """
    digest = hashlib.blake2b(request.body, digest_size=16).hexdigest()
    target = request.target.decode("latin-1")
    return _suspicions.compute_fingerprint(request.host, target, digest)
