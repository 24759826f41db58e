"""An instance's metrics, on aioprometheus; the names say the units."""

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
            " adapter; an order that is sent again counts again",
        )
        self.control_faults = self._counter(
            "geraniumlink_control_faults_total",
            "Invalid ledgers and reports by kind",
        )
        self.clients_refused = self._counter(
            "geraniumlink_clients_refused_total",
            "Connections closed and requests refused at a limit, by cause",
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
            "Calls to the object API; each watch counts as one",
        )
        self.api_reachable = self._gauge(
            "geraniumlink_object_api_reachable",
            "1 if the last call to the object API got a valid response",
        )

        self.api_received = self._gauge(
            "geraniumlink_object_api_received_bytes_total",
            "Bytes of response bodies received from the object API",
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
            "1 if neither the object API nor a peer can be reached",
        )
        self.configuration_findings = self._gauge(
            "geraniumlink_configuration_findings",
            "Errors in accepted deployments; the log has each",
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)
