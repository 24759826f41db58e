"""Stand-in for a plain service such as booking or custody.

Every request that it begins is a run and is kept in the record, with its
X-Run header where there is one. The answer echoes the body, the method and
each X-Echo header; an X-Status header sets the status.

Fault switches: ``delay_ms``, ``hold`` (runs end only when it is off again),
``lose_answers`` (this many next runs end without an answer), ``leaving`` and
``refuse`` (a reason): refused before they run, ``answer_bytes`` (the size of
the answer's body).
"""

from __future__ import annotations

import asyncio
import time
import typing
import uuid

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
_HOLD_POLL_S = 0.01


class PlainService(_base.StandIn):
    """Echoes requests and counts what it ran."""

    def __init__(self) -> None:
        super().__init__()
        self._boot_id = uuid.uuid4().hex
        self._runs: list[dict] = []
        self._in_flight = 0

    def routes(self) -> list[routing.Route]:
        return [
            routing.Route("/report", self._report),
            routing.Route("/{path:path}", self._run, methods=_METHODS),
        ]

    def record(self) -> typing.Any:
        return {"boot_id": self._boot_id, "runs": self._runs}

    async def _report(self, _: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                "boot_id": self._boot_id,
                "in_flight": self._in_flight,
                "leaving": bool(self.faults.leaving),
            }
        )

    async def _run(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        refused = self.faults.refuse or (self.faults.leaving and "leaving")
        if refused:
            return responses.JSONResponse({"refused": refused}, 503)
        self._runs.append(
            {
                "run": request.headers.get("x-run", ""),
                "method": request.method,
                "path": request.scope["raw_path"].decode(),
                "query": request.scope["query_string"].decode(),
                "headers": request.headers.items(),
                "time": time.time(),
            }
        )
        self._in_flight += 1
        try:
            await self._work()
        finally:
            self._in_flight -= 1
        if self.faults.lose_answers:
            self.faults["lose_answers"] -= 1
            return _lost()
        return self._answer(request, body)

    async def _work(self) -> None:
        await asyncio.sleep((self.faults.delay_ms or 0) / 1000)
        while self.faults.hold:
            await asyncio.sleep(_HOLD_POLL_S)

    def _answer(
        self, request: requests.Request, body: bytes
    ) -> responses.Response:
        usual = 201 if request.method == "POST" else 200
        status = int(request.headers.get("x-status", usual))
        if self.faults.answer_bytes:
            body = b"a" * self.faults.answer_bytes
        response = responses.Response(b"" if status == 204 else body, status)
        if status == 204:
            del response.headers["content-length"]
        response.headers["x-served-by"] = self._boot_id
        response.headers["x-method"] = request.method
        for value in request.headers.getlist("x-echo"):
            response.headers.append("x-echo", value)
        return response


def _lost() -> responses.Response:
    response = responses.Response(b"", 200)
    response.headers["content-length"] = "1000"
    response.headers["connection"] = "close"
    return response


if __name__ == "__main__":
    options = _base.parser(__doc__).parse_args()
    _base.run(PlainService(), options.port)
