"""Charges client requests to their accounts' quotas, or refuses them.

A request holds its charge while it is on its way to a replica. One that waits
for a model gives it back and is charged again when it has a replica: else
what was charged during the wait would be sent all at once. One that ends
without having run gives it back, too.
"""

from __future__ import annotations

import random

import aioprometheus

from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _quotas
from geraniumlink.serving import _request_state
from geraniumlink.serving import _types

# Clients come back when their tokens are available, or up to this part of the
# wait later.
SPREAD_PART = 0.1
MIN_RETRY_AFTER_MS = 10
# Limits the number of time series: accounts beyond this number share a label.
MAX_ACCOUNT_LABELS = 64
_OTHER_ACCOUNTS = "other"


class QuotaMetrics:
    """Counters of the charges of one instance, by account."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._labels: set[str] = set()
        self._charges = aioprometheus.Counter(
            "geraniumlink_quota_charges_total",
            "Requests charged to a quota, or refused, by account, result and"
            " who decided",
            registry=registry,
        )
        self._amounts = aioprometheus.Counter(
            "geraniumlink_quota_units_total",
            "Requests or tokens charged, refunded and refused, by account",
            registry=registry,
        )

    def record(self, decision: _quotas.Decision) -> None:
        """Count a charge or a refusal."""
        result = "charged" if decision.is_charged else "refused"
        labels = {"account": self._label(decision.account), "result": result}
        self._amounts.add(labels, decision.cost)
        self._charges.inc({**labels, "source": decision.source.value})

    def record_refund(self, decision: _quotas.Decision) -> None:
        """Count a charge that was taken back."""
        labels = {
            "account": self._label(decision.account),
            "result": "refunded",
        }
        self._amounts.add(labels, decision.cost)

    def _label(self, account: str) -> str:
        if len(self._labels) < MAX_ACCOUNT_LABELS:
            self._labels.add(account)
        return account if account in self._labels else _OTHER_ACCOUNTS


class QuotaGate:
    """Decides on the requests of one instance's clients."""

    def __init__(
        self,
        *,
        quotas: _quotas.Quotas,
        active_configuration: _active_configuration.ActiveConfiguration,
        metrics: QuotaMetrics,
        random_source: random.Random,
    ) -> None:
        self._quotas = quotas
        self._active_configuration = active_configuration
        self._metrics = metrics
        self._random = random_source

    async def admit(
        self, state: _request_state.RequestState
    ) -> _outcomes.Refusal | None:
        """Charge a request, unless it has a charge; return a refusal or None.

        One that another instance passed on was charged there.
        """
        request = state.request
        if not request.account or request.is_relayed or state.charge:
            return None
        quota = _find_quota(self._active_configuration, request.account)
        if quota is None:
            return None
        decision = await self._quotas.charge(
            request.account,
            _quotas.Limit(quota.rate_per_s, quota.burst),
            find_cost(request, quota),
        )
        self._metrics.record(decision)
        if (
            not decision.is_charged
            or decision.source is not _quotas.Source.ISSUER
        ):
            _decision_log.quota_charged(state, decision)
        match decision.answer:
            case _quotas.OverQuota(wait_ms):
                later_ms = max(MIN_RETRY_AFTER_MS, wait_ms) * (
                    1 + self._random.uniform(0, SPREAD_PART)
                )
                return _outcomes.Refusal(
                    "the account's quota is used up",
                    int(later_ms),
                    is_over_quota=True,
                )
            case _:
                state.charge = decision
                return None

    def suspend(self, state: _request_state.RequestState) -> None:
        """Take back the charge of a request that waits and hasn't run.

        ``admit`` charges it again.
        """
        self.settle(state)

    def settle(self, state: _request_state.RequestState) -> None:
        """Take back the charge of a request that no replica may have run."""
        charge = state.charge
        if charge is not None and not _may_have_run(state):
            state.charge = None
            if self._quotas.refund(charge):
                self._metrics.record_refund(charge)


def _may_have_run(state: _request_state.RequestState) -> bool:
    return (
        state.may_have_run
        or state.in_attempt
        or state.outcome == "done"
        or isinstance(state.failed_attempt, _outcomes.Failed)
    )


def find_cost(request: _types.Request, quota: _types.Quota) -> float:
    """Return what a request is charged, in the quota's unit."""
    match quota.unit:
        case _types.QuotaUnit.REQUESTS:
            return 1
        case _types.QuotaUnit.TOKENS:
            if request.has_token_usage:
                return request.prompt_tokens + request.output_tokens
            return quota.plain_tokens


def has_quotas(
    active_configuration: _active_configuration.ActiveConfiguration,
) -> bool:
    """Whether some account has a quota."""
    configuration = active_configuration.current
    if configuration is None or configuration.accounts is None:
        return False
    return configuration.accounts.have_quotas


def find_limit(
    active_configuration: _active_configuration.ActiveConfiguration,
    account: str,
) -> _quotas.Limit | None:
    """Return an account's terms by the configuration in force."""
    quota = _find_quota(active_configuration, account)
    return quota and _quotas.Limit(quota.rate_per_s, quota.burst)


def _find_quota(
    active_configuration: _active_configuration.ActiveConfiguration,
    account: str,
) -> _types.Quota | None:
    configuration = active_configuration.current
    if configuration is None or configuration.accounts is None:
        return None
    found = configuration.accounts.find(account)
    return found.quota if found else None
