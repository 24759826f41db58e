"""Log lines never block, and what is believed outlives a storm."""

import json
import os

import pytest

from geraniumlink import _clock
from geraniumlink import _log_buffer

pytestmark = pytest.mark.anyio


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _read(reader):
    """Return the lines that the descriptor took."""
    data = b""
    try:
        while part := os.read(reader, 65536):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def _request(number, padding=0):
    return {
        "message_type": "request",
        "request_id": str(number),
        "outcome": "x" * padding,
    }


def _belief(number):
    return {"message_type": "lease_taken", "epoch": number}


def test_lines_are_written_at_once_and_whole(pipe):
    reader, writer = pipe
    buffer = _log_buffer.LogBuffer(writer, _clock.ManualClock())
    buffer(_belief(1))
    buffer(_request(2))
    assert _read(reader) == [_belief(1), _request(2)]


def test_a_reader_that_stopped_blocks_nobody_and_misses_no_belief(pipe):
    reader, writer = pipe
    clock = _clock.ManualClock()
    buffer = _log_buffer.LogBuffer(writer, clock)
    count = 3000
    for number in range(count):
        # 20 ms apart, so that no kind exceeds its rate.
        clock.advance(20)
        buffer(_request(number, padding=1000))
        if number % 10 == 0:
            buffer(_belief(number))
    assert buffer.dropped_count > 0
    lines = []
    while found := _read(reader):
        lines += found
        buffer.close()
    beliefs = [line["epoch"] for line in lines if "epoch" in line]
    assert beliefs == list(range(0, count, 10))
    requests = sum(line["message_type"] == "request" for line in lines)
    assert requests + buffer.dropped_count == count


def test_a_storm_of_one_kind_is_summed(pipe):
    reader, writer = pipe
    clock = _clock.ManualClock()
    buffer = _log_buffer.LogBuffer(writer, clock)
    storm = 5 * _log_buffer.LINES_PER_S
    for number in range(storm):
        buffer(_request(number))
    buffer(_belief(1))
    lines = _read(reader)
    assert len(lines) == _log_buffer.LINES_PER_S + 1
    assert lines[-1] == _belief(1)
    assert buffer.dropped_count == storm - _log_buffer.LINES_PER_S
    clock.advance(1000)
    buffer(_request(storm))
    assert _read(reader) == [_request(storm)]


def test_the_buffer_is_bounded(pipe):
    _, writer = pipe
    buffer = _log_buffer.LogBuffer(writer, _clock.ManualClock())
    for _ in range(3 * _log_buffer.MAX_BYTES // 1000):
        buffer({**_belief(1), "text": "x" * 1000})
    assert buffer.buffered_bytes <= _log_buffer.MAX_BYTES
    assert buffer.dropped_count > 0


def test_a_reader_that_has_gone_harms_nobody():
    reader, writer = os.pipe()
    os.close(reader)
    buffer = _log_buffer.LogBuffer(writer, _clock.ManualClock())
    buffer(_belief(1))
    buffer(_belief(2))
    assert buffer.dropped_count == 2
    os.close(writer)
