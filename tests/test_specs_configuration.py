"""Checks the models of configuration changes and each mechanism."""

import minicheck
import pytest

from specs import changes
from specs import configuration

# More than either model has, so that the search is exhaustive.
MAX_STATES = 100_000


def search_states(protocol):
    return minicheck.check_safety(protocol, MAX_STATES)


@pytest.mark.parametrize(
    ("protocol", "min_states"),
    [
        (changes.acceptance(), 40_000),
        (configuration.propagation(), 30_000),
    ],
    ids=["acceptance", "propagation"],
)
def test_every_invariant_holds_in_every_state(protocol, min_states):
    # The lower bound detects a model that has lost steps.
    result = search_states(protocol)
    assert result["exhaustive"]
    assert result["reachable_states"] >= min_states
    for name, found in result["properties"].items():
        assert found["holds"], (name, found["counterexample"])


@pytest.mark.parametrize(
    ("make_protocol", "mechanism", "broken"),
    [
        (
            changes.acceptance,
            "condition",
            "changes_are_made_onto_what_they_were_checked_against",
        ),
        (changes.acceptance, "change_id", "no_change_is_applied_twice"),
        (changes.acceptance, "archive", "no_change_is_applied_twice"),
        (changes.acceptance, "unknown", "aborted_means_not_in_history"),
        (configuration.propagation, "version_check", "no_instance_reverts"),
        (
            configuration.propagation,
            "peer_revision",
            "all_changes_up_to_the_revision_are_in_force",
        ),
        (
            configuration.propagation,
            "own_write",
            "all_changes_up_to_the_revision_are_in_force",
        ),
        (
            configuration.propagation,
            "whole_page",
            "all_changes_up_to_the_revision_are_in_force",
        ),
        (
            configuration.propagation,
            "whole_start",
            "ready_with_the_newest_that_peers_have",
        ),
    ],
)
def test_a_property_fails_without_its_mechanism(
    make_protocol, mechanism, broken
):
    result = search_states(make_protocol(mechanism))
    found = result["properties"][broken]
    assert found["holds"] is False
    assert found["counterexample"]
