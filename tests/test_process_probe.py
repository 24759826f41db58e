"""What has become of a silent replica; no network."""

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink.serving import _process_probe
from geraniumlink.serving import _replicas
from tests import builders

_Liveness = _process_probe.Liveness
pytestmark = pytest.mark.anyio


class _Connections:
    """Finds a listener, or fails with the given error."""

    def __init__(self, error):
        self._error = error
        self.probes = 0

    async def check_listener(self, address):
        self.probes += 1
        await anyio.sleep(0)
        if self._error is not None:
            raise self._error


class _Reachability:
    def __init__(self, is_lost):
        self._is_lost = is_lost

    async def check(self, is_certain):
        assert is_certain
        return self._is_lost


class _Probed:
    """A replica, and what the probe of it meets."""

    def __init__(self, error=None, is_path_lost=False):
        self.clock = _clock.ManualClock()
        self.replicas = _replicas.Replicas(self.clock, 2000)
        self.replicas.replace_all([builders.replica_entry("r1")])
        self.replica = self.replicas.get("r1")
        self.connections = _Connections(error)
        self._probe = _process_probe.ProcessProbe(
            self.replicas,
            self.connections,
            _Reachability(is_path_lost),
            self.clock,
        )

    async def run(self):
        return await self._probe.probe(self.replica)

    @property
    def is_paused(self):
        return self.replica.paused_until > self.clock.now()


async def test_a_silent_replica_that_listens_counts_as_ended():
    probed = _Probed()
    assert await probed.run() is _Liveness.MAY_GO_ON
    assert not probed.is_paused


async def test_a_replica_without_a_listener_counts_as_silent():
    probed = _Probed(_http.NoListenerError("refused"))
    assert await probed.run() is _Liveness.ENDED
    assert await probed.run() is _Liveness.ENDED
    assert probed.connections.probes == 1
    assert probed.is_paused


async def test_a_replica_counts_as_ended_because_the_path_to_all_is_lost():
    probed = _Probed(_http.NoListenerError("refused"), is_path_lost=True)
    assert await probed.run() is _Liveness.MAY_GO_ON


async def test_a_replica_that_accepts_no_connection_gets_more_requests():
    probed = _Probed(_http.NotSentError("silent"))
    assert await probed.run() is _Liveness.UNREACHABLE
    assert probed.is_paused


async def test_a_replica_that_was_started_again_counts_as_silent():
    probed = _Probed()
    entry = probed.replica.entry
    probed.replicas.update(entry._replace(started_at=entry.started_at + 1))
    assert await probed.run() is _Liveness.ENDED
    assert not probed.connections.probes


async def test_each_request_probes_the_replica_by_itself():
    probed = _Probed()
    async with anyio.create_task_group() as group:
        for _ in range(64):
            group.start_soon(probed.run)
    assert probed.connections.probes == 1
    probed.clock.advance(_process_probe.PROBE_INTERVAL_MS)
    await probed.run()
    assert probed.connections.probes == 2
