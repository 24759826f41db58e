"""A leaving backend server gets no new work; a false alarm empties nothing."""

import time

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.backends import _backends
from geraniumlink.backends import _engines
from geraniumlink.configuration import _configuration
from tests import builders
from tests import streaming

pytestmark = pytest.mark.anyio

# The users' bound on new work after the first sign.
_BOUND_S = 3.0


async def _start(fleet, engines=3, instances=2, **settings):
    served = [fleet.engine({"notes": "1"}) for _ in range(engines)]
    started = [fleet.instance()]
    started += [fleet.instance(**settings) for _ in range(instances - 1)]
    await fleet.ready()
    await builders.declare(fleet, started[0], builders.engines(served))
    for instance in started:
        await builders.serving(fleet, instance, engines)
    return served, started


async def _list(fleet, process, state) -> None:
    await fleet.post(
        fleet.instance_list,
        f"/instances/{process.name}",
        {"address": process.address, "state": state},
        "PUT",
    )


async def _give_sign(fleet, process, sign) -> None:
    match sign:
        case "report":
            await fleet.faults(process, report_leaving=True)
        case "refusal":
            await fleet.faults(process, refuse="leaving")
        case "list":
            await _list(fleet, process, "leaving")
        case "late_list":
            await fleet.faults(fleet.instance_list, lag_ms=60_000)
            await _list(fleet, process, "leaving")
            await fleet.faults(process, report_leaving=True)
        case "list_down":
            await fleet.faults(fleet.instance_list, outage=True)
            await fleet.faults(process, report_leaving=True)


async def _load(fleet, instance, until) -> None:
    number = 0
    while time.time() < until:
        number += 1
        prompt = f"{instance.name} {number}"
        lines = await streaming.generate(fleet, instance, prompt, 3)
        streaming.assert_whole(lines, prompt, 3)


@pytest.mark.parametrize(
    "sign", ("report", "refusal", "list", "late_list", "list_down")
)
async def test_no_new_work_after_the_first_sign(fleet, sign):
    served, instances = await _start(fleet)
    leaving = served[0]
    await _give_sign(fleet, leaving, sign)
    given = time.time()
    async with anyio.create_task_group() as group:
        for instance in instances:
            group.start_soon(_load, fleet, instance, given + _BOUND_S + 1)
    record = await fleet.record(leaving)
    times = [run["time"] for run in record["runs"]] + record["refusals"]
    assert not [at for at in times if at > given + _BOUND_S]


async def test_a_peers_word_is_enough(fleet):
    """The second instance asks the last server again after 20 s at least."""
    served, (_, blind) = await _start(fleet, report_ms=60_000)
    await fleet.faults(served[-1], report_leaving=True)

    def told() -> bool:
        return "told_leaving" in blind.log.read_text()

    await fleet.until(told, "the blind instance was told")
    status = await fleet.call(blind, "Operator/Status")
    states = [replica["state"] for replica in status.body["replicas"]]
    assert sorted(states) == ["leaving", "serving", "serving"]


async def test_work_in_flight_goes_on_to_its_end(fleet):
    served, (instance, _) = await _start(fleet, engines=2)
    for process in served:
        await fleet.faults(process, token_ms=20)
    async with streaming.open_stream(fleet, instance, "Boots?") as stream:
        await stream.read(5)
        for process in served:
            await fleet.faults(process, report_leaving=True)
        lines = await stream.finish()
    streaming.assert_whole(lines, "Boots?")
    runs = [run for p in served for run in (await fleet.record(p))["runs"]]
    assert len(runs) == 1


async def test_a_list_that_names_all_servers_empties_no_service(fleet):
    served, instances = await _start(fleet)
    booking = fleet.plain_service()
    await fleet.ready()
    await builders.declare(fleet, instances[0], builders.plain([booking]))
    for process in (*served, booking):
        await _list(fleet, process, "leaving")
    # One of them really leaves, by its own word.
    await fleet.faults(served[0], report_leaving=True)
    given = time.time()
    async with anyio.create_task_group() as group:
        for instance in instances:
            group.start_soon(_load, fleet, instance, given + _BOUND_S + 1)
    runs = (await fleet.record(served[0]))["runs"]
    assert not [run for run in runs if run["time"] > given + _BOUND_S]
    for instance in instances:
        answer = await fleet.post(
            instance,
            "/geraniumlink.v1.Calls/Call",
            {
                "service": "booking",
                "method": "GET",
                "path": "/stock",
                "idempotent": True,
            },
        )
        assert answer.status == 200, answer


class _Servers:
    """Backends of one deployment, without processes."""

    def __init__(self, *resident):
        self.clock = _clock.ManualClock(start=100_000)
        configuration = _configuration.Configuration()
        addresses = [f"10.0.0.{n}:1" for n in range(len(resident))]
        value = {
            "deployment": builders.engines(addresses),
            "changes": [],
            "models_since": {},
        }
        entry = _objects.Object(_configuration.KIND, "assistant", 1, value)
        configuration.apply_listing(_objects.Listing(1, [entry]))
        self.table = _backends.Backends(configuration, None, self.clock)
        self.table.refresh()
        self.resident = resident
        self.report()

    def report(self, leaving=(), boot="boot"):
        for index, backend in enumerate(self.table.all()):
            models = dict.fromkeys(self.resident[index], "1")
            report = _engines.Report(boot, 0, index in leaving, models)
            self.table.record_report(backend, report)

    def list(self, *indices):
        self.table.apply_instance_list([f"10.0.0.{n}:1" for n in indices])

    @property
    def serving(self):
        return [
            index
            for index, backend in enumerate(self.table.all())
            if backend.state(self.clock.now()) == "serving"
        ]


def test_the_list_is_believed_where_others_can_stand_in():
    servers = _Servers(["a"], ["a"], ["a"])
    servers.list(0, 1)
    assert servers.serving == [2]
    servers.list(2)
    assert servers.serving == [0, 1]


def test_the_list_is_not_believed_of_the_sole_holder_of_a_model():
    servers = _Servers(["a", "b"], ["a"], ["a"])
    servers.list(0, 1)
    assert servers.serving == [0, 2]


def test_the_list_is_believed_of_a_server_that_says_nothing():
    servers = _Servers(["a"], ["a"])
    servers.clock.advance(_backends.FRESH_REPORT_MS + 1)
    servers.list(0, 1)
    assert servers.serving == []


def test_a_server_that_stood_in_and_went_brings_the_listed_one_back():
    servers = _Servers(["a"], ["a"])
    servers.list(0)
    assert servers.serving == [1]
    servers.report(leaving=[1])
    servers.list(0)
    assert servers.serving == [0]


def test_a_refusal_gives_way_to_later_reports():
    servers = _Servers(["a"], ["a"])
    servers.table.record_refusal(servers.table.all()[0])
    servers.report()
    assert servers.serving == [1]
    servers.clock.advance(_backends.SIGN_MS + 1)
    servers.report()
    assert servers.serving == [0, 1]


def test_signs_of_a_former_process_are_void():
    servers = _Servers(["a"], ["a"])
    servers.table.record_refusal(servers.table.all()[0])
    servers.table.record_peer_notice("10.0.0.1:1", "boot")
    servers.report(boot="next")
    assert servers.serving == [0, 1]
    assert not servers.table.record_peer_notice("10.0.0.1:1", "boot")
    assert servers.serving == [0, 1]


def test_peers_words_do_not_empty_a_service():
    servers = _Servers(["a"], ["a"])
    assert servers.table.record_peer_notice("10.0.0.0:1", "boot")
    assert not servers.table.record_peer_notice("10.0.0.1:1", "boot")
    assert servers.serving == [1]
