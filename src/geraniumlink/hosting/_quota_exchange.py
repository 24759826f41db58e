"""Charges requests to the issuers of their accounts' quotas.

The table of issuers names, for each account, the instance that keeps its
bucket, and a backup that is asked if that one doesn't answer. If neither
answers, the instance decides from its local share. Until there is a table the
holder of the controller's lease issues. Each message is one datagram, as a
request must not wait for an instance that doesn't answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools
import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.hosting import _datagrams
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _issuer_table
from geraniumlink.serving import _quotas

# How long the answers of an issuer and of its backup are waited for. Latency
# targets start at 130 ms, so a decision takes at most 100 ms.
ISSUER_TIMEOUT_MS = 60
BACKUP_TIMEOUT_MS = 40
# After this many answers missing in a row an instance isn't asked for
# SILENCE_MS.
MAX_MISSING = 2
SILENCE_MS = 1000
# Charges without an answer that are remembered: a late answer is refunded.
MAX_LATE = 1024
# Without a table, the number of instances is taken as known only this long
# after the start: all may have started together. Later there is none as the
# controller is of a build that names no issuers.
SETTLE_MS = 5000
# Accounts whose use is remembered; those used last are.
MAX_ACCOUNTS = 16_384
# An issuer that the controller doesn't confirm checks how many instances it
# reaches: every interval it asks so many others. If it reaches fewer than
# this part of them, it issues no more than that part of each quota, as
# another one may have been named for the rest. Until it knows, it issues
# UNSURE_PART, which is more than accounts use on average (55 %).
CHECK_INTERVAL_MS = 100
CHECKED_INSTANCES = 12
MIN_REACHED_PART = 0.85
UNSURE_PART = 0.6


# Where a charge states the process that gave the hint, after the items that
# all builds have.
_PROCESS_ITEM = 2


class Leadership(typing.Protocol):
    """Tells which instance is the controller."""

    @property
    def leader(self) -> str: ...


class _Answered(typing.NamedTuple):
    """An issuer's answer, and as what it was given."""

    role: _quotas.Role
    answer: _quotas.Answer
    # Random number of the issuer's process; None if its build states none.
    process: int | None


class _Pending(typing.NamedTuple):
    """A charge whose answer hasn't come."""

    issuer: str
    account: str
    limit: _quotas.Limit
    cost: float
    # What was admitted without the issuer's knowledge, by admitter.
    unreported: dict[str, float]
    charged_at: int
    answer: asyncio.Future[_Answered]


class _Reach:
    """How many other instances answered an unconfirmed issuer."""

    def __init__(self) -> None:
        self._asked = 0
        self._answered = 0
        # None while it isn't known.
        self.part: float | None = None

    def start_round(self, asked: int) -> None:
        """Take the last round's result, and begin another."""
        if self._asked:
            self.part = min(1.0, self._answered / self._asked)
        self._asked, self._answered = asked, 0

    def note_answer(self) -> None:
        self._answered += 1

    def reset(self) -> None:
        self._asked = self._answered = 0
        self.part = None


class QuotaExchange:
    """Both sides of the exchange for one instance.

    :param find_limit: returns the quota of an account by the configuration
        in force here; None if it isn't known or unlimited.
    """

    def __init__(
        self,
        *,
        table: _issuer_table.IssuerTable,
        leadership: Leadership,
        directory: _instance_directory.InstanceDirectory,
        datagrams: _datagrams.Datagrams,
        find_limit: Callable[[str], _quotas.Limit | None],
        bounds: _quotas.Bounds,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._leadership = leadership
        self._directory = directory
        self._own_address = directory.own_address
        self._datagrams = datagrams
        self._find_limit = find_limit
        self._bounds = bounds
        self._clock = clock
        self._random = random_source
        self._started_at = clock.now()
        # Tells an issuer's buckets from those of an earlier process at its
        # address, which are lost.
        self._process = random_source.getrandbits(31) + 1
        self._issuer = _quotas.Issuer(bounds, clock)
        # Since when this instance issues for each row; None if it doesn't.
        self._issues_since: list[int | None] = [None] * _issuer_table.ROWS
        # Since when it issues as there is no table; None if it doesn't.
        self._provisional_since: int | None = None
        self._reach = _Reach()
        # As the asking instance; the accounts used last come last.
        self._uses: dict[str, _quotas.AccountUse] = {}
        self._numbers = itertools.count(random_source.getrandbits(32))
        self._pending: dict[int, _Pending] = {}
        self._late: dict[int, _Pending] = {}
        # Answers missing in a row, and until when it isn't asked, by address.
        self._missing: dict[str, int] = {}
        self._silent_until: dict[str, int] = {}
        table.call_on_change(self._apply_table)
        datagrams.add_handler(("charge",), self._handle_charge)
        datagrams.add_handler(("refund",), self._handle_refund)
        datagrams.add_handler(("charged", "over_quota"), self._handle_answer)
        datagrams.add_handler(("issuers",), self._handle_check)
        datagrams.add_handler(("issuers_known",), self._handle_checked)

    async def charge(
        self, account: str, limit: _quotas.Limit, cost: float
    ) -> _quotas.Decision:
        """Charge a request to an account; takes at most 100 ms."""
        began = self._clock.now()
        use = self._find_use(account, began)
        reported_age_ms = use.reported_age_ms(began)
        use.set_terms(limit, self._count_instances())
        for address, timeout_ms in self._find_issuers(account):
            answer = await self._ask(
                address, account, limit, cost, use, timeout_ms
            )
            if answer is None:
                continue
            role, decided, process = answer
            now = self._clock.now()
            use.note_answer(address, role, decided, cost, now, process)
            source = (
                _quotas.Source.ISSUER
                if role is _quotas.Role.PRIMARY
                else _quotas.Source.BACKUP
            )
            break
        else:
            address, source = self._own_address, _quotas.Source.LOCAL
            now = self._clock.now()
            decided = use.charge_locally(cost, now)
        return _quotas.Decision(
            account,
            limit,
            cost,
            decided,
            source,
            address,
            began,
            now - began,
            use.share,
            reported_age_ms,
        )

    def refund(self, decision: _quotas.Decision) -> bool:
        """Take back the charge of a request that has not run.

        :returns: False if the charge is too old.
        """
        age_ms = self._clock.now() - decision.charged_at
        if not _quotas.is_refundable(decision.limit, age_ms):
            return False
        if decision.source is _quotas.Source.LOCAL:
            use = self._uses.get(decision.account)
            if use is not None:
                use.refund_locally(decision.cost)
        else:
            self._send_refund(decision.issuer, decision.account, decision.cost)
        return True

    async def run(self) -> None:
        """Check how many instances are reached while not confirmed."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            self._check_reach()

    def _count_instances(self) -> int:
        """Return how many share a quota; 0 if that isn't known."""
        if (
            not self._table.current.rows
            and self._clock.now() - self._started_at < SETTLE_MS
        ):
            return 0
        return len(self._directory.others) + 1

    def _find_use(self, account: str, now: int) -> _quotas.AccountUse:
        use = self._uses.pop(account, None)
        if use is None:
            use = _quotas.AccountUse(self._bounds, now)
            if len(self._uses) >= MAX_ACCOUNTS:
                del self._uses[next(iter(self._uses))]
        self._uses[account] = use
        return use

    def _find_issuers(self, account: str) -> list[tuple[str, int]]:
        """Return the instances to ask, and how long each is waited for."""
        table = self._table.current
        if table.rows:
            issuer, backup = table.row_of(account)
            found = [(issuer, ISSUER_TIMEOUT_MS), (backup, BACKUP_TIMEOUT_MS)]
        else:
            found = [(self._leadership.leader, ISSUER_TIMEOUT_MS)]
        now = self._clock.now()
        return [
            (address, timeout_ms)
            for address, timeout_ms in found
            if address and self._silent_until.get(address, now) <= now
        ]

    async def _ask(
        self,
        address: str,
        account: str,
        limit: _quotas.Limit,
        cost: float,
        use: _quotas.AccountUse,
        timeout_ms: int,
    ) -> _Answered | None:
        """Ask an instance; None if it doesn't issue, or doesn't answer."""
        if address == self._own_address:
            return self._charge_here(account, limit, cost, use)
        now = self._clock.now()
        table = self._table.current
        unreported: dict[str, float] = {}
        # A backup has a part of the overshoot of its own; the issuer is told.
        if not table.rows or table.row_of(account).issuer == address:
            unreported = use.take_unreported(address, now)
        number = next(self._numbers)
        pending = _Pending(
            address,
            account,
            limit,
            cost,
            unreported,
            now,
            asyncio.get_running_loop().create_future(),
        )
        self._pending[number] = pending
        message = _encode_charge(
            number, pending, table.version, use.hint_for(address, now)
        )
        self._datagrams.send([address], message)
        answer = None
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                answer = await pending.answer
        finally:
            del self._pending[number]
            if answer is None:
                use.give_back_unreported(unreported, self._clock.now())
                self._late[number] = pending
                if len(self._late) > MAX_LATE:
                    del self._late[next(iter(self._late))]
        if answer is None:
            self._note_missing(address)
        else:
            self._missing.pop(address, None)
            self._table.note_answered(address)
        return answer

    def _charge_here(
        self,
        account: str,
        limit: _quotas.Limit,
        cost: float,
        use: _quotas.AccountUse,
    ) -> _Answered | None:
        """Charge a request of this instance; None if it doesn't issue."""
        now = self._clock.now()
        issuer_role = self._find_issuer_role(
            account, self._table.current.version
        )
        if issuer_role is None:
            return None
        unreported: dict[str, float] = {}
        if issuer_role.role is _quotas.Role.PRIMARY:
            unreported = use.take_unreported(self._own_address, now)
        hint = use.hint_for(self._own_address, now)
        answer = self._issuer.charge(
            account,
            limit,
            cost,
            issuer_role,
            self._without_own(hint),
            sum(unreported.values()),
        )
        return _Answered(issuer_role.role, answer, self._process)

    def _without_own(self, hint: _quotas.Hint | None) -> _quotas.Hint | None:
        """Return a hint unless this process gave it."""
        if hint is not None and hint.process == self._process:
            return None
        return hint

    def _note_missing(self, address: str) -> None:
        now = self._clock.now()
        missing = self._missing.get(address, 0) + 1
        self._missing[address] = missing
        self._table.note_silent(address)
        if (
            missing >= MAX_MISSING
            and self._silent_until.get(address, now) <= now
        ):
            self._silent_until[address] = now + SILENCE_MS
            _logs.event("quota_issuer_silent", issuer=address, missing=missing)

    def _apply_table(
        self, former: _issuer_table.Table, table: _issuer_table.Table
    ) -> None:
        """Begin or end to issue for the rows that have changed."""
        now = self._clock.now()
        own = self._own_address
        lost = set()
        for number, row in enumerate(table.rows):
            before = former.rows[number] if former.rows else None
            if row.issuer != own:
                self._issues_since[number] = None
                if row.backup != own:
                    lost.add(number)
            elif before is None:
                self._issues_since[number] = self._provisional_since or now
            elif before.issuer != own:
                self._issues_since[number] = now
                if before.backup != own:
                    lost.add(number)
        self._issuer.forget(
            lambda account: _issuer_table.find_row(account) in lost
        )
        self._provisional_since = None
        self._missing.clear()
        self._silent_until.clear()

    def _find_issuer_role(
        self, account: str, asker_version: tuple[int, int]
    ) -> _quotas.IssuerRole | None:
        """Return why this instance issues for an account; None if not.

        :param asker_version: version of the asking instance's table.
        """
        table, now = self._table.current, self._clock.now()
        is_leader = self._leadership.leader == self._own_address
        if not table.rows:
            if is_leader and asker_version == table.version:
                if self._provisional_since is None:
                    self._provisional_since = now
                return _quotas.IssuerRole(
                    _quotas.Role.PRIMARY, self._provisional_since
                )
        else:
            number = _issuer_table.find_row(account)
            since = self._issues_since[number]
            if since is not None:
                return _quotas.IssuerRole(
                    _quotas.Role.PRIMARY, since, self._rate_part()
                )
            if table.rows[number].backup == self._own_address:
                return _quotas.IssuerRole(_quotas.Role.BACKUP, now)
        # One that has no table yet asks the controller. One with a newer
        # table may know that this instance has been named.
        if asker_version > table.version or (
            is_leader and asker_version == _issuer_table.NO_TABLE.version
        ):
            return _quotas.IssuerRole(_quotas.Role.BACKUP, now)
        return None

    def _rate_part(self) -> float:
        """Return the part of each quota that this instance may issue."""
        if self._table.is_confirmed:
            return self._table.rate_part
        instances = self._count_instances()
        if instances <= 1:
            return 1.0
        if self._reach.part is None:
            return UNSURE_PART
        if self._reach.part >= MIN_REACHED_PART:
            return 1.0
        return max(self._reach.part, 1 / instances)

    def _check_reach(self) -> None:
        others = self._directory.others
        if (
            self._table.is_confirmed
            or not others
            or not any(since is not None for since in self._issues_since)
        ):
            self._reach.reset()
            return
        checked = self._random.sample(
            others, min(CHECKED_INSTANCES, len(others))
        )
        self._reach.start_round(len(checked))
        self._datagrams.send(checked, ["issuers", self._table.current.version])

    def _send_refund(self, issuer: str, account: str, cost: float) -> None:
        if issuer == self._own_address:
            self._issuer.refund(account, cost)
        else:
            self._datagrams.send([issuer], ["refund", account, _shorten(cost)])

    def _handle_charge(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Answer another instance, unless this isn't an issuer.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [
                _,
                int(number),
                str(account),
                (int() | float()) as cost,
                (int() | float()) as rate_per_s,
                (int() | float()) as burst,
                [int(epoch), int(serial)],
                *more,
            ] if cost >= 0 and rate_per_s > 0 and burst >= 0:
                elsewhere, hint = _decode_past(more)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")
        issuer_role = self._find_issuer_role(account, (epoch, serial))
        is_asked_in_error = (
            issuer_role is None or issuer_role.role is _quotas.Role.BACKUP
        ) and (epoch, serial) < self._table.current.version
        if is_asked_in_error:
            self._datagrams.send(
                [str(sender)], ["issuers_known", self._table.to_json()]
            )
        if issuer_role is None:
            return
        limit = self._find_limit(account) or _quotas.Limit(rate_per_s, burst)
        answer = self._issuer.charge(
            account,
            limit,
            cost,
            issuer_role,
            self._without_own(hint),
            elsewhere,
        )
        stated = [
            _shorten(answer.level),
            _shorten(answer.total_per_s),
            issuer_role.role is _quotas.Role.PRIMARY,
        ]
        match answer:
            case _quotas.Charged():
                reply = ["charged", number, *stated]
            case _quotas.OverQuota(wait_ms):
                reply = ["over_quota", number, *stated, wait_ms]
        if len(more) > _PROCESS_ITEM:
            # Readers of earlier builds refuse an answer with another item.
            reply.append(self._process)
        self._datagrams.send([str(sender)], reply)

    def _handle_refund(
        self, message: list[typing.Any], _: _settings.Address
    ) -> None:
        """Take a charge back.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [_, str(account), (int() | float()) as cost] if cost >= 0:
                self._issuer.refund(account, cost)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")

    def _handle_answer(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Pass an issuer's answer to the request that waits for it.

        One of an instance that was not asked is ignored: it may be meant for
        an earlier process at this address.

        :raises ValueError: if the message is malformed.
        """
        answer: _quotas.Answer
        match message:
            case [
                "charged",
                int(number),
                (int() | float()) as level,
                (int() | float()) as total_per_s,
                bool(is_primary),
                *more,
            ]:
                answer = _quotas.Charged(level, total_per_s)
            case [
                "over_quota",
                int(number),
                (int() | float()) as level,
                (int() | float()) as total_per_s,
                bool(is_primary),
                int(wait_ms),
                *more,
            ]:
                answer = _quotas.OverQuota(wait_ms, level, total_per_s)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")
        role = _quotas.Role.PRIMARY if is_primary else _quotas.Role.BACKUP
        pending = self._pending.get(number) or self._late.get(number)
        if (
            pending is None
            or _settings.parse_address(pending.issuer) != sender
        ):
            return
        if number in self._pending:
            if not pending.answer.done():
                pending.answer.set_result(
                    _Answered(role, answer, _decode_process(more))
                )
            return
        late = self._late.pop(number)
        # What it reported was given back to be reported again.
        amount = sum(late.unreported.values())
        if isinstance(answer, _quotas.Charged):
            amount += late.cost
        age_ms = self._clock.now() - late.charged_at
        if amount and _quotas.is_refundable(late.limit, age_ms):
            self._send_refund(late.issuer, late.account, amount)

    def _handle_check(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Tell an issuer that it reaches this instance, and a newer table.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [_, [int(epoch), int(serial)]]:
                is_newer = self._table.current.version > (epoch, serial)
                table = self._table.to_json() if is_newer else None
                self._datagrams.send([str(sender)], ["issuers_known", table])
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")

    def _handle_checked(
        self, message: list[typing.Any], _: _settings.Address
    ) -> None:
        """Record that another instance is reached.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [_, table]:
                self._reach.note_answer()
                if table is not None:
                    self._table.accept_json(table)
            case _:
                raise ValueError(f"malformed message: {message!r:.60}")


def _encode_charge(
    number: int,
    charge: _Pending,
    version: tuple[int, int],
    hint: _quotas.Hint | None,
) -> list[typing.Any]:
    """Return the message of a charge."""
    message: list[typing.Any] = [
        "charge",
        number,
        charge.account,
        _shorten(charge.cost),
        charge.limit.rate_per_s,
        charge.limit.burst,
        version,
    ]
    return [
        *message,
        _shorten(sum(charge.unreported.values())),
        hint and [*map(_shorten, hint[:2]), hint.age_ms],
        hint and hint.process,
    ]


def _decode_past(
    items: list[typing.Any],
) -> tuple[float, _quotas.Hint | None]:
    """Return what was sent without the issuer, and another one's answer.

    :raises ValueError: if they are malformed.
    """
    match items:
        case []:
            return 0.0, None
        case [(int() | float()) as elsewhere, None, *_] if elsewhere >= 0:
            return elsewhere, None
        case [
            (int() | float()) as elsewhere,
            [
                (int() | float()) as level,
                (int() | float()) as total_per_s,
                int(age_ms),
            ],
            *_,
        ] if elsewhere >= 0 and total_per_s >= 0 and age_ms >= 0:
            process = _decode_process(items[_PROCESS_ITEM:])
            return elsewhere, _quotas.Hint(level, total_per_s, age_ms, process)
        case _:
            raise ValueError(f"malformed charge: {items!r:.60}")


def _decode_process(items: list[typing.Any]) -> int | None:
    """Return the number of an issuer's process; None if it isn't stated."""
    match items:
        case [int(process), *_]:
            return process
        case _:
            return None


def _shorten(number: float) -> float:
    """Return a number with as many digits as a message needs."""
    return round(number, 3)
