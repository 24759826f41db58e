"""Whether a request may be retried after an attempt, as its route rules.

Budget, time and crashes are left out: they don't depend on the route.
"""

from __future__ import annotations

from geraniumlink.serving import _outcomes
from geraniumlink.serving import _request_state


def why_may_not_retry(
    state: _request_state.RequestState, outcome: _outcomes.Outcome
) -> str:
    """Return why there may be no retry after an outcome; "" if there may.

    A replica's statement that it did not run the request uses up none of
    the replicas on which the route lets it run.
    """
    if state.passed_on and isinstance(
        outcome, _outcomes.Failed | _outcomes.Declined
    ):
        return "the other instance's answer is final"
    match outcome:
        case _outcomes.NotRun():
            may_retry = True
        case _outcomes.Failed(status=status):
            may_retry = state.can_be_repeated and status >= 500
        case _:
            may_retry = state.can_be_repeated
    if not may_retry:
        return "the route does not allow it after this"
    if state.runs >= state.route.max_attempts:
        return "no attempts left"
    return ""


def may_wait_for_copy(state: _request_state.RequestState) -> bool:
    """Whether a request may wait until another replica holds its model.

    In overload, the requests that full holders reject would otherwise have
    copies loaded in the place of other models. Those that were sent to fewer
    replicas than the route allows do wait.
    """
    return (
        not state.was_rejected_as_full
        or state.attempts < state.route.max_attempts
    )


def keeps_reserve(
    state: _request_state.RequestState, outcome: _outcomes.Outcome
) -> bool:
    """Whether a retry leaves the reserve of the retry budget to others.

    Rejections may be many at once. The reserve is for urgent requests, and
    for those that broke off, which are lost without a retry.
    """
    return isinstance(outcome, _outcomes.NotRun) and state.route.priority > 0
