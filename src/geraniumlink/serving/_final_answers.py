"""The final answers to requests that no replica served."""

from __future__ import annotations

import random

from geraniumlink import platform
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _task

# Time to come back when no replica is known to be free soon.
RETRY_AFTER_MS = 500
LONGEST_RETRY_AFTER_MS = 4000
UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504


class FinalAnswers:
    """Refuses, or tells a failure; each once, and at once."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def refusal(
        self, reason: str, free_in_ms: float = RETRY_AFTER_MS
    ) -> _outcomes.Refusal:
        """Return a refusal with a time to come back."""
        # Spread, so that clients refused together don't return in step.
        later_ms = max(RETRY_AFTER_MS, free_in_ms)
        later_ms *= self._random.uniform(1, 2)
        return _outcomes.Refusal(
            reason, int(min(LONGEST_RETRY_AFTER_MS, later_ms))
        )

    async def conclude(
        self, task: _task.Task, outcome: _outcomes.Outcome
    ) -> None:
        """Give the final answer to what isn't repeated."""
        if task.response.started:
            task.outcome = "cut off"
            return
        match outcome:
            case _outcomes.Failed(status, headers, body):
                task.outcome = f"failed with {status}"
                await task.response.send_complete(status, headers, body)
            case _outcomes.Interrupted(reason=reason) if task.may_have_run:
                task.outcome = reason
                await self.answer_own(
                    task.response, _BAD_GATEWAY, reason, retry=False
                )
            case _ if task.may_have_run:
                task.outcome = "may have run"
                await self.answer_own(
                    task.response, _BAD_GATEWAY, "may have run", retry=False
                )
            case _outcomes.Unsent(reason) | _outcomes.NotRun(reason):
                await self.refuse(task, self.refusal(reason))

    async def conclude_timeout(self, task: _task.Task) -> None:
        """Answer a request whose time is over."""
        if task.response.started:
            return
        if task.attempts:
            await self.answer_own(
                task.response, _TIMED_OUT, "no answer in time", retry=False
            )
        else:
            await self.answer_own(
                task.response, UNAVAILABLE, "not run in time"
            )

    async def refuse(
        self, task: _task.Task, refusal: _outcomes.Refusal
    ) -> None:
        """Refuse; "not run" is said only if no replica may have run it."""
        task.outcome = f"refused: {refusal.reason}"
        if task.response.started:
            return
        if task.may_have_run or refusal.retry_after_ms is None:
            await self.answer_own(
                task.response, _BAD_GATEWAY, refusal.reason, retry=False
            )
            return
        await task.response.send_complete(
            UNAVAILABLE,
            platform.refusal_headers(refusal.retry_after_ms),
            refusal.reason.encode(),
        )

    async def answer_own(
        self,
        response: _response_writer.ResponseWriter,
        status: int,
        reason: str,
        retry: bool = True,
    ) -> None:
        """Answer on our own account, by default with a time to come back."""
        later = self.refusal(reason).retry_after_ms if retry else None
        headers = platform.refusal_headers(later)
        await response.send_complete(status, headers, reason.encode())
