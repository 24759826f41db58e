"""Tests of the retry budget, which bounds retries by the requests."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumlink.requests import _retry_budget


@given(requests=st.integers(0, 2000), attempts=st.integers(2, 4))
def test_retries_stay_within_a_fraction_of_the_requests(requests, attempts):
    budget = _retry_budget.RetryBudget()
    sent = 0
    for _ in range(requests):
        budget.deposit()
        sent += 1 + sum(budget.try_withdraw() for _ in range(attempts - 1))
    factor = 1 + _retry_budget.RETRIES_PER_REQUEST
    assert sent <= factor * requests + _retry_budget.INITIAL_RETRIES + 1e-6


def test_the_budget_does_not_grow_beyond_its_maximum():
    budget = _retry_budget.RetryBudget()
    for _ in range(10_000):
        budget.deposit()
    assert budget.available == _retry_budget.MAX_AVAILABLE_RETRIES


def test_deployments_have_separate_budgets():
    budgets = _retry_budget.RetryBudgets()
    while budgets.for_deployment("assistant").try_withdraw():
        pass
    assert budgets.for_deployment("booking").try_withdraw()
