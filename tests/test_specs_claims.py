"""Checks the model of at-most-once execution and each of its mechanisms."""

import minicheck
import pytest

from specs import claims

# More than any configuration below has, so that the search is exhaustive.
MAX_STATES = 500_000
# Enough to find each mutant's counterexample.
MAX_MUTANT_STATES = 20_000
KEYS_EXPIRE = claims.Bounds(keys_expire=True)
DEFAULT = claims.Bounds()


@pytest.mark.parametrize(
    "bounds, min_states",
    [
        (claims.Bounds((0, 0), kills=2), 2_500),
        (claims.Bounds((0, 0), kills=2, keys_expire=True), 12_000),
        (claims.Bounds((0, 1, 0), kills=0), 9_000),
        (claims.Bounds((0, 0, 0), kills=1), 50_000),
        (claims.Bounds((0, 0, 0), kills=0, keys_expire=True), 110_000),
    ],
)
def test_every_property_holds_in_every_state(bounds, min_states):
    # The lower bound detects a model that has lost steps.
    result = minicheck.check_safety(claims.protocol(bounds), MAX_STATES)
    assert result["exhaustive"]
    assert result["reachable_states"] >= min_states
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found["counterexample"])


@pytest.mark.parametrize(
    "rules, bounds, broken",
    [
        (claims.Rules(claim_first=False), DEFAULT, "at_most_once"),
        (claims.Rules(take_over_on_silence=True), DEFAULT, "at_most_once"),
        (
            claims.Rules(recognise_nonce=False),
            DEFAULT,
            "own_claim_is_recognised",
        ),
        (claims.Rules(abandon_unreadable=False), DEFAULT, "at_most_once"),
        (claims.Rules(outage_answer="not_run"), DEFAULT, "no_run_is_denied"),
        (claims.Rules(abandonment_is_final=False), DEFAULT, "not_run_is_true"),
        (
            claims.Rules(compare_digest=False),
            claims.Bounds((0, 1)),
            "answer_is_own",
        ),
        (claims.Rules(recheck_key_age=False), KEYS_EXPIRE, "at_most_once"),
        (
            claims.Rules(removal_phase=claims.Phase.MIXED),
            KEYS_EXPIRE,
            "at_most_once",
        ),
        (claims.Rules(retry_lost_connection=True), DEFAULT, "at_most_once"),
        (claims.Rules(remember_until_recorded=False), DEFAULT, "at_most_once"),
        (
            claims.Rules(expired_key_answer="not_run"),
            KEYS_EXPIRE,
            "no_run_is_denied",
        ),
    ],
)
def test_a_property_fails_without_its_mechanism(rules, bounds, broken):
    model = claims.protocol(bounds, rules)
    # The search need not be exhaustive: one counterexample is enough.
    result = minicheck.check_safety(model, MAX_MUTANT_STATES)
    assert result["properties"][broken]["holds"] is False


def test_a_logged_trace_is_accepted_only_if_the_model_allows_it():
    dispatched = [("claim_held", 0), ("call_dispatched", 0)]
    unresponsive = [("claim_found", 1), ("owner_silent", 1)]
    overtaken = [("claim_held", 1), ("call_dispatched", 1)]
    assert (
        claims.first_rejected_step(DEFAULT, dispatched + unresponsive) is None
    )
    # A claim may be read before its outcome is recorded, and logged later.
    recorded = [("server_answers", 0), ("record", 0), ("claim_found", 1)]
    assert claims.first_rejected_step(DEFAULT, dispatched + recorded) is None
    rejected = claims.first_rejected_step(DEFAULT, dispatched + overtaken)
    assert rejected == ("claim_held", 1)
    again = [("call_abandoned", 0), ("call_dispatched", 0)]
    rejected = claims.first_rejected_step(DEFAULT, dispatched[:1] + again)
    assert rejected == ("call_dispatched", 0)
