"""Validation errors of one input, collected to be reported together."""

from __future__ import annotations

import typing


class Finding(typing.NamedTuple):
    """One error: where it is, and what is wrong or expected there."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class Findings:
    """The errors found so far while one input is validated."""

    def __init__(self) -> None:
        self._found: list[Finding] = []

    def add(self, place: str, problem: str) -> None:
        self._found.append(Finding(place, problem))

    def require(self, holds: bool, place: str, problem: str) -> bool:
        """Add a finding if ``holds`` is false; return ``holds``."""
        if not holds:
            self.add(place, problem)
        return holds

    def all(self) -> tuple[Finding, ...]:
        return tuple(self._found)

    def __bool__(self) -> bool:
        return bool(self._found)

    def __str__(self) -> str:
        return "\n".join(str(finding) for finding in self._found)
