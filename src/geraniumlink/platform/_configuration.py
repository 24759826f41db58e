"""Decodes the operator's configuration."""

from __future__ import annotations

import typing

from geraniumlink.platform import _fields
from geraniumlink.serving import _types

KIND = "config"
NAME = "main"


def decode_configuration(spec: typing.Any) -> _types.Configuration:
    """Decode the stored configuration.

    :raises _fields.FormatError: naming the field that is missing or wrong.
    """
    services = [_service(entry) for entry in _fields.array(spec, "services")]
    routes = [_route(entry) for entry in _fields.array(spec, "routes")]
    return _types.Configuration(
        version=_fields.integer(spec, "version"),
        routes=tuple(routes),
        services={service.name: service for service in services},
        limits=_limits(_fields.mapping(spec, "limits")),
    )


def _route(entry: typing.Any) -> _types.Route:
    return _types.Route(
        name=_fields.string(entry, "name", ""),
        host=_fields.string(entry, "host").lower(),
        path_prefix=_fields.string(entry, "path_prefix"),
        kind=_kind(_fields.string(entry, "kind")),
        timeout_ms=_fields.integer(entry, "timeout_ms"),
        target_ms=_fields.integer(entry, "target_latency_ms", 1000),
        gap_target_ms=_fields.integer(entry, "gap_target_ms", 0),
        priority=_fields.integer(entry, "priority", 0),
        shares=_shares(entry),
        max_attempts=max(1, _fields.integer(entry, "max_attempts", 1)),
        resumable=_fields.boolean(entry, "resumable", False),
    )


def _kind(word: str) -> _types.RouteKind:
    match word:
        case "safe":
            return _types.RouteKind.IDEMPOTENT
        case "stream":
            return _types.RouteKind.STREAM
        case "unsafe":
            return _types.RouteKind.ONCE
        case _:
            raise _fields.FormatError(f"kind is {word!r}")


def _shares(entry: dict[str, typing.Any]) -> tuple[_types.Share, ...]:
    """Return the services of a route, whether it is split or not."""
    if "traffic_split" not in entry:
        return (_types.Share(_fields.string(entry, "service"), 1),)
    return tuple(
        _types.Share(
            _fields.string(share, "service"), _fields.number(share, "weight")
        )
        for share in _fields.array(entry, "traffic_split")
    )


def _service(entry: typing.Any) -> _types.Service:
    engine = entry.get("engine") if isinstance(entry, dict) else None
    return _types.Service(
        name=_fields.string(entry, "name"),
        max_connections=_fields.integer(entry, "max_connections", 100),
        engine=_engine(engine) if engine else None,
    )


def _engine(entry: typing.Any) -> _types.Engine:
    models = [_model(model) for model in _fields.array(entry, "models")]
    return _types.Engine(
        slots=_fields.integer(entry, "slots"),
        kv_tokens=_fields.integer(entry, "kv_capacity_tokens"),
        weights_mb=_fields.number(entry, "weights_mb"),
        adapter_slots=_fields.integer(entry, "adapter_slots", 0),
        loads_per_s=_fields.number(entry, "loads_per_s", 1.0),
        models={model.name: model for model in models},
    )


def _model(entry: typing.Any) -> _types.Model:
    return _types.Model(
        name=_fields.string(entry, "name"),
        size_mb=_fields.number(entry, "weights_mb"),
        load_ms=1000 * _fields.number(entry, "load_s"),
        local_load_ms=_near_load_ms(entry),
        adapter_mb=_fields.number(entry, "adapter_mb", 0.0),
    )


def _near_load_ms(entry: typing.Any) -> float:
    """Return the longer of the times from memory and from disk."""
    load_s = _fields.number(entry, "load_s")
    warm_s = _fields.number(entry, "warm_s", load_s)
    return 1000 * max(warm_s, _fields.number(entry, "disk_s", load_s))


def _limits(entry: dict[str, typing.Any]) -> _types.ClientLimits:
    return _types.ClientLimits(
        max_header_bytes=_fields.integer(entry, "max_header_bytes"),
        max_body_bytes=_fields.integer(entry, "max_body_bytes"),
        header_timeout_ms=_fields.integer(entry, "header_timeout_ms"),
        idle_timeout_ms=_fields.integer(entry, "idle_timeout_ms"),
    )
