"""Chooses a replica that can answer in time, with a permit if it needs one.

Answers the load of replicas that limit what all instances send them: such a
replica is used as far as permits go, and others are used first.
"""

from __future__ import annotations

import collections
import random

from geraniumlink import _clock
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _balance
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _permits
from geraniumlink.serving import _rejections
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_state
from geraniumlink.serving import _types
from geraniumlink.serving import _warm_up

# Replicas with a limit that one request asks for a permit in turn. Each answer
# takes a message to another instance and back.
MAX_PERMIT_REQUESTS = 3
# A denial counts for this long at most, since a limit may be raised or end.
MAX_DENIAL_MS = 1000


class ReplicaChooser:
    """Chooses among the replicas that hold what a request needs."""

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        replicas: _replicas.Replicas,
        permits: _permits.Permits,
        final_answers: _final_answers.FinalAnswers,
        clock: _clock.Clock,
        data_centre: str,
        random_source: random.Random,
        choose: _balance.ChooseReplica,
        warm_ups: _warm_up.WarmUps | None = None,
    ) -> None:
        """Create a chooser.

        :param warm_ups: None if new replicas get requests like all others.
        """
        self._active_configuration = active_configuration
        self._replicas = replicas
        self._permits = permits
        self._final_answers = final_answers
        self._clock = clock
        self._data_centre = data_centre
        self._random = random_source
        self._choose_replica = choose
        self._warm_ups = warm_ups
        # Requests that wait for a permit, by service.
        self._waiting: collections.Counter[str] = collections.Counter()

    async def choose(
        self,
        state: _request_state.RequestState,
        candidates: list[_replicas.Replica],
        available: list[_replicas.Replica],
    ) -> _balance.Choice | _outcomes.Refusal | None:
        """Choose a candidate, with a permit if it limits its rate.

        :returns: None if all limit their rate, none has a permit in time, and
            an available replica without a limit may load the model.
        """
        for _ in range(MAX_PERMIT_REQUESTS):
            now = self._clock.now()
            undenied = [r for r in candidates if r.denied_until <= now]
            if not undenied:
                break
            choice = self._choose_in_time(state, undenied, now)
            if (
                isinstance(choice, _outcomes.Refusal)
                or not self._replicas.needs_permit(choice.replica)
                or await self._acquire_permit(state, choice.replica, 0) is None
            ):
                return choice
        now = self._clock.now()
        unlimited = [
            r for r in candidates if not self._replicas.needs_permit(r)
        ]
        if unlimited:
            return self._choose_in_time(state, unlimited, now)
        choice_or_denial = await self._wait_for_permit(state, candidates)
        if not isinstance(choice_or_denial, _permits.Denied):
            return choice_or_denial
        if self._may_get_another_copy(state.request, available):
            return None
        return self._final_answers.make_refusal(
            "the replicas limit what they are sent", choice_or_denial.retry_ms
        )

    def _may_get_another_copy(
        self, request: _types.Request, available: list[_replicas.Replica]
    ) -> bool:
        """Whether a replica without a limit could load the request's model."""
        return bool(request.model) and any(
            not self._replicas.needs_permit(replica) for replica in available
        )

    async def _wait_for_permit(
        self,
        state: _request_state.RequestState,
        candidates: list[_replicas.Replica],
    ) -> _balance.Choice | _permits.Denied:
        """Choose the candidate that has a permit first, if that is in time.

        The less urgent a request, the smaller the part of its time that it
        may wait, so that urgent ones find permits when there are too few.
        """
        waiting = self._waiting[state.service]
        slots = sum(replica.entry.slots for replica in candidates)
        if waiting >= max(1, slots // self._permits.instances):
            # About as many wait as are being served.
            return _permits.Denied(MAX_DENIAL_MS)
        began = self._clock.now()
        spare_ms = state.latest_next_event - began
        give_up_at = began + spare_ms / (1 + state.route.priority)
        self._waiting[state.service] += 1
        try:
            while True:
                choice = await self._try_soonest(state, candidates, give_up_at)
                if not isinstance(choice, _permits.Denied):
                    return choice
                if self._clock.now() + choice.retry_ms >= give_up_at:
                    return choice
                await self._clock.sleep(choice.retry_ms)
        finally:
            self._waiting[state.service] -= 1

    async def _try_soonest(
        self,
        state: _request_state.RequestState,
        candidates: list[_replicas.Replica],
        give_up_at: float,
    ) -> _balance.Choice | _permits.Denied:
        """Get a permit for one of the candidates that may have one first."""
        soonest = sorted(candidates, key=lambda r: r.denied_until)
        retry_ms = MAX_DENIAL_MS
        for replica in soonest[:MAX_PERMIT_REQUESTS]:
            now = self._clock.now()
            expected_ms = _balance.estimate_first_event_ms(
                replica, state.request, state.route.priority, now
            )
            max_delay_ms = int(give_up_at - now - expected_ms)
            if max_delay_ms < 0:
                break
            denied = await self._acquire_permit(state, replica, max_delay_ms)
            if denied is not None:
                retry_ms = min(retry_ms, denied.retry_ms)
            # It may have begun to leave during the wait.
            elif self._replicas.is_available(replica.entry.name):
                return _balance.Choice(replica, expected_ms)
        return _permits.Denied(retry_ms)

    async def _acquire_permit(
        self,
        state: _request_state.RequestState,
        replica: _replicas.Replica,
        max_delay_ms: int,
    ) -> _permits.Denied | None:
        """Get a permit and wait until it is due; return None once it is."""
        began = self._clock.now()
        answer = await self._permits.acquire(replica, max_delay_ms)
        now = self._clock.now()
        _decision_log.permit(state, replica, answer, now - began)
        if isinstance(answer, _permits.Denied):
            replica.denied_until = now + min(answer.retry_ms, MAX_DENIAL_MS)
            return answer
        await self._clock.sleep(answer.delay_ms)
        return None

    def note_end(
        self, replica: _replicas.Replica, outcome: _outcomes.Outcome | None
    ) -> None:
        """Record the end of an attempt.

        :param outcome: None if it was given up.
        """
        is_rejected = isinstance(outcome, _outcomes.NotRun) and outcome.is_full
        if is_rejected or _has_failed(outcome):
            replica.answers = replica.answers.with_one(is_in_time=False)
        if self._replicas.needs_permit(replica):
            self._permits.release(replica, is_rejected)

    def _choose_in_time(
        self,
        state: _request_state.RequestState,
        candidates: list[_replicas.Replica],
        now: int,
    ) -> _balance.Choice | _outcomes.Refusal:
        """Choose a candidate, or refuse if its answer would be too late.

        Those with memory for the request are preferred.
        """
        candidates = _rejections.prefer_others(candidates, now)
        kv_tokens = self._kv_tokens(state)
        with_memory = [
            replica
            for replica in candidates
            if _balance.has_memory(replica, state.request, kv_tokens, now)
        ]
        preferred = with_memory or candidates
        choice = self._choose_warm(state, preferred, now)
        if choice is None:
            choice = self._choose_among(state, preferred, now)
        if not with_memory:
            choice = _balance.add_memory_wait(choice, now)
        late_ms = choice.expected_ms - (state.latest_next_event - now)
        if late_ms > 0:
            return self._final_answers.make_refusal(
                "no replica can answer in time", late_ms
            )
        return choice

    def _choose_warm(
        self,
        state: _request_state.RequestState,
        candidates: list[_replicas.Replica],
        now: int,
    ) -> _balance.Choice | None:
        """Choose a candidate, but for those that are held back now.

        :returns: None if none is, or if no other would be in time; a request
            that was sent somewhere else in vain takes what there is.
        """
        if self._warm_ups is None or state.tried_replicas:
            return None
        considered = self._warm_ups.considered(candidates, self._random)
        if len(considered) == len(candidates):
            return None
        choice = self._choose_among(state, considered, now)
        target_at = state.request.received_at + state.route.target_ms
        return choice if now + choice.expected_ms <= target_at else None

    def _choose_among(
        self,
        state: _request_state.RequestState,
        candidates: list[_replicas.Replica],
        now: int,
    ) -> _balance.Choice:
        return self._choose_replica(
            candidates,
            state.request,
            state.route.priority,
            self._data_centre,
            now,
            self._random,
        )

    def _kv_tokens(self, state: _request_state.RequestState) -> int | None:
        """Return the tokens that an engine of the service holds, if known."""
        if not state.request.model:
            return None
        service = self._active_configuration.find_service(state.service)
        engine = service.engine if service else None
        return (engine.kv_tokens or None) if engine else None


def _has_failed(outcome: _outcomes.Outcome | None) -> bool:
    """Whether a replica broke off, was silent or answered with an error."""
    match outcome:
        case _outcomes.Interrupted():
            return True
        case _outcomes.Failed(status=status):
            return status >= 500
    return False
