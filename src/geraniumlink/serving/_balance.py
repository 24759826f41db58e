"""Load balancing: chooses the replica with the earliest expected response.

An instance knows its own requests in flight at once, but those of other
instances only with a delay: from their reports, from the load that replicas
state with their responses, and from responses that come later than its own
load explains. So its own counts come first. A few replicas drawn at random
are compared, and a random factor applied, so that instances with the same
information don't all choose the same replica.
Source for the random sample: M. Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", IEEE TPDS 2001.

Prompts queue at the engines until they are read, so the estimated time to
the first event depends on the prompt tokens ahead rather than on the number
of requests.
"""

from __future__ import annotations

import random
import typing

from geraniumlink.serving import _call_times
from geraniumlink.serving import _engine_memory
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

# Added to the expected time to the first event by each running request.
MS_PER_RUNNING_REQUEST = 1.5
# Duration assumed of a call to a service without an engine; a call that has
# to queue there waits for about one other call.
PLAIN_CALL_MS = 20.0
# Prompt length assumed of a request that an engine reports as waiting.
WAITING_PROMPT_TOKENS = 1500
# The load that a replica stated is ignored after this time.
LOAD_STALE_MS = 1500
# Penalty for leaving the data centre; less than the wait behind one short
# prompt.
OTHER_DATA_CENTRE_PENALTY_MS = 15.0
# Multiplied by a replica's failure rate, which is 1 if all requests fail.
FAILURE_PENALTY_MS = 3000.0
# Added when all slots of an engine are taken: the request waits for one.
FULL_PENALTY_MS = 400.0
# Replicas drawn at random for the comparison. If all were compared, all
# instances would choose the same best one.
SAMPLE_SIZE = 3
# The cost of a replica is multiplied by a random factor from 1 to 1 + JITTER.
JITTER = 0.1


class Choice(typing.NamedTuple):
    """The chosen replica."""

    replica: _replicas.Replica
    # Expected time to the first event of its response.
    expected_ms: float


class ChooseReplica(typing.Protocol):
    """A load balancing policy: chooses from a list that isn't empty."""

    def __call__(
        self,
        replicas: list[_replicas.Replica],
        request: _types.Request,
        priority: int,
        data_centre: str,
        now: int,
        random_source: random.Random,
    ) -> Choice: ...


def choose_replica(
    replicas: list[_replicas.Replica],
    request: _types.Request,
    priority: int,
    data_centre: str,
    now: int,
    random_source: random.Random,
) -> Choice:
    """Return the replica with the lowest cost.

    The cost is the expected time to the first event, with penalties for
    failures and for leaving the data centre, and a random factor. Calls whose
    time has been learned are drawn; see ``_call_times``.

    :raises ValueError: if there are no replicas.
    """
    if (
        replicas
        and not request.model
        and replicas[0].call_times.call_ms(now) is not None
    ):
        return _draw_for_call(
            replicas, request, data_centre, now, random_source
        )
    best: tuple[float, Choice] | None = None
    if len(replicas) > SAMPLE_SIZE:
        replicas = random_source.sample(replicas, SAMPLE_SIZE)
    for replica in replicas:
        expected = estimate_first_event_ms(replica, request, priority, now)
        cost = _cost(replica, expected, data_centre, now)
        cost *= random_source.uniform(1, 1 + JITTER)
        if best is None or cost < best[0]:
            best = (cost, Choice(replica, expected))
    if best is None:
        raise ValueError("no replica to choose from")
    return best[1]


def _draw_for_call(
    replicas: list[_replicas.Replica],
    request: _types.Request,
    data_centre: str,
    now: int,
    random_source: random.Random,
) -> Choice:
    """Choose among the replicas of a service with learned call times."""
    expected = [
        estimate_first_event_ms(replica, request, 0, now)
        for replica in replicas
    ]
    costs = [
        _cost(replica, expected_ms, data_centre, now)
        for replica, expected_ms in zip(replicas, expected, strict=True)
    ]
    of_others = _call_times.share_of_others(
        sum(replica.in_flight for replica in replicas),
        sum(requests_of_others(replica, now) for replica in replicas),
    )
    index = _call_times.draw_replica(costs, of_others, random_source)
    replica = replicas[index]
    call_ms = replica.service_time.factor(now) * (
        replica.call_times.call_ms(now) or 0.0
    )
    wait_ms = _call_times.draw_wait(
        expected[index] - call_ms, of_others, random_source
    )
    return Choice(replica, call_ms + wait_ms)


def _cost(
    replica: _replicas.Replica, expected_ms: float, data_centre: str, now: int
) -> float:
    """Return the expected time with the penalties."""
    cost = expected_ms + FAILURE_PENALTY_MS * replica.failure_rate(now)
    if replica.entry.data_centre != data_centre:
        cost += OTHER_DATA_CENTRE_PENALTY_MS
    return cost


def estimate_first_event_ms(
    replica: _replicas.Replica,
    request: _types.Request,
    priority: int,
    now: int,
) -> float:
    """Return the expected time to the first event of a response."""
    # The load that other instances put on the replica.
    running, waiting = _load_of_others(replica, now)
    slots = max(1, replica.entry.slots)
    # A request without a model goes to a service without an engine.
    factor = replica.service_time.factor(now)
    if not request.model:
        call_ms = replica.call_times.call_ms(now)
        if call_ms is not None:
            return _call_times.expected_ms(
                factor * call_ms,
                replica.in_flight + requests_of_others(replica, now),
                slots,
            )
        ahead = replica.in_flight + running + waiting
        return (1 + ahead / slots) * PLAIN_CALL_MS + replica.excess_latency_ms(
            now
        )
    tokens = replica.prefix_cache.uncached_tokens(request)
    tokens += replica.tokens_ahead(priority, now)
    tokens += waiting * WAITING_PROMPT_TOKENS
    busy = replica.in_flight + running
    full = FULL_PENALTY_MS if busy >= slots else 0.0
    return (
        factor * replica.prefill_speed.expected_ms(tokens)
        + factor * busy * MS_PER_RUNNING_REQUEST
        + full
        + replica.excess_latency_ms(now)
    )


def has_memory(
    replica: _replicas.Replica,
    request: _types.Request,
    kv_tokens: int | None,
    now: int,
) -> bool:
    """Whether a request wouldn't wait for an engine's memory.

    Of replicas that don't state their service time it isn't known, and they
    count as having room.

    :param kv_tokens: tokens that the engine's cache holds; None if unknown.
    """
    if kv_tokens is None or not replica.service_time.is_stated:
        return True
    peer_load = replica.recent_peer_load(now)
    running, waiting = _load_of_others(replica, now)
    of_others = _engine_memory.tokens_of_others(
        peer_load.kv_tokens if peer_load else None, running + waiting, request
    )
    is_fresh = now - replica.load_at <= LOAD_STALE_MS
    return _engine_memory.has_room(
        request,
        kv_tokens,
        replica.memory.tokens + of_others,
        replica.load if is_fresh else None,
    )


def add_memory_wait(choice: Choice, now: int) -> Choice:
    """Add the wait for memory, unless the choice has one for a slot."""
    replica = choice.replica
    busy = replica.in_flight + _load_of_others(replica, now)[0]
    if busy >= max(1, replica.entry.slots):
        return choice
    return choice._replace(expected_ms=choice.expected_ms + FULL_PENALTY_MS)


def requests_of_others(replica: _replicas.Replica, now: int) -> float:
    """Return how many requests of other instances are at a replica.

    Unlike ``_load_of_others`` it is what is likely now, not the last news.
    """
    load, age_ms = replica.load, now - replica.load_at
    stated: int | None = None
    if load is not None and age_ms <= LOAD_STALE_MS:
        stated = max(0, load.running + load.waiting - replica.load_own)
    reported = 0.0
    if replica.recent_peer_load(now) is not None:
        reported = replica.reported.requests
    return _call_times.requests_of_others(reported, stated, age_ms)


def _load_of_others(replica: _replicas.Replica, now: int) -> tuple[int, int]:
    """Return how many requests of others run and wait at a replica.

    The reports of other instances are newer than the load that the replica
    stated, and they count waiting requests as in flight.
    """
    peer_load = replica.recent_peer_load(now)
    if peer_load is not None:
        return peer_load.in_flight, 0
    load = replica.load
    if load is None or now - replica.load_at > LOAD_STALE_MS:
        return 0, 0
    running = max(0, load.running - replica.in_flight)
    return running, load.waiting
