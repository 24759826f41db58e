"""What instances require to be resident, and the controller's answers."""

from __future__ import annotations

import enum
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


class Cause(enum.Enum):
    """Why something can't be resident in time. Values are logged."""

    NO_CONTROLLER = "no controller may order now"
    CONTROLLER_SILENT = "the controller didn't answer in time"
    NOT_DECLARED = "the model isn't declared"
    ABSENT = "no replica holds the model"
    LOADING = "the load ends too late"
    HOLDERS_BUSY = "its replicas carry out other orders"
    NO_SLOT = "all adapter slots are in use"
    # From instances of older builds.
    UNKNOWN = "not stated"


class RetryLater(typing.NamedTuple):
    """It can't be resident in time; when the client may retry."""

    retry_ms: int
    cause: Cause


Answer = Resident | Pending | RetryLater
