"""The port for peers and the platform: exchanges, health and metrics."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import json
import typing

from aioprometheus import renderer
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _metrics
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.configuration import _configuration
from geraniumlink.members import _membership
from geraniumlink.requests import _traffic

EXCHANGE_TIMEOUT_MS = 1000
MAX_MESSAGE_BYTES = 64 * 1024
# Of a configuration: 64 MB.
MAX_PAGES = 256


class Exchange(typing.TypedDict):
    """What two instances tell each other at a heartbeat."""

    entries: list[list]
    # Of the sender's table, in the question only.
    digest: str


class Answer(typing.TypedDict):
    """What the peer that was asked says."""

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
        traffic: _traffic.Traffic | None = None,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._metrics = metrics
        self._ready = ready
        self._traffic = traffic or _traffic.Traffic()
        self.application = applications.Starlette(
            routes=[
                routing.Route("/exchange", self._exchange, methods=["POST"]),
                routing.Route("/configuration", self._page),
                routing.Route("/health", self._health),
                routing.Route("/ready", self._readiness),
                routing.Route("/metrics", self._render_metrics),
                *more_routes,
            ]
        )

    async def _exchange(self, request: requests.Request) -> responses.Response:
        try:
            body = await read_bounded_body(request)
            message = json.loads(body)
            entries = _membership.from_json(message["entries"])
            digest = str(message["digest"])
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_exchange", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        self._traffic.count_received(request.headers.raw, body)
        self._membership.merge(entries)
        told = self._membership.select_response_entries(entries[0], digest)
        answer = _json(Answer(entries=_membership.to_json(told)))
        self._traffic.count_sent(answer.raw_headers, bytes(answer.body))
        return answer

    async def _page(self, request: requests.Request) -> responses.Response:
        """Return a page of the objects that are newer than ``after``."""
        try:
            after = int(request.query_params.get("after", "0"))
        except ValueError:
            return responses.JSONResponse({"error": "after: a number"}, 400)
        page = self._configuration.page_after(after)
        objects = [entry._asdict() for entry in page.objects]
        answer = _json(
            {
                "objects": objects,
                "revision": page.revision,
                "more": page.more,
            }
        )
        self._traffic.count_sent(answer.raw_headers, bytes(answer.body))
        return answer

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


def _json(message: typing.Any) -> responses.Response:
    body = json.dumps(message, separators=(",", ":")).encode()
    return responses.Response(body, media_type="application/json")


async def exchange_entries(
    client: _http.Client,
    peer: _membership.Peer,
    membership: _membership.Membership,
    traffic: _traffic.Traffic,
) -> None:
    """Exchange entries with a peer, and note whether it answered."""
    entries = _membership.to_json(membership.select_request_entries(peer.name))
    message = Exchange(entries=entries, digest=membership.digest)
    body = json.dumps(message, separators=(",", ":")).encode()
    traffic.count_sent([*_JSON, (b"host", b"255.255.255.255:65535")], body)
    try:
        answer = await client.request(
            "POST",
            peer.address,
            "/exchange",
            headers=_JSON,
            body=body,
            connect_ms=EXCHANGE_TIMEOUT_MS,
            read_ms=EXCHANGE_TIMEOUT_MS,
        )
        traffic.count_received(answer.headers, answer.body)
        received = _membership.from_json(answer.json()["entries"])
    except (_http.NotSentError, _http.BrokenError):
        membership.record_failure(peer.name)
        return
    except (ValueError, KeyError, TypeError) as error:
        _logs.event("bad_exchange", peer=str(peer.address), error=str(error))
        membership.record_failure(peer.name)
        return
    membership.merge(received)
    # Another instance may have come to the listed address.
    if received[0].name == peer.name:
        membership.record_answer(peer.name)
    else:
        membership.record_failure(peer.name)


_JSON: _http.Headers = [(b"Content-Type", b"application/json")]


async def fetch_configuration(
    client: _http.Client, address: _settings.Address, after: int
) -> _configuration.Page | None:
    """Return all that a peer has in force beyond a revision.

    None if it can't be had whole: pages are in the order of versions, and
    an object that changes meanwhile comes again on a later page.
    """
    found: list[_objects.Object] = []
    try:
        for _ in range(MAX_PAGES):
            page = await _fetch_page(client, address, after)
            found += page.objects
            if not page.more:
                return _configuration.Page(found, page.revision, False)
            after = found[-1].version
    except (
        _http.NotSentError,
        _http.BrokenError,
        _objects.UnavailableError,
        KeyError,
        IndexError,
        TypeError,
    ) as error:
        _logs.event(
            "bad_configuration_page", peer=str(address), error=repr(error)
        )
    return None


async def _fetch_page(
    client: _http.Client, address: _settings.Address, after: int
) -> _configuration.Page:
    answer = await client.request(
        "GET",
        address,
        f"/configuration?after={after}",
        connect_ms=EXCHANGE_TIMEOUT_MS,
        read_ms=EXCHANGE_TIMEOUT_MS,
    )
    if answer.status != 200:
        raise _objects.UnavailableError(f"the peer answered {answer.status}")
    message = answer.json()
    listing = _objects.read_listing(message)
    return _configuration.Page(
        listing.objects, listing.revision, bool(message["more"])
    )


async def read_bounded_body(request: requests.Request) -> bytes:
    """Return a message's body.

    :raises ValueError: if it has more than 64 KiB.
    """
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"more than {MAX_MESSAGE_BYTES} bytes")
    return bytes(body)
