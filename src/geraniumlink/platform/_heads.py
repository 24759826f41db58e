"""Decodes and encodes the heads of HTTP requests and responses.

A head is the request line or status code with the headers. A client's
malformed header is treated as if it were absent, never as an error.
"""

from __future__ import annotations

import email.utils
import math
import re
import time
import typing

from geraniumlink.serving import _accounts
from geraniumlink.serving import _types

_REQUEST_ID = b"x-request-id"
_DEADLINE_MS = b"x-deadline-ms"
_LAST_EVENT_ID = b"last-event-id"
_RESUMES = b"resumes"
_MODEL = b"x-model"
_TOKEN_USAGE = b"x-token-usage"
_PREFIX_HASH = b"x-prefix-hash"
_RESPONSE_SEAL = b"x-response-seal"
_NOT_EXECUTED = b"x-not-executed"
# Set by instances, on requests that they pass on to each other.
_RELAYED_ATTEMPTS = b"geraniumlink-relayed-attempts"
_RELAYED_ACCOUNT = b"geraniumlink-relayed-account"
_AUTHORIZATION = b"authorization"
# Name of the account under which a request is served.
_TENANT = b"x-tenant"
# Not forwarded where accounts are configured.
_CREDENTIAL_HEADERS = frozenset((_AUTHORIZATION, _TENANT))
_SERVER_LOAD = b"x-server-load"
_SERVER_LIMIT = b"server-limit"
_SERVER_BRITTLE = b"server-brittle"
_SERVER_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_EVENT_STREAM = b"text/event-stream"
# Hop-by-hop headers (RFC 9110, section 7.6.1), and Expect: they concern one
# connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that instruct a replica, and the length, which is computed from the
# body. Only this process may set them, so they are dropped from requests of
# clients.
_INTERNAL_HEADERS = frozenset(
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
        _RELAYED_ATTEMPTS,
        _RELAYED_ACCOUNT,
    )
)
# Replicas accept priorities 0 (the most urgent) to 9; a larger one is sent
# as 9.
_LOWEST_PRIORITY = 9
# 24 hours in milliseconds: a client's timeout is cut off there. Token counts
# and Content-Length, which have other units, are cut off at the same number.
_MAX_HEADER_NUMBER = 86_400_000
_MAX_HEADER_DIGITS = 9
_DECIMAL_NUMBER = re.compile(rb"\d{1,9}(\.\d{1,9})?")
# Dates have the names of days and months.
_DATE = re.compile(rb"[A-Za-z]{3},? ")
# Status of a replica that turns a request away.
_UNAVAILABLE = 503
# A replica that states a longer Retry-After is sent nothing for this long.
_MAX_BACK_OFF_MS = 3_600_000


class ResponseHead(typing.NamedTuple):
    """The head of a replica's response."""

    status: int
    # The headers that are forwarded to the client.
    headers: _types.Headers
    # Which request it answers; empty when the replica did not say.
    request_id: bytes
    # Whether it has the header by which a replica marks its own responses;
    # a success without it is not accepted.
    from_replica: bool
    # Whether the replica states that it did not execute the request, so that
    # it may be sent to another one.
    not_run: bool
    # None when the replica did not say, or not as numbers.
    load: _types.LoadReport | None
    # The requests a second that it takes from all instances together.
    rate_limit: _types.StatedNumber
    # The replica fails if it has to reject more requests than this in a
    # second for want of room.
    max_rejections: _types.StatedNumber
    announcement: _types.Announcement
    closes_connection: bool
    # How long the replica keeps an idle connection open; None when it did not
    # say.
    keep_alive_ms: int | None
    chunked: bool
    # From Content-Length, cut off at _MAX_HEADER_NUMBER.
    content_length: int | None
    # Whether its media type is that of events, or isn't stated.
    may_be_event_stream: bool

    @property
    def framing(self) -> str:
        """What marks the body's end: chunks, length, or connection."""
        if self.chunked:
            return "chunks"
        return "connection" if self.content_length is None else "length"


def decode_request_head(
    method: bytes,
    target: bytes,
    headers: typing.Iterable[tuple[bytes, bytes]],
    received_at: int,
    *,
    has_accounts: bool = False,
) -> _types.Request:
    """Decode the head of a client's request.

    Header names must be in lower case. The body and the account are left
    empty.

    :param has_accounts: whether accounts are configured; credentials are
        then not forwarded.
    """
    by_name = dict(headers)
    dropped = (
        _HOP_BY_HOP_HEADERS | _INTERNAL_HEADERS | _named_by_connection(by_name)
    )
    if has_accounts:
        dropped |= _CREDENTIAL_HEADERS
    forwarded = [
        (name, value) for name, value in headers if name not in dropped
    ]
    model, _, adapter = (
        by_name.get(_MODEL, b"").decode("latin-1").partition("/")
    )
    token_usage = by_name.get(_TOKEN_USAGE, b"")
    prompt, output = _token_counts(token_usage)
    return _types.Request(
        id=by_name.get(_REQUEST_ID, b""),
        method=method,
        target=target,
        host=_host(by_name.get(b"host", b"")),
        headers=[(n, v) for n, v in forwarded if n != _DEADLINE_MS],
        body=b"",
        received_at=received_at,
        client_timeout_ms=_milliseconds(by_name.get(_DEADLINE_MS)),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        prefix_blocks=_prefix_blocks(by_name.get(_PREFIX_HASH, b"")),
        last_event_id=by_name.get(_LAST_EVENT_ID, b""),
        resumes=by_name.get(_RESUMES, b""),
        has_token_usage=_has_token_counts(token_usage),
    )


def decode_credential(headers: _types.Headers) -> _types.Credential:
    """Return the digest of the API key of a client's request.

    It is sent as ``Token KEY``, once. Header names must be in lower case.
    """
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if not values:
        return _types.NoKey.ABSENT
    scheme, _, rest = values[0].strip(b" \t").partition(b" ")
    key = rest.strip(b" \t")
    if len(values) > 1 or scheme.lower() != b"token" or not key:
        return _types.NoKey.MALFORMED
    return _accounts.digest_key(key)


def encode_request_head(
    request: _types.Request,
    *,
    replica: str,
    left_ms: int,
    priority: int | None,
    last_event_id: bytes,
) -> bytes:
    """Return the head of the request to a replica, as bytes.

    ``left_ms`` is the time to the deadline, at least 1. A ``last_event_id``
    resumes a stream and replaces the one that the client sent.
    """
    lines = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        if name != _LAST_EVENT_ID:
            lines += [name, b": ", value, b"\r\n"]
    lines.append(
        b"x-expect-instance: %b\r\nx-deadline-ms: %d\r\n"
        % (replica.encode(), left_ms)
    )
    if priority is not None:
        level = min(priority, _LOWEST_PRIORITY)
        lines.append(b"x-request-priority: %d\r\n" % level)
    if last_event_id:
        lines.append(b"last-event-id: %b\r\n" % last_event_id)
    if request.account:
        lines.append(b"%b: %b\r\n" % (_TENANT, request.account.encode()))
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines)


def encode_relayed_head(
    request: _types.Request,
    *,
    left_ms: int,
    attempts: int,
    last_event_id: bytes,
    resumes: bytes,
) -> bytes:
    """Return the head of a request that is passed on to another instance.

    :param attempts: how many replicas it was sent to before.
    :param resumes: the request that the stream began with, if there is a
        ``last_event_id``.
    """
    lines = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        if name not in (_LAST_EVENT_ID, _RESUMES):
            lines += [name, b": ", value, b"\r\n"]
    lines.append(b"x-deadline-ms: %d\r\n" % left_ms)
    lines.append(b"%b: %d\r\n" % (_RELAYED_ATTEMPTS, attempts))
    if request.account:
        account = request.account.encode()
        lines.append(b"%b: %b\r\n" % (_RELAYED_ACCOUNT, account))
        # An instance of a build without accounts forwards it to the replica.
        lines.append(b"%b: %b\r\n" % (_TENANT, account))
    if last_event_id:
        lines.append(b"last-event-id: %b\r\n" % last_event_id)
        if resumes:
            lines.append(b"%b: %b\r\n" % (_RESUMES, resumes))
    lines.append(b"content-length: %d\r\n\r\n" % len(request.body))
    return b"".join(lines)


def decode_relayed_attempts(headers: _types.Headers) -> int | None:
    """Return how many replicas another instance sent a request to.

    None if it was not passed on by another instance.
    """
    return _bounded_int(dict(headers).get(_RELAYED_ATTEMPTS))


def decode_relayed_account(headers: _types.Headers) -> str:
    """Return the account under which another instance admitted a request.

    Empty if it has none. Only to be used on the port for instances.
    """
    value = dict(headers).get(_RELAYED_ACCOUNT, b"")
    return value.decode("utf-8", "replace")


def decode_response_head(status: int, headers: _types.Headers) -> ResponseHead:
    """Decode the head of a replica's response; names may be in any case."""
    by_name = {name.lower(): value for name, value in headers}
    dropped = _HOP_BY_HOP_HEADERS | _named_by_connection(by_name)
    content_length = _bounded_int(by_name.get(b"content-length"))
    return ResponseHead(
        status=status,
        headers=[(n, v) for n, v in headers if n.lower() not in dropped],
        request_id=by_name.get(_REQUEST_ID, b""),
        from_replica=_RESPONSE_SEAL in by_name,
        not_run=_NOT_EXECUTED in by_name or status == 421,
        load=_load_report(by_name.get(_SERVER_LOAD, b"")),
        rate_limit=_stated_number(headers, _SERVER_LIMIT),
        max_rejections=_stated_number(headers, _SERVER_BRITTLE),
        announcement=decode_announcement(status, headers),
        closes_connection=b"close" in by_name.get(b"connection", b"").lower(),
        keep_alive_ms=_keep_alive_ms(by_name.get(b"keep-alive", b"")),
        chunked=b"chunked" in by_name.get(b"transfer-encoding", b"").lower(),
        content_length=content_length,
        may_be_event_stream=by_name.get(b"content-type", _EVENT_STREAM)
        .strip()
        .lower()
        .startswith(_EVENT_STREAM),
    )


def decode_announcement(
    status: int, headers: _types.Headers
) -> _types.Announcement:
    """Decode what a replica's response says of its availability.

    Any value but 0 says that it is leaving: a replica that doesn't leave
    doesn't send the header.
    """
    leaving = any(
        name.lower() == _SERVER_LEAVING and value.strip() != b"0"
        for name, value in headers
    )
    return _types.Announcement(
        leaving, _back_off_ms(headers) if status == _UNAVAILABLE else None
    )


def refusal_headers(retry_after_ms: int | None) -> _types.Headers:
    """Return the headers of a refusal that this process answers itself.

    ``Retry-After`` is in seconds with three decimals.
    """
    headers = [(b"content-type", b"text/plain")]
    if retry_after_ms is not None:
        seconds = b"%.3f" % (retry_after_ms / 1000)
        headers.append((b"retry-after", seconds))
    return headers


def _named_by_connection(by_name: dict[bytes, bytes]) -> set[bytes]:
    """Return the header names that the Connection header lists.

    They are hop-by-hop too.
    """
    names = by_name.get(b"connection", b"").lower().split(b",")
    return {name.strip() for name in names}


def _host(value: bytes) -> str:
    """Return a host name in lower case and without its port."""
    host = value.decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdecimal() else host


def _bounded_int(value: bytes | None) -> int | None:
    """Return a number, cut off at the bound; None if it is not digits."""
    if value is None or not value.isdigit():
        return None
    # int() raises ValueError for over 4,300 digits.
    if len(value.lstrip(b"0")) > _MAX_HEADER_DIGITS:
        return _MAX_HEADER_NUMBER
    return min(int(value[-_MAX_HEADER_DIGITS:]), _MAX_HEADER_NUMBER)


def _milliseconds(value: bytes | None) -> int | None:
    """Return a number that may have a fraction, rounded down; else None."""
    if value is None or not _DECIMAL_NUMBER.fullmatch(value):
        return _bounded_int(value)
    return min(int(float(value)), _MAX_HEADER_NUMBER)


def _token_counts(value: bytes) -> tuple[int, int]:
    """Return the prompt and output tokens of ``1460,80``; 0 when unknown.

    Further fields are ignored.
    """
    prompt, output, *_ = [*value.split(b","), b""]
    return _bounded_int(prompt.strip()) or 0, _bounded_int(output.strip()) or 0


def _has_token_counts(value: bytes) -> bool:
    """Whether both numbers of tokens are stated."""
    prompt, _, output = value.partition(b",")
    return prompt.strip().isdigit() and output.strip().isdigit()


def _prefix_blocks(value: bytes) -> tuple[_types.PrefixBlock, ...]:
    """Return the blocks of ``5c1e:800,91bd:410``, each a key and its tokens.

    Further fields of an entry are ignored; entries of another form are left
    out.
    """
    prefix_blocks = []
    for entry in value.decode("latin-1").split(","):
        key, tokens, *_ = [*entry.strip().split(":"), ""]
        count = _bounded_int(tokens.encode("latin-1"))
        if key and count is not None:
            prefix_blocks.append(_types.PrefixBlock(key, count))
    return tuple(prefix_blocks)


def _load_report(value: bytes) -> _types.LoadReport | None:
    """Return the load of ``running,waiting,slots``; None if malformed.

    Fractions, as of averages, are rounded up to whole requests, and down to
    whole slots. Some replicas state their service time in percent after
    these. Further fields are ignored, so that replicas may add some.
    """
    fields = [field.strip() for field in value.split(b",")]
    counts = fields[:3]
    if len(counts) != 3 or not all(map(_DECIMAL_NUMBER.fullmatch, counts)):
        return None
    running, waiting, slots = map(float, counts)
    percent = None
    if len(fields) > 3 and _DECIMAL_NUMBER.fullmatch(fields[3]):
        # 0 is no service time.
        percent = float(fields[3]) or None
    return _types.LoadReport(
        math.ceil(running), math.ceil(waiting), math.floor(slots), percent
    )


def _stated_number(
    headers: _types.Headers, name: bytes
) -> _types.StatedNumber:
    """Return the number that a header states.

    Of several the lowest counts, and those that aren't plain decimal numbers
    are left out.
    """
    fields = [
        field.strip()
        for header, value in headers
        if header.lower() == name
        for field in value.split(b",")
    ]
    numbers = [float(f) for f in fields if _DECIMAL_NUMBER.fullmatch(f)]
    if numbers:
        return min(numbers)
    return _types.Unstated.UNREADABLE if fields else _types.Unstated.ABSENT


def _back_off_ms(headers: _types.Headers) -> int | None:
    """Return the longest time of the Retry-After headers, rounded up.

    It is in seconds, or a date, which is compared with this machine's time.
    Of a malformed or negative value nothing follows.
    """
    times = [
        ms
        for name, value in headers
        if name.lower() == _RETRY_AFTER
        for ms in map(_duration_ms, _split_times(value))
        if ms is not None
    ]
    return max(times, default=None)


def _split_times(value: bytes) -> list[bytes]:
    """Return the times in a header; a date has a comma of its own."""
    return [value] if _DATE.search(value) else value.split(b",")


def _duration_ms(value: bytes) -> int | None:
    """Return a duration in seconds, or the time until a date, in ms."""
    text = value.strip().decode("latin-1")
    try:
        if _DATE.search(value):
            until = email.utils.parsedate_to_datetime(text)
            seconds = until.timestamp() - time.time()
        else:
            seconds = float(text.replace("_", "?"))
    except (ValueError, OverflowError):
        return None
    if math.isnan(seconds) or seconds < 0:
        return None
    return math.ceil(min(1000 * seconds, _MAX_BACK_OFF_MS))


def _keep_alive_ms(value: bytes) -> int | None:
    """Return the timeout of a Keep-Alive header, which is in seconds."""
    for field in value.lower().split(b","):
        name, _, seconds = field.strip().partition(b"=")
        if name == b"timeout" and _DECIMAL_NUMBER.fullmatch(seconds):
            return math.floor(1000 * float(seconds))
    return None
