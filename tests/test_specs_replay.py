"""The replay refuses traces that break a rule of the specification."""

import json

import pytest

from specs import replay


def line(step, **fields):
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


GOOD = [
    line("ledger_claimed"),
    line("intent_written"),
    line("order_sent"),
    line("observed", seen="resident"),
    line("intent_retired"),
]


def without(index):
    return GOOD[:index] + GOOD[index + 1 :]


BROKEN = {
    "no claim": without(0),
    "no intent": without(1),
    "not observed": without(3),
    "sent twice": [*GOOD, line("order_sent")],
    "number used twice": [*GOOD, line("intent_written")],
    "released without an absence": [*GOOD, line("charge_released")],
    "overcharged": [GOOD[0], line("intent_written", charge_mb=901)],
    "sent by another": [*GOOD[:2], line("order_sent", instance="i2")],
    "other copy sent": [*GOOD[:2], line("order_sent", version="2")],
}


def test_a_run_that_follows_the_steps_is_accepted():
    assert replay.check_log_lines(["not a log line", *GOOD]).faults == []


@pytest.mark.parametrize("fault", BROKEN)
def test_a_broken_run_is_refused(fault):
    assert replay.check_log_lines(BROKEN[fault]).faults
