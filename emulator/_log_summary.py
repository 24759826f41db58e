"""Counts of log lines, the same for an emulated day and a bench's."""

from __future__ import annotations

import collections
import statistics
import typing

# Outcomes of requests that are told apart, as they begin.
_OUTCOMES = (
    "done",
    "refused: the model",
    "refused: the adapter",
    "refused: no replica can",
    "refused",
    "timed out",
    "client left",
)
_OTHER = "other"


class LogSummary(typing.TypedDict):
    """What a day's lines say of requests for models."""

    requests: int
    # Shares of the requests by outcome.
    outcomes: dict[str, float]
    # From a request to the end of its answer, of those that were done.
    done_p50_ms: float
    done_p90_ms: float
    moves: int
    near_moves: int


class LogSummarizer:
    """Takes log lines one by one."""

    def __init__(self) -> None:
        self.moves = 0
        self._near_moves = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._done_ms: list[int] = []

    def add_line(self, message: str, fields: dict[str, typing.Any]) -> None:
        """Count a line."""
        match message:
            case "move":
                self.moves += 1
                self._near_moves += bool(fields["near"])
            case "request" if fields["model"]:
                outcome = _outcome_category(fields["outcome"])
                self._outcomes[outcome] += 1
                if outcome == "done":
                    self._done_ms.append(fields["took_ms"])

    def summarize(self) -> LogSummary:
        """Return the numbers of the lines so far.

        :raises ValueError: if fewer than two requests were done.
        """
        if len(self._done_ms) < 2:
            raise ValueError("fewer than two requests for models were done")
        total = self._outcomes.total()
        tenths = statistics.quantiles(self._done_ms, n=10)
        return LogSummary(
            requests=total,
            outcomes={
                outcome: self._outcomes[outcome] / total
                for outcome in (*_OUTCOMES, _OTHER)
            },
            done_p50_ms=tenths[4],
            done_p90_ms=tenths[8],
            moves=self.moves,
            near_moves=self._near_moves,
        )


def _outcome_category(outcome: str) -> str:
    for known in _OUTCOMES:
        if outcome.startswith(known):
            return known
    return _OTHER
