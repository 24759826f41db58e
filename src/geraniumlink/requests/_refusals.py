"""Refusals: error responses that state whether the request was executed.

A refusal is the error side of an ``expression.Result``. Its ``execution`` is
never a guess. A refusal is NOT_RUN in two cases only: the request was not
sent by this process, or the backend server said that it did not start it.
"""

from __future__ import annotations

import enum
import typing

from geraniumlink import _findings


class Execution(enum.Enum):
    """Whether a refused request was executed; the schema defines the terms."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class Code(enum.Enum):
    """An error code, with its name in responses and its HTTP status."""

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
        """The code's name in responses, metrics and logs."""
        return self.value[0]

    @property
    def http_status(self) -> int:
        return self.value[1]


class Refusal(typing.NamedTuple):
    """The final response to a request that is not served."""

    code: Code
    message: str
    execution: Execution = Execution.NOT_RUN
    # How long the caller should wait before a retry; 0 if a retry can't
    # succeed until the request or the configuration is changed.
    retry_after_ms: int = 0
    findings: tuple[_findings.Finding, ...] = ()


def invalid_argument(findings: _findings.Findings) -> Refusal:
    """Return the refusal of a request with invalid fields.

    Its message contains the first finding, and the number of the others.
    """
    found = findings.all()
    message = f"{found[0]}"
    if len(found) > 1:
        message += f" (and {len(found) - 1} more findings)"
    return Refusal(Code.INVALID_ARGUMENT, message, findings=found)


def deadline_passed(execution: Execution) -> Refusal:
    """Return the refusal of a request whose timeout passed."""
    return Refusal(
        Code.DEADLINE_EXCEEDED,
        "the timeout of the request passed; send it with a larger"
        " timeout_ms or when load is lower",
        execution,
    )
