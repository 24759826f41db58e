"""What instances tell and ask each other about suspects."""

from __future__ import annotations

import typing

from geraniumlink.suspicion import _suspicions

PATH = "/suspicions"
MAX_ENDED = 64


class Message(typing.TypedDict):
    """What one instance tells or asks the others."""

    sender: str
    suspicions: list[list]
    # The trial that is asked for: one, or none.
    trials: list[list]
    # The sender's trials that are over.
    ended: list[list]
    # Whether the answer is to have all that the receiver knows.
    compare: bool


class Asked(typing.NamedTuple):
    """A trial that is asked for or over, as it is sent."""

    fingerprint: str
    address: str
    number: int


class Answer(typing.TypedDict):
    """What the receiver knows, and whether the trial may go ahead."""

    suspicions: list[list]
    granted: bool


def check(message: typing.Any) -> Message:
    """Return a peer's message with its plain fields checked.

    :raises ValueError: if one is not of its type.
    """
    return Message(
        sender=_suspicions.check_text(message["sender"]),
        suspicions=message["suspicions"],
        trials=message["trials"],
        ended=message["ended"],
        compare=message["compare"] is True,
    )


def read_asked(fields: typing.Any, most: int) -> list[Asked]:
    """Read trials.

    :raises ValueError: if they make no sense or are too many.
    """
    if not isinstance(fields, list) or len(fields) > most:
        raise ValueError(f"not a list of at most {most} trials")
    found = []
    for entry in fields:
        if not isinstance(entry, list) or len(entry) != 3:
            raise ValueError("not a trial")
        if type(entry[2]) is not int:
            raise ValueError(f"number is {entry[2]!r}")
        texts = [_suspicions.check_text(text) for text in entry[:2]]
        found.append(Asked(texts[0], texts[1], entry[2]))
    return found
