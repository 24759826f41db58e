"""Check the log lines of a run against the rules of ``memory.py``.

    python -m specs.replay LOG...

Each file holds the JSON log lines of one or more instances. A step has the
same name here, in ``memory.py`` and in the log. The lines of an instance must
be in the order in which it wrote them. Timestamps are not used, because the
clocks of two instances need not agree.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import json
import pathlib
import sys
import typing


class Step(typing.NamedTuple):
    """A step that an instance logged for one replica."""

    name: str
    instance: str
    epoch: int
    replica: str
    # Fencing number of the order; 0 if the line has none.
    number: int
    # Model, adapter and version; empty strings for what the line lacks.
    copy: tuple[str, str, str]
    # The whole log line.
    fields: dict


_STEPS = {
    "ledger_claimed",
    "intent_written",
    "order_sent",
    "observed",
    "intent_retired",
    "charge_kept",
    "charge_released",
}


def parse_steps(lines: Iterable[str]) -> list[Step]:
    """Return the steps among log lines; ignore all other lines."""
    steps = []
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get("message_type") in _STEPS:
            steps.append(_parse_step(fields))
    return steps


def _parse_step(fields: dict) -> Step:
    return Step(
        fields["message_type"],
        fields["instance"],
        fields["epoch"],
        f"{fields['deployment']}.{fields['replica']}",
        fields.get("fencing_number", 0),
        (
            fields.get("model", ""),
            fields.get("adapter", ""),
            fields.get("version", ""),
        ),
        fields,
    )


class TraceChecker:
    """Checks steps one after another and collects the violations."""

    def __init__(self) -> None:
        # A description of each violation.
        self.faults: list[str] = []
        # Number of steps checked, by name.
        self.counts: collections.Counter[str] = collections.Counter()
        # Instance, epoch and replica of each claim of a ledger.
        self._claims: set[tuple] = set()
        # By replica and fencing number.
        self._intents: dict[tuple[str, int], Step] = {}
        # Highest fencing number of the intents under each claim.
        self._latest_numbers: dict[tuple, int] = {}
        # Replica and fencing number of each order.
        self._sent_orders: set[tuple[str, int]] = set()
        # What was last observed and has not yet confirmed a step.
        self._observations: dict[tuple, str] = {}

    def check_step(self, step: Step) -> None:
        """Check a step; those of one instance must come in log order."""
        self.counts[step.name] += 1
        claim = (step.instance, step.epoch, step.replica)
        if step.name == "ledger_claimed":
            self._claims.add(claim)
            return
        self._require(claim in self._claims, step, "without a claim")
        match step.name:
            case "intent_written":
                self._check_intent(step, claim)
            case "order_sent":
                self._check_order(step)
            case "observed":
                self._observations[_observation_key(step)] = step.fields[
                    "seen"
                ]
            case "intent_retired":
                self._check_confirmation(step, "resident")
            case _:  # charge_kept or charge_released
                self._check_confirmation(step, "absent")

    def _check_intent(self, step: Step, claim: tuple) -> None:
        key = (step.replica, step.number)
        self._require(key not in self._intents, step, "number used twice")
        latest = self._latest_numbers.get(claim, 0)
        self._require(step.number > latest, step, "number does not increase")
        if step.fields["action"] == "load":
            fits = step.fields["charge_mb"] <= step.fields["capacity_mb"]
            self._require(fits, step, "charge exceeds the capacity")
        self._intents[key] = step
        self._latest_numbers[claim] = step.number

    def _check_order(self, step: Step) -> None:
        key = (step.replica, step.number)
        intent = self._intents.get(key)
        has_intent = (
            intent is not None
            and intent.instance == step.instance
            and intent.copy == step.copy
            and intent.fields["action"] == step.fields["action"]
        )
        self._require(has_intent, step, "without a matching intent")
        self._require(key not in self._sent_orders, step, "sent twice")
        self._sent_orders.add(key)

    def _check_confirmation(self, step: Step, expected: str) -> None:
        observed = self._observations.pop(_observation_key(step), None)
        self._require(observed == expected, step, f"not observed {expected}")

    def _require(self, holds: bool, step: Step, fault: str) -> None:
        if not holds:
            self.faults.append(f"{step.name}: {fault}: {step.fields}")


def _observation_key(step: Step) -> tuple:
    return step.instance, step.epoch, step.replica, step.copy, step.number


def check_log_lines(lines: Iterable[str]) -> TraceChecker:
    """Check the steps in log lines; those of an instance must be in order."""
    checker = TraceChecker()
    for step in parse_steps(lines):
        checker.check_step(step)
    return checker


def main(paths: list[str]) -> int:
    """Check log files and print step counts and faults.

    Return the exit status: 1 if there are faults, else 0.
    """
    lines: list[str] = []
    for path in paths:
        lines += pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    checker = check_log_lines(lines)
    print(
        json.dumps(
            {"steps": checker.counts, "faults": checker.faults}, indent=2
        )
    )
    return 1 if checker.faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
