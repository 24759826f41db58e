"""The model of at-most-once execution holds, and needs each mechanism."""

import minicheck
import pytest

from specs import claims

MAX_STATES = 500_000
MUTANT_STATES = 20_000
AGEING = claims.Bounds(ageing=True)
PLAIN = claims.Bounds()


@pytest.mark.parametrize(
    "bounds, floor",
    [
        (claims.Bounds((0, 0), kills=2), 2_500),
        (claims.Bounds((0, 0), kills=2, ageing=True), 12_000),
        (claims.Bounds((0, 1, 0), kills=0), 9_000),
        (claims.Bounds((0, 0, 0), kills=1), 50_000),
        (claims.Bounds((0, 0, 0), kills=0, ageing=True), 110_000),
    ],
)
def test_every_property_holds_in_every_state(bounds, floor):
    result = minicheck.check_safety(claims.protocol(bounds), MAX_STATES)
    assert result["exhaustive"]
    assert result["reachable_states"] >= floor
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found["counterexample"])


@pytest.mark.parametrize(
    "rules, bounds, broken",
    [
        (claims.Rules(claim_first=False), PLAIN, "at_most_once"),
        (claims.Rules(take_over_on_silence=True), PLAIN, "at_most_once"),
        (
            claims.Rules(recognise_nonce=False),
            PLAIN,
            "own_claim_is_recognised",
        ),
        (claims.Rules(abandon_unreadable=False), PLAIN, "at_most_once"),
        (claims.Rules(outage_says="not_run"), PLAIN, "no_run_is_denied"),
        (claims.Rules(abandon_for_good=False), PLAIN, "not_run_is_true"),
        (
            claims.Rules(compare_digest=False),
            claims.Bounds((0, 1)),
            "answer_is_own",
        ),
        (claims.Rules(check_age_of_claimed=False), AGEING, "at_most_once"),
        (
            claims.Rules(remove_from=claims.Phase.MIXED),
            AGEING,
            "at_most_once",
        ),
        (claims.Rules(broken_is_refused=True), PLAIN, "at_most_once"),
        (claims.Rules(remember_sent=False), PLAIN, "at_most_once"),
        (claims.Rules(expired_says="not_run"), AGEING, "no_run_is_denied"),
    ],
)
def test_without_a_mechanism_a_property_fails(rules, bounds, broken):
    model = claims.protocol(bounds, rules)
    # A counterexample is one however little else was explored.
    result = minicheck.check_safety(model, MUTANT_STATES)
    assert result["properties"][broken]["holds"] is False


def test_a_recorded_trace_is_accepted_only_if_the_model_has_it():
    dispatched = [("claim_held", 0), ("call_dispatched", 0)]
    silent = [("claim_found", 1), ("owner_silent", 1)]
    overtaken = [("claim_held", 1), ("call_dispatched", 1)]
    assert claims.accepts(PLAIN, dispatched + silent) is None
    # A claim may be read before its outcome is recorded, and logged later.
    recorded = [("server_answers", 0), ("record", 0), ("claim_found", 1)]
    assert claims.accepts(PLAIN, dispatched + recorded) is None
    rejected = claims.accepts(PLAIN, dispatched + overtaken)
    assert rejected == ("claim_held", 1)
    again = [("call_abandoned", 0), ("call_dispatched", 0)]
    rejected = claims.accepts(PLAIN, dispatched[:1] + again)
    assert rejected == ("call_dispatched", 0)
