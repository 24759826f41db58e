"""Whether a request's tokens fit into an engine's key-value cache.

Answers the load of engines whose cache is full before their slots are: 64
slots of 2,368 tokens don't fit into 95,852 or 103,085 tokens. A request that
is sent to such an engine waits for memory although it has free slots.

Each request is counted with its prompt and its whole expected output. Prefix
blocks that requests share are counted for each, so more is counted than is
in use. It only matters where another engine has room by the same count.
"""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

_R = typing.TypeVar("_R")


class TokensInFlight:
    """Tokens of this instance's requests at a replica."""

    def __init__(self) -> None:
        self.tokens = 0

    def begin(self, request: _types.Request) -> None:
        """Count a request that is sent there."""
        self.tokens += tokens_of(request)

    def end(self, request: _types.Request) -> None:
        """Count a request no more."""
        self.tokens -= tokens_of(request)


def tokens_of(request: _types.Request) -> int:
    """Return how many tokens a request takes up before its end."""
    return request.prompt_tokens + request.output_tokens


def fits(
    request: _types.Request, capacity: int, own: int, of_others: int
) -> bool:
    """Whether a request's tokens fit beside those in flight at an engine.

    :param capacity: tokens that the engine's cache holds.
    :param own: tokens of this instance's requests there.
    :param of_others: tokens of other instances' requests there.
    """
    return own + of_others + tokens_of(request) <= capacity


def tokens_of_others(
    reported_tokens: int | None, requests: int, own: int, own_requests: int
) -> int:
    """Return how many tokens other instances' requests take up.

    Where they didn't report them, their requests are taken to be like this
    instance's own at the replica; without any they count as none.

    :param requests: of other instances there.
    """
    if reported_tokens is not None:
        return reported_tokens
    return requests * own // own_requests if own_requests else 0
