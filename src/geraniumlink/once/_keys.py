"""Idempotency keys: their syntax and lifetime.

A claim outlives its key by a margin for the difference between instances'
clocks. Otherwise an instance whose clock is behind could accept an old key
as valid after its claim was removed, and run the call a second time.
"""

from __future__ import annotations

import re
import typing

from geraniumlink import _findings
from geraniumlink.requests import _refusals

# Keys issued longer ago are refused.
KEY_LIFETIME_MS = 24 * 60 * 60 * 1000
# How far a caller's clock may be ahead of an instance's; keys issued further
# in the future are refused.
MAX_AHEAD_MS = 5 * 60 * 1000
# The largest difference between the wall clocks of any two instances for
# which at-most-once execution and NOT_RUN refusals are correct.
MAX_CLOCK_DIFFERENCE_MS = 5 * 60 * 1000
# A claim is kept at least this long after its key's time of issue, by the
# clock of the instance that removes it.
CLAIM_LIFETIME_MS = KEY_LIFETIME_MS + 2 * MAX_CLOCK_DIFFERENCE_MS
_KEY_PATTERN = re.compile(r"([0-9]{1,15})-([A-Za-z0-9_-]{8,64})")


class Key(typing.NamedTuple):
    """An idempotency key; the whole text identifies it."""

    text: str
    # The caller's wall time in milliseconds when it issued the key.
    issued_ms: int


def parse_key(text: str, findings: _findings.Findings) -> Key | None:
    """Parse a key of the form "MS-NAME"; add a finding if it is malformed."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        findings.add(
            "idempotency_key",
            "write MS-NAME: the time of issue in milliseconds, a hyphen and"
            " 8 to 64 characters of A-Z a-z 0-9 _ -",
        )
        return None
    return Key(text, int(match[1]))


def check_age(key: Key, wall_ms: int) -> _refusals.Refusal | None:
    """Return a refusal if the key has expired or is from the future."""
    age_ms = wall_ms - key.issued_ms
    if age_ms > KEY_LIFETIME_MS:
        # The claim may have been removed, and with it the only record of
        # whether the call ran.
        return _refusals.Refusal(
            _refusals.Code.FAILED_PRECONDITION,
            "the idempotency key was issued more than 24 hours ago; whether"
            " a request ran under it is no longer known",
            _refusals.Execution.MAY_HAVE_RUN,
        )
    if -age_ms > MAX_AHEAD_MS:
        return _refuse_future_key(-age_ms)
    return None


def _refuse_future_key(ahead_ms: int) -> _refusals.Refusal:
    """Refuse a key whose time of issue is ahead of this instance's clock."""
    execution = _refusals.Execution.MAY_HAVE_RUN
    if ahead_ms > MAX_AHEAD_MS + MAX_CLOCK_DIFFERENCE_MS:
        # Even an instance whose clock is ahead of this one by the largest
        # allowed difference refuses the key, so none has run the call.
        execution = _refusals.Execution.NOT_RUN
    return _refusals.Refusal(
        _refusals.Code.FAILED_PRECONDITION,
        f"the idempotency key's time of issue is {ahead_ms} ms ahead of"
        " this instance's clock",
        execution,
        ahead_ms - MAX_AHEAD_MS,
    )
