"""A refusal states that a request has not run, so it must be true."""

import random

import anyio
import pytest

from geraniumlink import platform
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _request_state
from geraniumlink.serving import _response_writer
from tests import builders
from tests import hosts


def _answer(outcome, relayed_attempts=None, **fields):
    """Return the status of the final answer after an outcome."""
    sent = []

    async def send(message):
        sent.append(message)

    spec = hosts.configuration(1, hosts.route("x", "safe"))
    configuration = platform.decode_configuration(spec)
    route = configuration.routes[0]
    state = _request_state.RequestState(
        builders.model_request(relayed_attempts=relayed_attempts),
        _response_writer.ResponseWriter(send, lambda: False),
        route,
        "assistant",
        1000,
    )
    for name, value in fields.items():
        setattr(state, name, value)
    answers = _final_answers.FinalAnswers(random.Random(1))
    if isinstance(outcome, _outcomes.Refusal):
        anyio.run(answers.send_refusal, state, outcome)
    else:
        anyio.run(answers.send_failure, state, outcome)
    return sent[0]["status"]


@pytest.mark.parametrize("status", (429, 503))
@pytest.mark.parametrize("ran", (True, False))
def test_a_peer_refuses_what_may_have_run_before(status, ran):
    """The other instance doesn't know of the attempts made here."""
    failed = _outcomes.Failed(status, [], b"")
    answered = _answer(failed, passed_on=True, may_have_run=ran)
    assert answered == (502 if ran else status)


def test_a_failure_of_a_replica_is_passed_on():
    failed = _outcomes.Failed(503, [], b"")
    assert _answer(failed, may_have_run=True) == 503
    failed = _outcomes.Failed(500, [], b"")
    assert _answer(failed, passed_on=True, may_have_run=True) == 500


@pytest.mark.parametrize(
    ("relayed_attempts", "expected"),
    ((None, 503), (0, 503), (1, 502)),
)
def test_a_relayed_request_that_may_have_run_is_refused(
    relayed_attempts, expected
):
    refusal = _outcomes.Refusal("no replica is in service", 500)
    assert _answer(refusal, relayed_attempts) == expected
