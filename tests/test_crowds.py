"""Clients beyond the limits: no process runs out of memory or descriptors.

Each test starts the system's own processes, has a crowd send to them, and
checks that the process is alive, that its memory and descriptors stayed under
their bounds, and that an ordinary request is answered afterwards.
"""

import json
import os
import resource

import anyio
import pytest

from tests import builders
from tests import crowds
from tests import hosts

pytestmark = [pytest.mark.anyio, pytest.mark.serial]

_CROWD_S = 2.0
_MEMORY_MB = 160
# The limits that the specification states for clients.
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
_FILES = 300
_ALL_SHAPES = [*crowds.SHAPES.values()]


async def _start_site(fleet, *arguments, **limits):
    site = hosts.Site(fleet)
    site.limits = {"memory_mb": _MEMORY_MB, **limits}
    await site.start(replicas=1, instances=0)
    configuration = hosts.configuration(2)
    configuration["limits"] = _LIMITS
    await site.configure(configuration)
    await site.add_instance(*arguments)
    return site, site.instances[0]


async def _apply_crowd(process, crowd, shapes, clients):
    """Return what the process held at most while the crowd sent."""
    meter = crowds.Meter(process)
    async with anyio.create_task_group() as group:
        group.start_soon(meter.count_files)
        await crowd.send(shapes, clients, _CROWD_S)
        group.cancel_scope.cancel()
    return meter


@pytest.fixture
def check(request):
    """Return a check of the bounds, for the time after the crowd.

    It notes the figures in the report (``--junit-xml``).
    """

    async def check_bounds(process, meter, send):
        try:
            await _check(process, meter, send)
        finally:
            if process.running:
                request.node.user_properties += [
                    ("growth_kb", meter.growth_kb),
                    ("files", meter.largest_files),
                ]

    return check_bounds


async def _check(process, meter, send):
    assert process.running
    await crowds.check_still_serves(send)
    assert process.running
    assert meter.growth_kb < crowds.MAX_GROWTH_KB


def _ordinary(process):
    async def send():
        return (
            await hosts.send_request(process.port, "/safe/x")
        ).status == 200

    return send


@pytest.mark.parametrize("clients", (24, 200))
@pytest.mark.parametrize("shape", crowds.SHAPES)
async def test_a_crowd_of_one_shape_takes_a_bounded_memory(
    fleet, check, shape, clients
):
    _, instance = await _start_site(fleet)
    meter = await _apply_crowd(
        instance,
        crowds.Crowd(instance.port),
        [crowds.SHAPES[shape]],
        clients,
    )
    await check(instance, meter, _ordinary(instance))


@pytest.mark.parametrize(
    ("block_bytes", "pause_s"), ((1, 0.0), (1, 0.05)), ids=("bytes", "slowly")
)
async def test_all_shapes_in_single_bytes_take_a_bounded_memory(
    fleet, check, block_bytes, pause_s
):
    _, instance = await _start_site(fleet)
    crowd = crowds.Crowd(
        instance.port, block_bytes=block_bytes, pause_s=pause_s
    )
    meter = await _apply_crowd(instance, crowd, _ALL_SHAPES, 60)
    await check(instance, meter, _ordinary(instance))


@pytest.mark.parametrize("listener", ("readiness", "instances", "metrics"))
async def test_all_shapes_at_another_listener_take_a_bounded_memory(
    fleet, check, listener
):
    metrics_port = hosts.fleets.free_port()
    site, instance = await _start_site(
        fleet, "--metrics-port", str(metrics_port)
    )
    port = {
        "readiness": site.ready_port(),
        "instances": site.peer_port(),
        "metrics": metrics_port,
    }[listener]
    crowd = crowds.Crowd(port, "/v1/ready")
    meter = await _apply_crowd(instance, crowd, _ALL_SHAPES, 60)
    await check(instance, meter, _ordinary(instance))


@pytest.mark.parametrize("block_bytes", (1, 2))
@pytest.mark.parametrize("listener", ("clients", "instances"))
async def test_a_started_body_in_small_pieces_takes_a_bounded_memory(
    fleet, check, listener, block_bytes
):
    """An object for each piece took 28 times the accounted memory."""
    site, instance = await _start_site(fleet)
    port = instance.port if listener == "clients" else site.peer_port()
    crowd = crowds.Crowd(port, block_bytes=block_bytes)
    meter = await _apply_crowd(instance, crowd, [crowds.STARTED_BODY], 60)
    await check(instance, meter, _ordinary(instance))


@pytest.mark.parametrize("listener", ("callers", "peers"))
async def test_all_shapes_at_the_own_interface_take_a_bounded_memory(
    fleet, check, listener
):
    engine = fleet.engine({"notes": "1"})
    instance = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([engine]))
    await builders.serving(fleet, instance, 1)
    port = instance.port if listener == "callers" else instance.peer_port
    crowd = crowds.Crowd(port, "/ready")
    meter = await _apply_crowd(instance, crowd, _ALL_SHAPES, 60)

    async def send():
        fields = {"model": "notes", "prompt": "Boots?", "max_tokens": 2}
        body = json.dumps(fields).encode()
        target = "/geraniumlink.v1.Inference/Generate"
        request = hosts.request_bytes(target, body)
        return (await hosts.send(instance.port, request)).status == 200

    await check(instance, meter, send)


@pytest.mark.parametrize("shape", ("silence", "pipelined, responses unread"))
async def test_connections_stay_below_the_limit_of_descriptors(
    fleet, check, shape
):
    """The process couldn't accept, nor reach a replica, at the limit."""
    _, instance = await _start_site(fleet, max_fds=_FILES)
    resource.prlimit(instance.pid, resource.RLIMIT_NOFILE, (_FILES, _FILES))
    crowd = crowds.Crowd(instance.port)
    meter = crowds.Meter(instance)
    async with anyio.create_task_group() as group:
        group.start_soon(meter.count_files)
        group.start_soon(
            crowd.send, [crowds.SHAPES[shape]], 2 * _FILES, 2 * _CROWD_S
        )
        # An ordinary request is answered while the crowd is connected.
        await anyio.sleep(_CROWD_S)
        if shape == "silence":
            await crowds.check_still_serves(
                _ordinary(instance), limit_s=_CROWD_S
            )
        await anyio.sleep(_CROWD_S)
        group.cancel_scope.cancel()
    await check(instance, meter, _ordinary(instance))
    assert meter.largest_files < _FILES
    assert "Too many open files" not in instance.log.read_text()


async def test_a_crowd_may_not_fill_the_log(fleet, check):
    """A log line for each refused connection would fill the disk."""
    _, instance = await _start_site(fleet)
    before = os.stat(instance.log).st_size
    shapes = [crowds.SHAPES["method"], crowds.SHAPES["bytes after CONNECT"]]
    meter = await _apply_crowd(
        instance, crowds.Crowd(instance.port), shapes, 60
    )
    await check(instance, meter, _ordinary(instance))
    lines = len(hosts.find_log_lines(instance, "bad_request"))
    assert lines <= 20 * (_CROWD_S + 1)
    assert os.stat(instance.log).st_size - before < 1_000_000
