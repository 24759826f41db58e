"""Exchanges datagrams with other instances, on the port for messages.

A datagram is a JSON list whose first item names its kind. They are for what
must not wait for an instance that doesn't answer; a lost one isn't repeated
here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
import typing

import anyio
import anyio.abc
import orjson

from geraniumlink import _logs
from geraniumlink import _settings

# Handles the items of a message, the first one included.
Handler = Callable[[list[typing.Any], _settings.Address], None]


class Datagrams(asyncio.DatagramProtocol):
    """One instance's socket for datagrams, shared by several parts."""

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        # None while the socket isn't open.
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[str, Handler] = {}

    def add_handler(self, kinds: Iterable[str], handler: Handler) -> None:
        """Have messages of some kinds handled.

        :param handler: raises ValueError if the message is malformed.
        """
        self._handlers.update(dict.fromkeys(kinds, handler))

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receive datagrams for ever; started when it can.

        :raises OSError: if the socket can't be opened.
        """
        own = _settings.parse_address(self._own_address)
        # anyio's sockets allow one sender at a time, and sending waits.
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(own.host, own.port)
        )
        self._transport = transport
        task_status.started()
        try:
            await anyio.sleep_forever()
        finally:
            self._transport = None
            transport.close()

    def send(
        self, addresses: Iterable[str], message: list[typing.Any]
    ) -> None:
        """Send a message to each address, without waiting for answers."""
        if self._transport is None:
            return
        data = orjson.dumps(message)
        for text in addresses:
            host, _, port = text.rpartition(":")
            self._transport.sendto(data, (host.strip("[]"), int(port)))

    # Callback of the transport.
    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        sender = _settings.Address(addr[0], addr[1])
        try:
            match orjson.loads(data):
                case [str(kind), *_] as message if kind in self._handlers:
                    self._handlers[kind](message, sender)
                case message:
                    raise ValueError(f"unknown message: {message!r:.60}")
        except ValueError as error:
            _logs.event("bad_datagram", peer=str(sender), error=str(error))
