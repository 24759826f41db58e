"""Data types of the request path, independent of any wire format."""

from __future__ import annotations

import enum
import typing

from geraniumlink import _settings

if typing.TYPE_CHECKING:
    from geraniumlink.serving import _accounts

Headers = list[tuple[bytes, bytes]]
# Models in a replica's accelerator memory, each with its resident adapters.
Residents = dict[str, frozenset[str]]


class RouteKind(enum.Enum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "may run more than once"
    ONCE = "runs at most once for each attempt of the client"
    STREAM = "events; runs once unless it can be resumed"


class Unstated(enum.Enum):
    """Why a response states no number in a header."""

    ABSENT = "the header is absent"
    UNREADABLE = "the header holds no number"


StatedNumber = float | Unstated


class NoKey(enum.Enum):
    """Why a request has no API key; the values appear in log lines."""

    ABSENT = "it has no key"
    MALFORMED = "its credential is malformed"


# The digest of the API key that a client sent, if it sent one.
Credential = bytes | NoKey


class Share(typing.NamedTuple):
    """A service and its relative weight in a route's traffic split."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Which requests go to which services, with their time limits."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    # Latency within which an answer keeps its full value.
    target_ms: int
    # Longest gap between two events of a stream that is still on time; 0 if
    # none is declared.
    gap_target_ms: int
    # 0 is the most urgent.
    priority: int
    shares: tuple[Share, ...]
    # Replicas on which one client request may run, one after another.
    max_attempts: int
    # Whether another replica can continue a stream after a given event.
    resumable: bool
    # Whether requests on it need no API key. Without accounts none does.
    public: bool = False

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
    """A model that the operator declared."""

    name: str
    # Weights without adapters.
    size_mb: float
    # Load time from the weight store, with nothing else being loaded.
    load_ms: float
    # Load time from a copy in the replica's main memory or on its disk,
    # whichever takes longer.
    local_load_ms: float
    # Size of each of its adapters.
    adapter_mb: float
    # Names of its adapters.
    adapters: tuple[str, ...] = ()


class Engine(typing.NamedTuple):
    """Capacity of each replica of a model service, and its models."""

    # Requests that can run at once.
    slots: int
    # Tokens that the key-value cache holds.
    kv_tokens: int
    # Memory for model weights.
    weights_mb: float
    # Adapters that can be resident at once.
    adapter_slots: int
    # Loads that the weight store sustains, for all replicas together.
    loads_per_s: float
    models: dict[str, Model]


class Service(typing.NamedTuple):
    """A group of replicas; ``engine`` is None if it serves no models."""

    name: str
    # Declared upper bound on connections from all instances to one replica;
    # not enforced here.
    max_connections: int
    engine: Engine | None


class ClientLimits(typing.NamedTuple):
    """Limits on the size and the duration of a client's request."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(typing.NamedTuple):
    """How much of its unit an account may use."""

    # Above 0.
    rate_per_s: float
    # What may be used at once, after a time without use; 0 if not declared.
    burst: float
    unit: QuotaUnit
    # Tokens charged for a request that states none.
    plain_tokens: int


class ClientAccount(typing.NamedTuple):
    """An account under which clients send requests."""

    name: str
    # Of its API keys, as ``_accounts.digest_key`` returns them.
    key_digests: frozenset[bytes]
    # Replaces that of the route; None if it has none of its own.
    priority: int | None
    # None if it is unlimited.
    quota: Quota | None

    def __repr__(self) -> str:
        return f"ClientAccount({self.name!r})"


class Configuration(typing.NamedTuple):
    """The operator's declarations; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    # None if no accounts are configured, so that no request needs a key.
    accounts: _accounts.Accounts | None = None


class ReplicaEntry(typing.NamedTuple):
    """A replica's registration in the platform's store."""

    name: str
    service: str
    address: _settings.Address
    data_centre: str
    # Requests that it can run at once.
    slots: int
    # It drains: it ends soon and takes no new requests.
    leaving: bool
    # Only compared: tells apart successive processes with the same name.
    started_at: int
    residents: Residents
    # Version of the replica's software, not of its weights.
    software_version: str = ""


class ReplicaReport(typing.NamedTuple):
    """A replica's own report on its models and adapters."""

    started_at: int
    residents: Residents
    # A model is being loaded or unloaded.
    busy: bool
    # Orders (to load or unload) accepted since the replica started.
    order_count: int
    # Models with a copy in its main memory or on its disk, resident or not.
    local_models: frozenset[str]
    # Adapters that are being loaded, as (model, adapter).
    adapters_loading: frozenset[tuple[str, str]] = frozenset()


class PrefixBlock(typing.NamedTuple):
    """A block of a prompt's prefix, which other prompts may share.

    Engines cache the blocks that they have read; the key identifies a
    block's content.
    """

    key: str
    tokens: int


class Request(typing.NamedTuple):
    """A request as a client sent it."""

    id: bytes
    method: bytes
    # Path and query as sent.
    target: bytes
    host: str
    # The headers that are forwarded, in their original order.
    headers: Headers
    body: bytes
    # In ms of this instance's monotonic clock.
    received_at: int
    # How long the client waits for the answer; None if it did not say.
    client_timeout_ms: int | None
    # Empty for a plain service.
    model: str
    # Empty when the model runs without an adapter.
    adapter: str
    # Length of the prompt, and of the output, as the client stated them.
    prompt_tokens: int
    output_tokens: int
    # From the start of the prompt.
    prefix_blocks: tuple[PrefixBlock, ...]
    # Id of the event after which the client resumes a stream; empty when it
    # starts one.
    last_event_id: bytes
    # Id of the request that the stream began with, when the client resumes
    # it; empty otherwise, and when the client did not say.
    resumes: bytes = b""
    # How many replicas another instance had sent it to before it passed it
    # on; None if a client sent it here.
    relayed_attempts: int | None = None
    # Name of the account under which it is served; empty if it has none.
    account: str = ""
    # Whether the client stated the numbers of tokens.
    has_token_usage: bool = False

    @property
    def is_relayed(self) -> bool:
        """Whether another instance passed it on."""
        return self.relayed_attempts is not None


class Announcement(typing.NamedTuple):
    """What a replica says of its availability with a response."""

    # Whether it ends soon and takes no new requests.
    leaving: bool
    # For how long it wants no more requests from this instance, as it turned
    # one away; None if it did not say.
    back_off_ms: int | None


class LoadReport(typing.NamedTuple):
    """The load that a replica stated with a response."""

    # Requests that run, requests that wait, and requests that can run at
    # once. Log lines list them in this order.
    running: int
    waiting: int
    slots: int
    # Its current service time in percent of the usual one; None if it did
    # not say.
    service_time_percent: float | None = None

    @property
    def has_room(self) -> bool:
        """Whether there is a free slot, so that a request need not wait."""
        return not self.waiting and self.running < self.slots
