"""What instances require to be resident, and the controller's answers."""

from __future__ import annotations

import typing


class Requirement(typing.NamedTuple):
    """A model, or an adapter of it, that requests need on some replica.

    ``adapter`` is "" for the model itself. The field names are keys of the
    message to the controller.
    """

    service: str
    model: str
    adapter: str


class Resident(typing.NamedTuple):
    """Names of the replicas that hold what is required."""

    replicas: tuple[str, ...]


class Pending(typing.NamedTuple):
    """It is being loaded; ask again at once."""


class RetryLater(typing.NamedTuple):
    """It can't be resident in time; when the client may retry."""

    retry_ms: int


Answer = Resident | Pending | RetryLater
