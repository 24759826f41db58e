"""Refusals: why a request was not answered, and how far it had come.

A refusal is the error side of an ``expression.Result``. ``execution`` is
never guessed. Only two things make a refusal NOT_RUN: the request never left
this process, or the backend server itself said that it did not begin it.
"""

from __future__ import annotations

import enum
import typing

from geraniumlink import _findings


class Execution(enum.Enum):
    """How far a refused request came; the schema defines the words."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class Code(enum.Enum):
    """The kind of a refusal and the HTTP status that carries it."""

    INVALID_ARGUMENT = ("invalid_argument", 400)
    NOT_FOUND = ("not_found", 404)
    ABORTED = ("aborted", 409)
    ALREADY_EXISTS = ("already_exists", 409)
    FAILED_PRECONDITION = ("failed_precondition", 412)
    RESOURCE_EXHAUSTED = ("resource_exhausted", 429)
    INTERNAL = ("internal", 500)
    DATA_LOSS = ("data_loss", 502)
    UNAVAILABLE = ("unavailable", 503)
    DEADLINE_EXCEEDED = ("deadline_exceeded", 504)

    @property
    def wire_name(self) -> str:
        return self.value[0]

    @property
    def http_status(self) -> int:
        return self.value[1]


class Refusal(typing.NamedTuple):
    """A final answer to a request that is not served."""

    code: Code
    message: str
    execution: Execution = Execution.NOT_RUN
    # From now; 0 when coming back is of no use before something is changed.
    retry_after_ms: int = 0
    findings: tuple[_findings.Finding, ...] = ()


def invalid_argument(findings: _findings.Findings) -> Refusal:
    """Return the refusal of an input with these faults."""
    found = findings.all()
    message = f"{found[0]}"
    if len(found) > 1:
        message += f" (and {len(found) - 1} more findings)"
    return Refusal(Code.INVALID_ARGUMENT, message, findings=found)


def deadline_passed(execution: Execution) -> Refusal:
    """Return the refusal of a request whose time is over."""
    return Refusal(
        Code.DEADLINE_EXCEEDED,
        "the timeout of the request passed; send it with a larger"
        " timeout_ms or when load is lower",
        execution,
    )
