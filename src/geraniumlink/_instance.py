"""Creates the parts of an instance, supervises its tasks, shuts it down.

The supervised tasks, and the effect of a failure of each:

    instance
    |- callers       listener for the schema's methods   ends the instance
    |- peers         listener for peers and the platform ends the instance
    |- watch_api     configuration from the object API   restarted
    |- follow_peers  configuration from peers            restarted
    |- heartbeat     exchange with one peer              restarted
    |- claims        non-idempotent calls in progress    restarted
    |- claim_janitor removes expired claims              restarted
    |- instance_list platform's list of instances        restarted
    |- reports       reports of backend servers          restarted
    |- suspects      crash suspicions, with peers        restarted
    |- leaving       notices of leaving servers to peers restarted
    |- controller    shards whose lease is held here     restarted
    |- log_lines     buffered log lines                  restarted
    `- signals       SIGTERM and SIGINT begin shutdown   ends the instance
"""

from __future__ import annotations

import random
import signal

import anyio

from geraniumlink import _clock
from geraniumlink import _connection_limits
from geraniumlink import _http
from geraniumlink import _http_protocol
from geraniumlink import _log_buffer
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink import _platform
from geraniumlink import _server
from geraniumlink import _settings
from geraniumlink import _supervisor
from geraniumlink.backends import _backends
from geraniumlink.backends import _leaving_notices
from geraniumlink.configuration import _changes
from geraniumlink.configuration import _configuration
from geraniumlink.configuration import _sync
from geraniumlink.control import _controller
from geraniumlink.interface import _operator
from geraniumlink.interface import _rpc
from geraniumlink.interface import _service_methods
from geraniumlink.members import _membership
from geraniumlink.members import _peer_protocol
from geraniumlink.once import _at_most_once
from geraniumlink.once import _claim_janitor
from geraniumlink.once import _claims
from geraniumlink.requests import _admission
from geraniumlink.requests import _call_dispatch
from geraniumlink.requests import _calls
from geraniumlink.requests import _inference
from geraniumlink.requests import _routing
from geraniumlink.requests import _traffic
from geraniumlink.suspicion import _broadcast
from geraniumlink.suspicion import _crash_suspects


# At the end of the shutdown, how long to wait for messages of peers that are
# being handled.
_PEERS_STOP_TIMEOUT_MS = 2000
# During shutdown, how long to wait until the outcomes of calls are recorded
# whose callers have disconnected.
_OUTCOMES_TIMEOUT_MS = 10_000


class Instance:
    """Creates the parts of one instance and runs them."""

    def __init__(
        self,
        settings: _settings.Settings,
        clock: _clock.Clock,
        log_lines: _log_buffer.LogBuffer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log_lines = log_lines
        random_source = random.Random()
        self._metrics = _metrics.Metrics()
        self._client = _http.Client()
        self._configuration = _configuration.Configuration()
        self._objects = _objects.ObjectApi(self._client, settings.object_api)
        self._membership = _membership.Membership(
            settings, self._clock, random_source
        )
        self._backends = _backends.Backends(
            self._configuration, self._client, self._clock
        )
        self._sync = _sync.ConfigurationSync(
            self._configuration,
            self._objects,
            self._membership,
            self._client,
            self._clock,
            self._backends.refresh,
            settings.isolation_ms,
        )
        broadcaster = _broadcast.Broadcaster(
            self._membership, self._client, random_source
        )
        self._suspects = _crash_suspects.CrashSuspects(
            self._client, self._clock, broadcaster, self._metrics
        )
        self._leaving = _leaving_notices.LeavingNotices(
            self._backends, broadcaster
        )
        router = _routing.Router(
            self._backends,
            random_source,
            _routing.SubsetParameters(
                settings.name,
                self._live_count,
                settings.replicas_per_service,
            ),
        )
        self._dispatcher = _call_dispatch.CallDispatcher(
            router, self._backends, self._clock, self._metrics
        )
        self._executor = _at_most_once.AtMostOnceExecutor(
            self._dispatcher,
            _claims.ClaimStore(self._objects),
            self._client,
            self._clock,
            settings.name,
            settings.peer_address,
            self._membership.peer_addresses,
        )
        self._janitor = _claim_janitor.Janitor(
            self._objects, self._clock, random_source
        )
        self._rpc = _rpc.RpcServer(
            self._build_method_table(router),
            settings.name,
            settings.max_requests,
            settings.max_request_bytes,
            self._clock,
            self._metrics,
            lambda: self._sync.loaded,
        )
        self._traffic = _traffic.Traffic()
        self._peers = _peer_protocol.PeerServer(
            self._configuration,
            self._membership,
            self._metrics,
            self._is_ready,
            [
                self._executor.query_handler.route,
                *self._suspects.routes,
                *self._leaving.routes,
            ],
            traffic=self._traffic,
        )
        client_table, peer_table = _connection_limits.make_tables(
            _connection_limits.split_limits(
                _connection_limits.state_limits(
                    settings.max_connections, settings.max_received_mb
                ),
                _peer_protocol.MAX_MESSAGE_BYTES,
            ),
            lambda cause: self._metrics.clients_refused.inc(
                {"cause": cause.value}
            ),
        )
        self._listener = _server.Listener(
            self._rpc,
            [settings.address],
            self._clock,
            _http_protocol.make_protocol(client_table),
        )
        self._controller = _controller.Controller(
            settings,
            self._configuration,
            self._objects,
            self._live_names,
            self._client,
            self._clock,
            random_source,
            self._metrics,
        )
        self._peer_listener = _server.Listener(
            self._peers.application,
            [settings.peer_address],
            self._clock,
            _http_protocol.make_protocol(peer_table),
        )

    def _build_method_table(self, router: _routing.Router) -> _rpc.MethodTable:
        changes = _changes.ChangeStore(
            self._objects,
            self._settings.name,
            self._clock,
            self._sync.apply_written,
        )
        return _service_methods.build_method_table(
            _inference.Inference(
                self._configuration,
                self._backends,
                router,
                self._client,
                self._clock,
                self._metrics,
                self._suspects,
                _admission.Admission(router, self._clock, random.Random()),
            ),
            _calls.Calls(
                self._configuration,
                self._dispatcher,
                self._client,
                self._clock,
                self._executor,
            ),
            _operator.OperatorService(
                self._configuration,
                changes,
                self._objects,
                self._membership,
                self._backends,
                self._clock,
            ),
            self._metrics,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        :raises ExceptionGroup: if a critical task fails.
        """
        _logs.event("starting", address=str(self._settings.address))
        async with anyio.create_task_group() as group:
            group.start_soon(self._shut_down_on_signal, group.cancel_scope)
            await _supervisor.supervise(self._children(), self._clock)
        await self._client.close()
        _logs.event("stopped")

    def _children(self) -> list[_supervisor.Child]:
        settings = self._settings
        never = _supervisor.Restart.NEVER
        child = _supervisor.Child
        return [
            child("callers", self._listener.run, never),
            child("peers", self._peer_listener.run, never),
            child("watch_api", self._sync.watch_api),
            child(
                "follow_peers",
                lambda: self._sync.follow_peers(settings.heartbeat_ms),
            ),
            child("heartbeat", self._heartbeat),
            child("claims", self._executor.run),
            child("claim_janitor", self._janitor.run),
            child("instance_list", self._follow_instance_list),
            child("reports", lambda: self._backends.poll(settings.report_ms)),
            child(
                "suspects",
                lambda: self._suspects.run_gossip(settings.heartbeat_ms),
            ),
            child(
                "leaving",
                lambda: self._leaving.run_gossip(settings.heartbeat_ms),
            ),
            child("controller", self._controller.run),
            child("log_lines", self._log_lines.run),
        ]

    def _live_names(self) -> list[str]:
        return [
            member.name
            for member in self._membership.members()
            if member.state == "live"
        ]

    async def _heartbeat(self) -> None:
        """Exchange membership with one peer at each heartbeat."""
        while True:
            self._membership.publish_versions(
                self._configuration.revision,
                self._configuration.highest_version,
            )
            self._set_gauges()
            peer = self._membership.next_peer()
            if peer is not None:
                await _peer_protocol.exchange_entries(
                    self._client, peer, self._membership, self._traffic
                )
            await self._clock.sleep(self._settings.heartbeat_ms)

    def _set_gauges(self) -> None:
        self._metrics.revision.set({}, self._configuration.revision)
        self._metrics.api_calls.set({}, self._objects.calls)
        self._metrics.api_reachable.set({}, int(self._objects.reachable))
        self._metrics.api_received.set({}, self._objects.received_bytes)
        self._metrics.peer_sent.set({}, self._traffic.sent_bytes)
        self._metrics.peer_received.set({}, self._traffic.received_bytes)
        self._metrics.isolated.set({}, int(self._sync.isolated))
        self._metrics.configuration_findings.set(
            {}, len(self._configuration.findings)
        )

    async def _follow_instance_list(self) -> None:
        listed: list[_platform.InstanceListEntry] = []
        while True:
            response = await _platform.list_instances(
                self._client, self._settings.instance_list
            )
            # While the list is unavailable, its last version is applied
            # again, because the backend servers known here may have changed
            # since, and with them which addresses are instances.
            listed = listed if response is None else response
            self._apply_instance_list(listed)
            await self._clock.sleep(2 * self._settings.heartbeat_ms)

    def _apply_instance_list(
        self, listed: list[_platform.InstanceListEntry]
    ) -> None:
        self._backends.apply_instance_list(
            entry.address for entry in listed if entry.state == "leaving"
        )
        self._membership.apply_instance_list(
            {
                entry.name: entry.address
                for entry in listed
                if entry.state == "live"
                and not self._backends.at_address(entry.address)
            }
        )

    def _live_count(self) -> int:
        members = self._membership.members()
        return sum(1 for member in members if member.state == "live")

    def _is_ready(self) -> bool:
        """Whether load balancers should send requests to this instance."""
        if self._rpc.shutting_down or self._sync.isolated:
            return False
        return self._sync.loaded and self._backends.all_polled

    async def _shut_down_on_signal(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for number in signals:
                _logs.event("signal", number=int(number))
                break
            # The receiver stays open, so that a second signal has no effect
            # and requests in flight are still finished.
            await self._shut_down()
        scope.cancel()

    async def _shut_down(self) -> None:
        """Shut down without cutting a request.

        The load balancer goes on sending requests for a while after the
        readiness check fails. They are accepted for ``drain_lag_ms``, and
        their connections are closed after the response.
        """
        self._rpc.shutting_down = True
        self._membership.announce_leaving()
        self._controller.stop()
        await self._clock.sleep(self._settings.drain_lag_ms)
        self._listener.stop()
        await self._flush_responses()
        await self._wait_for_outcomes()
        self._peer_listener.stop()
        with anyio.move_on_after(_PEERS_STOP_TIMEOUT_MS / 1000):
            await self._peer_listener.stopped()

    async def _wait_for_outcomes(self) -> None:
        """Wait until calls of disconnected callers have a recorded outcome."""
        with anyio.move_on_after(_OUTCOMES_TIMEOUT_MS / 1000):
            while self._executor.in_flight:
                await self._clock.sleep(50)

    async def _flush_responses(self) -> None:
        """Wait until callers have received all responses.

        Each request in flight ends by its deadline. After that, a response
        may still be in this process's send buffer until its caller has read
        enough; that is waited for during ``FLUSH_TIMEOUT_MS`` at most.
        """
        idle_since = self._clock.now()
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_when_stopped, scope)
                while True:
                    await self._clock.sleep(50)
                    now = self._clock.now()
                    if self._rpc.in_flight:
                        idle_since = now
                    elif now - idle_since > _server.FLUSH_TIMEOUT_MS:
                        _logs.event("answers_not_read")
                        scope.cancel()

    async def _cancel_when_stopped(self, scope: anyio.CancelScope) -> None:
        await self._listener.stopped()
        scope.cancel()
