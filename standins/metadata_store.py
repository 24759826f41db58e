"""Stand-in for the metadata store of the users' platform.

Fault switches: ``outage`` (every call is answered 503), ``silent`` (no call is
answered), ``forget_before`` (watches after an older revision are answered
410), ``lose_answers`` (this many next writes take effect and the connection
closes without an answer), ``refuse_unknown`` (watches after a revision that
the store doesn't have are answered 410; otherwise they wait). ``/restore``
takes the ``revision`` to which the store goes back, and whether it
``counts_eras``: then its answers have the header Store-Era, which rises by
one. The operator and the replicas of a test write through the same calls.
``/raw-specs/KIND/NAME`` takes a ``spec`` in base64 and keeps its bytes as they
are, so that it needn't be valid JSON.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

PAGE = 3


class MetadataStore(_base.StandIn):
    """Objects in memory under one revision counter."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 0
        self._objects: dict[tuple[str, str], dict] = {}
        # Revision, kind, object and whether it was removed.
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        # Rises with each restore; None while answers don't have it.
        self._era: int | None = None
        self._calls: dict[str, int] = {}
        # By the text that stands for it in an object, as JSON.
        self._raw_specs: dict[bytes, bytes] = {}

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
        self._objects = {}
        for _, kind, found, deleted in self._history:
            key = (kind, found["metadata"]["name"])
            if deleted:
                self._objects.pop(key, None)
            else:
                self._objects[key] = found
        async with self._changed:
            self._changed.notify_all()
        return responses.JSONResponse({})

    async def _out(self, call: str) -> bool:
        self._calls[call] = self._calls.get(call, 0) + 1
        while self.faults.silent:
            await asyncio.sleep(0.02)
        return bool(self.faults.outage)

    async def _list(self, request: requests.Request) -> responses.Response:
        kind, query = request.path_params["kind"], request.query_params
        if await self._out("watch" if "watch" in query else "list"):
            return self._respond({}, 503)
        if "watch" in query:
            return await self._watch(kind, query)
        found = sorted(
            (stored for (k, _), stored in self._objects.items() if k == kind),
            key=lambda stored: stored["metadata"]["name"],
        )
        after = query.get("after", "")
        rest = [o for o in found if o["metadata"]["name"] > after]
        return self._respond(
            {
                "items": rest[:PAGE],
                "more": len(rest) > PAGE,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, kind: str, query: typing.Any) -> responses.Response:
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
        if await self._out("watch answer"):
            return self._respond({}, 503)
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
        if await self._out("get"):
            return self._respond({}, 503)
        found = self._objects.get(_key(request))
        return self._respond(found or {}, 200 if found else 404)

    async def _create(self, request: requests.Request) -> responses.Response:
        if await self._out("write"):
            return self._respond({}, 503)
        message = json.loads(await request.body())
        kind, name = request.path_params["kind"], message["metadata"]["name"]
        found = self._objects.get((kind, name))
        if found is not None:
            return self._respond(found, 409)
        return await self._write(kind, name, message["spec"])

    async def _replace(self, request: requests.Request) -> responses.Response:
        if await self._out("write"):
            return self._respond({}, 503)
        message = json.loads(await request.body())
        kind, name = _key(request)
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
        if await self._out("write"):
            return self._respond({}, 503)
        kind, name = _key(request)
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
            await asyncio.sleep(30)
        return self._respond(found)

    async def _note(self, kind: str, found: dict, deleted: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, kind, found, deleted))
        async with self._changed:
            self._changed.notify_all()


def _key(request: requests.Request) -> tuple[str, str]:
    return request.path_params["kind"], request.path_params["name"]


def main() -> None:
    arguments = _base.parser(__doc__).parse_args()
    _base.run(MetadataStore(), arguments.port)


if __name__ == "__main__":
    main()
