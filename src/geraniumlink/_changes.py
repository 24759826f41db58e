"""Accepts operators' changes: conditional writes and their audit trail.

The value of a deployment's object holds the deployment and the latest
changes to it, so a change and its place in the audit trail are one write:
two operators who were both told "accepted" are both in it. Older changes
are archived before they are dropped from the object.
"""

from __future__ import annotations

import contextlib
import typing

import expression

from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink import _refusals

ARCHIVE_KIND = "history"
MAX_RECENT_CHANGES = 50
_ARCHIVED_AT_ONCE = 25
_WRITE_ATTEMPTS = 3
RETRY_AFTER_MS = 2000


class Change(typing.TypedDict):
    """One accepted change, as it is kept."""

    # The version that it replaced; 0 for the first.
    base_version: int
    change_id: str
    author: str
    instance: str
    time_ms: int
    action: str


class Stored(typing.TypedDict):
    """The value of a deployment's object; None when it is retired."""

    deployment: dict | None
    changes: list[Change]


class Request(typing.NamedTuple):
    """A change that was checked and is to be accepted."""

    name: str
    deployment: dict | None
    expected_version: int
    change_id: str
    author: str
    action: str


class Accepted(typing.NamedTuple):
    """A change that is in the object API."""

    version: int
    already: bool


class VersionedChange(typing.NamedTuple):
    """A change and the version that it made."""

    version: int
    change: Change


Outcome = expression.Result[Accepted, _refusals.Refusal]


class Changes:
    """Writes changes to the object API."""

    def __init__(
        self, objects: _objects.ObjectApi, instance: str, clock: _clock.Clock
    ) -> None:
        self._objects = objects
        self._instance = instance
        self._clock = clock

    async def accept(self, request: Request) -> Outcome:
        """Write a change unless it is there already or the base has moved."""
        try:
            current = await self._objects.get(
                _configuration.KIND, request.name
            )
        except _objects.UnavailableError as error:
            # Nothing was written by this call. An earlier call with the
            # same change id may have been, and only the API knows.
            return expression.Error(_unavailable(error))
        outcome = await self._accept_onto(current, request)
        _logs.event(
            "change",
            deployment=request.name,
            change_id=request.change_id,
            author=request.author,
            action=request.action,
            outcome="accepted" if outcome.is_ok() else outcome.error.code.word,
        )
        return outcome

    async def _accept_onto(
        self, current: _objects.Object, request: Request
    ) -> Outcome:
        found = find(current, request.change_id)
        if found is not None:
            return expression.Ok(Accepted(found.version, already=True))
        if _visible_version(current) != request.expected_version:
            return expression.Error(_conflict(current, request))
        try:
            value = await self._value(current, request)
            return await self._write(value, current.version, request)
        except _objects.UnavailableError as error:
            return expression.Error(_unavailable(error))

    async def _value(
        self, current: _objects.Object, request: Request
    ) -> Stored:
        recent = list(_recent(current))
        if len(recent) >= MAX_RECENT_CHANGES:
            recent = await self._archive(request.name, recent)
        change = Change(
            base_version=current.version,
            change_id=request.change_id,
            author=request.author,
            instance=self._instance,
            time_ms=self._clock.wall(),
            action=request.action,
        )
        return Stored(deployment=request.deployment, changes=[*recent, change])

    async def _archive(self, name: str, recent: list[Change]) -> list[Change]:
        """Store the oldest changes on their own; return the rest."""
        oldest = recent[:_ARCHIVED_AT_ONCE]
        rest = recent[_ARCHIVED_AT_ONCE:]
        value = {
            "deployment": name,
            "changes": oldest,
            "next_version": rest[0]["base_version"],
        }
        archive = f"{name}.{oldest[0]['base_version']}"
        # On a conflict another instance archived the same; they never differ.
        with contextlib.suppress(_objects.ConflictError):
            await self._objects.put(
                ARCHIVE_KIND, archive, value, _objects.ABSENT
            )
        return rest

    async def _write(
        self, value: Stored, base_version: int, request: Request
    ) -> Outcome:
        """Write, and write again after an unknown outcome.

        Both writes ask for the same base version, so one at most takes
        effect, and a conflict shows whether it was ours.
        """
        for attempt in range(_WRITE_ATTEMPTS):
            try:
                written = await self._objects.put(
                    _configuration.KIND, request.name, value, base_version
                )
                return expression.Ok(Accepted(written.version, already=False))
            except _objects.ConflictError as conflict:
                found = find(conflict.current, request.change_id)
                if found is not None:
                    return expression.Ok(
                        Accepted(found.version, already=False)
                    )
                return expression.Error(_conflict(conflict.current, request))
            except _objects.UnavailableError:
                if attempt == _WRITE_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def history(self, name: str) -> list[VersionedChange]:
        """Return all changes to a deployment, newest first.

        :raises _objects.UnavailableError: if the API does not answer.
        """
        current = await self._objects.get(_configuration.KIND, name)
        changes = versioned(_recent(current), current.version)
        archives = await self._objects.list(ARCHIVE_KIND)
        for entry in archives.objects:
            if entry.value and entry.value["deployment"] == name:
                changes += versioned(
                    entry.value["changes"], entry.value["next_version"]
                )
        # Archived changes may also still be in the object.
        unique = {change.version: change for change in changes}
        return [unique[version] for version in sorted(unique, reverse=True)]


def find(current: _objects.Object, change_id: str) -> VersionedChange | None:
    """Return the change with this id if it is among the latest."""
    for found in versioned(_recent(current), current.version):
        if found.change["change_id"] == change_id:
            return found
    return None


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


def _recent(current: _objects.Object) -> list[Change]:
    if current.value is None:
        return []
    return current.value["changes"]


def _visible_version(current: _objects.Object) -> int:
    """A retired deployment counts as absent for ``expected_version``."""
    if current.value is None or current.value["deployment"] is None:
        return _objects.ABSENT
    return current.version


def _conflict(current: _objects.Object, request: Request) -> _refusals.Refusal:
    recent = _recent(current)
    if not recent:
        message = f"there is no deployment {request.name!r}; its version is 0"
    else:
        last = recent[-1]
        message = (
            f"deployment {request.name!r} is at version"
            f" {_visible_version(current)}, changed by"
            f" {last['author']!r} ({last['action']}, change"
            f" {last['change_id']}); get it and make the change again"
        )
    return _refusals.Refusal(_refusals.Code.ABORTED, message)


def _unavailable(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        f"the object API does not answer ({error}); send the same change_id"
        " again to learn whether the change was accepted",
        _refusals.Execution.MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )
