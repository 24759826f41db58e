"""Accepts operators' changes by conditional writes to the object API.

A change is written only if the deployment is still at the version that the
change is based on, in one write with its entry in the audit trail (see
``_audit``). So every change that was reported as accepted is in the history,
also if operators race. A change id that was accepted before is recognised,
however long ago, and is never applied twice.
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

# Tries of one write while its outcome is unknown.
_WRITE_ATTEMPTS = 3
# Wait that is suggested to clients while the object API is unavailable.
RETRY_AFTER_MS = 2000


class Declare(typing.NamedTuple):
    """Creates the deployment or replaces it as a whole."""

    deployment: dict


class Retire(typing.NamedTuple):
    """Retires the deployment; a tombstone of it stays stored."""


class Drain(typing.NamedTuple):
    """Stops new work on a replica, or with ``undo`` allows it again."""

    replica: str
    undo: bool


Edit = Declare | Retire | Drain


class ChangeRequest(typing.NamedTuple):
    """A validated change that is to be written."""

    name: str
    edit: Edit
    # The version that the change is based on; 0 if the deployment must not
    # exist or must be retired.
    expected_version: int
    # Chosen by the client; the same id is sent again to retry a change.
    change_id: str
    author: str


class AcceptedChange(typing.NamedTuple):
    """A change that is stored in the object API."""

    version: int
    # Whether an earlier call wrote it.
    already_accepted: bool


Outcome = expression.Result[AcceptedChange, _refusals.Refusal]
EditResult = expression.Result[dict | None, _refusals.Refusal]


class ChangeStore:
    """Writes changes to the object API and reads their history.

    ``on_written`` is called with each object that a write or a conflict
    returned, so that this instance applies it without waiting for the watch.
    """

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
        """Write a change, unless it is stored or its base is outdated."""
        try:
            outcome = await self._accept(request)
        except _objects.UnavailableError as error:
            # Even if this call wrote nothing, an earlier call with the same
            # change id may have, which can't be checked without the API.
            outcome = expression.Error(_unavailable_refusal(error))
        except _objects.TooLargeError as error:
            outcome = expression.Error(_too_large_refusal(error))
        except _audit.UnreadableError as error:
            outcome = expression.Error(_unreadable_refusal(error))
        _logs.event(
            "change",
            deployment=request.name,
            change_id=request.change_id,
            author=request.author,
            action=action_name(request.edit),
            outcome="accepted"
            if outcome.is_ok()
            else outcome.error.code.wire_name,
        )
        return outcome

    async def _accept(self, request: ChangeRequest) -> Outcome:
        current = await self._objects.get(_configuration.KIND, request.name)
        stored = await self._parse_with_archives(current)
        found = await self._find_accepted(current, stored, request)
        if found is not None:
            return _confirm_accepted(found, request, already_accepted=True)
        if _visible_version(current, stored) != request.expected_version:
            return expression.Error(
                _conflict_refusal(current, stored, request)
            )
        edited = apply_edit(request.edit, stored["deployment"])
        if edited.is_error():
            return expression.Error(edited.error)
        archived = await self._archive.archive_if_full(request.name, stored)
        value = self._build_value(
            current.version, archived, edited.ok, request
        )
        return await self._write(value, current.version, request)

    def _build_value(
        self,
        base_version: int,
        stored: _audit.StoredDeployment,
        deployment: dict | None,
        request: ChangeRequest,
    ) -> _audit.StoredDeployment:
        """Return the object to write: the deployment and its history."""
        change = _audit.Change(
            base_version=base_version,
            change_id=request.change_id,
            digest=compute_digest(request),
            author=request.author,
            instance=self._instance,
            time_ms=self._clock.wall(),
            action=action_name(request.edit),
        )
        return _audit.StoredDeployment(
            deployment=deployment,
            models_since=_models_since_after(base_version, stored, deployment),
            changes=[*stored["changes"], change],
            archives=stored["archives"],
        )

    async def _write(
        self,
        value: _audit.StoredDeployment,
        base_version: int,
        request: ChangeRequest,
    ) -> Outcome:
        """Write a deployment; retry while the outcome is unknown.

        All tries are conditional on the same base version, so at most one
        takes effect, and a conflict shows whether it was one of these.
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
                return await self._resolve_conflict(conflict.current, request)
            except _objects.UnavailableError:
                if attempt == _WRITE_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def _resolve_conflict(
        self, current: _objects.Object, request: ChangeRequest
    ) -> Outcome:
        """Return the outcome after a conflict; an own try may have won."""
        stored = await self._parse_with_archives(current)
        self._on_written(current)
        found = await self._find_accepted(current, stored, request)
        if found is not None:
            return _confirm_accepted(found, request, already_accepted=False)
        return expression.Error(_conflict_refusal(current, stored, request))

    async def _find_accepted(
        self,
        current: _objects.Object,
        stored: _audit.StoredDeployment,
        request: ChangeRequest,
    ) -> _audit.VersionedChange | None:
        """Return the accepted change with this id, if there is one."""
        recent = _audit.with_versions(stored["changes"], current.version)
        found = _find_change_id(recent, request.change_id)
        if found is not None:
            return found
        if current.version == request.expected_version > _objects.ABSENT:
            # A change with this base version can't have been accepted yet.
            # Version 0 says nothing: a removed deployment has archives still.
            return None
        async for changes in self._archive.iter_newest_first(
            request.name, stored["archives"]
        ):
            found = _find_change_id(changes, request.change_id)
            if found is not None:
                return found
            if changes and changes[0].version <= request.expected_version:
                # Older archives hold only changes of older base versions.
                return None
        return None

    async def _parse_with_archives(
        self, current: _objects.Object
    ) -> _audit.StoredDeployment:
        """Parse an object; the archives of a removed one are counted."""
        stored = _audit.parse_object(current)
        if current.value is None:
            stored["archives"] = await self._archive.count_archives(
                current.name
            )
        return stored

    async def history(
        self, name: str, limit: int
    ) -> list[_audit.VersionedChange]:
        """Return the latest changes to a deployment, newest first.

        :raises _objects.UnavailableError: if the API does not answer.
        :raises _audit.UnreadableError: if an object is malformed.
        """
        current = await self._objects.get(_configuration.KIND, name)
        stored = await self._parse_with_archives(current)
        changes = _audit.with_versions(stored["changes"], current.version)
        # A change may be both in the object and in an archive, since it is
        # archived before it is dropped from the object.
        unique = {change.version: change for change in changes}
        async for archived in self._archive.iter_newest_first(
            name, stored["archives"]
        ):
            if len(unique) >= limit:
                break
            unique |= {change.version: change for change in archived}
        newest = sorted(unique, reverse=True)[:limit]
        return [unique[version] for version in newest]


def action_name(edit: Edit) -> str:
    """Return the name of an edit in logs and in the audit trail."""
    match edit:
        case Declare():
            return "apply"
        case Retire():
            return "retire"
        case Drain(undo=True):
            return "undrain"
        case Drain():
            return "drain"


def apply_edit(edit: Edit, before: dict | None) -> EditResult:
    """Return the deployment after an edit; ``before`` is the stored one.

    A partial edit is applied to the copy in the object API, not to this
    instance's active configuration, which may be older than the version
    that the write replaces.
    """
    match edit:
        case Declare(deployment):
            return expression.Ok(deployment)
        case Retire():
            return expression.Ok(None)
        case Drain(replica, undo):
            return _set_draining(before or {}, replica, undo)


def _set_draining(before: dict, name: str, undo: bool) -> EditResult:
    """Return the deployment with one replica draining, or not if ``undo``."""
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


def compute_digest(request: ChangeRequest) -> str:
    """Return a digest of a request's edit, base version and author."""
    content = [
        action_name(request.edit),
        request.edit,
        request.expected_version,
        request.author,
    ]
    text = json.dumps(content, sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _models_since_after(
    base_version: int, stored: _audit.StoredDeployment, deployment: dict | None
) -> dict[str, int]:
    """Return the version that added each model, without the new models.

    The version that adds new models is known only after the write.
    """
    since = stored["models_since"]
    before = _model_names(stored["deployment"])
    return {
        name: since.get(name, base_version)
        for name in _model_names(deployment)
        if name in before
    }


def _model_names(deployment: dict | None) -> list[str]:
    models = (deployment or {}).get("models", ())
    return [model["name"] for model in models]


def _find_change_id(
    changes: list[_audit.VersionedChange], change_id: str
) -> _audit.VersionedChange | None:
    for found in changes:
        if found.change["change_id"] == change_id:
            return found
    return None


def _confirm_accepted(
    found: _audit.VersionedChange,
    request: ChangeRequest,
    already_accepted: bool,
) -> Outcome:
    """Return the accepted change, or a refusal if the id was reused."""
    if found.change["digest"] != compute_digest(request):
        return expression.Error(_reused_id_refusal(found, request))
    return expression.Ok(AcceptedChange(found.version, already_accepted))


def _visible_version(
    current: _objects.Object, stored: _audit.StoredDeployment
) -> int:
    """Return the version to compare with ``expected_version``.

    A retired deployment counts as absent.
    """
    if stored["deployment"] is None:
        return _objects.ABSENT
    return current.version


def _conflict_refusal(
    current: _objects.Object,
    stored: _audit.StoredDeployment,
    request: ChangeRequest,
) -> _refusals.Refusal:
    if not stored["changes"]:
        message = (
            f"deployment {request.name!r} does not exist; its version is 0"
        )
    else:
        last = stored["changes"][-1]
        message = (
            f"deployment {request.name!r} is at version"
            f" {_visible_version(current, stored)}, changed by"
            f" {last['author']!r} ({last['action']}, change"
            f" {last['change_id']}); fetch it and apply the change again"
        )
    return _refusals.Refusal(_refusals.Code.ABORTED, message)


def _reused_id_refusal(
    found: _audit.VersionedChange, request: ChangeRequest
) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.ALREADY_EXISTS,
        f"change_id {request.change_id} belongs to another change, from"
        f" {found.change['author']!r}, accepted as version {found.version};"
        " this one is not accepted, use a new change_id",
    )


def _too_large_refusal(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.INVALID_ARGUMENT,
        f"{error}; split it into several smaller deployments",
    )


def _unreadable_refusal(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.FAILED_PRECONDITION,
        f"{error}; the last valid version stays active, and the object must be"
        " repaired in the object API before it can be changed",
    )


def _unavailable_refusal(error: Exception) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.UNAVAILABLE,
        f"the object API does not answer ({error}); send the same change_id"
        " again to find out whether the change was accepted",
        _refusals.Execution.MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )
