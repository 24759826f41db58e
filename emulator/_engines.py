"""An emulated inference engine: batching, KV cache, models and adapters.

Running requests form a batch, and each step generates one token for every
request whose prompt is processed. Prompts are processed in chunks, one for
each step. Cached prefix blocks are not processed again; the least recently
used are evicted. When the KV cache is full, the newest of the least urgent
requests is preempted and waits again. Orders load and unload models and
adapters.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import itertools
import typing

from emulator import _sites
from geraniumlink.serving import _types

# Time to load an adapter.
_ADAPTER_LOAD_MS = 10.0
_arrival_numbers = itertools.count()


class EngineRequest:
    """A request on an engine, waiting or running."""

    def __init__(
        self,
        request: _types.Request,
        priority: int,
        on_tokens: Callable[[int, bool], None],
        on_refused: Callable[[], None],
    ) -> None:
        self.client_request = request
        # A smaller number is more urgent.
        self.priority = priority
        # Called with the number of tokens generated so far, and whether
        # the last of them completes the response.
        self.on_tokens = on_tokens
        # Called if the request is refused while it waits.
        self.on_refused = on_refused
        self.arrival_number = next(_arrival_numbers)
        # A resumed stream continues after the last event received; its id is
        # the number of tokens generated up to it.
        self.generated_tokens = int(request.last_event_id or b"0")
        self.prefill_tokens_left = 0

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """Sort key of admission; the greatest is preempted first."""
        return (self.priority, self.arrival_number)

    @property
    def kv_cache_tokens(self) -> int:
        """Tokens that the request occupies in the KV cache."""
        return self.client_request.prompt_tokens + self.generated_tokens

    @property
    def is_complete(self) -> bool:
        return self.generated_tokens >= self.client_request.output_tokens


class OrderReply(typing.NamedTuple):
    """Whether an order is accepted, and already in effect."""

    accepted: bool
    already_satisfied: bool


class Engine:
    """One emulated engine; call its methods on the event loop only."""

    def __init__(
        self,
        number: int,
        spec: _sites.EngineSpec,
        site: _sites.Site,
        models: list[str],
        local_models: list[str],
    ) -> None:
        self.name = f"e{number}"
        self.address = _sites.engine_address(number)
        self.data_centre = site.data_centres[number % len(site.data_centres)]
        self.spec = spec
        # Constant, since an emulated engine never restarts.
        self.started_at = 1
        self.running: list[EngineRequest] = []
        self.waiting: list[EngineRequest] = []
        # Model loads started, and those of models without a local copy.
        self.load_count = 0
        self.store_loads = 0
        # Accepted orders that were not already satisfied.
        self.order_count = 0
        self.model_change_in_progress = False
        self.prefill_tokens = 0
        self.preemptions = 0
        self._site = site
        # The resident adapters of each resident model.
        self._models: dict[str, set[str]] = {model: set() for model in models}
        # Used as an ordered set: the most recently loaded is last.
        self._local_models = dict.fromkeys([*local_models, *models])
        self._unloading_model: str | None = None
        # Tokens by model, adapter and block key; the most recently used is
        # last.
        self._prefix_cache: collections.OrderedDict[
            tuple[str, str, str], int
        ] = collections.OrderedDict()
        self._step_scheduled = False
        self._loop = asyncio.get_running_loop()

    @property
    def residents(self) -> _types.Residents:
        """The resident models, each with its resident adapters."""
        return {
            model: frozenset(adapters)
            for model, adapters in self._models.items()
        }

    @property
    def local_models(self) -> frozenset[str]:
        return frozenset(self._local_models)

    def report(self) -> _types.ReplicaReport:
        return _types.ReplicaReport(
            self.started_at,
            self.residents,
            self.model_change_in_progress,
            self.order_count,
            self.local_models,
        )

    def registry_entry(self) -> _types.ReplicaEntry:
        """Return the entry with which the engine registers in the store."""
        return _types.ReplicaEntry(
            self.name,
            _sites.SERVICE,
            self.address,
            self.data_centre,
            self.spec.slots,
            False,
            self.started_at,
            self.residents,
        )

    # Requests.

    def is_missing(self, model: str, adapter: str) -> bool:
        """Whether the model or the requested adapter is not resident."""
        adapters = self._models.get(model)
        return adapters is None or bool(adapter and adapter not in adapters)

    def is_refusing(self, model: str) -> bool:
        """Whether the queue is full or the model is being unloaded."""
        full = len(self.waiting) >= self.spec.max_waiting
        return full or model == self._unloading_model

    def submit(self, request: EngineRequest) -> None:
        self.waiting.append(request)
        self._schedule_step()

    def cancel(self, request: EngineRequest) -> None:
        """Remove a request whose client has disconnected."""
        for queue in (self.running, self.waiting):
            if request in queue:
                queue.remove(request)

    def _schedule_step(self) -> None:
        if not self._step_scheduled:
            self._step_scheduled = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        """Start a step, or stop stepping if no request runs."""
        self._admit()
        if not self.running:
            self._step_scheduled = False
            return
        read = self._run_prefill()
        decoding = [
            request
            for request in self.running
            if not request.prefill_tokens_left
        ]
        spec = self.spec
        took_ms = (
            spec.decode_step_ms
            + spec.decode_step_ms_per_request * len(decoding)
            + read / spec.prefill_tokens_per_ms
        )
        self._loop.call_later(took_ms / 1000, self._end_step, decoding)

    def _end_step(self, decoding: list[EngineRequest]) -> None:
        """Add a token to each decoding request and start the next step."""
        for request in decoding:
            if request not in self.running:
                continue
            request.generated_tokens += 1
            first = request.generated_tokens == 1
            if (
                first
                or request.is_complete
                or request.generated_tokens % self.spec.tokens_per_event == 0
            ):
                request.on_tokens(
                    request.generated_tokens, request.is_complete
                )
            if request.is_complete:
                self.running.remove(request)
        self._preempt()
        self._step()

    def _admit(self) -> None:
        """Admit waiting requests while slots and the KV cache have room.

        A request is admitted whatever its size if no other one runs.
        """
        self.waiting.sort(key=lambda request: request.scheduling_key)
        used = self._kv_cache_tokens_in_use()
        while self.waiting and len(self.running) < self.spec.slots:
            request = self.waiting[0]
            if (
                self.running
                and used + request.kv_cache_tokens > self.spec.kv_cache_tokens
            ):
                return
            self.waiting.pop(0)
            request.prefill_tokens_left = max(
                1,
                request.kv_cache_tokens
                - self._update_prefix_cache(request.client_request),
            )
            self.prefill_tokens += request.prefill_tokens_left
            self.running.append(request)
            used += request.kv_cache_tokens
            self._evict_prefixes(used)

    def _run_prefill(self) -> int:
        """Process one chunk, most urgent prompts first; return its tokens."""
        left = self.spec.prefill_chunk_tokens
        for request in sorted(
            self.running, key=lambda request: request.scheduling_key
        ):
            chunk = min(request.prefill_tokens_left, left)
            request.prefill_tokens_left -= chunk
            left -= chunk
        return self.spec.prefill_chunk_tokens - left

    def _preempt(self) -> None:
        """Preempt requests until the rest fits the KV cache."""
        while (
            len(self.running) > 1
            and self._kv_cache_tokens_in_use() > self.spec.kv_cache_tokens
        ):
            last = max(
                self.running, key=lambda request: request.scheduling_key
            )
            self.running.remove(last)
            self.waiting.append(last)
            self.preemptions += 1

    def _kv_cache_tokens_in_use(self) -> int:
        return sum(request.kv_cache_tokens for request in self.running)

    def _update_prefix_cache(self, request: _types.Request) -> int:
        """Return the cached tokens of a prompt, and cache all its blocks.

        Only blocks before the first one that is not cached count.
        """
        cached_tokens, prefix_cached = 0, True
        for block in request.prefix_blocks:
            key = (request.model, request.adapter, block.key)
            prefix_cached = prefix_cached and key in self._prefix_cache
            cached_tokens += block.tokens if prefix_cached else 0
            self._prefix_cache[key] = block.tokens
            self._prefix_cache.move_to_end(key)
        return cached_tokens

    def _evict_prefixes(self, used: int) -> None:
        cached = sum(self._prefix_cache.values())
        while self._prefix_cache and used + cached > self.spec.kv_cache_tokens:
            _, tokens = self._prefix_cache.popitem(last=False)
            cached -= tokens

    # Orders.

    def apply_order(
        self, load: bool, model: str, adapter: str, order_count: int
    ) -> OrderReply:
        """Start to load or unload a model or an adapter.

        An order is refused while a model is being loaded or unloaded, and
        if its order count is not the current one: it was then decided on
        an outdated state of the engine.

        :raises RuntimeError: if the engine has no room for what to load.
        """
        if self.model_change_in_progress or order_count != self.order_count:
            return OrderReply(False, False)
        if adapter:
            return self._apply_adapter_order(load, model, adapter)
        if (model in self._models) is load:
            return OrderReply(True, True)
        if load and len(self._models) >= self.spec.max_resident_models:
            raise RuntimeError(
                f"{self.name} was ordered to hold too many models"
            )
        self.order_count += 1
        self.model_change_in_progress = True
        if load:
            self._loop.call_later(
                self._start_model_load(model) / 1000, self._end_load, model
            )
        else:
            self._start_unload(model)
        return OrderReply(True, False)

    def _apply_adapter_order(
        self, load: bool, model: str, adapter: str
    ) -> OrderReply:
        adapters = self._models.get(model)
        if adapters is None:
            return OrderReply(False, False)
        if (adapter in adapters) is load:
            return OrderReply(True, True)
        held = sum(len(each) for each in self._models.values())
        if load and held >= self.spec.adapter_slots:
            raise RuntimeError(
                f"{self.name} was ordered to hold too many adapters"
            )
        self.order_count += 1
        if load:
            self._loop.call_later(
                _ADAPTER_LOAD_MS / 1000, self._end_adapter_load, model, adapter
            )
            return OrderReply(True, False)
        adapters.discard(adapter)
        return OrderReply(True, True)

    def _end_adapter_load(self, model: str, adapter: str) -> None:
        if model in self._models:
            self._models[model].add(adapter)

    def _start_model_load(self, model: str) -> float:
        """Count a model load and return its duration in milliseconds."""
        self.load_count += 1
        if model in self._local_models:
            return self._site.local_load_ms
        self.store_loads += 1
        return self._site.load_ms

    def _end_load(self, model: str) -> None:
        """Make a model resident and keep a local copy of it.

        The least recently loaded copies beyond the limit are deleted.
        """
        self.model_change_in_progress = False
        self._models[model] = set()
        self._local_models.pop(model, None)
        self._local_models[model] = None
        while len(self._local_models) > self.spec.max_local_models:
            del self._local_models[next(iter(self._local_models))]

    def _start_unload(self, model: str) -> None:
        """Refuse waiting requests; unload once the running ones complete."""
        self._unloading_model = model
        refused = [r for r in self.waiting if r.client_request.model == model]
        for request in refused:
            self.waiting.remove(request)
            request.on_refused()
        self._unload_when_idle(model)

    def _unload_when_idle(self, model: str) -> None:
        """Unload a model; while requests run on it, check every 10 ms."""
        if any(
            request.client_request.model == model for request in self.running
        ):
            self._loop.call_later(0.01, self._unload_when_idle, model)
            return
        self._models.pop(model, None)
        self._unloading_model = None
        self.model_change_in_progress = False
