"""Chooses the replica whose answer is expected first.

Every instance sees what it has sent itself at once, and what the others have
sent only late, by the load that replicas state with their answers and by
answers that come later than the own share explains. Own counts come first;
a random factor keeps instances that know the same from choosing the same.
Source for the latter: M. Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", IEEE TPDS 2001.

Answers the load where prompts queue at engines: the time to the first event
is set by the prompt tokens ahead, not by the number of requests.
"""

from __future__ import annotations

import random
import typing

from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

# Prompt tokens that an engine reads in a ms; the users' engines read 22.
PREFILL_TOKENS_PER_MS = 20.0
# What each running request adds to the time to a first event, in ms.
RUNNING_MS = 1.5
# A call that waits at a plain service waits about one call of the others.
PLAIN_CALL_MS = 20.0
# A waiting request at an engine has a prompt of usual length ahead.
WAITING_PROMPT_TOKENS = 1500
# What a replica stated is of no use after this.
LOAD_STALE_MS = 1500
# Price of leaving the data centre, as time: it weighs less than a queue of
# one short prompt.
OTHER_DATA_CENTRE_MS = 15.0
# A replica that fails all requests counts as this much later.
FAILURE_MS = 3000.0
# Own requests to a full engine wait for a slot.
FULL_MS = 400.0
# Replicas that are compared; all instances would choose the best of all.
DRAWN = 3
# Spread of the random factor.
JITTER = 0.1


class Choice(typing.NamedTuple):
    """A replica and when its first event is expected."""

    replica: _replicas.Replica
    expected_ms: float


class ChooseReplica(typing.Protocol):
    """Chooses one of some replicas, of which there is at least one."""

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
    """Return the best of some replicas, of which there is at least one."""
    best: tuple[float, Choice] | None = None
    if len(replicas) > DRAWN:
        replicas = random_source.sample(replicas, DRAWN)
    for replica in replicas:
        expected = estimate_first_event_ms(replica, request, priority, now)
        cost = expected + FAILURE_MS * replica.failures(now)
        if replica.entry.data_centre != data_centre:
            cost += OTHER_DATA_CENTRE_MS
        cost *= random_source.uniform(1, 1 + JITTER)
        if best is None or cost < best[0]:
            best = (cost, Choice(replica, expected))
    if best is None:
        raise ValueError("no replica to choose from")
    return best[1]


def estimate_first_event_ms(
    replica: _replicas.Replica,
    request: _types.Request,
    priority: int,
    now: int,
) -> float:
    """Return the expected time to the first event of an answer."""
    running, waiting = _others(replica, now)
    slots = max(1, replica.entry.slots)
    if not request.model:
        ahead = replica.in_flight + running + waiting
        return (1 + ahead / slots) * PLAIN_CALL_MS + replica.lag_ms(now)
    tokens = replica.uncached_tokens(request)
    tokens += replica.tokens_ahead(priority, now)
    tokens += waiting * WAITING_PROMPT_TOKENS
    busy = replica.in_flight + running
    full = FULL_MS if busy >= slots else 0.0
    return (
        tokens / PREFILL_TOKENS_PER_MS
        + busy * RUNNING_MS
        + full
        + replica.lag_ms(now)
    )


def _others(replica: _replicas.Replica, now: int) -> tuple[int, int]:
    """Return what others run and what waits unseen.

    What instances tell each other is newer than what the replica stated.
    """
    peer_load = replica.recent_peer_load(now)
    if peer_load is not None:
        return peer_load.in_flight, 0
    load = replica.load
    if load is None or now - replica.load_at > LOAD_STALE_MS:
        return 0, 0
    running = max(0, load.running - replica.in_flight)
    return running, load.waiting
