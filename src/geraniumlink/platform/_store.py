"""Client of the platform's metadata store.

The store keeps objects by kind and name. Each write gets the next value of
one revision counter, which becomes the version of the object; writes can be
made conditional on a version, and changes can be watched. The types and
errors are those of ``_objects``, so that leases work on either store.
"""

from __future__ import annotations

import typing
import urllib.parse

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings

# Limit for a call other than a watch, and for connecting. The store responds
# in 4 ms, and in 240 ms when it is slow.
CALL_TIMEOUT_MS = 1000
# A watch responds after the wait that it asked for, even without a change; if
# it is this much later, its connection is taken for lost. Together with
# WATCH_TIMEOUT_MS of hosting/_object_watcher.py it must stay below 5 s, within
# which a change must be known after a silent connection failure.
WATCH_TIMEOUT_MARGIN_MS = 700
# Bounds a listing in case the store always announces one more page.
MAX_PAGES = 1000


class StoreClient:
    """Calls the store and counts the calls, since each has a price."""

    def __init__(
        self, client: _http.Client, address: _settings.Address
    ) -> None:
        self._client = client
        self._address = address
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of requests sent so far; each wait of a watch is one."""
        return self._calls

    async def get(self, kind: str, name: str) -> _objects.Object:
        """Return an object, as it was at most some seconds ago.

        An object that does not exist has version 0 and value None.
        A read that may be stale costs a tenth of a current one and doesn't
        count towards the store's rate limit. A write that is based on it
        stays safe, because it is conditional on the version that was read.

        :raises _objects.UnavailableError: if the store does not answer.
        """
        path = _path(kind, name) + "?serializable=1"
        status, body = await self._call("GET", path, accepted=(200, 404))
        if status == 404:
            return _objects.Object(kind, name, _objects.ABSENT, None)
        return _decode_object(kind, body)

    async def list(self, kind: str) -> _objects.Listing:
        """Return all objects of a kind, and the revision to watch from.

        :raises _objects.UnavailableError: if the store does not answer.
        """
        objects: list[_objects.Object] = []
        revision, query = None, ""
        for _ in range(MAX_PAGES):
            _, body = await self._call("GET", _path(kind) + query)
            page = _decode_items(kind, body, "items")
            objects += page
            if revision is None:
                # The first page's revision: a watch from there reports the
                # changes that were made while later pages were read.
                revision = _store_revision(body)
            if not body.get("more") or not page:
                return _objects.Listing(revision, objects)
            name = urllib.parse.quote(page[-1].name, safe="")
            query = f"?after={name}"
        raise _objects.UnavailableError(f"the list of {kind} has no last page")

    async def watch(
        self, kind: str, after: int, wait_ms: int
    ) -> _objects.Listing:
        """Wait for changes after a revision and return them.

        Without a change, the list is empty after ``wait_ms``. A deleted
        object has value None.

        :raises _objects.RevisionCompactedError: if the store no longer has
            the changes since that revision.
        :raises _objects.UnavailableError: if the store does not answer.
        """
        status, body = await self._call(
            "GET",
            f"{_path(kind)}?watch={after}&wait_ms={wait_ms}",
            accepted=(200, 410),
            timeout_ms=wait_ms + WATCH_TIMEOUT_MARGIN_MS,
        )
        if status == 410:
            raise _objects.RevisionCompactedError
        events = _decode_items(kind, body, "events")
        return _objects.Listing(_store_revision(body), events)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        """Write an object if its version is ``if_version``; return it.

        Version 0 creates the object and requires that it doesn't exist.

        :raises _objects.ConflictError: if it has another version.
        :raises _objects.UnavailableError: if the store did not respond as
            expected; the write may or may not have been made.
        """
        metadata: dict[str, typing.Any] = {"name": name, "finalizers": []}
        method, path = "POST", _path(kind)
        if if_version != _objects.ABSENT:
            method, path = "PUT", _path(kind, name)
            metadata["revision"] = if_version
        message = orjson.dumps({"metadata": metadata, "spec": value})
        status, body = await self._call(
            method, path, message, accepted=(200, 201, 404, 409)
        )
        if status == 404:
            absent = _objects.Object(kind, name, _objects.ABSENT, None)
            raise _objects.ConflictError(absent)
        if status == 409:
            raise _objects.ConflictError(_decode_object(kind, body))
        return _decode_object(kind, body)

    async def _call(
        self,
        method: str,
        path: str,
        message: bytes = b"",
        *,
        accepted: tuple[int, ...] = (200,),
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, typing.Any]:
        """Return the status and decoded body of a response.

        Every failure is an ``UnavailableError``, as is a status that is not
        in ``accepted``.
        """
        self._calls += 1
        headers = [(b"Content-Type", b"application/json")] if message else []
        try:
            with anyio.fail_after(timeout_ms / 1000):
                response = await self._client.request(
                    method,
                    self._address,
                    path,
                    headers=headers,
                    body=message,
                    connect_ms=CALL_TIMEOUT_MS,
                    read_ms=timeout_ms,
                )
            if response.status not in accepted:
                raise _objects.UnavailableError(
                    f"the store responded with status {response.status}"
                )
            return response.status, orjson.loads(response.body or b"null")
        except (
            _http.NotSentError,
            _http.BrokenError,
            TimeoutError,
            ValueError,
        ) as error:
            raise _objects.UnavailableError(repr(error)) from error


def _path(kind: str, name: str | None = None) -> str:
    """Return the URL path of a kind, or of one of its objects."""
    path = f"/v1/objects/{kind}"
    if name is not None:
        path += f"/{urllib.parse.quote(name, safe='')}"
    return path


def _store_revision(body: typing.Any) -> int:
    """Return the revision up to which a response is complete."""
    try:
        return int(body["store_revision"])
    except (KeyError, TypeError, ValueError) as error:
        raise _objects.UnavailableError(
            "the store's response has no valid store_revision"
        ) from error


def _decode_items(
    kind: str, body: typing.Any, field: str
) -> list[_objects.Object]:
    """Decode the objects or events in a field of a response."""
    try:
        return [_decode_item(kind, entry) for entry in body[field]]
    except (KeyError, TypeError) as error:
        raise _objects.UnavailableError(
            f"the store's response has no valid {field}"
        ) from error


def _decode_item(kind: str, entry: typing.Any) -> _objects.Object:
    """Decode an object of a list, or the object of a watch event."""
    if "object" not in entry:
        return _decode_object(kind, entry)
    found = _decode_object(kind, entry["object"])
    return found._replace(value=None) if entry.get("deleted") else found


def _decode_object(kind: str, entry: typing.Any) -> _objects.Object:
    """Decode an object as the store represents it."""
    try:
        metadata = entry["metadata"]
        return _objects.Object(
            kind,
            str(metadata["name"]),
            int(metadata["revision"]),
            entry.get("spec"),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _objects.UnavailableError(
            f"invalid object of kind {kind}: {entry!r:.80}"
        ) from error
