"""Removes expired tombstones of retired deployments.

The object of a retired deployment stays as a tombstone, so that instances
that were cut off learn of the retirement. Tombstones are kept for at least
``RETENTION_MS``; each retirement removes a few older ones, so their number
stays bounded. The audit trail is archived first, so change ids are still
recognised.
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.configuration import _audit
from geraniumlink.configuration import _configuration

# Age from which a tombstone may be removed.
RETENTION_MS = 24 * 3_600_000
# Tombstones removed per retirement.
MAX_REMOVALS = 2


async def remove_expired(
    objects: _objects.ObjectApi, now_ms: int, retention_ms: int = RETENTION_MS
) -> list[str]:
    """Remove up to ``MAX_REMOVALS`` expired tombstones; return their names.

    All deployments are listed, so this is called only after retirements,
    which are rare.

    :raises _objects.UnavailableError: if the API does not answer.
    """
    listing = await objects.list(_configuration.KIND)
    expired = [
        entry
        for entry in sorted(listing.objects, key=lambda entry: entry.version)
        if _retired_before(entry, now_ms - retention_ms)
    ]
    removed = []
    for entry in expired[:MAX_REMOVALS]:
        if await _archive_and_delete(objects, entry):
            removed.append(entry.name)
    return removed


def _retired_before(entry: _objects.Object, time_ms: int) -> bool:
    try:
        stored = _audit.parse_object(entry)
    except _audit.UnreadableError:
        return False
    if entry.value is None or stored["deployment"] is not None:
        return False
    return bool(stored["changes"]) and (
        stored["changes"][-1]["time_ms"] < time_ms
    )


async def _archive_and_delete(
    objects: _objects.ObjectApi, entry: _objects.Object
) -> bool:
    """Archive the audit trail, then delete; return whether it was deleted."""
    stored = _audit.parse_object(entry)
    changes = _audit.with_versions(stored["changes"], entry.version)
    archive = _audit.Archive(objects)
    await archive.append(entry.name, stored["archives"], changes)
    try:
        await objects.delete(_configuration.KIND, entry.name, entry.version)
    except _objects.ConflictError:
        # The deployment was declared again in the meantime.
        return False
    _logs.event(
        "tombstone_removed", deployment=entry.name, version=entry.version
    )
    return True


async def try_remove_expired(
    objects: _objects.ObjectApi, clock: _clock.Clock
) -> None:
    """Remove expired tombstones; log a failure, the rest stays for later."""
    try:
        await remove_expired(objects, clock.wall())
    except (_objects.UnavailableError, _audit.UnreadableError) as error:
        _logs.event("tombstones_kept", error=str(error))
