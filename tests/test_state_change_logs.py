"""Each change of an instance's view of others is logged exactly once."""

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


def _message_types(log_lines):
    return [line["message_type"] for line in log_lines]


def test_pause_and_its_end_are_logged_once(log_lines):
    replica = _replicas.Replica(builders.replica_entry("r-1"))
    replica.note_unreachable(0, "refused")
    replica.note_unreachable(1, "refused")
    replica.note_unreachable(replica.paused_until, "silent")
    replica.note_activity(5000)
    replica.note_activity(5001)
    assert _message_types(log_lines) == [
        "replica_paused",
        "replica_paused",
        "replica_trusted",
    ]
    assert [line.get("reason") for line in log_lines[:2]] == [
        "refused",
        "silent",
    ]
    assert log_lines[1]["pause_ms"] > log_lines[0]["pause_ms"]


def test_returned_entry_is_logged(log_lines):
    clock = _clock.ManualClock()
    known = _replicas.Replicas(clock, leaving_bound_ms=3000)
    entry = builders.replica_entry("r-1")
    known.update(entry)
    known.mark_missing("r-1")
    clock.advance(500)
    known.update(entry)
    known.update(entry)
    assert _message_types(log_lines) == [
        "replica_seen",
        "replica_vanished",
        "replica_back",
    ]
    assert log_lines[-1]["missing_ms"] == 500


def _suspicion(clock, *crashes):
    expires_at_ms = clock.wall() + 10_000
    return _suspicions.Suspicion(
        "f", frozenset(crashes), frozenset(), expires_at_ms
    )


def test_suspicion_is_logged_when_its_standing_changes(log_lines):
    clock = _clock.ManualClock()
    suspicions = _suspicions.SuspicionTable(clock)
    for _ in range(2):
        suspicions.merge([_suspicion(clock, _CRASH)])
        suspicions.merge([_suspicion(clock, _CRASH, _OTHER_CRASH)])
    assert [
        (line["message_type"], line["standing"]) for line in log_lines
    ] == [
        ("suspicion_learned", "SUSPECT"),
        ("suspicion_learned", "CONFIRMED"),
    ]


def test_cleared_suspicion_is_logged_once(log_lines):
    suspicions = _suspicions.SuspicionTable(_clock.ManualClock())
    suspicions.clear_crashes("f")
    suspicions.add_crash("f", _CRASH)
    suspicions.clear_crashes("f")
    suspicions.clear_crashes("f")
    assert _message_types(log_lines) == ["suspect_cleared"]


class _Client:
    """An HTTP client that answers 200, or raises ``error`` if it is set."""

    def __init__(self):
        self.error = None

    async def post(self, *args):
        if self.error is not None:
            raise self.error
        return _http.Response(200, [], b"{}")


async def test_controller_changes_of_reachability_are_logged_once(log_lines):
    client = _Client()
    link = _controller_link.ControllerLink(client)
    for error in (None, _http.NotSentError("refused"), TimeoutError(), None):
        client.error = error
        await link.call("127.0.0.1:1", "/path", {})
    assert _message_types(log_lines) == [
        "controller_reached",
        "controller_unreachable",
        "controller_reached",
    ]
    assert log_lines[1]["controller"] == "127.0.0.1:1"
