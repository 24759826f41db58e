"""Translates the heads of requests and answers."""

from __future__ import annotations

import typing

from geraniumlink.serving import _types

_REQUEST_ID = b"x-request-id"
_PATIENCE = b"x-deadline-ms"
_LAST_EVENT = b"last-event-id"
_MODEL = b"x-model"
_TOKENS = b"x-token-usage"
_PARTS = b"x-prefix-hash"
_SEAL = b"x-response-seal"
_NOT_RUN = b"x-not-executed"
_LOAD = b"x-server-load"
# RFC 9110, section 7.6.1: they concern one connection only.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# A client must not have a say in what these ask of a replica.
_OURS_TO_SET = frozenset(
    (
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
    )
)
# Replicas know this many ranks; later ones share the last.
_LAST_PRIORITY = 9
_MAX_PATIENCE_MS = 86_400_000


class ResponseHead(typing.NamedTuple):
    """The head of a replica's answer."""

    status: int
    # What is passed on to the client.
    headers: _types.Headers
    # Empty when the answer names no request.
    request_id: bytes
    # Whether it is marked as a replica's own answer.
    from_replica: bool
    # The replica states that it did not run the request.
    not_run: bool
    load: _types.LoadReport | None
    closes_connection: bool
    # None when the replica did not say.
    keep_alive_ms: int | None
    chunked: bool
    length: int | None


def decode_request_head(
    method: bytes,
    target: bytes,
    headers: typing.Iterable[tuple[bytes, bytes]],
    received_at: int,
) -> _types.Request:
    """Decode the head of a client's request; names are in lower case."""
    found = dict(headers)
    dropped = _CONNECTION_HEADERS | _OURS_TO_SET | _named(found)
    passed_on = [
        (name, value) for name, value in headers if name not in dropped
    ]
    model, _, adapter = found.get(_MODEL, b"").decode("latin-1").partition("/")
    prompt, output = _token_counts(found.get(_TOKENS, b""))
    return _types.Request(
        id=found.get(_REQUEST_ID, b""),
        method=method,
        target=target,
        host=_host(found.get(b"host", b"")),
        headers=[(n, v) for n, v in passed_on if n != _PATIENCE],
        body=b"",
        received_at=received_at,
        client_timeout_ms=_whole(found.get(_PATIENCE)),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        prefix_blocks=_parts(found.get(_PARTS, b"")),
        last_event_id=found.get(_LAST_EVENT, b""),
    )


def encode_request_head(
    request: _types.Request,
    *,
    replica: str,
    left_ms: int,
    priority: int | None,
    last_event_id: bytes,
) -> bytes:
    """Return the head that a replica gets; ``left_ms`` is at least 1."""
    lines = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        if name != _LAST_EVENT:
            lines += [name, b": ", value, b"\r\n"]
    lines.append(
        b"x-expect-instance: %b\r\nx-deadline-ms: %d\r\n"
        % (replica.encode(), left_ms)
    )
    if priority is not None:
        rank = min(priority, _LAST_PRIORITY)
        lines.append(b"x-request-priority: %d\r\n" % rank)
    if last_event_id:
        lines.append(b"last-event-id: %b\r\n" % last_event_id)
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines)


def decode_response_head(status: int, headers: _types.Headers) -> ResponseHead:
    """Decode the head of a replica's answer."""
    found = {name.lower(): value for name, value in headers}
    dropped = _CONNECTION_HEADERS | _named(found)
    length = _whole(found.get(b"content-length"))
    return ResponseHead(
        status=status,
        headers=[(n, v) for n, v in headers if n.lower() not in dropped],
        request_id=found.get(_REQUEST_ID, b""),
        from_replica=_SEAL in found,
        not_run=_NOT_RUN in found or status == 421,
        load=_load(found.get(_LOAD, b"")),
        closes_connection=b"close" in found.get(b"connection", b"").lower(),
        keep_alive_ms=_idle_ms(found.get(b"keep-alive", b"")),
        chunked=b"chunked" in found.get(b"transfer-encoding", b"").lower(),
        length=length,
    )


def refusal_headers(retry_after_ms: int | None) -> _types.Headers:
    """Return the headers of an answer of our own, with fractions allowed."""
    headers = [(b"content-type", b"text/plain")]
    if retry_after_ms is not None:
        seconds = b"%.3f" % (retry_after_ms / 1000)
        headers.append((b"retry-after", seconds))
    return headers


def _named(found: dict[bytes, bytes]) -> set[bytes]:
    """Return the headers that this connection's header names."""
    names = found.get(b"connection", b"").lower().split(b",")
    return {name.strip() for name in names}


def _host(value: bytes) -> str:
    host = value.decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdecimal() else host


def _whole(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return min(int(value), _MAX_PATIENCE_MS)


def _token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _whole(prompt.strip()) or 0, _whole(output.strip()) or 0


def _parts(value: bytes) -> tuple[_types.PrefixBlock, ...]:
    prefix_blocks = []
    for pair in value.decode("latin-1").split(","):
        key, _, tokens = pair.strip().partition(":")
        if key and tokens.isdecimal():
            prefix_blocks.append(_types.PrefixBlock(key, int(tokens)))
    return tuple(prefix_blocks)


def _load(value: bytes) -> _types.LoadReport | None:
    fields = value.split(b",")
    if len(fields) != 3 or not all(f.strip().isdigit() for f in fields):
        return None
    return _types.LoadReport(*(int(field) for field in fields))


def _idle_ms(value: bytes) -> int | None:
    for field in value.lower().split(b","):
        name, _, seconds = field.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return 1000 * int(seconds)
    return None
