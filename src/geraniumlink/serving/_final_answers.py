"""Final responses to requests that no replica served."""

from __future__ import annotations

import random

from geraniumlink import platform
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _request_state
from geraniumlink.serving import _response_writer

# Shortest time after which a client is told to retry, also used if it isn't
# known when a replica will be free. A random factor from 1 to 2 applies.
RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 4000
# HTTP status codes.
UNAVAILABLE = 503
_TOO_MANY_REQUESTS = 429
_BAD_GATEWAY = 502
_TIMED_OUT = 504


class FinalAnswers:
    """Sends refusals and errors.

    A response that has already started is left unfinished, so that the
    client sees it cut off.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def make_refusal(
        self, reason: str, free_in_ms: float = RETRY_AFTER_MS
    ) -> _outcomes.Refusal:
        """Return a refusal with a time after which to retry."""
        # Randomised, so that clients refused together don't retry together.
        later_ms = max(RETRY_AFTER_MS, free_in_ms)
        later_ms *= self._random.uniform(1, 2)
        return _outcomes.Refusal(
            reason, int(min(MAX_RETRY_AFTER_MS, later_ms))
        )

    def make_back_off_refusal(self, left_ms: int) -> _outcomes.Refusal:
        """Return a refusal while all replicas want no requests from here.

        Clients come back after that time, spread over RETRY_AFTER_MS.
        """
        later_ms = left_ms + self._random.uniform(0, RETRY_AFTER_MS)
        return _outcomes.Refusal(
            "the replicas turned requests away",
            int(min(MAX_RETRY_AFTER_MS, later_ms)),
        )

    async def send_failure(
        self, state: _request_state.RequestState, outcome: _outcomes.Outcome
    ) -> None:
        """Send the final response to a failed request that isn't retried.

        A failure that a replica sent is passed on, unless the client would
        conclude from its status that an unsafe request has not run. Otherwise
        the status is 502 if a replica may have run the request, and 503 if
        none has.
        """
        if state.response.started:
            state.outcome = f"cut off: {_outcomes.reason_of(outcome)}"
            return
        match outcome:
            case _outcomes.Failed(status, headers, body) if (
                state.route.retryable
                or status not in _outcomes.NOT_RUN_STATUSES
            ):
                state.outcome = f"failed with {status}"
                await state.response.send_complete(status, headers, body)
            case _outcomes.Failed(status):
                state.outcome = f"failed with {status}, may have run"
                await self.send_own(
                    state.response,
                    _BAD_GATEWAY,
                    f"may have run: {_outcomes.reason_of(outcome)}",
                    retry=False,
                )
            case _outcomes.Declined(status, headers, body) if (
                not state.may_have_run
            ):
                state.outcome = f"refused: {_outcomes.reason_of(outcome)}"
                await state.response.send_complete(status, headers, body)
            case _outcomes.Interrupted(reason=reason) if state.may_have_run:
                state.outcome = reason
                await self.send_own(
                    state.response, _BAD_GATEWAY, reason, retry=False
                )
            case _ if state.may_have_run:
                state.outcome = "may have run"
                await self.send_own(
                    state.response, _BAD_GATEWAY, "may have run", retry=False
                )
            case _outcomes.Unsent(reason) | _outcomes.NotRun(reason=reason):
                # No replica may have run it.
                await self.send_refusal(state, self.make_refusal(reason))

    async def send_timeout(self, state: _request_state.RequestState) -> None:
        """Send the final response to a request that has timed out."""
        if state.response.started:
            return
        if state.runs or state.may_have_run:
            await self.send_own(
                state.response, _TIMED_OUT, "no answer in time", retry=False
            )
        else:
            await self.send_own(state.response, UNAVAILABLE, "not run in time")

    async def send_refusal(
        self, state: _request_state.RequestState, refusal: _outcomes.Refusal
    ) -> None:
        """Send a refusal.

        It states that the request was not run, and when to retry, only if no
        replica may have run it.
        """
        if state.response.started:
            state.outcome = f"cut off: {refusal.reason}"
            return
        state.outcome = f"refused: {refusal.reason}"
        if state.may_have_run or refusal.retry_after_ms is None:
            await self.send_own(
                state.response, _BAD_GATEWAY, refusal.reason, retry=False
            )
            return
        await state.response.send_complete(
            _TOO_MANY_REQUESTS if refusal.is_over_quota else UNAVAILABLE,
            platform.refusal_headers(refusal.retry_after_ms),
            refusal.reason.encode(),
        )

    async def send_own(
        self,
        response: _response_writer.ResponseWriter,
        status: int,
        reason: str,
        retry: bool = True,
    ) -> None:
        """Send this instance's own response, by default with Retry-After."""
        later = self.make_refusal(reason).retry_after_ms if retry else None
        headers = platform.refusal_headers(later)
        await response.send_complete(status, headers, reason.encode())
