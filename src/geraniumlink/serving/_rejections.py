"""What follows from a replica's statement that it did not run a request.

Answers the load of replicas that reject requests since they have no room, or
no longer hold a model. A rejected request may run elsewhere, so it isn't
counted against the replicas on which it may run; all instances' retry budget
bounds what rejections add to the load. A replica that has just rejected a
request is likely to reject the next one, too, so others are chosen first.
"""

from __future__ import annotations

import enum
import typing

from geraniumlink.serving import _types

# For how long others are preferred to a replica that rejected a request. A
# service with calls of 60 to 90 ms and 6 slots has room again within this.
AVOIDED_MS = 200


class Cause(enum.Enum):
    """Why a replica rejects a request, as far as its response tells."""

    NOT_LOADED = "it doesn't hold the model or the adapter"
    CLOSING = "it has room, so it is about to unload the model"
    NO_ROOM = "it has no room, or gives no reason"


def find_cause(
    status: int, load: _types.LoadReport | None, model: str
) -> Cause:
    """Return why a replica rejected a request.

    :param load: the load that it stated with the rejection.
    :param model: the one that the request names; "" if it names none.
    """
    if model and status == 421:
        return Cause.NOT_LOADED
    if model and load is not None and load.has_room:
        return Cause.CLOSING
    return Cause.NO_ROOM


class LastRejection:
    """When a replica last rejected a request that it could serve later."""

    def __init__(self) -> None:
        self._avoided_until = 0

    def note(self, now: int) -> None:
        """Record a rejection."""
        self._avoided_until = now + AVOIDED_MS

    def is_recent(self, now: int) -> bool:
        """Whether other replicas are to be preferred."""
        return now < self._avoided_until


class Rejecting(typing.Protocol):
    """A replica of which the last rejection is known."""

    @property
    def last_rejection(self) -> LastRejection: ...


_R = typing.TypeVar("_R", bound=Rejecting)


def prefer_others(replicas: list[_R], now: int) -> list[_R]:
    """Return the replicas without a recent rejection; all if none is left.

    What is left must not depend on stale information alone: if all have
    rejected a request, one may have room again.
    """
    others = [r for r in replicas if not r.last_rejection.is_recent(now)]
    return others or replicas
