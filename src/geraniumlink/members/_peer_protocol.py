"""Both sides of the messages between instances, over HTTP.

The server also has the health, readiness and metrics endpoints that the
platform calls.
"""

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

# Bounds connecting to a peer, and each wait for its response.
MESSAGE_TIMEOUT_MS = 1000
# Bounds the body of a message from a peer.
MAX_MESSAGE_BYTES = 64 * 1024
# Bounds a configuration that is fetched from a peer: with pages of 256 KiB
# it may have 64 MiB, or more if one object exceeds a page.
MAX_CONFIGURATION_PAGES = 256


class ExchangeRequest(typing.TypedDict):
    """The message with which an instance starts an exchange."""

    entries: list[list]
    # The digest of the sender's table; only the request has one.
    digest: str


class ExchangeResponse(typing.TypedDict):
    """The reply of the peer that received the request."""

    entries: list[list]


class PeerServer:
    """Serves peers and the platform on the peer port.

    ``is_ready`` is called at each readiness check. ``more_routes`` are the
    routes for messages of other modules, which parse these themselves.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        membership: _membership.Membership,
        metrics: _metrics.Metrics,
        is_ready: Callable[[], bool],
        more_routes: Sequence[routing.Route] = (),
        traffic: _traffic.Traffic | None = None,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._metrics = metrics
        self._is_ready = is_ready
        self._traffic = traffic or _traffic.Traffic()
        self.application = applications.Starlette(
            routes=[
                routing.Route(
                    "/exchange", self._handle_exchange, methods=["POST"]
                ),
                routing.Route("/configuration", self._handle_configuration),
                routing.Route("/health", self._handle_health),
                routing.Route("/ready", self._handle_readiness),
                routing.Route("/metrics", self._handle_metrics),
                *more_routes,
            ]
        )

    async def _handle_exchange(
        self, request: requests.Request
    ) -> responses.Response:
        """Merge a peer's entries and return entries that it may miss."""
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
        selected = self._membership.select_response_entries(entries[0], digest)
        response = _json_response(
            ExchangeResponse(entries=_membership.to_json(selected))
        )
        self._traffic.count_sent(response.raw_headers, bytes(response.body))
        return response

    async def _handle_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Return a page of the configuration newer than version ``after``."""
        try:
            after = int(request.query_params.get("after", "0"))
        except ValueError:
            return responses.JSONResponse(
                {"error": "after must be an integer"}, 400
            )
        page = self._configuration.page_after(after)
        objects = [entry._asdict() for entry in page.objects]
        response = _json_response(
            {
                "objects": objects,
                "revision": page.revision,
                "more": page.more,
            }
        )
        self._traffic.count_sent(response.raw_headers, bytes(response.body))
        return response

    async def _handle_health(self, _: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _handle_readiness(
        self, _: requests.Request
    ) -> responses.Response:
        if self._is_ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", 503)

    async def _handle_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        accepts = request.headers.getlist("accept")
        content, headers = renderer.render(self._metrics.registry, accepts)
        return responses.Response(content, headers=headers)


def _json_response(message: typing.Any) -> responses.Response:
    """Return a response with a message as compact JSON."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return responses.Response(body, media_type="application/json")


async def exchange_entries(
    client: _http.Client,
    peer: _membership.Peer,
    membership: _membership.Membership,
    traffic: _traffic.Traffic,
) -> None:
    """Exchange entries with a peer, and record whether it answered."""
    entries = _membership.to_json(membership.select_request_entries(peer.name))
    message = ExchangeRequest(entries=entries, digest=membership.digest)
    body = json.dumps(message, separators=(",", ":")).encode()
    # The HTTP client adds the Host header; the longest IPv4 one is counted.
    traffic.count_sent(
        [*_JSON_HEADERS, (b"host", b"255.255.255.255:65535")], body
    )
    try:
        response = await client.request(
            "POST",
            peer.address,
            "/exchange",
            headers=_JSON_HEADERS,
            body=body,
            connect_ms=MESSAGE_TIMEOUT_MS,
            read_ms=MESSAGE_TIMEOUT_MS,
        )
        traffic.count_received(response.headers, response.body)
        received = _membership.from_json(response.json()["entries"])
    except (_http.NotSentError, _http.BrokenError):
        membership.record_failure(peer.name)
        return
    except (ValueError, KeyError, TypeError) as error:
        _logs.event("bad_exchange", peer=str(peer.address), error=str(error))
        membership.record_failure(peer.name)
        return
    membership.merge(received)
    # Another instance may have taken over the listed address.
    if received[0].name == peer.name:
        membership.record_answer(peer.name)
    else:
        membership.record_failure(peer.name)


_JSON_HEADERS: _http.Headers = [(b"Content-Type", b"application/json")]


async def fetch_configuration(
    client: _http.Client, address: _settings.Address, after: int
) -> _configuration.Page | None:
    """Return a peer's configuration that is newer than version ``after``.

    None if a page is invalid or can't be fetched, or if there are too many.
    Pages are in the order of versions, so an object that changes while they
    are fetched appears again on a later page.
    """
    fetched: list[_objects.Object] = []
    try:
        for _ in range(MAX_CONFIGURATION_PAGES):
            page = await _fetch_page(client, address, after)
            fetched += page.objects
            if not page.more:
                return _configuration.Page(fetched, page.revision, False)
            after = fetched[-1].version
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
    """Fetch the first page of a peer's configuration above a version.

    :raises _objects.UnavailableError: if the peer responds with an error
        status or a malformed listing.
    :raises _http.NotSentError, _http.BrokenError: if the request fails.
    """
    response = await client.request(
        "GET",
        address,
        f"/configuration?after={after}",
        connect_ms=MESSAGE_TIMEOUT_MS,
        read_ms=MESSAGE_TIMEOUT_MS,
    )
    if response.status != 200:
        raise _objects.UnavailableError(
            f"the peer responded with status {response.status}"
        )
    message = response.json()
    listing = _objects.read_listing(message)
    return _configuration.Page(
        listing.objects, listing.revision, bool(message["more"])
    )


async def read_bounded_body(request: requests.Request) -> bytes:
    """Read the body of a message from a peer.

    :raises ValueError: if the body is larger than MAX_MESSAGE_BYTES.
    """
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"the body is larger than {MAX_MESSAGE_BYTES} bytes"
            )
    return bytes(body)
