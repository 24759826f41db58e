"""Refusals of non-idempotent calls, each with what is true to say.

NOT_RUN is said of a key, not only of one attempt: it is never said while an
earlier attempt under the key may have been sent.
"""

from __future__ import annotations

from geraniumlink.requests import _refusals

RETRY_AFTER_MS = 2000
_MAY_HAVE_RUN = _refusals.Execution.MAY_HAVE_RUN


def deadline_passed(execution: _refusals.Execution) -> _refusals.Refusal:
    """Return the refusal of a caller whose time is over."""
    return _refusals.Refusal(
        _refusals.Code.DEADLINE_EXCEEDED,
        "the timeout of the call passed; send the same key again",
        execution,
        RETRY_AFTER_MS,
    )


def key_reused() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.ALREADY_EXISTS,
        "the idempotency key was used for another request; make a new key",
    )


def unknown_service(service: str) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.NOT_FOUND, f"there is no plain service {service!r}"
    )


def too_many_calls() -> _refusals.Refusal:
    # What is known of the key was not looked up.
    return _refusals.Refusal(
        _refusals.Code.RESOURCE_EXHAUSTED,
        "this instance has too many non-idempotent calls to begin another",
        _MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def claim_unavailable(problem: str) -> _refusals.Refusal:
    # The call was not sent from here; whether it was sent earlier from
    # elsewhere is in the claim, which can't be read.
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        f"the key's claim can't be had from the object API ({problem}): this"
        " attempt was not sent, and whether an earlier one ran is not known;"
        " send the same key again",
        _MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def owner_unresponsive() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        "another instance has the call and does not answer; send the same"
        " key again to ask it again",
        _MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def owner_restarted() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.DATA_LOSS,
        "the instance that had the call restarted before it recorded an"
        " outcome; the backend server's own records tell whether it ran",
        _MAY_HAVE_RUN,
    )


def connection_lost() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.DATA_LOSS,
        "the connection to the backend server broke after the call was"
        " sent; the backend server's own records tell whether it ran",
        _MAY_HAVE_RUN,
    )


def answer_not_kept() -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.DATA_LOSS,
        "it ran, and its answer was too large to be kept",
        _refusals.Execution.RAN,
    )
