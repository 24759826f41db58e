"""Counts how requests at a replica ended."""

from __future__ import annotations

import typing


class AnswerCounts(typing.NamedTuple):
    """How requests at one or several replicas ended."""

    # Requests whose first event came within the route's target.
    in_time: int = 0
    # Late, rejected for want of room, or failed.
    missed: int = 0

    @property
    def total(self) -> int:
        return self.in_time + self.missed

    @property
    def missed_part(self) -> float:
        """The part that wasn't in time; 0 without requests."""
        return self.missed / max(1, self.total)

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Return the sum of two counts."""
        return AnswerCounts(
            self.in_time + other.in_time, self.missed + other.missed
        )

    def minus(self, other: AnswerCounts) -> AnswerCounts:
        """Return these counts without an earlier part of them."""
        return AnswerCounts(
            self.in_time - other.in_time, self.missed - other.missed
        )

    def with_one(self, is_in_time: bool) -> AnswerCounts:
        """Return the counts with one more request."""
        return self.plus(AnswerCounts(int(is_in_time), int(not is_in_time)))


NONE = AnswerCounts()
