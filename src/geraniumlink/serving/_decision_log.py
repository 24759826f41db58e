"""Log lines for each decision on a request, with what decided it."""

from __future__ import annotations

from geraniumlink import _logs
from geraniumlink.serving import _balance
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _task


def admitted(task: _task.Task, version: int, now: int) -> None:
    """Tell by which route, and which configuration, a request goes."""
    _logs.event(
        "admitted",
        request_id=task.log_id,
        route=task.route.name,
        configuration_version=version,
        service=task.service,
        model=task.request.model,
        adapter=task.request.adapter,
        priority=task.route.priority,
        prompt_tokens=task.request.prompt_tokens,
        output_tokens=task.request.output_tokens,
        left_ms=task.until - now,
        last_event_id=task.last_event_id.decode("latin-1"),
    )


def waiting(task: _task.Task, serving: int, wait_ms: int) -> None:
    """Tell that no replica known here holds what a request needs."""
    _logs.event(
        "waiting",
        request_id=task.log_id,
        model=task.request.model,
        adapter=task.request.adapter,
        replicas=serving,
        wait_ms=wait_ms,
    )


def waited(task: _task.Task, reason: str, took_ms: int) -> None:
    """Tell how a wait ended; ``reason`` is empty when it is held now."""
    _logs.event(
        "waited", request_id=task.log_id, reason=reason, took_ms=took_ms
    )


def attempt(task: _task.Task, choice: _balance.Choice, now: int) -> None:
    """Tell which replica was chosen, and by what."""
    replica = choice.replica
    peer_load = replica.recent_peer_load(now)
    _logs.event(
        "attempt",
        request_id=task.log_id,
        replica=replica.entry.name,
        attempt=task.attempts + 1,
        expected_ms=round(choice.expected_ms),
        in_flight=replica.in_flight,
        in_flight_elsewhere=peer_load.in_flight if peer_load else None,
        load=list(replica.load) if replica.load else None,
        load_age_ms=now - replica.load_at if replica.load else None,
        failures=round(replica.failures(now), 2),
        left_ms=task.until - now,
        last_event_id=task.last_event_id.decode("latin-1"),
    )


def attempt_failed(
    task: _task.Task, outcome: _outcomes.Outcome, why_final: str
) -> None:
    """Tell why a replica did not serve a request, and what follows.

    :param why_final: why it isn't sent again; "" when it is.
    """
    _logs.event(
        "attempt_failed",
        request_id=task.log_id,
        replica=task.last_replica,
        attempt=task.attempts,
        outcome=type(outcome).__name__,
        reason=_outcomes.reason_of(outcome),
        why_final=why_final,
    )


def finished(task: _task.Task, now: int) -> None:
    """Tell how a request ended."""
    _logs.event(
        "request",
        request_id=task.log_id,
        route=task.route.name,
        service=task.service,
        model=task.request.model,
        adapter=task.request.adapter,
        replica=task.last_replica,
        attempts=task.attempts,
        status=task.response.status,
        outcome=task.outcome,
        took_ms=now - task.request.received_at,
    )
