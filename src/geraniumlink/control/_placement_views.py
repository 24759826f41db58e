"""What placement sees and returns."""

from __future__ import annotations

import enum
import typing

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.control import _ledger


class CopyView(typing.NamedTuple):
    """A charged copy on a replica."""

    copy: _ledger.Copy
    size_mb: int
    state: _ledger.State
    # In state MAY_ARRIVE: it may be loaded again at no further charge.
    reloadable: bool = False


class ReplicaView(typing.NamedTuple):
    """A replica as placement sees it."""

    name: str
    # Memory that may still be charged.
    free_mb: int
    # Reachable, in service, and its ledger is known.
    usable: bool
    copies: tuple[CopyView, ...]

    def find(self, copy: _ledger.Copy) -> CopyView | None:
        for view in self.copies:
            if view.copy == copy:
                return view
        return None


class Action(enum.Enum):
    """What a move does with its copy."""

    LOAD = "load"
    UNLOAD = "unload"


class Move(typing.NamedTuple):
    """Loads a copy on a replica, or unloads it there."""

    action: Action
    replica: str
    copy: _ledger.Copy
    size_mb: int


HELD = (_ledger.State.RESIDENT, _ledger.State.LOADING)


def model_copy(model: pb.Model) -> _ledger.Copy:
    """Return the copy that a declared model wants."""
    return _ledger.Copy(model.name, "", model.version)


def adapter_copy(adapter: pb.Adapter) -> _ledger.Copy:
    """Return the copy that a declared adapter wants."""
    return _ledger.Copy(adapter.model, adapter.name, adapter.version)


def wanted_copies(model: pb.Model) -> int:
    return max(1, model.min_copies)
