"""Stand-in for the platform's object API.

Fault switches: ``outage`` (every call is answered 503), ``slow_ms`` (each
answer is late), ``stale_ms`` (each list and watch is late after it was
made up, so older than what was written since), ``lose_answers`` (this many
next writes take effect and the connection closes without an answer),
``outage_after_writes`` (an outage begins after this many more writes),
``hold_answers`` (writes of kinds that
begin with this text take effect and are answered when it is off again),
``slow_answers`` (a kind to milliseconds: writes of that kind take effect at
once and are answered late), ``forget`` (watches are answered 410),
``forget_before`` (watches after an older revision are).
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


class Refused(typing.NamedTuple):
    """A write was refused; the object is at another version."""

    current: Stored


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

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        answer = await super()._set_faults(request)
        async with self._changed:
            # An outage ends the watches that wait.
            self._changed.notify_all()
        return answer

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
                entry
                for entry in self._objects.values()
                if entry.kind == kind and entry.value is not None
            ]
            return await self._listing(found)
        after = int(request.query_params["after"])
        if self.faults.forget or after < (self.faults.forget_before or 0):
            return responses.JSONResponse({}, 410)
        wait_ms = int(request.query_params.get("wait_ms", "0"))
        found = await self._wait_for(kind, after, wait_ms)
        return _out() if self.faults.outage else await self._listing(found)

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
        body = await request.body()
        if len(body) > MAX_VALUE_BYTES:
            return responses.JSONResponse({}, 413)
        value = json.loads(body) if request.method == "PUT" else None
        written = await self._store_if(
            kind,
            request.path_params["name"],
            int(request.query_params["if_version"]),
            value,
        )
        if isinstance(written, Refused):
            return responses.JSONResponse(written.current._asdict(), 409)
        await self._begin_outage_after_writes()
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

    async def _store_if(
        self, kind: str, name: str, if_version: int, value: typing.Any
    ) -> Stored | Refused:
        """Compare and write in one step: nothing may come in between."""
        async with self._changed:
            current = self._find(kind, name)
            if current.version != if_version:
                return Refused(current)
            self._revision += 1
            written = Stored(kind, name, self._revision, value)
            self._objects[(kind, name)] = written
            self._history.append(written)
            self._changed.notify_all()
        return written

    async def _begin_outage_after_writes(self) -> None:
        if not self.faults.outage_after_writes:
            return
        self.faults["outage_after_writes"] -= 1
        if not self.faults.outage_after_writes:
            async with self._changed:
                self.faults["outage"] = True
                self._changed.notify_all()

    async def _listing(self, found: list[Stored]) -> responses.Response:
        answer = responses.JSONResponse(
            {
                "revision": self._revision,
                "objects": [entry._asdict() for entry in found],
            }
        )
        if self.faults.stale_ms:
            await asyncio.sleep(self.faults.stale_ms / 1000)
        return answer


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
