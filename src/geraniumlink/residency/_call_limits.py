"""Keeps the controller's own calls within the limits that replicas state.

A limit counts whatever reaches the replica: orders and fetched reports too.
"""

from __future__ import annotations

import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.serving import _permits
from geraniumlink.serving import _replicas

# How long a call waits for its permit. Requests wait longer, so they are not
# kept out by calls.
MAX_DELAY_MS = 300


class CallLimits(typing.Protocol):
    """Decides which calls to replicas may be sent."""

    async def wait(self, replica: str) -> bool:
        """Return whether a call to a replica may be sent, once it may."""


class PermittedCalls:
    """Sends a call to a replica with a limit only with a permit."""

    def __init__(
        self,
        replicas: _replicas.Replicas,
        permits: _permits.Permits,
        clock: _clock.Clock,
    ) -> None:
        self._replicas = replicas
        self._permits = permits
        self._clock = clock

    async def wait(self, replica: str) -> bool:
        """Return whether a call to a replica may be sent, once it may."""
        known = self._replicas.get(replica)
        if known is None:
            return True
        back_off_ms = known.back_off_ms(self._clock.now())
        if back_off_ms:
            _logs.event(
                "call_not_permitted", replica=replica, wait_ms=back_off_ms
            )
            return False
        if known.rate_limit.per_s is None:
            return True
        answer = await self._permits.acquire(known, MAX_DELAY_MS)
        match answer:
            case _permits.Denied(retry_ms):
                _logs.event(
                    "call_not_permitted", replica=replica, wait_ms=retry_ms
                )
                return False
            case _permits.Granted(delay_ms):
                # Calls need no slot.
                self._permits.release(known, is_rejected=False)
                await self._clock.sleep(delay_ms)
        return True
