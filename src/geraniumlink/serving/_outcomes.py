"""The possible outcomes of one attempt to serve a request.

The names of the classes appear in log lines and, in lower case, as values of
the label "outcome" in metrics: done, unsent, notrun, interrupted, failed,
declined.
"""

from __future__ import annotations

import dataclasses
import enum

# Statuses from which a client concludes that its request has not run and never
# will, so that it may send an unsafe one again.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


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
    # Whether the replica sent nothing for too long, and may go on later.
    is_stall: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The replica responded with a status other than 2xx.

    It doesn't state that it did not run the request, unlike in ``NotRun``,
    whatever the status: it may have run it.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    # Whether the response has a replica's signature.
    is_signed: bool = False


@dataclasses.dataclass(frozen=True)
class Declined:
    """Another instance answered itself that no replica has run the request.

    It knows nothing of attempts that were made before it got the request.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


Outcome = Done | Unsent | NotRun | Interrupted | Failed | Declined


def reason_of(outcome: Outcome) -> str:
    """Return why the request was not served; empty if it was."""
    match outcome:
        case Done():
            return ""
        case Failed(status=status):
            return f"the replica answered {status}"
        case Declined(status=status):
            return f"the other instance answered {status}"
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
    # Whether the quota of the client's account is used up.
    is_over_quota: bool = False


class Cause(enum.Enum):
    """Why a request ended without a complete response.

    The values appear in log lines and metrics.
    """

    CLIENT = "the client left"
    ERROR = "an error of this instance"
    TIMEOUT = "its time was up"
    SHUTDOWN = "this instance ended"
    STALL = "the replica was silent"
    BREAK = "the replica broke off"
    OTHER = "its last attempt failed otherwise"


def find_cause(outcome: str, failed: Outcome | None) -> Cause:
    """Return why a request ended without a complete response.

    :param outcome: the request's final outcome.
    :param failed: the outcome of its last attempt that has failed.
    """
    match outcome:
        case "client left":
            return Cause.CLIENT
        case "error":
            return Cause.ERROR
        case "timed out":
            return Cause.TIMEOUT
        case "shut down":
            return Cause.SHUTDOWN
    match failed:
        case Interrupted(is_stall=True):
            return Cause.STALL
        case Interrupted():
            return Cause.BREAK
        case _:
            return Cause.OTHER
