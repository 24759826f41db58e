"""How one attempt to have a request served can end."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Done:
    """The client has the whole answer."""


@dataclasses.dataclass(frozen=True)
class Unsent:
    """No byte of the request reached a replica."""

    reason: str


@dataclasses.dataclass(frozen=True)
class NotRun:
    """A replica states that it did not run the request."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """The request may have run, and no whole answer came."""

    reason: str
    # The replica's process ended.
    crashed: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The replica ran the request and answered that it failed."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


Outcome = Done | Unsent | NotRun | Interrupted | Failed


def reason_of(outcome: Outcome) -> str:
    """Return why a request was not served; empty when it was."""
    match outcome:
        case Done():
            return ""
        case Failed(status=status):
            return f"the replica answered {status}"
        case Unsent(reason) | NotRun(reason):
            return reason
        case Interrupted(reason=reason):
            return reason


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A final answer to a request that was not run."""

    reason: str
    # None when to come back can't help.
    retry_after_ms: int | None
