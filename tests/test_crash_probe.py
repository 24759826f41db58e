"""After a broken connection the server is probed until its state is known.

A process that is exiting may time out, reset the connection or answer with
an error before it refuses connections. None of these rules out a crash.
"""

import random

import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _metrics
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.backends import _backends
from geraniumlink.backends import _engines
from geraniumlink.suspicion import _crash_suspects
from geraniumlink.suspicion import _suspicions

pytestmark = pytest.mark.anyio


class _Client:
    """Raises the next of the given exceptions for each request."""

    def __init__(self, failures):
        self._failures = list(failures)

    async def request(self, *_args, **_options):
        raise self._failures.pop(0)


class _Broadcaster:
    own_name = "i1"

    def is_alive(self, _name):
        return True

    async def broadcast(self, *_args, **_options):
        return []


def _make_suspects(failures):
    return _crash_suspects.CrashSuspects(
        _Client(failures), _clock.Clock(), _Broadcaster(), _metrics.Metrics()
    )


def _backend():
    key = _backends.Key("assistant", "r1")
    return _backends.Backend(key, pb.Replica(address="127.0.0.1:9"))


@pytest.mark.parametrize(
    "first",
    (
        _http.NotSentError("timed out"),
        _engines.BadReportError("status 503"),
        _http.BrokenError("reset"),
    ),
    ids=("connection times out", "no report", "reset"),
)
async def test_a_server_that_exits_slowly_counts_as_crashed(first):
    suspects = _make_suspects([first, _http.NoListenerError("refused")])
    fingerprint = _suspicions.compute_fingerprint(
        "a prompt", str(random.Random(1).random())
    )
    run = suspects.start_run(fingerprint, _backend())
    assert await suspects.check_crash(run)
    assert suspects.standing(fingerprint) is _suspicions.Standing.SUSPECT
