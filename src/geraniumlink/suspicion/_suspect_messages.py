"""The messages about suspects between instances, and their validation.

A trial is the only run of a suspect in the fleet; ``_trials.py`` describes
how instances agree on it.
"""

from __future__ import annotations

import typing

from geraniumlink.suspicion import _suspicions

PATH = "/suspicions"
# Ended trials in one message.
MAX_ENDED = 64


class Message(typing.TypedDict):
    """One instance's news of suspects, and the trial that it requests."""

    sender: str
    suspicions: list[list]
    # The trial that the sender requests: at most one, as a TrialRef.
    trials: list[list]
    # The sender's trials that ended or were withdrawn, as TrialRefs.
    ended: list[list]
    # Whether to answer with the receiver's latest entries, and not just with
    # its entries for the fingerprints in ``suspicions``.
    compare: bool


class TrialRef(typing.NamedTuple):
    """Identifies a trial of the sender in a message."""

    fingerprint: str
    # Empty if no server is reserved.
    address: str
    # Increases with each trial of the sender.
    number: int


class Answer(typing.TypedDict):
    """The receiver's entries, and whether it grants the requested trial.

    It grants a message without a request.
    """

    suspicions: list[list]
    granted: bool


def validate(message: typing.Any) -> Message:
    """Return a peer's message; its lists are still to be parsed.

    :raises ValueError: if the sender is not a short string.
    :raises KeyError: if a field is missing.
    """
    return Message(
        sender=_suspicions.check_text(message["sender"]),
        suspicions=message["suspicions"],
        trials=message["trials"],
        ended=message["ended"],
        compare=message["compare"] is True,
    )


def parse_trial_refs(fields: typing.Any, limit: int) -> list[TrialRef]:
    """Parse references to trials.

    :raises ValueError: if there are more than ``limit`` or one is malformed.
    """
    if not isinstance(fields, list) or len(fields) > limit:
        raise ValueError(f"not a list of at most {limit} trials")
    refs = []
    for entry in fields:
        if not isinstance(entry, list) or len(entry) != 3:
            raise ValueError("a trial is not a list of 3 fields")
        if type(entry[2]) is not int:
            raise ValueError(f"trial number {entry[2]!r} is not an integer")
        texts = [_suspicions.check_text(text) for text in entry[:2]]
        refs.append(TrialRef(texts[0], texts[1], entry[2]))
    return refs
