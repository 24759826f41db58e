"""Stand-in for the network between one instance and the object API.

It passes HTTP requests on to ``--to`` (IP:PORT). Killing it cuts the
instance off; freezing it stalls its connections.
"""

from __future__ import annotations

import typing

import httpcore
from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base


class Relay(_base.StandIn):
    """Passes every request on unchanged."""

    def __init__(self, to: str) -> None:
        super().__init__()
        self._to = to
        self._pool = httpcore.AsyncConnectionPool(max_connections=500)

    def routes(self) -> list[routing.Route]:
        methods = ["GET", "PUT", "DELETE"]
        return [routing.Route("/{path:path}", self._pass, methods=methods)]

    def record(self) -> typing.Any:
        return {}

    async def _pass(self, request: requests.Request) -> responses.Response:
        query = request.scope["query_string"].decode()
        path = request.scope["raw_path"].decode()
        answer = await self._pool.request(
            request.method,
            f"http://{self._to}{path}?{query}",
            content=await request.body(),
        )
        return responses.Response(answer.content, answer.status)


if __name__ == "__main__":
    made = _base.parser(__doc__)
    made.add_argument("--to", required=True)
    options = made.parse_args()
    _base.run(Relay(options.to), options.port)
