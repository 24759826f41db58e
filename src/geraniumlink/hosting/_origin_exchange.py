"""Tells other instances how streams began, and asks them for it.

A client may resume a stream at any instance, also after the one that began it
was killed. So each stream's origin is copied to a few other instances, which
its id selects (rendezvous hashing); an instance that doesn't know an origin
asks these first, and then all. Each message is one datagram, since a stream
must not wait for an instance that doesn't answer. A lost copy leaves the
others; a lost question is repeated.
Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", IEEE/ACM Transactions on Networking 1998.
"""

from __future__ import annotations

import hashlib
import socket
import typing

import anyio
import orjson

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _stream_origins

# Instances, besides the one that began a stream, that keep its origin. If 6
# of 10 instances are killed at once, 3 copies leave 8 of 10 origins known.
COPIES = 3
# How long answers are waited for after each question: the first goes to the
# instances that should have a copy, the others to all. Answers take some ms;
# an event loop that is busy may need 200.
QUERY_WAITS_MS = (30, 120, 350)
# Longest request id that is copied.
MAX_ID_BYTES = 200
_MAX_DATAGRAM_BYTES = 2048


class _Query:
    """A question that is being asked."""

    def __init__(self) -> None:
        # Set when the origin is known, or no instance knows it.
        self.ended = anyio.Event()
        # Instances that don't know the origin.
        self.denied: set[_settings.Address] = set()


class OriginExchange:
    """Keeps the origins of streams, with the help of other instances.

    Datagrams that the kernel has no room for are dropped, like lost ones.
    """

    def __init__(
        self,
        table: _stream_origins.OriginTable,
        directory: _instance_directory.InstanceDirectory,
        clock: _clock.Clock,
    ) -> None:
        self._table = table
        self._directory = directory
        self._clock = clock
        # None while it isn't open.
        self._socket: socket.socket | None = None
        # By the request id of the stream.
        self._queries: dict[bytes, _Query] = {}

    @property
    def is_open(self) -> bool:
        """Whether messages of other instances are received."""
        return self._socket is not None

    async def run(self) -> None:
        """Answer other instances for ever.

        :raises OSError: if the socket can't be opened.
        """
        own = _settings.parse_address(self._directory.own_address)
        family = socket.AF_INET6 if ":" in own.host else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as opened:
            opened.setblocking(False)
            opened.bind((own.host, own.port))
            self._socket = opened
            try:
                while True:
                    await anyio.wait_readable(opened)
                    self._receive(opened)
            finally:
                self._socket = None

    def record(
        self, request_id: bytes, origin: _stream_origins.Origin
    ) -> None:
        """Remember how a stream began here, and tell some instances."""
        if not 0 < len(request_id) <= MAX_ID_BYTES:
            return
        self._table.record(request_id, origin)
        message = ["origin", request_id.decode("latin-1"), *origin]
        self._send(self._holders(request_id), message)

    async def find(self, request_id: bytes) -> _stream_origins.Origin | None:
        """Return how a stream began; None if no instance says so in time."""
        origin = self._table.get(request_id)
        if origin is None and len(request_id) <= MAX_ID_BYTES:
            await self._ask(request_id)
            origin = self._table.get(request_id)
        return origin

    async def _ask(self, request_id: bytes) -> None:
        """Ask other instances until one knows the origin, or none does."""
        query = self._queries.setdefault(request_id, _Query())
        message = ["query", request_id.decode("latin-1")]
        targets = self._holders(request_id)
        try:
            for wait_ms in QUERY_WAITS_MS:
                if len(query.denied) >= len(self._directory.others):
                    return
                self._send(targets, message)
                with anyio.move_on_after(wait_ms / 1000):
                    await query.ended.wait()
                    return
                targets = self._directory.others
        finally:
            if self._queries.get(request_id) is query:
                del self._queries[request_id]

    def _holders(self, request_id: bytes) -> list[str]:
        """Return the instances that should have a copy of an origin."""
        return sorted(
            self._directory.others,
            key=lambda address: hashlib.blake2b(
                address.encode(), key=request_id[:64], digest_size=8
            ).digest(),
        )[:COPIES]

    def _receive(self, opened: socket.socket) -> None:
        """Handle one datagram."""
        try:
            data, (host, port, *_) = opened.recvfrom(_MAX_DATAGRAM_BYTES)
        except OSError:
            # There is none any more, or it reports that another one was
            # refused.
            return
        sender = _settings.Address(host, port)
        try:
            self._handle(orjson.loads(data), sender)
        except ValueError as error:
            _logs.event("bad_datagram", peer=str(sender), error=str(error))

    def _handle(self, message: typing.Any, sender: _settings.Address) -> None:
        """Store what another instance tells, or answer its question.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case ["origin", str(name), str(service), str(version)]:
                request_id = name.encode("latin-1")
                origin = _stream_origins.Origin(service, version)
                self._table.record(request_id, origin)
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
                self._send([str(sender)], answer or ["unknown", name])
            case _:
                raise ValueError(f"unknown message: {message!r:.60}")

    def _send(self, addresses: list[str], message: list[typing.Any]) -> None:
        """Send a datagram to each address, without waiting for answers."""
        if self._socket is None:
            return
        data = orjson.dumps(message)
        for text in addresses:
            address = _settings.parse_address(text)
            try:
                self._socket.sendto(data, (address.host, address.port))
            except OSError as error:
                _logs.event("peer_not_told", peer=text, error=str(error))
