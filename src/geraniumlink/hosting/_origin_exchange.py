"""Tells other instances how streams began, and asks them for it.

A client may resume a stream at any instance, also after the one that began it
was killed. So each stream's origin is copied to a few other instances, which
its id selects by consistent hashing; an instance that doesn't know an origin
asks these first, and then all. Each message is one datagram, since a stream
must not wait for an instance that doesn't answer. A lost copy leaves the
others; a lost query is repeated. While several software versions serve, the
controller gets each origin, too, and writes it to the store.
Source: D. Karger et al., "Consistent Hashing and Random Trees", STOC 1997.
"""

from __future__ import annotations

import bisect
import hashlib
import typing

import anyio

from geraniumlink import _settings
from geraniumlink.hosting import _datagrams
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _origin_archive
from geraniumlink.serving import _stream_origins

# Instances, besides the one that began a stream, that keep its origin.
COPIES = 3
# How long answers are waited for after each query: the first goes to the
# instances that should have a copy, the others to all.
QUERY_WAITS_MS = (30, 120, 350)
# Longest request id that is copied.
MAX_ID_BYTES = 200


class _Query:
    """A query without an answer yet."""

    def __init__(self) -> None:
        # Set when the origin is known, or no instance knows it.
        self.ended = anyio.Event()
        # Instances that don't know the origin.
        self.denied: set[_settings.Address] = set()


class OriginExchange:
    """Keeps the origins of streams, with the help of other instances."""

    def __init__(
        self,
        table: _stream_origins.OriginTable,
        directory: _instance_directory.InstanceDirectory,
        datagrams: _datagrams.Datagrams,
        archive: _origin_archive.OriginArchive | None = None,
    ) -> None:
        self._table = table
        self._directory = directory
        self._datagrams = datagrams
        # None where nothing is kept in a store.
        self._archive = archive
        datagrams.add_handler(("origin", "unknown", "query"), self._handle)
        # By the request id of the stream.
        self._queries: dict[bytes, _Query] = {}
        # The other instances by the hash of their address, and the list that
        # this was made from.
        self._ring: list[tuple[bytes, str]] = []
        self._ring_of: tuple[str, ...] = ()

    def record(
        self, request_id: bytes, origin: _stream_origins.Origin
    ) -> None:
        """Remember how a stream began here, and tell some instances."""
        if not 0 < len(request_id) <= MAX_ID_BYTES:
            return
        self._table.record(request_id, origin)
        message = ["origin", request_id.decode("latin-1"), *origin]
        targets = set(self._holders(request_id))
        if self._archive is not None and self._archive.is_needed(origin):
            self._archive.record(request_id, origin)
            if self._archive.writer in self._directory.others:
                targets.add(self._archive.writer)
        self._datagrams.send(targets, message)

    async def find(self, request_id: bytes) -> _stream_origins.Origin | None:
        """Return how a stream began; None if no instance says so in time."""
        origin = self._table.get(request_id)
        if origin is None and len(request_id) <= MAX_ID_BYTES:
            await self._ask(request_id)
            origin = self._table.get(request_id)
        return origin

    async def find_archived(
        self, request_id: bytes
    ) -> _stream_origins.Origin | None:
        """Return how a stream began, as the store has it; None if not."""
        if self._archive is None:
            return None
        return await self._archive.find(request_id)

    async def _ask(self, request_id: bytes) -> None:
        """Ask other instances until one knows the origin, or none does."""
        query = self._queries.setdefault(request_id, _Query())
        message = ["query", request_id.decode("latin-1")]
        targets: typing.Iterable[str] = self._holders(request_id)
        try:
            for wait_ms in QUERY_WAITS_MS:
                if len(query.denied) >= len(self._directory.others):
                    return
                self._datagrams.send(targets, message)
                with anyio.move_on_after(wait_ms / 1000):
                    await query.ended.wait()
                    return
                targets = self._directory.others
        finally:
            if self._queries.get(request_id) is query:
                del self._queries[request_id]

    def _holders(self, request_id: bytes) -> list[str]:
        """Return the instances that should have a copy of an origin."""
        others = self._directory.others
        if self._ring_of is not others:
            self._ring_of = others
            self._ring = sorted((_hash(a.encode()), a) for a in others)
        ring = self._ring
        first = bisect.bisect(ring, (_hash(request_id), ""))
        return [
            ring[(first + step) % len(ring)][1]
            for step in range(min(COPIES, len(ring)))
        ]

    def _handle(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Store what another instance tells, or answer its query.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case ["origin", str(name), str(service), str(version)]:
                request_id = name.encode("latin-1")
                origin = _stream_origins.Origin(service, version)
                self._table.record(request_id, origin)
                if self._archive is not None and self._archive.is_needed(
                    origin
                ):
                    self._archive.record(request_id, origin)
                query = self._queries.get(request_id)
                if query is not None:
                    query.ended.set()
            case ["unknown", str(name)]:
                query = self._queries.get(name.encode("latin-1"))
                if query is not None:
                    query.denied.add(sender)
                    if len(query.denied) >= len(self._directory.others):
                        query.ended.set()
            case ["query", str(name)]:
                known = self._table.get(name.encode("latin-1"))
                answer = ["origin", name, *known] if known else None
                self._datagrams.send(
                    [str(sender)], answer or ["unknown", name]
                )
            case _:
                raise ValueError(f"unknown message: {message!r:.60}")


def _hash(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=8).digest()
