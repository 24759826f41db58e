"""The audit trail of a deployment: how its changes are kept.

A deployment's object holds the deployment and its latest changes, so a
change and its place in the audit trail are one write. Older changes are
copied to archive objects, ``NAME.0``, ``NAME.1`` and so on, before they are
dropped from the object. Archives are read only for old change ids and for
the history, never by the instances that follow the configuration.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import typing

from geraniumlink import _objects

ARCHIVE_KIND = "history"
# Sent to every instance with each change, so there are few.
MAX_RECENT_CHANGES = 20
_MOVED_AT_ONCE = 10
# About 125 KB of the megabyte that an object may have.
MAX_ARCHIVED_CHANGES = 500
_ARCHIVE_ATTEMPTS = 5


class Change(typing.TypedDict):
    """One accepted change, as it is kept."""

    # The version that it replaced; 0 when there was no object.
    base_version: int
    change_id: str
    # Of what was asked for, so that a change id used twice is recognised.
    digest: str
    author: str
    instance: str
    time_ms: int
    action: str


class Stored(typing.TypedDict):
    """The value of a deployment's object; None when it is retired."""

    deployment: dict | None
    # The version that brought in each model; one that is missing here came
    # with the object's own version, which its writer could not know.
    models_since: dict[str, int]
    changes: list[Change]
    # How many archive objects there are.
    archives: int


class VersionedChange(typing.NamedTuple):
    """A change and the version that it made."""

    version: int
    change: Change


class UnreadableError(Exception):
    """The object API holds something that is not in the stored form."""


def read(current: _objects.Object) -> Stored:
    """Return what a deployment's object holds.

    :raises UnreadableError: if it is not in the stored form.
    """
    value = current.value
    if value is None:
        return Stored(deployment=None, models_since={}, changes=[], archives=0)
    try:
        stored = Stored(
            deployment=value["deployment"],
            models_since=dict(value["models_since"]),
            changes=list(value["changes"]),
            archives=int(value["archives"]),
        )
        versioned(stored["changes"], current.version)
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableError(
            f"{current.kind}/{current.name} at version {current.version}"
            f" is not in the stored form ({error!r})"
        ) from error
    return stored


def versioned(
    changes: list[Change], last_version: int
) -> list[VersionedChange]:
    """Give each change its version: the next one's base, or the last."""
    versions = [change["base_version"] for change in changes[1:]]
    versions.append(last_version)
    return [
        VersionedChange(version, change)
        for version, change in zip(versions, changes, strict=False)
    ]


class Archive:
    """Reads and writes the archive objects."""

    def __init__(self, objects: _objects.ObjectApi) -> None:
        self._objects = objects

    async def make_room(self, name: str, stored: Stored) -> Stored:
        """Archive the oldest changes when the object is full of them."""
        changes = stored["changes"]
        if len(changes) < MAX_RECENT_CHANGES:
            return stored
        kept = changes[_MOVED_AT_ONCE:]
        moved = versioned(changes[:_MOVED_AT_ONCE], kept[0]["base_version"])
        archives = await self.append(name, stored["archives"], moved)
        return Stored(
            deployment=stored["deployment"],
            models_since=stored["models_since"],
            changes=kept,
            archives=archives,
        )

    async def append(
        self, name: str, archives: int, moved: list[VersionedChange]
    ) -> int:
        """Add changes to the last archive; return how many there are.

        Another instance may archive the same changes at the same time, and
        this one may have read the deployment long ago. What is there
        already is not added again.

        :raises _objects.UnavailableError: if that is not known to be done.
        """
        number = max(0, archives - 1)
        for _ in range(_ARCHIVE_ATTEMPTS):
            current = await self._get(name, number)
            kept = _read_archive(current)
            last_version = kept[-1].version if kept else 0
            new = [entry for entry in moved if entry.version > last_version]
            if not new:
                return number + 1
            if len(kept) >= MAX_ARCHIVED_CHANGES:
                number += 1
                continue
            with contextlib.suppress(_objects.ConflictError):
                await self._objects.put(
                    ARCHIVE_KIND,
                    f"{name}.{number}",
                    {"changes": [*kept, *new]},
                    current.version,
                )
                return number + 1
        raise _objects.UnavailableError("others keep writing the archive")

    async def count(self, name: str) -> int:
        """Return how many archives there are, by looking for each."""
        number = 0
        while (await self._get(name, number)).value is not None:
            number += 1
        return number

    async def newest_first(
        self, name: str, archives: int
    ) -> AsyncIterator[list[VersionedChange]]:
        """Yield the changes of each archive, the newest archive first."""
        for number in reversed(range(archives)):
            yield _read_archive(await self._get(name, number))

    async def _get(self, name: str, number: int) -> _objects.Object:
        return await self._objects.get(ARCHIVE_KIND, f"{name}.{number}")


def _read_archive(current: _objects.Object) -> list[VersionedChange]:
    if current.value is None:
        return []
    try:
        return [
            VersionedChange(int(version), change)
            for version, change in current.value["changes"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableError(
            f"archive {current.name} is not in the stored form ({error!r})"
        ) from error
