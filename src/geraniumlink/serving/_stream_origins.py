"""Remembers which software version began each recent stream.

Only replicas of that version can continue the stream. A client that resumes
one names the request that it began with, so that is the key.
"""

from __future__ import annotations

import collections
import typing

from geraniumlink import _clock

# How long an origin is kept. A stream is resumed before its client's deadline.
ORIGIN_TTL_MS = 120_000
# Above this number, the oldest origin is dropped.
MAX_ORIGINS = 65_536


class Origin(typing.NamedTuple):
    """The service and the software version that began a stream."""

    service: str
    software_version: str


class Origins(typing.Protocol):
    """Knows how streams began, also at other instances."""

    def record(self, request_id: bytes, origin: Origin) -> None:
        """Remember how the stream of a request began here."""

    async def find(self, request_id: bytes) -> Origin | None:
        """Return how the stream of a request began; None if not known."""

    async def find_archived(self, request_id: bytes) -> Origin | None:
        """Return what was kept of it beyond the memory of all instances."""


class Versions(typing.Protocol):
    """Knows which software versions serve, also to other instances."""

    async def find_sole(self, service: str, window_ms: int) -> str | None:
        """Return the only one that has served in a window; None if not."""


class OriginTable:
    """Origins of streams by the id of the request that each began with."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Each with the time at which it expires, the oldest first.
        self._origins: collections.OrderedDict[bytes, tuple[int, Origin]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, request_id: bytes, origin: Origin) -> None:
        """Remember an origin, in place of one with the same id."""
        self._drop_expired()
        expires_at = self._clock.now() + ORIGIN_TTL_MS
        self._origins.pop(request_id, None)
        self._origins[request_id] = (expires_at, origin)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def get(self, request_id: bytes) -> Origin | None:
        """Return a stream's origin; None if it isn't known or too old."""
        self._drop_expired()
        entry = self._origins.get(request_id)
        return None if entry is None else entry[1]

    def _drop_expired(self) -> None:
        now = self._clock.now()
        while self._origins:
            request_id, (expires_at, _) = next(iter(self._origins.items()))
            if expires_at > now:
                return
            del self._origins[request_id]
