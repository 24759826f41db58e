"""Defines the gauges of one instance on the users' platform."""

from __future__ import annotations

import typing

from geraniumlink import _log_buffer
from geraniumlink.hosting import _application
from geraniumlink.hosting import _host_metrics
from geraniumlink.hosting import _http_protocol
from geraniumlink.hosting import _load_monitor
from geraniumlink.hosting import _object_watcher
from geraniumlink import platform
from geraniumlink.residency import _leadership
from geraniumlink.serving import _account_check
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _forward
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets


class GaugeSources(typing.NamedTuple):
    """The objects from which the gauges read their values."""

    application: _application.Application
    forwarder: _forward.Forwarder
    store: platform.StoreClient
    watchers: list[_object_watcher.ObjectWatcher]
    account_check: _account_check.AccountCheck
    active_configuration: _active_configuration.ActiveConfiguration
    replicas: _replicas.Replicas
    reachability: _reachability.Reachability
    leadership: _leadership.Leadership
    budgets: _retry_budgets.RetryBudgets
    log_buffer: _log_buffer.LogBuffer
    load_monitor: _load_monitor.LoadMonitor
    connection_tables: _http_protocol.Tables


def add_gauges(
    metrics: _host_metrics.HostMetrics, sources: GaugeSources
) -> None:
    """Register the gauges; they are read at each request for metrics."""
    add_gauge = metrics.add_gauge
    add_gauge(
        "geraniumlink_requests_in_flight",
        "Requests that have no final answer yet",
        lambda: sources.application.in_flight,
    )
    add_gauge(
        "geraniumlink_requests_waiting",
        "Requests that wait for a model or an adapter to be loaded",
        lambda: sources.forwarder.waiting_count,
    )
    add_gauge(
        "geraniumlink_store_calls_total",
        "Calls to the platform's store; a waiting watch is one",
        lambda: sources.store.calls,
    )
    add_gauge(
        "geraniumlink_store_reachable",
        "1 when the last call of each kind to the store was answered",
        lambda: all(watcher.reachable for watcher in sources.watchers),
    )
    add_gauge(
        "geraniumlink_store_history_changes_total",
        "Times that the store went on from other contents than before",
        lambda: sources.store.history.changes,
    )
    add_gauge(
        "geraniumlink_store_objects_unreadable_total",
        "Objects in the store that this instance couldn't read, each revision",
        lambda: sources.store.unreadable_objects,
    )
    add_gauge(
        "geraniumlink_store_objects_held_bytes",
        "Memory that the kept entries of replicas are counted with",
        lambda: sum(watcher.held_bytes for watcher in sources.watchers),
    )
    add_gauge(
        "geraniumlink_store_objects_left_out",
        "Objects in the store that aren't used, for want of room",
        lambda: sum(watcher.left_out for watcher in sources.watchers),
    )
    add_gauge(
        "geraniumlink_store_knowledge_age_seconds",
        "Since what the store holds was last confirmed, the older kind",
        lambda: (
            max(watcher.unconfirmed_ms for watcher in sources.watchers) / 1000
        ),
    )
    add_gauge(
        "geraniumlink_configuration_version",
        "Version of the configuration in force; 0 before the first",
        lambda: sources.active_configuration.version,
    )
    add_gauge(
        "geraniumlink_configuration_confirmed_age_seconds",
        "Since the configuration was the store's for certain; -1 if never",
        lambda: _seconds(sources.watchers[0].confirmed_age_ms),
    )
    add_gauge(
        "geraniumlink_configuration_stale",
        "1 while requests with a key are refused until a confirmation",
        lambda: sources.account_check.is_stale,
    )
    add_gauge(
        "geraniumlink_replicas_confirmed_age_seconds",
        "Since the list of replicas was the store's for certain; -1 if never",
        lambda: _seconds(sources.replicas.list_age_ms),
    )
    add_gauge(
        "geraniumlink_replicas",
        "Replicas that are known and not leaving",
        lambda: sum(not replica.leaving for replica in sources.replicas.all()),
    )
    add_gauge(
        "geraniumlink_replicas_unreachable",
        "Replicas to which no connection could be opened lately",
        lambda: len(sources.replicas.unreachable_names()),
    )
    add_gauge(
        "geraniumlink_path_lost",
        "1 while no replica can be reached from here",
        lambda: sources.reachability.is_lost,
    )
    add_gauge(
        "geraniumlink_controller",
        "1 where the controller's lease is held",
        lambda: sources.leadership.is_leader,
    )
    add_gauge(
        "geraniumlink_controller_epoch",
        "Epoch of the controller's lease where it is held, else 0",
        lambda: sources.leadership.epoch,
    )
    add_gauge(
        "geraniumlink_known_revision",
        "Lowest revision of the store up to which all changes are known",
        lambda: min(watcher.revision for watcher in sources.watchers),
    )
    add_gauge(
        "geraniumlink_models_resident",
        "Copies of models on known replicas",
        lambda: sum(
            len(replica.entry.residents) for replica in sources.replicas.all()
        ),
    )
    add_gauge(
        "geraniumlink_repeats_in_window",
        "Repeats that count against the budgets now",
        sources.budgets.retries_in_window,
    )
    add_gauge(
        "geraniumlink_log_lines_left_out_total",
        "Log lines left out in storms, or because nobody read them",
        lambda: sources.log_buffer.dropped_count,
    )
    add_gauge(
        "geraniumlink_event_loop_late_seconds",
        "Greatest lateness of the event loop in the last second",
        lambda: sources.load_monitor.late_ms / 1000,
    )
    add_gauge(
        "geraniumlink_message_received_bytes_total",
        "Bytes of messages received from other instances",
        lambda: sources.load_monitor.total_received_bytes,
    )
    add_gauge(
        "geraniumlink_message_sent_bytes_total",
        "Bytes of answers sent to other instances",
        lambda: sources.load_monitor.total_sent_bytes,
    )
    add_gauge(
        "geraniumlink_client_connections",
        "Open connections to the listener for clients",
        lambda: sources.connection_tables.clients.connections,
    )
    add_gauge(
        "geraniumlink_client_held_bytes",
        "Received bytes of requests that connections hold, with overhead",
        lambda: sources.connection_tables.clients.received_bytes,
    )
    add_gauge(
        "geraniumlink_internal_connections",
        "Open connections to the other listeners",
        lambda: sources.connection_tables.internal.connections,
    )
    add_gauge(
        "geraniumlink_internal_held_bytes",
        "As geraniumlink_client_held_bytes, of the other listeners",
        lambda: sources.connection_tables.internal.received_bytes,
    )


def _seconds(milliseconds: int | None) -> float:
    return -1 if milliseconds is None else milliseconds / 1000
