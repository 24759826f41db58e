"""Metrics of requests and attempts, by service, route and outcome."""

from __future__ import annotations

import aioprometheus

from geraniumlink.serving import _outcomes
from geraniumlink.serving import _request_state

# Upper bounds of the histograms' buckets, in seconds. The users' latency
# targets lie between 0.125 and 4, their deadlines between 1 and 15.
_BUCKETS_S = (0.025, 0.05, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
# Limits the number of time series: operators add routes by the hundred, and
# routes beyond this number share one label.
MAX_ROUTE_LABELS = 64
_OTHER_ROUTES = "other"
# Values of the outcome label; a request's outcome begins with one of them, or
# counts as failed.
_OUTCOMES = (
    "done",
    "refused",
    "failed",
    "timed out",
    "client left",
    "cut off",
    "error",
    "shut down",
)


class RequestMetrics:
    """Counters and histograms of the requests of one instance."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._route_labels: set[str] = set()
        self._requests = aioprometheus.Counter(
            "geraniumlink_requests_total",
            "Requests with a final answer, by service, route and outcome",
            registry=registry,
        )
        self._seconds = aioprometheus.Histogram(
            "geraniumlink_request_seconds",
            "Time from a request to the end of its answer",
            registry=registry,
            buckets=_BUCKETS_S,
        )
        self._first_event_seconds = aioprometheus.Histogram(
            "geraniumlink_first_event_seconds",
            "Time from a request to the first event of its answer",
            registry=registry,
            buckets=_BUCKETS_S,
        )
        self._attempts = aioprometheus.Counter(
            "geraniumlink_attempts_total",
            "Requests sent to replicas, by service and outcome",
            registry=registry,
        )
        self._unfinished = aioprometheus.Counter(
            "geraniumlink_unfinished_requests_total",
            "Requests that ended without a complete answer, by cause",
            registry=registry,
        )

    def record_request(
        self, state: _request_state.RequestState, now: int
    ) -> None:
        """Count a request that has ended, with its durations."""
        labels = {**self._labels(state), "outcome": _outcome(state)}
        took_s = (now - state.request.received_at) / 1000
        self._requests.inc(labels)
        self._seconds.observe(labels, took_s)
        if state.first_event_at is not None:
            first_s = (state.first_event_at - state.request.received_at) / 1000
            self._first_event_seconds.observe(labels, first_s)

    def _labels(self, state: _request_state.RequestState) -> dict[str, str]:
        """Return the labels by which a request is counted."""
        route = state.route.name
        if len(self._route_labels) < MAX_ROUTE_LABELS:
            self._route_labels.add(route)
        elif route not in self._route_labels:
            route = _OTHER_ROUTES
        return {"service": state.service, "route": route}

    def record_unfinished(self, service: str, cause: _outcomes.Cause) -> None:
        """Count a request that ended without a complete response."""
        labels = {"service": service, "cause": cause.name.lower()}
        self._unfinished.inc(labels)

    def record_attempt(self, service: str, outcome: str) -> None:
        """Count the outcome of one attempt at a replica."""
        self._attempts.inc({"service": service, "outcome": outcome})


def _outcome(state: _request_state.RequestState) -> str:
    for outcome in _OUTCOMES:
        if state.outcome.startswith(outcome):
            return outcome
    return "failed"
