"""News of a crash reaches peers also from a process that was held up."""

import random
import time

import anyio
import pytest

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.suspicion import _broadcast

pytestmark = pytest.mark.anyio

_PEERS = [_settings.Address("127.0.0.1", port) for port in (1, 2, 3)]


class _Membership:
    own_name = "i1"

    def peer_addresses(self):
        return list(_PEERS)


class _Client:
    """Posts; the whole process is held up before the first is sent."""

    def __init__(self, held_up_ms=0, dead=()):
        self._held_up_ms = held_up_ms
        self._dead = dead
        self.sent = []

    async def post_json(self, peer, _path, _message, *, timeout_ms):
        await anyio.sleep(0)
        held_up_ms, self._held_up_ms = self._held_up_ms, 0
        time.sleep(held_up_ms / 1000)
        # Where the connection is opened.
        await anyio.sleep(0.001)
        self.sent.append(peer)
        if peer in self._dead:
            raise _http.NotSentError("no connection")
        return _http.Response(200, [], b"{}")


def _broadcaster(client):
    return _broadcast.Broadcaster(_Membership(), client, random.Random(1))


async def test_a_process_that_was_held_up_tells_everybody_afterwards():
    client = _Client(held_up_ms=_broadcast.PEER_TIMEOUT_MS + 100)
    answers = await _broadcaster(client).broadcast(
        "/p", {}, sends=_broadcast.CRASH_NEWS_SENDS
    )
    assert sorted(client.sent) == _PEERS
    assert len(answers) == len(_PEERS)


async def test_only_peers_that_did_not_answer_are_told_again():
    client = _Client(dead=(_PEERS[1],))
    answers = await _broadcaster(client).broadcast(
        "/p", {}, sends=_broadcast.CRASH_NEWS_SENDS
    )
    assert client.sent.count(_PEERS[0]) == 1
    assert client.sent.count(_PEERS[1]) == _broadcast.CRASH_NEWS_SENDS
    assert len(answers) == len(_PEERS) - 1
