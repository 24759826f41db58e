"""The work of a shard's holder: one deployment's engines.

Each step settles the ledgers with the latest reports, sends again what was
lost, and begins the moves that placement wants. Every order follows the
same way: the intent is written, the order is sent, its effect is observed,
and the intent is retired. docs/design/memory.md has the reasons.
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
from geraniumlink.control import _budgets
from geraniumlink.control import _demand
from geraniumlink.control import _held_replica
from geraniumlink.control import _ledger
from geraniumlink.control import _ledger_store
from geraniumlink.control import _orders
from geraniumlink.control import _placement
from geraniumlink.control import _placement_views
from geraniumlink.control import _reconciliation

# Moves wait this long for the first report of each replica.
FIRST_REPORTS_MS = 3000
# A step that comes this long after the last one follows a pause.
PAUSE_MS = 2000
_UNREADABLE_RETRY_MS = 10_000


class Parts(typing.NamedTuple):
    """What the holders of all shards of an instance share."""

    configuration: _configuration.Configuration
    objects: _objects.ObjectApi
    client: _http.Client
    clock: _clock.Clock
    random_source: random.Random
    metrics: _metrics.Metrics
    report_ms: int


class _Watched(typing.NamedTuple):
    replica: _held_replica.HeldReplica
    scope: anyio.CancelScope


class Shard:
    """Runs one shard while its lease is held."""

    def __init__(self, parts: Parts, names: _held_replica.Names) -> None:
        self._parts = parts
        self._names = names
        self._watched: dict[str, _Watched] = {}
        self._budget = _budgets.Budget(parts.clock.now())
        self._demand = _demand.DemandEstimate()
        self._started_at = parts.clock.now()
        self._stepped_at = parts.clock.now()
        self._unreadable_until: dict[str, int] = {}

    async def run(self) -> None:
        """Work until the deployment is retired.

        :raises _ledger_store.LostShardError: if another instance works on
            the shard.
        """
        async with anyio.create_task_group() as group:
            while True:
                entry = self._parts.configuration.get(self._names.deployment)
                if entry is None or entry.deployment is None:
                    break
                self._keep_replicas(entry.deployment, group)
                try:
                    await self._step(entry.deployment, group)
                except _objects.UnavailableError as error:
                    _logs.event(
                        "step_not_finished",
                        deployment=self._names.deployment,
                        error=str(error),
                    )
                except _ledger_store.MovedError as moved:
                    # The ledger is known again: decide from it.
                    _logs.event("late_write_recognised", replica=str(moved))
                await self._parts.clock.sleep(self._parts.report_ms)
            group.cancel_scope.cancel()

    def _keep_replicas(
        self, deployment: pb.Deployment, group: anyio.abc.TaskGroup
    ) -> None:
        """Follow the declaration: new, changed and removed replicas."""
        declared = {replica.name: replica for replica in deployment.replicas}
        for name, watched in list(self._watched.items()):
            wanted = declared.get(name)
            current = watched.replica.declared
            if wanted is None or wanted.address != current.address:
                watched.scope.cancel()
                del self._watched[name]
        for name, replica in declared.items():
            if name in self._watched:
                self._watched[name].replica.declared = replica
                continue
            held = _held_replica.HeldReplica(
                self._names,
                replica,
                self._parts.objects,
                self._parts.client,
                self._parts.clock,
                self._parts.random_source,
                self._parts.metrics,
            )
            scope = anyio.CancelScope()
            self._watched[name] = _Watched(held, scope)
            group.start_soon(self._observe, held, scope)

    async def _observe(
        self, replica: _held_replica.HeldReplica, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await replica.observe(self._parts.report_ms)

    async def _step(
        self, deployment: pb.Deployment, group: anyio.abc.TaskGroup
    ) -> None:
        self._notice_pause()
        rules = _reconciliation.LateOrderRules(
            deployment.order_rules.engines_check_fencing,
            deployment.order_rules.order_lateness_bound_ms,
        )
        for replica in self._replicas():
            await self._claim(replica)
            if replica.claimed:
                await replica.reconcile(rules)
        if not self._complete():
            return
        self._budget.update(
            deployment.load_limits,
            # A load on an engine that is down would keep its place for ever.
            [replica.ledger for replica in self._replicas() if replica.up()],
            self._parts.clock.now(),
        )
        await self._send_again(rules, group)
        await self._move(deployment, group)

    def _notice_pause(self) -> None:
        """Wait for new reports after this process was paused.

        Until then each engine would seem to be down, for want of a report.
        """
        now = self._parts.clock.now()
        if now - self._stepped_at > PAUSE_MS:
            self._started_at = now
            for replica in self._replicas():
                replica.forget_report()
        self._stepped_at = now

    def _replicas(self) -> list[_held_replica.HeldReplica]:
        return [watched.replica for watched in self._watched.values()]

    async def _claim(self, replica: _held_replica.HeldReplica) -> None:
        name = replica.declared.name
        now = self._parts.clock.now()
        if now < self._unreadable_until.get(name, 0):
            return
        try:
            await replica.claim()
        except _ledger_store.UnreadableError:
            # Its charge is unknown, so no order is sent to it.
            self._parts.metrics.control_faults.inc({"kind": "ledger"})
            self._unreadable_until[name] = now + _UNREADABLE_RETRY_MS

    def _complete(self) -> bool:
        """Whether it is known which copies there are already."""
        waited_ms = self._parts.clock.now() - self._started_at
        return waited_ms >= FIRST_REPORTS_MS or all(
            replica.claimed and replica.reported
            for replica in self._replicas()
        )

    async def _send_again(
        self, rules: _reconciliation.LateOrderRules, group: anyio.abc.TaskGroup
    ) -> None:
        for replica in self._replicas():
            if not replica.claimed:
                continue
            prepared = []
            for entry in replica.due(rules):
                order = await self._intend_again(replica, entry)
                if order is not None:
                    prepared.append(order)
            self._send(replica, prepared, group)

    async def _intend_again(
        self, replica: _held_replica.HeldReplica, entry: _ledger.Entry
    ) -> _held_replica.PreparedOrder | None:
        """Give an order that shows no effect a new number."""
        action = _orders.Action.UNLOAD
        if entry.state is _ledger.State.LOADING:
            if not self._budget.grant_again(entry.copy):
                return None
            action = _orders.Action.LOAD
        return await replica.intend(action, entry.copy, entry.size_mb)

    def _estimate_demand(self) -> dict[str, float]:
        running: collections.Counter[str] = collections.Counter()
        for replica in self._replicas():
            running.update(replica.running)
        self._demand.update(running, self._parts.clock.now())
        return self._demand.values()

    async def _move(
        self, deployment: pb.Deployment, group: anyio.abc.TaskGroup
    ) -> None:
        views = [replica.view() for replica in self._replicas()]
        demand = self._estimate_demand()
        moves = _placement.plan(deployment, views, demand)
        prepared: dict[str, list[_held_replica.PreparedOrder]] = {}
        try:
            for move in moves:
                order = await self._begin(deployment, move)
                if order is not None:
                    prepared.setdefault(move.replica, []).append(order)
        finally:
            # What is written is sent, also when a later write failed.
            for name, orders in prepared.items():
                self._send(self._watched[name].replica, orders, group)

    async def _begin(
        self, deployment: pb.Deployment, move: _placement_views.Move
    ) -> _held_replica.PreparedOrder | None:
        replica = self._watched[move.replica].replica
        if replica.busy or not replica.claimed or not replica.up():
            return None
        match move.action:
            case _placement_views.Action.LOAD:
                if not self._budget.grant(move.copy):
                    return None
                action = _orders.Action.LOAD
            case _placement_views.Action.UNLOAD:
                if self._is_last(deployment, move):
                    return None
                action = _orders.Action.UNLOAD
        try:
            return await replica.intend(action, move.copy, move.size_mb)
        except _ledger_store.OverchargeError as error:
            _logs.event("overcharge_refused", error=str(error))
            return None

    def _is_last(
        self, deployment: pb.Deployment, move: _placement_views.Move
    ) -> bool:
        """Whether nothing else that is confirmed holds what is declared."""
        if not _is_declared(deployment, move.copy):
            return False
        return not any(
            replica.usable() and replica.confirms(entry.copy)
            for replica in self._replicas()
            for entry in replica.ledger.entries
            if (replica.declared.name, entry.copy) != (move.replica, move.copy)
            and _same_name(entry.copy, move.copy)
        )

    def _send(
        self,
        replica: _held_replica.HeldReplica,
        prepared: list[_held_replica.PreparedOrder],
        group: anyio.abc.TaskGroup,
    ) -> None:
        if prepared:
            group.start_soon(replica.send, prepared)


def _is_declared(deployment: pb.Deployment, copy: _ledger.Copy) -> bool:
    if copy.adapter:
        return any(
            adapter.model == copy.model and adapter.name == copy.adapter
            for adapter in deployment.adapters
        )
    return any(model.name == copy.model for model in deployment.models)


def _same_name(one: _ledger.Copy, other: _ledger.Copy) -> bool:
    return (one.model, one.adapter) == (other.model, other.adapter)
