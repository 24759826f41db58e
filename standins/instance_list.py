"""Stand-in for the platform's instance list.

PUT /instances/NAME with {"address", "state"} changes an entry. Fault
switches: ``outage``, and ``lag_ms``, after which a change is seen.
"""

from __future__ import annotations

import asyncio
import json
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from standins import _base


class InstanceList(_base.StandIn):
    """Entries by name, as they were ``lag_ms`` ago."""

    def __init__(self, entries: list[str]) -> None:
        super().__init__()
        self._entries: dict[str, dict] = {}
        for entry in entries:
            name, address = entry.split("=")
            self._entries[name] = {"address": address, "state": "live"}

    def routes(self) -> list[routing.Route]:
        return [
            routing.Route("/instances", self._list),
            routing.Route("/instances/{name}", self._put, methods=["PUT"]),
        ]

    def record(self) -> typing.Any:
        return self._entries

    async def _list(self, _: requests.Request) -> responses.Response:
        if self.faults.outage:
            return responses.JSONResponse({"error": "outage"}, 503)
        entries = [
            {"name": name, **entry} for name, entry in self._entries.items()
        ]
        return responses.JSONResponse({"instances": entries})

    async def _put(self, request: requests.Request) -> responses.Response:
        entry = json.loads(await request.body())
        name = request.path_params["name"]
        lag_ms = self.faults.lag_ms or 0
        asyncio.get_running_loop().call_later(
            lag_ms / 1000, self._entries.__setitem__, name, entry
        )
        return responses.JSONResponse(entry)


if __name__ == "__main__":
    made = _base.parser(__doc__)
    made.add_argument("--entry", action="append", default=[])
    options = made.parse_args()
    _base.run(InstanceList(options.entry), options.port)
