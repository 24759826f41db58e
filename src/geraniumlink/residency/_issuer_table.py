"""Names the instances that issue quotas, and tells all instances.

An account belongs to one of a fixed number of rows by its name, and each row
names an issuer and a backup. So a change of a row moves the accounts of that
row only. The controller changes rows; the answers to reports carry the table
to instances that have another version. A new controller goes on with the
newest table that it or a reporting instance has.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import functools
import hashlib
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings

# Issuers at most; a power of two isn't needed.
ROWS = 8
# An instance that has not reported for this long is replaced, or sooner if
# an instance that asked it had no answer. Reports come every 250 ms.
LOST_MS = 1000
SUSPECTED_LOST_MS = 600
# One that reports is replaced if it didn't answer so many of the instances
# that asked it in the last ASKED_MS: a backup issues only a small part of the
# quota while the issuer stays named. An instance asks again 1 s after two
# answers were missing.
SUSPECTING_PART = 0.25
MIN_SUSPECTING = 2
ASKED_MS = 2000
# If the controller handled no report for this long it was stalled itself: the
# times of all reports are old, and count from the next report on.
CONTROLLER_GAP_MS = 400
# The controller names issuers only after this long in its term: the running
# instances have reported by then, with the table of its predecessor.
OBSERVATION_MS = 1000
# An issuer that got no answer to a report sent within this time may have been
# replaced.
CONFIRMED_MS = 400
# How often the reports of all are evaluated: with each of the 1,200 reports a
# second of 300 instances it would cost the square of their number.
EVALUATION_INTERVAL_MS = 50
# Rows of an instance that has more than its part are moved one by one, so
# that no two moves fall into the window of a quota. Nor is a row changed again
# within it because of an instance that still reports.
REBALANCE_INTERVAL_MS = 10_000
# An instance that ended its reports without draining may still serve clients,
# cut off from the others. It counts for this long.
ABSENT_MS = 30_000
# So many of all instances may be absent without effect on the quotas of the
# others, as the allowed overshoot covers them; and least part of a quota that
# the others may use. Accounts use 55 % of their limit on average.
ABSENT_PART = 0.02
MIN_PRESENT_PART = 0.6
# Instances that a report suspects at most, and that it names as answering.
MAX_SUSPECTED = 16


class Row(typing.NamedTuple):
    """Addresses of an issuer and its backup; "" if there is none."""

    issuer: str
    backup: str


class Table(typing.NamedTuple):
    """The issuers of all accounts; the highest version counts."""

    # Epoch of the lease of the controller that changed it last, and the
    # number of changes so far.
    epoch: int
    serial: int
    rows: tuple[Row, ...]

    @property
    def version(self) -> tuple[int, int]:
        return self.epoch, self.serial

    def row_of(self, account: str) -> Row:
        """Return the row of an account."""
        return self.rows[find_row(account)]


NO_TABLE = Table(0, 0, ())


class ReportPart(typing.TypedDict):
    """What an instance's report has of the table of issuers."""

    # Version of the table that it has.
    known: tuple[int, int]
    # The table, if it is newer than that of the last answer.
    table: list[typing.Any] | None
    # Issuers that did not answer it when it last asked, in the last ASKED_MS.
    silent: list[str]
    # Issuers that did; reports of earlier builds don't have it.
    answering: typing.NotRequired[list[str]]
    # Whether it ends soon.
    is_draining: bool
    data_centre: str


class AnswerPart(typing.TypedDict):
    """What the controller's answer has of the table of issuers."""

    known: tuple[int, int]
    # The table, if the receiver's version differs.
    table: list[typing.Any] | None
    # Whether the controller has renewed its lease recently.
    is_confirmed: bool
    # Part of each quota that may be issued: the rest may be used by instances
    # that are cut off from the controller.
    rate_part: float


@functools.lru_cache(maxsize=16_384)
def find_row(account: str) -> int:
    """Return the number of an account's row."""
    digest = hashlib.blake2b(account.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % ROWS


class Leadership(typing.Protocol):
    """Tells whether this instance is the controller."""

    @property
    def is_leader(self) -> bool: ...

    @property
    def epoch(self) -> int: ...

    def may_order(self) -> bool: ...


class _Seen(typing.NamedTuple):
    """What the controller knows of an instance."""

    reported_at: int
    is_draining: bool
    data_centre: str
    # Issuers that did not answer it, and those that did.
    silent: frozenset[str]
    answering: frozenset[str]


class IssuerTable:
    """Both sides of the exchange for one instance.

    :param is_needed: whether any account has a quota.
    """

    def __init__(
        self,
        *,
        leadership: Leadership,
        own_address: str,
        data_centre: str,
        is_needed: Callable[[], bool],
        clock: _clock.Clock,
    ) -> None:
        self._leadership = leadership
        self._own_address = own_address
        self._data_centre = data_centre
        self._is_needed = is_needed
        self._clock = clock
        self._table = NO_TABLE
        self._on_change: Callable[[Table, Table], None] = lambda _old, _new: (
            None
        )
        # As an instance: of the controller's answers.
        self._controller_version = (0, 0)
        # In time since boot.
        self._confirmed_at: int | None = None
        self._rate_part = 1.0
        # When this instance asked issuers last, by whether they answered.
        self._silent: dict[str, int] = {}
        self._answering: dict[str, int] = {}
        # When each row was changed last; None if only named.
        self._changed_at: list[int | None] = [None] * ROWS
        self._is_draining = False
        # As the controller.
        self._term = 0
        self._term_since = 0
        self._seen: dict[str, _Seen] = {}
        self._last_report_at = clock.now()
        self._rebalanced_at = 0
        self._evaluated_at = clock.now()
        self._present = 1.0

    @property
    def current(self) -> Table:
        """The newest table; without rows if there is none yet."""
        return self._table

    @property
    def rate_part(self) -> float:
        """Part of each quota that may be issued, as the controller stated."""
        return self._rate_part

    @property
    def is_confirmed(self) -> bool:
        """Whether this instance can't have been replaced as an issuer."""
        return (
            self._confirmed_at is not None
            and self._clock.since_boot() - self._confirmed_at <= CONFIRMED_MS
        )

    def call_on_change(self, callback: Callable[[Table, Table], None]) -> None:
        """Set what is called with the former and the new table."""
        self._on_change = callback

    def note_silent(self, address: str) -> None:
        """Record that an issuer did not answer this instance."""
        self._answering.pop(address, None)
        self._silent[address] = self._clock.now()

    def note_answered(self, address: str) -> None:
        """Record that an issuer answered this instance."""
        self._silent.pop(address, None)
        self._answering[address] = self._clock.now()

    def start_draining(self) -> None:
        """Have others issue in place of this instance, as it ends soon."""
        self._is_draining = True

    def make_report(self) -> ReportPart:
        """Return this instance's part of a report."""
        is_newer = self._table.version > self._controller_version
        return ReportPart(
            known=self._table.version,
            table=_to_json(self._table) if is_newer else None,
            silent=self._asked_lately(self._silent),
            answering=self._asked_lately(self._answering),
            is_draining=self._is_draining,
            data_centre=self._data_centre,
        )

    def answer_report(self, address: str, report: ReportPart) -> AnswerPart:
        """Apply an instance's report, as the controller; return the answer.

        :param address: that of the instance.
        :raises ValueError: if the report is malformed.
        """
        now = self._clock.now()
        if self._term != self._leadership.epoch:
            self._term, self._term_since = self._leadership.epoch, now
            self._seen.clear()
            self._rebalanced_at = now
        if report["table"] is not None:
            self._accept(_from_json(report["table"]))
        if now - self._last_report_at > CONTROLLER_GAP_MS:
            for other, seen in self._seen.items():
                # Those lost before stay so.
                if self._last_report_at - seen.reported_at < LOST_MS:
                    self._seen[other] = seen._replace(reported_at=now)
        self._last_report_at = now
        self._seen[address] = _Seen(
            now,
            bool(report["is_draining"]),
            str(report["data_centre"]),
            frozenset(map(str, report["silent"][:MAX_SUSPECTED])),
            frozenset(map(str, report.get("answering", [])[:MAX_SUSPECTED])),
        )
        if now - self._evaluated_at >= EVALUATION_INTERVAL_MS:
            self._evaluated_at = now
            if self._leadership.may_order() and self._is_needed():
                self._name_issuers(now)
            self._present = self._present_part(now)
        epoch, serial = report["known"]
        is_known = (int(epoch), int(serial)) == self._table.version
        return AnswerPart(
            known=self._table.version,
            table=None if is_known else _to_json(self._table),
            is_confirmed=self._leadership.may_order(),
            rate_part=self._present,
        )

    def apply_answer(self, answer: AnswerPart, sent_at: int) -> None:
        """Apply the controller's answer to a report.

        :param sent_at: time since boot before the report was sent.
        :raises ValueError: if the answer is malformed.
        """
        epoch, serial = answer["known"]
        self._controller_version = int(epoch), int(serial)
        if answer["table"] is not None:
            self._accept(_from_json(answer["table"]))
        if answer["is_confirmed"]:
            self._confirmed_at = sent_at
            self._rate_part = min(1.0, max(0.0, float(answer["rate_part"])))

    def accept_json(self, value: typing.Any) -> None:
        """Use another instance's table if it is newer.

        :raises ValueError: if it is malformed.
        """
        self._accept(_from_json(value))

    def to_json(self) -> list[typing.Any]:
        """Return the table for another instance."""
        return _to_json(self._table)

    def _asked_lately(self, asked: dict[str, int]) -> list[str]:
        now = self._clock.now()
        return sorted(
            address for address, at in asked.items() if now - at < ASKED_MS
        )[:MAX_SUSPECTED]

    def _accept(self, table: Table) -> None:
        if table.version <= self._table.version:
            return
        former, self._table = self._table, table
        named = {row.issuer for row in table.rows}
        named |= {row.backup for row in table.rows}
        for asked in (self._silent, self._answering):
            for address in asked.keys() - named:
                del asked[address]
        for number, rows in enumerate(
            zip(former.rows, table.rows, strict=False)
        ):
            if rows[0] != rows[1]:
                self._changed_at[number] = self._clock.now()
        _logs.event(
            "quota_issuers",
            epoch=table.epoch,
            serial=table.serial,
            issuers=[row.issuer for row in table.rows],
            backups=[row.backup for row in table.rows],
        )
        self._on_change(former, table)

    def _name_issuers(self, now: int) -> None:
        """Replace the issuers that don't report or don't answer any more."""
        if now - self._term_since < OBSERVATION_MS:
            return
        self._seen = {
            address: seen
            for address, seen in self._seen.items()
            if now - seen.reported_at < ABSENT_MS
        }
        rows = self._table.rows or (Row("", ""),) * ROWS
        silent, answering = self._count_answers(now)
        usable = {
            address
            for address, seen in self._seen.items()
            if not seen.is_draining
            and not self._is_lost(address, silent[address] > 0, now)
        }
        suspected = {
            address
            for address, count in silent.items()
            if count >= MIN_SUSPECTING
            and count >= SUSPECTING_PART * (count + answering[address])
        }
        # The end of the controller must not take issuers with it.
        if len(usable) > 2:
            usable.discard(self._own_address)
        if not usable:
            return
        renewed = self._replace(rows, usable, usable - suspected, now)
        if (
            renewed == rows
            and now - self._rebalanced_at >= REBALANCE_INTERVAL_MS
        ):
            self._rebalanced_at = now
            renewed = self._rebalance(rows, usable - suspected or usable)
        if renewed != rows:
            self._accept(
                Table(self._leadership.epoch, self._table.serial + 1, renewed)
            )

    def _count_answers(
        self, now: int
    ) -> tuple[collections.Counter[str], collections.Counter[str]]:
        """Return how many instances each issuer didn't answer, and did."""
        silent: collections.Counter[str] = collections.Counter()
        answering: collections.Counter[str] = collections.Counter()
        for seen in self._seen.values():
            if now - seen.reported_at < LOST_MS:
                silent.update(seen.silent)
                answering.update(seen.answering)
        return silent, answering

    def _is_lost(self, address: str, is_suspected: bool, now: int) -> bool:
        silent_ms = now - self._seen[address].reported_at
        return silent_ms >= (SUSPECTED_LOST_MS if is_suspected else LOST_MS)

    def _replace(
        self,
        rows: tuple[Row, ...],
        usable: set[str],
        answering: set[str],
        now: int,
    ) -> tuple[Row, ...]:
        """Return the rows with usable instances only.

        The backup takes the place of its issuer: it may already have issued.

        :param answering: usable ones that aren't suspected.
        """
        roles = collections.Counter(
            address for row in rows for address in row if address in usable
        )
        choosable = answering or usable
        renewed = []
        for row, changed_at in zip(rows, self._changed_at, strict=True):
            may_keep = usable
            if changed_at is None or now - changed_at >= REBALANCE_INTERVAL_MS:
                may_keep = choosable
            issuer = row.issuer if row.issuer in may_keep else ""
            backup = row.backup if row.backup in may_keep else ""
            if not issuer:
                issuer, backup = backup, ""
            if not issuer:
                issuer = self._choose(choosable, "", roles)
            if not backup:
                others = choosable - {issuer} or usable - {issuer}
                backup = self._choose(others, issuer, roles)
            renewed.append(Row(issuer, backup))
        return tuple(renewed)

    def _choose(
        self,
        usable: set[str],
        issuer: str,
        roles: collections.Counter[str],
    ) -> str:
        """Return the instance with the fewest roles, and count one more.

        A backup is best in another data centre than its issuer, so that they
        aren't cut off together.

        :param issuer: the row's issuer; "" if that is chosen.
        """
        if not usable:
            return ""
        centre = self._seen[issuer].data_centre if issuer else None
        chosen = min(
            usable,
            key=lambda address: (
                self._seen[address].data_centre == centre,
                roles[address],
                address,
            ),
        )
        roles[chosen] += 1
        return chosen

    def _rebalance(
        self, rows: tuple[Row, ...], usable: set[str]
    ) -> tuple[Row, ...]:
        """Return the rows with one less for an instance that has too many."""
        counts = collections.Counter(row.issuer for row in rows)
        busiest, most = counts.most_common(1)[0]
        idlest = min(usable, key=lambda address: (counts[address], address))
        if most - counts[idlest] < 2:
            return rows
        for number, row in enumerate(rows):
            if row.issuer == busiest:
                moved = Row(idlest, busiest)
                return (*rows[:number], moved, *rows[number + 1 :])
        return rows

    def _present_part(self, now: int) -> float:
        absent = sum(
            not seen.is_draining and now - seen.reported_at >= LOST_MS
            for seen in self._seen.values()
        )
        if not absent:
            return 1.0
        part = 1 + ABSENT_PART - absent / len(self._seen)
        return min(1.0, max(MIN_PRESENT_PART, part))


def _to_json(table: Table) -> list[typing.Any]:
    return [table.epoch, table.serial, [list(row) for row in table.rows]]


def _from_json(value: typing.Any) -> Table:
    """Return a table of another instance.

    :raises ValueError: if it is malformed.
    """
    match value:
        case [int(epoch), int(serial), list(rows)] if (
            len(rows) == ROWS or not rows
        ):
            return Table(epoch, serial, tuple(map(_row_from_json, rows)))
        case _:
            raise ValueError(f"malformed table of issuers: {value!r:.60}")


def _row_from_json(value: typing.Any) -> Row:
    match value:
        case [str(issuer), str(backup)]:
            for address in filter(None, (issuer, backup)):
                _settings.parse_address(address)
            return Row(issuer, backup)
        case _:
            raise ValueError(f"malformed issuer: {value!r:.60}")
