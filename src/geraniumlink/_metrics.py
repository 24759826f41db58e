"""Metrics by aioprometheus; the names carry the units."""

from __future__ import annotations

import aioprometheus


class Metrics:
    """The counters and gauges of one instance."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            "geraniumlink_requests_total",
            "Requests by method and outcome (ok, or the error code)",
        )
        self.tokens = self._counter(
            "geraniumlink_tokens_total", "Tokens relayed to callers by model"
        )
        self.attempts = self._counter(
            "geraniumlink_attempts_total",
            "Attempts on backend servers by deployment and outcome",
        )
        self.suspicions = self._counter(
            "geraniumlink_crash_suspicions_total",
            "Requests in flight on a backend server when it crashed",
        )
        self.moves = self._counter(
            "geraniumlink_moves_total",
            "Intents to load or unload by deployment, action and model or"
            " adapter; repeated orders count again",
        )
        self.control_faults = self._counter(
            "geraniumlink_control_faults_total",
            "Ledgers and reports that made no sense, by kind",
        )
        self.in_flight = self._gauge(
            "geraniumlink_requests_in_flight", "Requests being served"
        )
        self.revision = self._gauge(
            "geraniumlink_configuration_revision",
            "Revision of the configuration in force",
        )
        self.api_calls = self._gauge(
            "geraniumlink_object_api_calls_total",
            "Calls to the object API; a waiting watch is one",
        )
        self.api_reachable = self._gauge(
            "geraniumlink_object_api_reachable",
            "1 when the last call to the object API was answered",
        )

        self.api_received = self._gauge(
            "geraniumlink_object_api_received_bytes_total",
            "Bytes of the object API's answers",
        )
        self.peer_sent = self._gauge(
            "geraniumlink_peer_sent_bytes_total",
            "Bytes of membership and configuration sent to peers",
        )
        self.peer_received = self._gauge(
            "geraniumlink_peer_received_bytes_total",
            "Bytes of membership received from peers",
        )
        self.isolated = self._gauge(
            "geraniumlink_isolated",
            "1 when neither the object API nor a peer is heard",
        )
        self.configuration_findings = self._gauge(
            "geraniumlink_configuration_findings",
            "Faults of accepted deployments, see the log",
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)
