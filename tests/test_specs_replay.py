"""The trace checker reports log lines that break a rule."""

import json

import pytest

from specs import replay


def log_line(step, **fields):
    base = {
        "message_type": step,
        "instance": "i1",
        "epoch": 1,
        "deployment": "assistant",
        "replica": "r0",
        "model": "notes",
        "adapter": "",
        "version": "1",
        "fencing_number": 1,
        "action": "load",
        "charge_mb": 100,
        "capacity_mb": 900,
    }
    return json.dumps(base | fields)


VALID_TRACE = [
    log_line("ledger_claimed"),
    log_line("intent_written"),
    log_line("order_sent"),
    log_line("observed", seen="resident"),
    log_line("intent_retired"),
]


def omit_step(index):
    return VALID_TRACE[:index] + VALID_TRACE[index + 1 :]


INVALID_TRACES = {
    "no claim": omit_step(0),
    "no intent": omit_step(1),
    "not observed": omit_step(3),
    "sent twice": [*VALID_TRACE, log_line("order_sent")],
    "number used twice": [*VALID_TRACE, log_line("intent_written")],
    "released, not observed absent": [
        *VALID_TRACE,
        log_line("charge_released"),
    ],
    "charge above capacity": [
        VALID_TRACE[0],
        log_line("intent_written", charge_mb=901),
    ],
    "sent by another instance": [
        *VALID_TRACE[:2],
        log_line("order_sent", instance="i2"),
    ],
    "order for another copy": [
        *VALID_TRACE[:2],
        log_line("order_sent", version="2"),
    ],
}


def test_valid_trace_has_no_faults():
    assert (
        replay.check_log_lines(["not a log line", *VALID_TRACE]).faults == []
    )


@pytest.mark.parametrize("fault", INVALID_TRACES)
def test_invalid_trace_has_faults(fault):
    assert replay.check_log_lines(INVALID_TRACES[fault]).faults
