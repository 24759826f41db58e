"""How long a change in the store takes to reach every instance.

Counted from the store's acknowledgement, while the store answers all but one
instance and messages between instances arrive.
"""

from __future__ import annotations

from geraniumlink.hosting import _object_watcher
from geraniumlink import platform
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _controller_protocol
from geraniumlink.residency import _leadership

# How long an answer of a slow store takes.
STORE_ANSWER_MS = 240


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
    batch_delay_ms: int, alone_batch_delay_ms: int
) -> dict[str, int]:
    """Return the longest delay on each way that a change may take.

    :param batch_delay_ms: that of the kind of object, on the controller.
    :param alone_batch_delay_ms: the same on an instance without a relay.
    """
    relay_lapsed_ms = _object_watcher.RELAY_VALIDITY_MS + STORE_ANSWER_MS
    cut_off_ms = batch_delay_ms + _leadership.RELAY_WINDOW_MS
    return {
        "relayed by the controller": relayed_delay_ms(batch_delay_ms),
        "read as the relay lapses": relay_lapsed_ms,
        # The store drops its history as changes gather, and all objects are
        # listed.
        "read by an instance without a relay": (
            alone_batch_delay_ms + 2 * STORE_ANSWER_MS
        ),
        # It was cut off before it read the change. The time that its last
        # message takes isn't counted.
        "relayed by a controller that is cut off": (
            cut_off_ms + relay_lapsed_ms
        ),
        # The first read hears nothing, nor does a watch; then all objects are
        # listed.
        "unheard, as the store drops its history": (
            relay_lapsed_ms
            + _object_watcher.SETTLING_WATCH_MS
            + 2 * STORE_ANSWER_MS
        ),
    }


def silent_watch_delay_ms(batch_delay_ms: int) -> int:
    """Return the longest delay if a watch's connection goes silent.

    Counted from the silence, which may begin before the watch does.

    :param batch_delay_ms: that of the kind of object.
    """
    return (
        _object_watcher.WATCH_TIMEOUT_MS
        + platform.WATCH_TIMEOUT_MARGIN_MS
        + _object_watcher.INITIAL_RETRY_MS
        + relayed_delay_ms(batch_delay_ms)
    )
