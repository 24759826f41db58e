"""Stand-in for a plain service such as booking or custody.

Every request is a run and is kept in the record, by its X-Run header where
there is one. Fault switches: ``delay_ms``, ``lose_answers`` (this many next
runs end without an answer), ``leaving``.
"""

from __future__ import annotations

import asyncio
import typing
import uuid

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


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
        if self.faults.leaving:
            return responses.JSONResponse({"refused": "leaving"}, 503)
        self._runs.append(
            {
                "run": request.headers.get("x-run", ""),
                "method": request.method,
                "path": request.url.path,
            }
        )
        self._in_flight += 1
        await asyncio.sleep((self.faults.delay_ms or 0) / 1000)
        self._in_flight -= 1
        if self.faults.lose_answers:
            self.faults["lose_answers"] -= 1
            return _lost()
        return responses.Response(
            body or b"done",
            201 if request.method == "POST" else 200,
            {"x-served-by": self._boot_id, "x-method": request.method},
        )


def _lost() -> responses.Response:
    response = responses.Response(b"", 200)
    response.headers["content-length"] = "1000"
    response.headers["connection"] = "close"
    return response


if __name__ == "__main__":
    options = _base.parser(__doc__).parse_args()
    _base.run(PlainService(), options.port)
