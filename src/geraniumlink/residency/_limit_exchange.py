"""Tells all instances the limits that replicas state to some of them.

Each report to the controller has what replicas stated to its sender since
the last one that was answered, and the answer has the changes that the
sender doesn't know yet. A statement's age is passed on rather than a time,
as instances have clocks of their own.
"""

from __future__ import annotations

import typing
import uuid

from geraniumlink import _clock
from geraniumlink.serving import _replicas

# Changes in one message at most; the others follow in the next ones.
MAX_ROWS = 64

# Name of the replica, start of its process, limit or None, age in ms.
Row = tuple[str, int, float | None, int]


class News(typing.TypedDict):
    """Limits in a report to the controller, or in its answer."""

    # The controller's process, and the number of its last change that the
    # sender of a report knows, or that an answer includes.
    table: str
    change: int
    rows: list[Row]


class LimitExchange:
    """Both sides of the exchange for one instance."""

    def __init__(
        self, replicas: _replicas.Replicas, clock: _clock.Clock
    ) -> None:
        self._replicas = replicas
        self._clock = clock
        self._id = uuid.uuid4().hex
        # Number of the last change of each replica's limit here, by the
        # reports of all instances; the latest last.
        self._changes: dict[str, int] = {}
        self._last_change = 0
        # The controller's process that answered last, and its last change
        # that is known here.
        self._known_table = ""
        self._known_change = 0
        # By replica, the start of its process and the limit that the
        # controller is known to have, and those in the report that has no
        # answer yet.
        self._at_controller: dict[str, tuple[int, float | None]] = {}
        self._unanswered: dict[str, tuple[int, float | None]] = {}

    def make_report(self) -> News:
        """Return what replicas stated here and the controller doesn't have."""
        rows: list[Row] = []
        unanswered = {}
        for replica in self._replicas.all():
            # Most replicas never state a limit.
            if not replica.rate_limit.is_own or len(rows) == MAX_ROWS:
                continue
            stated = _state_of(replica)
            unlimited = replica.entry.started_at, None
            if stated != self._at_controller.get(
                replica.entry.name, unlimited
            ):
                rows.append(self._make_row(replica))
                unanswered[replica.entry.name] = stated
        self._unanswered = unanswered
        return News(
            table=self._known_table, change=self._known_change, rows=rows
        )

    def answer_report(self, report: News) -> News:
        """Apply an instance's report, as the controller; return the answer.

        :raises ValueError: if the report is malformed.
        """
        for name in self._apply_rows(report["rows"]):
            self._last_change += 1
            self._changes.pop(name, None)
            self._changes[name] = self._last_change
        since = int(report["change"]) if report["table"] == self._id else 0
        rows: list[Row] = []
        change = since
        for name, number in list(self._changes.items()):
            replica = self._replicas.get(name)
            if replica is None:
                del self._changes[name]
            elif number > since and len(rows) < MAX_ROWS:
                rows.append(self._make_row(replica))
                change = number
        return News(table=self._id, change=change, rows=rows)

    def apply_answer(self, answer: News) -> None:
        """Apply the controller's answer to the last report.

        :raises ValueError: if the answer is malformed.
        """
        table, change = str(answer["table"]), int(answer["change"])
        if table != self._known_table:
            self._at_controller.clear()
        self._known_table, self._known_change = table, change
        self._at_controller.update(self._unanswered)
        self._unanswered = {}
        for name in self._apply_rows(answer["rows"]):
            replica = self._replicas.get(name)
            if replica is not None and not replica.rate_limit.is_own:
                self._at_controller[name] = _state_of(replica)

    def _make_row(self, replica: _replicas.Replica) -> Row:
        limit = replica.rate_limit
        age_ms = self._clock.now() - limit.stated_at
        return (
            replica.entry.name,
            replica.entry.started_at,
            limit.per_s,
            age_ms,
        )

    def _apply_rows(self, rows: list[Row]) -> list[str]:
        """Apply limits; return the replicas among them that are known here.

        :raises ValueError: if a row is malformed.
        """
        now = self._clock.now()
        known = []
        for row in rows[:MAX_ROWS]:
            match row:
                case [
                    str(name),
                    int(started_at),
                    (int() | float() | None) as per_s,
                    int(age_ms),
                ]:
                    pass
                case _:
                    raise ValueError(f"malformed limit: {row!r:.60}")
            replica = self._replicas.get(name)
            if replica is not None and (
                replica.entry.started_at == started_at
            ):
                replica.learn_rate_limit(per_s, now - max(0, age_ms))
                known.append(name)
        return known


def _state_of(replica: _replicas.Replica) -> tuple[int, float | None]:
    return replica.entry.started_at, replica.rate_limit.per_s
