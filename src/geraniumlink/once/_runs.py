"""The non-idempotent calls that this instance is executing.

A call that may have been sent stays in the registry until its outcome is
stored in its claim. So if a stored claim has no outcome, and its nonce is not
in the registry of the process that wrote it and has not restarted since, that
nonce was never used to send the call and never will be. No list of abandoned
nonces is needed.
"""

from __future__ import annotations

import collections
import typing

import anyio

from geraniumlink import _objects
from geraniumlink.once import _claims
from geraniumlink.requests import _answers
from geraniumlink.requests import _refusals

# Bounds of the claims, with outcomes, that are kept in memory after they are
# stored, to replay them while the object API is unavailable. The oldest are
# dropped first.
MAX_RECENT_CLAIMS = 2000
MAX_RECENT_BYTES = 8 * 2**20
# Estimated memory of a claim without its answer's body and headers, and of
# one header, for MAX_RECENT_BYTES.
_BYTES_PER_CLAIM = 500
_BYTES_PER_HEADER = 100


class Run:
    """The execution of one call; several callers may wait for its result."""

    def __init__(self, claim: _claims.Claim, deadline: int) -> None:
        self.claim = claim
        # Monotonic time in milliseconds; nothing is sent to a backend server
        # after it.
        self.deadline = deadline
        self.waiters = 0
        # The claim in the object API is this run's.
        self.claim_held = False
        # No earlier attempt under the key can have been sent.
        self.no_earlier_run = False
        # Of the stored claim.
        self.version = _objects.ABSENT
        # A backend server may have received the call.
        self.dispatched = False
        # All callers left before anything was sent, so nothing will be.
        self.abandoned = False
        self.result: RunResult | None = None
        self.done = anyio.Event()

    def finish(self, result: RunResult) -> None:
        """Give the result to all waiting callers."""
        self.result = result
        self.done.set()

    def remove_waiter(self) -> None:
        """Remove a waiting caller; abandon an unsent run without any."""
        self.waiters -= 1
        if not self.waiters and not self.dispatched:
            self.abandoned = True

    def must_stop(self, now: int) -> bool:
        """Whether all callers left or timed out, so nothing may be sent."""
        return self.abandoned or now >= self.deadline

    def execution_for_leaving_caller(self) -> _refusals.Execution:
        """Return what a caller that stops waiting now is to be told.

        It is NOT_RUN only if the call was not sent and no other caller
        waits, for whom it might still be.
        """
        is_last_waiter = self.waiters <= 1
        if self.no_earlier_run and is_last_waiter and not self.dispatched:
            return _refusals.Execution.NOT_RUN
        return _refusals.Execution.MAY_HAVE_RUN


class RunResult(typing.NamedTuple):
    """What a call under a key comes to: an outcome or a refusal."""

    outcome: _answers.Ran | _refusals.Refusal
    # The call was run for another attempt than the caller's.
    replayed: bool = False


class RunRegistry:
    """Live runs, and recent claims with outcomes, by the claim's name."""

    def __init__(self) -> None:
        self._live: dict[str, Run] = {}
        self._recent: collections.OrderedDict[str, _claims.Claim] = (
            collections.OrderedDict()
        )
        self._recent_bytes = 0

    def __len__(self) -> int:
        return len(self._live)

    def get(self, name: str) -> Run | None:
        """Return the live run of a claim's name."""
        return self._live.get(name)

    def add(self, run: Run) -> None:
        self._live[run.claim.name] = run

    def recent_claim(self, name: str) -> _claims.Claim | None:
        """Return the claim, with an outcome, of a run that was removed."""
        return self._recent.get(name)

    def remove(self, run: Run) -> None:
        """Remove a run that was never sent or whose outcome is stored."""
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
