"""Idempotency keys: their form, and for how long they are good.

Claims are removed some time after their keys expired. The two times keep a
margin for the difference between instances' clocks, so that an instance
whose clock is late can't take an old key for a fresh one after its claim is
gone.
"""

from __future__ import annotations

import re
import typing

from geraniumlink import _findings
from geraniumlink.requests import _refusals

KEY_LIFETIME_MS = 24 * 60 * 60 * 1000
# What a caller's clock may be ahead of an instance's.
MAX_AHEAD_MS = 5 * 60 * 1000
# What the clocks of any two instances may differ by.
MAX_CLOCK_DIFFERENCE_MS = 5 * 60 * 1000
# A claim is kept this long after its key's time of issue, by the clock of
# the instance that removes it.
CLAIM_LIFETIME_MS = KEY_LIFETIME_MS + 2 * MAX_CLOCK_DIFFERENCE_MS
_KEY_PATTERN = re.compile(r"([0-9]{1,15})-([A-Za-z0-9_-]{8,64})")


class Key(typing.NamedTuple):
    """An idempotency key; the whole text identifies it."""

    text: str
    # The caller's wall time in milliseconds when it made the key.
    issued_ms: int


def parse_key(text: str, findings: _findings.Findings) -> Key | None:
    """Read "MS-NAME", or add a finding."""
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
    """Return the refusal of a key that is too old or not issued yet."""
    age_ms = wall_ms - key.issued_ms
    if age_ms > KEY_LIFETIME_MS:
        # Its claim may be gone, and with it what is known of a run.
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
    execution = _refusals.Execution.MAY_HAVE_RUN
    if ahead_ms > MAX_AHEAD_MS + MAX_CLOCK_DIFFERENCE_MS:
        # No instance's clock can have been late enough to refuse it here
        # and early enough to accept it there.
        execution = _refusals.Execution.NOT_RUN
    return _refusals.Refusal(
        _refusals.Code.FAILED_PRECONDITION,
        f"the idempotency key's time of issue is {ahead_ms} ms ahead of"
        " this instance's clock",
        execution,
        ahead_ms - MAX_AHEAD_MS,
    )
