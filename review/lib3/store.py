"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

A list has pages of 500 objects or 1 MB; a watch waits as it was asked to.
"""

from __future__ import annotations

import asyncio
import json
import time
import typing
import urllib.parse

import wire

PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576
HISTORY_S = 20.0


class _Change(typing.NamedTuple):
    revision: int
    kind: str
    text: bytes
    deleted: bool
    at: float


class Store:
    """Objects in memory; each is kept as the text that is sent."""

    def __init__(self, host: str, port: int) -> None:
        self.server = wire.Server(host, port, self._handle)
        self._revision = 1
        self._forgotten = 0
        self._objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._history: list[_Change] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object, as the operator or another writer does."""
        text = json.dumps(spec, separators=(",", ":"))
        if len(text) > VALUE_BYTES:
            raise ValueError(f"{name} has {len(text)} bytes")
        self._write(kind, name, text)

    def remove(self, kind: str, name: str) -> None:
        found = self._objects.pop((kind, name), None)
        if found is not None:
            self._revision += 1
            self._note(kind, found[1], True)

    def spec(self, kind: str, name: str) -> typing.Any:
        """Return what is stored; None if there is nothing."""
        found = self._objects.get((kind, name))
        return None if found is None else json.loads(found[1])["spec"]

    def _write(self, kind: str, name: str, spec: str) -> bytes:
        known = self._objects.get((kind, name))
        if known and json.loads(known[1])["spec"] == json.loads(spec):
            return known[1]
        self._revision += 1
        metadata = json.dumps(
            {
                "name": name,
                "revision": self._revision,
                "created": self._revision,
                "finalizers": [],
                "deleting": False,
            }
        )
        text = f'{{"metadata":{metadata},"spec":{spec},"status":null}}'
        self._objects[kind, name] = (self._revision, text.encode())
        self._note(kind, text.encode(), False)
        return text.encode()

    def _note(self, kind: str, text: bytes, deleted: bool) -> None:
        now = time.monotonic()
        self._history.append(
            _Change(self._revision, kind, text, deleted, now)
        )
        while self._history and now - self._history[0].at > HISTORY_S:
            self._forgotten = self._history.pop(0).revision
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self,
        request: wire.Request,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[3:]]
        status, body = await self._answer(request, parts, query)
        writer.write(
            wire.response(status, body, "Content-Type: application/json")
        )
        return True

    async def _answer(
        self, request: wire.Request, parts: list[str], query: dict[str, str]
    ) -> tuple[int, bytes]:
        kind = parts[0]
        if request.method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(
                    kind, int(query["watch"]), int(query["wait_ms"])
                )
            return 200, self._list(kind, query.get("after", ""))
        if request.method == "GET":
            found = self._objects.get((kind, parts[1]))
            return (404, b"null") if found is None else (200, found[1])
        message = json.loads(request.body or b"null")
        name = parts[1] if len(parts) > 1 else message["metadata"]["name"]
        found = self._objects.get((kind, name))
        if request.method == "POST":
            if found is not None:
                return 409, found[1]
        elif found is None:
            return 404, b"null"
        elif message["metadata"].get("revision", found[0]) != found[0]:
            return 409, found[1]
        return 200, self._write(kind, name, json.dumps(message["spec"]))

    def _list(self, kind: str, after: str) -> bytes:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items: list[bytes] = []
        for name in names:
            text = self._objects[kind, name][1]
            size = sum(map(len, items)) + len(text)
            if items and (len(items) >= PAGE_OBJECTS or size > PAGE_BYTES):
                break
            items.append(text)
        more = b"true" if len(items) < len(names) else b"false"
        return b'{"items":[%b],"more":%b,"store_revision":%d}' % (
            b",".join(items),
            more,
            self._revision,
        )

    async def _watch(
        self, kind: str, after: int, wait_ms: int
    ) -> tuple[int, bytes]:
        if after < self._forgotten:
            return 410, b"null"
        give_up = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                b'{"object":%b,"deleted":%b}'
                % (change.text, b"true" if change.deleted else b"false")
                for change in self._history
                if change.kind == kind and change.revision > after
            ]
            left_s = give_up - time.monotonic()
            if events or left_s <= 0:
                return 200, b'{"events":[%b],"store_revision":%d}' % (
                    b",".join(events),
                    self._revision,
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
