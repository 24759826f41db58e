"""Decides whether a request is within its account's quota; no network.

The quota holds for the requests of all instances together, so one instance
(the issuer) keeps an exact token bucket for an account, and the others charge
it for each request. Designed for 300 instances, 10,000 accounts, rates from
4,200 to 270,000 tokens a second and requests of 200 to 9,000 tokens; a charge
takes constant time, and memory grows with the accounts in use.

While an issuer is replaced, two may issue, or one may not know what another
one issued. What that may add up to in a window is bounded: the parts below
share the allowed overshoot. ``docs/design/quotas.md`` works them out.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import math
import typing

from geraniumlink import _clock

# Parts of the allowed overshoot. The first is added to each bucket's capacity,
# so that messages that overtake each other cause no refusal. The second is
# what an issuer that doesn't know the account's past begins with.
MARGIN_PART = 1 / 16
INITIAL_PART = 7 / 16
# A backup issues the first part, steadily, within BACKUP_MS, in which it is
# named the issuer if that one has ended. After that the issuer is alive and
# only some can't reach it: the second part is for the rest of the window.
BACKUP_PART = 1 / 3
BACKUP_MS = 1200
BACKUP_REST_PART = 0.15
# Without an issuer an instance uses its share of the account's recent use,
# by the first part, and of the number of instances, by the second.
LOCAL_USE_PART = 0.75
LOCAL_EQUAL_PART = 0.25
# Assumed number of instances while there is no table of issuers.
UNKNOWN_INSTANCES = 100
# A charge is refunded if it is at most this old, or at most as old as the
# burst lasts at the quota's rate.
MIN_REFUNDABLE_MS = 1000
# Longest wait that is stated to a client.
MAX_WAIT_MS = 8000
# What is known of an account that isn't used is dropped after this long. Its
# bucket is full by then.
FORGET_MS = 60_000
_TOLERANCE = 1e-6


class Bounds(typing.NamedTuple):
    """By how much the use of all instances may exceed a quota."""

    window_ms: int = 8000
    # Part of what the quota allows in a window.
    overshoot: float = 0.1
    # In the quota's unit.
    slack: float = 0.0


class Limit(typing.NamedTuple):
    """A quota's terms, in its unit (requests or tokens)."""

    rate_per_s: float
    burst: float


def allowed_overshoot(limit: Limit, bounds: Bounds) -> float:
    """Return by how much a window's use may exceed rate x window + burst."""
    in_window = limit.rate_per_s * bounds.window_ms / 1000 + limit.burst
    return bounds.overshoot * in_window + bounds.slack


def is_refundable(limit: Limit, age_ms: int) -> bool:
    """Whether a charge of some age may be taken back.

    Its tokens would be used up to the age later than they became available:
    charges of 15 s that were refunded together exceeded a window's bound.
    """
    burst_ms = 1000 * limit.burst / limit.rate_per_s
    return age_ms <= max(MIN_REFUNDABLE_MS, burst_ms)


class Role(enum.Enum):
    """Why an instance issues for an account."""

    PRIMARY = "named as the issuer"
    BACKUP = "the named issuer did not answer the asking instance"


class Hint(typing.NamedTuple):
    """What an issuer last reported to the asking instance.

    It is for another issuer, or for another process at the same address.
    """

    # Tokens in the bucket, and the account's total use a second.
    level: float
    total_per_s: float
    age_ms: int
    # Random number of the process that reported it; None if not known.
    process: int | None = None


@dataclasses.dataclass(frozen=True)
class Charged:
    """The request may be sent."""

    level: float
    total_per_s: float


@dataclasses.dataclass(frozen=True)
class OverQuota:
    """The request may not be sent before a time."""

    wait_ms: int
    level: float
    total_per_s: float


Answer = Charged | OverQuota


class IssuerRole(typing.NamedTuple):
    """The conditions under which an instance issues for an account."""

    role: Role
    # When it was given this role, by its clock.
    since: int
    # Part of the rate that it may issue: less than 1 while it can't be
    # excluded that another one issues for instances that it can't reach.
    rate_part: float = 1.0


class DecayingSum:
    """A sum whose parts decay exponentially, to measure a rate."""

    def __init__(self, decay_ms: int) -> None:
        self._decay_ms = decay_ms
        self._sum = 0.0
        self._at = 0

    def add(self, amount: float, now: int) -> None:
        self._sum = self._decayed(now) + amount
        self._at = now

    def per_s(self, now: int) -> float:
        return 1000 * self._decayed(now) / self._decay_ms

    def raise_to(self, per_s: float, now: int) -> None:
        """Set the rate, unless it is higher."""
        self._sum = max(self._decayed(now), per_s * self._decay_ms / 1000)
        self._at = now

    def _decayed(self, now: int) -> float:
        return self._sum * math.exp(min(0, self._at - now) / self._decay_ms)


class _Reservations:
    """Spreads the times at which refused requests are told to come back."""

    def __init__(self) -> None:
        self._until = 0.0

    def wait_ms(
        self, missing: float, cost: float, per_ms: float, now: int
    ) -> int:
        """Return when the tokens for a request are there.

        Those that are reserved for others are not.

        :param missing: tokens that the request lacks now.
        """
        turn_at = max(now + missing / per_ms, self._until)
        self._until = min(turn_at + cost / per_ms, now + MAX_WAIT_MS)
        return math.ceil(min(turn_at - now, MAX_WAIT_MS))


class _Bucket:
    """One account's tokens at an issuer."""

    def __init__(
        self, limit: Limit, bounds: Bounds, issuer_role: IssuerRole, now: int
    ) -> None:
        self._bounds = bounds
        self._limit = limit
        self._overshoot = allowed_overshoot(limit, bounds)
        self._role = issuer_role.role
        self._rate_part = issuer_role.rate_part
        # When this bucket began, or began again, as a backup's.
        self._backup_since = now
        self._started_at = now
        self._at = now
        self._use = DecayingSum(bounds.window_ms)
        self._reservations = _Reservations()
        level = INITIAL_PART * self._overshoot
        if issuer_role.role is Role.PRIMARY:
            # No other one has issued since it was named.
            level += limit.rate_per_s * max(0, now - issuer_role.since) / 1000
        self._level = self._start = min(level, self._capacity())

    @property
    def used_at(self) -> int:
        return self._at

    def charge(
        self,
        limit: Limit,
        cost: float,
        issuer_role: IssuerRole,
        hint: Hint | None,
        elsewhere: float,
        now: int,
    ) -> Answer:
        self._update(limit, issuer_role, now)
        if hint is not None:
            self._apply_hint(hint, now)
        self._use.add(elsewhere, now)
        floor = min(self._level, -limit.burst - self._overshoot)
        self._level = max(floor, self._level - elsewhere)
        needed = min(cost, self._capacity())
        if self._level + _TOLERANCE * needed >= needed:
            self._level -= cost
            self._use.add(cost, now)
            return Charged(self._level, self._use.per_s(now))
        wait_ms = self._reservations.wait_ms(
            needed - self._level, cost, limit.rate_per_s / 1000, now
        )
        return OverQuota(wait_ms, self._level, self._use.per_s(now))

    def refund(self, cost: float) -> None:
        self._level = min(self._capacity(), self._level + cost)

    def _capacity(self) -> float:
        burst = self._limit.burst
        if self._role is Role.BACKUP:
            return min(burst, INITIAL_PART * self._overshoot)
        return burst + MARGIN_PART * self._overshoot

    def _update(self, limit: Limit, issuer_role: IssuerRole, now: int) -> None:
        """Add the tokens that have become available, by the present terms."""
        if issuer_role.role is not self._role:
            if issuer_role.role is Role.PRIMARY:
                self._refill(min(max(self._at, issuer_role.since), now))
            self._role = issuer_role.role
            self._backup_since = now
        elif (
            issuer_role.role is Role.BACKUP
            and now - self._at >= self._bounds.window_ms
        ):
            self._refill(now)
            self._backup_since = now
        self._refill(now)
        self._rate_part = issuer_role.rate_part
        if limit != self._limit:
            self._limit = limit
            self._overshoot = allowed_overshoot(limit, self._bounds)
            self._level = min(self._level, self._capacity())

    def _refill(self, now: int) -> None:
        elapsed_ms = now - self._at
        per_ms = self._limit.rate_per_s / 1000
        if self._role is Role.PRIMARY:
            amount = per_ms * self._rate_part * elapsed_ms
        else:
            first_end = self._backup_since + BACKUP_MS
            first_ms = max(0, min(now, first_end) - self._at)
            rest_ms = max(1, self._bounds.window_ms - BACKUP_MS)
            first_per_ms = BACKUP_PART * self._overshoot / BACKUP_MS
            rest_per_ms = BACKUP_REST_PART * self._overshoot / rest_ms
            amount = min(per_ms, first_per_ms) * first_ms
            amount += min(per_ms, rest_per_ms) * (elapsed_ms - first_ms)
        refilled = self._level + amount
        # A refilled level above the capacity only arises from a change of
        # the limit or of the role.
        self._level = min(refilled, self._capacity())
        self._at = now

    def _apply_hint(self, hint: Hint, now: int) -> None:
        """Lower a bucket that began with more than its predecessor's.

        What another issuer had, with the rate since, is an upper bound.
        """
        reported_at = now - hint.age_ms
        if now - self._started_at > self._bounds.window_ms:
            return
        since_ms = max(0, self._started_at - reported_at)
        bound = hint.level + self._limit.rate_per_s * since_ms / 1000
        bound = max(bound, -self._limit.burst - self._overshoot)
        if bound < self._start:
            self._level -= self._start - bound
            self._start = bound
        decay = math.exp(-hint.age_ms / self._bounds.window_ms)
        self._use.raise_to(hint.total_per_s * decay, now)


class Issuer:
    """The buckets of the accounts that an instance issues for."""

    def __init__(self, bounds: Bounds, clock: _clock.Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        # Those used last come last.
        self._buckets: dict[str, _Bucket] = {}

    def charge(
        self,
        account: str,
        limit: Limit,
        cost: float,
        issuer_role: IssuerRole,
        hint: Hint | None = None,
        elsewhere: float = 0.0,
    ) -> Answer:
        """Charge a request, or refuse it.

        :param hint: what another issuer reported to the asking instance.
        :param elsewhere: what the asking instance sent without asking here.
        """
        now = self._clock.now()
        bucket = self._buckets.pop(account, None)
        if bucket is None:
            self._forget_idle(now)
            bucket = _Bucket(limit, self._bounds, issuer_role, now)
        self._buckets[account] = bucket
        return bucket.charge(limit, cost, issuer_role, hint, elsewhere, now)

    def refund(self, account: str, cost: float) -> None:
        """Take back the charge of a request that has not run."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.refund(cost)

    def forget(self, is_lost: Callable[[str], bool]) -> None:
        """Drop the buckets of accounts that another instance issues for."""
        for account in [name for name in self._buckets if is_lost(name)]:
            del self._buckets[account]

    def _forget_idle(self, now: int) -> None:
        for account, bucket in list(self._buckets.items()):
            if now - bucket.used_at < FORGET_MS:
                break
            del self._buckets[account]


class AccountUse:
    """What an instance knows of an account that it sends requests for.

    It decides by itself, from the local share, when no issuer answers.
    """

    def __init__(self, bounds: Bounds, now: int) -> None:
        self._bounds = bounds
        self._own = DecayingSum(bounds.window_ms)
        self._reported_by = ""
        self._reported_by_process: int | None = None
        self._reported_level = 0.0
        self._reported_total_per_s = 0.0
        self._reported_at = now
        # Part of the account's use that is this instance's; None if unknown.
        self._share: float | None = None
        self._level = 0.0
        self._level_at = now
        self._reservations = _Reservations()
        # What was sent without the issuer's knowledge, by who admitted it
        # ("": this instance), less this instance's share of the rate since.
        self._unreported: dict[str, float] = {}
        self._unreported_at = now
        self._limit = Limit(0.0, 0.0)
        self._part = 0.0
        self.used_at = now

    def set_terms(self, limit: Limit, instances: int) -> None:
        """Set the quota's present terms.

        :param instances: how many share the quota, 0 if that isn't known.
        """
        self._limit = limit
        if not instances:
            self._part = 1 / UNKNOWN_INSTANCES
            return
        equal = 1 / instances
        share = equal if self._share is None else self._share
        self._part = LOCAL_USE_PART * share + LOCAL_EQUAL_PART * equal

    @property
    def share(self) -> float | None:
        """This instance's part of the account's use, if it is known."""
        return self._share

    def reported_age_ms(self, now: int) -> int | None:
        """Return how old the issuer's last answer is; None if none came."""
        return now - self._reported_at if self._reported_by else None

    def hint_for(self, issuer: str, now: int) -> Hint | None:
        """Return what an issuer reported last.

        The given one drops what its own process reported. It isn't sent that
        if its build doesn't state its process.
        """
        if not self._reported_by or (
            self._reported_by == issuer and self._reported_by_process is None
        ):
            return None
        age_ms = now - self._reported_at
        if age_ms > FORGET_MS:
            return None
        return Hint(
            self._reported_level,
            self._reported_total_per_s,
            age_ms,
            self._reported_by_process,
        )

    def take_unreported(self, issuer: str, now: int) -> dict[str, float]:
        """Return what was sent without an issuer's knowledge, by admitter.

        It is left to the charge that reports it: concurrent ones don't report
        it again.
        """
        self._settle_unreported(now)
        taken = {
            admitter: cost
            for admitter, cost in self._unreported.items()
            if admitter != issuer
        }
        for admitter in taken:
            del self._unreported[admitter]
        return taken

    def give_back_unreported(self, taken: dict[str, float], now: int) -> None:
        """Have a later charge report it, as the answer hasn't come in time."""
        for admitter, cost in taken.items():
            self._add_unreported(admitter, cost, now)

    def note_answer(
        self,
        issuer: str,
        role: Role,
        answer: Answer,
        cost: float,
        now: int,
        process: int | None = None,
    ) -> None:
        """Record an issuer's answer to a charge of a cost.

        :param process: random number of the issuer's process, if known.
        """
        self.used_at = now
        if role is Role.PRIMARY:
            # The issuer itself admitted this, before it was named.
            self._unreported.pop(issuer, None)
        if isinstance(answer, Charged):
            self._own.add(cost, now)
            if role is Role.BACKUP:
                self._add_unreported(issuer, cost, now)
        if role is Role.PRIMARY:
            # A backup's level says nothing of what the issuer has left.
            self._reported_by, self._reported_at = issuer, now
            self._reported_by_process = process
            self._reported_level = answer.level
        self._reported_total_per_s = answer.total_per_s
        if answer.total_per_s > 0:
            own_per_s = self._own.per_s(now)
            self._share = min(1.0, own_per_s / answer.total_per_s)

    def charge_locally(self, cost: float, now: int) -> Answer:
        """Charge a request to this instance's share of the quota.

        The share's bucket may go into debt by one request: it is smaller
        than one request for most accounts.
        """
        self.used_at = now
        per_ms = self._limit.rate_per_s * self._part / 1000
        refilled = self._level + per_ms * (now - self._level_at)
        self._level = min(refilled, self._limit.burst * self._part)
        self._level_at = now
        total_per_s = self._reported_total_per_s
        if self._level < 0:
            wait_ms = self._reservations.wait_ms(
                -self._level, cost, per_ms, now
            )
            return OverQuota(wait_ms, self._level, total_per_s)
        self._level -= cost
        self._own.add(cost, now)
        self._add_unreported("", cost, now)
        return Charged(self._level, total_per_s)

    def refund_locally(self, cost: float) -> None:
        """Take back a charge to this instance's share."""
        self._level += cost
        unreported = self._unreported.get("", 0.0) - cost
        self._unreported[""] = max(0.0, unreported)

    def _add_unreported(self, admitter: str, cost: float, now: int) -> None:
        self._settle_unreported(now)
        self._unreported[admitter] = self._unreported.get(admitter, 0.0) + cost

    def _settle_unreported(self, now: int) -> None:
        """Deduct this instance's share of the rate, which it may use."""
        total = sum(self._unreported.values())
        allowed = self._limit.rate_per_s * self._part / 1000
        left = total - allowed * (now - self._unreported_at)
        self._unreported_at = now
        if left <= 0:
            self._unreported.clear()
        else:
            for admitter in self._unreported:
                self._unreported[admitter] *= left / total


class Source(enum.Enum):
    """Who decided on a charge; the values appear in log lines."""

    ISSUER = "issuer"
    BACKUP = "backup"
    LOCAL = "local share"


class Decision(typing.NamedTuple):
    """The outcome of a charge, with what it was based on."""

    account: str
    limit: Limit
    cost: float
    answer: Answer
    source: Source
    # Address of the instance that decided.
    issuer: str
    # When it was asked for, by this instance's clock.
    charged_at: int
    took_ms: int
    # This instance's part of the account's use, and the age of the issuer's
    # last answer; None if not known.
    share: float | None
    reported_age_ms: int | None

    @property
    def is_charged(self) -> bool:
        return isinstance(self.answer, Charged)


class Quotas(typing.Protocol):
    """Charges requests to accounts."""

    async def charge(
        self, account: str, limit: Limit, cost: float
    ) -> Decision:
        """Charge a request to an account; takes at most 100 ms."""

    def refund(self, decision: Decision) -> bool:
        """Take back the charge of a request that has not run.

        :returns: False if the charge is too old.
        """
