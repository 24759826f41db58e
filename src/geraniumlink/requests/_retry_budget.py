"""Limits retries to a fraction of the requests.

A limit on the retries of each request alone multiplies the load on a failing
service: with four attempts, every request is sent four times just when
capacity is lowest. A token bucket that first attempts fill bounds the total
load to a fixed fraction above the load from callers.
Source: B. Beyer et al. (ed.), "Site Reliability Engineering", 2016, chapter
"Handling Overload".
"""

from __future__ import annotations

# Retries that each first attempt adds to the budget.
RETRIES_PER_REQUEST = 0.2
# Initial budget, so that a service with few requests can retry at all.
INITIAL_RETRIES = 10.0
# Bound of the budget, so that no burst of retries builds up over time.
MAX_AVAILABLE_RETRIES = 50.0


class RetryBudget:
    """The retry budget of one deployment at this instance."""

    def __init__(self) -> None:
        self._available = INITIAL_RETRIES

    @property
    def available(self) -> float:
        """The retries that may be made now, with fractions."""
        return self._available

    def deposit(self) -> None:
        """Add the retries that one first attempt contributes."""
        self._available = min(
            MAX_AVAILABLE_RETRIES, self._available + RETRIES_PER_REQUEST
        )

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; return False if there is none."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


class RetryBudgets:
    """A separate budget for each deployment.

    Retries of a failing deployment thus leave those of the others.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def for_deployment(self, deployment: str) -> RetryBudget:
        """Return the budget of a deployment, a new one at first use."""
        return self._budgets.setdefault(deployment, RetryBudget())
