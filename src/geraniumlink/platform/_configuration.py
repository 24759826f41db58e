"""Decodes the configuration that the operator stores."""

from __future__ import annotations

import typing

from geraniumlink.platform import _accounts
from geraniumlink.platform import _fields
from geraniumlink.serving import _types

# Kind and name of the object in the metadata store that holds it.
KIND = "config"
NAME = "main"
# Adapters of one model that are known by name, at most.
MAX_NAMED_ADAPTERS = 4096


def decode_configuration(spec: typing.Any) -> _types.Configuration:
    """Decode the stored configuration.

    A malformed account doesn't affect the rest of the configuration.

    :raises _fields.FormatError: naming the first field that is missing or
        invalid.
    """
    if not isinstance(spec, dict):
        # Not quoted: it may have keys.
        raise _fields.FormatError("it is not an object")
    services = [_service(entry) for entry in _fields.array(spec, "services")]
    routes = [_route(entry) for entry in _fields.array(spec, "routes")]
    return _types.Configuration(
        version=_fields.integer(spec, "version"),
        routes=tuple(routes),
        services={service.name: service for service in services},
        limits=_limits(_fields.mapping(spec, "limits")),
        accounts=_accounts.decode_accounts(spec),
    )


def _route(entry: typing.Any) -> _types.Route:
    """Decode a route; the optional fields are those with a default."""
    return _types.Route(
        name=_fields.string(entry, "name", ""),
        host=_fields.string(entry, "host").lower(),
        path_prefix=_fields.string(entry, "path_prefix"),
        kind=_route_kind(_fields.string(entry, "kind")),
        timeout_ms=_fields.floor(entry, "timeout_ms"),
        target_ms=_fields.floor(entry, "target_latency_ms", 1000),
        # Rounded up, as 0 means that none is declared.
        gap_target_ms=_fields.ceiling(entry, "gap_target_ms", 0),
        priority=_fields.floor(entry, "priority", 0),
        shares=_shares(entry),
        max_attempts=max(1, _fields.floor(entry, "max_attempts", 1)),
        resumable=_fields.boolean(entry, "resumable", False),
        # Unlike the other fields it takes effect with accounts only, so a
        # malformed one must not make the configuration invalid.
        public=entry.get("public") is True,
    )


def _route_kind(kind: str) -> _types.RouteKind:
    """Return how often a request of a route may run.

    "safe" requests may run more than once, "unsafe" ones at most once.
    """
    match kind:
        case "safe":
            return _types.RouteKind.IDEMPOTENT
        case "stream":
            return _types.RouteKind.STREAM
        case "unsafe":
            return _types.RouteKind.ONCE
        case _:
            raise _fields.FormatError(
                f"kind is {kind!r}, not safe, unsafe or stream"
            )


def _shares(entry: dict[str, typing.Any]) -> tuple[_types.Share, ...]:
    """Return the services of a route with their weights.

    A route without a traffic split has one service, with weight 1.
    """
    if "traffic_split" not in entry:
        return (_types.Share(_fields.string(entry, "service"), 1),)
    return tuple(
        _types.Share(
            _fields.string(share, "service"), _fields.number(share, "weight")
        )
        for share in _fields.array(entry, "traffic_split")
    )


def _service(entry: typing.Any) -> _types.Service:
    """Decode a service; one without an engine serves no models."""
    engine = entry.get("engine") if isinstance(entry, dict) else None
    return _types.Service(
        name=_fields.string(entry, "name"),
        max_connections=_fields.floor(entry, "max_connections", 100),
        engine=_engine(engine) if engine else None,
    )


def _engine(entry: typing.Any) -> _types.Engine:
    """Decode the capacity of each replica and the models to serve."""
    models = [_model(model) for model in _fields.array(entry, "models")]
    return _types.Engine(
        slots=_fields.integer(entry, "slots"),
        kv_tokens=_fields.floor(entry, "kv_capacity_tokens"),
        weights_mb=_fields.number(entry, "weights_mb"),
        adapter_slots=_fields.integer(entry, "adapter_slots", 0),
        loads_per_s=_fields.number(entry, "loads_per_s", 1.0),
        models={model.name: model for model in models},
    )


def _model(entry: typing.Any) -> _types.Model:
    """Decode a model; the platform's load times are in seconds."""
    return _types.Model(
        name=_fields.string(entry, "name"),
        size_mb=_fields.number(entry, "weights_mb"),
        load_ms=1000 * _fields.number(entry, "load_s"),
        local_load_ms=_local_load_ms(entry),
        adapter_mb=_fields.number(entry, "adapter_mb", 0.0),
        adapters=_adapter_names(entry.get("adapters")),
    )


def _adapter_names(count: typing.Any) -> tuple[str, ...]:
    """Return the names of a model's adapters.

    Adapters without a name here are loaded on request, so a malformed number
    doesn't make the configuration invalid.
    """
    if type(count) is not int:
        return ()
    named = min(count, MAX_NAMED_ADAPTERS)
    return tuple(f"a{number}" for number in range(1, named + 1))


def _local_load_ms(entry: typing.Any) -> float:
    """Return the longer of the load times from memory and from disk.

    Each is that from the weight store if it isn't given. The longer is
    used since ``ReplicaReport.local_models`` doesn't tell the two apart.
    """
    load_s = _fields.number(entry, "load_s")
    warm_s = _fields.number(entry, "warm_s", load_s)
    return 1000 * max(warm_s, _fields.number(entry, "disk_s", load_s))


def _limits(entry: dict[str, typing.Any]) -> _types.ClientLimits:
    """Decode the limits on clients' requests and connections."""
    return _types.ClientLimits(
        max_header_bytes=_fields.floor(entry, "max_header_bytes"),
        max_body_bytes=_fields.floor(entry, "max_body_bytes"),
        header_timeout_ms=_fields.ceiling(entry, "header_timeout_ms"),
        idle_timeout_ms=_fields.ceiling(entry, "idle_timeout_ms"),
    )
