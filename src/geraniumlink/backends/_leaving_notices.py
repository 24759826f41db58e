"""Spreads notices that backend servers announced that they are leaving.

A notice names processes of servers. It is broadcast to many peers as soon as
a server announces it, and each peer to which it is new forwards it to a few
more. While the server's announcement holds, the notice is also sent to one
peer per heartbeat, to reach peers that were unknown or unreachable before.
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
# Servers in one message.
MAX_SERVERS = 64
# Peers to which a received notice is forwarded.
_FORWARD_FANOUT = 3


class LeavingServer(typing.NamedTuple):
    """The process of a backend server that is leaving."""

    address: str
    boot_id: str


class Message(typing.TypedDict):
    """The processes that are leaving, each as a LeavingServer."""

    servers: list[list[str]]


class LeavingNotices:
    """Sends, receives and forwards notices of leaving servers."""

    def __init__(
        self, backends: _backends.Backends, broadcaster: _broadcast.Broadcaster
    ) -> None:
        self._backends = backends
        self._broadcaster = broadcaster
        self._unsent_own: list[LeavingServer] = []
        self._unsent_received: list[LeavingServer] = []
        self._has_news = anyio.Event()
        backends.on_leaving = self._queue_own

    @property
    def routes(self) -> list[routing.Route]:
        return [routing.Route(PATH, self._handle_message, methods=["POST"])]

    async def run_gossip(self, interval_ms: int) -> None:
        """Send new notices, and repeat those that hold, in a loop."""
        while True:
            with anyio.move_on_after(interval_ms / 1000):
                await self._has_news.wait()
            self._has_news = anyio.Event()
            await self._send(self._unsent_own, _broadcast.MAX_PEERS)
            await self._send(self._unsent_received, _FORWARD_FANOUT)
            still_leaving = [
                _to_leaving_server(backend)
                for backend in self._backends.reporting_leaving()
            ]
            await self._send(still_leaving[:MAX_SERVERS], 1)

    async def _send(
        self, servers: list[LeavingServer], max_peers: int
    ) -> None:
        """Send the servers in batches, and empty the list."""
        while servers:
            batch = servers[:MAX_SERVERS]
            del servers[: len(batch)]
            message = Message(servers=[list(server) for server in batch])
            await self._broadcaster.broadcast(PATH, message, max_peers)

    def _queue_own(self, backend: _backends.Backend) -> None:
        self._unsent_own.append(_to_leaving_server(backend))
        self._has_news.set()

    async def _handle_message(
        self, request: requests.Request
    ) -> responses.Response:
        try:
            message = json.loads(
                await _peer_protocol.read_bounded_body(request)
            )
            servers = _parse_servers(message["servers"])
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_leaving", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        unknown = [
            server
            for server in servers
            if self._backends.record_peer_notice(*server)
        ]
        if unknown:
            self._unsent_received += unknown
            self._has_news.set()
        return responses.JSONResponse({})


def _to_leaving_server(backend: _backends.Backend) -> LeavingServer:
    boot_id = backend.report.boot_id if backend.report else ""
    return LeavingServer(backend.declared.address, boot_id)


def _parse_servers(fields: typing.Any) -> list[LeavingServer]:
    """Parse the servers of a peer's notice.

    :raises ValueError: if there are too many or one is malformed.
    """
    if not isinstance(fields, list) or len(fields) > MAX_SERVERS:
        raise ValueError(f"not a list of at most {MAX_SERVERS} servers")
    servers = []
    for pair in fields:
        if not isinstance(pair, list) or len(pair) != 2:
            raise ValueError("a server is not an address and a boot id")
        servers.append(LeavingServer(*map(_suspicions.check_text, pair)))
    return servers
