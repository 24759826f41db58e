"""Describes an emulated site: instances, engines, models and traffic."""

from __future__ import annotations

import typing

from geraniumlink import _settings
from geraniumlink.serving import _types

SERVICE = "assistant"
HOST = "shop.example"


class EngineSpec(typing.NamedTuple):
    """An engine's speed and capacity.

    The defaults describe one accelerator that serves models of 70 billion
    parameters, with the figures that users' deployments state.
    """

    # Requests that run at once.
    slots: int = 64
    # Requests that may wait; more are refused.
    max_waiting: int = 192
    # Capacity of the KV cache.
    kv_cache_tokens: int = 130_000
    # A step generates one token for each request; it takes this long, and
    # longer for each request in the batch.
    decode_step_ms: float = 6.8
    decode_step_ms_per_request: float = 0.034
    # Rate at which prompts are processed.
    prefill_tokens_per_ms: float = 22.1
    # Most prompt tokens that are processed in one step.
    prefill_chunk_tokens: int = 1024
    # Tokens in one event of a response stream.
    tokens_per_event: int = 6
    # Models in accelerator memory.
    max_resident_models: int = 3
    # Models with a copy in the host's memory or on its disk.
    max_local_models: int = 8
    # Resident adapters, over all resident models.
    adapter_slots: int = 5
    # Latency of a report to the controller.
    report_lag_ms: float = 100.0


class TrafficClass(typing.NamedTuple):
    """A class of requests with a route of its own."""

    name: str
    # 0 is the most urgent.
    priority: int
    # For the first event.
    target_ms: int
    # Of the client, over all attempts.
    timeout_ms: int
    # Of all requests.
    share: float
    # Means of the generated numbers of tokens.
    prompt_tokens: int
    output_tokens: int


def model_names(count: int) -> tuple[str, ...]:
    """Return names for a number of models."""
    return tuple(f"m{number}" for number in range(count))


class Site(typing.NamedTuple):
    """The inputs of a simulation that do not change while it runs."""

    # Numbers of instances and of engines.
    instances: int = 8
    engines: int = 9
    # By decreasing popularity.
    models: tuple[str, ...] = model_names(39)
    # Number of adapters of each model that has any.
    adapters: int = 6
    # None if all models have adapters.
    models_with_adapters: frozenset[str] | None = None
    data_centres: tuple[str, ...] = ("a", "b", "c")
    engine: EngineSpec = EngineSpec()
    # Time to load a model from the remote store.
    load_ms: float = 4000.0
    # Time to load a model of which the engine has a local copy.
    local_load_ms: float = 800.0
    # Limit on loads from the remote store, over all engines.
    loads_per_s: float = 2.0
    classes: tuple[TrafficClass, ...] = (
        TrafficClass("search", 0, 500, 4000, 0.5, 1400, 60),
        TrafficClass("report", 1, 1000, 8000, 0.3, 2400, 120),
        TrafficClass("batch", 2, 2000, 12_000, 0.2, 2400, 200),
    )


# Memory of one model, in the configuration's unit.
MODEL_MB = 70_000.0
# Memory of one adapter.
_ADAPTER_MB = 60.0
# Memory for all adapters of an engine, beside its models.
_ADAPTERS_MB = 20_000.0


def path_prefix(traffic: TrafficClass) -> str:
    """Return the path prefix of a traffic class's route."""
    return f"/{traffic.name}/"


def make_configuration(site: Site) -> _types.Configuration:
    """Return the configuration that the site's instances run with."""
    models = {
        name: _types.Model(
            name,
            MODEL_MB,
            site.load_ms,
            site.local_load_ms,
            _ADAPTER_MB,
            _adapter_names(site, name),
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


def _adapter_names(site: Site, model: str) -> tuple[str, ...]:
    with_adapters = site.models_with_adapters
    if with_adapters is not None and model not in with_adapters:
        return ()
    return tuple(f"a{number}" for number in range(site.adapters))


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
    """Return the address of an engine."""
    return _settings.Address(f"10.1.0.{number + 1}", 8000)


def instance_address(number: int) -> _settings.Address:
    """Return the address at which other instances reach an instance."""
    return _settings.Address(f"10.2.{number // 250}.{number % 250 + 1}", 7000)
