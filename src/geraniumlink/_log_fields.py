"""The types of the fields of log lines; names of fields say the unit."""

from __future__ import annotations

import enum
import typing

from geraniumlink import _log_messages


class Kind(enum.Enum):
    """The JSON type of a field."""

    TEXT = "text"
    WHOLE = "whole number"
    NUMBER = "number"
    FLAG = "true or false"
    TEXTS = "list of texts"
    WHOLES = "list of whole numbers"
    COUNTS = "whole numbers by name"


class Field(typing.NamedTuple):
    """The type of a field, and whether it may be null."""

    kind: Kind
    # Null means that the value is unknown or doesn't apply.
    nullable: bool = False


_TEXT = Field(Kind.TEXT)
_WHOLE = Field(Kind.WHOLE)
_FLAG = Field(Kind.FLAG)
_TEXTS = Field(Kind.TEXTS)
FIELDS: dict[str, Field] = {
    # Empty if the request has none.
    "account": _TEXT,
    # Use of the account's quota a second, by all instances, as the issuer
    # stated it.
    "account_per_s": Field(Kind.NUMBER),
    "accounts": _WHOLE,
    "action": _TEXT,
    "adapter": _TEXT,
    "address": _TEXT,
    "answered": _WHOLE,
    "asked": _WHOLE,
    "attempt": _WHOLE,
    "attempts": _WHOLE,
    "author": _TEXT,
    "backups": _TEXTS,
    "boot_id": _TEXT,
    "burst": Field(Kind.NUMBER),
    "call_ms": Field(Kind.WHOLE, nullable=True),
    "capacity_mb": _WHOLE,
    "change_id": _TEXT,
    "changed": _FLAG,
    "charge_mb": _WHOLE,
    "child": _TEXT,
    "claim": _TEXT,
    "configuration_version": _WHOLE,
    # Null if it never was confirmed, or doesn't matter.
    "confirmed_age_ms": Field(Kind.WHOLE, nullable=True),
    "connections": _WHOLE,
    "controller": _TEXT,
    "cost": Field(Kind.NUMBER),
    "count": _WHOLE,
    "counts": Field(Kind.COUNTS),
    "crashes": _WHOLE,
    "cursor": _WHOLE,
    "data_centre": _TEXT,
    "deployment": _TEXT,
    "deployments": _TEXTS,
    # Objects of the replaced copy that the new one doesn't have.
    "dropped": _WHOLE,
    "duration_ms": _WHOLE,
    "elsewhere_age_ms": Field(Kind.WHOLE, nullable=True),
    "epoch": _WHOLE,
    # Null where the store states none.
    "era": Field(Kind.WHOLE, nullable=True),
    "error": _TEXT,
    # What showed it: era, revision or relay.
    "evidence": _TEXT,
    "evicted": Field(Kind.TEXT, nullable=True),
    "evicted_tokens_per_s": _WHOLE,
    "expected_ms": _WHOLE,
    "failures": Field(Kind.NUMBER),
    "fencing_number": _WHOLE,
    "findings": _TEXTS,
    "fingerprint": _TEXT,
    "found": _TEXT,
    # Null without a valid stored lease.
    "found_epoch": Field(Kind.WHOLE, nullable=True),
    "found_holder": Field(Kind.TEXT, nullable=True),
    "found_version": _WHOLE,
    # What marks the end of a body: length, chunks, or connection.
    "framing": _TEXT,
    "granted": _FLAG,
    "held_bytes": _WHOLE,
    "held_version": _WHOLE,
    "holder": _TEXT,
    "in_flight": _WHOLE,
    "in_flight_elsewhere": Field(Kind.WHOLE, nullable=True),
    "incarnation": _WHOLE,
    "in_time": _WHOLE,
    "instances": _WHOLE,
    # False if another instance was told.
    "is_own": _FLAG,
    "issuer": _TEXT,
    "issuers": _TEXTS,
    "kind": _TEXT,
    "known_era": Field(Kind.WHOLE, nullable=True),
    "known_revision": _WHOLE,
    "kv_tokens": Field(Kind.WHOLE, nullable=True),
    "kv_tokens_elsewhere": Field(Kind.WHOLE, nullable=True),
    "last_event_id": _TEXT,
    "late_ms": _WHOLE,
    "leaving": _FLAG,
    "left_ms": _WHOLE,
    "level": Field(Kind.NUMBER),
    # Null if the replica states no limit.
    "limit_per_s": Field(Kind.NUMBER, nullable=True),
    # Requests running, requests waiting, and capacity, as last stated by the
    # replica.
    # Null if it never was complete.
    "list_age_ms": Field(Kind.WHOLE, nullable=True),
    "load": Field(Kind.WHOLES, nullable=True),
    "load_age_ms": Field(Kind.WHOLE, nullable=True),
    "lost_ms": _WHOLE,
    "max_connections": _WHOLE,
    "max_held_bytes": _WHOLE,
    "max_rejections": Field(Kind.NUMBER, nullable=True),
    "member": _TEXT,
    "messages": _WHOLE,
    "method": _TEXT,
    "missing": _WHOLE,
    "missing_ms": _WHOLE,
    "missed": _WHOLE,
    "model": _TEXT,
    "name": _TEXT,
    "near": _FLAG,
    "newest": _WHOLE,
    "nonce": _TEXT,
    "number": _WHOLE,
    "objects": _WHOLE,
    "order_count": _WHOLE,
    "other_address": _TEXT,
    "outcome": _TEXT,
    "output_tokens": _WHOLE,
    "partial_bytes": _WHOLE,
    "parts": _TEXTS,
    "passed_on": _FLAG,
    "others_in_time": _WHOLE,
    "others_missed": _WHOLE,
    "path": _TEXT,
    "pause_ms": _WHOLE,
    "peer": _TEXT,
    "per_s": Field(Kind.NUMBER, nullable=True),
    "place": _TEXT,
    "previous": Field(Kind.NUMBER, nullable=True),
    "previous_per_s": Field(Kind.NUMBER, nullable=True),
    "previous_version": Field(Kind.WHOLE, nullable=True),
    "priority": _WHOLE,
    "problem": _TEXT,
    "probes": _WHOLE,
    "problems": _WHOLE,
    "prompt_tokens": _WHOLE,
    "quota_per_s": Field(Kind.NUMBER),
    "reason": _TEXT,
    "received_bytes": _WHOLE,
    # Null if a client sent the request here.
    "rejections": _WHOLE,
    "relayed_attempts": Field(Kind.WHOLE, nullable=True),
    "repeats": _WHOLE,
    "replica": _TEXT,
    "replicas": _TEXTS,
    "reply": _TEXT,
    # Null if no issuer has answered yet.
    "reported_age_ms": Field(Kind.WHOLE, nullable=True),
    "request_id": _TEXT,
    "requests": _WHOLE,
    "resident": _TEXTS,
    "response_complete": _FLAG,
    "resumes": _TEXT,
    "revision": _WHOLE,
    "route": _TEXT,
    "routes": _WHOLE,
    "seen": _TEXT,
    "sent_bytes": _WHOLE,
    "serial": _WHOLE,
    "server": _TEXT,
    "service": _TEXT,
    "service_time_percent": Field(Kind.NUMBER, nullable=True),
    "shard": _TEXT,
    # Of an account's use or of requests; null if it isn't known.
    "share": Field(Kind.NUMBER, nullable=True),
    "silent_ms": _WHOLE,
    "size_mb": _WHOLE,
    "smoothed_percent": Field(Kind.WHOLE, nullable=True),
    "software_version": _TEXT,
    "source": _TEXT,
    "standing": _TEXT,
    # Null if the client disconnected before a response.
    "status": Field(Kind.WHOLE, nullable=True),
    "store_answered": Field(Kind.FLAG, nullable=True),
    "tokens_per_s": _WHOLE,
    "took_ms": _WHOLE,
    "verdict": _TEXT,
    "version": _WHOLE,
    "version_in_force": _WHOLE,
    "versions": _TEXTS,
    "wait": _TEXT,
    "wait_ms": _WHOLE,
    "why_final": _TEXT,
    "window_ms": _WHOLE,
    # Null if the order wasn't written.
    "written_after_ms": Field(Kind.WHOLE, nullable=True),
}
# Fields whose type in one message differs from that in ``FIELDS``, by message
# and field.
TYPE_OVERRIDES: dict[tuple[str, str], Field] = {
    ("order", "load"): _FLAG,
    ("stream_resumed", "software_version"): Field(Kind.TEXT, nullable=True),
    ("versions_surveyed", "software_version"): Field(Kind.TEXT, nullable=True),
    ("waiting", "replicas"): _WHOLE,
    # The version of a copy is a text; that of a configuration is a number.
    **{
        (message, "version"): _TEXT
        for message, known in _log_messages.MESSAGES.items()
        if {"fencing_number", "version"} <= set(known.fields)
    },
}


def type_of(message: str, name: str) -> Field:
    """Return the type of a field in a message.

    :raises KeyError: if no message has such a field.
    """
    return TYPE_OVERRIDES.get((message, name), FIELDS[name])


def markdown() -> str:
    """Return the table of fields in ``docs/log-messages.md``."""
    lines = ["| field | type |", "| --- | --- |"]
    lines += [
        f"| `{name}` | {_text_of(field)} |" for name, field in FIELDS.items()
    ]
    lines += [
        f"| `{name}` of `{message}` | {_text_of(field)} |"
        for (message, name), field in TYPE_OVERRIDES.items()
    ]
    return "\n".join(lines) + "\n"


def _text_of(field: Field) -> str:
    return field.kind.value + (" or null" if field.nullable else "")


def is_valid(message: str, name: str, value: object) -> bool:
    """Whether a value, as read from JSON, has the field's type.

    :raises KeyError: if no message has such a field.
    """
    field = type_of(message, name)
    if value is None:
        return field.nullable
    return _CHECKS[field.kind](value)


def _is_text(value: object) -> bool:
    return isinstance(value, str)


def _is_whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: object) -> bool:
    return _is_whole(value) or isinstance(value, float)


def _is_flag(value: object) -> bool:
    return isinstance(value, bool)


def _are_texts(value: object) -> bool:
    return isinstance(value, list) and all(map(_is_text, value))


def _are_wholes(value: object) -> bool:
    return isinstance(value, list) and all(map(_is_whole, value))


def _are_counts(value: object) -> bool:
    return (
        isinstance(value, dict)
        and all(map(_is_text, value))
        and all(map(_is_whole, value.values()))
    )


_CHECKS: dict[Kind, typing.Callable[[object], bool]] = {
    Kind.TEXT: _is_text,
    Kind.WHOLE: _is_whole,
    Kind.NUMBER: _is_number,
    Kind.FLAG: _is_flag,
    Kind.TEXTS: _are_texts,
    Kind.WHOLES: _are_wholes,
    Kind.COUNTS: _are_counts,
}
