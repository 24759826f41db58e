"""Decisions on the way of a request, without a network."""

import random

import aioprometheus
import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher
from geraniumlink import platform
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _balance
from geraniumlink.serving import _connections
from geraniumlink.serving import _events
from geraniumlink.serving import _forward
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from geraniumlink.suspicion import _suspicions
from tests import builders
from tests import hosts


def _replica(name="r1", **fields):
    return _replicas.Replica(builders.replica_entry(name, **fields))


def _request(tokens=1000, prefix_blocks=()):
    return builders.model_request(
        prompt_tokens=tokens, prefix_blocks=tuple(prefix_blocks)
    )


def _choose(replicas, request=None, priority=1, now=0):
    return _balance.choose_replica(
        replicas,
        request or _request(),
        priority,
        "dc1",
        now,
        random.Random(1),
    ).replica


def test_tokens_ahead_count_not_requests():
    long, short = _replica("long"), _replica("short")
    long.in_flight, short.in_flight = 1, 3
    long.prefill_tokens[1] = 20_000
    short.prefill_tokens[1] = 300
    assert _choose([long, short]) is short


def test_less_urgent_prompts_are_not_ahead():
    replica = _replica()
    replica.prefill_tokens[2] = 50_000
    urgent = _balance.estimate_first_event_ms(replica, _request(), 0, 0)
    patient = _balance.estimate_first_event_ms(replica, _request(), 2, 0)
    assert patient > urgent + 2000


def test_the_others_load_counts_until_it_is_old():
    busy, idle = _replica("busy"), _replica("idle")
    busy.note_peer_load(_replicas.PeerLoad(5, {1: 60_000}, reported_at=0))
    assert _choose([busy, idle], now=100) is idle
    late = 100 + _replicas.PEER_LOAD_STALE_MS
    told = _balance.estimate_first_event_ms(busy, _request(), 1, 100)
    assert _balance.estimate_first_event_ms(busy, _request(), 1, late) < told


def test_a_prompt_goes_where_its_parts_were_read():
    cold, warm = _replica("cold"), _replica("warm")
    prefix_blocks = [
        _types.PrefixBlock("p1", 800),
        _types.PrefixBlock("own", 200),
    ]
    warm.remember_prefix(_request(prefix_blocks=prefix_blocks))
    other = [_types.PrefixBlock("p1", 800), _types.PrefixBlock("another", 200)]
    assert warm.uncached_tokens(_request(prefix_blocks=other)) == 200
    assert _choose([cold, warm], _request(prefix_blocks=other)) is warm


def test_the_own_data_centre_is_preferred_when_all_else_is_equal():
    near, far = _replica("near"), _replica("far", data_centre="dc2")
    assert _choose([far, near]) is near


def test_a_replica_that_fails_is_used_last_and_forgiven():
    bad, good = _replica("bad"), _replica("good")
    for _ in range(5):
        bad.note_outcome(True, now=0)
    good.prefill_tokens[1] = 10_000
    assert _choose([bad, good], now=0) is good
    assert _choose([bad, good], now=60_000) is bad


def test_a_pause_after_failed_connections_grows_and_ends():
    replica = _replica()
    replica.note_unreachable(0, "refused")
    first = replica.paused_until
    replica.note_unreachable(first, "refused")
    assert replica.paused_until - first > first
    replica.note_activity(first)
    assert replica.paused_until == 0


def _entry(name, leaving=False):
    return _replica(name).entry._replace(leaving=leaving)


def test_vanished_entries_serve_last_and_only_within_the_bound():
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([_entry("r1"), _entry("r2")])
    replicas.mark_missing("r1")
    assert [r.entry.name for r in replicas.available("s")] == ["r2"]
    replicas.mark_missing("r2")
    assert len(replicas.available("s")) == 2
    clock.advance(2000)
    assert not replicas.available("s")


def test_a_lapsed_entry_that_is_back_serves_on():
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([_entry("r1")])
    replicas.replace_all([])
    clock.advance(1000)
    replicas.update(_entry("r1"))
    clock.advance(5000)
    assert len(replicas.available("s")) == 1


def test_a_leaving_replica_never_comes_back():
    replicas = _replicas.Replicas(_clock.ManualClock(), 2000)
    replicas.replace_all([_entry("r1", leaving=True)])
    replicas.update(_entry("r1"))
    assert not replicas.available("s")
    restarted = _entry("r1")._replace(started_at=2)
    replicas.update(restarted)
    assert len(replicas.available("s")) == 1


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 500), st.booleans(), st.integers(0, 3)),
        max_size=300,
    )
)
def test_all_instances_together_stay_within_the_budget(steps):
    """Each withdraws as it likes; the sum is bounded in any window."""
    clock = _clock.ManualClock()
    bound = _retry_budgets.RetryLimit(ratio=0.2, constant=8, window_ms=10_000)
    instances = [_retry_budgets.RetryBudgets(bound, clock) for _ in range(4)]
    for instance in instances:
        instance.set_instances(4)
    requests, repeats = [], []
    for pause, repeat, index in steps:
        clock.advance(pause)
        instances[index].deposit("s")
        requests.append(clock.now())
        if repeat and instances[index].try_withdraw("s"):
            repeats.append(clock.now())
    for start in repeats:
        window = [t for t in repeats if start <= t <= start + 10_000]
        asked = [t for t in requests if start - 10_000 <= t <= window[-1]]
        assert len(window) <= 0.2 * len(asked) + 8


@hypothesis.given(
    st.lists(st.integers(1, 99), min_size=1, max_size=9, unique=True),
    st.lists(st.integers(1, 40), max_size=30),
    st.sampled_from((b"\n", b"\r\n")),
)
def test_events_are_passed_on_whole(numbers, cuts, newline):
    events = [
        b"id: %d" % n + newline + b"data: x" + newline * 2 for n in numbers
    ]
    data = b"".join(events)
    splitter = _events.EventSplitter()
    passed = b""
    for cut in cuts:
        passed += splitter.feed(data[:cut])
        data = data[cut:]
        count = passed.count(newline * 2)
        assert passed == b"".join(events[:count])
        if count:
            assert splitter.last_id == b"%d" % numbers[count - 1]
    assert passed + splitter.feed(data) == b"".join(events)
    assert splitter.rest == b""


class _Residency:
    """Says that everything is placed, and counts."""

    def __init__(self):
        self.asked = 0

    async def ensure_loaded(self, *_args):
        self.asked += 1
        await anyio.sleep(0)

    def note_demand(self, *_args):
        pass


@pytest.mark.anyio
async def test_what_is_placed_where_nobody_knows_is_not_asked_for_in_a_loop():
    clock, residency = _clock.Clock(), _Residency()
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([_entry("r1")])
    active_configuration = _active_configuration.ActiveConfiguration()
    spec = hosts.configuration(1, hosts.route("x", "stream", service="s"))
    active_configuration.apply_if_newer(platform.decode_configuration(spec))
    forwarder = _forward.Forwarder(
        active_configuration=active_configuration,
        replicas=replicas,
        residency=residency,
        budgets=_retry_budgets.RetryBudgets(
            _retry_budgets.RetryLimit(0.2, 8, 1000), clock
        ),
        suspicions=_suspicions.SuspicionTable(clock),
        metrics=_request_metrics.RequestMetrics(aioprometheus.Registry()),
        connections=_connections.ConnectionPool(clock),
        clock=clock,
        data_centre="dc1",
        random_source=random.Random(1),
    )
    request = _request()._replace(
        host=hosts.HOST,
        target=b"/x/",
        model="m9",
        received_at=clock.now(),
        client_timeout_ms=300,
    )
    sent = []

    async def send(message):
        sent.append(message)

    await forwarder.serve(
        request, _response_writer.ResponseWriter(send, lambda: False)
    )
    assert sent[0]["status"] == 503
    assert residency.asked <= 300 / _forward.LOOK_AGAIN_MS + 1


def test_a_placed_adapter_clears_what_was_said_of_its_model():
    replica = _replica()
    replica.note_not_loaded("m1", "", now=0)
    assert not replica.can_serve("m1", "a1", 10)
    replica.note_loaded("m1", "a1", now=10)
    assert replica.can_serve("m1", "a1", 20)


class _Store:
    """Answers lists and watches from scripts."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.calls = []

    async def list(self, kind):
        self.calls.append("list")
        return self._next(kind)

    async def watch(self, kind, after, wait_ms):
        self.calls.append(f"watch {after}")
        assert wait_ms
        return self._next(kind)

    def _next(self, _kind):
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _object(name, version):
    return _objects.Object("k", name, version, {})


class _EndError(Exception):
    """The script is over."""


@pytest.mark.anyio
async def test_a_watcher_lists_again_after_a_lost_history():
    listed, changed = [], []
    store = _Store(
        _objects.Listing(5, [_object("a", 3)]),
        _objects.Listing(7, [_object("b", 7)]),
        _objects.UnavailableError("out"),
        _objects.GoneError(),
        _objects.UnavailableError("out"),
        _objects.Listing(20, [_object("c", 20)]),
        _EndError(),
    )
    watcher = _object_watcher.ObjectWatcher(
        store,
        "k",
        _clock.ManualClock(),
        on_list=lambda found: listed.append([o.name for o in found]),
        on_change=lambda found: changed.append(found.name),
        batch_delay_ms=100,
    )
    with pytest.raises(_EndError):
        await watcher.run()
    assert listed == [["a"], ["c"]]
    assert changed == ["b"]
    assert store.calls == [
        "list",
        "watch 5",
        "watch 7",
        "watch 7",
        "list",
        "list",
        "watch 20",
    ]
