"""Logging never blocks, and surges of requests drop no lines on state."""

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
    """Return the lines that are in the pipe."""
    data = b""
    try:
        while part := os.read(reader, 65536):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def _request_line(number, padding=0):
    return {
        "message_type": "request",
        "request_id": str(number),
        "outcome": "x" * padding,
    }


def _state_line(number):
    return {"message_type": "lease_taken", "epoch": number}


def test_lines_are_written_at_once_and_whole(pipe):
    reader, writer = pipe
    buffer = _log_buffer.LogBuffer(writer, _clock.ManualClock())
    buffer(_state_line(1))
    buffer(_request_line(2))
    assert _read(reader) == [_state_line(1), _request_line(2)]


def test_a_stopped_reader_blocks_nothing_and_misses_no_state_line(pipe):
    reader, writer = pipe
    clock = _clock.ManualClock()
    buffer = _log_buffer.LogBuffer(writer, clock)
    count = 3000
    for number in range(count):
        # 20 ms apart, so that no message exceeds its limit.
        clock.advance(20)
        buffer(_request_line(number, padding=1000))
        if number % 10 == 0:
            buffer(_state_line(number))
    assert buffer.dropped_count > 0
    lines = []
    while found := _read(reader):
        lines += found
        buffer.close()
    epochs = [line["epoch"] for line in lines if "epoch" in line]
    assert epochs == list(range(0, count, 10))
    requests = sum(line["message_type"] == "request" for line in lines)
    assert requests + buffer.dropped_count == count


def test_a_surge_of_one_message_is_limited(pipe):
    reader, writer = pipe
    clock = _clock.ManualClock()
    buffer = _log_buffer.LogBuffer(writer, clock)
    surge = 5 * _log_buffer.LINES_PER_S
    for number in range(surge):
        buffer(_request_line(number))
    buffer(_state_line(1))
    lines = _read(reader)
    assert len(lines) == _log_buffer.LINES_PER_S + 1
    assert lines[-1] == _state_line(1)
    assert buffer.dropped_count == surge - _log_buffer.LINES_PER_S
    clock.advance(1000)
    buffer(_request_line(surge))
    assert _read(reader) == [_request_line(surge)]


def test_the_buffer_is_bounded(pipe):
    _, writer = pipe
    buffer = _log_buffer.LogBuffer(writer, _clock.ManualClock())
    for _ in range(3 * _log_buffer.MAX_BYTES // 1000):
        buffer({**_state_line(1), "text": "x" * 1000})
    assert buffer.buffered_bytes <= _log_buffer.MAX_BYTES
    assert buffer.dropped_count > 0


def test_lines_are_dropped_after_the_reader_has_closed_the_pipe():
    reader, writer = os.pipe()
    os.close(reader)
    buffer = _log_buffer.LogBuffer(writer, _clock.ManualClock())
    buffer(_state_line(1))
    buffer(_state_line(2))
    assert buffer.dropped_count == 2
    os.close(writer)
