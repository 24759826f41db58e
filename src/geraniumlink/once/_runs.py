"""The non-idempotent calls that this instance is working on.

A call that may have been sent stays here until its claim holds the outcome.
So a nonce that is not here, in a process that has not restarted since, was
never used to send a call and never will be: no list of abandoned nonces has
to be kept.
"""

from __future__ import annotations

import collections
import typing

import anyio

from geraniumlink import _objects
from geraniumlink.once import _claims
from geraniumlink.requests import _answers
from geraniumlink.requests import _refusals

# Outcomes that are in their claims are kept this long too, to be answered
# while the object API is out.
MAX_RECENT_CLAIMS = 2000
MAX_RECENT_BYTES = 8 * 2**20
_BYTES_PER_CLAIM = 500
_BYTES_PER_HEADER = 100


class Run:
    """One call on its way; several callers may wait for it."""

    def __init__(self, claim: _claims.Claim, deadline: int) -> None:
        self.claim = claim
        # Monotonic; nothing is sent to a backend server after it.
        self.deadline = deadline
        self.waiters = 0
        # The claim is in the object API and is ours.
        self.claim_held = False
        # No attempt under the key can have been sent before this one.
        self.no_earlier_run = False
        self.version = _objects.ABSENT
        # A backend server may have it, or may have had it.
        self.dispatched = False
        # Nobody waits and nothing was sent: nothing will be.
        self.abandoned = False
        self.result: RunResult | None = None
        self.done = anyio.Event()

    def finish(self, result: RunResult) -> None:
        self.result = result
        self.done.set()

    def remove_waiter(self) -> None:
        """Take a waiter away; without any, nothing more is sent."""
        self.waiters -= 1
        if not self.waiters and not self.dispatched:
            self.abandoned = True

    def must_stop(self, now: int) -> bool:
        """Whether nobody waits any more, so that nothing may be sent."""
        return self.abandoned or now >= self.deadline

    def execution_for_leaving_caller(self) -> _refusals.Execution:
        """Return what is true to say to a waiter that leaves now.

        Others who wait may still have it sent.
        """
        alone = self.waiters <= 1
        if self.no_earlier_run and alone and not self.dispatched:
            return _refusals.Execution.NOT_RUN
        return _refusals.Execution.MAY_HAVE_RUN


class RunResult(typing.NamedTuple):
    """How a run ended: an outcome, perhaps an earlier run's, or a refusal."""

    outcome: _answers.Ran | _refusals.Refusal
    replayed: bool = False


class RunRegistry:
    """Live runs by the name of their claim, and the latest outcomes."""

    def __init__(self) -> None:
        self._live: dict[str, Run] = {}
        self._recent: collections.OrderedDict[str, _claims.Claim] = (
            collections.OrderedDict()
        )
        self._recent_bytes = 0

    def __len__(self) -> int:
        return len(self._live)

    def get(self, name: str) -> Run | None:
        return self._live.get(name)

    def add(self, run: Run) -> None:
        self._live[run.claim.name] = run

    def recent_claim(self, name: str) -> _claims.Claim | None:
        return self._recent.get(name)

    def remove(self, run: Run) -> None:
        """Forget a run that was never sent, or whose claim says how it is."""
        if self._live.get(run.claim.name) is run:
            del self._live[run.claim.name]
        match run.claim.outcome:
            case _answers.Ran() | _answers.Unknown():
                self._add_recent(run.claim)

    def _add_recent(self, claim: _claims.Claim) -> None:
        self._recent[claim.name] = claim
        self._recent_bytes += _estimate_bytes(claim)
        while (
            len(self._recent) > MAX_RECENT_CLAIMS
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            _, oldest = self._recent.popitem(last=False)
            self._recent_bytes -= _estimate_bytes(oldest)


def _estimate_bytes(claim: _claims.Claim) -> int:
    match claim.outcome:
        case _answers.Ran(_answers.Answer(_, headers, body)):
            return (
                _BYTES_PER_CLAIM + len(body) + _BYTES_PER_HEADER * len(headers)
            )
    return _BYTES_PER_CLAIM
