"""Stand-in for the metadata store of the users' platform.

Fault switches: ``outage`` (every call is answered 503), ``silent`` (no call is
answered), ``forget_before`` (watches after an older revision are answered
410), ``lose_answers`` (this many next writes take effect and the connection
closes without an answer), ``refuse_unknown`` (watches after a revision that
the store doesn't have are answered 410; otherwise they wait), ``slow_ms``
(each answer is late), ``deaf`` (watches hear nothing until it is off),
``refuse_hosts`` (by the Host of a call, the status that answers it),
``old_reads_ms`` (``serializable`` reads are that old), ``late_writes_ms``
(writes get no answer and take effect that much later, if their condition still
holds then; not those of ``config`` and ``servers``), ``late_every`` (only
every so many of them). ``outage`` may be the status itself. ``/restore`` takes
the ``revision`` to which the store goes back, and whether it ``counts_eras``:
then its answers have the header Store-Era, which rises by one. With
``--state`` the changes are kept in a file, from which the store starts again;
``/restore`` leaves it as it is. The operator and the replicas of a test write
through the same calls. ``/raw-specs/KIND/NAME`` takes a ``spec`` in base64 and
keeps its bytes as they are, so that it needn't be valid JSON.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable, Coroutine
import contextlib
import json
import pathlib
import time
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

PAGE = 3
# A page ends with the object with which it has more than this.
_PAGE_BYTES = 1_000_000
# How long an answer that is lost is held; clients give up sooner.
_HELD_S = 30
_OUTSIDE_KINDS = ("config", "servers")

_Objects = dict[tuple[str, str], dict]
_Response = Coroutine[typing.Any, typing.Any, responses.Response]


class MetadataStore(_base.StandIn):
    """Objects in memory under one revision counter."""

    def __init__(self, state: pathlib.Path | None = None) -> None:
        super().__init__()
        self._state = state
        self._revision = 0
        self._objects: _Objects = {}
        # Revision, kind, object and whether it was removed.
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        # Rises with each restore; None while answers don't have it.
        self._era: int | None = None
        self._calls: dict[str, int] = {}
        # By the text that stands for it in an object, as JSON.
        self._raw_specs: dict[bytes, bytes] = {}
        # Time of each revision.
        self._noted_at: list[tuple[float, int]] = []
        self._late_count = 0
        self._late_writes: set[asyncio.Task[None]] = set()
        if state and state.exists():
            self._load(state)

    def _load(self, state: pathlib.Path) -> None:
        for line in state.read_text().splitlines():
            entry = json.loads(line)
            self._revision = entry["revision"]
            change = (entry["kind"], entry["object"], entry["deleted"])
            self._history.append((self._revision, *change))
            self._noted_at.append((entry["at"], self._revision))
        self._objects = self._objects_at(self._revision)

    def _objects_at(self, revision: int) -> _Objects:
        objects: _Objects = {}
        for changed, kind, found, deleted in self._history:
            key = (kind, found["metadata"]["name"])
            if deleted and changed <= revision:
                objects.pop(key, None)
            elif changed <= revision:
                objects[key] = found
        return objects

    def _read(self, request: requests.Request) -> tuple[_Objects, int]:
        """Return the objects that a call reads, and their revision."""
        age_ms = self.faults.old_reads_ms
        if not age_ms or "serializable" not in request.query_params:
            return self._objects, self._revision
        until = time.monotonic() - age_ms / 1000
        known = (revision for at, revision in self._noted_at if at <= until)
        revision = max(known, default=0)
        return self._objects_at(revision), revision

    def routes(self) -> list[routing.Route]:
        kind, named = "/v1/objects/{kind}", "/v1/objects/{kind}/{name}"
        return [
            routing.Route(kind, self._list),
            routing.Route(kind, self._create, methods=["POST"]),
            routing.Route(named, self._get),
            routing.Route(named, self._replace, methods=["PUT"]),
            routing.Route(named, self._delete, methods=["DELETE"]),
            routing.Route("/restore", self._restore, methods=["POST"]),
            routing.Route(
                "/raw-specs/{kind}/{name}", self._write_raw, methods=["POST"]
            ),
        ]

    def record(self) -> typing.Any:
        return {
            "revision": self._revision,
            "calls": self._calls,
            "objects": list(self._objects.values()),
            "history": [
                {"kind": kind, "object": found, "deleted": deleted}
                for _, kind, found, deleted in self._history
            ],
        }

    async def _restore(self, request: requests.Request) -> responses.Response:
        """Go back to the objects of an earlier revision."""
        message = json.loads(await request.body())
        self._revision = message["revision"]
        if message.get("counts_eras"):
            self._era = (self._era or 1) + 1
        self._history = [
            change for change in self._history if change[0] <= self._revision
        ]
        self._objects = self._objects_at(self._revision)
        async with self._changed:
            self._changed.notify_all()
        return responses.JSONResponse({})

    async def _out(self, call: str, request: requests.Request) -> int:
        """Return the status with which a call is refused, or 0."""
        self._calls[call] = self._calls.get(call, 0) + 1
        while self.faults.silent:
            await asyncio.sleep(0.02)
        await asyncio.sleep((self.faults.slow_ms or 0) / 1000)
        host = request.headers.get("host", "")
        outage = 503 if self.faults.outage is True else self.faults.outage
        return (self.faults.refuse_hosts or {}).get(host) or outage or 0

    async def _write_in_time(
        self, kind: str, write: Callable[[], _Response]
    ) -> responses.Response:
        """Make a write, or hold its answer back and make it later."""
        late_ms = self.faults.late_writes_ms
        if late_ms and kind not in _OUTSIDE_KINDS:
            self._late_count += 1
            if self._late_count % (self.faults.late_every or 1) == 0:
                late = asyncio.create_task(_call_later(late_ms, write))
                self._late_writes.add(late)
                late.add_done_callback(self._late_writes.discard)
                await asyncio.sleep(_HELD_S)
                return responses.Response(status_code=500)
        return await write()

    async def _list(self, request: requests.Request) -> responses.Response:
        kind, query = request.path_params["kind"], request.query_params
        if status := await self._out(
            "watch" if "watch" in query else "list", request
        ):
            return self._respond({}, status)
        if "watch" in query:
            return await self._watch(kind, request)
        objects, store_revision = self._read(request)
        found = sorted(
            (stored for (k, _), stored in objects.items() if k == kind),
            key=lambda stored: stored["metadata"]["name"],
        )
        after = query.get("after", "")
        rest = [o for o in found if o["metadata"]["name"] > after]
        page = _first_page(rest)
        return self._respond(
            {
                "items": page,
                "more": len(rest) > len(page),
                "store_revision": store_revision,
            }
        )

    async def _watch(
        self, kind: str, request: requests.Request
    ) -> responses.Response:
        query = request.query_params
        after = int(query["watch"])
        is_unknown = after > self._revision and self.faults.refuse_unknown
        if after < (self.faults.forget_before or 0) or is_unknown:
            return self._respond({}, 410)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._since(kind, after) or self.faults.outage
                    )
        while self.faults.deaf:
            await asyncio.sleep(0.02)
        if status := await self._out("watch answer", request):
            return self._respond({}, status)
        return self._respond(
            {
                "events": self._since(kind, after),
                "store_revision": self._revision,
            }
        )

    def _since(self, kind: str, after: int) -> list[dict]:
        return [
            {"object": found, "deleted": deleted}
            for revision, of_kind, found, deleted in self._history
            if revision > after and of_kind == kind
        ]

    async def _get(self, request: requests.Request) -> responses.Response:
        if status := await self._out("get", request):
            return self._respond({}, status)
        found = self._read(request)[0].get(_key(request))
        return self._respond(found or {}, 200 if found else 404)

    async def _create(self, request: requests.Request) -> responses.Response:
        if status := await self._out("write", request):
            return self._respond({}, status)
        message = json.loads(await request.body())
        kind = request.path_params["kind"]
        return await self._write_in_time(
            kind, lambda: self._create_now(kind, message)
        )

    async def _create_now(
        self, kind: str, message: dict
    ) -> responses.Response:
        name = message["metadata"]["name"]
        found = self._objects.get((kind, name))
        if found is not None:
            return self._respond(found, 409)
        return await self._write(kind, name, message["spec"])

    async def _replace(self, request: requests.Request) -> responses.Response:
        if status := await self._out("write", request):
            return self._respond({}, status)
        message = json.loads(await request.body())
        kind, name = _key(request)
        return await self._write_in_time(
            kind, lambda: self._replace_now(kind, name, message)
        )

    async def _replace_now(
        self, kind: str, name: str, message: dict
    ) -> responses.Response:
        found = self._objects.get((kind, name))
        if found is None:
            return self._respond({}, 404)
        expected = message["metadata"].get("revision")
        if expected not in (None, found["metadata"]["revision"]):
            return self._respond(found, 409)
        if found["spec"] == message["spec"]:
            return self._respond(found)
        return await self._write(kind, name, message["spec"])

    async def _write_raw(
        self, request: requests.Request
    ) -> responses.Response:
        kind, name = _key(request)
        text = f"raw-spec-{len(self._raw_specs)}"
        encoded = json.loads(await request.body())["spec"]
        self._raw_specs[json.dumps(text).encode()] = base64.b64decode(encoded)
        await self._write(kind, name, text)
        return responses.JSONResponse({})

    def _respond(
        self, content: typing.Any, status: int = 200
    ) -> responses.Response:
        body = json.dumps(content).encode()
        for text, spec in self._raw_specs.items():
            body = body.replace(text, spec)
        headers = {} if self._era is None else {"Store-Era": str(self._era)}
        return responses.Response(
            body, status, headers, media_type="application/json"
        )

    async def _delete(self, request: requests.Request) -> responses.Response:
        if status := await self._out("write", request):
            return self._respond({}, status)
        kind, name = _key(request)
        return await self._write_in_time(
            kind, lambda: self._delete_now(kind, name)
        )

    async def _delete_now(self, kind: str, name: str) -> responses.Response:
        found = self._objects.pop((kind, name), None)
        if found is None:
            return self._respond({}, 404)
        await self._note(kind, found, True)
        return self._respond(found)

    async def _write(
        self, kind: str, name: str, spec: typing.Any
    ) -> responses.Response:
        known = self._objects.get((kind, name))
        created = known["metadata"]["created"] if known else self._revision + 1
        found = {
            "metadata": {
                "name": name,
                "revision": self._revision + 1,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = found
        await self._note(kind, found, False)
        lost = self.faults.lose_answers or 0
        if lost:
            self.faults["lose_answers"] = lost - 1
            # Hold the answer until the client gives up.
            await asyncio.sleep(_HELD_S)
        return self._respond(found)

    async def _note(self, kind: str, found: dict, deleted: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, kind, found, deleted))
        self._noted_at.append((time.monotonic(), self._revision))
        if self._state:
            self._save(self._state, kind, found, deleted)
        async with self._changed:
            self._changed.notify_all()

    def _save(
        self, state: pathlib.Path, kind: str, found: dict, deleted: bool
    ) -> None:
        at, revision = self._noted_at[-1]
        entry = {
            "at": at,
            "revision": revision,
            "kind": kind,
            "object": found,
            "deleted": deleted,
        }
        with state.open("a") as file:
            file.write(json.dumps(entry) + "\n")


async def _call_later(delay_ms: float, write: Callable[[], _Response]) -> None:
    await asyncio.sleep(delay_ms / 1000)
    await write()


def _first_page(objects: list[dict]) -> list[dict]:
    """Return the first objects of a list that fit into one page."""
    page, page_bytes = [], 0
    for found in objects[:PAGE]:
        page.append(found)
        page_bytes += len(json.dumps(found))
        if page_bytes > _PAGE_BYTES:
            break
    return page


def _key(request: requests.Request) -> tuple[str, str]:
    return request.path_params["kind"], request.path_params["name"]


def main() -> None:
    parser = _base.parser(__doc__)
    parser.add_argument("--state", type=pathlib.Path)
    arguments = parser.parse_args()
    _base.run(MetadataStore(arguments.state), arguments.port)


if __name__ == "__main__":
    main()
