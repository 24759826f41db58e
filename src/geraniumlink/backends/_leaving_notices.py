"""Tells peers which backend servers said that they are leaving.

A message is a bounded list of processes. At the first sign it goes to many
peers at once, and those for whom it is news pass it on to a few more. While
the sign stands it goes to one peer at each heartbeat, for those that were
not yet known or could not be reached.
Source: A. Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", PODC 1987.
"""

from __future__ import annotations

import json
import typing

import anyio
from starlette import requests
from starlette import responses
from starlette import routing

from geraniumlink import _logs
from geraniumlink.backends import _backends
from geraniumlink.members import _peer_protocol
from geraniumlink.suspicion import _broadcast
from geraniumlink.suspicion import _suspicions

PATH = "/leaving"
MAX_SERVERS = 64
_PASSED_ON_TO = 3


class Server(typing.NamedTuple):
    """One process of a backend server."""

    address: str
    boot_id: str


class Message(typing.TypedDict):
    """What one instance tells the others."""

    servers: list[list[str]]


class LeavingNotices:
    """Passes the word on, and takes it from peers."""

    def __init__(
        self, backends: _backends.Backends, broadcaster: _broadcast.Broadcaster
    ) -> None:
        self._backends = backends
        self._broadcaster = broadcaster
        self._own: list[Server] = []
        self._heard: list[Server] = []
        self._wake = anyio.Event()
        backends.on_leaving = self._notice

    @property
    def routes(self) -> list[routing.Route]:
        return [routing.Route(PATH, self._receive, methods=["POST"])]

    async def run_gossip(self, interval_ms: int) -> None:
        """Send what is new, and again what still stands, for ever."""
        while True:
            with anyio.move_on_after(interval_ms / 1000):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._send(self._own, _broadcast.MAX_PEERS)
            await self._send(self._heard, _PASSED_ON_TO)
            standing = [
                _process(backend) for backend in self._backends.say_leaving()
            ]
            await self._send(standing[:MAX_SERVERS], 1)

    async def _send(self, servers: list[Server], count: int) -> None:
        while servers:
            batch = servers[:MAX_SERVERS]
            del servers[: len(batch)]
            message = Message(servers=[list(server) for server in batch])
            await self._broadcaster.broadcast(PATH, message, count)

    def _notice(self, backend: _backends.Backend) -> None:
        self._own.append(_process(backend))
        self._wake.set()

    async def _receive(self, request: requests.Request) -> responses.Response:
        try:
            message = json.loads(
                await _peer_protocol.read_bounded_body(request)
            )
            servers = _read(message["servers"])
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_leaving", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        news = [
            server
            for server in servers
            if self._backends.record_peer_notice(*server)
        ]
        if news:
            self._heard += news
            self._wake.set()
        return responses.JSONResponse({})


def _process(backend: _backends.Backend) -> Server:
    boot_id = backend.report.boot_id if backend.report else ""
    return Server(backend.declared.address, boot_id)


def _read(fields: typing.Any) -> list[Server]:
    if not isinstance(fields, list) or len(fields) > MAX_SERVERS:
        raise ValueError(f"not a list of at most {MAX_SERVERS} servers")
    servers = []
    for pair in fields:
        if not isinstance(pair, list) or len(pair) != 2:
            raise ValueError("not an address and a boot id")
        servers.append(Server(*map(_suspicions.check_text, pair)))
    return servers
