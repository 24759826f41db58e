"""What instances ask the controller for, and what it answers."""

from __future__ import annotations

import typing


class Requirement(typing.NamedTuple):
    """A model, or an adapter of it, that requests wait for."""

    service: str
    model: str
    adapter: str


class Resident(typing.NamedTuple):
    """Replicas that hold what was wanted."""

    replicas: tuple[str, ...]


class Pending(typing.NamedTuple):
    """It is on its way; ask again at once."""


class RetryLater(typing.NamedTuple):
    """When to ask again for what can't be had in time."""

    retry_ms: int


Answer = Resident | Pending | RetryLater
