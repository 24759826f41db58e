"""Controls the engines of one deployment, called a shard.

Each step reconciles the ledgers with the latest memory reports, resends the
orders that had no effect, and starts the moves that placement plans. Every
order goes through the same phases: its intent is written to the ledger, the
order is sent, its effect shows in a report, and the intent is retired from
the ledger. docs/design/memory.md has the reasons.
"""

from __future__ import annotations

import collections
import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.configuration import _configuration
from geraniumlink.control import _demand
from geraniumlink.control import _ledger
from geraniumlink.control import _ledger_store
from geraniumlink.control import _load_limiter
from geraniumlink.control import _managed_replica
from geraniumlink.control import _orders
from geraniumlink.control import _placement
from geraniumlink.control import _placement_views
from geraniumlink.control import _reconciliation

# No order is sent until each replica has reported, or until this time has
# passed. Until then copies that exist already might be loaded again.
FIRST_REPORTS_TIMEOUT_MS = 3000
# A longer time between two steps means that this process was paused.
PAUSE_THRESHOLD_MS = 2000
# Wait before a ledger that could not be parsed is read again.
_UNREADABLE_RETRY_MS = 10_000


class SharedDependencies(typing.NamedTuple):
    """What all shards that an instance holds have in common."""

    configuration: _configuration.Configuration
    objects: _objects.ObjectApi
    client: _http.Client
    clock: _clock.Clock
    random_source: random.Random
    metrics: _metrics.Metrics
    # Interval between two steps, and mean interval between report polls.
    report_ms: int


class _ReplicaTask(typing.NamedTuple):
    """A replica, and the scope that cancels its report polling."""

    replica: _managed_replica.ManagedReplica
    scope: anyio.CancelScope


class Shard:
    """Controls one deployment while its lease is held."""

    def __init__(
        self,
        dependencies: SharedDependencies,
        identity: _managed_replica.LeaseIdentity,
    ) -> None:
        self._dependencies = dependencies
        self._identity = identity
        self._replica_tasks: dict[str, _ReplicaTask] = {}
        self._limiter = _load_limiter.LoadLimiter(dependencies.clock.now())
        self._demand = _demand.DemandEstimate()
        self._started_at = dependencies.clock.now()
        self._last_step_at = dependencies.clock.now()
        self._claim_retry_at: dict[str, int] = {}

    async def run(self) -> None:
        """Run steps until the deployment is retired.

        :raises _ledger_store.ShardLostError: if another instance has
            written a ledger of the shard.
        """
        async with anyio.create_task_group() as group:
            while True:
                entry = self._dependencies.configuration.get(
                    self._identity.deployment
                )
                if entry is None or entry.deployment is None:
                    break
                self._update_replicas(entry.deployment, group)
                try:
                    await self._step(entry.deployment, group)
                except _objects.UnavailableError as error:
                    _logs.event(
                        "step_not_finished",
                        deployment=self._identity.deployment,
                        error=str(error),
                    )
                except _ledger_store.LateWriteError as moved:
                    # The ledger was updated to that write; the next step
                    # starts from it.
                    _logs.event("late_write_recognised", replica=str(moved))
                await self._dependencies.clock.sleep(
                    self._dependencies.report_ms
                )
            group.cancel_scope.cancel()

    def _update_replicas(
        self, deployment: pb.Deployment, group: anyio.abc.TaskGroup
    ) -> None:
        """Apply the declaration: add, change and remove replicas.

        A replica whose address changed starts afresh, without a report.
        """
        declared = {replica.name: replica for replica in deployment.replicas}
        for name, task in list(self._replica_tasks.items()):
            new_declaration = declared.get(name)
            current = task.replica.declared
            if (
                new_declaration is None
                or new_declaration.address != current.address
            ):
                task.scope.cancel()
                del self._replica_tasks[name]
        for name, replica in declared.items():
            if name in self._replica_tasks:
                self._replica_tasks[name].replica.declared = replica
                continue
            held = _managed_replica.ManagedReplica(
                self._identity,
                replica,
                self._dependencies.objects,
                self._dependencies.client,
                self._dependencies.clock,
                self._dependencies.random_source,
                self._dependencies.metrics,
            )
            scope = anyio.CancelScope()
            self._replica_tasks[name] = _ReplicaTask(held, scope)
            group.start_soon(self._poll_reports, held, scope)

    async def _poll_reports(
        self,
        replica: _managed_replica.ManagedReplica,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            await replica.poll_reports(self._dependencies.report_ms)

    async def _step(
        self, deployment: pb.Deployment, group: anyio.abc.TaskGroup
    ) -> None:
        self._detect_pause()
        rules = _reconciliation.LateOrderRules(
            deployment.order_rules.engines_check_fencing,
            deployment.order_rules.order_lateness_bound_ms,
        )
        for replica in self._replicas():
            await self._claim(replica)
            if replica.claimed:
                await replica.reconcile(rules)
        if not self._copies_known():
            return
        self._limiter.update(
            deployment.load_limits,
            # Loads on engines that are down don't count: they might never
            # end and would use up the limit.
            [
                replica.ledger
                for replica in self._replicas()
                if replica.is_up()
            ],
            self._dependencies.clock.now(),
        )
        await self._resend_orders(rules, group)
        await self._start_moves(deployment, group)

    def _detect_pause(self) -> None:
        """Discard all reports after this process was paused.

        They are old by then, so that each engine would count as down. Moves
        wait for new reports, as at the start.
        """
        now = self._dependencies.clock.now()
        if now - self._last_step_at > PAUSE_THRESHOLD_MS:
            self._started_at = now
            for replica in self._replicas():
                replica.discard_report()
        self._last_step_at = now

    def _replicas(self) -> list[_managed_replica.ManagedReplica]:
        return [task.replica for task in self._replica_tasks.values()]

    async def _claim(self, replica: _managed_replica.ManagedReplica) -> None:
        """Claim the replica's ledger, unless it was unreadable lately."""
        name = replica.declared.name
        now = self._dependencies.clock.now()
        if now < self._claim_retry_at.get(name, 0):
            return
        try:
            await replica.claim()
        except _ledger_store.UnreadableLedgerError:
            # The charge is unknown, so the replica gets no orders.
            self._dependencies.metrics.control_faults.inc({"kind": "ledger"})
            self._claim_retry_at[name] = now + _UNREADABLE_RETRY_MS

    def _copies_known(self) -> bool:
        """Whether the copies that exist already are known.

        Replicas that have not reported in time count as down.
        """
        waited_ms = self._dependencies.clock.now() - self._started_at
        return waited_ms >= FIRST_REPORTS_TIMEOUT_MS or all(
            replica.claimed and replica.has_report
            for replica in self._replicas()
        )

    async def _resend_orders(
        self, rules: _reconciliation.LateOrderRules, group: anyio.abc.TaskGroup
    ) -> None:
        for replica in self._replicas():
            if not replica.claimed:
                continue
            prepared = []
            for entry in replica.entries_to_resend(rules):
                order = await self._write_resend_intent(replica, entry)
                if order is not None:
                    prepared.append(order)
            self._start_sending(replica, prepared, group)

    async def _write_resend_intent(
        self, replica: _managed_replica.ManagedReplica, entry: _ledger.Entry
    ) -> _managed_replica.PreparedOrder | None:
        """Write an order without effect again under a new fencing number.

        Returns None for a load that the rate limit doesn't allow yet.
        """
        action = _orders.Action.UNLOAD
        if entry.state is _ledger.State.LOADING:
            if not self._limiter.try_resend_load(entry.copy):
                return None
            action = _orders.Action.LOAD
        return await replica.write_intent(action, entry.copy, entry.size_mb)

    def _estimate_demand(self) -> dict[str, float]:
        """Return the smoothed number of requests in flight, by model."""
        running: collections.Counter[str] = collections.Counter()
        for replica in self._replicas():
            running.update(replica.running_requests)
        self._demand.add_sample(running, self._dependencies.clock.now())
        return self._demand.mean_in_flight()

    async def _start_moves(
        self, deployment: pb.Deployment, group: anyio.abc.TaskGroup
    ) -> None:
        views = [replica.view() for replica in self._replicas()]
        demand = self._estimate_demand()
        moves = _placement.plan(deployment, views, demand)
        prepared: dict[str, list[_managed_replica.PreparedOrder]] = {}
        try:
            for move in moves:
                order = await self._write_move_intent(deployment, move)
                if order is not None:
                    prepared.setdefault(move.replica, []).append(order)
        finally:
            # Orders with a written intent are sent even if the write of a
            # later intent failed.
            for name, orders in prepared.items():
                self._start_sending(
                    self._replica_tasks[name].replica, orders, group
                )

    async def _write_move_intent(
        self, deployment: pb.Deployment, move: _placement_views.Move
    ) -> _managed_replica.PreparedOrder | None:
        """Write the intent of a move; None if it may not start now."""
        replica = self._replica_tasks[move.replica].replica
        if replica.is_sending or not replica.claimed or not replica.is_up():
            return None
        match move.action:
            case _placement_views.Action.LOAD:
                if not self._limiter.try_start_load(move.copy):
                    return None
                action = _orders.Action.LOAD
            case _placement_views.Action.UNLOAD:
                if self._is_last_copy(deployment, move):
                    return None
                action = _orders.Action.UNLOAD
        try:
            return await replica.write_intent(action, move.copy, move.size_mb)
        except _ledger_store.OverchargeError as error:
            _logs.event("overcharge_refused", error=str(error))
            return None

    def _is_last_copy(
        self, deployment: pb.Deployment, move: _placement_views.Move
    ) -> bool:
        """Whether unloading would remove the last copy that can serve.

        Any version counts as another copy, if ledger and report agree that
        it is resident. Copies that aren't declared may always go.
        """
        if not _is_declared(deployment, move.copy):
            return False
        return not any(
            replica.is_usable() and replica.has_confirmed(entry.copy)
            for replica in self._replicas()
            for entry in replica.ledger.entries
            if (replica.declared.name, entry.copy) != (move.replica, move.copy)
            and _same_model_and_adapter(entry.copy, move.copy)
        )

    def _start_sending(
        self,
        replica: _managed_replica.ManagedReplica,
        prepared: list[_managed_replica.PreparedOrder],
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Send prepared orders in the background."""
        if prepared:
            group.start_soon(replica.send, prepared)


def _is_declared(deployment: pb.Deployment, copy: _ledger.Copy) -> bool:
    """Whether the model or adapter is declared, in whatever version."""
    if copy.adapter:
        return any(
            adapter.model == copy.model and adapter.name == copy.adapter
            for adapter in deployment.adapters
        )
    return any(model.name == copy.model for model in deployment.models)


def _same_model_and_adapter(one: _ledger.Copy, other: _ledger.Copy) -> bool:
    return (one.model, one.adapter) == (other.model, other.adapter)
