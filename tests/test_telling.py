"""A broadcast reaches peers even if the sending process was suspended.

If the sender isn't scheduled for longer than the timeout of a call, all its
calls time out unsent. News of a crash is therefore sent again.
"""

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
    """Blocks the event loop before the first message is sent."""

    def __init__(self, block_ms=0, unreachable=()):
        self._block_ms = block_ms
        self._unreachable = unreachable
        self.sent = []

    async def post_json(self, peer, _path, _message, *, timeout_ms):
        await anyio.sleep(0)
        block_ms, self._block_ms = self._block_ms, 0
        time.sleep(block_ms / 1000)
        # A real client waits here for its connection, and may be cancelled.
        await anyio.sleep(0.001)
        self.sent.append(peer)
        if peer in self._unreachable:
            raise _http.NotSentError("no connection")
        return _http.Response(200, [], b"{}")


def _broadcaster(client):
    return _broadcast.Broadcaster(_Membership(), client, random.Random(1))


async def test_a_blocked_process_sends_to_all_peers_afterwards():
    client = _Client(block_ms=_broadcast.PEER_TIMEOUT_MS + 100)
    answers = await _broadcaster(client).broadcast(
        "/p", {}, attempts=_broadcast.CRASH_NEWS_ATTEMPTS
    )
    assert sorted(client.sent) == _PEERS
    assert len(answers) == len(_PEERS)


async def test_only_peers_that_did_not_answer_are_sent_it_again():
    client = _Client(unreachable=(_PEERS[1],))
    answers = await _broadcaster(client).broadcast(
        "/p", {}, attempts=_broadcast.CRASH_NEWS_ATTEMPTS
    )
    assert client.sent.count(_PEERS[0]) == 1
    assert client.sent.count(_PEERS[1]) == _broadcast.CRASH_NEWS_ATTEMPTS
    assert len(answers) == len(_PEERS) - 1
