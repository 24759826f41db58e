"""Idempotency keys: their syntax, their age, and the removal of claims."""

import time

import hypothesis
from hypothesis import strategies
import pytest

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _objects
from geraniumlink.once import _claim_janitor
from geraniumlink.once import _claims
from geraniumlink.once import _keys
from geraniumlink.requests import _refusals

NOW_MS = 1_700_000_000_000
times = strategies.integers(0, 2 * NOW_MS)
# Two instances' clocks differ by at most MAX_CLOCK_DIFFERENCE_MS.
clock_errors = strategies.integers(
    -_keys.MAX_CLOCK_DIFFERENCE_MS // 2, _keys.MAX_CLOCK_DIFFERENCE_MS // 2
)


@pytest.mark.parametrize(
    "text",
    ["", "12345678", "1-short", "x-12345678", "1-1234567 ", "١-12345678"],
)
def test_a_malformed_key_is_a_finding(text):
    findings = _findings.Findings()
    assert _keys.parse_key(text, findings) is None
    assert [found.place for found in findings.all()] == ["idempotency_key"]


def test_a_key_carries_its_time_of_issue():
    findings = _findings.Findings()
    key = _keys.parse_key(f"{NOW_MS}-shop-1_A", findings)
    assert key == _keys.Key(f"{NOW_MS}-shop-1_A", NOW_MS)
    assert _keys.check_age(key, NOW_MS + _keys.KEY_LIFETIME_MS) is None
    assert _keys.check_age(key, NOW_MS - _keys.MAX_AHEAD_MS) is None


def test_an_expired_key_is_refused_as_may_have_run():
    key = _keys.Key("old", NOW_MS)
    refusal = _keys.check_age(key, NOW_MS + _keys.KEY_LIFETIME_MS + 1)
    assert refusal.execution is _refusals.Execution.MAY_HAVE_RUN


@hypothesis.given(times, times, clock_errors, clock_errors)
def test_a_key_refused_as_not_run_is_accepted_by_no_instance(
    issued_ms, now_ms, one_error, other_error
):
    key = _keys.Key("any", issued_ms)
    refusal = _keys.check_age(key, now_ms + one_error)
    if refusal and refusal.execution is _refusals.Execution.NOT_RUN:
        assert _keys.check_age(key, now_ms + other_error) is not None


@hypothesis.given(times, times, clock_errors, clock_errors)
def test_a_claim_is_removed_only_when_every_instance_refuses_its_key(
    issued_ms, age_ms, one_error, other_error
):
    key = _keys.Key("any", issued_ms)
    now_ms = issued_ms + age_ms
    if now_ms + one_error >= _claim_janitor.removal_due_ms(issued_ms):
        assert _keys.check_age(key, now_ms + other_error) is not None


@pytest.mark.anyio
async def test_a_sweep_removes_all_claims_and_continues_after_conflicts():
    objects = Objects()
    janitor = _claim_janitor.Janitor(objects, _clock.ManualClock(), None)
    assert await janitor.sweep(_claims.object_kind(NOW_MS))
    assert objects.removed == [("a", 3), ("b", 4)]


@pytest.mark.anyio
async def test_an_instance_removes_expired_claims_and_no_others(fleet):
    await fleet.ready()
    wall_ms = time.time_ns() // 1_000_000
    kept_ms = _keys.CLAIM_LIFETIME_MS + _claim_janitor.LOOKBACK_MS
    # The first sweep is of the oldest minute in the lookback, which is one of
    # these three, depending on when the instance starts.
    expired = [
        wall_ms - kept_ms + n * _claims.KIND_PERIOD_MS for n in range(3)
    ]
    for issued_ms in [*expired, wall_ms]:
        path = f"/objects/{_claims.object_kind(issued_ms)}/c?if_version=0"
        await fleet.post(fleet.object_api, path, {}, "PUT")
    fleet.instance()

    async def removed():
        record = await fleet.record(fleet.object_api)
        history = record["history"]
        return [one["kind"] for one in history if one["value"] is None]

    await fleet.until(removed, "a claim is removed")
    kinds = {_claims.object_kind(issued_ms) for issued_ms in expired}
    assert set(await removed()) <= kinds


class Objects:
    """An object API with two claims; removing the first is a conflict."""

    def __init__(self):
        self.removed = []

    async def list(self, kind):
        entries = [
            _objects.Object(kind, "a", 3, {}),
            _objects.Object(kind, "b", 4, {}),
            _objects.Object(kind, "gone", 5, None),
        ]
        return _objects.Listing(5, entries)

    async def delete(self, kind, name, if_version):
        self.removed.append((name, if_version))
        if name == "a":
            raise _objects.ConflictError(_objects.Object(kind, name, 9, None))
