"""Whether a request's tokens fit into an engine's key-value cache.

Answers the load of engines whose cache is full before their slots are: 64
slots of 2,368 tokens don't fit into 95,852 or 103,085 tokens. A request that
is sent to such an engine waits for memory although it has free slots.

Each request is counted with its prompt and its whole expected output. Prefix
blocks that requests share are counted for each, so more is counted than is
in use. It only matters where another engine has room by the same count.
"""

from __future__ import annotations

from geraniumlink.serving import _types


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


def has_room(
    request: _types.Request,
    capacity: int,
    tokens_in_flight: int,
    stated: _types.LoadReport | None,
) -> bool:
    """Whether a request wouldn't wait for memory at an engine.

    :param capacity: tokens that the engine's cache holds.
    :param tokens_in_flight: tokens of all requests there, as far as known.
    :param stated: the load that it stated lately; None if there is none.
    """
    if stated is not None and stated.waiting and stated.running < stated.slots:
        # What it waits for is no slot.
        return False
    return tokens_in_flight + tokens_of(request) <= capacity


def tokens_of_others(
    reported_tokens: int | None, requests: int, request: _types.Request
) -> int:
    """Return how many tokens other instances' requests take up.

    Where they didn't report them, their requests are taken to be like the
    one that is to be sent.

    :param requests: of other instances there.
    """
    if reported_tokens is not None:
        return reported_tokens
    return requests * tokens_of(request)
