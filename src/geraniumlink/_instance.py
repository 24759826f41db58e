"""One instance: its parts, its supervisor tree and its shutdown.

The tree, with what a failure of each child does:

    instance
    |- callers       listener for the schema's methods   fails the instance
    |- peers         listener for peers and the platform fails the instance
    |- watch_api     configuration from the object API   started again
    |- follow_peers  configuration from peers            started again
    |- heartbeat     exchange with one peer              started again
    |- claims        non-idempotent calls under way      started again
    |- claim_janitor removes old claims                  started again
    |- instance_list platform's list of instances        started again
    |- reports       reports of backend servers          started again
    |- suspects      news of crashes to and from peers   started again
    |- leaving       news of leaving servers to peers    started again
    |- controller    shards under leases                 started again
    `- signals       SIGTERM and SIGINT begin shutdown   fails the instance
"""

from __future__ import annotations

import random
import signal

import anyio

from geraniumlink import _clock
from geraniumlink import _http
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


# How long a peer's message in progress is waited for at the very end.
_PEERS_STOP_MS = 2000
# How long an outcome that no caller waits for may take to be recorded.
_OUTCOMES_MS = 10_000


class Instance:
    """Builds the parts of one instance and runs them."""

    def __init__(
        self,
        settings: _settings.Settings,
        clock: _clock.Clock,
        log_lines: _log_buffer.LogBuffer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log_lines = log_lines
        source = random.Random()
        self._metrics = _metrics.Metrics()
        self._client = _http.Client()
        self._configuration = _configuration.Configuration()
        self._objects = _objects.ObjectApi(self._client, settings.object_api)
        self._membership = _membership.Membership(
            settings, self._clock, source
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
            self._membership, self._client, source
        )
        self._suspects = _crash_suspects.CrashSuspects(
            self._client, self._clock, broadcaster, self._metrics
        )
        self._leaving = _leaving_notices.LeavingNotices(
            self._backends, broadcaster
        )
        router = _routing.Router(
            self._backends,
            source,
            _routing.SubsetParameters(
                settings.name,
                self._count_live,
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
            self._objects, self._clock, source
        )
        self._rpc = _rpc.RpcServer(
            self._methods(router),
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
            self._ready,
            [
                self._executor.query_handler.route,
                *self._suspects.routes,
                *self._leaving.routes,
            ],
            traffic=self._traffic,
        )
        self._listener = _server.Listener(
            self._rpc, [settings.address], self._clock
        )
        self._controller = _controller.Controller(
            settings,
            self._configuration,
            self._objects,
            self._live_names,
            self._client,
            self._clock,
            source,
            self._metrics,
        )
        self._peer_listener = _server.Listener(
            self._peers.application, [settings.peer_address], self._clock
        )

    def _methods(self, router: _routing.Router) -> _rpc.MethodTable:
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
        """Serve until a signal asks for an orderly shutdown."""
        _logs.event("starting", address=str(self._settings.address))
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_on_signal, group.cancel_scope)
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
            answer = await _platform.list_instances(
                self._client, self._settings.instance_list
            )
            # While the list is down its last word is judged anew all the
            # same: the servers that stood in may have gone.
            listed = listed if answer is None else answer
            self._take_list(listed)
            await self._clock.sleep(2 * self._settings.heartbeat_ms)

    def _take_list(self, listed: list[_platform.InstanceListEntry]) -> None:
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

    def _count_live(self) -> int:
        members = self._membership.members()
        return sum(1 for member in members if member.state == "live")

    def _ready(self) -> bool:
        if self._rpc.shutting_down or self._sync.isolated:
            return False
        return self._sync.loaded and self._backends.all_polled

    async def _stop_on_signal(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for number in signals:
                _logs.event("signal", number=int(number))
                break
            # A second signal is received here and changes nothing: work in
            # flight is finished all the same.
            await self._shut_down()
        scope.cancel()

    async def _shut_down(self) -> None:
        """Leave without cutting a request.

        The balancer goes on sending for a while after readiness fails, so
        requests are accepted for that long, and their connections closed.
        """
        self._rpc.shutting_down = True
        self._membership.announce_leaving()
        self._controller.stop()
        await self._clock.sleep(self._settings.drain_lag_ms)
        self._listener.stop()
        await self._finish_answers()
        await self._record_outcomes()
        self._peer_listener.stop()
        with anyio.move_on_after(_PEERS_STOP_MS / 1000):
            await self._peer_listener.stopped()

    async def _record_outcomes(self) -> None:
        """Wait for calls whose callers have left, so that they are known."""
        with anyio.move_on_after(_OUTCOMES_MS / 1000):
            while self._executor.in_flight:
                await self._clock.sleep(50)

    async def _finish_answers(self) -> None:
        """Wait until callers have every answer; each has its deadline.

        An answer that was made is in a buffer of this process until its
        caller has read enough; a caller that reads nothing is not waited
        for beyond a bound.
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
