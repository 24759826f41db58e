"""Metrics of requests and attempts, by service, route and outcome."""

from __future__ import annotations

import aioprometheus

from geraniumlink.serving import _accounts
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _request_state

# Upper bounds of the histograms' buckets, in seconds. The users' latency
# targets lie between 0.125 and 4, their deadlines between 1 and 15.
_BUCKETS_S = (0.025, 0.05, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
# Limits the number of time series: operators add routes by the hundred, and
# routes beyond this number share one label.
MAX_ROUTE_LABELS = 64
# The same for accounts, of which there may be 10,000.
MAX_ACCOUNT_LABELS = 64
_OTHERS = "other"
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


class _Labels:
    """The first values of a label, up to a number; others share one."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._known: set[str] = set()

    def get(self, value: str) -> str:
        """Return the label's value for a name."""
        if len(self._known) < self._max_count:
            self._known.add(value)
        return value if value in self._known else _OTHERS


class RequestMetrics:
    """Counters and histograms of the requests of one instance."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._route_labels = _Labels(MAX_ROUTE_LABELS)
        self._account_labels = _Labels(MAX_ACCOUNT_LABELS)
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
        self._account_requests = aioprometheus.Counter(
            "geraniumlink_account_requests_total",
            "Requests with a final answer, by account and outcome",
            registry=registry,
        )
        self._denied = aioprometheus.Counter(
            "geraniumlink_denied_requests_total",
            "Requests that may not run under any account, by status",
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
        if state.request.account:
            account = self._account_labels.get(state.request.account)
            self._account_requests.inc(
                {"account": account, "outcome": labels["outcome"]}
            )
        self._seconds.observe(labels, took_s)
        if state.first_event_at is not None:
            first_s = (state.first_event_at - state.request.received_at) / 1000
            self._first_event_seconds.observe(labels, first_s)

    def _labels(self, state: _request_state.RequestState) -> dict[str, str]:
        """Return the labels by which a request is counted."""
        route = self._route_labels.get(state.route.name)
        return {"service": state.service, "route": route}

    def record_denied(
        self, decision: _accounts.Denied | _accounts.Undecided
    ) -> None:
        """Count a request that may not run under any account."""
        is_denied = isinstance(decision, _accounts.Denied)
        self._denied.inc({"status": "401" if is_denied else "503"})

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
