"""Requests that replicas reject run elsewhere, and no request too often."""

import hypothesis
from hypothesis import strategies as st
import pytest

from emulator import _virtual_time
from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.serving import _rejections
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from tests import builders
from tests import scripted_replicas

_Reply = scripted_replicas.Reply
_LIMIT = _retry_budgets.RetryLimit(0.2, 20, 10_000)
_REJECTING = [reply for reply in _Reply if reply.is_rejection]


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    replies=st.lists(
        st.sampled_from(_REJECTING) | st.sampled_from(_Reply), max_size=40
    ),
    requests=st.lists(
        st.tuples(
            st.sampled_from(scripted_replicas.ROUTE_KINDS),
            st.sampled_from(("", "m1")),
        ),
        min_size=1,
        max_size=6,
    ),
    replicas=st.integers(1, 6),
    max_attempts=st.integers(1, 3),
    constant=st.integers(0, 30),
    priority=st.integers(0, 2),
)
def test_a_rejected_request_is_refused_or_runs_too_often(
    replies, requests, replicas, max_attempts, constant, priority
):
    limit = _LIMIT._replace(constant=constant)

    async def play(clock):
        site = scripted_replicas.Site(
            clock, list(replies), replicas, max_attempts, limit, priority
        )
        for number, (kind, model) in enumerate(requests):
            request_id = b"%d" % number
            status, headers = await site.send(request_id, kind, model)
            _check_request(site, request_id, kind, max_attempts, status)
            if status == 503:
                assert float(headers[b"retry-after"]) > 0
                assert not site.untried(
                    request_id, model
                ) or not site.budgets.has_retry_left(
                    "s", keeps_reserve=priority > 0
                )
        retries = len(site.log) - len({one for one, _, _ in site.log})
        assert retries <= limit.ratio * len(requests) + limit.constant

    _virtual_time.run(play)


def _check_request(site, request_id, kind, max_attempts, status):
    """Check how often it ran, and that its answer agrees with that."""
    replies = site.replies_to(request_id)
    runs = [reply for reply in replies if not reply.is_rejection]
    assert len(runs) <= (1 if kind != "safe" else max_attempts)
    if status == 503:
        assert not runs
    if _Reply.SERVED in runs:
        assert status == 200


@pytest.mark.parametrize("kind", scripted_replicas.ROUTE_KINDS)
@pytest.mark.parametrize("model", ("", "m1"))
def test_rejections_use_up_the_attempts(kind, model):
    """Requests ended after one rejection with 14.8 s left and 45 replicas."""

    async def play(clock):
        site = scripted_replicas.Site(clock, _REJECTING * 2, 11, 1, _LIMIT)
        return (await site.send(b"1", kind, model))[0], site.replies_to(b"1")

    status, replies = _virtual_time.run(play)
    assert status == 200
    assert replies == [*_REJECTING * 2, _Reply.SERVED]


@pytest.mark.parametrize(
    ("reply", "waits"), ((_Reply.MISDIRECTED, True), (_Reply.FULL, False))
)
def test_requests_beyond_the_room_have_models_moved(reply, waits):
    async def play(clock):
        site = scripted_replicas.Site(clock, [reply] * 2, 2, 1, _LIMIT)
        # It doesn't hold the model, and could load it.
        site.replicas.update(builders.replica_entry("other", models=()))
        status, _ = await site.send(b"1", "unsafe", "m1")
        return status, site.residency_calls

    assert _virtual_time.run(play) == (503, int(waits))


class _CountingGate:
    """Charges requests, and counts that."""

    def __init__(self):
        self.charges = 0

    async def admit(self, state):
        if state.charge is None:
            self.charges += 1
            state.charge = "charged"

    def suspend(self, state):
        state.charge = None

    def settle(self, state):
        pass


def test_a_request_is_charged_in_each_round_of_a_wait():
    """Where the controller knows of a replica that isn't known here yet."""

    async def play(clock):
        gate = _CountingGate()
        site = scripted_replicas.Site(clock, [], 1, 1, _LIMIT, 1, gate)
        rounds = 0

        async def ensure_loaded(*_args):
            nonlocal rounds
            rounds += 1
            if rounds == 6:
                entry = builders.replica_entry("r0", models=("m2",))
                site.replicas.update(
                    entry._replace(address=_settings.Address("127.0.0.1", 1))
                )

        site.residency.ensure_loaded = ensure_loaded
        status, _ = await site.send(b"1", "safe", "m2")
        return status, rounds, gate.charges

    status, rounds, charges = _virtual_time.run(play)
    assert (status, rounds) == (200, 6)
    # Before the first attempt, and once after the wait.
    assert charges == 2


def test_a_replica_that_rejected_is_chosen_again_at_once():
    async def play(clock):
        replies = [_Reply.FULL] + [_Reply.SERVED] * 20
        site = scripted_replicas.Site(clock, replies, 3, 1, _LIMIT)
        for number in range(20):
            await site.send(b"%d" % number, "unsafe")
        return site.log

    (_, rejecting, _), *others = _virtual_time.run(play)
    assert rejecting not in {replica for _, replica, _ in others}


def test_replicas_are_out_of_use_after_rejections_of_all():
    """What is preferred must not leave a request without any replica."""
    replicas = [_replicas.Replica(builders.replica_entry()) for _ in range(2)]
    replicas[0].last_rejection.note(0)
    assert _rejections.prefer_others(replicas, 1) == replicas[1:]
    replicas[1].last_rejection.note(0)
    assert _rejections.prefer_others(replicas, 1) == replicas
    assert len(_rejections.prefer_others(replicas, 10**6)) == 2


@pytest.mark.parametrize(
    ("status", "load", "model", "cause"),
    (
        (421, None, "m1", _rejections.Cause.NOT_LOADED),
        (421, (1, 0, 8), "", _rejections.Cause.NO_ROOM),
        (503, (1, 0, 8), "m1", _rejections.Cause.CLOSING),
        (503, (1, 0, 8), "", _rejections.Cause.NO_ROOM),
        (503, (8, 0, 8), "m1", _rejections.Cause.NO_ROOM),
        (503, None, "m1", _rejections.Cause.NO_ROOM),
    ),
)
def test_the_cause_of_a_rejection_is_mistaken(status, load, model, cause):
    report = load and _types.LoadReport(*load)
    assert _rejections.find_cause(status, report, model) is cause


def test_rejections_use_up_the_whole_retry_budget():
    """A request that broke off would be lost in a storm of rejections."""
    clock = _clock.ManualClock()
    budgets = _retry_budgets.RetryBudgets(_LIMIT, clock)
    budgets.set_instances(1)
    taken = 0
    while budgets.try_withdraw("s", keeps_reserve=True):
        taken += 1
    left = 0
    while budgets.try_withdraw("s"):
        left += 1
    assert (taken, left) == (12, 4)
    # A small budget isn't divided.
    budgets.set_instances(16)
    clock.advance(10_001)
    assert budgets.try_withdraw("s", keeps_reserve=True)
