"""Admission control: a bounded queue per deployment with early refusals.

A request stays queued only while its first token can still arrive in time,
estimated from the observed rate of completions. Any other request is refused
at once with a time to retry after. Load beyond capacity thus costs little
and doesn't delay the requests that can still be served. The queue is ordered
by priority, and within a priority by start-time fair queueing among models.
A request that another one displaces from the queue is refused at once.
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

# The first token is due this long after a request's arrival, or at the
# request's own timeout if that is earlier.
FIRST_TOKEN_TARGET_MS = 610
# The part of that target reserved for the network between caller and
# instance, in both directions.
NETWORK_ALLOWANCE_MS = 40
# The time reserved for the engine, as a multiple of the median time to first
# token of the servers that have the model.
FIRST_TOKEN_MARGIN = 1.0
# Maximum number of queued requests for each deployment at this instance.
MAX_QUEUED = 128
# How often a queued request checks for free capacity. Capacity can become
# free without a completion at this instance: a new load report shows it, or
# a server becomes available again.
RECHECK_INTERVAL_MS = 50
# Bounds of the time to retry after that a refusal states.
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 30_000
# Start value of the mean duration of requests, before any has completed.
INITIAL_DURATION_MS = 1000.0
# Weight of the newest duration in the exponential moving average, from 0 to
# 1.
_DURATION_EWMA_WEIGHT = 0.1


class Permit:
    """Permission to send a request to a server; a context manager.

    Leaving the context records the completion and grants waiting requests.
    """

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
        """Wait for free capacity; return a permit or a refusal.

        The permit must be entered at once: it already counts as a request
        in progress.
        """
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
        """Return how many requests of a deployment are queued."""
        queue = self._queues.get(deployment)
        return queue.length if queue else 0

    def withdraw_retry(self, deployment: str) -> bool:
        """Take one retry from the budget; return False if there is none."""
        return self._retry_budgets.for_deployment(deployment).try_withdraw()


class _Waiter:
    """A queued request, or one that was just granted or refused."""

    def __init__(
        self,
        requirements: _routing.Requirements,
        sort_key: tuple[int, float, int],
        start_deadline: float,
    ) -> None:
        self.requirements = requirements
        # Negative priority, start tag and arrival number; the lowest key is
        # served first.
        self.sort_key = sort_key
        # Latest time for sending the request to a server, in milliseconds on
        # the monotonic clock.
        self.start_deadline = start_deadline
        self.decided = anyio.Event()
        # None once decided means that the request was granted.
        self.refusal: _refusals.Refusal | None = None

    def decide(self, refusal: _refusals.Refusal | None) -> None:
        """Wake the request with a refusal, or with None to grant it."""
        self.refusal = refusal
        self.decided.set()


class _Queue:
    """The requests of one deployment that are queued or being served."""

    def __init__(
        self,
        router: _routing.Router,
        clock: _clock.Clock,
        random_source: random.Random,
    ) -> None:
        self._router = router
        self._clock = clock
        self._random = random_source
        # Ordered by sort key.
        self._waiting: list[_Waiter] = []
        # Requests that were granted and whose tasks have not run since.
        self._pending_grants = 0
        # Requests that hold a permit.
        self._active = 0
        self._mean_duration_ms = INITIAL_DURATION_MS
        self._arrivals = 0
        # Highest start tag granted so far.
        self._virtual_time = 0.0
        # Lowest start tag of the next request for each model.
        self._next_tags: dict[str, float] = {}

    @property
    def length(self) -> int:
        """The number of queued requests."""
        return len(self._waiting)

    async def admit(
        self,
        requirements: _routing.Requirements,
        priority: int,
        timeout_ms: int,
    ) -> AdmissionResult:
        """Queue a request; return its permit or refusal once decided."""
        waiter = self._make_waiter(requirements, priority, timeout_ms)
        bisect.insort(self._waiting, waiter, key=lambda entry: entry.sort_key)
        self._dispatch()
        await self._await_decision(waiter)
        if waiter.refusal is not None:
            return expression.Error(waiter.refusal)
        self._active += 1
        return expression.Ok(Permit(self, self._clock.now()))

    def record_completion(self, admitted_at: int) -> None:
        """Update the mean duration, and grant waiting requests."""
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
        """Return a waiter with its position and its latest start."""
        now = self._clock.now()
        engine_ms = self._router.typical_first_token_ms(requirements, now)
        # If the engines alone typically take longer than the target, use
        # their time as the target: refusing requests would not make them
        # faster, and the service would serve nothing.
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
        """Return the start tag of a model's next request.

        Tags of a model increase by one per request, so models with queued
        requests are served in turn.
        """
        tag = max(self._virtual_time, self._next_tags.get(model, 0.0))
        self._next_tags[model] = tag + 1
        return tag

    async def _await_decision(self, waiter: _Waiter) -> None:
        """Wait until a request is granted or refused, rechecking capacity."""
        try:
            while not waiter.decided.is_set():
                with anyio.move_on_after(RECHECK_INTERVAL_MS / 1000):
                    await waiter.decided.wait()
                    break
                self._dispatch()
        finally:
            if waiter in self._waiting:
                # Cancelled: the caller disconnected or the timeout passed.
                self._waiting.remove(waiter)
            elif waiter.refusal is None:
                self._pending_grants -= 1

    def _dispatch(self) -> None:
        """Grant the requests that a server can take; refuse the late ones."""
        now = self._clock.now()
        free: dict[tuple[str, str], int] = {}
        for waiter in list(self._waiting):
            key = (waiter.requirements.model, waiter.requirements.adapter)
            if key not in free:
                free_capacity = self._router.free_capacity(
                    waiter.requirements, now
                )
                # Without any server, admit the request: server selection
                # then refuses it with the more specific reason.
                free[key] = (
                    free_capacity.free if free_capacity.servers else MAX_QUEUED
                )
            # The router doesn't count granted requests whose tasks haven't
            # run since.
            if free[key] > self._pending_grants:
                self._grant(waiter)
        self._refuse_late(now)

    def _grant(self, waiter: _Waiter) -> None:
        """Take a request out of the queue and wake it."""
        self._waiting.remove(waiter)
        self._pending_grants += 1
        tag = waiter.sort_key[1]
        self._virtual_time = max(self._virtual_time, tag)
        waiter.decide(None)

    def _refuse_late(self, now: int) -> None:
        """Refuse requests that can't start in time at their queue position.

        The request at position n, counted from 1, is expected to start after
        n completions.
        """
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
        """Return the mean time between two completions, by Little's law."""
        return self._mean_duration_ms / max(
            1, self._active + self._pending_grants
        )

    def _refusal(
        self, ahead: int, requirements: _routing.Requirements
    ) -> _refusals.Refusal:
        """Return the refusal of a request with this many queued before it."""
        drained_ms = (ahead + 1) * self._completion_interval_ms()
        # Jitter, so that callers refused together don't retry together.
        retry_after_ms = max(MIN_RETRY_AFTER_MS, drained_ms)
        retry_after_ms *= self._random.uniform(1, 2)
        return _refusals.Refusal(
            _refusals.Code.RESOURCE_EXHAUSTED,
            f"the servers of {requirements.model!r} are full and its first"
            " token can't arrive in time",
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, retry_after_ms)),
        )
