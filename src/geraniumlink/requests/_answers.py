"""The answer of a plain service, and the outcome of a non-idempotent call."""

from __future__ import annotations

import base64
import binascii
import typing

from geraniumlink import _http
from geraniumlink.requests import _refusals

# An answer is stored with the claim of its idempotency key unless its body or
# its headers are larger than this.
MAX_KEPT_BODY_BYTES = 32 * 1024
MAX_KEPT_HEADER_BYTES = 8 * 1024
# Header fields that apply to one connection and are not forwarded.
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
    """A complete response; a repeated header has one entry per value."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Ran(typing.NamedTuple):
    """The call ran; its answer is None if that was too large to store."""

    answer: Answer | None


class Unknown(typing.NamedTuple):
    """The call was sent, and whether it ran can no longer be found out."""


class NotRun(typing.NamedTuple):
    """The call was not sent, or the backend server refused to start it."""

    refusal: _refusals.Refusal


Outcome = Ran | Unknown | NotRun
# The outcome of a call that is stored as not run. The claim doesn't store
# the refusal, which concerned only the caller that received it.
NOT_SENT = NotRun(
    _refusals.Refusal(_refusals.Code.UNAVAILABLE, "the call was not sent")
)


class StoredAnswer(typing.TypedDict):
    """An answer as a JSON object, in a claim or a message to a peer."""

    status: int
    headers: list[list[str]]
    # Encoded in base64.
    body: str


def from_response(response: _http.Response) -> Answer:
    """Return a response as an answer, without its hop-by-hop headers.

    Fields that the header Connection names are hop-by-hop too.
    """
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
    """Return the outcome, without its answer if that is too large to store."""
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
    """Return an answer in the form in which it is stored."""
    return StoredAnswer(
        status=answer.status,
        headers=[list(header) for header in answer.headers],
        body=base64.b64encode(answer.body).decode(),
    )


def from_json(message: typing.Any) -> Answer:
    """Read a stored answer.

    :raises ValueError: if the message is not a stored answer.
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
        raise ValueError(f"not a stored answer: {error!r}") from error
