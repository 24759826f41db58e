"""Faults of an input, collected with their places and reported together."""

from __future__ import annotations

import typing


class Finding(typing.NamedTuple):
    """One fault: where it is, and what to write there instead."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class Findings:
    """Collects the faults of one input while the check goes on."""

    def __init__(self) -> None:
        self._found: list[Finding] = []

    def add(self, place: str, problem: str) -> None:
        self._found.append(Finding(place, problem))

    def require(self, holds: bool, place: str, problem: str) -> bool:
        """Add a finding unless ``holds``; return ``holds``."""
        if not holds:
            self.add(place, problem)
        return holds

    def all(self) -> tuple[Finding, ...]:
        return tuple(self._found)

    def __bool__(self) -> bool:
        return bool(self._found)

    def __str__(self) -> str:
        return "\n".join(str(finding) for finding in self._found)
