"""One instance: its parts, its supervisor tree and its shutdown.

The tree, with what a failure of each child does:

    instance
    |- callers       listener for the schema's methods   fails the instance
    |- peers         listener for peers and the platform fails the instance
    |- watch_api     configuration from the object API   started again
    |- follow_peers  configuration from peers            started again
    |- heartbeat     exchange with one peer              started again
    |- instance_list platform's list of instances        started again
    |- reports       reports of backend servers          started again
    `- signals       SIGTERM and SIGINT begin shutdown   fails the instance
"""

from __future__ import annotations

import random
import signal

import anyio

from geraniumlink import _admission
from geraniumlink import _backends
from geraniumlink import _calls
from geraniumlink import _changes
from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _http
from geraniumlink import _inference
from geraniumlink import _logs
from geraniumlink import _membership
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink import _operator
from geraniumlink import _peers
from geraniumlink import _platform
from geraniumlink import _routing
from geraniumlink import _rpc
from geraniumlink import _server
from geraniumlink import _service_methods
from geraniumlink import _settings
from geraniumlink import _supervisor
from geraniumlink import _sync


class Instance:
    """Builds the parts of one instance and runs them."""

    def __init__(self, settings: _settings.Settings) -> None:
        self._settings = settings
        self._clock = _clock.Clock()
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
        self._sync = _sync.Sync(
            self._configuration,
            self._objects,
            self._membership,
            self._client,
            self._clock,
            self._backends.refresh,
        )
        router = _routing.Router(
            self._backends,
            source,
            _routing.Neighbours(
                settings.name,
                self._count_live,
                settings.replicas_per_service,
            ),
        )
        self._rpc = _rpc.Server(
            self._methods(router),
            settings.name,
            settings.max_requests,
            settings.max_request_bytes,
            self._clock,
            self._metrics,
        )
        self._peers = _peers.PeerServer(
            self._configuration, self._membership, self._metrics, self._ready
        )
        self._listener = _server.Listener(self._rpc, settings.address)
        self._peer_listener = _server.Listener(
            self._peers.application, settings.peer_address
        )

    def _methods(self, router: _routing.Router) -> _rpc.Methods:
        changes = _changes.Changes(
            self._objects, self._settings.name, self._clock
        )
        return _service_methods.build(
            _inference.Inference(
                self._configuration,
                self._backends,
                router,
                self._client,
                self._clock,
                self._metrics,
                _admission.Admission(router, self._clock, random.Random()),
            ),
            _calls.Calls(
                self._configuration, router, self._client, self._clock
            ),
            _operator.Operator(
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
            child("instance_list", self._follow_instance_list),
            child("reports", lambda: self._backends.poll(settings.report_ms)),
        ]

    async def _heartbeat(self) -> None:
        while True:
            self._membership.beat(self._configuration.revision)
            self._set_gauges()
            peer = self._membership.draw_peer()
            if peer is not None:
                await _peers.exchange(self._client, peer, self._membership)
            await self._clock.sleep(self._settings.heartbeat_ms)

    def _set_gauges(self) -> None:
        self._metrics.revision.set({}, self._configuration.revision)
        self._metrics.api_calls.set({}, self._objects.calls)
        self._metrics.api_reachable.set({}, int(self._objects.reachable))

    async def _follow_instance_list(self) -> None:
        while True:
            listed = await _platform.list_instances(
                self._client, self._settings.instance_list
            )
            if listed is not None:
                self._membership.take_list(
                    {
                        entry.name: entry.peer_address
                        for entry in listed
                        if entry.state == "live"
                    }
                )
            await self._clock.sleep(5 * self._settings.heartbeat_ms)

    def _count_live(self) -> int:
        members = self._membership.members()
        return sum(1 for member in members if member.state == "live")

    def _ready(self) -> bool:
        return self._sync.loaded and not self._rpc.closing

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
        self._rpc.closing = True
        self._membership.leave()
        await self._clock.sleep(self._settings.drain_lag_ms)
        self._listener.stop()
        while self._rpc.in_flight:
            await self._clock.sleep(50)
        self._peer_listener.stop()
        await self._clock.sleep(200)
