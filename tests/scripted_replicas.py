"""Replicas that answer by a script, in virtual time and without a network."""

from __future__ import annotations

import asyncio
import enum
import random
import re

import aioprometheus

from geraniumlink import _settings
from geraniumlink import platform
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _connections
from geraniumlink.serving import _forward
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replicas
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _retry_budgets
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions
from tests import builders
from tests import hosts

SLOTS = 8
ROUTE_KINDS = ("safe", "unsafe", "stream")
_ID = re.compile(rb"\r\nx-request-id: ([^\r]*)")
_LATENCY_S = 0.002


class Reply(enum.Enum):
    """What a replica does with a request."""

    SERVED = "200"
    MISDIRECTED = "421"
    FULL = "503, not run, no room"
    CLOSING = "503, not run, with room"
    NOT_RUN = "429, not run"
    ENDLESS = "421, not run, head whole, body silent"
    FAILED = "500"
    BROKEN = "runs it, and closes the connection"
    CUT_OFF = "runs it, and closes the connection within the response"
    SILENT = "runs it, and sends nothing"

    @property
    def is_rejection(self) -> bool:
        return self in _REJECTIONS


_REJECTIONS = {
    Reply.MISDIRECTED: b"421 -\r\n",
    Reply.FULL: b"503 -\r\nX-Not-Executed: 1\r\nX-Server-Load: 8,1,8\r\n",
    Reply.CLOSING: b"503 -\r\nX-Not-Executed: 1\r\nX-Server-Load: 1,0,8\r\n",
    Reply.NOT_RUN: b"429 -\r\nX-Not-Executed: 1\r\n",
    Reply.ENDLESS: b"421 -\r\n",
}
_SEALED = b"200 -\r\nX-Response-Seal: 1\r\nContent-Type: text/event-stream\r\n"


class _Transport(asyncio.Transport):
    """An instance's side of a connection to a scripted replica."""

    def __init__(self, replica, connection) -> None:
        super().__init__()
        self._replica = replica
        self._connection = connection
        self._is_closed = False

    def write(self, data) -> None:
        self._later(self._replica.answer, bytes(data), self)

    def respond(self, data: bytes, closes: bool = False) -> None:
        if data:
            self._later(self._feed, data)
        if closes:
            self._later(self.abort)

    def abort(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._connection.connection_lost(None)

    def is_closing(self) -> bool:
        return self._is_closed

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def _feed(self, data) -> None:
        if not self._is_closed:
            self._connection.feed(data)

    def _later(self, call, *args) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_LATENCY_S, call, *args)


class Replica:
    """Answers each request as the next reply of a list says."""

    def __init__(self, name, replies, log) -> None:
        self._name = name
        self._replies = replies
        self._log = log

    def connect(self, address) -> _connections.Connection:
        connection = _connections.Connection(address)
        connection.connection_made(_Transport(self, connection))
        return connection

    def answer(self, data: bytes, transport: _Transport) -> None:
        found = _ID.search(data.lower())
        request_id = found[1]
        reply = self._replies.pop(0) if self._replies else Reply.SERVED
        self._log.append((request_id, self._name, reply))
        end = b"X-Request-Id: %b\r\n" % request_id
        length = b"Content-Length: 11\r\n\r\n"
        match reply:
            case Reply.SERVED:
                transport.respond(
                    b"HTTP/1.1 " + _SEALED + end + length + b"data: xyz\n\n"
                )
            case Reply.FAILED:
                transport.respond(
                    b"HTTP/1.1 500 -\r\n" + end + length + b"it failed  "
                )
            case Reply.CUT_OFF:
                head = b"HTTP/1.1 " + _SEALED + end + length
                transport.respond(head + b"data", closes=True)
            case Reply.BROKEN:
                transport.respond(b"", closes=True)
            case Reply.SILENT:
                pass
            case Reply.ENDLESS:
                transport.respond(
                    b"HTTP/1.1 " + _REJECTIONS[reply] + end + length
                )
            case _:
                head = b"HTTP/1.1 " + _REJECTIONS[reply] + end
                transport.respond(head + b"Content-Length: 0\r\n\r\n")


class _Reachability:
    """The path to the replicas is never lost."""

    is_lost = False

    def note_unanswered(self, replica):
        pass

    def suspect(self):
        pass

    async def check(self, **_fields):
        return False


class _Residency:
    """Loads nothing, and counts the calls."""

    def __init__(self):
        self.calls = 0

    async def ensure_loaded(self, *_args):
        self.calls += 1
        return _outcomes.Refusal("nothing is loaded", 500)

    def note_demand(self, *_args):
        pass


class Site:
    """An instance and replicas that answer by one script.

    ``log`` lists what the replicas did: request id, replica, reply.
    """

    def __init__(
        self,
        clock,
        replies,
        replicas,
        max_attempts,
        limit,
        priority=1,
        quota_gate=None,
    ) -> None:
        self.clock = clock
        self.log = []
        # How long a connection to a replica takes to open.
        self.dial_s = _LATENCY_S
        self.replicas = _replicas.Replicas(clock, 2000)
        entries = [builders.replica_entry(f"r{n}") for n in range(replicas)]
        self.replicas.replace_all(
            entry._replace(address=_settings.Address("127.0.0.1", port))
            for port, entry in enumerate(entries, 1)
        )
        self._by_port = {
            port: Replica(entry.name, replies, self.log)
            for port, entry in enumerate(entries, 1)
        }
        self.budgets = _retry_budgets.RetryBudgets(limit, clock)
        self.budgets.set_instances(1)
        self.residency = _Residency()
        self._quota_gate = quota_gate
        self._forwarder = self._make_forwarder(max_attempts, priority)

    @property
    def residency_calls(self) -> int:
        return self.residency.calls

    def _make_forwarder(self, max_attempts, priority) -> _forward.Forwarder:
        async def dial(address):
            await asyncio.sleep(self.dial_s)
            return self._by_port[address.port].connect(address)

        active = _active_configuration.ActiveConfiguration()
        routes = [
            hosts.route(
                f"x-{kind}",
                kind,
                service="s",
                max_attempts=max_attempts,
                priority=priority,
            )
            for kind in ROUTE_KINDS
        ]
        spec = hosts.configuration(1, *routes)
        active.apply_if_newer(platform.decode_configuration(spec))
        return _forward.Forwarder(
            active_configuration=active,
            replicas=self.replicas,
            residency=self.residency,
            budgets=self.budgets,
            suspicions=_suspicions.SuspicionTable(self.clock),
            prompt_parts=_prompt_parts.PromptParts(
                self.clock, random.Random(1)
            ),
            origins=None,
            versions=None,
            permits=None,
            metrics=_request_metrics.RequestMetrics(aioprometheus.Registry()),
            connections=_connections.ConnectionPool(self.clock, dial),
            reachability=_Reachability(),
            peer_relay=None,
            quota_gate=self._quota_gate,
            clock=self.clock,
            data_centre="dc1",
            random_source=random.Random(1),
        )

    async def send(self, request_id: bytes, kind: str, model: str = ""):
        """Send a request; return the status and the headers, if any."""
        sent = []

        async def send(message):
            sent.append(message)

        request = builders.model_request(
            model,
            id=request_id,
            host=hosts.HOST,
            target=b"/x-%b/" % kind.encode(),
            headers=[(b"x-request-id", request_id)],
            received_at=self.clock.now(),
        )
        writer = _response_writer.ResponseWriter(send, lambda: False)
        await self._forwarder.serve(request, writer)
        head = sent[0] if sent else {"status": 0, "headers": []}
        return head["status"], dict(head["headers"])

    def replies_to(self, request_id: bytes) -> list[Reply]:
        return [reply for one, _, reply in self.log if one == request_id]

    def untried(self, request_id: bytes, model: str) -> set[str]:
        """Return the replicas that may serve a request and never got it."""
        tried = {name for one, name, _ in self.log if one == request_id}
        now = self.clock.now()
        return {
            replica.entry.name
            for replica in self.replicas.available("s")
            if replica.can_serve(model, "", now)
        } - tried
