"""The input and output types of placement."""

from __future__ import annotations

import enum
import typing

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger


class CopyView(typing.NamedTuple):
    """A copy with an entry in the replica's ledger."""

    copy: _ledger.Copy
    size_mb: int
    state: _ledger.State
    # It is in state MAY_ARRIVE and may be loaded without further charge.
    reloadable: bool = False


class ReplicaView(typing.NamedTuple):
    """A replica as its ledger and its last report show it."""

    name: str
    # Capacity that isn't charged.
    free_mb: int
    # Reachable and in service, and its ledger is known: copies here count,
    # and more may be loaded.
    usable: bool
    copies: tuple[CopyView, ...]

    def find(self, copy: _ledger.Copy) -> CopyView | None:
        """Return the view of a copy; None if it isn't charged here."""
        for view in self.copies:
            if view.copy == copy:
                return view
        return None


class Action(enum.Enum):
    """What a move does with its copy."""

    LOAD = "load"
    UNLOAD = "unload"


class Move(typing.NamedTuple):
    """A planned load or unload of a copy on a replica."""

    action: Action
    replica: str
    copy: _ledger.Copy
    size_mb: int


# States of a copy that is there or on its way.
RESIDENT_OR_LOADING = (_ledger.State.RESIDENT, _ledger.State.LOADING)


def model_copy(model: pb.Model) -> _ledger.Copy:
    """Return the copy of a model in its declared version."""
    return _ledger.Copy(model.name, "", model.version)


def adapter_copy(adapter: pb.Adapter) -> _ledger.Copy:
    """Return the copy of an adapter in its declared version."""
    return _ledger.Copy(adapter.model, adapter.name, adapter.version)


def required_copies(model: pb.Model) -> int:
    """Return how many replicas must hold a model, at least one."""
    return max(1, model.min_copies)
