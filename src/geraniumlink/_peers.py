"""The port for peers and the platform: exchanges, health and metrics."""

from __future__ import annotations

import json
import typing
from collections.abc import Callable, Sequence

from aioprometheus import renderer
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from geraniumlink import _configuration
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _membership
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink import _settings

EXCHANGE_TIMEOUT_MS = 1000
MAX_MESSAGE_BYTES = 64 * 1024


class Exchange(typing.TypedDict):
    """What two instances tell each other at a heartbeat."""

    entries: list[list]


class PeerServer:
    """Answers peers; ``ready`` is asked at each readiness check.

    ``more_routes`` are the peer messages of other modules, each of which
    reads its own.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        membership: _membership.Membership,
        metrics: _metrics.Metrics,
        ready: Callable[[], bool],
        more_routes: Sequence[routing.Route] = (),
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._metrics = metrics
        self._ready = ready
        self.application = applications.Starlette(
            routes=[
                routing.Route("/exchange", self._exchange, methods=["POST"]),
                routing.Route("/configuration", self._snapshot),
                routing.Route("/health", self._health),
                routing.Route("/ready", self._readiness),
                routing.Route("/metrics", self._render_metrics),
                *more_routes,
            ]
        )

    async def _exchange(self, request: requests.Request) -> responses.Response:
        try:
            message = json.loads(await bounded_body(request))
            entries = _membership.from_json(message["entries"])
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_exchange", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        self._membership.merge(entries)
        own = _membership.to_json(self._membership.entries())
        return responses.JSONResponse(Exchange(entries=own))

    async def _snapshot(self, request: requests.Request) -> responses.Response:
        """Return the objects that are newer than ``after``."""
        try:
            after = int(request.query_params.get("after", "0"))
        except ValueError:
            return responses.JSONResponse({"error": "after: a number"}, 400)
        snapshot = self._configuration.snapshot()
        newer = [
            entry._asdict()
            for entry in snapshot.objects
            if entry.version > after
        ]
        return responses.JSONResponse(
            {"revision": snapshot.revision, "objects": newer}
        )

    async def _health(self, _: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _readiness(self, _: requests.Request) -> responses.Response:
        if self._ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", 503)

    async def _render_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        accepts = request.headers.getlist("accept")
        content, headers = renderer.render(self._metrics.registry, accepts)
        return responses.Response(content, headers=headers)


async def exchange(
    client: _http.Client,
    address: _settings.Address,
    membership: _membership.Membership,
) -> None:
    """Exchange entries with a peer; an unreachable one is let be."""
    own = _membership.to_json(membership.entries())
    try:
        answer = await client.post_json(
            address,
            "/exchange",
            Exchange(entries=own),
            timeout_ms=EXCHANGE_TIMEOUT_MS,
        )
        if answer.status == 200:
            received = answer.json()["entries"]
            membership.merge(_membership.from_json(received))
    except (_http.NotSentError, _http.BrokenError):
        return
    except (ValueError, KeyError, TypeError) as error:
        _logs.event("bad_exchange", peer=str(address), error=str(error))


async def fetch_configuration(
    client: _http.Client, address: _settings.Address, after: int
) -> _objects.Listing | None:
    """Ask a peer for what it has in force beyond a revision."""
    try:
        answer = await client.request(
            "GET",
            address,
            f"/configuration?after={after}",
            connect_ms=EXCHANGE_TIMEOUT_MS,
            read_ms=EXCHANGE_TIMEOUT_MS,
        )
        if answer.status != 200:
            return None
        return _objects.read_listing(answer.json())
    except (
        _http.NotSentError,
        _http.BrokenError,
        _objects.UnavailableError,
    ):
        return None


async def bounded_body(request: requests.Request) -> bytes:
    """Return a message's body.

    :raises ValueError: if it has more than 64 KiB.
    """
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"more than {MAX_MESSAGE_BYTES} bytes")
    return bytes(body)
