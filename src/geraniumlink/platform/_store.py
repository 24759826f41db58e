"""Client of the platform's metadata store.

The store keeps objects by kind and name. Each write gets the next value of
one revision counter, which becomes the version of the object; writes can be
made conditional on a version, and changes can be watched. The types and
errors are those of ``_objects``, so that leases work on either store.

Other processes write objects, too. One that can't be read doesn't keep the
others of a response from being read: its value is an empty mapping, which no
reader takes for valid, and without a usable name or revision it is left out.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import reprlib
import typing
import urllib.parse

import anyio
import anyio.to_thread
import orjson

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _object_filter
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink import _store_history
from geraniumlink.platform import _json_parts

# Limit for a call other than a watch, and for connecting. The store responds
# in 4 ms, and in 240 ms when it is slow.
CALL_TIMEOUT_MS = 1000
# A watch responds after the wait that it asked for, even without a change; if
# it is this much later, its connection is taken for lost.
WATCH_TIMEOUT_MARGIN_MS = 700
# Limit of the changes in one response, which take up to 25 times as much once
# they are decoded. It has room for two objects of the largest size; the pages
# of a list have about 1 MB.
MAX_CHANGES_BYTES = 5 * 2**19
# Bounds a listing in case the store always announces one more page.
MAX_PAGES = 1000
# How many arrays and objects lead to the fields of an object in a response to
# each call, such as "spec".
_GET_LEVELS = 1
_LIST_LEVELS = 3
_WATCH_LEVELS = 4
# Number of objects that can't be read whose revisions are remembered, so that
# each is logged once.
_MAX_LOGGED_OBJECTS = 512
# A name is logged up to this many characters.
_MAX_LOGGED_NAME = 80


class _UnreadableObjectError(ValueError):
    """An object has no usable name or revision."""


class _ResponseTooLargeError(_objects.UnavailableError):
    """A response has a larger body than its reader accepts."""


class _Page(typing.NamedTuple):
    """One page of a list."""

    kept: list[_objects.Object]
    revision: int
    # Name of its last object that has one, kept or not; empty if none has.
    last_name: str
    is_last: bool


class StoreClient:
    """Calls the store and counts the calls, since each has a price.

    :param filters: by kind, what is kept of listed and watched objects.
    """

    def __init__(
        self,
        client: _http.Client,
        address: _settings.Address,
        filters: Mapping[str, _object_filter.ObjectFilter] | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._filters = filters or {}
        self._calls = 0
        # The revision at which each object that can't be read was logged, by
        # kind and name.
        self._logged: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._unreadable_objects = 0
        self._history = _store_history.StoreHistory()
        # The last object written of each kind, and its version.
        self._written: dict[str, tuple[str, _store_history.Position]] = {}

    @property
    def history(self) -> _store_history.StoreHistory:
        """The store's history, which each answer is checked against."""
        return self._history

    @property
    def unreadable_objects(self) -> int:
        """Number of revisions of objects so far that couldn't be read."""
        return self._unreadable_objects

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
        status, body = await self._call(
            "GET", path, accepted=(200, 404), may_be_stale=True
        )
        if status == 404:
            return _objects.Object(kind, name, _objects.ABSENT, None)
        return self._decode_only_object(kind, body)

    async def list(self, kind: str) -> _objects.Listing:
        """Return all objects of a kind, and the revision to watch from.

        Each page is filtered before the next one is read, so that a long
        list needs no more memory than what is kept of it.

        :raises _objects.UnavailableError: if the store does not answer.
        """
        kept: list[_objects.Object] = []
        revision, query, last_name = None, "", ""
        history = left_out = 0
        for _ in range(MAX_PAGES):
            page = await self._read_page(kind, query)
            if revision is None:
                # The first page's revision: a watch from there reports the
                # changes that were made while later pages were read.
                revision = page.revision
                history = self._history.changes
            if history != self._history.changes:
                raise _objects.UnavailableError(
                    f"the pages of the list of {kind} are of two histories"
                )
            selection = self._filter_for(kind).select([*kept, *page.kept])
            kept = selection.kept
            left_out += len(selection.left_out)
            if page.is_last:
                return _objects.Listing(revision, kept, left_out)
            if not page.last_name or page.last_name == last_name:
                # Reading on would return the same objects again.
                raise _objects.UnavailableError(
                    f"a page of the list of {kind} has no readable name"
                )
            last_name = page.last_name
            query = f"?after={urllib.parse.quote(last_name, safe='')}"
        raise _objects.UnavailableError(f"the list of {kind} has no last page")

    async def _read_page(self, kind: str, query: str) -> _Page:
        """Return a page of a list, of which only what is kept is in memory.

        :param query: of its path; empty for the first page.
        """
        sent = self._history.known
        _, body = await self._call(
            "GET", _path(kind) + query, levels=_LIST_LEVELS
        )
        if sent.history != self._history.changes:
            raise _objects.UnavailableError(
                f"the store's history changed as {kind} were listed"
            )
        objects = self._decode_items(kind, body, "items")
        revision = _store_revision(body)
        self._history.check_revision(revision, sent, sent.revision)
        return _Page(
            kept=[item for item in objects if item.value is not None],
            revision=revision,
            last_name=objects[-1].name if objects else "",
            is_last=not body.get("more") or not body["items"],
        )

    async def watch(
        self, kind: str, after: int, wait_ms: int
    ) -> _objects.Listing:
        """Wait for changes after a revision and return them.

        Without a change, the list is empty after ``wait_ms``. A deleted
        object has value None, as one of which nothing is kept.

        :raises _objects.RevisionCompactedError: if the store no longer has
            the changes since that revision, or never had it, or they are too
            large for one response. The objects have to be listed.
        :raises _objects.UnavailableError: if the store does not answer.
        """
        sent = self._history.known
        try:
            status, body = await self._call(
                "GET",
                f"{_path(kind)}?watch={after}&wait_ms={wait_ms}",
                accepted=(200, 410),
                levels=_WATCH_LEVELS,
                timeout_ms=wait_ms + WATCH_TIMEOUT_MARGIN_MS,
                max_body_bytes=MAX_CHANGES_BYTES,
            )
        except _ResponseTooLargeError as error:
            _logs.event("changes_too_large", kind=kind, error=str(error))
            raise _objects.RevisionCompactedError from error
        if status == 410:
            raise _objects.RevisionCompactedError
        events = self._decode_items(kind, body, "events")
        revision = _store_revision(body)
        if not self._history.check_revision(revision, sent, after):
            raise _objects.RevisionCompactedError
        return _objects.Listing(revision, [*events])

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
        sent = self._history.known
        least = self._least_version(kind, name, sent)
        status, body = await self._call(
            method, path, message, accepted=(200, 201, 404, 409)
        )
        if status == 404:
            absent = _objects.Object(kind, name, _objects.ABSENT, None)
            self._history.check_revision(absent.version, sent, least)
            raise _objects.ConflictError(absent)
        stored = self._decode_only_object(kind, body)
        if status == 409:
            self._history.check_revision(stored.version, sent, least)
            raise _objects.ConflictError(stored)
        if stored.version != if_version:
            # Each change gets a revision above all earlier ones.
            least = sent.revision + 1
        self._history.check_revision(stored.version, sent, least)
        self._written[kind] = (
            name,
            _store_history.Position(self._history.changes, stored.version),
        )
        return stored

    def _least_version(
        self, kind: str, name: str, sent: _store_history.Position
    ) -> int:
        """Return the lowest version that a stored object can have now."""
        written = self._written.get(kind)
        if written is None or written[0] != name:
            return _objects.ABSENT
        position = written[1]
        is_present = position.history == sent.history
        return position.revision if is_present else _objects.ABSENT

    async def _call(
        self,
        method: str,
        path: str,
        message: bytes = b"",
        *,
        accepted: tuple[int, ...] = (200,),
        timeout_ms: int = CALL_TIMEOUT_MS,
        levels: int = _GET_LEVELS,
        may_be_stale: bool = False,
        max_body_bytes: int = _http.MAX_BODY_BYTES,
    ) -> tuple[int, typing.Any]:
        """Return the status and decoded body of a response.

        Parts of the body may be ``Undecodable``, down to ``levels``.
        Every failure is an ``UnavailableError``, as is a status that is not
        in ``accepted``, or of another history than the present one.
        """
        self._calls += 1
        sent = self._history.known
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
                    max_body_bytes=max_body_bytes,
                )
            self._history.check_era(
                _store_history.parse_era(response.headers),
                sent,
                may_be_stale=may_be_stale,
            )
            if response.status not in accepted:
                raise _objects.UnavailableError(
                    f"the store responded with status {response.status}"
                )
        except _http.TooLargeError as error:
            raise _ResponseTooLargeError(str(error)) from error
        except (
            _http.NotSentError,
            _http.BrokenError,
            TimeoutError,
        ) as error:
            raise _objects.UnavailableError(repr(error)) from error
        body = await _decode_body(response.body or b"null", levels)
        if isinstance(body, _json_parts.Undecodable):
            raise _objects.UnavailableError(
                f"the store's response can't be read: {body.error}"
            )
        return response.status, body

    def _decode_items(
        self, kind: str, body: typing.Any, field: str
    ) -> Sequence[_objects.Object]:
        """Decode the objects or events in a field of a response.

        Of each, what is to be kept of its kind. Those without a usable name
        or revision are left out.
        """
        keep = self._filter_for(kind).reduce
        items = body.get(field) if isinstance(body, dict) else None
        if not isinstance(items, list):
            raise _objects.UnavailableError(
                f"the store's response has no valid {field}"
            )
        objects = []
        for item in items:
            try:
                objects.append(keep(self._decode_item(kind, item)))
            except _UnreadableObjectError as error:
                self._log_unreadable(kind, "", _objects.ABSENT, str(error))
        return objects

    def _filter_for(self, kind: str) -> _object_filter.ObjectFilter:
        return self._filters.get(kind, _object_filter.KEEP_ALL)

    def _decode_item(self, kind: str, entry: typing.Any) -> _objects.Object:
        """Decode an object of a list, or the object of a watch event."""
        if not isinstance(entry, dict) or "object" not in entry:
            return self._decode_object(kind, entry)
        found = self._decode_object(kind, entry["object"])
        is_deleted = entry.get("deleted") is True
        return found._replace(value=None) if is_deleted else found

    def _decode_only_object(
        self, kind: str, entry: typing.Any
    ) -> _objects.Object:
        """Decode an object that is the whole response."""
        try:
            return self._decode_object(kind, entry)
        except _UnreadableObjectError as error:
            raise _objects.UnavailableError(
                f"invalid object of kind {kind}: {error}"
            ) from error

    def _decode_object(self, kind: str, entry: typing.Any) -> _objects.Object:
        """Decode an object as the store represents it.

        :raises _UnreadableObjectError: without a usable name or revision.
        """
        name, revision = _decode_metadata(entry)
        value = entry.get("spec")
        error = _find_error(value)
        if error:
            self._log_unreadable(kind, name, revision, error)
            value = {}
        return _objects.Object(kind, name, revision, value)

    def _log_unreadable(
        self, kind: str, name: str, revision: int, error: str
    ) -> None:
        """Log an object that can't be read, once for each revision."""
        name = name[:_MAX_LOGGED_NAME]
        if self._logged.get((kind, name)) == revision:
            return
        self._logged[kind, name] = revision
        self._logged.move_to_end((kind, name))
        if len(self._logged) > _MAX_LOGGED_OBJECTS:
            self._logged.popitem(last=False)
        self._unreadable_objects += 1
        _logs.event(
            "object_unreadable",
            kind=kind,
            name=name,
            revision=revision,
            error=error,
        )


async def _decode_body(text: bytes, levels: int) -> typing.Any:
    """Decode a response's body; parts of it may be ``Undecodable``."""
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        # To take it apart may take a second if it is large; meanwhile the
        # event loop goes on.
        return await anyio.to_thread.run_sync(_json_parts.decode, text, levels)


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


def _decode_metadata(entry: typing.Any) -> tuple[str, int]:
    """Return an object's name and revision.

    :raises _UnreadableObjectError: if one is missing or invalid.
    """
    metadata = entry.get("metadata") if isinstance(entry, dict) else None
    if isinstance(metadata, _json_parts.Undecodable):
        # Another field of it may be the one that can't be decoded.
        metadata = _json_parts.decode(metadata.text, 1)
    match metadata:
        case {"name": str(name), "revision": int(revision)}:
            return name, revision
    raise _UnreadableObjectError(
        # The value isn't quoted: the configuration has keys.
        f"no valid name and revision: {reprlib.repr(metadata)}"
    )


def _find_error(value: typing.Any) -> str:
    """Return why the value of an object can't be used; "" if it can."""
    if isinstance(value, _json_parts.Undecodable):
        return value.error
    if value is None:
        return "it has no value"
    try:
        # Values are relayed to other instances. Fewer levels can be encoded
        # than decoded.
        orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        return str(error)
    return ""
