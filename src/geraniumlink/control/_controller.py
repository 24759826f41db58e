"""Contends for the leases of shards and controls the shards it holds.

Each deployment of model engines is a shard. Any instance can hold any
shard, but only a few candidates, chosen by rendezvous hashing, read its
lease. The calls to the object API therefore grow with the number of shards
and not with the number of instances.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import contextlib
import random

import anyio
import anyio.abc

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings
from geraniumlink.configuration import _configuration
from geraniumlink.control import _leases
from geraniumlink.control import _ledger_store
from geraniumlink.control import _managed_replica
from geraniumlink.control import _shard

# Limits the release of a lease at shutdown; a lease that isn't released
# expires by itself.
_RELEASE_TIMEOUT_MS = 1000


class Controller:
    """Runs the shards whose leases this instance holds."""

    def __init__(
        self,
        settings: _settings.Settings,
        configuration: _configuration.Configuration,
        objects: _objects.ObjectApi,
        live_instances: Callable[[], Iterable[str]],
        client: _http.Client,
        clock: _clock.Clock,
        random_source: random.Random,
        metrics: _metrics.Metrics,
    ) -> None:
        self._name = settings.name
        self._clock = clock
        self._live_instances = live_instances
        self._configuration = configuration
        self._leases = _leases.Leases(
            objects, settings.name, settings.lease_ms, clock, random_source
        )
        self._random = random_source
        self._dependencies = _shard.SharedDependencies(
            configuration,
            objects,
            client,
            clock,
            random_source,
            metrics,
            settings.report_ms,
        )
        # Shards with a running ``_contend`` task.
        self._contended_shards: set[str] = set()
        # Cancels the work on each shard that is held.
        self._work_scopes: dict[str, anyio.CancelScope] = {}
        self._stopping = False

    async def run(self) -> None:
        """Contend for leases and control shards until ``stop`` is called."""
        self._contended_shards.clear()
        async with anyio.create_task_group() as group:
            while not self._stopping:
                for shard in self._candidate_shards():
                    if shard not in self._contended_shards:
                        self._contended_shards.add(shard)
                        group.start_soon(self._contend, shard)
                await self._clock.sleep(self._dependencies.report_ms)

    def stop(self) -> None:
        """Stop all work, release every lease and take no more."""
        self._stopping = True
        for scope in self._work_scopes.values():
            scope.cancel()

    def _candidate_shards(self) -> list[str]:
        """Return the shards for which this instance is a candidate."""
        instances = [*self._live_instances(), self._name]
        return [
            deployment.name
            for deployment in self._configuration.deployments()
            if deployment.kind == pb.Kind.MODEL_ENGINE
            and self._name in _leases.candidates(deployment.name, instances)
        ]

    async def _contend(self, shard: str) -> None:
        """Try to take one lease at intervals; control the shard when held.

        The interval is about half of the lease's duration, with jitter.
        """
        # Whether the lease may have been taken without an answer.
        is_unsettled = False
        try:
            while not self._stopping and shard in self._candidate_shards():
                is_unsettled = True
                held = None
                with contextlib.suppress(_objects.UnavailableError):
                    held = await self._leases.try_take(shard)
                    is_unsettled = False
                if held is not None:
                    await self._hold(held)
                jitter = self._random.uniform(0.4, 0.6)
                await self._clock.sleep(self._leases.duration_ms * jitter)
        finally:
            if is_unsettled:
                with _released_in_time():
                    await self._leases.release_own(shard)
            self._contended_shards.discard(shard)

    async def _hold(self, held: _leases.HeldLease) -> None:
        """Control a shard until its lease is lost or this instance stops."""
        renewal = _LeaseRenewal(self._leases, held, self._clock)
        identity = _managed_replica.LeaseIdentity(
            held.shard, self._name, held.lease.epoch
        )
        shard = _shard.Shard(self._dependencies, identity)
        try:
            async with anyio.create_task_group() as group:
                self._work_scopes[held.shard] = group.cancel_scope
                if self._stopping:
                    group.cancel_scope.cancel()
                group.start_soon(renewal.renew, group.cancel_scope)
                await shard.run()
                group.cancel_scope.cancel()
        except* _ledger_store.ShardLostError as lost:
            _logs.event("shard_lost", deployment=held.shard, error=str(lost))
        finally:
            del self._work_scopes[held.shard]
            with _released_in_time():
                await renewal.release()


def _released_in_time() -> anyio.CancelScope:
    """Return a scope for the release of a lease, also after cancellation."""
    return anyio.move_on_after(_RELEASE_TIMEOUT_MS / 1000, shield=True)


class _LeaseRenewal:
    """Renews one lease while the work on its shard goes on."""

    def __init__(
        self,
        leases: _leases.Leases,
        held: _leases.HeldLease,
        clock: _clock.Clock,
    ) -> None:
        self._leases = leases
        self._held = held
        self._clock = clock
        self._lost = False

    async def renew(self, work: anyio.CancelScope) -> None:
        """Renew at a third of the duration; cancel the work on a loss.

        The lease counts as lost when another instance has taken it, or when
        no renewal that began within its duration has succeeded.
        """
        renewed_at = self._clock.now()
        while True:
            await self._clock.sleep(self._leases.duration_ms / 3)
            began_at = self._clock.now()
            try:
                self._held = await self._leases.renew(self._held)
                renewed_at = began_at
            except _leases.LeaseLostError as error:
                self._lost = True
                error.log()
                break
            except _objects.UnavailableError:
                if self._clock.now() - renewed_at > self._leases.duration_ms:
                    _logs.event(
                        "lease_lost",
                        deployment=self._held.shard,
                        epoch=self._held.lease.epoch,
                    )
                    break
        work.cancel()

    async def release(self) -> None:
        """Release the lease, unless another instance has taken it."""
        if not self._lost:
            await self._leases.release(self._held)
