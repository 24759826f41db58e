"""Retries stay within a share of requests."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumlink.requests import _retry_budget


@given(requests=st.integers(0, 2000), attempts=st.integers(2, 4))
def test_a_failing_server_is_sent_a_bounded_multiple_of_the_load(
    requests, attempts
):
    budget = _retry_budget.RetryBudget()
    sent = 0
    for _ in range(requests):
        budget.deposit()
        sent += 1 + sum(budget.try_withdraw() for _ in range(attempts - 1))
    share = 1 + _retry_budget.RETRIES_PER_REQUEST
    assert sent <= share * requests + _retry_budget.INITIAL_RETRIES + 1e-6


def test_idle_time_saves_up_no_more_than_the_cap():
    budget = _retry_budget.RetryBudget()
    for _ in range(10_000):
        budget.deposit()
    assert budget.available == _retry_budget.MAX_AVAILABLE_RETRIES


def test_one_deployment_leaves_the_retries_of_another():
    budgets = _retry_budget.RetryBudgets()
    while budgets.for_deployment("assistant").try_withdraw():
        pass
    assert budgets.for_deployment("booking").try_withdraw()
