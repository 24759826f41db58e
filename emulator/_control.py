"""The store, the calls between instances, and orders to engines, emulated."""

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

# A call to the store, or to an engine's orders, in ms.
CALL_MS = 5.0
# Between two instances and back, in ms.
MESSAGE_MS = 2.0
# How often an engine's entry follows what it holds, in ms.
HEARTBEAT_MS = 500.0
# A call to a store that is down ends after this, in ms.
OUTAGE_MS = 500.0


class Store:
    """The lease's object, with conditional writes; counts its calls."""

    def __init__(self, clock: _virtual_time.VirtualClock) -> None:
        self.calls = 0
        self.down = False
        self._clock = clock
        self._revision = 0
        self._objects: dict[tuple[str, str], _objects.Object] = {}

    async def get(self, kind: str, name: str) -> _objects.Object:
        """Return an object, absent or not.

        :raises _objects.UnavailableError: while the store is down.
        """
        await self._answer()
        absent = _objects.Object(kind, name, _objects.ABSENT, None)
        return self._objects.get((kind, name), absent)

    async def put(
        self, kind: str, name: str, value: typing.Any, if_version: int
    ) -> _objects.Object:
        """Write if the object is at that version.

        :raises _objects.ConflictError: if it is at another.
        :raises _objects.UnavailableError: while the store is down.
        """
        current = await self.get(kind, name)
        if current.version != if_version:
            raise _objects.ConflictError(current)
        self._revision += 1
        written = _objects.Object(kind, name, self._revision, value)
        self._objects[kind, name] = written
        return written

    async def _answer(self) -> None:
        self.calls += 1
        if self.down:
            await self._clock.sleep(OUTAGE_MS)
            raise _objects.UnavailableError("the store is down")
        await self._clock.sleep(CALL_MS)


Receive = Callable[[str, bytes], Awaitable[typing.Any]]


class Mail(_http.Client):
    """Carries calls between instances that are alive."""

    def __init__(self, clock: _virtual_time.VirtualClock) -> None:
        super().__init__()
        self.sent = 0
        self._clock = clock
        self._receivers: dict[_settings.Address, Receive] = {}

    def register(self, address: _settings.Address, receive: Receive) -> None:
        self._receivers[address] = receive

    def remove(self, address: _settings.Address) -> None:
        self._receivers.pop(address, None)

    async def request(
        self,
        method: str,
        address: _settings.Address,
        path: str,
        *,
        body: bytes = b"",
        **_limits: typing.Any,
    ) -> _http.Response:
        """Deliver a call and return its answer."""
        self.sent += 1
        await self._clock.sleep(MESSAGE_MS)
        receive = self._receivers.get(address)
        if receive is None:
            raise _http.NoListenerError(f"{address}: refused")
        answer = await receive(path, body)
        if address not in self._receivers:
            raise _http.BrokenError(f"{address}: ended")
        return _http.Response(200, [], orjson.dumps(answer))


class Orders(platform.OrderClient):
    """Orders and reports of emulated engines."""

    def __init__(
        self, engines: list[_engines.Engine], clock: _virtual_time.VirtualClock
    ) -> None:
        self._engines = {engine.name: engine for engine in engines}
        self._clock = clock

    async def send(self, order: platform.Order) -> platform.OrderResult:
        """Deliver an order and return what became of it."""
        await self._clock.sleep(CALL_MS)
        engine = self._engines[order.replica]
        taken = engine.order(
            order.load, order.model, order.adapter, order.order_count
        )
        if not taken.accepted:
            return platform.OrderResult.CONFLICT
        if taken.holds:
            return platform.OrderResult.HOLDS
        return platform.OrderResult.ACCEPTED

    async def fetch_report(
        self, replica: str, address: _settings.Address
    ) -> _types.ReplicaReport:
        """Return what an engine held some time ago."""
        engine = self._engines[replica]
        report = engine.report()
        await self._clock.sleep(engine.spec.report_lag_ms)
        return report


async def register_always(
    engines: list[_engines.Engine],
    tell: Callable[[_types.ReplicaEntry], None],
    clock: _virtual_time.VirtualClock,
) -> None:
    """Tell the engines' entries once for each heartbeat, for ever."""
    known: dict[str, _types.ReplicaEntry] = {}
    while True:
        for engine in engines:
            entry = engine.entry()
            if known.get(engine.name) != entry:
                known[engine.name] = entry
                tell(entry)
        await clock.sleep(HEARTBEAT_MS)
