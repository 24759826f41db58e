"""Metrics of requests, by service, route and outcome."""

from __future__ import annotations

import aioprometheus

from geraniumlink.serving import _task

# Upper bounds in seconds: the users' targets lie between 0.125 and 4, their
# deadlines between 1 and 15.
_SECONDS = (0.025, 0.05, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
# Operators add routes by the hundred; more than this share one label.
MAX_ROUTES = 64
_OTHER_ROUTES = "other"
_OUTCOMES = ("done", "refused", "failed", "timed out", "client left")


class RequestMetrics:
    """Counters and histograms of the requests of one instance."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._routes: set[str] = set()
        self._requests = aioprometheus.Counter(
            "geraniumlink_requests_total",
            "Requests with a final answer, by service, route and outcome",
            registry=registry,
        )
        self._seconds = aioprometheus.Histogram(
            "geraniumlink_request_seconds",
            "Time from a request to the end of its answer",
            registry=registry,
            buckets=_SECONDS,
        )
        self._first_event_seconds = aioprometheus.Histogram(
            "geraniumlink_first_event_seconds",
            "Time from a request to the first event of its answer",
            registry=registry,
            buckets=_SECONDS,
        )
        self._attempts = aioprometheus.Counter(
            "geraniumlink_attempts_total",
            "Requests sent to replicas, by service and outcome",
            registry=registry,
        )

    def finished(self, task: _task.Task, now: int) -> None:
        """Count a request that has its final answer."""
        labels = {**self._labels(task), "outcome": _outcome(task)}
        took_s = (now - task.request.received_at) / 1000
        self._requests.inc(labels)
        self._seconds.observe(labels, took_s)
        if task.first_event_at is not None:
            first_s = (task.first_event_at - task.request.received_at) / 1000
            self._first_event_seconds.observe(labels, first_s)

    def _labels(self, task: _task.Task) -> dict[str, str]:
        route = task.route.name
        if len(self._routes) < MAX_ROUTES:
            self._routes.add(route)
        elif route not in self._routes:
            route = _OTHER_ROUTES
        return {"service": task.service, "route": route}

    def attempted(self, service: str, outcome: str) -> None:
        """Count what came of sending a request to a replica."""
        self._attempts.inc({"service": service, "outcome": outcome})


def _outcome(task: _task.Task) -> str:
    for outcome in _OUTCOMES:
        if task.outcome.startswith(outcome):
            return outcome
    return "failed"
