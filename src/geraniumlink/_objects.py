"""The platform's object API: versions, conditional updates and watches.

docs/platform.md describes the calls. A version is the API's revision of the
write, so versions of all objects of a kind are in one order.
"""

from __future__ import annotations

import json
import typing
import urllib.parse

from geraniumlink import _http
from geraniumlink import _settings

ABSENT = 0
MAX_VALUE_BYTES = 2**20
WATCH_WAIT_MS = 20_000
_CALL_TIMEOUT_MS = 2000


class Object(typing.NamedTuple):
    """A stored value; ``value`` is None when the object was removed."""

    kind: str
    name: str
    version: int
    value: typing.Any


class Listing(typing.NamedTuple):
    """Objects, and the revision up to which they are complete."""

    revision: int
    objects: list[Object]


class UnavailableError(Exception):
    """The API did not answer; a write may have taken effect or not."""


class TooLargeError(ValueError):
    """The value is larger than the API holds; nothing was sent."""


class ConflictError(Exception):
    """The object was not at the expected version; nothing was written."""

    def __init__(self, current: Object) -> None:
        super().__init__(f"{current.kind}/{current.name}: {current.version}")
        self.current = current


class RevisionCompactedError(Exception):
    """The watch asks for a revision that the API has forgotten."""


class ObjectApi:
    """Calls the object API and counts the calls."""

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
        """Calls made so far; a waiting watch is one."""
        return self._calls

    @property
    def received_bytes(self) -> int:
        """Bytes of the answers' bodies so far."""
        return self._received_bytes

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    async def get(self, kind: str, name: str) -> Object:
        """Return an object; version 0 and value None when there is none."""
        answer = await self._call("GET", _path(kind, name))
        return _object(_json(answer))

    async def list(self, kind: str) -> Listing:
        answer = await self._call("GET", _path(kind))
        return read_listing(_json(answer))

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> Object:
        """Write when the object is at ``if_version`` (0: when absent).

        :raises ConflictError: if it is at another version.
        :raises UnavailableError: if the outcome is unknown.
        :raises TooLargeError: if it has more than a megabyte.
        """
        body = json.dumps(value).encode()
        if len(body) > MAX_VALUE_BYTES:
            raise TooLargeError(
                f"{kind}/{name} has {len(body)} bytes; the object API holds"
                f" {MAX_VALUE_BYTES} at most"
            )
        path = f"{_path(kind, name)}?if_version={if_version}"
        answer = await self._call("PUT", path, body)
        return _object(_json(answer))

    async def delete(self, kind: str, name: str, if_version: int) -> Object:
        """Remove under the same condition and errors as ``put``."""
        path = f"{_path(kind, name)}?if_version={if_version}"
        answer = await self._call("DELETE", path)
        return _object(_json(answer))

    async def watch(
        self, kind: str, after: int, wait_ms: int = WATCH_WAIT_MS
    ) -> Listing:
        """Return the changes after a revision; wait for the first.

        :raises RevisionCompactedError: if the API has forgotten that revision.
        """
        path = f"{_path(kind)}?after={after}&wait_ms={wait_ms}"
        answer = await self._call("GET", path, extra_ms=wait_ms)
        return read_listing(_json(answer))

    async def _call(
        self, method: str, path: str, body: bytes = b"", extra_ms: int = 0
    ) -> _http.Response:
        self._calls += 1
        try:
            answer = await self._client.request(
                method,
                self._address,
                path,
                body=body,
                connect_ms=_CALL_TIMEOUT_MS,
                read_ms=_CALL_TIMEOUT_MS + extra_ms,
            )
            self._received_bytes += len(answer.body)
            self._raise_for_status(answer)
        except (
            _http.NotSentError,
            _http.BrokenError,
            UnavailableError,
        ) as error:
            self._reachable = False
            raise UnavailableError(str(error)) from error
        self._reachable = True
        return answer

    def _raise_for_status(self, answer: _http.Response) -> None:
        match answer.status:
            case 200:
                return
            case 409:
                raise ConflictError(_object(_json(answer)))
            case 410:
                raise RevisionCompactedError
            case status:
                raise UnavailableError(f"the object API answered {status}")


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{kind}"
    if name is not None:
        path += f"/{urllib.parse.quote(name, safe='')}"
    return path


def _json(answer: _http.Response) -> typing.Any:
    try:
        return answer.json()
    except _http.BrokenError as error:
        raise UnavailableError(str(error)) from error


def _object(message: typing.Any) -> Object:
    try:
        return Object(
            str(message["kind"]),
            str(message["name"]),
            int(message["version"]),
            message["value"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UnavailableError(f"not an object: {error!r}") from error


def read_listing(message: typing.Any) -> Listing:
    """Read a listing from the API or a peer.

    :raises UnavailableError: if it is none.
    """
    try:
        objects = [_object(entry) for entry in message["objects"]]
        return Listing(int(message["revision"]), objects)
    except (KeyError, TypeError, ValueError) as error:
        raise UnavailableError(f"not a listing: {error!r}") from error
