"""Permits to send requests to replicas with a limit; no network."""

import random

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from emulator import _virtual_time
from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.hosting import _permit_exchange
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _permits
from geraniumlink.serving import _replicas
from tests import builders

_WINDOW_MS = 4000
# Rejections a second that the brittle replicas survive.
_BRITTLE = 4


def _most_in_window(times):
    return max(
        (
            sum(start <= at < start + _WINDOW_MS for at in times)
            for start in times
        ),
        default=0,
    )


def _make_limiter(clock, first_delay_ms=0):
    return _permits.RateLimiter(clock, lambda _: first_delay_ms)


@hypothesis.given(
    st.floats(0.1, 50),
    st.lists(
        st.tuples(st.integers(0, 300), st.sampled_from((0, 50, 2000))),
        max_size=300,
    ),
)
def test_permits_in_a_window_stay_within_the_rate(per_s, steps):
    clock = _clock.ManualClock()
    limiter = _make_limiter(clock)
    due = []
    for pause, max_delay_ms in steps:
        clock.advance(pause)
        answer = limiter.acquire("r1", per_s, max_delay_ms)
        if isinstance(answer, _permits.Granted):
            assert answer.delay_ms <= max_delay_ms
            due.append(clock.now() + answer.delay_ms)
    allowed = (_WINDOW_MS + _permits.BURST_MS) * per_s / 1000 + 1
    # Delays are rounded up to whole milliseconds.
    assert _most_in_window(due) <= allowed + per_s / 1000 + 1e-9


def test_a_denial_says_when_there_is_a_permit():
    clock = _clock.ManualClock()
    limiter = _make_limiter(clock)
    while isinstance(limiter.acquire("r1", 2, 0), _permits.Granted):
        pass
    denied = limiter.acquire("r1", 2, 0)
    clock.advance(denied.retry_ms)
    assert limiter.acquire("r1", 2, 0) == _permits.Granted(0)


def test_a_limit_that_was_raised_is_not_held_to_its_former_rate():
    clock = _clock.ManualClock()
    limiter = _make_limiter(clock)
    for _ in range(3):
        limiter.acquire("r1", 0.1, 60_000)
    assert limiter.acquire("r1", 10, 500) == _permits.Granted(0)


def test_replicas_that_are_not_asked_for_are_forgotten():
    clock = _clock.ManualClock()
    limiter = _make_limiter(clock, first_delay_ms=100)
    limiter.acquire("r1", 1, 1000)
    clock.advance(2 * _permits.FORGET_MS)
    limiter.acquire("r2", 1, 1000)
    assert limiter.acquire("r1", 1, 0) == _permits.Denied(100)


class _Leadership:
    """What one instance believes of the controller's lease."""

    def __init__(self):
        self.leader = ""
        self.epoch = 0
        self.renewed = True

    @property
    def is_leader(self):
        return bool(self.epoch)

    def may_order(self):
        return self.is_leader and self.renewed


class _Datagrams:
    """Delivers messages at once between the instances that can be reached."""

    def __init__(self, address, network):
        self._address = address
        self._network = network
        self._handlers = {}
        network[address] = self
        self.reachable = True

    def add_handler(self, kinds, handler):
        self._handlers.update(dict.fromkeys(kinds, handler))

    def send(self, addresses, message):
        for address in addresses:
            receiver = self._network.get(address)
            if receiver and receiver.reachable and self.reachable:
                sender = _settings.parse_address(self._address)
                receiver.receive(list(message), sender)

    def receive(self, message, sender):
        self._handlers[message[0]](message, sender)


class _Instance:
    def __init__(self, number, addresses, network, clock):
        self.address = addresses[number]
        self.leadership = _Leadership()
        self.datagrams = _Datagrams(self.address, network)
        directory = _instance_directory.InstanceDirectory(self.address, clock)
        directory.apply_list(addresses)
        self._replicas = _replicas.Replicas(clock, 2000)
        self.exchange = _permit_exchange.PermitExchange(
            replicas=self._replicas,
            leadership=self.leadership,
            directory=directory,
            datagrams=self.datagrams,
            clock=clock,
            random_source=random.Random(number),
        )

    def add_brittle_replica(self, slots):
        entry = builders.replica_entry()._replace(slots=slots)
        self._replicas.replace_all([entry])
        self.replica = self._replicas.get("r1")
        self.replica.note_brittleness(_BRITTLE, 0, 0)

    def lead(self, epoch, instances):
        """Take the controller's lease; all of some instances know of it."""
        self.leadership.epoch = epoch
        for instance in instances:
            instance.leadership.leader = self.address


def _make_instances(count, clock):
    addresses = [f"10.0.0.{n}:7000" for n in range(1, count + 1)]
    network = {}
    return [_Instance(n, addresses, network, clock) for n in range(count)]


async def _send(instance, per_s, clock, until, sent):
    """Ask for permits as requests arrive, and record when they are used."""
    replica = _replicas.Replica(builders.replica_entry())
    replica.note_rate_limit(per_s, 0, 0)
    source = random.Random(instance.address)
    while clock.now() < until:
        await clock.sleep(source.uniform(50, 250))
        answer = await instance.exchange.acquire(replica, 0)
        if isinstance(answer, _permits.Granted):
            sent.append(clock.now() + answer.delay_ms)


def _run_instances(count, per_s, seconds, scenario):
    """Return when permits were used while a scenario is carried out."""

    async def main(clock):
        sent = []
        instances = _make_instances(count, clock)
        instances[0].lead(1, instances)
        async with anyio.create_task_group() as group:
            for instance in instances:
                group.start_soon(
                    _send, instance, per_s, clock, seconds * 1000, sent
                )
            await scenario(instances, clock)
        return sorted(sent)

    return _virtual_time.run(main)


async def _nothing(_instances, _clock):
    pass


async def _controller_ends(instances, clock):
    await clock.sleep(5000)
    instances[0].datagrams.reachable = False
    instances[0].leadership.epoch = 0
    await clock.sleep(10_000)
    instances[1].lead(2, instances)


async def _store_is_out(instances, clock):
    await clock.sleep(5000)
    instances[0].leadership.renewed = False


async def _former_controller_goes_on(instances, clock):
    await clock.sleep(5000)
    instances[0].leadership.renewed = False
    instances[1].lead(2, instances[len(instances) // 2 :])


async def _some_are_cut_off(instances, clock):
    await clock.sleep(5000)
    for instance in instances[len(instances) // 2 :]:
        instance.datagrams.reachable = False


@pytest.mark.parametrize(
    "scenario",
    (
        _nothing,
        _controller_ends,
        _store_is_out,
        _former_controller_goes_on,
        _some_are_cut_off,
    ),
)
@pytest.mark.parametrize("per_s", (0.2, 1, 1.6, 4, 20))
@pytest.mark.parametrize("count", (3, 9, 60))
def test_instances_together_stay_within_a_limit(scenario, per_s, count):
    sent = _run_instances(count, per_s, 30, scenario)
    assert _most_in_window(sent) <= 1.5 * per_s * _WINDOW_MS / 1000 + 5


@pytest.mark.parametrize("per_s", (1, 4))
def test_the_rate_is_used_where_there_is_demand(per_s):
    sent = _run_instances(9, per_s, 30, _nothing)
    assert len(sent) >= 0.9 * 30 * per_s


def test_no_permit_without_a_controller_and_other_instances():
    """It isn't known then how many instances share the limit."""

    async def main(clock):
        (alone,) = _make_instances(1, clock)
        replica = _replicas.Replica(builders.replica_entry())
        replica.note_rate_limit(1, 0, 0)
        return await alone.exchange.acquire(replica, 0)

    assert isinstance(_virtual_time.run(main), _permits.Denied)


def test_a_silent_controller_is_not_waited_for_by_each_request():
    async def main(clock):
        instances = _make_instances(3, clock)
        instances[0].lead(1, instances)
        instances[0].datagrams.reachable = False
        replica = _replicas.Replica(builders.replica_entry())
        replica.note_rate_limit(1, 0, 0)
        began = clock.now()
        for _ in range(10):
            await instances[1].exchange.acquire(replica, 0)
        return clock.now() - began

    assert _virtual_time.run(main) <= _permit_exchange.ANSWER_TIMEOUT_MS + 1


def test_room_is_shared_by_all_instances():
    limiter = _permits.RoomLimiter(_clock.ManualClock())
    granted = [
        isinstance(limiter.acquire(f"i{n}", "r1", 8), _permits.Granted)
        for n in range(20)
    ]
    assert sum(granted) == _permits.INITIAL_PART * 8
    limiter.release("i0", "r1")
    assert limiter.acquire("i9", "r1", 8) == _permits.Granted(0)
    assert isinstance(limiter.acquire("i9", "r1", 8), _permits.Denied)


def test_reports_replace_what_lost_messages_left():
    limiter = _permits.RoomLimiter(_clock.ManualClock())
    while isinstance(limiter.acquire("i1", "r1", 8), _permits.Granted):
        pass
    limiter.note_report("i1", {"r1": 2})
    assert limiter.acquire("i1", "r1", 8) == _permits.Granted(0)


def test_requests_sent_before_a_replica_was_brittle_take_room():
    limiter = _permits.RoomLimiter(_clock.ManualClock())
    limiter.note_report("i1", {"r1": 8})
    assert isinstance(limiter.acquire("i2", "r1", 8), _permits.Denied)


def test_an_instance_that_ended_takes_no_room():
    clock = _clock.ManualClock()
    limiter = _permits.RoomLimiter(clock)
    limiter.note_report("i1", {"r1": 8})
    clock.advance(_permits.REPORT_EXPIRY_MS)
    assert limiter.acquire("i2", "r1", 8) == _permits.Granted(0)


def test_no_permits_right_after_a_rejection():
    clock = _clock.ManualClock()
    limiter = _permits.RoomLimiter(clock)
    for _ in range(4):
        limiter.acquire("i1", "r1", 8)
    limiter.release("i1", "r1")
    limiter.note_rejection("r1", 4)
    denied = limiter.acquire("i1", "r1", 8)
    assert denied.retry_ms > 1000 / 4
    clock.advance(denied.retry_ms)
    # Three are in flight, and the room is lower than that now.
    assert isinstance(limiter.acquire("i1", "r1", 8), _permits.Denied)
    clock.advance(1000)
    assert limiter.acquire("i1", "r1", 8) == _permits.Granted(0)


class _BrittleReplica:
    """Takes a number of requests at once, and counts those it rejects."""

    def __init__(self, clock, room):
        self._clock = clock
        self._room = room
        self._running = 0
        self.rejected_at = []

    async def run(self):
        """Return whether the request was rejected."""
        if self._running >= self._room:
            self.rejected_at.append(self._clock.now())
            return True
        self._running += 1
        await self._clock.sleep(200)
        self._running -= 1
        return False


async def _send_to_brittle(instance, server, clock, until):
    """Send requests as permits allow, as many at once as there are."""
    replica = instance.replica
    async with anyio.create_task_group() as group:

        async def send():
            replica.begin_request(clock.now())
            is_rejected = await server.run()
            replica.in_flight -= 1
            instance.exchange.release(replica, is_rejected)

        source = random.Random(instance.address)
        while clock.now() < until:
            await clock.sleep(source.uniform(10, 60))
            answer = await instance.exchange.acquire(replica, 0)
            if isinstance(answer, _permits.Granted):
                group.start_soon(send)


async def _report_loads(instances, clock):
    while True:
        await clock.sleep(250)
        for instance in instances:
            loads = {"r1": instance.replica.in_flight}
            instances[0].exchange.note_report(instance.address, loads)


@pytest.mark.parametrize("count", (3, 9, 60))
@pytest.mark.parametrize("room", (3, 16, 40))
def test_a_brittle_replica_rejects_few_requests(count, room):
    """Its room is less than its slots, which it isn't known to be."""

    async def main(clock):
        instances = _make_instances(count, clock)
        instances[0].lead(1, instances)
        for instance in instances:
            instance.add_brittle_replica(slots=40)
        server = _BrittleReplica(clock, room)
        async with anyio.create_task_group() as group:
            group.start_soon(_report_loads, instances, clock)
            async with anyio.create_task_group() as senders:
                for instance in instances:
                    senders.start_soon(
                        _send_to_brittle, instance, server, clock, 30_000
                    )
            group.cancel_scope.cancel()
        return server.rejected_at

    rejected_at = _virtual_time.run(main)
    # The platform's stability window.
    settled = [at for at in rejected_at if at >= 3000]
    for start in settled:
        assert sum(start <= at < start + 1000 for at in settled) <= _BRITTLE
