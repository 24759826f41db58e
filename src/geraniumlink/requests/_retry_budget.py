"""Bounds retries to a share of requests.

A count of retries for each request multiplies the load on a service that
fails: with four attempts, everything is sent four times just when there is
least to spare. A token bucket filled by first attempts keeps the whole load
within a stated share above what callers send.
Source: B. Beyer et al. (ed.), "Site Reliability Engineering", 2016, chapter
"Handling Overload".
"""

from __future__ import annotations

# Retries that each first attempt pays for.
RETRIES_PER_REQUEST = 0.2
# Retries that a service with hardly any requests still has.
INITIAL_RETRIES = 10.0
MAX_AVAILABLE_RETRIES = 50.0


class RetryBudget:
    """The retries of one deployment at this instance."""

    def __init__(self) -> None:
        self._available = INITIAL_RETRIES

    @property
    def available(self) -> float:
        """Retries that may be made now."""
        return self._available

    def deposit(self) -> None:
        """Count a first attempt."""
        self._available = min(
            MAX_AVAILABLE_RETRIES, self._available + RETRIES_PER_REQUEST
        )

    def try_withdraw(self) -> bool:
        """Return whether a retry may be made, and count it if so."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


class RetryBudgets:
    """A budget for each deployment, so that one can't use up another's."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def for_deployment(self, deployment: str) -> RetryBudget:
        return self._budgets.setdefault(deployment, RetryBudget())
