"""The stand-in for a replica keeps to what the tests take it for."""

import anyio
import pytest

from tests import hosts

pytestmark = pytest.mark.anyio


async def test_a_kept_connection_carries_many_requests(fleet):
    site = await hosts.Site(fleet).start(instances=0)
    port = site.replicas["r-1"].port
    request = hosts.request_bytes("/safe/x", Connection="keep-alive")
    stream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream:
        for _ in range(5):
            await stream.send(request)
            with anyio.fail_after(10):
                assert b"answer to /safe/x" in await stream.receive()
