"""A client's request on its way, with what was tried for it."""

from __future__ import annotations

import hashlib

from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types
from geraniumlink.suspicion import _suspicions

# Clients give up a stream without events after the longest of: this time,
# and so many times the target and the longest pause. From the users' pages.
LEAST_ABANDON_MS = 2000
ABANDON_TARGETS = 4
ABANDON_PAUSES = 8


class Task:
    """A client's request on its way."""

    def __init__(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
        route: _types.Route,
        service: str,
        until: int,
    ) -> None:
        self.request = request
        self.response = response
        self.route = route
        self.service = service
        # Our clock's time at which there must be a final answer.
        self.until = until
        # By then a client that still waits for a first event gives up.
        self.first_by = request.received_at + _first_event_ms(route)
        self.attempts = 0
        self.unsent = 0
        self.tried: set[str] = set()
        self.may_have_run = False
        self.last_event_id = request.last_event_id
        self.fingerprint = _fingerprint(request)
        self.last_replica = ""
        # Our clock's time of the first event sent; None before.
        self.first_event_at: int | None = None
        self.outcome = ""

    @property
    def log_id(self) -> str:
        """The id of the client's attempt, as log lines have it."""
        return self.request.id.decode("latin-1")


def _first_event_ms(route: _types.Route) -> int:
    if route.kind is not _types.RouteKind.STREAM:
        return route.timeout_ms
    return max(
        LEAST_ABANDON_MS,
        ABANDON_TARGETS * route.target_ms,
        ABANDON_PAUSES * route.gap_target_ms,
    )


def _fingerprint(request: _types.Request) -> str:
    """Recognise a request that is sent again, under whatever id."""
    digest = hashlib.blake2b(request.body, digest_size=16).hexdigest()
    target = request.target.decode("latin-1")
    return _suspicions.compute_fingerprint(request.host, target, digest)
