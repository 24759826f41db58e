"""The configuration in force at this instance.

It moves only forward: a deployment is replaced only by one of a higher
version, whichever of the object API's list, its watch or a peer brings it.
So neither a slow answer nor a lagging peer can revert an accepted change.
A retired deployment stays as a tombstone for the same reason.
"""

from __future__ import annotations

import typing

from google.protobuf import json_format

from geraniumlink import _declarations
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb

KIND = "deployments"


class Entry(typing.NamedTuple):
    """A deployment in force; None stands for a retired one."""

    version: int
    deployment: pb.Deployment | None
    # As it was received, to be handed on to peers unchanged.
    value: typing.Any


class Configuration:
    """Deployments by name, and the revision up to which they are known."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._model_owners: dict[str, str] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Every change accepted up to this revision is in force here."""
        return self._revision

    def deployments(self) -> list[pb.Deployment]:
        return [
            entry.deployment
            for entry in self._entries.values()
            if entry.deployment is not None
        ]

    def get(self, name: str) -> Entry | None:
        """Return a deployment that is in force and not retired."""
        entry = self._entries.get(name)
        if entry is None or entry.deployment is None:
            return None
        return entry

    def owner_of_model(self, model: str) -> pb.Deployment | None:
        entry = self.get(self._model_owners.get(model, ""))
        return entry.deployment if entry else None

    def snapshot(self) -> _objects.Listing:
        """Return everything, retired ones included, for a peer."""
        objects = [
            _objects.Object(KIND, name, entry.version, entry.value)
            for name, entry in self._entries.items()
        ]
        return _objects.Listing(self._revision, objects)

    def advance(self, listing: _objects.Listing) -> list[str]:
        """Take newer objects in; return the names that changed.

        An object that can't be read is passed over with a log line, and the
        last good one stays in force.
        """
        changed = [
            entry.name for entry in listing.objects if self._replace(entry)
        ]
        self._revision = max(self._revision, listing.revision)
        if changed:
            self._model_owners = {
                model.name: deployment.name
                for deployment in self.deployments()
                for model in deployment.models
            }
        return changed

    def _replace(self, received: _objects.Object) -> bool:
        current = self._entries.get(received.name)
        if current is not None and current.version >= received.version:
            return False
        try:
            deployment = _read(received)
        except (json_format.ParseError, KeyError, TypeError) as error:
            _logs.event(
                "configuration_unreadable",
                deployment=received.name,
                version=received.version,
                error=str(error),
            )
            return False
        self._entries[received.name] = Entry(
            received.version, deployment, received.value
        )
        return True


def _read(received: _objects.Object) -> pb.Deployment | None:
    if received.value is None or received.value["deployment"] is None:
        return None
    deployment = _declarations.from_json(received.value["deployment"])
    if deployment.name != received.name:
        raise KeyError(f"it names itself {deployment.name!r}")
    return deployment
