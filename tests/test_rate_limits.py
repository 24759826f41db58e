"""Limits that replicas state on the requests from all instances together."""

import itertools
import time

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import platform
from geraniumlink.residency import _call_limits
from geraniumlink.residency import _limit_exchange
from geraniumlink.serving import _permits
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types
from tests import builders
from tests import hosts

# The platform's rule: from its stability window on, no more than one and a
# half times the limit and five requests arrive in any window.
_SETTLING_S = 3.0
_WINDOW_S = 4.0
_FACTOR = 1.5
_CONSTANT = 5


def _stated(*values):
    headers = [(b"Server-Limit", value) for value in values]
    return platform.decode_response_head(200, headers).rate_limit


@pytest.mark.parametrize(
    ("values", "limit"),
    (
        ((b"4",), 4.0),
        ((b" 1.6 ",), 1.6),
        ((b"0",), 0.0),
        ((b"2", b"1"), 1.0),
        ((b"2, 3",), 2.0),
        ((b"2", b"many"), 2.0),
        ((b"999999999",), 999_999_999.0),
        ((), _types.Unstated.ABSENT),
        *(
            ((value,), _types.Unstated.UNREADABLE)
            for value in (b"", b"-1", b"nan", b"inf", b"1e3", b"1" * 40)
        ),
    ),
)
def test_limit_is_read_from_the_header(values, limit):
    assert _stated(*values) == limit


def _replica():
    return _replicas.Replica(builders.replica_entry())


def test_a_response_without_a_limit_ends_it():
    replica = _replica()
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.ABSENT, sent_at=11, now=20)
    assert replica.rate_limit.per_s is None


def test_a_response_to_an_earlier_request_does_not_end_a_limit():
    replica = _replica()
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.ABSENT, sent_at=9, now=20)
    assert replica.rate_limit.per_s == 2.0


def test_an_unreadable_limit_changes_nothing():
    replica = _replica()
    replica.note_rate_limit(_types.Unstated.UNREADABLE, sent_at=0, now=10)
    assert replica.rate_limit.per_s is None
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.UNREADABLE, sent_at=20, now=30)
    assert replica.rate_limit.per_s == 2.0


def _most_in_window(times):
    """Return the most arrivals in any window of _WINDOW_S."""
    return max(
        (
            sum(start <= at < start + _WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


async def _send_at_rate(site, per_s, seconds, target="/safe/x", **headers):
    """Send requests to all instances in turn; return the answers."""
    answers = []

    async def send(port):
        answers.append(await hosts.send_request(port, target, **headers))

    ports = itertools.cycle([i.port for i in site.instances])
    deadline = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        while time.monotonic() < deadline:
            group.start_soon(send, next(ports))
            await anyio.sleep(1 / per_s)
    return answers


async def _arrivals(site, name, after=0.0):
    runs = (await site.fleet.record(site.replicas[name]))["runs"]
    return [run["at"] for run in runs if run["at"] >= after]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "limits",
    ({"r-1": 1}, {"r-1": 1.6}, {"r-1": 4, "r-2": 4, "r-3": 4}),
    ids=("one", "fraction", "all"),
)
async def test_replicas_get_no_more_than_their_limit_from_all_instances(
    fleet, limits
):
    site = await hosts.Site(fleet).start(replicas=3, instances=3)
    began = time.monotonic()
    for name, limit in limits.items():
        await site.faults(name, limit=limit)
    answers = await _send_at_rate(site, 30, _SETTLING_S + 2 * _WINDOW_S)
    for name, limit in limits.items():
        arrivals = await _arrivals(site, name, began + _SETTLING_S)
        allowed = _FACTOR * limit * _WINDOW_S + _CONSTANT
        assert _most_in_window(arrivals) <= allowed
        # The replica's capacity is used, and the end of the limit is seen.
        assert len(arrivals) >= limit * _WINDOW_S
    refused = [answer for answer in answers if answer.status != 200]
    if len(limits) < len(site.replicas):
        assert not refused
    for answer in refused:
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0


@pytest.mark.anyio
async def test_a_model_on_a_replica_with_a_limit_gets_another_copy(fleet):
    site = await hosts.Site(fleet).start(replicas=0)
    for models in (("m1", "m2"), ("m2",), ("m2",)):
        await site.add_replica(*models)
    await site.faults("r-1", limit=0.5)
    answers = await _send_at_rate(
        site, 10, _SETTLING_S + _WINDOW_S, "/safe/x", X_Model="m1"
    )
    assert [answer.status for answer in answers[-20:]] == [200] * 20
    arrivals = await _arrivals(site, "r-1")
    assert len(arrivals) <= _FACTOR * 0.5 * _WINDOW_S + _CONSTANT
    assert "m1" in {order["model"] for order in await site.model_orders()}


@pytest.mark.anyio
async def test_the_controllers_calls_stay_within_a_replicas_limit_too(fleet):
    site = await hosts.Site(fleet).start(replicas=1, models=("m1", "m2"))
    await site.faults("r-1", limit=1)
    began = time.monotonic()
    # There is memory for two of three models.
    async with anyio.create_task_group() as group:
        for model in ("m1", "m2", "m3"):
            group.start_soon(_send_model, site, model)
    record = await fleet.record(site.replicas["r-1"])
    arrivals = [
        *(run["at"] for run in record["runs"]),
        *(order["at"] for order in record["orders"]),
        *record["reported_at"],
    ]
    settled = [at for at in arrivals if at >= began + _SETTLING_S]
    assert settled
    assert _most_in_window(settled) <= _FACTOR * _WINDOW_S + _CONSTANT


async def _send_model(site, model):
    await _send_at_rate(
        site, 3, _SETTLING_S + 2 * _WINDOW_S, "/safe/x", X_Model=model
    )


class _Permits:
    """Answers as a test says, and counts what is given back."""

    instances = 1

    def __init__(self, answer):
        self.answer = answer
        self.released = 0

    async def acquire(self, _replica, _max_delay_ms):
        return self.answer

    def release(self, _replica, is_rejected):
        assert not is_rejected
        self.released += 1


@pytest.mark.anyio
async def test_calls_wait_for_permits_only_where_there_is_a_limit():
    clock = _clock.ManualClock()
    replicas, _ = _exchange(clock)
    permits = _Permits(_permits.Denied(500))
    calls = _call_limits.PermittedCalls(replicas, permits, clock)
    assert await calls.wait("r1")
    replicas.get("r1").note_rate_limit(1.0, 0, clock.now())
    assert not await calls.wait("r1")
    permits.answer = _permits.Granted(200)
    began = clock.now()
    assert await calls.wait("r1")
    assert clock.now() - began == 200
    assert permits.released == 1
    assert await calls.wait("unknown")


def _exchange(clock, names=("r1",), started_at=1):
    replicas = _replicas.Replicas(clock, 2000)
    replicas.replace_all(
        builders.replica_entry(name)._replace(started_at=started_at)
        for name in names
    )
    return replicas, _limit_exchange.LimitExchange(replicas, clock)


def _report(sender, controller):
    """Have an instance report once; return the rows of both messages."""
    report = sender.make_report()
    answer = controller.answer_report(report)
    sender.apply_answer(answer)
    return len(report["rows"]) + len(answer["rows"])


def test_an_instance_that_never_saw_a_limit_learns_it():
    clock = _clock.ManualClock()
    first, first_exchange = _exchange(clock)
    _, controller = _exchange(clock)
    third, third_exchange = _exchange(clock)
    first.get("r1").note_rate_limit(2.0, sent_at=0, now=clock.now())
    clock.advance(100)
    _report(first_exchange, controller)
    _report(third_exchange, controller)
    assert third.get("r1").rate_limit.per_s == 2.0
    assert third.get("r1").rate_limit.stated_at == clock.now() - 100
    clock.advance(100)
    now = clock.now()
    third.get("r1").note_rate_limit(_types.Unstated.ABSENT, now - 1, now)
    _report(third_exchange, controller)
    _report(first_exchange, controller)
    assert first.get("r1").rate_limit.per_s is None


def test_limits_that_stay_the_same_cost_nothing():
    clock = _clock.ManualClock()
    first, first_exchange = _exchange(clock)
    _, controller = _exchange(clock)
    first.get("r1").note_rate_limit(2.0, sent_at=0, now=clock.now())
    _report(first_exchange, controller)
    _report(first_exchange, controller)
    first.get("r1").note_rate_limit(2.0, sent_at=0, now=clock.now() + 50)
    assert not _report(first_exchange, controller)


def test_a_new_controller_is_told_all_limits():
    clock = _clock.ManualClock()
    first, first_exchange = _exchange(clock)
    first.get("r1").note_rate_limit(2.0, sent_at=0, now=clock.now() + 1)
    _report(first_exchange, _exchange(clock)[1])
    replicas, successor = _exchange(clock)
    clock.advance(100)
    for _ in range(2):
        _report(first_exchange, successor)
    assert replicas.get("r1").rate_limit.per_s == 2.0


def test_the_limit_of_a_former_process_is_not_passed_on():
    clock = _clock.ManualClock()
    first, first_exchange = _exchange(clock)
    replicas, controller = _exchange(clock, started_at=2)
    first.get("r1").note_rate_limit(2.0, sent_at=0, now=clock.now() + 1)
    _report(first_exchange, controller)
    assert replicas.get("r1").rate_limit.per_s is None


def test_many_limits_are_told_in_several_messages():
    clock = _clock.ManualClock()
    names = [f"r{n}" for n in range(3 * _limit_exchange.MAX_ROWS - 1)]
    first, first_exchange = _exchange(clock, names)
    _, controller = _exchange(clock, names)
    third, third_exchange = _exchange(clock, names)
    clock.advance(100)
    for name in names:
        first.get(name).note_rate_limit(2.0, sent_at=0, now=clock.now())
    for _ in range(3):
        _report(first_exchange, controller)
    for _ in range(3):
        _report(third_exchange, controller)
    assert all(r.rate_limit.per_s == 2.0 for r in third.all())


@pytest.mark.parametrize(
    "row", (["r1"], ["r1", 1, "2", 0], ["r1", 1, 2.0, None], {}, 3)
)
def test_a_malformed_limit_is_rejected(row):
    _, controller = _exchange(_clock.ManualClock())
    with pytest.raises(ValueError, match="malformed"):
        controller.answer_report({"table": "", "change": 0, "rows": [row]})
