"""Fencing tokens that keep rising when the store forgets the lease.

A token counts from the highest one that is known, and from the time of day
if that is higher. So a taker that knows no earlier token makes one above all
of them, unless its clock is behind. The lowest bits are drawn once for each
process, so that two processes that find the same state make different
tokens. Source: S. Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

from __future__ import annotations

import random

from geraniumlink import _clock

# JSON keeps whole numbers below it exact.
MAX_TOKEN = 2**53
PROCESS_BITS = 10
# A time of day from then on (in the year 2109) isn't believed. It would leave
# no room for counting.
MAX_WALL_MS = 2**42


class EpochSource:
    """Makes the fencing tokens of one process."""

    def __init__(
        self, clock: _clock.Clock, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._process_bits = random_source.getrandbits(PROCESS_BITS)

    def make(self, highest: int) -> int:
        """Return a token above the highest one that is known."""
        return next_token(highest, self._clock.wall(), self._process_bits)


def next_token(highest: int, wall_ms: int, process_bits: int) -> int:
    """Return the token of a process that follows the highest known one.

    :param wall_ms: time of day, in ms since 1970.
    :param process_bits: the token's last ``PROCESS_BITS`` bits.
    """
    counted = highest >> PROCESS_BITS
    if counted << PROCESS_BITS | process_bits <= highest:
        counted += 1
    if 0 <= wall_ms < MAX_WALL_MS:
        counted = max(counted, wall_ms)
    return counted << PROCESS_BITS | process_bits
