"""What the controller's instance knows of the store, told to the others."""

from __future__ import annotations

import typing

from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher


class Relay:
    """Puts the followers' changes into the instances' messages."""

    def __init__(self, watchers: list[_object_watcher.ObjectWatcher]) -> None:
        self._watchers = {watcher.kind: watcher for watcher in watchers}

    def known_revisions(self) -> dict[str, int]:
        """Return the revision known of each kind."""
        return {
            kind: watcher.revision for kind, watcher in self._watchers.items()
        }

    def encode_changes(self, known: dict[str, int]) -> dict[str, typing.Any]:
        """Return what another instance lacks that knows so much."""
        told = {}
        for kind, watcher in self._watchers.items():
            changes = watcher.changes_since(int(known.get(kind, 0)))
            told[kind] = [
                changes.revision,
                changes.whole,
                [[o.name, o.version, o.value] for o in changes.objects],
            ]
        return told

    def apply_changes(self, told: typing.Any) -> None:
        """Take what was told; what makes no sense is logged and dropped."""
        try:
            for kind, watcher in self._watchers.items():
                revision, whole, rows = told[kind]
                objects = [
                    _objects.Object(kind, str(name), int(version), value)
                    for name, version, value in rows
                ]
                watcher.take_relayed(
                    _object_watcher.Changes(
                        int(revision), bool(whole), objects
                    )
                )
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_relay", error=repr(error))
