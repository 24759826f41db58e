"""What the request path works on, whatever interface it came by."""

from __future__ import annotations

import enum
import typing

from geraniumlink import _settings

Headers = list[tuple[bytes, bytes]]
# Resident models, each with its resident adapters.
Residents = dict[str, frozenset[str]]


class RouteKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "may run more than once"
    ONCE = "runs at most once for each attempt of the client"
    STREAM = "events; runs once unless it can be resumed"


class Share(typing.NamedTuple):
    """A service's part of a route's traffic."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Which requests go to which services, and how."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    # Answered within this, a request has its full worth.
    target_ms: int
    # Longest pause between events of a stream in time.
    gap_target_ms: int
    # 0 is the most urgent.
    priority: int
    shares: tuple[Share, ...]
    # Replicas that one attempt of a client may be sent to.
    max_attempts: int
    resumable: bool

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.STREAM:
                return self.resumable
            case RouteKind.ONCE:
                return False


class Model(typing.NamedTuple):
    """A declared model."""

    name: str
    size_mb: float
    # From the weight store, with nothing else being loaded.
    load_ms: float
    # From a copy in the replica's own memory or on its disk.
    local_load_ms: float
    adapter_mb: float


class Engine(typing.NamedTuple):
    """What each replica of a model service has room for."""

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    # From the weight store, over all replicas.
    loads_per_s: float
    models: dict[str, Model]


class Service(typing.NamedTuple):
    """A group of replicas; a plain service has no engine."""

    name: str
    # From all instances to one replica.
    max_connections: int
    engine: Engine | None


class ClientLimits(typing.NamedTuple):
    """What a client may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Configuration(typing.NamedTuple):
    """What the operator declared; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits


class ReplicaEntry(typing.NamedTuple):
    """A replica as it is registered."""

    name: str
    service: str
    address: _settings.Address
    data_centre: str
    slots: int
    leaving: bool
    # Tells incarnations apart that have one name.
    started_at: int
    residents: Residents


class ReplicaReport(typing.NamedTuple):
    """A replica's own account of what it holds."""

    started_at: int
    residents: Residents
    # A model is being loaded or unloaded.
    busy: bool
    # Orders accepted since the replica started.
    order_count: int
    # Models with a copy in its own memory or on its disk, resident or not.
    local_models: frozenset[str]
    # Adapters on their way there, each after its model.
    adapters_loading: frozenset[tuple[str, str]] = frozenset()


class PrefixBlock(typing.NamedTuple):
    """A part of a prompt that other requests may share."""

    key: str
    tokens: int


class Request(typing.NamedTuple):
    """A request as a client sent it."""

    id: bytes
    method: bytes
    # Path and query as sent.
    target: bytes
    host: str
    # What is passed on, in the order in which it came.
    headers: Headers
    body: bytes
    received_at: int
    # Time that the client waits; None when it did not say.
    client_timeout_ms: int | None
    # Empty for a plain service.
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[PrefixBlock, ...]
    # The event after which a client resumes a stream; empty when it doesn't.
    last_event_id: bytes


class LoadReport(typing.NamedTuple):
    """A replica's load as it stated with an answer."""

    running: int
    waiting: int
    slots: int

    @property
    def has_room(self) -> bool:
        """Whether a request could begin at once, as far as slots go."""
        return not self.waiting and self.running < self.slots
