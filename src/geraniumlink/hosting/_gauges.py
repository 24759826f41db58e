"""The gauges of one instance on the users' platform."""

from __future__ import annotations

import typing

from geraniumlink import _log_buffer
from geraniumlink.hosting import _application
from geraniumlink.hosting import _host_metrics
from geraniumlink.hosting import _object_watcher
from geraniumlink import platform
from geraniumlink.residency import _leadership
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _forward
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets


class Parts(typing.NamedTuple):
    """What the gauges are read from."""

    application: _application.Application
    forwarder: _forward.Forwarder
    store: platform.StoreClient
    watchers: list[_object_watcher.ObjectWatcher]
    active_configuration: _active_configuration.ActiveConfiguration
    replicas: _replicas.Replicas
    leadership: _leadership.Leadership
    budgets: _retry_budgets.RetryBudgets
    log_lines: _log_buffer.LogBuffer


def add(metrics: _host_metrics.HostMetrics, parts: Parts) -> None:
    """Have the gauges read whenever metrics are asked for."""
    watch = metrics.watch
    watch(
        "geraniumlink_requests_in_flight",
        "Requests that have no final answer yet",
        lambda: parts.application.in_flight,
    )
    watch(
        "geraniumlink_requests_waiting",
        "Requests that wait for a model or an adapter to be loaded",
        lambda: parts.forwarder.waiting_count,
    )
    watch(
        "geraniumlink_store_calls_total",
        "Calls to the platform's store; a waiting watch is one",
        lambda: parts.store.calls,
    )
    watch(
        "geraniumlink_store_reachable",
        "1 when the last call of each kind to the store was answered",
        lambda: all(f.reachable for f in parts.watchers),
    )
    watch(
        "geraniumlink_store_knowledge_age_seconds",
        "Since what the store holds was last confirmed, the older kind",
        lambda: max(f.age_ms for f in parts.watchers) / 1000,
    )
    watch(
        "geraniumlink_configuration_version",
        "Version of the configuration in force; 0 before the first",
        lambda: _version(parts.active_configuration),
    )
    watch(
        "geraniumlink_replicas",
        "Replicas that are known and not leaving",
        lambda: sum(not r.leaving for r in parts.replicas.all()),
    )
    watch(
        "geraniumlink_replicas_unreachable",
        "Replicas to which no connection could be opened lately",
        lambda: len(parts.replicas.unreachable_names()),
    )
    watch(
        "geraniumlink_controller",
        "1 where the controller's lease is held",
        lambda: parts.leadership.is_leader,
    )
    watch(
        "geraniumlink_models_resident",
        "Copies of models on known replicas",
        lambda: sum(len(r.entry.residents) for r in parts.replicas.all()),
    )
    watch(
        "geraniumlink_repeats_in_window",
        "Repeats that count against the budgets now",
        parts.budgets.retries_in_window,
    )
    watch(
        "geraniumlink_log_lines_left_out_total",
        "Log lines left out in storms, or because nobody read them",
        lambda: parts.log_lines.left_out,
    )


def _version(
    active_configuration: _active_configuration.ActiveConfiguration,
) -> int:
    current = active_configuration.current
    return current.version if current else 0
