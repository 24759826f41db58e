"""Checks the log lines of a real run against the steps of the specification.

    python -m specs.replay LOG...

Each file holds the JSON lines of one instance, or of several. The steps are
those of ``memory.py`` under the same names. Lines of one instance are in the
order in which they were written; no clocks of two instances are compared.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import json
import pathlib
import sys
import typing


class Step(typing.NamedTuple):
    """One log line of a step on a replica."""

    name: str
    instance: str
    epoch: int
    replica: str
    number: int
    copy: tuple[str, str, str]
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


def read(lines: Iterable[str]) -> list[Step]:
    """Return the steps among log lines; other lines are passed over."""
    steps = []
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get("message_type") in _STEPS:
            steps.append(_step(fields))
    return steps


def _step(fields: dict) -> Step:
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


class Replay:
    """Accepts steps one after another and collects what breaks a rule."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._claims: set[tuple] = set()
        self._intents: dict[tuple[str, int], Step] = {}
        self._latest: dict[tuple, int] = {}
        self._sent: set[tuple[str, int]] = set()
        self._observed: dict[tuple, str] = {}

    def take(self, step: Step) -> None:
        """Check one step; the steps of an instance come in their order."""
        self.counts[step.name] += 1
        tenure = (step.instance, step.epoch, step.replica)
        if step.name == "ledger_claimed":
            self._claims.add(tenure)
            return
        self._require(tenure in self._claims, step, "without a claim")
        match step.name:
            case "intent_written":
                self._take_intent(step, tenure)
            case "order_sent":
                self._take_order(step)
            case "observed":
                self._observed[_seen_key(step)] = step.fields["seen"]
            case "intent_retired":
                self._take_confirmation(step, "resident")
            case _:
                self._take_confirmation(step, "absent")

    def _take_intent(self, step: Step, tenure: tuple) -> None:
        key = (step.replica, step.number)
        self._require(key not in self._intents, step, "number used twice")
        latest = self._latest.get(tenure, 0)
        self._require(step.number > latest, step, "number does not rise")
        if step.fields["action"] == "load":
            fits = step.fields["charge_mb"] <= step.fields["capacity_mb"]
            self._require(fits, step, "charge above the capacity")
        self._intents[key] = step
        self._latest[tenure] = step.number

    def _take_order(self, step: Step) -> None:
        key = (step.replica, step.number)
        intent = self._intents.get(key)
        known = (
            intent is not None
            and intent.instance == step.instance
            and intent.copy == step.copy
            and intent.fields["action"] == step.fields["action"]
        )
        self._require(known, step, "without its intent")
        self._require(key not in self._sent, step, "sent twice")
        self._sent.add(key)

    def _take_confirmation(self, step: Step, seen: str) -> None:
        found = self._observed.pop(_seen_key(step), None)
        self._require(found == seen, step, f"not observed {seen}")

    def _require(self, holds: bool, step: Step, fault: str) -> None:
        if not holds:
            self.faults.append(f"{step.name}: {fault}: {step.fields}")


def _seen_key(step: Step) -> tuple:
    return step.instance, step.epoch, step.replica, step.copy, step.number


def check_log_lines(lines: Iterable[str]) -> Replay:
    """Take all steps among log lines, those of an instance in order."""
    done = Replay()
    for step in read(lines):
        done.take(step)
    return done


def main(paths: list[str]) -> int:
    """Replay files; print the counts and faults; 1 when there are any."""
    lines: list[str] = []
    for path in paths:
        lines += pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    done = check_log_lines(lines)
    print(json.dumps({"steps": done.counts, "faults": done.faults}, indent=2))
    return 1 if done.faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
