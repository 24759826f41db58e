"""The configuration in force at this instance.

It moves only forward: a deployment is replaced only by one of a higher
version, whichever of the object API's list, its watch or a peer brings it.
So neither a slow answer nor a lagging peer can revert an accepted change.
A retired or removed deployment stays as a tombstone for the same reason.
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

KIND = "deployments"
# Tombstones of removed objects; older ones are of no use to anybody whose
# answers take less than the time of this many removals.
MAX_REMOVED = 1000
# Objects that a peer sends in one answer; one object may exceed it.
MAX_PAGE_BYTES = 256 * 1024


class Entry(typing.NamedTuple):
    """A deployment in force; None stands for a retired one."""

    version: int
    deployment: pb.Deployment | None
    # The version that brought in each model.
    models_since: dict[str, int]
    # JSON as it was received, to be handed on to peers unchanged.
    value: bytes
    # Why this version can't be read; the last good deployment stays.
    problem: str = ""


class Page(typing.NamedTuple):
    """Part of a configuration, in the order of versions."""

    objects: list[_objects.Object]
    # Up to which the sender knows every change.
    revision: int
    # Whether there are objects of higher versions.
    more: bool


class _Owner(typing.NamedTuple):
    since: int
    deployment: str


class Configuration:
    """Deployments by name, and the revision up to which they are known."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._model_owners: dict[str, _Owner] = {}
        self._findings = _findings.Findings()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Every change accepted up to this version is in force here."""
        return self._revision

    @property
    def highest_version(self) -> int:
        """The highest version in force.

        It is above ``revision`` while a change is known from whoever had
        it accepted, and others before it may not be known yet.
        """
        versions = [entry.version for entry in self._entries.values()]
        return max(versions, default=0)

    @property
    def findings(self) -> tuple[_findings.Finding, ...]:
        """What is wrong with accepted deployments, with its place."""
        return self._findings.all()

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

    def find_model_owner(self, model: str) -> pb.Deployment | None:
        """Return the deployment that serves a model.

        Two operators who race may declare one name in two deployments. The
        one that was accepted first has it, at every instance.
        """
        owner = self._model_owners.get(model)
        entry = self.get(owner.deployment) if owner else None
        return entry.deployment if entry else None

    def page_after(self, after: int, max_bytes: int = MAX_PAGE_BYTES) -> Page:
        """Return objects above a version, retired ones included."""
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
        """Take an answer of the object API in; return the names changed.

        ``complete`` says that the object API listed all there is, so what
        is not listed was removed. An object that can't be read is recorded
        as a finding, and the last good one stays in force.
        """
        received = list(listing.objects)
        if complete:
            received += self._removed(listing)
        # Not the listing's own revision, which other kinds move too.
        revision = max([entry.version for entry in received], default=0)
        return self._take(received, revision)

    def apply_peer_page(self, page: Page) -> list[str]:
        """Take in all that a peer has above this ``revision``.

        The revision moves to the peer's, but never above the versions that
        are here: a peer that says more than it sends is not believed.
        """
        changed = self._take(page.objects, 0)
        self._revision = max(
            self._revision, min(page.revision, self.highest_version)
        )
        return changed

    def apply_written(self, written: _objects.Object) -> list[str]:
        """Take in one object as it was accepted.

        It says nothing of changes to other deployments before it.
        """
        return self._take([written], 0)

    def _take(
        self, received: list[_objects.Object], revision: int
    ) -> list[str]:
        changed = [entry.name for entry in received if self._replace(entry)]
        self._revision = max(self._revision, revision)
        if changed:
            self._drop_old_tombstones()
            self._assign_models()
        return changed

    def _removed(self, listing: _objects.Listing) -> list[_objects.Object]:
        listed = {entry.name for entry in listing.objects}
        return [
            _objects.Object(KIND, name, listing.revision, None)
            for name, entry in self._entries.items()
            if name not in listed
            and entry.version < listing.revision
            and entry.value != _REMOVED
        ]

    def _replace(self, received: _objects.Object) -> bool:
        current = self._entries.get(received.name)
        if current is not None and current.version >= received.version:
            return False
        try:
            entry = _read(received)
        except (
            json_format.ParseError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            entry = _unreadable(received, current, error)
        self._entries[received.name] = entry
        return True

    def _drop_old_tombstones(self) -> None:
        removed = sorted(
            (entry.version, name)
            for name, entry in self._entries.items()
            if entry.value == _REMOVED
        )
        for _, name in removed[:-MAX_REMOVED]:
            del self._entries[name]

    def _assign_models(self) -> None:
        """Give each model to the deployment that had it first."""
        findings = _findings.Findings()
        owners: dict[str, _Owner] = {}
        for name, entry in sorted(self._entries.items()):
            if entry.problem:
                findings.add(f"deployments[{name}]", entry.problem)
            for model, since in entry.models_since.items():
                claim = _Owner(since, name)
                other = owners.get(model, claim)
                owners[model] = min(claim, other)
                if claim != other:
                    findings.add(*_declared_twice(model, claim, other))
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


_REMOVED = b"null"


def _declared_twice(
    model: str, first: _Owner, second: _Owner
) -> tuple[str, str]:
    owner, loser = sorted([first, second])
    return (
        f"deployments[{loser.deployment}].models[{model}]",
        f"deployment {owner.deployment!r} has this model since version"
        f" {owner.since} and serves it; take it out of one of them",
    )


def _read(received: _objects.Object) -> Entry:
    value = json.dumps(received.value, separators=(",", ":")).encode()
    if received.value is None or received.value["deployment"] is None:
        return Entry(received.version, None, {}, value)
    deployment = _declarations.from_json(received.value["deployment"])
    if deployment.name != received.name:
        raise KeyError(f"it names itself {deployment.name!r}")
    since = dict(received.value.get("models_since", {}))
    models_since = {
        model.name: int(since.get(model.name, received.version))
        for model in deployment.models
    }
    return Entry(received.version, deployment, models_since, value)


def _unreadable(
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
        f"version {received.version} can't be read ({error}); the last good"
        " version stays in force",
    )
