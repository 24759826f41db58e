"""Logs each decision on a request, with the values that it depends on.

Each function writes the log message of the same name; ``finished()`` writes
"request".
"""

from __future__ import annotations

from geraniumlink import _logs
from geraniumlink.serving import _accounts
from geraniumlink.serving import _balance
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _permits
from geraniumlink.serving import _quotas
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_state
from geraniumlink.serving import _stream_origins
from geraniumlink.serving import _types

# Length to which the id of a request without a known key is cut: anyone may
# send such requests, with an id as long as a head may be.
MAX_LOGGED_ID = 128


def denied(
    request: _types.Request,
    decision: _accounts.Denied | _accounts.Undecided,
    version: int,
) -> None:
    """Log why a request may not run under any account."""
    _logs.event(
        "denied",
        request_id=request.id[:MAX_LOGGED_ID].decode("latin-1"),
        route=decision.route,
        reason=decision.reason,
        configuration_version=version,
        confirmed_age_ms=decision.age_ms,
    )


def admitted(
    state: _request_state.RequestState,
    decided: _accounts.Admitted,
    now: int,
) -> None:
    """Log the route and the configuration version of a new request."""
    _logs.event(
        "admitted",
        request_id=state.log_id,
        route=state.route.name,
        account=state.request.account,
        configuration_version=decided.version,
        confirmed_age_ms=decided.age_ms,
        service=state.service,
        model=state.request.model,
        adapter=state.request.adapter,
        priority=state.route.priority,
        prompt_tokens=state.request.prompt_tokens,
        output_tokens=state.request.output_tokens,
        left_ms=state.deadline - now,
        last_event_id=state.last_event_id.decode("latin-1"),
        resumes=state.request.resumes.decode("latin-1"),
        relayed_attempts=state.request.relayed_attempts,
    )


def waiting(
    state: _request_state.RequestState, available: int, wait_ms: int
) -> None:
    """Log that a request waits for its model or adapter to be loaded.

    :param available: how many replicas of the service may get requests.
    """
    _logs.event(
        "waiting",
        request_id=state.log_id,
        model=state.request.model,
        adapter=state.request.adapter,
        replicas=available,
        wait_ms=wait_ms,
    )


def waited(
    state: _request_state.RequestState, reason: str, took_ms: int
) -> None:
    """Log the end of a wait.

    :param reason: why the request is refused; "" if a replica can serve it.
    """
    _logs.event(
        "waited", request_id=state.log_id, reason=reason, took_ms=took_ms
    )


def permit(
    state: _request_state.RequestState,
    replica: _replicas.Replica,
    answer: _permits.Answer,
    took_ms: int,
) -> None:
    """Log whether a request may be sent to a replica with a limit, or when."""
    match answer:
        case _permits.Granted(delay_ms):
            is_granted, wait_ms = True, delay_ms
        case _permits.Denied(retry_ms):
            is_granted, wait_ms = False, retry_ms
    _logs.event(
        "permit",
        request_id=state.log_id,
        replica=replica.entry.name,
        granted=is_granted,
        limit_per_s=replica.rate_limit.per_s,
        wait_ms=wait_ms,
        took_ms=took_ms,
    )


def quota_charged(
    state: _request_state.RequestState, decision: _quotas.Decision
) -> None:
    """Log a refused charge, or one that the issuer didn't decide on."""
    answer = decision.answer
    wait_ms = 0
    if isinstance(answer, _quotas.OverQuota):
        wait_ms = answer.wait_ms
    _logs.event(
        "quota_charged",
        request_id=state.log_id,
        account=decision.account,
        cost=decision.cost,
        granted=decision.is_charged,
        source=decision.source.value,
        issuer=decision.issuer,
        quota_per_s=decision.limit.rate_per_s,
        burst=decision.limit.burst,
        level=round(answer.level, 3),
        account_per_s=round(answer.total_per_s, 3),
        share=decision.share,
        reported_age_ms=decision.reported_age_ms,
        wait_ms=wait_ms,
        took_ms=decision.took_ms,
    )


def attempt(
    state: _request_state.RequestState,
    choice: _balance.Choice,
    now: int,
    list_age_ms: int | None,
) -> None:
    """Log the replica chosen and the estimates for it.

    :param list_age_ms: since when the list of replicas was surely complete.
    """
    replica = choice.replica
    load = replica.load
    peer_load = replica.recent_peer_load(now)
    _logs.event(
        "attempt",
        request_id=state.log_id,
        replica=replica.entry.name,
        software_version=replica.entry.software_version,
        attempt=state.attempts + 1,
        expected_ms=round(choice.expected_ms),
        in_flight=replica.in_flight,
        in_flight_elsewhere=peer_load.in_flight if peer_load else None,
        load=list(load[:3]) if load else None,
        load_age_ms=now - replica.load_at if load else None,
        service_time_percent=load.service_time_percent if load else None,
        **_stated_load(replica, now),
        failures=round(replica.failure_rate(now), 2),
        limit_per_s=replica.rate_limit.per_s,
        left_ms=state.deadline - now,
        last_event_id=state.last_event_id.decode("latin-1"),
        list_age_ms=list_age_ms,
    )


def _stated_load(
    replica: _replicas.Replica, now: int
) -> dict[str, int | None]:
    """Return what follows from the service time that a replica states.

    All values are None if it doesn't state it.
    """
    is_stated = replica.service_time.is_stated
    peer_load = replica.recent_peer_load(now) if is_stated else None
    call_ms = replica.call_times.call_ms(now)
    return {
        "smoothed_percent": (
            round(100 * replica.service_time.factor(now))
            if is_stated
            else None
        ),
        "call_ms": None if call_ms is None else round(call_ms),
        "kv_tokens": replica.memory.tokens if is_stated else None,
        "kv_tokens_elsewhere": peer_load.kv_tokens if peer_load else None,
        "elsewhere_age_ms": now - peer_load.reported_at if peer_load else None,
    }


def passed_on(state: _request_state.RequestState, peer: str, now: int) -> None:
    """Log the instance to which a request is passed on."""
    _logs.event(
        "passed_on",
        request_id=state.log_id,
        peer=peer,
        attempt=state.attempts + 1,
        left_ms=state.deadline - now,
        last_event_id=state.last_event_id.decode("latin-1"),
    )


def attempt_failed(
    state: _request_state.RequestState,
    outcome: _outcomes.Outcome,
    why_final: str,
) -> None:
    """Log why an attempt failed and whether the request is retried.

    :param why_final: why it isn't retried; "" if it is.
    """
    _logs.event(
        "attempt_failed",
        request_id=state.log_id,
        replica=state.last_replica,
        attempt=state.attempts,
        outcome=type(outcome).__name__,
        reason=_outcomes.reason_of(outcome),
        rejections=state.rejections,
        why_final=why_final,
    )


def stream_ended(
    state: _request_state.RequestState, framing: str, partial_bytes: int
) -> None:
    """Log that a replica ended a stream in a way that may hide a break.

    :param framing: what marks the end, as ``ResponseHead.framing`` says.
    :param partial_bytes: length of the last event, which was not whole.
    """
    _logs.event(
        "stream_ended",
        request_id=state.log_id,
        replica=state.last_replica,
        framing=framing,
        last_event_id=state.last_event_id.decode("latin-1"),
        partial_bytes=partial_bytes,
    )


def stream_resumed(
    state: _request_state.RequestState,
    origin: _stream_origins.Origin | None,
    source: str,
    took_ms: int,
) -> None:
    """Log which software version may continue a client's stream.

    :param origin: None if it isn't known.
    :param source: how it is known, or why not.
    """
    _logs.event(
        "stream_resumed",
        request_id=state.log_id,
        resumes=state.request.resumes.decode("latin-1"),
        service=origin.service if origin else state.service,
        software_version=origin.software_version if origin else None,
        source=source,
        took_ms=took_ms,
    )


def unfinished(
    state: _request_state.RequestState, cause: _outcomes.Cause
) -> None:
    """Log that a request ends without a complete response."""
    _logs.event(
        "unfinished",
        request_id=state.log_id,
        replica=state.last_replica,
        attempts=state.attempts,
        status=state.response.status,
        last_event_id=state.last_event_id.decode("latin-1"),
        reason=cause.value,
    )


def finished(state: _request_state.RequestState, now: int) -> None:
    """Log the end of a request."""
    _logs.event(
        "request",
        request_id=state.log_id,
        route=state.route.name,
        account=state.request.account,
        service=state.service,
        model=state.request.model,
        adapter=state.request.adapter,
        replica=state.last_replica,
        attempts=state.attempts,
        status=state.response.status,
        outcome=state.outcome,
        took_ms=now - state.request.received_at,
    )
