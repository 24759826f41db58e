"""Relays changes in the store from the controller to other instances.

The changes are part of the responses to the other instances' demand reports.
"""

from __future__ import annotations

import typing

from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher


class Relay:
    """Encodes and applies the watched objects' changes in messages."""

    def __init__(self, watchers: list[_object_watcher.ObjectWatcher]) -> None:
        self._watchers = {watcher.kind: watcher for watcher in watchers}

    def known_revisions(self) -> dict[str, int]:
        """Return the revision of each kind up to which all is known."""
        return {
            kind: watcher.revision for kind, watcher in self._watchers.items()
        }

    def encode_changes(self, known: dict[str, int]) -> dict[str, typing.Any]:
        """Return the changes after the revisions that an instance knows."""
        encoded = {}
        for kind, watcher in self._watchers.items():
            changes = watcher.changes_since(int(known.get(kind, 0)))
            encoded[kind] = [
                changes.revision,
                changes.is_snapshot,
                [
                    [item.name, item.version, item.value]
                    for item in changes.objects
                ],
            ]
        return encoded

    def apply_changes(self, encoded: typing.Any) -> None:
        """Apply another instance's ``encode_changes``.

        Once a kind is malformed, it and the kinds after it are left out, and
        the error is logged.
        """
        try:
            for kind, watcher in self._watchers.items():
                revision, is_snapshot, rows = encoded[kind]
                objects = [
                    _objects.Object(kind, str(name), int(version), value)
                    for name, version, value in rows
                ]
                watcher.apply_relayed(
                    _object_watcher.Changes(
                        int(revision), bool(is_snapshot), objects
                    )
                )
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_relay", error=repr(error))
