"""Notices when the platform's store goes on from other contents than before.

That is after it was restored from a copy, or set up anew at its address. Its
revisions then stand for other contents: those of two histories must not be
compared.

Answers are linearizable unless a call asks otherwise. So the answer to a call
that was sent after a revision was known here has at least that revision; a
lower one means another history, and so does another era, where the store
states one.
"""

from __future__ import annotations

from collections.abc import Callable
import typing

from geraniumlink import _logs
from geraniumlink import _objects


class Position(typing.NamedTuple):
    """A revision of the store, and the history that it belongs to."""

    # Number of changes of history that this process noticed before.
    history: int
    revision: int


class StoreHistory:
    """The store's present history, as its answers show it."""

    def __init__(self) -> None:
        # The highest revision that is known in the present history.
        self._known = Position(0, 0)
        # As the store stated it last; None where it states none.
        self._era: int | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def known(self) -> Position:
        """The highest revision that the store is known to have reached."""
        return self._known

    @property
    def changes(self) -> int:
        """Number of changes of history that were noticed so far."""
        return self._known.history

    def call_on_change(self, callback: Callable[[], None]) -> None:
        """Add a callback for when another history is noticed."""
        self._callbacks.append(callback)

    def note_revision(self, revision: int) -> None:
        """Record a revision that the store has reached."""
        if revision > self._known.revision:
            self._known = self._known._replace(revision=revision)

    def check_era(
        self, era: int | None, sent: Position, *, may_be_stale: bool
    ) -> None:
        """Check the era of an answer; None if it states none.

        :param sent: ``known`` as the call was sent.
        :param may_be_stale: whether the call asked for no current answer.
        :raises _objects.UnavailableError: if the answer may be one of an
            earlier history.
        """
        if era is None or era == self._era:
            if era is None and sent.history != self._known.history:
                raise _objects.UnavailableError(
                    "the store's history changed during the call"
                )
            return
        is_lower = self._era is not None and era < self._era
        is_late = may_be_stale or sent.history != self._known.history
        if is_lower and is_late:
            raise _objects.UnavailableError(
                f"the answer is of the store's era {era}, not {self._era}"
            )
        known_era, self._era = self._era, era
        # At the first answer there is nothing to compare with.
        if known_era is not None or self._known.revision:
            self._begin("era", 0, known_era)

    def check_revision(
        self, revision: int, sent: Position, least: int
    ) -> bool:
        """Return whether an answer belongs to the history it was asked of.

        :param sent: ``known`` as the call was sent.
        :param least: the lowest revision that it can have in that history.
        """
        is_known = sent.history == self._known.history
        if is_known and revision < least:
            self._begin("revision", revision, self._era)
            return False
        self.note_revision(revision)
        return is_known

    def begin_relayed(self, revision: int) -> None:
        """Go on with another history, as the controller's copy proves it.

        :param revision: up to which that copy is complete.
        """
        self._begin("relay", revision, self._era)

    def _begin(
        self, evidence: str, revision: int, known_era: int | None
    ) -> None:
        """Go on with another history, of which one revision is known."""
        _logs.event(
            "store_history_changed",
            evidence=evidence,
            revision=revision,
            known_revision=self._known.revision,
            era=self._era,
            known_era=known_era,
        )
        self._known = Position(self._known.history + 1, revision)
        for callback in self._callbacks:
            callback()


def parse_era(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the era that an answer's headers state, if there is one."""
    for name, value in headers:
        if name.lower() == b"store-era" and value.isdigit():
            return int(value[:_MAX_ERA_DIGITS])
    return None


# More digits are no count of restores; a conversion of thousands fails.
_MAX_ERA_DIGITS = 18
