"""Emulated metadata store, peer network and order interface of engines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import typing

import orjson

from emulator import _engines
from emulator import _virtual_time
from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink import platform
from geraniumlink.serving import _types

# Duration of a call to the store or of an order to an engine.
CALL_LATENCY_MS = 5.0
# Latency of a request between two instances, there and back.
PEER_ROUND_TRIP_MS = 2.0
# Interval at which engines publish changed entries.
HEARTBEAT_INTERVAL_MS = 500.0
# A call to the store fails after this during an outage.
UNAVAILABLE_LATENCY_MS = 500.0


class Store:
    """A versioned object store for the controller's lease; counts calls."""

    def __init__(self, clock: _virtual_time.VirtualClock) -> None:
        self.call_count = 0
        self.unavailable = False
        self._clock = clock
        self._revision = 0
        self._objects: dict[tuple[str, str], _objects.Object] = {}

    async def get(self, kind: str, name: str) -> _objects.Object:
        """Return an object; its version is ``ABSENT`` if it does not exist.

        :raises _objects.UnavailableError: during an outage.
        """
        await self._simulate_call()
        absent = _objects.Object(kind, name, _objects.ABSENT, None)
        return self._objects.get((kind, name), absent)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        """Write an object if it still has the given version.

        :raises _objects.ConflictError: if it has another version.
        :raises _objects.UnavailableError: during an outage.
        """
        current = await self.get(kind, name)
        if current.version != if_version:
            raise _objects.ConflictError(current)
        self._revision += 1
        written = _objects.Object(kind, name, self._revision, value)
        self._objects[kind, name] = written
        return written

    async def _simulate_call(self) -> None:
        self.call_count += 1
        if self.unavailable:
            await self._clock.sleep(UNAVAILABLE_LATENCY_MS)
            raise _objects.UnavailableError("the store is unavailable")
        await self._clock.sleep(CALL_LATENCY_MS)


MessageHandler = Callable[[str, bytes], Awaitable[typing.Any]]


class PeerTransport:
    """Delivers messages between running instances."""

    def __init__(self, clock: _virtual_time.VirtualClock) -> None:
        self.request_count = 0
        self._clock = clock
        self._handlers: dict[_settings.Address, MessageHandler] = {}

    def register(
        self, address: _settings.Address, handle_message: MessageHandler
    ) -> None:
        self._handlers[address] = handle_message

    def remove(self, address: _settings.Address) -> None:
        self._handlers.pop(address, None)

    async def post(
        self, address: _settings.Address, path: str, body: bytes
    ) -> _http.Response:
        """Deliver a message and return the response.

        :raises _http.NoListenerError: if no instance runs at the address.
        :raises _http.BrokenError: if the instance ended before it answered.
        """
        self.request_count += 1
        await self._clock.sleep(PEER_ROUND_TRIP_MS)
        handle_message = self._handlers.get(address)
        if handle_message is None:
            raise _http.NoListenerError(f"{address}: connection refused")
        answer = await handle_message(path, body)
        if address not in self._handlers:
            raise _http.BrokenError(f"{address}: connection lost")
        return _http.Response(200, [], orjson.dumps(answer))


class EngineOrderClient(platform.OrderClient):
    """Sends orders to emulated engines and fetches their reports."""

    def __init__(
        self, engines: list[_engines.Engine], clock: _virtual_time.VirtualClock
    ) -> None:
        self._engines = {engine.name: engine for engine in engines}
        self._clock = clock

    async def send(
        self, order: platform.Order, may_write: Callable[[], bool]
    ) -> platform.OrderResult:
        """Send an order to an engine and return its result."""
        if not may_write():
            return platform.OrderResult.REFUSED
        await self._clock.sleep(CALL_LATENCY_MS)
        engine = self._engines[order.replica]
        reply = engine.apply_order(
            order.load, order.model, order.adapter, order.order_count
        )
        if not reply.accepted:
            return platform.OrderResult.CONFLICT
        if reply.already_satisfied:
            return platform.OrderResult.HOLDS
        return platform.OrderResult.ACCEPTED

    async def fetch_report(
        self, replica: str, address: _settings.Address
    ) -> _types.ReplicaReport:
        """Return an engine's state as it was one report latency earlier."""
        engine = self._engines[replica]
        report = engine.report()
        await self._clock.sleep(engine.spec.report_lag_ms)
        return report


async def run_heartbeats(
    engines: list[_engines.Engine],
    publish: Callable[[_types.ReplicaEntry], None],
    clock: _virtual_time.VirtualClock,
) -> None:
    """Publish the engines' changed entries at each heartbeat, for ever."""
    published: dict[str, _types.ReplicaEntry] = {}
    while True:
        for engine in engines:
            entry = engine.registry_entry()
            if published.get(engine.name) != entry:
                published[engine.name] = entry
                publish(entry)
        await clock.sleep(HEARTBEAT_INTERVAL_MS)
