"""Summarizes log lines, of a simulation or of real instances alike."""

from __future__ import annotations

import collections
import statistics
import typing

# Prefixes of the logged outcomes that are counted apart; the first match
# counts, so the bare "refused" comes after the longer ones.
_OUTCOME_PREFIXES = (
    "done",
    "refused: the model",
    "refused: the adapter",
    "refused: no replica can",
    "refused",
    "timed out",
    "client left",
)
_OTHER_OUTCOME = "other"


class LogSummary(typing.TypedDict):
    """Figures on requests for models, from log lines.

    The field names are keys of the JSON reports.
    """

    requests: int
    # Shares of the requests by outcome.
    outcomes: dict[str, float]
    # Duration of the requests that were done.
    done_p50_ms: float
    done_p90_ms: float
    # Models moved, and how many of them from a local copy.
    moves: int
    near_moves: int


class LogSummarizer:
    """Accumulates log lines into a summary."""

    def __init__(self) -> None:
        self.moves = 0
        self._near_moves = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._done_ms: list[int] = []

    def add_line(self, message: str, fields: dict[str, typing.Any]) -> None:
        """Count a log line, if it reports a move or a request."""
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
        """Return the figures of the lines so far.

        :raises ValueError: if fewer than two requests were done.
        """
        if len(self._done_ms) < 2:
            raise ValueError("fewer than two requests for models were done")
        total = self._outcomes.total()
        deciles = statistics.quantiles(self._done_ms, n=10)
        return LogSummary(
            requests=total,
            outcomes={
                outcome: self._outcomes[outcome] / total
                for outcome in (*_OUTCOME_PREFIXES, _OTHER_OUTCOME)
            },
            done_p50_ms=deciles[4],
            done_p90_ms=deciles[8],
            moves=self.moves,
            near_moves=self._near_moves,
        )


def _outcome_category(outcome: str) -> str:
    for prefix in _OUTCOME_PREFIXES:
        if outcome.startswith(prefix):
            return prefix
    return _OTHER_OUTCOME
