"""Admits requests to a deployment: a bounded queue with early refusals.

A request waits only while its first token can still come in time, judged by
the observed service rate. All others are refused at once, with the time to
come back, so that load beyond capacity costs little and never delays what
can still be served. Who waits is ordered by priority, then fairly by model
with start tags; a request displaced by another gets its final answer at once.
Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

from __future__ import annotations

import bisect
import random
import types

import anyio
import expression

from geraniumlink import _clock
from geraniumlink.requests import _refusals
from geraniumlink.requests import _retry_budget
from geraniumlink.requests import _routing

# The first token is due this long after arrival, or at the request's own
# timeout if that is earlier.
FIRST_TOKEN_TARGET_MS = 610
# Of that, what is left for the way from the caller and back.
NETWORK_ALLOWANCE_MS = 40
# Of the usual time to the first token, what is reserved for the engine.
FIRST_TOKEN_MARGIN = 1.0
MAX_QUEUED = 128
# Room may appear without an end here: by a report, or a server that returns.
RECHECK_INTERVAL_MS = 50
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 30_000
# Until the first request has ended.
INITIAL_DURATION_MS = 1000.0
_DURATION_EWMA_WEIGHT = 0.1


class Permit:
    """The right to be served; leaving its scope hands it to the next."""

    def __init__(self, queue: _Queue, now: int) -> None:
        self._queue = queue
        self._admitted_at = now

    def __enter__(self) -> Permit:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._queue.record_completion(self._admitted_at)


AdmissionResult = expression.Result[Permit, _refusals.Refusal]


class Admission:
    """The queues and retry budgets of all deployments at this instance."""

    def __init__(
        self,
        router: _routing.Router,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._router = router
        self._clock = clock
        self._random = random_source
        self._queues: dict[str, _Queue] = {}
        self._retry_budgets = _retry_budget.RetryBudgets()

    async def admit(
        self,
        requirements: _routing.Requirements,
        priority: int,
        timeout_ms: int,
    ) -> AdmissionResult:
        """Wait for room; return a permit to use at once, or a refusal."""
        queue = self._queues.get(requirements.deployment)
        if queue is None:
            queue = _Queue(self._router, self._clock, self._random)
            self._queues[requirements.deployment] = queue
        admission_result = await queue.admit(
            requirements, priority, timeout_ms
        )
        if admission_result.is_ok():
            self._retry_budgets.for_deployment(
                requirements.deployment
            ).deposit()
        return admission_result

    def waiting_count(self, deployment: str) -> int:
        """Return how many requests wait."""
        queue = self._queues.get(deployment)
        return queue.length if queue else 0

    def withdraw_retry(self, deployment: str) -> bool:
        """Return whether a further attempt is within the retry budget."""
        return self._retry_budgets.for_deployment(deployment).try_withdraw()


class _Waiter:
    """A request that waits for room, or has been decided on."""

    def __init__(
        self,
        requirements: _routing.Requirements,
        sort_key: tuple[int, float, int],
        start_deadline: float,
    ) -> None:
        self.requirements = requirements
        # Lower is served first: negative priority, start tag, arrival.
        self.sort_key = sort_key
        self.start_deadline = start_deadline
        self.decided = anyio.Event()
        self.refusal: _refusals.Refusal | None = None

    def decide(self, refusal: _refusals.Refusal | None) -> None:
        self.refusal = refusal
        self.decided.set()


class _Queue:
    """The requests of one deployment that wait or are being served."""

    def __init__(
        self,
        router: _routing.Router,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._router = router
        self._clock = clock
        self._random = random_source
        self._waiting: list[_Waiter] = []
        # Granted to a waiter whose task has not run yet.
        self._pending_grants = 0
        self._active = 0
        self._mean_duration_ms = INITIAL_DURATION_MS
        self._arrivals = 0
        self._virtual_time = 0.0
        self._next_tags: dict[str, float] = {}

    @property
    def length(self) -> int:
        return len(self._waiting)

    async def admit(
        self,
        requirements: _routing.Requirements,
        priority: int,
        timeout_ms: int,
    ) -> AdmissionResult:
        waiter = self._make_waiter(requirements, priority, timeout_ms)
        bisect.insort(self._waiting, waiter, key=lambda entry: entry.sort_key)
        self._dispatch()
        await self._await_decision(waiter)
        if waiter.refusal is not None:
            return expression.Error(waiter.refusal)
        self._active += 1
        return expression.Ok(Permit(self, self._clock.now()))

    def record_completion(self, admitted_at: int) -> None:
        """Take in that a request has ended that was admitted then."""
        self._active -= 1
        duration_ms = self._clock.now() - admitted_at
        self._mean_duration_ms += _DURATION_EWMA_WEIGHT * (
            duration_ms - self._mean_duration_ms
        )
        self._dispatch()

    def _make_waiter(
        self,
        requirements: _routing.Requirements,
        priority: int,
        timeout_ms: int,
    ) -> _Waiter:
        now = self._clock.now()
        engine_ms = self._router.typical_first_token_ms(requirements, now)
        # A service that is slow as a whole still serves: what its engines
        # alone take can't be saved by refusing.
        target_ms = max(FIRST_TOKEN_TARGET_MS, FIRST_TOKEN_MARGIN * engine_ms)
        first_token_by = now + min(target_ms, timeout_ms)
        self._arrivals += 1
        sort_key = (
            -priority,
            self._next_start_tag(requirements.model),
            self._arrivals,
        )
        start_deadline = (
            first_token_by
            - NETWORK_ALLOWANCE_MS
            - FIRST_TOKEN_MARGIN * engine_ms
        )
        return _Waiter(requirements, sort_key, start_deadline)

    def _next_start_tag(self, model: str) -> float:
        """Return the start tag, which makes models take turns."""
        tag = max(self._virtual_time, self._next_tags.get(model, 0.0))
        self._next_tags[model] = tag + 1
        return tag

    async def _await_decision(self, waiter: _Waiter) -> None:
        try:
            while not waiter.decided.is_set():
                with anyio.move_on_after(RECHECK_INTERVAL_MS / 1000):
                    await waiter.decided.wait()
                    break
                self._dispatch()
        finally:
            if waiter in self._waiting:
                # Its caller left, or its timeout passed.
                self._waiting.remove(waiter)
            elif waiter.refusal is None:
                self._pending_grants -= 1

    def _dispatch(self) -> None:
        """Grant what has room; refuse what can't be met or is displaced."""
        now = self._clock.now()
        free: dict[tuple[str, str], int] = {}
        for waiter in list(self._waiting):
            key = (waiter.requirements.model, waiter.requirements.adapter)
            if key not in free:
                free_capacity = self._router.free_capacity(
                    waiter.requirements, now
                )
                # Without any server, routing has the right refusal.
                free[key] = (
                    free_capacity.free if free_capacity.servers else MAX_QUEUED
                )
            if free[key] > self._pending_grants:
                self._grant(waiter)
        self._refuse_late(now)

    def _grant(self, waiter: _Waiter) -> None:
        self._waiting.remove(waiter)
        self._pending_grants += 1
        tag = waiter.sort_key[1]
        self._virtual_time = max(self._virtual_time, tag)
        waiter.decide(None)

    def _refuse_late(self, now: int) -> None:
        """Refuse those that can't start in time in their present place."""
        interval_ms = self._completion_interval_ms()
        kept: list[_Waiter] = []
        for waiter in self._waiting:
            starts_at = now + (len(kept) + 1) * interval_ms
            if len(kept) < MAX_QUEUED and starts_at <= waiter.start_deadline:
                kept.append(waiter)
            else:
                waiter.decide(self._refusal(len(kept), waiter.requirements))
        self._waiting = kept

    def _completion_interval_ms(self) -> float:
        """Return the mean time between two ends, by Little's law."""
        return self._mean_duration_ms / max(
            1, self._active + self._pending_grants
        )

    def _refusal(
        self, ahead: int, requirements: _routing.Requirements
    ) -> _refusals.Refusal:
        drained_ms = (ahead + 1) * self._completion_interval_ms()
        # Jitter, so that callers refused together don't return in step.
        retry_after_ms = max(MIN_RETRY_AFTER_MS, drained_ms)
        retry_after_ms *= self._random.uniform(1, 2)
        return _refusals.Refusal(
            _refusals.Code.RESOURCE_EXHAUSTED,
            f"the servers of {requirements.model!r} are full and its first"
            " token can't come in time",
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, retry_after_ms)),
        )
