"""One instance on the users' platform: its parts and their supervisor.

::

    serve
    +- listener          serves clients, readiness checks, other instances
    +- configuration     watches the operator's configuration in the store
    +- replicas          watches the registered replicas in the store
    +- leadership        acquires and renews the controller's lease
    +- controller        places models while the lease is held
    +- reports           sends this instance's demand to the controller
    +- connections       closes stale idle connections
    +- reachability      notices when no replica can be reached
    +- log lines         writes buffered log lines to standard output
    +- load monitor      logs how late the event loop is, and messages
    +- version history   records the replicas' software versions
    +- stream origins    writes origins to the store as the controller
    +- datagrams         exchanges stream origins, permits and charges
    +- quotas            checks which instances an issuer reaches
    +- signals           SIGTERM starts draining, SIGHUP reloads settings
"""

from __future__ import annotations

import pathlib
import random
import signal
import sys
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _connection_limits
from geraniumlink import _http
from geraniumlink import _log_buffer
from geraniumlink import _logs
from geraniumlink import _object_filter
from geraniumlink import _objects
from geraniumlink import _server
from geraniumlink import _settings
from geraniumlink import _supervisor
from geraniumlink.control import _epochs
from geraniumlink.control import _leases
from geraniumlink.hosting import _application
from geraniumlink.hosting import _change_delays
from geraniumlink.hosting import _datagrams
from geraniumlink.hosting import _gauges
from geraniumlink.hosting import _host_metrics
from geraniumlink.hosting import _http_protocol
from geraniumlink.hosting import _load_monitor
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _origin_exchange
from geraniumlink.hosting import _permit_exchange
from geraniumlink.hosting import _quota_exchange
from geraniumlink.hosting import _relay
from geraniumlink.hosting import _version_survey
from geraniumlink import platform
from geraniumlink.platform import _configuration
from geraniumlink.platform import _replicas as _replica_entries
from geraniumlink.residency import _call_limits
from geraniumlink.residency import _controller
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _controller_protocol
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _issuer_table
from geraniumlink.residency import _leadership
from geraniumlink.residency import _limit_exchange
from geraniumlink.residency import _message_client
from geraniumlink.residency import _origin_archive
from geraniumlink.residency import _version_history
from geraniumlink.serving import _account_check
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _connections
from geraniumlink.serving import _forward
from geraniumlink.serving import _peer_relay
from geraniumlink.serving import _peers
from geraniumlink.serving import _quota_gate
from geraniumlink.serving import _quotas
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _stream_origins
from geraniumlink.serving import _types
from geraniumlink.serving import _warm_up
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions
from geraniumlink.suspicion import _table_sync

# How long after SIGTERM new connections are accepted. The load balancer
# checks readiness once a second and stops sending connections after two
# failed checks. Idle connections stay open for ``_server.LINGER_MS`` more, so
# requests are accepted for less than 3 s in all: one that is accepted later
# may not finish within the grace period.
ACCEPT_AFTER_SIGTERM_MS = 2300
# The process exits this long before the grace period ends, when the platform
# sends SIGKILL.
EXIT_MARGIN_MS = 400
# Requests without an answer get a final one this long before that, and streams
# are cut off.
ANSWER_MARGIN_MS = 200
# A lease that has not been renewed for this long plus handover_gap_ms, the
# platform's minimum time between two holders' orders, may be taken. The
# holder has sent its last order by then.
MIN_LEASE_EXPIRY_MS = (
    _leadership.ORDERING_WINDOW_MS + _leadership.GUARD_MARGIN_MS
)
# The wait of an instance before it takes the controller's lease, for a link
# of 1 Mbit/s; it is in proportion to the time that a link needs for a message.
TAKE_DELAY_MS_MBIT = 10_000
MAX_TAKE_DELAY_MS = 1200
# An instance without a path to any replica leaves the controller's lease to
# others after this long: by then they have reported whether they have one.
YIELD_LEASE_AFTER_MS = 1500
# Number of invalid entries of replicas that are remembered, so that each is
# logged once, and how many characters of their names are logged.
MAX_LOGGED_ENTRIES = 512
MAX_LOGGED_NAME = 80
# Room for the body of a relayed request: the usual max_body_bytes of a
# configuration, which isn't known when the limits are derived.
RELAYED_BODY_BYTES = 4 * 2**20
# Interval at which idle connections to replicas are checked.
CLOSE_STALE_INTERVAL_MS = 1000
# Entries that expired in an outage of the store return within about this time
# after it.
ENTRIES_RETURN_MS = 2000

# Whether requests to replicas that have just started or recovered are paced.
# False serves for measurements without it; other services than those whose
# replicas state their service time are never affected.
PACES_WARM_UPS = True


async def serve(
    settings_path: pathlib.Path, metrics_port: int | None = None
) -> None:
    """Run one instance until SIGTERM; serve metrics if a port is given.

    :raises platform.FormatError: if the settings are invalid.
    :raises OSError: if the settings can't be read, or an address is in use.
    """
    settings = platform.read_settings(settings_path)
    clock = _clock.Clock()
    log_buffer = _log_buffer.start(
        sys.stdout.fileno(), settings.instance, clock
    )
    try:
        instance = _Instance(
            settings, settings_path, clock, log_buffer, metrics_port
        )
        await instance.run()
    finally:
        log_buffer.close()


class _Instance:
    """Creates the parts of an instance, runs them, and drains on SIGTERM."""

    def __init__(
        self,
        settings: platform.NodeSettings,
        settings_path: pathlib.Path,
        clock: _clock.Clock,
        log_buffer: _log_buffer.LogBuffer,
        metrics_port: int | None,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = clock
        self._log_buffer = log_buffer
        self._metrics_port = metrics_port
        self._metrics = _host_metrics.HostMetrics()
        self._connection_tables = self._make_connection_tables()
        self._load_monitor = _load_monitor.LoadMonitor(clock)
        self._random = random.Random()
        self._draining = False
        self._client = _http.Client()
        self._active_configuration = (
            _active_configuration.ActiveConfiguration()
        )
        # The version at which each invalid entry of a replica was logged.
        self._logged_entries: dict[str, int] = {}
        self._object_filters = self._make_object_filters()
        self._store = platform.StoreClient(
            self._client, settings.store_address, self._object_filters
        )
        self._replica_waits = _change_delays.waits_within(
            settings.leaving_bound_ms, is_busy=True, needs_all_values=False
        )
        self._replicas = _replicas.Replicas(
            self._clock,
            settings.leaving_bound_ms,
            _change_delays.relayed_delay_ms(
                self._replica_waits.batch_delay_ms
            ),
        )
        self._warm_ups = (
            _warm_up.WarmUps(self._replicas, self._clock)
            if PACES_WARM_UPS
            else None
        )
        self._suspicions = _suspicions.SuspicionTable(self._clock)
        self._prompt_parts = _prompt_parts.PromptParts(
            self._clock, self._random
        )
        self._budgets = _retry_budgets.RetryBudgets(
            _retry_budgets.RetryLimit(
                settings.retry_ratio,
                settings.retry_constant,
                settings.retry_window_ms,
            ),
            self._clock,
        )
        self._leadership = self._make_leadership()
        self._watchers = self._make_watchers()
        self._replicas.set_list_age(lambda: self._watchers[1].confirmed_age_ms)
        self._leadership.call_on_store_recovery(self._restart_watches)
        self._directory = _instance_directory.InstanceDirectory(
            str(settings.peer_address), clock
        )
        self._datagrams = _datagrams.Datagrams(str(settings.peer_address))
        self._permits = _permit_exchange.PermitExchange(
            replicas=self._replicas,
            leadership=self._leadership,
            directory=self._directory,
            datagrams=self._datagrams,
            clock=clock,
            random_source=self._random,
        )
        self._issuers, self._quotas = self._make_quotas()
        self._order_client = platform.OrderClient(
            _http.Client(keeps_alive=False),
            self._replicas.note_call_announcement,
        )
        self._controller = _controller.Controller(
            active_configuration=self._active_configuration,
            replicas=self._replicas,
            leadership=self._leadership,
            orders=self._order_client,
            call_limits=_call_limits.PermittedCalls(
                self._replicas, self._permits, clock
            ),
            clock=self._clock,
            instance=settings.instance,
        )
        self._connections = _connections.ConnectionPool(clock)
        self._peer_connections = _connections.ConnectionPool(clock)
        self._reachability = _reachability.Reachability(
            self._replicas,
            self._connections,
            self._order_client,
            clock,
            self._random,
        )
        self._leadership.yield_while(self._must_yield_lease)
        self._controller_protocol = self._make_controller_protocol()
        self._origin_archive = _origin_archive.OriginArchive(
            self._store, self._replicas, self._leadership, clock
        )
        self._origins = _origin_exchange.OriginExchange(
            _stream_origins.OriginTable(clock),
            self._directory,
            self._datagrams,
            self._origin_archive,
        )
        self._version_survey = _version_survey.VersionSurvey(
            replicas=self._replicas,
            directory=self._directory,
            datagrams=self._datagrams,
            refresh=self._watchers[1].refresh,
            clock=clock,
        )
        self._version_history = _version_history.VersionHistory(
            store=self._store,
            replicas=self._replicas,
            leadership=self._leadership,
            clock=clock,
            is_first_start=settings.is_first_start,
            history=self._store.history,
        )
        self._request_metrics = _request_metrics.RequestMetrics(
            self._metrics.registry
        )
        self._account_check = _account_check.AccountCheck(
            active_configuration=self._active_configuration,
            confirmed_age_ms=lambda: self._watchers[0].confirmed_age_ms,
            bound_ms=settings.revocation_bound_ms,
            metrics=self._request_metrics,
            random_source=self._random,
        )
        self._forwarder = self._make_forwarder()
        self._application = self._make_application()
        self._listener = _server.Listener(
            self._application,
            [address for address in self._addresses() if address],
            self._clock,
            http=_http_protocol.make_limited_protocol(
                self._active_configuration,
                lambda: self._draining,
                self._connection_tables,
            ),
        )
        _gauges.add_gauges(
            self._metrics,
            _gauges.GaugeSources(
                application=self._application,
                forwarder=self._forwarder,
                store=self._store,
                watchers=self._watchers,
                account_check=self._account_check,
                active_configuration=self._active_configuration,
                replicas=self._replicas,
                reachability=self._reachability,
                leadership=self._leadership,
                budgets=self._budgets,
                log_buffer=self._log_buffer,
                connection_tables=self._connection_tables,
                load_monitor=self._load_monitor,
            ),
        )

    def _make_object_filters(
        self,
    ) -> dict[str, _object_filter.ObjectFilter]:
        """Return what is kept of the watched objects, by kind."""
        return {
            _configuration.KIND: _object_filter.ObjectFilter(
                lambda item: (
                    item.value if item.name == _configuration.NAME else None
                )
            ),
            _replica_entries.KIND: _object_filter.ObjectFilter(
                self._reduce_replica,
                is_wanted=self._is_of_a_service,
                max_bytes=_object_filter.max_bytes_for(
                    self._settings.memory_mb
                ),
            ),
        }

    def _make_connection_tables(self) -> _http_protocol.Tables:
        settings = self._settings
        limits = _connection_limits.derive_limits(
            settings.max_descriptors, settings.memory_mb
        )
        return _http_protocol.Tables(
            settings.client_address.port,
            settings.peer_address.port,
            *_connection_limits.make_tables(
                _connection_limits.split_limits(
                    limits,
                    _controller_protocol.MAX_MESSAGE_BYTES,
                    RELAYED_BODY_BYTES,
                ),
                self._metrics.count_refusal,
            ),
        )

    def _make_leadership(self) -> _leadership.Leadership:
        gap_ms = self._settings.handover_gap_ms
        leases = _leases.Leases(
            self._store,
            str(self._settings.peer_address),
            MIN_LEASE_EXPIRY_MS + gap_ms,
            self._clock,
            self._random,
            _take_delay_ms(self._settings.link_mbit_per_s),
            _epochs.EpochSource(self._clock, self._random),
            self._clock.boot_id(),
            _leadership.restart_ms(gap_ms),
        )
        self._store.history.call_on_change(leases.forget_observations)
        return _leadership.Leadership(leases, gap_ms, self._clock)

    def _make_quotas(
        self,
    ) -> tuple[_issuer_table.IssuerTable, _quota_exchange.QuotaExchange]:
        settings, active = self._settings, self._active_configuration
        issuers = _issuer_table.IssuerTable(
            leadership=self._leadership,
            own_address=str(settings.peer_address),
            data_centre=settings.data_centre,
            is_needed=lambda: _quota_gate.has_quotas(active),
            clock=self._clock,
        )
        return issuers, _quota_exchange.QuotaExchange(
            table=issuers,
            leadership=self._leadership,
            directory=self._directory,
            datagrams=self._datagrams,
            find_limit=lambda account: _quota_gate.find_limit(active, account),
            bounds=_quotas.Bounds(
                settings.quota_window_ms,
                settings.quota_overshoot,
                settings.quota_slack,
            ),
            clock=self._clock,
            random_source=self._random,
        )

    def _make_controller_protocol(
        self,
    ) -> _controller_protocol.ControllerProtocol:
        return _controller_protocol.ControllerProtocol(
            controller=self._controller,
            leadership=self._leadership,
            replicas=self._replicas,
            reachability=self._reachability,
            budgets=self._budgets,
            permit_issuer=self._permits,
            limits=_limit_exchange.LimitExchange(self._replicas, self._clock),
            request_sync=_table_sync.TableSync(self._suspicions),
            part_sync=_table_sync.TableSync(self._prompt_parts.table),
            relay=_relay.Relay(self._watchers),
            link=_controller_link.ControllerLink(
                _message_client.MessageClient(self._clock)
            ),
            directory=self._directory,
            clock=self._clock,
            instance=self._settings.instance,
            issuers=self._issuers,
            warm_ups=self._warm_ups,
        )

    def _make_forwarder(self) -> _forward.Forwarder:
        return _forward.Forwarder(
            active_configuration=self._active_configuration,
            replicas=self._replicas,
            residency=self._controller_protocol,
            budgets=self._budgets,
            suspicions=self._suspicions,
            prompt_parts=self._prompt_parts,
            origins=self._origins,
            versions=self._version_survey,
            permits=self._permits,
            metrics=self._request_metrics,
            connections=self._connections,
            reachability=self._reachability,
            peer_relay=_peer_relay.PeerRelay(
                _peers.Peers(self._directory, self._clock, self._random),
                self._peer_connections,
                self._origins,
                self._clock,
            ),
            clock=self._clock,
            data_centre=self._settings.data_centre,
            random_source=self._random,
            quota_gate=_quota_gate.QuotaGate(
                quotas=self._quotas,
                active_configuration=self._active_configuration,
                metrics=_quota_gate.QuotaMetrics(self._metrics.registry),
                random_source=self._random,
            ),
            warm_ups=self._warm_ups,
        )

    def _make_application(self) -> _application.Application:
        return _application.Application(
            addresses=self._addresses(),
            active_configuration=self._active_configuration,
            account_check=self._account_check,
            forwarder=self._forwarder,
            controller_protocol=self._controller_protocol,
            clock=self._clock,
            metrics=self._metrics,
            load_monitor=self._load_monitor,
            is_ready=self._is_ready,
        )

    def _addresses(self) -> _application.Addresses:
        return _application.Addresses(
            clients=self._settings.client_address,
            readiness=self._settings.readiness_address,
            instances=self._settings.peer_address,
            metrics=self._metrics_address(),
        )

    def _metrics_address(self) -> _settings.Address | None:
        """Return the address for metrics.

        None if no port was given, or another address uses that port.
        """
        port, settings = self._metrics_port, self._settings
        used = (
            settings.client_address,
            settings.readiness_address,
            settings.peer_address,
        )
        if port is None or port in {address.port for address in used}:
            return None
        return _settings.Address(settings.peer_address.host, port)

    def _is_ready(self) -> bool:
        """Whether the load balancer may send clients to this instance."""
        return (
            not self._draining
            and self._active_configuration.current is not None
            and self._replicas.has_full_list
            and not self._account_check.is_stale
        )

    def _must_yield_lease(self) -> bool:
        """Whether the controller's lease is left to an instance with a path.

        A controller that reaches no replica can't load any model. If no
        instance has a path, the lease stays where it is.
        """
        if self._reachability.lost_ms < YIELD_LEASE_AFTER_MS:
            return False
        return bool(set(self._directory.others) - self._directory.without_path)

    async def run(self) -> None:
        """Run all parts until the instance has drained after SIGTERM."""
        _logs.event("started", data_centre=self._settings.data_centre)
        children = [
            _supervisor.Child(
                "listener", self._listener.run, _supervisor.Restart.NEVER
            ),
            _supervisor.Child("configuration", self._watchers[0].run),
            _supervisor.Child("replicas", self._watchers[1].run),
            _supervisor.Child("leadership", self._leadership.run),
            _supervisor.Child("controller", self._controller.run),
            _supervisor.Child(
                "reports", self._controller_protocol.run_reports
            ),
            _supervisor.Child("connections", self._close_stale),
            _supervisor.Child("reachability", self._reachability.run),
            _supervisor.Child("log lines", self._log_buffer.run),
            _supervisor.Child("load monitor", self._load_monitor.run),
            _supervisor.Child("version history", self._version_history.run),
            _supervisor.Child("stream origins", self._origin_archive.run),
            _supervisor.Child("datagrams", self._datagrams.run),
            _supervisor.Child("quotas", self._quotas.run),
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(_supervisor.supervise, children, self._clock)
            await self._handle_signals()
            group.cancel_scope.cancel()
        _logs.event("stopped")

    async def _handle_signals(self) -> None:
        """Reload on SIGHUP; drain on SIGTERM, then return."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGTERM:
                    await self._drain()
                    return
                self._reload_settings()

    def _reload_settings(self) -> None:
        """Read the settings again; only the retry limit takes effect.

        Invalid or unreadable settings are logged, and the limit stays.
        """
        try:
            settings = platform.read_settings(self._settings_path)
        except (platform.FormatError, OSError) as error:
            _logs.event("settings_kept", error=str(error))
            return
        _logs.event("settings_read", changed=settings != self._settings)
        self._budgets.set_limit(
            _retry_budgets.RetryLimit(
                settings.retry_ratio,
                settings.retry_constant,
                settings.retry_window_ms,
            )
        )

    async def _drain(self) -> None:
        """Fail the readiness check, then finish the requests in flight.

        Gives up the controller's lease first. Requests are accepted until
        the load balancer has stopped sending them.
        """
        started_at = self._clock.now()
        _logs.event("draining", in_flight=self._application.in_flight)
        self._draining = True
        self._application.start_draining()
        self._issuers.start_draining()
        exit_at = started_at + self._settings.grace_ms - EXIT_MARGIN_MS
        self._forwarder.end_by(exit_at - ANSWER_MARGIN_MS)
        with anyio.move_on_after(self._settings.handover_gap_ms / 1000):
            await self._leadership.release()
        accept_left_ms = ACCEPT_AFTER_SIGTERM_MS - (
            self._clock.now() - started_at
        )
        await self._clock.sleep(max(0, accept_left_ms))
        self._listener.stop()
        with anyio.move_on_after((exit_at - self._clock.now()) / 1000):
            await self._listener.stopped()
        _logs.event("drained", in_flight=self._application.in_flight)

    def _configuration_waits(self) -> _change_delays.Waits:
        """Return how the configuration is followed."""
        waits = _change_delays.waits_within(
            self._settings.configuration_bound_ms
        )
        revocation_ms = self._settings.revocation_bound_ms
        if revocation_ms is None:
            return waits
        freshness = _object_watcher.freshness_for(revocation_ms)
        return waits._replace(
            freshness=freshness.combined_with(waits.freshness)
        )

    def _make_watchers(self) -> list[_object_watcher.ObjectWatcher]:
        configuration_waits = self._configuration_waits()
        return [
            _object_watcher.ObjectWatcher(
                self._store,
                _configuration.KIND,
                self._clock,
                on_list=self._apply_configurations,
                on_change=self._apply_configuration,
                batch_delay_ms=configuration_waits.batch_delay_ms,
                freshness=configuration_waits.freshness,
                history=self._store.history,
                object_filter=self._object_filters[_configuration.KIND],
            ),
            _object_watcher.ObjectWatcher(
                self._store,
                _replica_entries.KIND,
                self._clock,
                on_list=self._apply_replicas,
                on_change=self._apply_replica,
                batch_delay_ms=self._replica_waits.batch_delay_ms,
                alone_batch_delay_ms=self._replica_waits.alone_batch_delay_ms,
                relays=lambda: self._leadership.is_leader,
                freshness=self._replica_waits.freshness,
                history=self._store.history,
                object_filter=self._object_filters[_replica_entries.KIND],
            ),
        ]

    def _restart_watches(self) -> None:
        """Start new watches, as the store was out and answers again."""
        for watcher in self._watchers:
            watcher.restart_watch()

    def _apply_configurations(self, objects: list[_objects.Object]) -> None:
        for item in objects:
            self._apply_configuration(item)

    def _apply_configuration(self, item: _objects.Object) -> None:
        """Put a valid configuration into force, unless it is older."""
        if item.name != _configuration.NAME or item.value is None:
            return
        try:
            configuration = platform.decode_configuration(item.value)
        except platform.FormatError as error:
            _logs.event("configuration_unreadable", error=str(error))
            return
        self._active_configuration.apply_if_newer(configuration)

    def _apply_replicas(self, objects: list[_objects.Object]) -> None:
        """Replace all replica entries; invalid ones are left out."""
        entries = [self._decode_replica(item) for item in objects]
        self._replicas.replace_all(
            (entry for entry in entries if entry),
            may_return=self._may_entries_return(),
        )

    def _apply_replica(self, item: _objects.Object) -> None:
        """Update one replica's entry.

        A replica whose entry became invalid is treated as one whose entry
        was removed, as after a new list.
        """
        entry = None if item.value is None else self._decode_replica(item)
        if entry is None:
            self._replicas.mark_missing(
                item.name, may_return=self._may_entries_return()
            )
        else:
            self._replicas.update(entry)

    def _may_entries_return(self) -> bool:
        """Whether missing entries may have expired in an outage."""
        _, replicas_watcher = self._watchers
        failed_ms_ago = replicas_watcher.failed_ms_ago
        return failed_ms_ago is not None and failed_ms_ago < (
            _object_watcher.MAX_RETRY_MS + ENTRIES_RETURN_MS
        )

    def _reduce_replica(
        self, item: _objects.Object
    ) -> dict[str, typing.Any] | None:
        """Return the fields of a replica's entry that are read here.

        None if it is invalid.
        """
        entry = self._decode_replica(item)
        return None if entry is None else platform.encode_replica_entry(entry)

    def _is_of_a_service(self, item: _objects.Object) -> bool:
        """Whether a reduced entry is of a service of the configuration."""
        service = item.value["service"]
        return self._active_configuration.find_service(service) is not None

    def _decode_replica(
        self, item: _objects.Object
    ) -> _types.ReplicaEntry | None:
        """Return a replica's entry; log an invalid one and return None."""
        try:
            return platform.decode_replica_entry(item.name, item.value)
        except platform.FormatError as error:
            name = item.name[:MAX_LOGGED_NAME]
            if self._logged_entries.get(name) != item.version:
                self._logged_entries[name] = item.version
                _logs.event(
                    "entry_unreadable",
                    replica=name,
                    error=str(error),
                )
            if len(self._logged_entries) > MAX_LOGGED_ENTRIES:
                del self._logged_entries[next(iter(self._logged_entries))]
            return None

    async def _close_stale(self) -> None:
        while True:
            await self._clock.sleep(CLOSE_STALE_INTERVAL_MS)
            self._connections.close_stale()
            self._peer_connections.close_stale()


def _take_delay_ms(link_mbit_per_s: float | None) -> int:
    """Return how long to leave the controller's lease to others.

    The controller exchanges messages with all instances, so the fewer bytes
    a link carries, the longer its instance waits for another candidate.
    """
    if not link_mbit_per_s:
        return 0
    return int(min(MAX_TAKE_DELAY_MS, TAKE_DELAY_MS_MBIT / link_mbit_per_s))
