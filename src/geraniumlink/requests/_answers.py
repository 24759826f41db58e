"""A plain service's answer, and what became of a non-idempotent call."""

from __future__ import annotations

import base64
import binascii
import typing

from geraniumlink import _http
from geraniumlink.requests import _refusals

# An answer whose body or headers are larger is not kept.
MAX_KEPT_BODY_BYTES = 32 * 1024
MAX_KEPT_HEADER_BYTES = 8 * 1024
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Answer(typing.NamedTuple):
    """A whole answer; a repeated header is there once for each value."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Ran(typing.NamedTuple):
    """It ran; None stands for an answer that was too large to keep."""

    answer: Answer | None


class Unknown(typing.NamedTuple):
    """It was sent, and whether it ran can't be learned any more."""


class NotRun(typing.NamedTuple):
    """It was not sent, or the backend server itself refused it."""

    refusal: _refusals.Refusal


Outcome = Ran | Unknown | NotRun
# What a claim keeps of a NotRun; its refusal was for its own caller.
NOT_SENT = NotRun(
    _refusals.Refusal(_refusals.Code.UNAVAILABLE, "it was not sent")
)


class StoredAnswer(typing.TypedDict):
    """An answer as JSON, in a claim or a peer message."""

    status: int
    headers: list[list[str]]
    # In base64.
    body: str


def from_response(response: _http.Response) -> Answer:
    """Return an answer without the headers of the connection."""
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    ]
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {part.strip().lower() for part in value.split(",")}
    kept = tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
    return Answer(response.status, kept, response.body)


def without_large_answer(outcome: Ran) -> Ran:
    """Return the outcome without an answer that is too large to keep."""
    if outcome.answer is None:
        return outcome
    header_bytes = sum(
        len(name) + len(value) for name, value in outcome.answer.headers
    )
    if (
        len(outcome.answer.body) > MAX_KEPT_BODY_BYTES
        or header_bytes > MAX_KEPT_HEADER_BYTES
    ):
        return Ran(None)
    return outcome


def to_json(answer: Answer) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        headers=[list(header) for header in answer.headers],
        body=base64.b64encode(answer.body).decode(),
    )


def from_json(message: typing.Any) -> Answer:
    """Read a stored answer.

    :raises ValueError: if it is none.
    """
    try:
        return Answer(
            int(message["status"]),
            tuple(
                (str(name), str(value)) for name, value in message["headers"]
            ),
            base64.b64decode(message["body"], validate=True),
        )
    except (KeyError, TypeError, binascii.Error) as error:
        raise ValueError(f"not an answer: {error!r}") from error
