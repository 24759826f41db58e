"""Decisions on the request path: balancing, budgets, retries; no network."""

import random

import aioprometheus
import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.hosting import _object_watcher
from geraniumlink import platform
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _balance
from geraniumlink.serving import _connections
from geraniumlink.serving import _events
from geraniumlink.serving import _failover
from geraniumlink.serving import _forward
from geraniumlink.serving import _peer_relay
from geraniumlink.serving import _peers
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from geraniumlink.suspicion import _prompt_parts
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


def test_prompt_tokens_ahead_count_rather_than_requests():
    long, short = _replica("long"), _replica("short")
    long.in_flight, short.in_flight = 1, 3
    long.prefill_tokens[1] = 20_000
    short.prefill_tokens[1] = 300
    assert _choose([long, short]) is short


def test_prompts_of_less_urgent_requests_are_not_ahead():
    replica = _replica()
    replica.prefill_tokens[2] = 50_000
    urgent = _balance.estimate_first_event_ms(replica, _request(), 0, 0)
    not_urgent = _balance.estimate_first_event_ms(replica, _request(), 2, 0)
    assert not_urgent > urgent + 2000


def test_peer_load_counts_until_it_is_stale():
    busy, idle = _replica("busy"), _replica("idle")
    busy.note_peer_load(_replicas.PeerLoad(5, {1: 60_000}, reported_at=0))
    assert _choose([busy, idle], now=100) is idle
    stale_at = 100 + _replicas.PEER_LOAD_STALE_MS
    fresh_ms = _balance.estimate_first_event_ms(busy, _request(), 1, 100)
    assert (
        _balance.estimate_first_event_ms(busy, _request(), 1, stale_at)
        < fresh_ms
    )


def test_a_prompt_goes_to_the_replica_with_its_prefix():
    cold, warm = _replica("cold"), _replica("warm")
    prefix_blocks = [
        _types.PrefixBlock("p1", 800),
        _types.PrefixBlock("own", 200),
    ]
    warm.prefix_cache.remember(_request(prefix_blocks=prefix_blocks))
    sharing = [
        _types.PrefixBlock("p1", 800),
        _types.PrefixBlock("another", 200),
    ]
    assert (
        warm.prefix_cache.uncached_tokens(_request(prefix_blocks=sharing))
        == 200
    )
    assert _choose([cold, warm], _request(prefix_blocks=sharing)) is warm


def test_the_own_data_centre_is_preferred_all_else_being_equal():
    near, far = _replica("near"), _replica("far", data_centre="dc2")
    assert _choose([far, near]) is near


def test_a_failing_replica_is_avoided_until_its_failures_decay():
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


def test_replicas_with_a_missing_entry_are_a_last_resort_for_a_time():
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([_entry("r1"), _entry("r2")])
    replicas.mark_missing("r1")
    assert [r.entry.name for r in replicas.available("s")] == ["r2"]
    replicas.mark_missing("r2")
    assert len(replicas.available("s")) == 2
    clock.advance(2000)
    assert not replicas.available("s")


def test_removed_replica_gets_no_requests_after_its_time_to_leave():
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, 2000, news_delay_ms=1590)
    replicas.replace_all([_entry("r1"), _entry("r2")])
    # The store may have removed them 1590 ms ago.
    replicas.mark_missing("r1")
    replicas.replace_all([], may_return=True)
    clock.advance(409)
    assert len(replicas.available("s")) == 2
    clock.advance(1)
    assert [r.entry.name for r in replicas.available("s")] == ["r2"]
    clock.advance(2000 - 410 - _replicas.MISSING_MARGIN_MS)
    assert not replicas.available("s")


def test_a_replica_whose_entry_returns_stays_available():
    clock = _clock.ManualClock()
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([_entry("r1")])
    replicas.replace_all([])
    clock.advance(1000)
    replicas.update(_entry("r1"))
    clock.advance(5000)
    assert len(replicas.available("s")) == 1


def test_a_leaving_replica_is_never_available_again():
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
def test_retries_of_all_instances_stay_within_the_limit(steps):
    """Without any coordination, their sum is limited in each window."""
    clock = _clock.ManualClock()
    limit = _retry_budgets.RetryLimit(ratio=0.2, constant=8, window_ms=10_000)
    instances = [_retry_budgets.RetryBudgets(limit, clock) for _ in range(4)]
    for instance in instances:
        instance.set_instances(4)
    requests, retries = [], []
    for pause, wants_retry, index in steps:
        clock.advance(pause)
        instances[index].deposit("s")
        requests.append(clock.now())
        if wants_retry and instances[index].try_withdraw("s"):
            retries.append(clock.now())
    for start in retries:
        window = [t for t in retries if start <= t <= start + 10_000]
        asked = [t for t in requests if start - 10_000 <= t <= window[-1]]
        assert len(window) <= 0.2 * len(asked) + 8


@hypothesis.given(
    st.lists(st.integers(1, 99), min_size=1, max_size=9, unique=True),
    st.lists(st.integers(1, 40), max_size=30),
    st.sampled_from((b"\n", b"\r\n")),
)
def test_only_complete_events_are_relayed(numbers, chunk_lengths, newline):
    events = [
        b"id: %d" % n + newline + b"data: x" + newline * 2 for n in numbers
    ]
    data = b"".join(events)
    splitter = _events.EventSplitter()
    relayed = b""
    for length in chunk_lengths:
        relayed += splitter.feed(data[:length])
        data = data[length:]
        count = relayed.count(newline * 2)
        assert relayed == b"".join(events[:count])
        if count:
            assert splitter.last_id == b"%d" % numbers[count - 1]
    assert relayed + splitter.feed(data) == b"".join(events)
    assert splitter.partial_event == b""


@pytest.mark.parametrize(
    "data, inside",
    (
        (b"", False),
        (b"id: 1\ndata: x\n\n", False),
        (b"id: 1\ndata: x\n\n\n", False),
        (b"id: 1\r\ndata: x\n\r\n", False),
        (b"id: 1\r\ndata: x\r\n\n", False),
        (b"id: 1\rdata: x\r\r", False),
        (b"id: 1\ndata: x\n", True),
        (b"id: 1\r\ndata: x\r\n", True),
        (b"id: 1\ndata: x\n\ni", True),
    ),
)
def test_an_event_without_its_blank_line_is_not_whole(data, inside):
    splitter = _events.EventSplitter()
    relayed = splitter.feed(data)
    assert splitter.is_inside_event is inside
    assert relayed + splitter.partial_event == data


class _Residency:
    """Reports every model as loaded at once, and counts the calls."""

    def __init__(self):
        self.calls = 0

    async def ensure_loaded(self, *_args):
        self.calls += 1
        await anyio.sleep(0)

    def note_demand(self, *_args):
        pass


class _Reachability:
    """The path to the replicas is never lost."""

    is_lost = False

    def note_unanswered(self, replica):
        pass

    def suspect(self):
        pass

    async def check(self):
        return False


class _NeverLoaded(_Residency):
    """Never reports a model as loaded."""

    async def ensure_loaded(self, *_args):
        self.calls += 1
        await anyio.sleep_forever()


def _forwarder(residency, clock, replicas=None, connections=None):
    """Return a forwarder, by default with a replica that holds no models."""
    if replicas is None:
        replicas = _replicas.Replicas(clock, 2000)
        replicas.replace_all([_entry("r1")])
    active_configuration = _active_configuration.ActiveConfiguration()
    spec = hosts.configuration(1, hosts.route("x", "stream", service="s"))
    active_configuration.apply_if_newer(platform.decode_configuration(spec))
    return _forward.Forwarder(
        active_configuration=active_configuration,
        replicas=replicas,
        residency=residency,
        budgets=_retry_budgets.RetryBudgets(
            _retry_budgets.RetryLimit(0.2, 8, 1000), clock
        ),
        suspicions=_suspicions.SuspicionTable(clock),
        prompt_parts=_prompt_parts.PromptParts(clock, random.Random(1)),
        origins=None,
        versions=None,
        permits=None,
        metrics=_request_metrics.RequestMetrics(aioprometheus.Registry()),
        connections=connections or _connections.ConnectionPool(clock),
        reachability=_Reachability(),
        peer_relay=None,
        clock=clock,
        data_centre="dc1",
        random_source=random.Random(1),
    )


async def _serve(forwarder, clock, timeout_ms):
    """Serve a request for a model; return the messages of its response."""
    request = _request()._replace(
        host=hosts.HOST,
        target=b"/x/",
        model="m9",
        received_at=clock.now(),
        client_timeout_ms=timeout_ms,
    )
    sent = []

    async def send(message):
        sent.append(message)

    await forwarder.serve(
        request, _response_writer.ResponseWriter(send, lambda: False)
    )
    return sent


@pytest.mark.anyio
async def test_a_load_on_an_unknown_replica_does_not_cause_a_busy_loop():
    """The controller may know of a load before this instance does.

    Then each wait for the model returns at once, and the request must pause
    before it waits again.
    """
    clock, residency = _clock.Clock(), _Residency()
    sent = await _serve(_forwarder(residency, clock), clock, 300)
    assert sent[0]["status"] == 503
    assert residency.calls <= 300 / _forward.REPLICA_POLL_MS + 1


@pytest.mark.anyio
@pytest.mark.parametrize("is_new", (False, True), ids=("waiting", "new"))
async def test_a_request_waits_on_when_its_instance_ends(is_new):
    clock, residency = _clock.Clock(), _NeverLoaded()
    forwarder = _forwarder(residency, clock)
    end_at = clock.now() + 200
    if is_new:
        forwarder.end_by(end_at)
    async with anyio.create_task_group() as group:
        if not is_new:

            async def end():
                while not residency.calls:
                    await anyio.sleep(0.01)
                forwarder.end_by(end_at)

            group.start_soon(end)
        with anyio.fail_after(2):
            head, body = await _serve(forwarder, clock, 60_000)
    assert residency.calls == 1
    assert head["status"] == 503
    assert b"retry-after" in dict(head["headers"])
    assert not body.get("more_body")


class _Connections:
    """Connects to all replicas but those that are down."""

    def __init__(self):
        self.down = set()
        self.released = []

    async def acquire(self, replica, *_args, **_fields):
        if replica in self.down:
            raise _http.NotSentError("down")
        return replica

    def release(self, replica, connection):
        self.released.append(connection)


def _make_search(clock):
    """Return a forwarder, its parts, and a request at a silent replica."""
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all([_entry("r1"), _entry("r2")])
    connections = _Connections()
    forwarder = _forwarder(_NeverLoaded(), clock, replicas, connections)
    request = _request()._replace(
        model="", host=hosts.HOST, target=b"/x/", received_at=clock.now()
    )
    route = forwarder._active_configuration.find_route(hosts.HOST, b"/x/")
    state = forwarder._make_state(request, None, route)
    forwarder._budgets.set_instances(1)
    state.tried_replicas.add("r1")
    return forwarder, connections, state


@pytest.mark.anyio
async def test_successors_that_are_not_used_use_up_the_retry_budget():
    forwarder, connections, state = _make_search(_clock.ManualClock())
    for count in range(20):
        successor = await forwarder.find_successor(state, may_load=True)
        assert successor is not None, f"none after {count}"
        forwarder.discard_successor(state, successor)
    assert len(connections.released) == 20


@pytest.mark.anyio
async def test_a_replica_that_was_down_in_a_search_is_never_tried_again():
    clock = _clock.ManualClock()
    forwarder, connections, state = _make_search(clock)
    connections.down.add("r2")
    assert await forwarder.find_successor(state, may_load=True) is None
    connections.down.clear()
    clock.advance(_replicas.FIRST_PAUSE_MS)
    successor = await forwarder.find_successor(state, may_load=True)
    assert successor is not None
    assert successor.target.replica.entry.name == "r2"


@pytest.mark.anyio
async def test_a_request_at_another_instance_may_go_to_its_replica_again():
    """The replicas that the other instance tries aren't known here."""
    clock = _clock.ManualClock()
    _, connections, state = _make_search(clock)
    state.response = _response_writer.ResponseWriter(None, lambda: False)
    peers = _peers.Peers(None, clock, random.Random(1))
    relay = _peer_relay.PeerRelay(peers, connections, None, clock)
    during = []

    class Connection:
        async def send(self, data):
            during.append(state.passed_on)
            raise _http.BrokenError("closed")

        def close(self):
            pass

    await relay.send(
        state,
        _peers.Peer("127.0.0.1:1"),
        Connection(),
        _failover.Failover(None, clock),
    )
    assert during == [True]


def test_a_loaded_adapter_overrides_an_earlier_refusal_for_its_model():
    """A load of the adapter implies that its model is loaded again."""
    replica = _replica()
    replica.note_not_loaded("m1", "", now=0)
    assert not replica.can_serve("m1", "a1", 10)
    replica.note_loaded("m1", "a1", now=10)
    assert replica.can_serve("m1", "a1", 20)


class _Store:
    """A store whose answers to list and watch calls are scripted."""

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


class _ScriptEndError(Exception):
    """Raised after the last scripted answer, to end the watcher."""


@pytest.mark.anyio
async def test_a_follower_lists_again_once_its_history_is_gone():
    listed, changed = [], []
    store = _Store(
        _objects.Listing(5, [_object("a", 3)]),
        _objects.Listing(7, [_object("b", 7)]),
        _objects.UnavailableError("out"),
        _objects.RevisionCompactedError(),
        _objects.UnavailableError("out"),
        _objects.Listing(20, [_object("c", 20)]),
        _ScriptEndError(),
    )
    watcher = _object_watcher.ObjectWatcher(
        store,
        "k",
        _clock.ManualClock(),
        on_list=lambda found: listed.append([o.name for o in found]),
        on_change=lambda found: changed.append(found.name),
        batch_delay_ms=100,
    )
    with pytest.raises(_ScriptEndError):
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


class _OpenConnection:
    def close(self):
        pass


@pytest.mark.anyio
@pytest.mark.parametrize("accepted", (0, 1, 2))
async def test_process_that_accepts_connections_as_it_ends_is_noticed(
    accepted,
):
    """It closes its connections before its listening socket."""
    dialled = []

    async def dial(_address):
        dialled.append(1)
        if len(dialled) > accepted:
            raise _http.NoListenerError("refused")
        return _OpenConnection()

    pool = _connections.ConnectionPool(_clock.ManualClock(), dial)
    with pytest.raises(_http.NoListenerError):
        await pool.check_listener(_settings.Address("127.0.0.1", 1))
