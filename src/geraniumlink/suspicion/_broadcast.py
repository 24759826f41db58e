"""Tells peers something at once, outside the heartbeat."""

from __future__ import annotations

import random
import typing

import anyio

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.members import _membership

# Peers told at once; the others learn by exchange with those.
MAX_PEERS = 64
# A peer that has not answered by then is taken to be unreachable.
PEER_TIMEOUT_MS = 400
# News that must not be missed goes again to peers that did not answer: this
# process may itself have had no processor while the time ran out.
CRASH_NEWS_SENDS = 3


class Broadcaster:
    """Sends one message to many peers."""

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
        """Whether an instance has been heard of lately."""
        return any(
            member.name == name and member.state != "suspect"
            for member in self._membership.members()
        )

    async def broadcast(
        self,
        path: str,
        message: typing.Any,
        count: int = MAX_PEERS,
        sends: int = 1,
    ) -> list[typing.Any]:
        """Send to up to ``count`` peers; return the answers that came.

        A peer that does not answer is sent to ``sends`` times in all.
        """
        peers = self._membership.peer_addresses()
        if len(peers) > count:
            peers = self._random.sample(peers, count)
        answers: list[typing.Any] = []
        for _ in range(sends):
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
        """Collect the answers; return the peers that gave none."""
        silent: list[_settings.Address] = []

        async def send(peer: _settings.Address) -> None:
            silent.append(peer)
            with anyio.move_on_after(PEER_TIMEOUT_MS / 1000):
                try:
                    answer = await self._client.post_json(
                        peer, path, message, timeout_ms=PEER_TIMEOUT_MS
                    )
                    silent.remove(peer)
                    if answer.status == 200:
                        answers.append(answer.json())
                except (_http.NotSentError, _http.BrokenError) as error:
                    _logs.event(
                        "peer_not_told", peer=str(peer), error=str(error)
                    )

        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(send, peer)
        return silent
