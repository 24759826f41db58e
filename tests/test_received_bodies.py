"""Bodies as the application receives them: their memory and time."""

import itertools
import tracemalloc

import anyio
import pytest

from geraniumlink.hosting import _application

pytestmark = pytest.mark.anyio

_BODY_BYTES = 200_000


async def test_a_body_in_small_pieces_takes_a_multiple_of_its_size():
    numbers = itertools.count(2, 2)

    async def receive():
        sent = next(numbers)
        # A new object each time, as the protocol passes it.
        part = bytes(bytearray(2))
        more = sent < _BODY_BYTES
        return {"type": "http.request", "body": part, "more_body": more}

    tracemalloc.start()
    try:
        body = await _application._read_body(receive, _BODY_BYTES)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert body == bytes(_BODY_BYTES)
    assert peak < 4 * _BODY_BYTES


async def test_an_incomplete_message_is_kept_for_ever(monkeypatch):
    """An instance's message is bounded in time, as a client's body is."""
    monkeypatch.setattr(_application, "MESSAGE_TIMEOUT_MS", 50)
    sent = []

    async def receive():
        await anyio.sleep_forever()

    async def send(message):
        sent.append(message)

    scope = {"path": "/x", "has_next_request": lambda: False}
    response = _application._response_writer.ResponseWriter(
        send, lambda: False
    )
    application = object.__new__(_application.Application)
    with anyio.fail_after(5):
        await application._serve_peer(scope, receive, response)
    assert sent[0]["status"] == 408
    assert (b"connection", b"close") in sent[0]["headers"]
