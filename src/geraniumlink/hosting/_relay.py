"""What the controller's instance knows of the store, told to the others."""

from __future__ import annotations

import typing

from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.hosting import _follower


class Relay:
    """Puts the followers' changes into the instances' messages."""

    def __init__(self, followers: list[_follower.Follower]) -> None:
        self._followers = {follower.kind: follower for follower in followers}

    def known(self) -> dict[str, int]:
        """Return the revision known of each kind."""
        return {
            kind: follower.revision
            for kind, follower in self._followers.items()
        }

    def tell(self, known: dict[str, int]) -> dict[str, typing.Any]:
        """Return what another instance lacks that knows so much."""
        told = {}
        for kind, follower in self._followers.items():
            changes = follower.changes_since(int(known.get(kind, 0)))
            told[kind] = [
                changes.revision,
                changes.whole,
                [[o.name, o.version, o.value] for o in changes.objects],
            ]
        return told

    def take(self, told: typing.Any) -> None:
        """Take what was told; what makes no sense is logged and dropped."""
        try:
            for kind, follower in self._followers.items():
                revision, whole, rows = told[kind]
                objects = [
                    _objects.Object(kind, str(name), int(version), value)
                    for name, version, value in rows
                ]
                follower.take_relayed(
                    _follower.Changes(int(revision), bool(whole), objects)
                )
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_relay", error=repr(error))
