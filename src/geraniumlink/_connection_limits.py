"""Limits of what all connections to a process together hold.

The connections to the listeners for clients are in one table, those to the
other listeners (readiness, instances, metrics) in a second one, so that a
flood of clients takes no room from instances and the load balancer. A table
knows how many connections there are and how many received bytes each one
holds, and decides who is refused or closed when a limit is reached. A request
that was received whole is never dropped.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum
import resource
import time
import typing

from geraniumlink import _logs

# Descriptors for the process's own files and listeners, and for connections
# that are accepted or closed in the same turn of the event loop.
RESERVED_DESCRIPTORS = 64
MIN_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS
# Share of the others that clients' connections may have. A request that is
# served has a connection to a replica besides, which takes as many. The rest
# is for connections to instances and the store.
MAX_DESCRIPTOR_SHARE = 0.45
# Connections for each MiB of the machine's memory. One takes about 10 KiB,
# with what it may hold unparsed 20 KiB.
CONNECTIONS_PER_MB = 8
# Received bytes that connections may hold together, and the share of the
# machine's memory that they may take. Copies of bodies double them.
MAX_RECEIVED_BYTES = 20 * 2**20
MAX_MEMORY_SHARE = 0.125
MIN_MEMORY_MB = 64
# Of both limits, what is reserved for the listeners that clients don't use:
# a connection for messages and one for a relayed request from each of 300
# instances; and requests of 2 MiB besides a few messages of the largest size
# and a relayed request; each no more than a share.
INTERNAL_CONNECTIONS = 600
INTERNAL_RECEIVED_BYTES = 2 * 2**20
INTERNAL_MESSAGES = 4
MAX_INTERNAL_CONNECTION_SHARE = 0.25
MAX_INTERNAL_RECEIVED_SHARE = 0.375
# A request at these listeners that holds no more is never refused for room: a
# request without a body holds 2 KiB and 128 bytes a field besides its text.
INTERNAL_EXEMPT_BYTES = 8192
# Requests are refused until this share is held, so that not each part that
# arrives leads to a search through all connections.
LOW_WATER_SHARE = 0.9
# For how long a search for a connection to close isn't repeated if it found
# none.
SEARCH_INTERVAL_MS = 100
# Refusals in a second that have a log line each. Enough to see what is sent;
# a flood would fill the disk.
MAX_LOGGED_REFUSALS = 10
# Interval of the log lines that count refusals.
LOG_INTERVAL_MS = 1000


class ConnectionLimits(typing.NamedTuple):
    """Limits over all connections of one table."""

    max_connections: int
    max_received_bytes: int


class SplitLimits(typing.NamedTuple):
    """Limits of a process, by listeners."""

    clients: ConnectionLimits
    # Of the listeners for readiness, instances and metrics.
    internal: ConnectionLimits


def derive_limits(
    max_descriptors: int | None = None, memory_mb: int | None = None
) -> ConnectionLimits:
    """Return the limits for a machine.

    :param max_descriptors: None if only the process's own limit is known,
        which applies in any case.
    :param memory_mb: memory of the machine; None if it isn't known.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = 2**20
    descriptors = min(max_descriptors or soft_limit, soft_limit)
    max_connections = int(
        MAX_DESCRIPTOR_SHARE * max(0, descriptors - RESERVED_DESCRIPTORS)
    )
    max_received_bytes = MAX_RECEIVED_BYTES
    if memory_mb is not None:
        max_connections = min(max_connections, CONNECTIONS_PER_MB * memory_mb)
        max_received_bytes = min(
            max_received_bytes, int(MAX_MEMORY_SHARE * memory_mb * 2**20)
        )
    return ConnectionLimits(max_connections, max_received_bytes)


def state_limits(
    max_connections: int, max_received_mb: int
) -> ConnectionLimits:
    """Return limits that settings state.

    :param max_connections: 0 if it is derived from the descriptors that the
        process may have, which bound it in any case.
    """
    derived = derive_limits()
    return ConnectionLimits(
        min(
            max_connections or derived.max_connections,
            derived.max_connections,
        ),
        max_received_mb * 2**20,
    )


def split_limits(
    limits: ConnectionLimits,
    max_message_bytes: int,
    max_relayed_bytes: int = 0,
) -> SplitLimits:
    """Return limits that are no higher together than those of a process.

    :param max_message_bytes: size of the largest message of an instance.
    :param max_relayed_bytes: size of the largest body of a client's request
        that an instance relays; 0 if none are relayed.
    """
    internal = ConnectionLimits(
        min(
            INTERNAL_CONNECTIONS,
            int(MAX_INTERNAL_CONNECTION_SHARE * limits.max_connections),
        ),
        min(
            INTERNAL_RECEIVED_BYTES
            + INTERNAL_MESSAGES * max_message_bytes
            + max_relayed_bytes,
            int(MAX_INTERNAL_RECEIVED_SHARE * limits.max_received_bytes),
        ),
    )
    clients = ConnectionLimits(
        limits.max_connections - internal.max_connections,
        limits.max_received_bytes - internal.max_received_bytes,
    )
    return SplitLimits(clients, internal)


class Stage(enum.IntEnum):
    """What a connection is at; those of lower stages are closed first."""

    # Its last response has been sent, and what it sends is discarded.
    ENDING = 0
    # It has sent nothing complete.
    UNUSED = 1
    # All its requests have been answered.
    IDLE = 2
    # It hasn't read a response for as long as a connection may be idle.
    STALLED = 3
    # It waits for a response.
    SERVING = 4


class Connection(typing.Protocol):
    """Interface of a connection in the table."""

    @property
    def stage(self) -> Stage:
        """What the connection is at."""

    @property
    def incomplete_bytes(self) -> int:
        """Bytes held of a request that has not been received whole."""

    def refuse_incomplete(self) -> None:
        """Refuse the request that has not been received whole."""

    def close_for_room(self) -> None:
        """Close the connection at once."""


class Cause(enum.Enum):
    """Why a connection was closed, or a request refused."""

    CONNECTIONS = "connections"
    RECEIVED_BYTES = "received_bytes"
    HEAD = "head"
    TARGET = "target"
    FRAMING = "framing"
    TIMEOUT = "timeout"
    INVALID = "invalid"


class _Held(typing.NamedTuple):
    """Received bytes that a connection holds."""

    total: int
    incomplete: int


_NOTHING_HELD = _Held(0, 0)


class ConnectionTable:
    """The connections of some listeners, the least recently used first.

    :param on_refusal: called with each cause, for a metric.
    :param exempt_bytes: requests that hold no more than this aren't refused
        to make room.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        on_refusal: Callable[[Cause], None] = lambda _cause: None,
        exempt_bytes: int = 0,
    ) -> None:
        self._limits = limits
        self._exempt_bytes = exempt_bytes
        self._on_refusal = on_refusal
        # Received bytes that each connection holds, and those of them that
        # belong to a request that has not been received whole.
        self._held: dict[Connection, _Held] = {}
        # Those that have sent no whole request so far.
        self._unused: dict[Connection, None] = {}
        self._searched_at_s = 0.0
        self._total_bytes = 0
        self._incomplete_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_at_ms: int | None = None
        self._log_second = 0
        self._lines_in_second = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._held)

    @property
    def received_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._total_bytes

    def add(self, connection: Connection) -> None:
        """Add a new connection; close one if there are too many."""
        if len(self._held) >= self._limits.max_connections:
            self._close_one_for(connection)
        else:
            self._held[connection] = _NOTHING_HELD
            self._unused[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has been closed."""
        held = self._held.pop(connection, _NOTHING_HELD)
        self._total_bytes -= held.total
        self._incomplete_bytes -= held.incomplete
        self._unused.pop(connection, None)

    def note_use(self, connection: Connection) -> None:
        """Note that a whole request was received on a connection."""
        self._unused.pop(connection, None)
        held = self._held.pop(connection, None)
        if held is not None:
            # At the end, as the most recently used one.
            self._held[connection] = held

    def hold(self, connection: Connection, held_bytes: int) -> None:
        """Note how many bytes a connection holds; make room if needed."""
        before = self._held.get(connection)
        if before is None:
            return
        held = _Held(held_bytes, connection.incomplete_bytes)
        self._held[connection] = held
        self._total_bytes += held.total - before.total
        self._incomplete_bytes += held.incomplete - before.incomplete
        if held.total > before.total:
            self._refuse_largest()

    def has_room(self) -> bool:
        """Whether a further request may be accepted."""
        return self._total_bytes <= self._limits.max_received_bytes

    def may_log_refusal(self) -> bool:
        """Whether a refusal may have a log line of its own now."""
        second = int(time.monotonic())
        if second != self._log_second:
            self._log_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LOGGED_REFUSALS

    def count_refusal(self, cause: Cause) -> None:
        """Count a refusal.

        Their number is logged at most once per LOG_INTERVAL_MS.
        """
        self._on_refusal(cause)
        self._counts[cause.value] += 1
        now_ms = int(1000 * time.monotonic())
        if (
            self._logged_at_ms is not None
            and now_ms - self._logged_at_ms < LOG_INTERVAL_MS
        ):
            return
        self._logged_at_ms = now_ms
        counts, self._counts = dict(self._counts), collections.Counter()
        _logs.event(
            "clients_refused",
            counts=counts,
            connections=len(self._held),
            max_connections=self._limits.max_connections,
            held_bytes=self._total_bytes,
            max_held_bytes=self._limits.max_received_bytes,
        )

    def _close_one_for(self, new: Connection) -> None:
        """Close a connection for a new one, as the stages are ordered.

        The new one is closed if all others wait for responses.
        """
        closed = next(iter(self._unused), None) or self._find_used()
        if closed is not None:
            self.remove(closed)
            self._held[new] = _NOTHING_HELD
            self._unused[new] = None
        (closed or new).close_for_room()
        self.count_refusal(Cause.CONNECTIONS)

    def _find_used(self) -> Connection | None:
        """Return the first idle connection, or else the first stalled one.

        All have sent a whole request. A search that finds none isn't repeated
        within SEARCH_INTERVAL_MS.
        """
        now_s = time.monotonic()
        if now_s - self._searched_at_s < SEARCH_INTERVAL_MS / 1000:
            return None
        stalled = None
        for connection in self._held:
            stage = connection.stage
            if stage <= Stage.IDLE:
                return connection
            if stage == Stage.STALLED and stalled is None:
                stalled = connection
        if stalled is None:
            self._searched_at_s = now_s
        return stalled

    def _refuse_largest(self) -> None:
        """Refuse the largest incomplete requests until there is room.

        They are refused until the low-water mark is reached, unless the whole
        requests alone hold more: refusing all others wouldn't reach it.
        """
        if self.has_room() or not self._incomplete_bytes:
            return
        target_bytes = LOW_WATER_SHARE * self._limits.max_received_bytes
        if self._total_bytes - self._incomplete_bytes > target_bytes:
            target_bytes = self._limits.max_received_bytes
        incomplete = [
            c for c in self._held if c.incomplete_bytes > self._exempt_bytes
        ]
        # Stable: of those that are equal, the least recently used come first.
        incomplete.sort(key=lambda c: c.incomplete_bytes, reverse=True)
        for connection in incomplete:
            connection.refuse_incomplete()
            if self._total_bytes <= target_bytes:
                return


def make_tables(
    limits: SplitLimits, on_refusal: Callable[[Cause], None]
) -> tuple[ConnectionTable, ConnectionTable]:
    """Return the tables for the listeners of clients, and for the others."""
    return ConnectionTable(limits.clients, on_refusal), ConnectionTable(
        limits.internal, on_refusal, INTERNAL_EXEMPT_BYTES
    )


# For connections without a table of their own.
DEFAULT_LIMITS = ConnectionLimits(2**20, MAX_RECEIVED_BYTES)
