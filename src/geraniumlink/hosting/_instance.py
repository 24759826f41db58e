"""One instance on the users' platform, as a supervisor tree.

::

    serve
    +- listener          clients, readiness, other instances
    +- configuration     follows the operator's configuration
    +- replicas          follows the registered replicas
    +- leadership        keeps the controller's lease, if it can be had
    +- controller        places models while the lease is held
    +- reports           tells the controller what is asked for
    +- connections       closes idle connections to replicas
    +- log lines         writes what standard output did not take at once
    +- signals           SIGTERM begins the drain, SIGHUP reads settings
"""

from __future__ import annotations

import pathlib
import random
import signal
import sys

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _log_buffer
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink import _server
from geraniumlink import _settings
from geraniumlink import _supervisor
from geraniumlink.control import _leases
from geraniumlink.hosting import _application
from geraniumlink.hosting import _gauges
from geraniumlink.hosting import _host_metrics
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _protocol
from geraniumlink.hosting import _relay
from geraniumlink import platform
from geraniumlink.platform import _configuration
from geraniumlink.platform import _replicas as _replica_entries
from geraniumlink.residency import _controller
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _controller_protocol
from geraniumlink.residency import _leadership
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _connections
from geraniumlink.serving import _forward
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from geraniumlink.suspicion import _suspicions

# The balancer asks once a second and takes an instance out after two
# misses; new connections come until then. With the time for which idle
# connections linger after it, requests are taken for less than 3 s: later
# ones may not end within the grace.
OUT_OF_ROTATION_MS = 2300
# Before SIGKILL, what is left is cut off in order.
EXIT_MARGIN_MS = 400
# A lease that did not change for this long, and for the platform's bound
# between two holders besides, is free: it covers the holder's last order.
MIN_LEASE_EXPIRY_MS = (
    _leadership.ORDERING_WINDOW_MS + _leadership.GUARD_MARGIN_MS
)
CLOSE_STALE_MS = 1000
# Changes of the configuration, and of replicas, that come within this are
# read by one call to the store. Both must be in force within some seconds;
# of the bound on replicas that leave, this share is used.
GATHER_CONFIGURATION_MS = 250
GATHER_REPLICAS_SHARE = 0.25


async def serve(path: pathlib.Path, metrics_port: int | None = None) -> None:
    """Run one instance until SIGTERM; serve metrics if a port is given.

    :raises platform.FormatError: if the settings make no sense.
    :raises OSError: if they can't be read, or an address is taken.
    """
    settings = platform.read_settings(path)
    clock = _clock.Clock()
    log_lines = _log_buffer.start(
        sys.stdout.fileno(), settings.instance, clock
    )
    try:
        instance = _Instance(settings, path, clock, log_lines, metrics_port)
        await instance.run()
    finally:
        log_lines.close()


class _Instance:
    def __init__(
        self,
        settings: platform.NodeSettings,
        path: pathlib.Path,
        clock: _clock.Clock,
        log_lines: _log_buffer.LogBuffer,
        metrics_port: int | None,
    ) -> None:
        self._settings = settings
        self._path = path
        self._clock = clock
        self._log_lines = log_lines
        self._metrics_port = metrics_port
        self._metrics = _host_metrics.HostMetrics()
        self._random = random.Random()
        self._draining = False
        self._client = _http.Client()
        self._store = platform.StoreClient(
            self._client, settings.store_address
        )
        self._active_configuration = (
            _active_configuration.ActiveConfiguration()
        )
        self._replicas = _replicas.Replicas(
            self._clock, settings.leaving_bound_ms
        )
        self._suspicions = _suspicions.SuspicionTable(self._clock)
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
        self._leadership.call_on_store_recovery(self._renew_watches)
        self._controller = _controller.Controller(
            active_configuration=self._active_configuration,
            replicas=self._replicas,
            leadership=self._leadership,
            orders=platform.OrderClient(_http.Client(keeps_alive=False)),
            clock=self._clock,
            instance=settings.instance,
        )
        self._controller_protocol = self._make_controller_protocol()
        self._connections = _connections.ConnectionPool(clock)
        self._forwarder = self._make_forwarder()
        self._application = self._make_application()
        self._listener = _server.Listener(
            self._application,
            [address for address in self._addresses() if address],
            self._clock,
            http=_protocol.limited_protocol(
                self._active_configuration, lambda: self._draining
            ),
        )
        _gauges.add(
            self._metrics,
            _gauges.Parts(
                application=self._application,
                forwarder=self._forwarder,
                store=self._store,
                watchers=self._watchers,
                active_configuration=self._active_configuration,
                replicas=self._replicas,
                leadership=self._leadership,
                budgets=self._budgets,
                log_lines=self._log_lines,
            ),
        )

    def _make_leadership(self) -> _leadership.Leadership:
        leases = _leases.Leases(
            self._store,
            str(self._settings.peer_address),
            MIN_LEASE_EXPIRY_MS + self._settings.handover_gap_ms,
            self._clock,
            self._random,
        )
        return _leadership.Leadership(
            leases, self._settings.handover_gap_ms, self._clock
        )

    def _make_controller_protocol(
        self,
    ) -> _controller_protocol.ControllerProtocol:
        return _controller_protocol.ControllerProtocol(
            controller=self._controller,
            leadership=self._leadership,
            replicas=self._replicas,
            budgets=self._budgets,
            suspicions=self._suspicions,
            relay=_relay.Relay(self._watchers),
            link=_controller_link.ControllerLink(_http.Client()),
            clock=self._clock,
            instance=self._settings.instance,
        )

    def _make_forwarder(self) -> _forward.Forwarder:
        return _forward.Forwarder(
            active_configuration=self._active_configuration,
            replicas=self._replicas,
            residency=self._controller_protocol,
            budgets=self._budgets,
            suspicions=self._suspicions,
            metrics=_request_metrics.RequestMetrics(self._metrics.registry),
            connections=self._connections,
            clock=self._clock,
            data_centre=self._settings.data_centre,
            random_source=self._random,
        )

    def _make_application(self) -> _application.Application:
        return _application.Application(
            addresses=self._addresses(),
            active_configuration=self._active_configuration,
            forwarder=self._forwarder,
            controller_protocol=self._controller_protocol,
            clock=self._clock,
            metrics=self._metrics,
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
        """Return where metrics are served, unless the port is taken."""
        port, settings = self._metrics_port, self._settings
        taken = (
            settings.client_address,
            settings.readiness_address,
            settings.peer_address,
        )
        if port is None or port in {address.port for address in taken}:
            return None
        return _settings.Address(settings.peer_address.host, port)

    def _is_ready(self) -> bool:
        return (
            not self._draining
            and self._active_configuration.current is not None
            and self._replicas.has_full_list
        )

    async def run(self) -> None:
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
            _supervisor.Child("log lines", self._log_lines.run),
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(_supervisor.supervise, children, self._clock)
            await self._take_signals()
            group.cancel_scope.cancel()
        _logs.event("stopped")

    async def _take_signals(self) -> None:
        """Return when the instance has drained after SIGTERM."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as received:
            async for number in received:
                if number == signal.SIGTERM:
                    await self._drain()
                    return
                self._read_again()

    def _read_again(self) -> None:
        """Check the settings that SIGHUP says have changed."""
        try:
            settings = platform.read_settings(self._path)
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
        """Leave the rotation, then finish every answer."""
        began = self._clock.now()
        _logs.event("draining", in_flight=self._application.in_flight)
        self._draining = True
        self._application.drain()
        cut_at = began + self._settings.grace_ms - EXIT_MARGIN_MS
        with anyio.move_on_after(self._settings.handover_gap_ms / 1000):
            await self._leadership.release()
        left_ms = OUT_OF_ROTATION_MS - (self._clock.now() - began)
        await self._clock.sleep(max(0, left_ms))
        self._listener.stop()
        with anyio.move_on_after((cut_at - self._clock.now()) / 1000):
            await self._listener.stopped()
        _logs.event("drained", in_flight=self._application.in_flight)

    def _make_watchers(self) -> list[_object_watcher.ObjectWatcher]:
        bound_ms = self._settings.leaving_bound_ms
        return [
            _object_watcher.ObjectWatcher(
                self._store,
                _configuration.KIND,
                self._clock,
                on_list=self._take_configurations,
                on_change=self._take_configuration,
                batch_delay_ms=GATHER_CONFIGURATION_MS,
            ),
            _object_watcher.ObjectWatcher(
                self._store,
                _replica_entries.KIND,
                self._clock,
                on_list=self._take_replicas,
                on_change=self._take_replica,
                batch_delay_ms=int(GATHER_REPLICAS_SHARE * bound_ms),
            ),
        ]

    def _renew_watches(self) -> None:
        for watcher in self._watchers:
            watcher.renew()

    def _take_configurations(self, objects: list[_objects.Object]) -> None:
        for found in objects:
            self._take_configuration(found)

    def _take_configuration(self, found: _objects.Object) -> None:
        if found.name != _configuration.NAME or found.value is None:
            return
        try:
            configuration = platform.decode_configuration(found.value)
        except platform.FormatError as error:
            _logs.event("configuration_unreadable", error=str(error))
            return
        self._active_configuration.apply_if_newer(configuration)

    def _take_replicas(self, objects: list[_objects.Object]) -> None:
        entries = [self._decode(found) for found in objects]
        self._replicas.replace_all(entry for entry in entries if entry)

    def _take_replica(self, found: _objects.Object) -> None:
        if found.value is None:
            self._replicas.mark_missing(found.name)
            return
        entry = self._decode(found)
        if entry is not None:
            self._replicas.update(entry)

    def _decode(self, found: _objects.Object) -> _types.ReplicaEntry | None:
        try:
            return platform.decode_replica_entry(found.name, found.value)
        except platform.FormatError as error:
            _logs.event(
                "entry_unreadable", replica=found.name, error=str(error)
            )
            return None

    async def _close_stale(self) -> None:
        while True:
            await self._clock.sleep(CLOSE_STALE_MS)
            await self._connections.close_stale()
