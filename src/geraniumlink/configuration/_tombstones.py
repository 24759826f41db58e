"""Removes the objects of deployments that were retired long ago.

A retired deployment stays as a tombstone, so that an instance that was cut
off learns of it. Those of the last ``KEEP_MS`` are kept; each retirement
removes a few older ones, so their number stays bounded. The audit
trail is archived first, and change ids are still recognised from there.
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.configuration import _audit
from geraniumlink.configuration import _configuration

RETENTION_MS = 24 * 3_600_000
MAX_REMOVALS = 2


async def remove_expired(
    objects: _objects.ObjectApi, now_ms: int, retention_ms: int = RETENTION_MS
) -> list[str]:
    """Remove a few old tombstones; return their names.

    It lists all deployments, so it is for the rare case of a retirement.

    :raises _objects.UnavailableError: if the API does not answer.
    """
    listing = await objects.list(_configuration.KIND)
    old = [
        entry
        for entry in sorted(listing.objects, key=lambda entry: entry.version)
        if _retired_before(entry, now_ms - retention_ms)
    ]
    removed = []
    for entry in old[:MAX_REMOVALS]:
        if await _remove(objects, entry):
            removed.append(entry.name)
    return removed


def _retired_before(entry: _objects.Object, time_ms: int) -> bool:
    try:
        stored = _audit.read(entry)
    except _audit.UnreadableError:
        return False
    if entry.value is None or stored["deployment"] is not None:
        return False
    return bool(stored["changes"]) and (
        stored["changes"][-1]["time_ms"] < time_ms
    )


async def _remove(objects: _objects.ObjectApi, entry: _objects.Object) -> bool:
    stored = _audit.read(entry)
    changes = _audit.versioned(stored["changes"], entry.version)
    archive = _audit.Archive(objects)
    await archive.append(entry.name, stored["archives"], changes)
    try:
        await objects.delete(_configuration.KIND, entry.name, entry.version)
    except _objects.ConflictError:
        # It was declared again in the meantime.
        return False
    _logs.event(
        "tombstone_removed", deployment=entry.name, version=entry.version
    )
    return True


async def try_remove_expired(
    objects: _objects.ObjectApi, clock: _clock.Clock
) -> None:
    """Remove old tombstones; one that can't be removed now waits."""
    try:
        await remove_expired(objects, clock.wall())
    except (_objects.UnavailableError, _audit.UnreadableError) as error:
        _logs.event("tombstones_kept", error=str(error))
