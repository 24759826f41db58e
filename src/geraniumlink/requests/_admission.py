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
TRANSIT_MS = 40
# Of the usual time to the first token, what is reserved for the engine.
FIRST_TOKEN_MARGIN = 1.0
MAX_WAITING = 128
# Room may appear without an end here: by a report, or a server that returns.
RECHECK_MS = 50
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 30_000
# Until the first request has ended.
INITIAL_DURATION_MS = 1000.0
_DURATION_WEIGHT = 0.1


class Permit:
    """The right to be served; leaving its scope hands it to the next."""

    def __init__(self, queue: _Queue, now: int) -> None:
        self._queue = queue
        self._since = now

    def __enter__(self) -> Permit:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._queue.ended(self._since)


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
        self._budgets = _retry_budget.RetryBudgets()

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
            self._budgets.of(requirements.deployment).deposit()
        return admission_result

    def waiting_count(self, deployment: str) -> int:
        """Return how many requests wait."""
        queue = self._queues.get(deployment)
        return queue.length if queue else 0

    def may_retry(self, deployment: str) -> bool:
        """Return whether a further attempt is within the retry budget."""
        return self._budgets.of(deployment).withdraw()


class _Waiter:
    """A request that waits for room, or has been decided on."""

    def __init__(
        self,
        requirements: _routing.Requirements,
        order: tuple[int, float, int],
        start_by: float,
    ) -> None:
        self.requirements = requirements
        # Lower is served first: negative priority, start tag, arrival.
        self.order = order
        self.start_by = start_by
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
        self._granted = 0
        self._active = 0
        self._duration_ms = INITIAL_DURATION_MS
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
        waiter = self._waiter(requirements, priority, timeout_ms)
        bisect.insort(self._waiting, waiter, key=lambda entry: entry.order)
        self._dispatch()
        await self._decision(waiter)
        if waiter.refusal is not None:
            return expression.Error(waiter.refusal)
        self._active += 1
        return expression.Ok(Permit(self, self._clock.now()))

    def ended(self, since: int) -> None:
        """Take in that a request has ended that was admitted then."""
        self._active -= 1
        duration_ms = self._clock.now() - since
        self._duration_ms += _DURATION_WEIGHT * (
            duration_ms - self._duration_ms
        )
        self._dispatch()

    def _waiter(
        self,
        requirements: _routing.Requirements,
        priority: int,
        timeout_ms: int,
    ) -> _Waiter:
        now = self._clock.now()
        reserved = self._router.typical_first_token_ms(requirements, now)
        # A service that is slow as a whole still serves: what its engines
        # alone take can't be saved by refusing.
        target_ms = max(FIRST_TOKEN_TARGET_MS, FIRST_TOKEN_MARGIN * reserved)
        first_token_by = now + min(target_ms, timeout_ms)
        self._arrivals += 1
        order = (-priority, self._tag(requirements.model), self._arrivals)
        start_by = first_token_by - TRANSIT_MS - FIRST_TOKEN_MARGIN * reserved
        return _Waiter(requirements, order, start_by)

    def _tag(self, model: str) -> float:
        """Return the start tag, which makes models take turns."""
        tag = max(self._virtual_time, self._next_tags.get(model, 0.0))
        self._next_tags[model] = tag + 1
        return tag

    async def _decision(self, waiter: _Waiter) -> None:
        try:
            while not waiter.decided.is_set():
                with anyio.move_on_after(RECHECK_MS / 1000):
                    await waiter.decided.wait()
                    break
                self._dispatch()
        finally:
            if waiter in self._waiting:
                # Its caller left, or its timeout passed.
                self._waiting.remove(waiter)
            elif waiter.refusal is None:
                self._granted -= 1

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
                    free_capacity.free
                    if free_capacity.servers
                    else MAX_WAITING
                )
            if free[key] > self._granted:
                self._grant(waiter)
        self._refuse_hopeless(now)

    def _grant(self, waiter: _Waiter) -> None:
        self._waiting.remove(waiter)
        self._granted += 1
        tag = waiter.order[1]
        self._virtual_time = max(self._virtual_time, tag)
        waiter.decide(None)

    def _refuse_hopeless(self, now: int) -> None:
        """Refuse those that can't start in time in their present place."""
        interval_ms = self._interval_ms()
        kept: list[_Waiter] = []
        for waiter in self._waiting:
            starts_at = now + (len(kept) + 1) * interval_ms
            if len(kept) < MAX_WAITING and starts_at <= waiter.start_by:
                kept.append(waiter)
            else:
                waiter.decide(self._refusal(len(kept), waiter.requirements))
        self._waiting = kept

    def _interval_ms(self) -> float:
        """Return the mean time between two ends, by Little's law."""
        return self._duration_ms / max(1, self._active + self._granted)

    def _refusal(
        self, ahead: int, requirements: _routing.Requirements
    ) -> _refusals.Refusal:
        drained_ms = (ahead + 1) * self._interval_ms()
        # Jitter, so that callers refused together don't return in step.
        later_ms = max(MIN_RETRY_AFTER_MS, drained_ms)
        later_ms *= self._random.uniform(1, 2)
        return _refusals.Refusal(
            _refusals.Code.RESOURCE_EXHAUSTED,
            f"the servers of {requirements.model!r} are full and its first"
            " token can't come in time",
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, later_ms)),
        )
