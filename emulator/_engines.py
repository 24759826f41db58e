"""An emulated engine: batches, prompts, KV memory, models and orders.

Running requests share a batch, which makes one token for each in a step;
prompts are read in pieces between steps. Parts of prompts that are kept
are not read again, and the least recently used yield. When memory runs out,
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

_ADAPTER_MS = 10.0
_arrivals = itertools.count()


class Run:
    """A request at an engine."""

    def __init__(
        self,
        request: _types.Request,
        priority: int,
        on_tokens: Callable[[int, bool], None],
        on_refused: Callable[[], None],
    ) -> None:
        self.request = request
        self.priority = priority
        # Called with the tokens made so far, and whether that was the last.
        self.on_tokens = on_tokens
        # Called when it waited and won't be run.
        self.on_refused = on_refused
        self.arrival = next(_arrivals)
        self.made = int(request.last_event_id or b"0")
        self.unread = 0

    @property
    def rank(self) -> tuple[int, int]:
        """The order of admission; the last in it is put back first."""
        return (self.priority, self.arrival)

    @property
    def tokens(self) -> int:
        """Tokens that it occupies in KV memory."""
        return self.request.prompt_tokens + self.made

    @property
    def ended(self) -> bool:
        return self.made >= self.request.output_tokens


class Order(typing.NamedTuple):
    """Whether an order is taken, and whether it already holds."""

    accepted: bool
    holds: bool


class Engine:
    """One engine; every method is called on the event loop."""

    def __init__(
        self,
        number: int,
        spec: _sites.EngineSpec,
        site: _sites.Site,
        models: list[str],
        near: list[str],
    ) -> None:
        self.name = f"e{number}"
        self.address = _sites.engine_address(number)
        self.data_centre = site.data_centres[number % len(site.data_centres)]
        self.spec = spec
        self.started_at = 1
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.loads = 0
        self.store_loads = 0
        self.order_count = 0
        self.moving = False
        self.read_tokens = 0
        self.put_back = 0
        self._site = site
        self._models: dict[str, set[str]] = {model: set() for model in models}
        # The most recently held is last.
        self._near = dict.fromkeys([*near, *models])
        self._closing: str | None = None
        self._kept: collections.OrderedDict[tuple[str, str, str], int] = (
            collections.OrderedDict()
        )
        self._stepping = False
        self._loop = asyncio.get_running_loop()

    @property
    def residents(self) -> _types.Residents:
        """What it holds now."""
        return {
            model: frozenset(adapters)
            for model, adapters in self._models.items()
        }

    @property
    def near(self) -> frozenset[str]:
        return frozenset(self._near)

    def report(self) -> _types.ReplicaReport:
        return _types.ReplicaReport(
            self.started_at,
            self.residents,
            self.moving,
            self.order_count,
            self.near,
        )

    def entry(self) -> _types.ReplicaEntry:
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

    def lacks(self, model: str, adapter: str) -> bool:
        """Whether it holds neither the model nor, if asked, the adapter."""
        adapters = self._models.get(model)
        return adapters is None or bool(adapter and adapter not in adapters)

    def refuses(self, model: str) -> bool:
        """Whether it takes no requests for the model now, though it may."""
        full = len(self.waiting) >= self.spec.queue
        return full or model == self._closing

    def submit(self, run: Run) -> None:
        self.waiting.append(run)
        self._wake()

    def cancel(self, run: Run) -> None:
        """Drop a request whose client has left."""
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    def _wake(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._admit()
        if not self.running:
            self._stepping = False
            return
        read = self._read_prompts()
        decoding = [run for run in self.running if not run.unread]
        spec = self.spec
        took_ms = (
            spec.step_ms
            + spec.step_ms_per_slot * len(decoding)
            + read / spec.prefill_tokens_per_ms
        )
        self._loop.call_later(took_ms / 1000, self._end_step, decoding)

    def _end_step(self, decoding: list[Run]) -> None:
        for run in decoding:
            if run not in self.running:
                continue
            run.made += 1
            first = run.made == 1
            if first or run.ended or run.made % self.spec.stride == 0:
                run.on_tokens(run.made, run.ended)
            if run.ended:
                self.running.remove(run)
        self._put_back()
        self._step()

    def _admit(self) -> None:
        self.waiting.sort(key=lambda run: run.rank)
        used = self._used()
        while self.waiting and len(self.running) < self.spec.slots:
            run = self.waiting[0]
            if self.running and used + run.tokens > self.spec.kv_tokens:
                return
            self.waiting.pop(0)
            run.unread = max(1, run.tokens - self._take_kept(run.request))
            self.read_tokens += run.unread
            self.running.append(run)
            used += run.tokens
            self._trim(used)

    def _read_prompts(self) -> int:
        """Read a piece of the most urgent prompts; return its tokens."""
        left = self.spec.chunk_tokens
        for run in sorted(self.running, key=lambda run: run.rank):
            piece = min(run.unread, left)
            run.unread -= piece
            left -= piece
        return self.spec.chunk_tokens - left

    def _put_back(self) -> None:
        while len(self.running) > 1 and self._used() > self.spec.kv_tokens:
            last = max(self.running, key=lambda run: run.rank)
            self.running.remove(last)
            self.waiting.append(last)
            self.put_back += 1

    def _used(self) -> int:
        return sum(run.tokens for run in self.running)

    def _take_kept(self, request: _types.Request) -> int:
        """Return the tokens kept of a prompt, and keep all of it now."""
        found, whole = 0, True
        for part in request.prefix_blocks:
            key = (request.model, request.adapter, part.key)
            whole = whole and key in self._kept
            found += part.tokens if whole else 0
            self._kept[key] = part.tokens
            self._kept.move_to_end(key)
        return found

    def _trim(self, used: int) -> None:
        kept = sum(self._kept.values())
        while self._kept and used + kept > self.spec.kv_tokens:
            _, tokens = self._kept.popitem(last=False)
            kept -= tokens

    # Orders.

    def order(
        self, load: bool, model: str, adapter: str, order_count: int
    ) -> Order:
        """Take an order that was made for a count of orders."""
        if self.moving or order_count != self.order_count:
            return Order(False, False)
        if adapter:
            return self._order_adapter(load, model, adapter)
        if (model in self._models) is load:
            return Order(True, True)
        if load and len(self._models) >= self.spec.resident_models:
            raise RuntimeError(f"{self.name} was ordered to hold too much")
        self.order_count += 1
        self.moving = True
        if load:
            self._loop.call_later(
                self._load_ms(model) / 1000, self._end_load, model
            )
        else:
            self._close_model(model)
        return Order(True, False)

    def _order_adapter(self, load: bool, model: str, adapter: str) -> Order:
        adapters = self._models.get(model)
        if adapters is None:
            return Order(False, False)
        if (adapter in adapters) is load:
            return Order(True, True)
        held = sum(len(each) for each in self._models.values())
        if load and held >= self.spec.adapter_slots:
            raise RuntimeError(f"{self.name} was ordered too many adapters")
        self.order_count += 1
        if load:
            self._loop.call_later(
                _ADAPTER_MS / 1000, self._end_adapter, model, adapter
            )
            return Order(True, False)
        adapters.discard(adapter)
        return Order(True, True)

    def _end_adapter(self, model: str, adapter: str) -> None:
        if model in self._models:
            self._models[model].add(adapter)

    def _load_ms(self, model: str) -> float:
        self.loads += 1
        if model in self._near:
            return self._site.near_load_ms
        self.store_loads += 1
        return self._site.load_ms

    def _end_load(self, model: str) -> None:
        self.moving = False
        self._models[model] = set()
        self._near.pop(model, None)
        self._near[model] = None
        while len(self._near) > self.spec.near_models:
            del self._near[next(iter(self._near))]

    def _close_model(self, model: str) -> None:
        """Unload a model once its runs have ended; begin no others."""
        self._closing = model
        refused = [r for r in self.waiting if r.request.model == model]
        for run in refused:
            self.waiting.remove(run)
            run.on_refused()
        self._unload_when_idle(model)

    def _unload_when_idle(self, model: str) -> None:
        if any(run.request.model == model for run in self.running):
            self._loop.call_later(0.01, self._unload_when_idle, model)
            return
        self._models.pop(model, None)
        self._closing = None
        self.moving = False
