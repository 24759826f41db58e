"""The active configuration of this instance: the deployments it applies.

A deployment is replaced only by one with a higher version, whether it comes
from the object API's list, from its watch or from a peer. So neither a
delayed response nor a lagging peer can revert an accepted change. A retired
or removed deployment stays as a tombstone for the same reason.
"""

from __future__ import annotations

import json
import typing

from google.protobuf import json_format

from geraniumlink import _findings
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.configuration import _declarations

# Kind of the deployments' objects in the object API.
KIND = "deployments"
# Tombstones of removed objects that are kept. An older one would only guard
# against a response that is delayed by more than this many removals.
MAX_TOMBSTONES = 1000
# Objects that are sent to a peer in one response. A single object that is
# larger is sent alone.
MAX_PAGE_BYTES = 256 * 1024


class Entry(typing.NamedTuple):
    """The active version of a deployment."""

    version: int
    # None if the deployment is retired or removed.
    deployment: pb.Deployment | None
    # Version that added each model.
    models_since: dict[str, int]
    # The object's value in JSON as it was received, to be sent to peers
    # unchanged.
    value: bytes
    # Why this version can't be parsed, if so. ``deployment`` and
    # ``models_since`` then belong to the last valid version.
    problem: str = ""


class Page(typing.NamedTuple):
    """Part of a configuration, as peers send it, ordered by version."""

    objects: list[_objects.Object]
    # Version up to which the sender has every change.
    revision: int
    # Whether the sender has further objects of higher versions.
    more: bool


class _ModelOwner(typing.NamedTuple):
    """The deployment that serves a model; the lowest ``since`` wins."""

    since: int
    deployment: str


class Configuration:
    """Active deployments by name, and the revision they are complete to."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._model_owners: dict[str, _ModelOwner] = {}
        self._findings = _findings.Findings()
        self._revision = 0

    @property
    def revision(self) -> int:
        """The version up to which every accepted change is active here."""
        return self._revision

    @property
    def highest_version(self) -> int:
        """The highest version known here, tombstones included.

        It is above ``revision`` while a change is known only from the
        instance that accepted it and earlier changes may be missing.
        """
        versions = [entry.version for entry in self._entries.values()]
        return max(versions, default=0)

    @property
    def findings(self) -> tuple[_findings.Finding, ...]:
        """The faults of accepted deployments, with their places."""
        return self._findings.all()

    def deployments(self) -> list[pb.Deployment]:
        """Return the deployments that are not retired."""
        return [
            entry.deployment
            for entry in self._entries.values()
            if entry.deployment is not None
        ]

    def get(self, name: str) -> Entry | None:
        """Return a deployment's entry, or None if unknown or retired."""
        entry = self._entries.get(name)
        if entry is None or entry.deployment is None:
            return None
        return entry

    def find_model_owner(self, model: str) -> pb.Deployment | None:
        """Return the deployment that serves a model.

        Operators who race may declare a model of the same name in two
        deployments. The deployment that was accepted with it first serves
        it, at every instance.
        """
        owner = self._model_owners.get(model)
        entry = self.get(owner.deployment) if owner else None
        return entry.deployment if entry else None

    def page_after(self, after: int, max_bytes: int = MAX_PAGE_BYTES) -> Page:
        """Return objects above a version, including tombstones."""
        newer = sorted(
            (entry.version, name)
            for name, entry in self._entries.items()
            if entry.version > after
        )
        found: list[_objects.Object] = []
        size = 0
        for version, name in newer:
            value = self._entries[name].value
            size += len(value)
            if found and size > max_bytes:
                return Page(found, self._revision, more=True)
            found.append(
                _objects.Object(KIND, name, version, json.loads(value))
            )
        return Page(found, self._revision, more=False)

    def apply_listing(
        self, listing: _objects.Listing, complete: bool = False
    ) -> list[str]:
        """Apply a response of the object API; return the changed names.

        ``complete`` means that the response lists all objects, so one that
        is not listed was removed. An object that can't be parsed is recorded
        as a finding, and its last valid version stays active.
        """
        received = list(listing.objects)
        if complete:
            received += self._find_removed(listing)
        # The listing's own revision also counts changes of other kinds.
        revision = max([entry.version for entry in received], default=0)
        return self._apply_objects(received, revision)

    def apply_peer_page(self, page: Page) -> list[str]:
        """Apply all objects that a peer has above this ``revision``.

        The revision advances to the peer's, but never above the highest
        version here, so a peer that claims a revision without sending the
        objects can't hide later changes.
        """
        changed = self._apply_objects(page.objects, 0)
        self._revision = max(
            self._revision, min(page.revision, self.highest_version)
        )
        return changed

    def apply_written(self, written: _objects.Object) -> list[str]:
        """Apply one object that a write, or a conflict with one, returned.

        The revision stays: earlier changes of other deployments may be
        missing.
        """
        return self._apply_objects([written], 0)

    def _apply_objects(
        self, received: list[_objects.Object], revision: int
    ) -> list[str]:
        changed = [
            entry.name for entry in received if self._apply_object(entry)
        ]
        self._revision = max(self._revision, revision)
        if changed:
            self._drop_old_tombstones()
            self._assign_models()
        return changed

    def _find_removed(
        self, listing: _objects.Listing
    ) -> list[_objects.Object]:
        """Return tombstones of known objects that a full list lacks."""
        listed = {entry.name for entry in listing.objects}
        return [
            _objects.Object(KIND, name, listing.revision, None)
            for name, entry in self._entries.items()
            if name not in listed
            and entry.version < listing.revision
            and entry.value != _REMOVED_VALUE
        ]

    def _apply_object(self, received: _objects.Object) -> bool:
        """Apply an object if it is newer; return whether it was."""
        current = self._entries.get(received.name)
        if current is not None and current.version >= received.version:
            return False
        try:
            entry = _parse_entry(received)
        except (
            json_format.ParseError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            entry = _unreadable_entry(received, current, error)
        self._entries[received.name] = entry
        return True

    def _drop_old_tombstones(self) -> None:
        removed = sorted(
            (entry.version, name)
            for name, entry in self._entries.items()
            if entry.value == _REMOVED_VALUE
        )
        for _, name in removed[:-MAX_TOMBSTONES]:
            del self._entries[name]

    def _assign_models(self) -> None:
        """Assign each model to the first deployment accepted with it.

        Updates the findings, and logs those that are new.
        """
        findings = _findings.Findings()
        owners: dict[str, _ModelOwner] = {}
        for name, entry in sorted(self._entries.items()):
            if entry.problem:
                findings.add(f"deployments[{name}]", entry.problem)
            for model, since in entry.models_since.items():
                candidate = _ModelOwner(since, name)
                current_owner = owners.get(model, candidate)
                owners[model] = min(candidate, current_owner)
                if candidate != current_owner:
                    findings.add(
                        *_duplicate_model_finding(
                            model, candidate, current_owner
                        )
                    )
        self._model_owners = owners
        known = set(self._findings.all())
        for found in findings.all():
            if found not in known:
                _logs.event(
                    "configuration_finding",
                    place=found.place,
                    problem=found.problem,
                )
        self._findings = findings


# Value of the tombstone of a removed object; a retired one has a value.
_REMOVED_VALUE = b"null"


def _duplicate_model_finding(
    model: str, first: _ModelOwner, second: _ModelOwner
) -> tuple[str, str]:
    owner, duplicate = sorted([first, second])
    return (
        f"deployments[{duplicate.deployment}].models[{model}]",
        f"deployment {owner.deployment!r} has had this model since version"
        f" {owner.since} and serves it; remove it from one of the two",
    )


def _parse_entry(received: _objects.Object) -> Entry:
    value = json.dumps(received.value, separators=(",", ":")).encode()
    if received.value is None or received.value["deployment"] is None:
        return Entry(received.version, None, {}, value)
    deployment = _declarations.from_json(received.value["deployment"])
    if deployment.name != received.name:
        raise KeyError(f"its name field is {deployment.name!r}")
    since = dict(received.value.get("models_since", {}))
    models_since = {
        model.name: int(since.get(model.name, received.version))
        for model in deployment.models
    }
    return Entry(received.version, deployment, models_since, value)


def _unreadable_entry(
    received: _objects.Object, current: Entry | None, error: Exception
) -> Entry:
    _logs.event(
        "configuration_unreadable",
        deployment=received.name,
        version=received.version,
        error=str(error),
    )
    return Entry(
        received.version,
        current.deployment if current else None,
        current.models_since if current else {},
        json.dumps(received.value, separators=(",", ":")).encode(),
        f"version {received.version} can't be parsed ({error}); the last valid"
        " version stays active",
    )
