"""An instance of the product, assembled in an emulated environment."""

from __future__ import annotations

import random

import aioprometheus
import anyio

from emulator import _control_plane
from emulator import _engine_connections
from emulator import _policies
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.control import _epochs
from geraniumlink.control import _leases
from geraniumlink.hosting import _datagrams
from geraniumlink.hosting import _instance
from geraniumlink.hosting import _origin_exchange
from geraniumlink.hosting import _permit_exchange
from geraniumlink.hosting import _version_survey
from geraniumlink.residency import _call_limits
from geraniumlink.residency import _controller
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _controller_protocol
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _leadership
from geraniumlink.residency import _limit_exchange
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _connections
from geraniumlink.serving import _forward
from geraniumlink.serving import _peer_relay
from geraniumlink.serving import _peers
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _stream_origins
from geraniumlink.serving import _types
from geraniumlink.serving import _warm_up
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions
from geraniumlink.suspicion import _table_sync

# The platform's bounds, as its deployments state them: how long a replica
# takes to leave at most, and least time between the orders of two leaders.
_LEAVING_BOUND_MS = 2000
_HANDOVER_GAP_MS = 1000
# Retries in a window: a share of the requests, and a constant; window in ms.
_RETRY_LIMIT = _retry_budgets.RetryLimit(0.2, 56, 10_000)


class _NoRelay:
    """Stands in for the relay: every instance gets all entries directly."""

    def known_revisions(self) -> dict[str, int]:
        return {}

    def encode_changes(self, known: dict[str, int]) -> dict[str, object]:
        return {}

    def confirmed_ages_ms(self) -> dict[str, int | None]:
        return {}

    def apply_changes(
        self, told: object, ages_ms: object, sent_at: int
    ) -> None:
        pass


class Environment:
    """What all instances of a simulation share."""

    def __init__(
        self,
        site: _sites.Site,
        clock: _virtual_time.VirtualClock,
        network: _engine_connections.EngineNetwork,
        order_client: _control_plane.EngineOrderClient,
    ) -> None:
        self.site = site
        self.clock = clock
        self.network = network
        self.order_client = order_client
        self.store = _control_plane.Store(clock)
        self.peer_transport = _control_plane.PeerTransport(clock)
        self.configuration = _sites.make_configuration(site)


class EmulatedInstance:
    """One instance, from its start until it is killed."""

    def __init__(
        self,
        number: int,
        environment: Environment,
        policy: _policies.Policy,
        seed: int,
    ) -> None:
        self.address = _sites.instance_address(number)
        self._environment = environment
        self._random = random.Random(f"{seed}-{number}")
        self._scope = anyio.CancelScope()
        # One for each request in progress; cancelled by ``kill``.
        self._request_scopes: set[anyio.CancelScope] = set()
        data_centres = environment.site.data_centres
        clock = environment.clock
        self._active_configuration = (
            _active_configuration.ActiveConfiguration()
        )
        self._replicas = _replicas.Replicas(clock, _LEAVING_BOUND_MS)
        self._warm_ups = _warm_up.WarmUps(self._replicas, clock)
        self._budgets = _retry_budgets.RetryBudgets(_RETRY_LIMIT, clock)
        self._suspicions = _suspicions.SuspicionTable(clock)
        self._prompt_parts = _prompt_parts.PromptParts(clock, self._random)
        self._leadership = self._make_leadership()
        self._moves_models = policy.moves_models
        self._directory = _instance_directory.InstanceDirectory(
            str(self.address), clock
        )
        datagrams = _datagrams.Datagrams(str(self.address))
        # Without the socket: emulated engines state no limits.
        self._permits = _permit_exchange.PermitExchange(
            replicas=self._replicas,
            leadership=self._leadership,
            directory=self._directory,
            datagrams=datagrams,
            clock=clock,
            random_source=self._random,
        )
        self._controller = _controller.Controller(
            active_configuration=self._active_configuration,
            replicas=self._replicas,
            leadership=self._leadership,
            orders=environment.order_client,
            call_limits=_call_limits.PermittedCalls(
                self._replicas, self._permits, clock
            ),
            clock=clock,
            instance=str(self.address),
        )
        connections = _connections.ConnectionPool(
            clock, environment.network.dial
        )
        self._reachability = _reachability.Reachability(
            self._replicas,
            connections,
            environment.order_client,
            clock,
            self._random,
        )
        self._controller_protocol = self._make_controller_protocol()
        # Without its socket: no stream is resumed by an emulated client.
        origins = _origin_exchange.OriginExchange(
            _stream_origins.OriginTable(clock), self._directory, datagrams
        )
        self._forwarder = _forward.Forwarder(
            active_configuration=self._active_configuration,
            replicas=self._replicas,
            residency=self._controller_protocol,
            budgets=self._budgets,
            suspicions=self._suspicions,
            prompt_parts=self._prompt_parts,
            origins=origins,
            versions=self._make_version_survey(datagrams),
            permits=self._permits,
            metrics=_request_metrics.RequestMetrics(aioprometheus.Registry()),
            connections=connections,
            reachability=self._reachability,
            # Without connections: emulated instances don't lose their path.
            peer_relay=_peer_relay.PeerRelay(
                _peers.Peers(self._directory, clock, self._random),
                _connections.ConnectionPool(clock),
                origins,
                clock,
            ),
            clock=clock,
            data_centre=data_centres[number % len(data_centres)],
            random_source=self._random,
            choose=policy.choose,
            warm_ups=self._warm_ups,
        )
        self._active_configuration.apply_if_newer(environment.configuration)

    @property
    def is_controller(self) -> bool:
        return self._leadership.is_leader

    def update_replica(self, entry: _types.ReplicaEntry) -> None:
        """Apply an engine's entry from the store."""
        self._replicas.update(entry)

    async def run(self) -> None:
        """Run the instance's background tasks until ``kill``."""
        self._environment.peer_transport.register(
            self.address, self._controller_protocol.handle_message
        )
        with self._scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._leadership.run)
                group.start_soon(self._controller_protocol.run_reports)
                if self._moves_models:
                    group.start_soon(self._controller.run)

    async def serve(
        self,
        request: _types.Request,
        response: _response_writer.ResponseWriter,
    ) -> None:
        """Serve a request; returns without a response on ``kill``."""
        with anyio.CancelScope() as scope:
            self._request_scopes.add(scope)
            try:
                await self._forwarder.serve(request, response)
            finally:
                self._request_scopes.discard(scope)

    def kill(self) -> None:
        """End the instance and its requests at once, as by SIGKILL."""
        self._environment.peer_transport.remove(self.address)
        self._scope.cancel()
        for scope in list(self._request_scopes):
            scope.cancel()

    def _make_leadership(self) -> _leadership.Leadership:
        leases = _leases.Leases(
            self._environment.store,
            str(self.address),
            _instance.MIN_LEASE_EXPIRY_MS + _HANDOVER_GAP_MS,
            self._environment.clock,
            self._random,
            tokens=_epochs.EpochSource(self._environment.clock, self._random),
        )
        return _leadership.Leadership(
            leases, _HANDOVER_GAP_MS, self._environment.clock
        )

    def _make_version_survey(
        self, datagrams: _datagrams.Datagrams
    ) -> _version_survey.VersionSurvey:
        """Return one without a socket or a store, as no stream is resumed."""

        async def refresh(_since: int) -> bool:
            return False

        return _version_survey.VersionSurvey(
            replicas=self._replicas,
            directory=self._directory,
            datagrams=datagrams,
            refresh=refresh,
            clock=self._environment.clock,
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
            limits=_limit_exchange.LimitExchange(
                self._replicas, self._environment.clock
            ),
            request_sync=_table_sync.TableSync(self._suspicions),
            part_sync=_table_sync.TableSync(self._prompt_parts.table),
            relay=_NoRelay(),
            link=_controller_link.ControllerLink(
                self._environment.peer_transport
            ),
            directory=self._directory,
            clock=self._environment.clock,
            instance=str(self.address),
            warm_ups=self._warm_ups,
        )
