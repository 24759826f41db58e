"""Refusals of non-idempotent calls.

The execution that a refusal states is that of the idempotency key, not only
of one attempt: it is never NOT_RUN while an earlier attempt with the same
key may have been sent.
"""

from __future__ import annotations

from geraniumlink.requests import _refusals

# Stated in the refusals of calls that can be sent again with the same key.
RETRY_AFTER_MS = 2000
_MAY_HAVE_RUN = _refusals.Execution.MAY_HAVE_RUN


def deadline_passed(execution: _refusals.Execution) -> _refusals.Refusal:
    """Return the refusal of a call whose timeout passed."""
    return _refusals.Refusal(
        _refusals.Code.DEADLINE_EXCEEDED,
        "the timeout of the call passed; send the same key again",
        execution,
        RETRY_AFTER_MS,
    )


def key_reused() -> _refusals.Refusal:
    """Return the refusal of a key that another request has used."""
    return _refusals.Refusal(
        _refusals.Code.ALREADY_EXISTS,
        "the idempotency key was used for another request; use a new key",
    )


def unknown_service(service: str) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.NOT_FOUND, f"there is no plain service {service!r}"
    )


def too_many_calls() -> _refusals.Refusal:
    """Return the refusal of a call above the limit of concurrent calls."""
    # The key's claim was not read, so an earlier attempt may have run.
    return _refusals.Refusal(
        _refusals.Code.RESOURCE_EXHAUSTED,
        "this instance has too many non-idempotent calls to start another",
        _MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def claim_unavailable(problem: str) -> _refusals.Refusal:
    """Return the refusal of a call whose claim can't be read or written."""
    # This instance did not send the call. Whether another one did before is
    # recorded in the claim, which is unavailable.
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        f"the key's claim is unavailable from the object API ({problem}):"
        " this attempt was not sent, and whether an earlier one ran is not"
        " known; send the same key again",
        _MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def owner_unresponsive() -> _refusals.Refusal:
    """Return the refusal when the instance that owns the claim is silent."""
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        "the instance that handles the call does not answer; send the same"
        " key again to ask it again",
        _MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def owner_restarted() -> _refusals.Refusal:
    """Return the refusal when the claim's owner lost the outcome."""
    return _refusals.Refusal(
        _refusals.Code.DATA_LOSS,
        "the instance that handled the call restarted before it recorded an"
        " outcome; only the backend server's records show whether it ran",
        _MAY_HAVE_RUN,
    )


def connection_lost() -> _refusals.Refusal:
    """Return the refusal of a call that was sent and got no response."""
    return _refusals.Refusal(
        _refusals.Code.DATA_LOSS,
        "the connection to the backend server broke after the call was"
        " sent; only the backend server's records show whether it ran",
        _MAY_HAVE_RUN,
    )


def answer_not_kept() -> _refusals.Refusal:
    """Return the refusal of a repeated call whose answer was not stored."""
    return _refusals.Refusal(
        _refusals.Code.DATA_LOSS,
        "the call ran, and its answer was too large to be stored",
        _refusals.Execution.RAN,
    )
