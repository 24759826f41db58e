"""Answers without end to the calls that instances make themselves."""

import contextlib

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.residency import _message_client
from tests import endless
from tests import hosts

pytestmark = pytest.mark.anyio

_PARTS = ("head", "header", "interim", "body", "chunk_size", "trailer")
# What the kernel may take of an answer that is no longer read.
_KERNEL_BYTES = 16 * 2**20
# Target of the plan for control on a node.
_CONTROL_KB = 64_000
_FAULTY_REPLICAS = 6
_MEASURED_S = 3
_CHANGE_INTERVAL_S = 0.4


async def _post_message(address):
    client = _message_client.MessageClient(_clock.Clock())
    await client.post(address, "/", b"")


async def _request(address):
    client = _http.Client(keeps_alive=False)
    await client.request("GET", address, "/")


@pytest.mark.parametrize("call", (_post_message, _request))
@pytest.mark.parametrize("part", _PARTS)
async def test_a_call_reads_an_answer_without_end(call, part):
    async with endless.Proxy(part=part).serve() as proxy:
        address = _settings.parse_address(proxy.address)
        with anyio.fail_after(10), pytest.raises(_http.BrokenError):
            await call(address)
    assert proxy.sent_bytes <= _http.MAX_BODY_BYTES + _KERNEL_BYTES


async def _change_configuration(site):
    version = 1
    while True:
        await anyio.sleep(_CHANGE_INTERVAL_S)
        version += 1
        await site.configure(hosts.configuration(version))


async def _send_for_a_while(port):
    with anyio.move_on_after(_MEASURED_S):
        while True:
            answer = await hosts.send_request(port, "/safe/x")
            assert answer.status == 200
            await anyio.sleep(0.05)


@contextlib.asynccontextmanager
async def _background(site):
    """Yield a group of tasks beside changes of the configuration."""
    async with anyio.create_task_group() as group:
        group.start_soon(_change_configuration, site)
        yield group
        group.cancel_scope.cancel()


async def _ask_for_another_model(port):
    while True:
        await hosts.send_request(port, "/safe/x", X_Model="m1")


@pytest.mark.parametrize("part", ("interim", "body"))
@pytest.mark.parametrize("path", ("/v1/report", "/v1/order"))
@pytest.mark.serial
async def test_endless_answers_to_the_controller_fill_the_memory(
    fleet, path, part
):
    site = await hosts.Site(fleet).start(replicas=0)
    process = site.instances[0]
    proxies = []
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(_FAULTY_REPLICAS):
            proxy = endless.Proxy(prefix=path)
            proxies.append(await stack.enter_async_context(proxy.serve()))
            name = await site.add_replica("m2", proxy=proxy.address)
            proxy.upstream = site.replicas[name].port

        async def is_served():
            answer = await hosts.send_request(
                process.port, "/safe/x", X_Model="m2"
            )
            return answer.status == 200

        await fleet.until(is_served, "requests are served")
        async with _background(site) as group:
            for proxy in proxies:
                proxy.part = part
                group.start_soon(_ask_for_another_model, process.port)
            # Other incarnations, whose reports the controller needs.
            for name in site.replicas:
                await site.put("servers", name, site.entry(name) | {"born": 2})
            await _send_for_a_while(process.port)
    assert any(proxy.requests for proxy in proxies)
    assert process.peak_kb() <= _CONTROL_KB


@pytest.mark.parametrize("part", ("interim", "body"))
@pytest.mark.serial
async def test_endless_answers_of_the_store_fill_the_memory(fleet, part):
    site = await hosts.Site(fleet).start(instances=0)
    async with endless.Proxy(site.store.port).serve() as proxy:
        process = await site.add_instance(store_address=proxy.address)
        async with _background(site):
            proxy.part = part
            await _send_for_a_while(process.port)
    assert proxy.requests
    assert process.peak_kb() <= _CONTROL_KB
