"""What an emulated site consists of."""

from __future__ import annotations

import typing

from geraniumlink import _settings
from geraniumlink.serving import _types

SERVICE = "assistant"
HOST = "shop.example"


class EngineSpec(typing.NamedTuple):
    """How fast an engine works, and what it has room for.

    The defaults describe one accelerator with models of 70 thousand million
    parameters, as the users' deployments state theirs.
    """

    slots: int = 64
    max_waiting: int = 192
    kv_cache_tokens: int = 130_000
    # A batch makes a token for each of its requests in this time.
    decode_step_ms: float = 6.8
    decode_step_ms_per_request: float = 0.034
    prefill_tokens_per_ms: float = 22.1
    # At most so many prompt tokens are read between two steps.
    prefill_chunk_tokens: int = 1024
    # Tokens in one event of a stream.
    tokens_per_event: int = 6
    max_resident_models: int = 3
    # Models with a copy in the engine's memory or on its disk.
    max_local_models: int = 8
    adapter_slots: int = 5
    report_lag_ms: float = 100.0


class TrafficClass(typing.NamedTuple):
    """Requests of one kind; each has a route of its own."""

    name: str
    priority: int
    target_ms: int
    timeout_ms: int
    # Share of all requests.
    share: float
    # Means of geometric distributions.
    prompt_tokens: int
    output_tokens: int


def model_names(count: int) -> tuple[str, ...]:
    """Return names of models."""
    return tuple(f"m{number}" for number in range(count))


class Site(typing.NamedTuple):
    """Machines, models and traffic."""

    instances: int = 8
    engines: int = 9
    # The most asked for first, where demand is generated.
    models: tuple[str, ...] = model_names(39)
    # Of each model.
    adapters: int = 6
    data_centres: tuple[str, ...] = ("a", "b", "c")
    engine: EngineSpec = EngineSpec()
    load_ms: float = 4000.0
    local_load_ms: float = 800.0
    loads_per_s: float = 2.0
    classes: tuple[TrafficClass, ...] = (
        TrafficClass("search", 0, 500, 4000, 0.5, 1400, 60),
        TrafficClass("report", 1, 1000, 8000, 0.3, 2400, 120),
        TrafficClass("batch", 2, 2000, 12_000, 0.2, 2400, 200),
    )


# Room for one model, in the configuration's unit.
MODEL_MB = 70_000.0
_ADAPTER_MB = 60.0
# Room for adapters beside the models.
_ADAPTERS_MB = 20_000.0


def path_prefix(traffic: TrafficClass) -> str:
    """Return the path prefix of a class of traffic."""
    return f"/{traffic.name}/"


def make_configuration(site: Site) -> _types.Configuration:
    """Return the configuration that the site's instances have in force."""
    models = {
        name: _types.Model(
            name, MODEL_MB, site.load_ms, site.local_load_ms, _ADAPTER_MB
        )
        for name in site.models
    }
    engine = _types.Engine(
        site.engine.slots,
        site.engine.kv_cache_tokens,
        MODEL_MB * site.engine.max_resident_models + _ADAPTERS_MB,
        site.engine.adapter_slots,
        site.loads_per_s,
        models,
    )
    return _types.Configuration(
        version=1,
        routes=tuple(_make_route(traffic) for traffic in site.classes),
        services={SERVICE: _types.Service(SERVICE, 370, engine)},
        limits=_types.ClientLimits(8192, 1_000_000, 1000, 5000),
    )


def _make_route(traffic: TrafficClass) -> _types.Route:
    return _types.Route(
        name=traffic.name,
        host=HOST,
        path_prefix=path_prefix(traffic),
        kind=_types.RouteKind.STREAM,
        timeout_ms=traffic.timeout_ms,
        target_ms=traffic.target_ms,
        gap_target_ms=300,
        priority=traffic.priority,
        shares=(_types.Share(SERVICE, 1),),
        max_attempts=3,
        resumable=True,
    )


def engine_address(number: int) -> _settings.Address:
    """Return where an engine is reached."""
    return _settings.Address(f"10.1.0.{number + 1}", 8000)


def instance_address(number: int) -> _settings.Address:
    """Return where an instance is reached by the others."""
    return _settings.Address(f"10.2.{number // 250}.{number % 250 + 1}", 7000)
