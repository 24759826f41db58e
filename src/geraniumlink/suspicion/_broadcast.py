"""Sends a message to peers immediately, without waiting for a heartbeat."""

from __future__ import annotations

import random
import typing

import anyio

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.members import _membership

# Peers that one broadcast is sent to. In a larger fleet the others learn
# of it by their own exchanges with these.
MAX_PEERS = 64
# A peer that hasn't answered within this time counts as unreachable.
PEER_TIMEOUT_MS = 400
# How often news of a crash is sent to a peer that doesn't answer. Once is
# not enough: while this process isn't scheduled the timeout may pass before
# anything was sent.
CRASH_NEWS_ATTEMPTS = 3


class Broadcaster:
    """Sends one message to many peers concurrently."""

    def __init__(
        self,
        membership: _membership.Membership,
        client: _http.Client,
        random_source: random.Random,
    ) -> None:
        self._membership = membership
        self._client = client
        self._random = random_source

    @property
    def own_name(self) -> str:
        return self._membership.own_name

    def is_alive(self, name: str) -> bool:
        """Whether membership knows the instance and doesn't suspect it."""
        return any(
            member.name == name and member.state != "suspect"
            for member in self._membership.members()
        )

    async def broadcast(
        self,
        path: str,
        message: typing.Any,
        max_peers: int = MAX_PEERS,
        attempts: int = 1,
    ) -> list[typing.Any]:
        """Send to at most ``max_peers`` peers; return their answers.

        When there are more, they are chosen at random. A peer that doesn't
        answer is sent the message ``attempts`` times in all. Answers with a
        status other than 200 are left out.
        """
        peers = self._membership.peer_addresses()
        if len(peers) > max_peers:
            peers = self._random.sample(peers, max_peers)
        answers: list[typing.Any] = []
        for _ in range(attempts):
            peers = await self._send_to_all(peers, path, message, answers)
            if not peers:
                break
        return answers

    async def _send_to_all(
        self,
        peers: list[_settings.Address],
        path: str,
        message: typing.Any,
        answers: list[typing.Any],
    ) -> list[_settings.Address]:
        """Append the answers; return the peers that didn't answer."""
        unanswered: list[_settings.Address] = []

        async def send(peer: _settings.Address) -> None:
            unanswered.append(peer)
            with anyio.move_on_after(PEER_TIMEOUT_MS / 1000):
                try:
                    answer = await self._client.post_json(
                        peer, path, message, timeout_ms=PEER_TIMEOUT_MS
                    )
                    unanswered.remove(peer)
                    if answer.status == 200:
                        answers.append(answer.json())
                except (_http.NotSentError, _http.BrokenError) as error:
                    _logs.event(
                        "peer_not_told", peer=str(peer), error=str(error)
                    )

        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(send, peer)
        return unanswered
