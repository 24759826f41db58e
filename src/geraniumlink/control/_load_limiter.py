"""Limits the concurrency and the rate of loads in a deployment.

The limits protect the store from which engines load weights, and the
engines. Loads in progress are counted from the ledgers, so a new holder of
the shard includes those of the previous one. The rate limit is a token
bucket of size 1 in memory; a new holder starts with an empty one, so a
change of holder never exceeds the rate.
"""

from __future__ import annotations

from collections.abc import Iterable

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger


class LoadLimiter:
    """Admits loads within the load limits of one deployment."""

    def __init__(self, now: int) -> None:
        self._tokens = 0.0
        self._updated_at = now
        self._models_loading = 0
        self._adapters_loading = 0
        self._limits = pb.LoadLimits()

    def update(
        self,
        limits: pb.LoadLimits,
        ledgers: Iterable[_ledger.Ledger],
        now: int,
    ) -> None:
        """Count the loads in progress and refill the token bucket."""
        self._limits = limits
        elapsed_s = (now - self._updated_at) / 1000
        self._updated_at = now
        self._tokens += elapsed_s * limits.loads_per_second
        self._tokens = min(1.0, self._tokens)
        loading = [
            entry
            for ledger in ledgers
            for entry in ledger.entries
            if entry.state is _ledger.State.LOADING
        ]
        self._adapters_loading = sum(
            1 for entry in loading if entry.copy.adapter
        )
        self._models_loading = len(loading) - self._adapters_loading

    def try_start_load(self, copy: _ledger.Copy) -> bool:
        """Return whether a load may start now, and count it if so.

        Adapters have a concurrency limit of their own and no rate limit.
        """
        if copy.adapter:
            if self._adapters_loading >= self._limits.adapters_in_transit:
                return False
            self._adapters_loading += 1
            return True
        if self._models_loading >= self._limits.concurrent_loads:
            return False
        if not self._take_token():
            return False
        self._models_loading += 1
        return True

    def try_resend_load(self, copy: _ledger.Copy) -> bool:
        """Return whether a load may be sent again.

        It is counted as in progress already, so only the rate applies.
        """
        return bool(copy.adapter) or self._take_token()

    def _take_token(self) -> bool:
        """Take a token from the bucket, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
