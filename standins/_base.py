"""What all stand-ins share: arguments, fault switches and serving."""

from __future__ import annotations

import argparse
import asyncio
import json
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn


class Faults(dict[str, typing.Any]):
    """Fault switches by name; a switch that was never set is off."""

    def __getattr__(self, name: str) -> typing.Any:
        return self.get(name)


class StandIn:
    """A program with a ``/faults`` and a ``/record`` beside its routes."""

    def __init__(self) -> None:
        self.faults = Faults()

    def routes(self) -> list[routing.Route]:
        raise NotImplementedError

    def record(self) -> typing.Any:
        raise NotImplementedError

    def application(self) -> applications.Starlette:
        return applications.Starlette(
            routes=[
                routing.Route("/faults", self._set_faults, methods=["POST"]),
                routing.Route("/record", self._get_record),
                *self.routes(),
            ]
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        self.faults.update(json.loads(await request.body()))
        return responses.JSONResponse(self.faults)

    async def _get_record(self, _: requests.Request) -> responses.Response:
        return responses.JSONResponse(self.record())

    async def serve(self, port: int) -> None:
        """Listen on loopback until a signal."""
        config = uvicorn.Config(
            self.application(),
            host="127.0.0.1",
            port=port,
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            log_level="warning",
            access_log=False,
            timeout_graceful_shutdown=1,
        )
        await uvicorn.Server(config).serve()


def parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with what all stand-ins are told."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--port", type=int, required=True)
    return made


def run(stand_in: StandIn, port: int) -> None:
    asyncio.run(stand_in.serve(port))
