"""Stand-in for the platform's object API.

Fault switches: ``outage`` (every call is answered 503), ``slow_ms`` (each
answer is late), ``lose_answers`` (this many next writes take effect and the
connection closes without an answer), ``hold_answers`` (writes of kinds that
begin with this text take effect and are answered when it is off again),
``slow_answers`` (a kind to milliseconds: writes of that kind take effect at
once and are answered late),
``forget`` (watches are answered 410).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

MAX_VALUE_BYTES = 2**20
_HOLD_POLL_S = 0.01


class Stored(typing.NamedTuple):
    """An object at a version; a removed one has no value."""

    kind: str
    name: str
    version: int
    value: typing.Any


class ObjectApi(_base.StandIn):
    """Objects in memory under one revision counter."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 0
        self._objects: dict[tuple[str, str], Stored] = {}
        self._history: list[Stored] = []
        self._changed = asyncio.Condition()
        self._calls: dict[str, int] = {}

    def routes(self) -> list[routing.Route]:
        return [
            routing.Route("/objects/{kind}", self._list),
            routing.Route("/objects/{kind}/{name}", self._get),
            routing.Route(
                "/objects/{kind}/{name}", self._write, methods=["PUT"]
            ),
            routing.Route(
                "/objects/{kind}/{name}", self._write, methods=["DELETE"]
            ),
        ]

    def record(self) -> typing.Any:
        return {
            "revision": self._revision,
            "history": [entry._asdict() for entry in self._history],
            "calls": self._calls,
        }

    async def _meet_faults(self, operation: str) -> bool:
        """Count the call; return whether the API is out."""
        self._calls[operation] = self._calls.get(operation, 0) + 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        return bool(self.faults.outage)

    def _find(self, kind: str, name: str) -> Stored:
        absent = Stored(kind, name, 0, None)
        return self._objects.get((kind, name), absent)

    async def _get(self, request: requests.Request) -> responses.Response:
        if await self._meet_faults("get"):
            return _out()
        found = self._find(**request.path_params)
        return responses.JSONResponse(found._asdict())

    async def _list(self, request: requests.Request) -> responses.Response:
        watching = "after" in request.query_params
        if await self._meet_faults("watch" if watching else "list"):
            return _out()
        kind = request.path_params["kind"]
        if not watching:
            found = [
                entry for entry in self._objects.values() if entry.kind == kind
            ]
            return self._listing(found)
        if self.faults.forget:
            return responses.JSONResponse({}, 410)
        after = int(request.query_params["after"])
        wait_ms = int(request.query_params.get("wait_ms", "0"))
        found = await self._wait_for(kind, after, wait_ms)
        return _out() if self.faults.outage else self._listing(found)

    async def _wait_for(
        self, kind: str, after: int, wait_ms: int
    ) -> list[Stored]:
        def newer() -> list[Stored]:
            return [
                entry
                for entry in self._objects.values()
                if entry.kind == kind and entry.version > after
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait_for(
                        lambda: bool(newer()) or bool(self.faults.outage)
                    ),
                    wait_ms / 1000,
                )
        return newer()

    async def _write(self, request: requests.Request) -> responses.Response:
        if await self._meet_faults("write"):
            return _out()
        kind = request.path_params["kind"]
        name = request.path_params["name"]
        body = await request.body()
        if len(body) > MAX_VALUE_BYTES:
            return responses.JSONResponse({}, 413)
        value = json.loads(body) if request.method == "PUT" else None
        if_version = int(request.query_params["if_version"])
        async with self._changed:
            # Compared and written without another write between.
            current = self._find(kind, name)
            if if_version != current.version:
                return responses.JSONResponse(current._asdict(), 409)
            written = self._store(kind, name, value)
            self._changed.notify_all()
        while self.faults.hold_answers and kind.startswith(
            self.faults.hold_answers
        ):
            await asyncio.sleep(_HOLD_POLL_S)
        late_ms = (self.faults.slow_answers or {}).get(kind, 0)
        await asyncio.sleep(late_ms / 1000)
        if self.faults.lose_answers:
            self.faults["lose_answers"] -= 1
            return _lost()
        return responses.JSONResponse(written._asdict())

    def _store(self, kind: str, name: str, value: typing.Any) -> Stored:
        self._revision += 1
        written = Stored(kind, name, self._revision, value)
        self._objects[(kind, name)] = written
        self._history.append(written)
        return written

    def _listing(self, found: list[Stored]) -> responses.Response:
        return responses.JSONResponse(
            {
                "revision": self._revision,
                "objects": [entry._asdict() for entry in found],
            }
        )


def _out() -> responses.Response:
    return responses.JSONResponse({"error": "outage"}, 503)


def _lost() -> responses.Response:
    """An answer whose connection closes before its body is whole."""
    response = responses.Response(b"{", 200)
    response.headers["content-length"] = "1000"
    response.headers["connection"] = "close"
    return response


if __name__ == "__main__":
    options = _base.parser(__doc__).parse_args()
    _base.run(ObjectApi(), options.port)
