"""Accepts operators' changes: conditional writes and their audit trail.

A change is written only onto the version that it was made against, together
with its entry in the audit trail (see ``_audit``), so two operators who were
both told "accepted" are both in the history. A change id that was accepted
before is recognised, however long ago, and is never applied twice.
"""

from __future__ import annotations

from collections.abc import Callable
import hashlib
import json
import typing

import expression

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.configuration import _audit
from geraniumlink.configuration import _configuration
from geraniumlink.requests import _refusals

_WRITE_ATTEMPTS = 3
RETRY_AFTER_MS = 2000


class Declare(typing.NamedTuple):
    """Puts a deployment in place of what was there."""

    deployment: dict


class Retire(typing.NamedTuple):
    """Withdraws the deployment."""


class Drain(typing.NamedTuple):
    """Takes a replica out of service for new work, or puts it back."""

    replica: str
    undo: bool


Edit = Declare | Retire | Drain


class ChangeRequest(typing.NamedTuple):
    """A change that was checked and is to be accepted."""

    name: str
    edit: Edit
    expected_version: int
    change_id: str
    author: str


class AcceptedChange(typing.NamedTuple):
    """A change that is in the object API."""

    version: int
    already_accepted: bool


Outcome = expression.Result[AcceptedChange, _refusals.Refusal]
Edited = expression.Result[dict | None, _refusals.Refusal]


class ChangeStore:
    """Writes changes to the object API."""

    def __init__(
        self,
        objects: _objects.ObjectApi,
        instance: str,
        clock: _clock.Clock,
        on_written: Callable[[_objects.Object], None] = lambda _: None,
    ) -> None:
        self._objects = objects
        self._archive = _audit.Archive(objects)
        self._instance = instance
        self._clock = clock
        self._on_written = on_written

    async def accept(self, request: ChangeRequest) -> Outcome:
        """Write a change unless it is there already or the base has moved."""
        try:
            outcome = await self._accept(request)
        except _objects.UnavailableError as error:
            # Even if this call wrote nothing, an earlier one with the same
            # change id may have, and only the API knows.
            outcome = expression.Error(_unavailable(error))
        except _objects.TooLargeError as error:
            outcome = expression.Error(_too_large(error))
        except _audit.UnreadableError as error:
            outcome = expression.Error(_unreadable(error))
        _logs.event(
            "change",
            deployment=request.name,
            change_id=request.change_id,
            author=request.author,
            action=action(request.edit),
            outcome="accepted"
            if outcome.is_ok()
            else outcome.error.code.wire_name,
        )
        return outcome

    async def _accept(self, request: ChangeRequest) -> Outcome:
        current = await self._objects.get(_configuration.KIND, request.name)
        stored = await self._read(current)
        found = await self._find(current, stored, request)
        if found is not None:
            return _recognised(found, request, already_accepted=True)
        if _visible_version(current, stored) != request.expected_version:
            return expression.Error(_conflict(current, stored, request))
        edited = apply_edit(request.edit, stored["deployment"])
        if edited.is_error():
            return expression.Error(edited.error)
        room = await self._archive.make_room(request.name, stored)
        value = self._value(current.version, room, edited.ok, request)
        return await self._write(value, current.version, request)

    def _value(
        self,
        base_version: int,
        stored: _audit.Stored,
        deployment: dict | None,
        request: ChangeRequest,
    ) -> _audit.Stored:
        change = _audit.Change(
            base_version=base_version,
            change_id=request.change_id,
            digest=digest(request),
            author=request.author,
            instance=self._instance,
            time_ms=self._clock.wall(),
            action=action(request.edit),
        )
        return _audit.Stored(
            deployment=deployment,
            models_since=_models_since(base_version, stored, deployment),
            changes=[*stored["changes"], change],
            archives=stored["archives"],
        )

    async def _write(
        self, value: _audit.Stored, base_version: int, request: ChangeRequest
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
                self._on_written(written._replace(value=value))
                return expression.Ok(
                    AcceptedChange(written.version, already_accepted=False)
                )
            except _objects.ConflictError as conflict:
                return await self._settle(conflict.current, request)
            except _objects.UnavailableError:
                if attempt == _WRITE_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def _settle(
        self, current: _objects.Object, request: ChangeRequest
    ) -> Outcome:
        """Say after a conflict whether the write that won was ours."""
        stored = await self._read(current)
        self._on_written(current)
        found = await self._find(current, stored, request)
        if found is not None:
            return _recognised(found, request, already_accepted=False)
        return expression.Error(_conflict(current, stored, request))

    async def _find(
        self,
        current: _objects.Object,
        stored: _audit.Stored,
        request: ChangeRequest,
    ) -> _audit.VersionedChange | None:
        """Return the accepted change with this id, if there is one."""
        recent = _audit.versioned(stored["changes"], current.version)
        found = _with_id(recent, request.change_id)
        if found is not None:
            return found
        if current.version == request.expected_version > _objects.ABSENT:
            # No change onto the current version was accepted yet.
            return None
        async for changes in self._archive.newest_first(
            request.name, stored["archives"]
        ):
            found = _with_id(changes, request.change_id)
            if found is not None:
                return found
            if changes and changes[0].version <= request.expected_version:
                # Older archives have no change onto that version.
                return None
        return None

    async def _read(self, current: _objects.Object) -> _audit.Stored:
        """Return what is stored; a removed object has archives still."""
        stored = _audit.read(current)
        if current.value is None:
            stored["archives"] = await self._archive.count(current.name)
        return stored

    async def history(
        self, name: str, limit: int
    ) -> list[_audit.VersionedChange]:
        """Return the latest changes to a deployment, newest first.

        :raises _objects.UnavailableError: if the API does not answer.
        :raises _audit.UnreadableError: if it holds something else.
        """
        current = await self._objects.get(_configuration.KIND, name)
        stored = await self._read(current)
        changes = _audit.versioned(stored["changes"], current.version)
        # Archived changes may also still be in the object.
        unique = {change.version: change for change in changes}
        async for archived in self._archive.newest_first(
            name, stored["archives"]
        ):
            if len(unique) >= limit:
                break
            unique |= {change.version: change for change in archived}
        newest = sorted(unique, reverse=True)[:limit]
        return [unique[version] for version in newest]


def action(edit: Edit) -> str:
    """Return the word for the audit trail."""
    match edit:
        case Declare():
            return "apply"
        case Retire():
            return "retire"
        case Drain(undo=True):
            return "undrain"
        case Drain():
            return "drain"


def apply_edit(edit: Edit, before: dict | None) -> Edited:
    """Return the deployment after an edit of what the API holds.

    An edit of a part is made on the API's own copy, not on what is in force
    at this instance, which may be older than the version it is written onto.
    """
    match edit:
        case Declare(deployment):
            return expression.Ok(deployment)
        case Retire():
            return expression.Ok(None)
        case Drain(replica, undo):
            return _drained(before or {}, replica, undo)


def _drained(before: dict, name: str, undo: bool) -> Edited:
    replicas = [dict(replica) for replica in before.get("replicas", ())]
    for replica in replicas:
        if replica.get("name") == name:
            replica["draining"] = not undo
            return expression.Ok({**before, "replicas": replicas})
    return expression.Error(
        _refusals.Refusal(
            _refusals.Code.NOT_FOUND,
            f"the deployment has no replica {name!r}; Operator.Get shows"
            " its replicas",
        )
    )


def digest(request: ChangeRequest) -> str:
    """Return a digest of what was asked for."""
    asked = [
        action(request.edit),
        request.edit,
        request.expected_version,
        request.author,
    ]
    text = json.dumps(asked, sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _models_since(
    base_version: int, stored: _audit.Stored, deployment: dict | None
) -> dict[str, int]:
    """Say which version brought in each model that was there before."""
    since = stored["models_since"]
    before = model_names(stored["deployment"])
    return {
        name: since.get(name, base_version)
        for name in model_names(deployment)
        if name in before
    }


def model_names(deployment: dict | None) -> list[str]:
    models = (deployment or {}).get("models", ())
    return [model["name"] for model in models]


def _with_id(
    changes: list[_audit.VersionedChange], change_id: str
) -> _audit.VersionedChange | None:
    for found in changes:
        if found.change["change_id"] == change_id:
            return found
    return None


def _recognised(
    found: _audit.VersionedChange,
    request: ChangeRequest,
    already_accepted: bool,
) -> Outcome:
    if found.change["digest"] != digest(request):
        return expression.Error(_id_used(found, request))
    return expression.Ok(AcceptedChange(found.version, already_accepted))


def _visible_version(current: _objects.Object, stored: _audit.Stored) -> int:
    """A retired deployment counts as absent for ``expected_version``."""
    if stored["deployment"] is None:
        return _objects.ABSENT
    return current.version


def _conflict(
    current: _objects.Object, stored: _audit.Stored, request: ChangeRequest
) -> _refusals.Refusal:
    if not stored["changes"]:
        message = f"there is no deployment {request.name!r}; its version is 0"
    else:
        last = stored["changes"][-1]
        message = (
            f"deployment {request.name!r} is at version"
            f" {_visible_version(current, stored)}, changed by"
            f" {last['author']!r} ({last['action']}, change"
            f" {last['change_id']}); get it and make the change again"
        )
    return _refusals.Refusal(_refusals.Code.ABORTED, message)


def _id_used(
    found: _audit.VersionedChange, request: ChangeRequest
) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.ALREADY_EXISTS,
        f"change_id {request.change_id} names another change, accepted from"
        f" {found.change['author']!r} as version {found.version}; this one"
        " is not accepted, write a new change_id",
    )


def _too_large(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.INVALID_ARGUMENT,
        f"{error}; declare several smaller deployments",
    )


def _unreadable(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.FAILED_PRECONDITION,
        f"{error}; what was in force before stays so, and the object must be"
        " repaired in the object API before it can be changed",
    )


def _unavailable(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        f"the object API does not answer ({error}); send the same change_id"
        " again to learn whether the change was accepted",
        _refusals.Execution.MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )
