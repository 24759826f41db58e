"""Orders to replicas that arrive after another instance's orders."""

import contextlib
import socket
import threading
import time

import anyio
import pytest

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink import platform
from geraniumlink.residency import _order_sender
from geraniumlink.residency import _replica_states
from tests import builders

pytestmark = pytest.mark.anyio

# More than the receive buffer of a connection that isn't read.
_LONG_NAME = "a" * 200_000
_RECEIVE_BUFFER_BYTES = 4096
# Well over ORDER_TIMEOUT_MS, and less than the kernel's own patience.
_SILENCE_S = 1.2


class _Replica:
    """Listens, reads nothing for a while, and then whatever still comes."""

    def __init__(self, silence_s=_SILENCE_S):
        self._silence_s = silence_s
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.port = self._listener.getsockname()[1]
        self.received = b""
        self._thread = threading.Thread(target=self._read, daemon=True)

    def _read(self):
        connection, _ = self._listener.accept()
        time.sleep(self._silence_s)
        connection.settimeout(3)
        with contextlib.suppress(OSError):
            while data := connection.recv(65536):
                self.received += data
        connection.close()

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._listener.close()

    async def wait(self):
        await anyio.to_thread.run_sync(self._thread.join)

    @property
    def has_order(self):
        """Whether a whole order arrived."""
        return b"/v1/order" in self.received and self.received.endswith(b"}")

    @property
    def address(self):
        return _settings.Address("127.0.0.1", self.port)


class _Leadership:
    """Holds a lease that allows the given number of orders."""

    def __init__(self, orders=100):
        self.epoch = 1
        self._left = orders

    def may_order(self):
        self._left -= 1
        return self._left >= 0


class _NoLimits:
    async def wait(self, _replica):
        return True


def _sender(leadership):
    calls = platform.OrderClient(
        _http.Client(keeps_alive=False), lambda *_: None
    )
    return _order_sender.OrderSender(
        calls, leadership, _clock.Clock(), "i1", _NoLimits()
    )


def _state(address):
    entry = builders.replica_entry()._replace(address=address)
    state = _replica_states.ReplicaState(entry)
    state.order_count = 0
    return state


async def test_an_order_is_written_after_its_lease_has_expired():
    with _Replica(silence_s=0) as replica:
        sender = _sender(_Leadership(orders=1))
        assert not await sender.load_adapter(
            _state(replica.address), "m1", "a1"
        )
        await replica.wait()
    assert not replica.has_order


async def test_an_order_of_an_older_term_is_written():
    class _NextTerm(_Leadership):
        """Another term begins while the connection is opened."""

        def may_order(self):
            if self._left < 100:
                self.epoch = 3
            return super().may_order()

    with _Replica(silence_s=0) as replica:
        sender = _sender(_NextTerm())
        assert not await sender.load_adapter(
            _state(replica.address), "m1", "a1"
        )
        await replica.wait()
    assert not replica.has_order


@pytest.mark.parametrize("allowed", range(1, 6))
async def test_an_order_that_was_written_counts_as_not_sent(allowed):
    with _Replica(silence_s=0) as replica:
        sender = _sender(_Leadership(orders=allowed))
        state = _state(replica.address)
        await sender.load_adapter(state, "m1", "a1")
        await replica.wait()
    # One question before the connection, and one for each part.
    assert replica.has_order == (allowed >= 3)
    assert bool(state.unconfirmed) == replica.has_order


async def test_an_order_that_was_given_up_arrives_later():
    with _Replica() as replica:
        sender = _sender(_Leadership())
        state = _state(replica.address)
        assert not await sender.load_adapter(state, "m1", _LONG_NAME)
        assert state.unconfirmed == {("m1", _LONG_NAME)}
        await replica.wait()
    assert replica.received
    assert not replica.has_order


async def test_a_call_that_was_given_up_arrives_later():
    client = _http.Client()
    with _Replica() as replica:
        with pytest.raises(_http.BrokenError):
            await client.post_json(
                replica.address, "/v1/order", {"a": _LONG_NAME}, timeout_ms=200
            )
        await replica.wait()
    assert replica.received
    assert not replica.has_order


async def test_an_order_of_a_stopped_sender_arrives_later():
    with _Replica() as replica:
        sender = _sender(_Leadership())
        async with anyio.create_task_group() as group:
            group.start_soon(
                sender.load_adapter, _state(replica.address), "m1", _LONG_NAME
            )
            await anyio.sleep(0.1)
            # Stands in for a stop of the process: nothing is withdrawn.
            time.sleep(2 * _SILENCE_S)
        await replica.wait()
    assert replica.received
    assert not replica.has_order
