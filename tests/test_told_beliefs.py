"""Each change of what an instance believes is one log line."""

import eliot
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink.residency import _controller_link
from geraniumlink.serving import _replicas
from geraniumlink.suspicion import _suspicions
from tests import builders

pytestmark = pytest.mark.anyio

_CRASH = _suspicions.ServerProcess("127.0.0.1:1", "boot")
_OTHER_CRASH = _suspicions.ServerProcess("127.0.0.1:2", "boot")


@pytest.fixture
def told():
    """Messages of the lines that were logged, in order."""
    lines = []
    destination = lines.append
    eliot.add_destinations(destination)
    yield lines
    eliot.remove_destination(destination)


def _messages(told):
    return [line["message_type"] for line in told]


def test_a_pause_is_told_once_and_its_end_too(told):
    replica = _replicas.Replica(builders.replica_entry("r-1"))
    replica.note_unreachable(0, "refused")
    replica.note_unreachable(1, "refused")
    replica.note_unreachable(replica.paused_until, "silent")
    replica.note_activity(5000)
    replica.note_activity(5001)
    assert _messages(told) == [
        "replica_paused",
        "replica_paused",
        "replica_trusted",
    ]
    assert [line.get("reason") for line in told[:2]] == ["refused", "silent"]
    assert told[1]["pause_ms"] > told[0]["pause_ms"]


def test_an_entry_that_comes_back_is_told(told):
    clock = _clock.ManualClock()
    known = _replicas.Replicas(clock, leaving_bound_ms=3000)
    entry = builders.replica_entry("r-1")
    known.update(entry)
    known.mark_missing("r-1")
    clock.advance(500)
    known.update(entry)
    known.update(entry)
    assert _messages(told) == [
        "replica_seen",
        "replica_vanished",
        "replica_back",
    ]
    assert told[-1]["missing_ms"] == 500


def _suspicion(clock, *crashes):
    expires_at_ms = clock.wall() + 10_000
    return _suspicions.Suspicion(
        "f", frozenset(crashes), frozenset(), expires_at_ms
    )


def test_news_of_a_suspect_is_told_when_it_changes_something(told):
    clock = _clock.ManualClock()
    suspicions = _suspicions.SuspicionTable(clock)
    for _ in range(2):
        suspicions.merge([_suspicion(clock, _CRASH)])
        suspicions.merge([_suspicion(clock, _CRASH, _OTHER_CRASH)])
    assert [(line["message_type"], line["standing"]) for line in told] == [
        ("suspicion_learned", "SUSPECT"),
        ("suspicion_learned", "CONFIRMED"),
    ]


def test_a_suspect_that_completed_is_told_once(told):
    suspicions = _suspicions.SuspicionTable(_clock.ManualClock())
    suspicions.clear_crashes("f")
    suspicions.add_crash("f", _CRASH)
    suspicions.clear_crashes("f")
    suspicions.clear_crashes("f")
    assert _messages(told) == ["suspect_cleared"]


class _Client:
    """Answers as it is told to."""

    def __init__(self):
        self.error = None

    async def request(self, *args, **kwargs):
        if self.error is not None:
            raise self.error
        return _http.Response(200, [], b"{}")


async def test_a_controller_is_lost_once_and_reached_again(told):
    client = _Client()
    link = _controller_link.ControllerLink(client)
    for error in (None, _http.NotSentError("refused"), TimeoutError(), None):
        client.error = error
        await link.call("127.0.0.1:1", "/path", {})
    assert _messages(told) == [
        "controller_reached",
        "controller_unreachable",
        "controller_reached",
    ]
    assert told[1]["controller"] == "127.0.0.1:1"
