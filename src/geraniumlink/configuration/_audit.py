"""Storage format of deployments and of their audit trails.

The object of a deployment in the object API holds the deployment and its
latest changes, so one write stores a change together with its audit entry.
Older changes are copied to archive objects, ``NAME.0``, ``NAME.1`` and so
on, before they are dropped from the object. Archives are read only to look
up old change ids and to list the history, never by instances that watch the
configuration.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import typing

from geraniumlink import _objects

ARCHIVE_KIND = "history"
# Changes in a deployment's object. They are sent to every instance with each
# change of the deployment, so the number is small.
MAX_RECENT_CHANGES = 20
# Changes that are moved to an archive when the object has reached its limit.
_CHANGES_PER_MOVE = 10
# Changes per archive object: about 125 KB of the 1 MB that an object may have.
MAX_ARCHIVED_CHANGES = 500
# Tries to append; a conflict and an archive that is full take one each.
_ARCHIVE_ATTEMPTS = 5


class Change(typing.TypedDict):
    """An accepted change in its stored form."""

    # Version that the change replaced; 0 if the object did not exist.
    base_version: int
    change_id: str
    # Digest of the request, which detects a change id that is reused for
    # another change.
    digest: str
    author: str
    # Instance that accepted the change, and its wall clock at that time.
    instance: str
    time_ms: int
    action: str


class StoredDeployment(typing.TypedDict):
    """Value of a deployment's object in the object API."""

    # None if the deployment is retired.
    deployment: dict | None
    # Version that added each model. A model that is missing here was added
    # by the object's current version, which isn't known before the write.
    models_since: dict[str, int]
    changes: list[Change]
    # Number of archive objects.
    archives: int


class VersionedChange(typing.NamedTuple):
    """A change and the version that it created."""

    version: int
    change: Change


class UnreadableError(Exception):
    """An object of the object API is not in the expected format."""


def parse_object(current: _objects.Object) -> StoredDeployment:
    """Parse the value of a deployment's object.

    :raises UnreadableError: if it is not in the expected format.
    """
    value = current.value
    if value is None:
        return StoredDeployment(
            deployment=None, models_since={}, changes=[], archives=0
        )
    try:
        stored = StoredDeployment(
            deployment=value["deployment"],
            models_since=dict(value["models_since"]),
            changes=list(value["changes"]),
            archives=int(value["archives"]),
        )
        with_versions(stored["changes"], current.version)
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableError(
            f"{current.kind}/{current.name} at version {current.version}"
            f" is not in the expected format ({error!r})"
        ) from error
    return stored


def with_versions(
    changes: list[Change], last_version: int
) -> list[VersionedChange]:
    """Pair each change with its version.

    It is the base version of the next change; the last change has
    ``last_version``.
    """
    versions = [change["base_version"] for change in changes[1:]]
    versions.append(last_version)
    return [
        VersionedChange(version, change)
        for version, change in zip(versions, changes, strict=False)
    ]


class Archive:
    """Reads and writes the archive objects of all deployments."""

    def __init__(self, objects: _objects.ObjectApi) -> None:
        self._objects = objects

    async def archive_if_full(
        self, name: str, stored: StoredDeployment
    ) -> StoredDeployment:
        """Move the oldest changes to the archive if the limit is reached."""
        changes = stored["changes"]
        if len(changes) < MAX_RECENT_CHANGES:
            return stored
        remaining = changes[_CHANGES_PER_MOVE:]
        moved_changes = with_versions(
            changes[:_CHANGES_PER_MOVE], remaining[0]["base_version"]
        )
        archives = await self.append(name, stored["archives"], moved_changes)
        return StoredDeployment(
            deployment=stored["deployment"],
            models_since=stored["models_since"],
            changes=remaining,
            archives=archives,
        )

    async def append(
        self, name: str, archives: int, changes: list[VersionedChange]
    ) -> int:
        """Append changes to the last archive; return the number of archives.

        Another instance may archive the same changes at the same time, or
        may have done so since this instance read the deployment. So changes
        that are archived already are skipped.

        :raises _objects.UnavailableError: if the append is not confirmed.
        """
        archive_number = max(0, archives - 1)
        for _ in range(_ARCHIVE_ATTEMPTS):
            current = await self._get(name, archive_number)
            archived = _parse_archive(current)
            last_version = archived[-1].version if archived else 0
            new = [entry for entry in changes if entry.version > last_version]
            if not new:
                return archive_number + 1
            if len(archived) >= MAX_ARCHIVED_CHANGES:
                archive_number += 1
                continue
            with contextlib.suppress(_objects.ConflictError):
                await self._objects.put(
                    ARCHIVE_KIND,
                    f"{name}.{archive_number}",
                    {"changes": [*archived, *new]},
                    current.version,
                )
                return archive_number + 1
        raise _objects.UnavailableError(
            "other instances kept writing to the archive"
        )

    async def count_archives(self, name: str) -> int:
        """Return the number of archives, by reading them one by one."""
        archive_number = 0
        while (await self._get(name, archive_number)).value is not None:
            archive_number += 1
        return archive_number

    async def iter_newest_first(
        self, name: str, archives: int
    ) -> AsyncIterator[list[VersionedChange]]:
        """Yield the changes of each archive, starting with the newest."""
        for archive_number in reversed(range(archives)):
            yield _parse_archive(await self._get(name, archive_number))

    async def _get(self, name: str, archive_number: int) -> _objects.Object:
        return await self._objects.get(
            ARCHIVE_KIND, f"{name}.{archive_number}"
        )


def _parse_archive(current: _objects.Object) -> list[VersionedChange]:
    if current.value is None:
        return []
    try:
        return [
            VersionedChange(int(version), change)
            for version, change in current.value["changes"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableError(
            f"archive {current.name} is not in the expected format ({error!r})"
        ) from error
