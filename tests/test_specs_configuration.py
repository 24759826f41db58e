"""The protocols hold, and each mechanism left out breaks one of them."""

import minicheck
import pytest

from specs import changes
from specs import configuration

MAX_STATES = 100_000


def check(protocol):
    return minicheck.check_safety(protocol, MAX_STATES)


@pytest.mark.parametrize(
    ("protocol", "least_states"),
    [
        (changes.acceptance(), 40_000),
        (configuration.spreading(), 30_000),
    ],
    ids=["acceptance", "spreading"],
)
def test_every_invariant_holds_in_every_state(protocol, least_states):
    result = check(protocol)
    assert result["exhaustive"]
    assert result["reachable_states"] >= least_states
    for name, found in result["properties"].items():
        assert found["holds"], (name, found["counterexample"])


@pytest.mark.parametrize(
    ("make", "mechanism", "broken"),
    [
        (
            changes.acceptance,
            "condition",
            "changes_are_made_onto_what_they_were_checked_against",
        ),
        (changes.acceptance, "change_id", "no_change_is_applied_twice"),
        (changes.acceptance, "archive", "no_change_is_applied_twice"),
        (changes.acceptance, "unknown", "aborted_means_not_in_history"),
        (configuration.spreading, "version_check", "no_instance_reverts"),
        (
            configuration.spreading,
            "peer_revision",
            "all_changes_up_to_the_revision_are_in_force",
        ),
        (
            configuration.spreading,
            "own_write",
            "all_changes_up_to_the_revision_are_in_force",
        ),
        (
            configuration.spreading,
            "whole_page",
            "all_changes_up_to_the_revision_are_in_force",
        ),
        (
            configuration.spreading,
            "whole_start",
            "ready_with_the_newest_that_peers_have",
        ),
    ],
)
def test_each_mechanism_left_out_gives_a_counterexample(
    make, mechanism, broken
):
    result = check(make(mechanism))
    found = result["properties"][broken]
    assert found["holds"] is False
    assert found["counterexample"]
