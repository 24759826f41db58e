"""Client of the platform's object API: conditional writes and watches.

docs/platform.md describes the calls. An object's version is the revision at
which it was last written. Revisions are totally ordered, so the versions of
all objects of a kind can be compared.
"""

from __future__ import annotations

import json
import typing
import urllib.parse

from geraniumlink import _http
from geraniumlink import _settings

# Version of an object that does not exist.
ABSENT = 0
# Largest value that the API stores (1 MiB of JSON).
MAX_VALUE_BYTES = 2**20
# How long the API holds a watch open when nothing changes.
WATCH_WAIT_MS = 20_000
# Limit for connecting and for each read. A watch may take its wait more.
_CALL_TIMEOUT_MS = 2000


class Object(typing.NamedTuple):
    """A stored object; ``value`` is None if it doesn't exist."""

    kind: str
    name: str
    version: int
    value: typing.Any

    def __repr__(self) -> str:
        # Without the value, as that of the configuration has keys.
        return f"Object({self.kind}/{self.name}, {self.version})"


class Listing(typing.NamedTuple):
    """Objects, or changed objects, complete up to ``revision``."""

    revision: int
    objects: list[Object]
    # How many objects were left out for want of room.
    left_out: int = 0


class UnavailableError(Exception):
    """No valid response arrived; a write may or may not have taken effect."""


class TooLargeError(ValueError):
    """The value exceeds ``MAX_VALUE_BYTES``; nothing was sent."""


class ConflictError(Exception):
    """The object has another version than expected; nothing was written."""

    def __init__(self, current: Object) -> None:
        super().__init__(f"{current.kind}/{current.name}: {current.version}")
        self.current = current


class RevisionCompactedError(Exception):
    """The API no longer keeps the changes after the watch's revision."""


class ObjectApi:
    """Calls the object API, and records the figures for the metrics."""

    def __init__(
        self, client: _http.Client, address: _settings.Address
    ) -> None:
        self._client = client
        self._address = address
        self._calls = 0
        self._received_bytes = 0
        self._reachable = False

    @property
    def calls(self) -> int:
        """Number of calls made so far; each watch counts as one."""
        return self._calls

    @property
    def received_bytes(self) -> int:
        """Total size of the response bodies received so far, in bytes."""
        return self._received_bytes

    @property
    def reachable(self) -> bool:
        """Whether the last call got a valid response."""
        return self._reachable

    async def get(self, kind: str, name: str) -> Object:
        """Return an object; version 0 and value None if it doesn't exist."""
        response = await self._call("GET", _build_path(kind, name))
        return _decode_object(_decode_json(response))

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        response = await self._call("GET", _build_path(kind))
        return read_listing(_decode_json(response))

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> Object:
        """Write if the object's version is ``if_version`` (0: doesn't exist).

        :raises ConflictError: if it has another version.
        :raises UnavailableError: if the outcome is unknown.
        :raises TooLargeError: if it is larger than ``MAX_VALUE_BYTES``.
        """
        body = json.dumps(value).encode()
        if len(body) > MAX_VALUE_BYTES:
            raise TooLargeError(
                f"{kind}/{name} has {len(body)} bytes; the object API stores"
                f" at most {MAX_VALUE_BYTES}"
            )
        path = f"{_build_path(kind, name)}?if_version={if_version}"
        response = await self._call("PUT", path, body)
        return _decode_object(_decode_json(response))

    async def delete(self, kind: str, name: str, if_version: int) -> Object:
        """Delete on the same condition, with the same errors, as ``put``."""
        path = f"{_build_path(kind, name)}?if_version={if_version}"
        response = await self._call("DELETE", path)
        return _decode_object(_decode_json(response))

    async def watch(
        self, kind: str, after: int, wait_ms: int = WATCH_WAIT_MS
    ) -> Listing:
        """Return the changes after a revision, waiting for the first.

        :raises RevisionCompactedError: if the API no longer keeps them.
        """
        path = f"{_build_path(kind)}?after={after}&wait_ms={wait_ms}"
        response = await self._call("GET", path, extra_ms=wait_ms)
        return read_listing(_decode_json(response))

    async def _call(
        self, method: str, path: str, body: bytes = b"", extra_ms: int = 0
    ) -> _http.Response:
        self._calls += 1
        try:
            response = await self._client.request(
                method,
                self._address,
                path,
                body=body,
                connect_ms=_CALL_TIMEOUT_MS,
                read_ms=_CALL_TIMEOUT_MS + extra_ms,
            )
            self._received_bytes += len(response.body)
            self._raise_for_status(response)
        except (
            _http.NotSentError,
            _http.BrokenError,
            UnavailableError,
        ) as error:
            self._reachable = False
            raise UnavailableError(str(error)) from error
        self._reachable = True
        return response

    def _raise_for_status(self, response: _http.Response) -> None:
        match response.status:
            case 200:
                return
            case 409:
                raise ConflictError(_decode_object(_decode_json(response)))
            case 410:
                raise RevisionCompactedError
            case status:
                raise UnavailableError(
                    f"the object API responded with status {status}"
                )


def _build_path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{kind}"
    if name is not None:
        path += f"/{urllib.parse.quote(name, safe='')}"
    return path


def _decode_json(response: _http.Response) -> typing.Any:
    try:
        return response.json()
    except _http.BrokenError as error:
        raise UnavailableError(str(error)) from error


def _decode_object(message: typing.Any) -> Object:
    try:
        return Object(
            str(message["kind"]),
            str(message["name"]),
            int(message["version"]),
            message["value"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UnavailableError(f"invalid object: {error!r}") from error


def read_listing(message: typing.Any) -> Listing:
    """Decode a listing that the API or a peer sent.

    :raises UnavailableError: if it is invalid.
    """
    try:
        objects = [_decode_object(entry) for entry in message["objects"]]
        return Listing(int(message["revision"]), objects)
    except (KeyError, TypeError, ValueError) as error:
        raise UnavailableError(f"invalid listing: {error!r}") from error
