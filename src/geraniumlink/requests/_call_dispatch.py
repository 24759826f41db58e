"""One attempt to have a plain service answer a call."""

from __future__ import annotations

from collections.abc import Sequence
import json
import typing

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _metrics
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.backends import _backends
from geraniumlink.requests import _answers
from geraniumlink.requests import _refusals
from geraniumlink.requests import _routing

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1000
_MAX_REFUSAL_BYTES = 1024


class NotStarted(typing.NamedTuple):
    """No backend server has begun it because of this attempt."""


class ConnectionLost(typing.NamedTuple):
    """It was sent, and no whole answer came."""


class CallDispatcher:
    """Chooses servers of plain services and sends calls to them."""

    def __init__(
        self,
        router: _routing.Router,
        backends: _backends.Backends,
        clock: _clock.Clock,
        metrics: _metrics.Metrics,
    ) -> None:
        self._router = router
        self._backends = backends
        self._clock = clock
        self._metrics = metrics

    def choose(
        self, service: str, tried: Sequence[_backends.Key]
    ) -> _routing.Choice:
        requirements = _routing.Requirements(service)
        return self._router.choose(requirements, tried, self._clock.now())

    async def dispatch(
        self,
        client: _http.Client,
        backend: _backends.Backend,
        request: pb.CallRequest,
    ) -> _answers.Answer | NotStarted | ConnectionLost:
        """Send a call to one server and return what came of it."""
        backend.in_flight += 1
        try:
            response = await client.request(
                request.method,
                backend.address,
                request.path,
                headers=_headers(request),
                body=request.body,
            )
        except _http.NotSentError:
            backend.mark_unreachable(self._clock.now())
            self._count_attempt(request, "not_sent")
            return NotStarted()
        except _http.BrokenError:
            self._count_attempt(request, "broken")
            return ConnectionLost()
        finally:
            backend.in_flight -= 1
        reason = _refusal_reason(response)
        if reason is not None:
            if reason == "leaving":
                self._backends.record_refusal(backend)
            self._count_attempt(request, "refused")
            return NotStarted()
        self._count_attempt(request, "ok")
        return _answers.from_response(response)

    def _count_attempt(self, request: pb.CallRequest, outcome: str) -> None:
        labels = {"deployment": request.service, "outcome": outcome}
        self._metrics.attempts.inc(labels)


def no_server_refusal(
    service: str,
    choice: _routing.Choice,
    tried: Sequence[_backends.Key],
    execution: _refusals.Execution,
) -> _refusals.Refusal:
    """Return the refusal of a call when there is no server left to try."""
    if tried:
        return _refusals.Refusal(
            _refusals.Code.UNAVAILABLE,
            f"the servers of {service!r} that were tried refused the call or"
            " did not answer",
            execution,
            RETRY_AFTER_MS,
        )
    if choice.any_eligible:
        return _refusals.Refusal(
            _refusals.Code.RESOURCE_EXHAUSTED,
            f"every server of {service!r} is full",
            execution,
            RETRY_AFTER_MS,
        )
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        f"no server of {service!r} is in service now",
        execution,
        RETRY_AFTER_MS,
    )


def _refusal_reason(response: _http.Response) -> str | None:
    """Return why a server did not begin a call; None when it answered."""
    if response.status != 503 or len(response.body) > _MAX_REFUSAL_BYTES:
        return None
    try:
        message = json.loads(response.body)
    except ValueError:
        return None
    if isinstance(message, dict) and message.keys() == {"refused"}:
        return str(message["refused"])
    return None


def _headers(request: pb.CallRequest) -> _http.Headers:
    return [
        (header.name.encode(), header.value.encode())
        for header in request.headers
    ]
