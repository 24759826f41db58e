"""Keeps the suspicion tables of all instances equal through one of them.

Every instance reports to the controller several times a second. A report
carries only the entries that changed at the instance since an answered
report, and the answer only those that changed at the controller since the
instance's last answer. So tables that are equal cost nothing, however many
entries they have.

An instance and a controller that have not exchanged messages before compare
digests of their tables. Only if these differ does the controller send its
whole table, in several messages, and the instance reports again what changed
there.
"""

from __future__ import annotations

import hashlib
import typing
import uuid

import orjson

from geraniumlink.suspicion import _suspicions


class News(typing.TypedDict):
    """What an instance reports, or what the controller answers."""

    # Identifies the controller's table and the last of its changes that the
    # instance has, or that are in this answer. Empty and 0 if there is none.
    table: str
    change: int
    # Digest of the sender's whole table. An answer has it only if the report
    # was about another controller's table.
    digest: str
    # Changed entries, as ``_suspicions.to_json`` returns them.
    entries: list[list]


class TableSync:
    """Both sides of the exchange for one instance's table."""

    def __init__(self, table: _suspicions.SuspicionTable) -> None:
        self._table = table
        self._id = uuid.uuid4().hex
        # The controller's table that the last answer was from, and its last
        # change that is known here.
        self._known_table = ""
        self._known_change = 0
        # Entries in the report that has no answer yet.
        self._reported: list[_suspicions.Suspicion] = []
        # The digest for a number of changes of the table.
        self._digest = (0, "")

    def make_report(self) -> News:
        """Return the news for the controller."""
        self._reported = self._table.unreported()
        return News(
            table=self._known_table,
            change=self._known_change,
            digest=self._compute_digest(),
            entries=_suspicions.to_json(self._reported),
        )

    def answer_report(self, report: News) -> News:
        """Merge an instance's report; return the answer.

        :raises ValueError: if the report is malformed.
        """
        self._table.merge(_suspicions.from_json(report["entries"]))
        digest, since = "", int(report["change"])
        if report["table"] != self._id:
            digest = self._compute_digest()
            is_equal = report["digest"] == digest
            since = self._table.last_change if is_equal else 0
        changes = self._table.changes_since(since)
        return News(
            table=self._id,
            change=changes.last_change,
            digest=digest,
            entries=_suspicions.to_json(changes.entries),
        )

    def apply_answer(self, answer: News) -> None:
        """Merge the controller's answer to the last report.

        :raises ValueError: if the answer is malformed.
        """
        entries = _suspicions.from_json(answer["entries"])
        table, change = str(answer["table"]), int(answer["change"])
        is_new = table != self._known_table
        self._table.merge(entries)
        self._known_table, self._known_change = table, change
        if is_new and self._compute_digest() != answer["digest"]:
            # The former controller may have ended before it passed on what
            # was reported to it.
            self._table.forget_reports()
        self._table.mark_reported(self._reported)
        self._reported = []

    def _compute_digest(self) -> str:
        """Return a digest of the table without the times of expiry."""
        change = self._table.last_change
        if self._digest[0] != change or not self._digest[1]:
            rows = [
                row[:3] for row in _suspicions.to_json(self._table.entries())
            ]
            data = orjson.dumps(sorted(rows))
            digest = hashlib.blake2b(data, digest_size=16).hexdigest()
            self._digest = (change, digest)
        return self._digest[1]
