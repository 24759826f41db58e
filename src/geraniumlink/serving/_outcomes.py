"""The possible outcomes of one attempt to serve a request.

The names of the classes appear in log lines and, in lower case, as values of
the label "outcome" in metrics: done, unsent, notrun, interrupted, failed.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Done:
    """The complete response was sent to the client."""


@dataclasses.dataclass(frozen=True)
class Unsent:
    """No byte of the request reached a replica."""

    reason: str


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The replica states that it did not run the request."""

    reason: str
    # Whether it had no room for it.
    is_full: bool = False


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """The request may have run, and no complete response was received."""

    reason: str
    # Whether the replica's process ended.
    crashed: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The replica responded with a status other than 2xx.

    It doesn't state that it did not run the request, unlike in ``NotRun``.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


Outcome = Done | Unsent | NotRun | Interrupted | Failed


def reason_of(outcome: Outcome) -> str:
    """Return why the request was not served; empty if it was."""
    match outcome:
        case Done():
            return ""
        case Failed(status=status):
            return f"the replica answered {status}"
        case Unsent(reason) | NotRun(reason=reason):
            return reason
        case Interrupted(reason=reason):
            return reason


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The decision to send a request to no replica, or to no further one."""

    reason: str
    # None if a retry by the client can't succeed.
    retry_after_ms: int | None
