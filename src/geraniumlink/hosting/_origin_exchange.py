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
import typing

import anyio
import anyio.abc
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


class OriginExchange:
    """Keeps the origins of streams, with the help of other instances."""

    def __init__(
        self,
        table: _stream_origins.OriginTable,
        directory: _instance_directory.InstanceDirectory,
        clock: _clock.Clock,
    ) -> None:
        self._table = table
        self._directory = directory
        self._clock = clock
        # None while the socket isn't open.
        self._socket: anyio.abc.UDPSocket | None = None
        # Set when the answer to a question has arrived, by request id.
        self._asked: dict[bytes, anyio.Event] = {}

    @property
    def is_open(self) -> bool:
        """Whether messages of other instances are received."""
        return self._socket is not None

    async def run(self) -> None:
        """Answer other instances for ever.

        :raises OSError: if the socket can't be opened.
        """
        own = _settings.parse_address(self._directory.own_address)
        async with await anyio.create_udp_socket(
            local_host=own.host, local_port=own.port
        ) as socket:
            self._socket = socket
            try:
                async for data, (host, port) in socket:
                    await self._handle(data, _settings.Address(host, port))
            finally:
                self._socket = None

    async def record(
        self, request_id: bytes, origin: _stream_origins.Origin
    ) -> None:
        """Remember how a stream began here, and tell some instances."""
        if len(request_id) > MAX_ID_BYTES:
            return
        self._table.record(request_id, origin)
        message = ["origin", request_id.decode("latin-1"), *origin]
        await self._send(self._holders(request_id), message)

    async def find(self, request_id: bytes) -> _stream_origins.Origin | None:
        """Return how a stream began; None if no instance says so in time."""
        if len(request_id) > MAX_ID_BYTES:
            return None
        origin = self._table.get(request_id)
        if origin is not None or not self._directory.others:
            return origin
        answered = self._asked.setdefault(request_id, anyio.Event())
        message = ["query", request_id.decode("latin-1")]
        targets = self._holders(request_id)
        try:
            for wait_ms in QUERY_WAITS_MS:
                await self._send(targets, message)
                with anyio.move_on_after(wait_ms / 1000):
                    await answered.wait()
                    break
                targets = self._directory.others
        finally:
            if self._asked.get(request_id) is answered:
                del self._asked[request_id]
        return self._table.get(request_id)

    def _holders(self, request_id: bytes) -> list[str]:
        """Return the instances that should have a copy of an origin."""
        return sorted(
            self._directory.others,
            key=lambda address: hashlib.blake2b(
                address.encode(), key=request_id[:64], digest_size=8
            ).digest(),
        )[:COPIES]

    async def _handle(self, data: bytes, sender: _settings.Address) -> None:
        """Store what another instance tells, or answer its question."""
        try:
            match orjson.loads(data):
                case ["origin", str(name), str(service), str(version)]:
                    request_id = name.encode("latin-1")
                    self._table.record(
                        request_id, _stream_origins.Origin(service, version)
                    )
                    if request_id in self._asked:
                        self._asked[request_id].set()
                case ["query", str(name)]:
                    origin = self._table.get(name.encode("latin-1"))
                    if origin is not None:
                        await self._send(
                            [str(sender)], ["origin", name, *origin]
                        )
                case _:
                    raise ValueError("unknown message")
        except ValueError as error:
            _logs.event("bad_datagram", peer=str(sender), error=str(error))

    async def _send(
        self, addresses: list[str], message: list[typing.Any]
    ) -> None:
        """Send a datagram to each address, without waiting for answers."""
        if self._socket is None:
            return
        data = orjson.dumps(message)
        for text in addresses:
            address = _settings.parse_address(text)
            try:
                await self._socket.sendto(data, address.host, address.port)
            except (OSError, anyio.ClosedResourceError) as error:
                _logs.event("peer_not_told", peer=text, error=str(error))
