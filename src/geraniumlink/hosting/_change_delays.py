"""The budget of a change in the store, until every instance acts on it.

The platform bounds the time from the store's acknowledgement to the last
request that goes by what was there before. All waits of a change are derived
from that bound here, for the case that the store answers all but one instance
and messages between instances arrive.

What an instance knows has an age: since when it is surely complete. Relayed
changes carry that of the controller, so whatever delays them counts: a
controller that is cut off, or that hears nothing on its watch; a late message.
Above a share of the bound an instance reads the store itself.
"""

from __future__ import annotations

import typing

from geraniumlink.hosting import _object_watcher
from geraniumlink import platform
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _controller_protocol

# How long an answer of a slow store takes.
STORE_ANSWER_MS = 240
# From an instance's last look at what it knows until a replica has the
# request, with the delays of timers and of the event loop.
SEND_MS = 160
# Longest time in which changes gather, so that one call reads them.
MAX_BATCH_DELAY_MS = 250
# The same on an instance that reads the list of replicas for itself alone.
# Then all instances make such calls, and each heartbeat is a change.
MAX_ALONE_BATCH_DELAY_MS = 800
# Bounds that are too low to be kept must not cause calls without a pause.
MIN_DELAY_MS = 100
MIN_AGE_MS = 3 * MIN_DELAY_MS


class Waits(typing.NamedTuple):
    """How an instance follows one kind of object."""

    # How long changes gather before they are read, and the same while others
    # get nothing from this instance.
    batch_delay_ms: int
    alone_batch_delay_ms: int
    # None if a copy may have any age.
    freshness: _object_watcher.Freshness | None


def waits_within(
    bound_ms: int | None,
    *,
    is_busy: bool = False,
    needs_all_values: bool = True,
) -> Waits:
    """Return the waits that keep the delay of each change within a bound.

    :param bound_ms: from the store's acknowledgement of a change to the last
        request that goes by what was there before; None if there is none.
    :param is_busy: whether changes come often, as of heartbeats. Then a watch
        is short enough to leave time for the next one, should it go silent.
    :param needs_all_values: as in ``Freshness``.
    """
    if bound_ms is None:
        return Waits(MAX_BATCH_DELAY_MS, MAX_ALONE_BATCH_DELAY_MS, None)
    known_ms = bound_ms - SEND_MS
    batch_delay_ms = _clamp(known_ms - relayed_delay_ms(0), MAX_BATCH_DELAY_MS)
    watched_age_ms = known_ms - _silence_noticed_ms()
    watch_ms = watched_age_ms
    if is_busy:
        watch_ms -= batch_delay_ms + MIN_DELAY_MS
    return Waits(
        batch_delay_ms,
        _clamp(known_ms - 2 * STORE_ANSWER_MS, MAX_ALONE_BATCH_DELAY_MS),
        _object_watcher.Freshness(
            _clamp(watch_ms, _object_watcher.WATCH_TIMEOUT_MS),
            max(MIN_AGE_MS, known_ms - STORE_ANSWER_MS),
            needs_all_values,
            max(MIN_DELAY_MS, watched_age_ms),
            trusts_held_watches=True,
        ),
    )


def _clamp(delay_ms: int, longest_ms: int) -> int:
    return max(MIN_DELAY_MS, min(longest_ms, delay_ms))


def _silence_noticed_ms() -> int:
    """Return the time from the end of a silent watch to the next answer."""
    return (
        platform.WATCH_TIMEOUT_MARGIN_MS
        + _object_watcher.INITIAL_RETRY_MS
        + STORE_ANSWER_MS
    )


def relayed_delay_ms(batch_delay_ms: int) -> int:
    """Return the longest delay of a change that the controller relays.

    :param batch_delay_ms: that of the kind of object.
    """
    return (
        batch_delay_ms
        + STORE_ANSWER_MS
        + _controller_protocol.REPORT_INTERVAL_MS
        + _controller_link.CALL_TIMEOUT_MS
    )


def longest_delays_ms(
    waits: Waits, freshness: _object_watcher.Freshness
) -> dict[str, int]:
    """Return the longest delay on each way that a change may take.

    Each ends when the change is known, ``SEND_MS`` before the last request.

    :param freshness: that of the waits, of a kind that has a bound.
    """
    watch_ms = freshness.watch_timeout_ms
    relay_lapsed_ms = _object_watcher.RELAY_VALIDITY_MS + STORE_ANSWER_MS
    return {
        "relayed by the controller": relayed_delay_ms(waits.batch_delay_ms),
        "read as the relay lapses": relay_lapsed_ms,
        # The store drops its history as changes gather, and all objects are
        # listed.
        "read by an instance without a relay": (
            waits.alone_batch_delay_ms + 2 * STORE_ANSWER_MS
        ),
        # It is cut off or hears nothing, or its messages are late.
        "relayed by a controller that hasn't read it": (
            freshness.max_relayed_age_ms + STORE_ANSWER_MS
        ),
        # The copy is as old as the watch before it, which brought a change.
        "hidden by a watch that went silent": (
            max(
                watch_ms + waits.batch_delay_ms + MIN_DELAY_MS,
                freshness.max_watched_age_ms or 0,
            )
            + _silence_noticed_ms()
        ),
        # The first read hears nothing, nor does a watch; then all objects are
        # listed.
        "unheard, as the store drops its history": (
            relay_lapsed_ms
            + min(watch_ms, _object_watcher.SETTLING_WATCH_MS)
            + 2 * STORE_ANSWER_MS
        ),
    }
