"""Answers without end to the calls that instances make themselves."""

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.residency import _message_client
from tests import endless

pytestmark = pytest.mark.anyio

_PARTS = ("head", "header", "interim", "body", "chunk_size", "trailer")
# What the kernel may take of an answer that is no longer read.
_KERNEL_BYTES = 16 * 2**20


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
