"""An emulated engine: batches, prompts, KV memory, models and orders.

Running requests share a batch, which makes one token for each in a step;
prompts are read in pieces between steps. Parts of prompts that are kept
are not read again, and the least recently used yield. When memory queue out,
the newest of the least urgent requests is put back.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import itertools
import typing

from emulator import _sites
from geraniumlink.serving import _types

_ADAPTER_LOAD_MS = 10.0
_arrival_numbers = itertools.count()


class EngineRequest:
    """A request at an engine."""

    def __init__(
        self,
        request: _types.Request,
        priority: int,
        on_tokens: Callable[[int, bool], None],
        on_refused: Callable[[], None],
    ) -> None:
        self.client_request = request
        self.priority = priority
        # Called with the tokens made so far, and whether that was the last.
        self.on_tokens = on_tokens
        # Called when it waited and won't be request.
        self.on_refused = on_refused
        self.arrival_number = next(_arrival_numbers)
        self.generated_tokens = int(request.last_event_id or b"0")
        self.prefill_tokens_left = 0

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """The order of admission; the last in it is put back first."""
        return (self.priority, self.arrival_number)

    @property
    def kv_cache_tokens(self) -> int:
        """Tokens that it occupies in KV memory."""
        return self.client_request.prompt_tokens + self.generated_tokens

    @property
    def is_complete(self) -> bool:
        return self.generated_tokens >= self.client_request.output_tokens


class OrderReply(typing.NamedTuple):
    """Whether an order is taken, and whether it already holds."""

    accepted: bool
    already_satisfied: bool


class Engine:
    """One engine; every method is called on the event loop."""

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
        self.started_at = 1
        self.running: list[EngineRequest] = []
        self.waiting: list[EngineRequest] = []
        self.load_count = 0
        self.store_loads = 0
        self.order_count = 0
        self.model_change_in_progress = False
        self.prefill_tokens = 0
        self.preemptions = 0
        self._site = site
        self._models: dict[str, set[str]] = {model: set() for model in models}
        # The most recently held is last.
        self._local_models = dict.fromkeys([*local_models, *models])
        self._unloading_model: str | None = None
        self._prefix_cache: collections.OrderedDict[
            tuple[str, str, str], int
        ] = collections.OrderedDict()
        self._step_scheduled = False
        self._loop = asyncio.get_running_loop()

    @property
    def residents(self) -> _types.Residents:
        """What it holds now."""
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
        """Return what it registers of itself."""
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
        """Whether it holds neither the model nor, if asked, the adapter."""
        adapters = self._models.get(model)
        return adapters is None or bool(adapter and adapter not in adapters)

    def is_refusing(self, model: str) -> bool:
        """Whether it takes no requests for the model now, though it may."""
        full = len(self.waiting) >= self.spec.max_waiting
        return full or model == self._unloading_model

    def submit(self, request: EngineRequest) -> None:
        self.waiting.append(request)
        self._schedule_step()

    def cancel(self, request: EngineRequest) -> None:
        """Drop a request whose client has left."""
        for queue in (self.running, self.waiting):
            if request in queue:
                queue.remove(request)

    def _schedule_step(self) -> None:
        if not self._step_scheduled:
            self._step_scheduled = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
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
        """Read a piece of the most urgent prompts; return its tokens."""
        left = self.spec.prefill_chunk_tokens
        for request in sorted(
            self.running, key=lambda request: request.scheduling_key
        ):
            piece = min(request.prefill_tokens_left, left)
            request.prefill_tokens_left -= piece
            left -= piece
        return self.spec.prefill_chunk_tokens - left

    def _preempt(self) -> None:
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
        """Return the tokens kept of a prompt, and keep all of it now."""
        found, whole = 0, True
        for part in request.prefix_blocks:
            key = (request.model, request.adapter, part.key)
            whole = whole and key in self._prefix_cache
            found += part.tokens if whole else 0
            self._prefix_cache[key] = part.tokens
            self._prefix_cache.move_to_end(key)
        return found

    def _evict_prefixes(self, used: int) -> None:
        kept = sum(self._prefix_cache.values())
        while self._prefix_cache and used + kept > self.spec.kv_cache_tokens:
            _, tokens = self._prefix_cache.popitem(last=False)
            kept -= tokens

    # Orders.

    def apply_order(
        self, load: bool, model: str, adapter: str, order_count: int
    ) -> OrderReply:
        """Take an order that was made for a count of orders."""
        if self.model_change_in_progress or order_count != self.order_count:
            return OrderReply(False, False)
        if adapter:
            return self._apply_adapter_order(load, model, adapter)
        if (model in self._models) is load:
            return OrderReply(True, True)
        if load and len(self._models) >= self.spec.max_resident_models:
            raise RuntimeError(f"{self.name} was ordered to hold too much")
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
            raise RuntimeError(f"{self.name} was ordered too many adapters")
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
        self.load_count += 1
        if model in self._local_models:
            return self._site.local_load_ms
        self.store_loads += 1
        return self._site.load_ms

    def _end_load(self, model: str) -> None:
        self.model_change_in_progress = False
        self._models[model] = set()
        self._local_models.pop(model, None)
        self._local_models[model] = None
        while len(self._local_models) > self.spec.max_local_models:
            del self._local_models[next(iter(self._local_models))]

    def _start_unload(self, model: str) -> None:
        """Unload a model once its queue have ended; begin no others."""
        self._unloading_model = model
        refused = [r for r in self.waiting if r.client_request.model == model]
        for request in refused:
            self.waiting.remove(request)
            request.on_refused()
        self._unload_when_idle(model)

    def _unload_when_idle(self, model: str) -> None:
        if any(
            request.client_request.model == model for request in self.running
        ):
            self._loop.call_later(0.01, self._unload_when_idle, model)
            return
        self._models.pop(model, None)
        self._unloading_model = None
        self.model_change_in_progress = False
