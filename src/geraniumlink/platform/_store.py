"""Calls the platform's metadata store.

It keeps objects by kind and name under one revision counter, with
conditional writes and watches. The types and errors are those of
``_objects``, so that leases work on either.
"""

from __future__ import annotations

import typing
import urllib.parse

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings

# The store answers in 4 ms, and in sixty times that when it is slow.
CALL_MS = 1000
# A watch that is silent for this much longer than asked has lost its
# connection.
WATCH_SLACK_MS = 700
MAX_PAGES = 1000


class StoreClient:
    """A client of the store; every call is priced by the platform."""

    def __init__(
        self, client: _http.Client, address: _settings.Address
    ) -> None:
        self._client = client
        self._address = address
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made so far; a waiting watch is one."""
        return self._calls

    async def get(self, kind: str, name: str) -> _objects.Object:
        """Return an object as of some seconds ago at most.

        Version 0 and value None stand for an object that does not exist.
        A read that may lag costs a tenth and doesn't count towards the
        store's rate; who writes upon it is protected by the version.

        :raises _objects.UnavailableError: if the store does not answer.
        """
        path = _path(kind, name) + "?serializable=1"
        status, body = await self._call("GET", path, accepted=(200, 404))
        if status == 404:
            return _objects.Object(kind, name, _objects.ABSENT, None)
        return _decode(kind, body)

    async def list(self, kind: str) -> _objects.Listing:
        """Return all objects of a kind, and a revision to watch from.

        :raises _objects.UnavailableError: if the store does not answer.
        """
        objects: list[_objects.Object] = []
        revision, query = None, ""
        for _ in range(MAX_PAGES):
            _, body = await self._call("GET", _path(kind) + query)
            page = _items(kind, body, "items")
            objects += page
            if revision is None:
                # Changes made while pages are read are watched for.
                revision = _revision(body)
            if not body.get("more") or not page:
                return _objects.Listing(revision, objects)
            name = urllib.parse.quote(page[-1].name, safe="")
            query = f"?after={name}"
        raise _objects.UnavailableError(f"{kind} has no last page")

    async def watch(
        self, kind: str, after: int, wait_ms: int
    ) -> _objects.Listing:
        """Return the changes after a revision; wait for the first.

        :raises _objects.GoneError: if the store has dropped that history.
        :raises _objects.UnavailableError: if the store does not answer.
        """
        status, body = await self._call(
            "GET",
            f"{_path(kind)}?watch={after}&wait_ms={wait_ms}",
            accepted=(200, 410),
            timeout_ms=wait_ms + WATCH_SLACK_MS,
        )
        if status == 410:
            raise _objects.GoneError
        events = _items(kind, body, "events")
        return _objects.Listing(_revision(body), events)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        """Write when the object is at ``if_version`` (0: when absent).

        :raises _objects.ConflictError: if it is at another version.
        :raises _objects.UnavailableError: if the outcome is unknown.
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
            gone = _objects.Object(kind, name, _objects.ABSENT, None)
            raise _objects.ConflictError(gone)
        if status == 409:
            raise _objects.ConflictError(_decode(kind, body))
        return _decode(kind, body)

    async def _call(
        self,
        method: str,
        path: str,
        message: bytes = b"",
        *,
        accepted: tuple[int, ...] = (200,),
        timeout_ms: int = CALL_MS,
    ) -> tuple[int, typing.Any]:
        self._calls += 1
        headers = [(b"Content-Type", b"application/json")] if message else []
        try:
            with anyio.fail_after(timeout_ms / 1000):
                answer = await self._client.request(
                    method,
                    self._address,
                    path,
                    headers=headers,
                    body=message,
                    connect_ms=CALL_MS,
                    read_ms=timeout_ms,
                )
            if answer.status not in accepted:
                raise _objects.UnavailableError(
                    f"the store answered {answer.status}"
                )
            return answer.status, orjson.loads(answer.body or b"null")
        except (
            _http.NotSentError,
            _http.BrokenError,
            TimeoutError,
            ValueError,
        ) as error:
            raise _objects.UnavailableError(repr(error)) from error


def _path(kind: str, name: str | None = None) -> str:
    path = f"/v1/objects/{kind}"
    if name is not None:
        path += f"/{urllib.parse.quote(name, safe='')}"
    return path


def _revision(body: typing.Any) -> int:
    try:
        return int(body["store_revision"])
    except (KeyError, TypeError, ValueError) as error:
        raise _objects.UnavailableError("no revision") from error


def _items(kind: str, body: typing.Any, field: str) -> list[_objects.Object]:
    try:
        return [_item(kind, entry) for entry in body[field]]
    except (KeyError, TypeError) as error:
        raise _objects.UnavailableError(f"no {field}") from error


def _item(kind: str, entry: typing.Any) -> _objects.Object:
    """Decode an item of a list, or an event with the object in it."""
    if "object" not in entry:
        return _decode(kind, entry)
    found = _decode(kind, entry["object"])
    return found._replace(value=None) if entry.get("deleted") else found


def _decode(kind: str, entry: typing.Any) -> _objects.Object:
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
            f"not an object of {kind}: {entry!r:.80}"
        ) from error
