"""Instances learn from the loads that replicas state with responses."""

import pytest

from tests import hosts

pytestmark = pytest.mark.anyio

_WORK_MS = 80
_PERCENT = 160


async def test_the_time_of_calls_is_assumed_where_replicas_state_theirs(fleet):
    site = await hosts.Site(fleet).start(replicas=2)
    instance = site.instances[0]
    for name in site.replicas:
        await site.faults(name, work_ms=_WORK_MS, service_time=_PERCENT)
    for _ in range(8):
        answer = await hosts.send_request(instance.port, "/once/x")
        assert answer.status == 200
    first, *_, last = hosts.find_log_lines(instance, "attempt")
    assert first["service_time_percent"] is first["call_ms"] is None
    assert last["service_time_percent"] == _PERCENT
    assert last["smoothed_percent"] == pytest.approx(_PERCENT, abs=5)
    assert last["call_ms"] >= _WORK_MS * 100 / _PERCENT - 5
    assert last["expected_ms"] >= _WORK_MS - 10
    assert last["kv_tokens"] == 0


async def test_calls_wait_in_the_queue_of_a_replica_beyond_their_time(fleet):
    """They are refused at once, and their clients told when to retry."""
    site = await hosts.Site(fleet).start(replicas=1)
    instance = site.instances[0]
    await site.faults("r-1", work_ms=600, service_time=100)
    for _ in range(3):
        answer = await hosts.send_request(instance.port, "/once/x")
        assert answer.status == 200
    answer = await hosts.send_request(
        instance.port, "/once/x", X_Deadline_Ms="300"
    )
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert len((await site.runs())["r-1"]) == 3
