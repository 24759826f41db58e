"""Addresses of the running instances, as the controller knows them.

Each report to the controller names its sender's address, and the answer has
the list of all when it differs from the one that the instance has.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings

# An instance that has not been heard of for this long is left out. A process
# that is started again within seconds has the same address.
FORGET_MS = 60_000
# Without a report for this long, this instance was not the controller: its
# times are old, and count from the next report on.
CONTROLLER_GAP_MS = 3000


class InstanceDirectory:
    """Both sides of the exchange for one instance."""

    def __init__(self, own_address: str, clock: _clock.Clock) -> None:
        self._own_address = own_address
        self._clock = clock
        # When each address was last heard of, here or by the controller.
        self._heard_at: dict[str, int] = {}
        # When an instance last reported here, as to the controller.
        self._last_report_at = clock.now() - CONTROLLER_GAP_MS - 1
        # The list that the controller sent last, and its digest.
        self._received: list[str] = []
        self._received_digest = ""
        # Digest of the addresses here; empty if it has to be computed.
        self._digest = ""
        self._others: tuple[str, ...] = ()
        # Instances that reported to have no path to any replica.
        self._without_path: frozenset[str] = frozenset()

    @property
    def own_address(self) -> str:
        return self._own_address

    @property
    def received_digest(self) -> str:
        """Identifies the list that the controller sent last."""
        return self._received_digest

    @property
    def others(self) -> tuple[str, ...]:
        """The addresses of the other instances.

        The same object until they change.
        """
        return self._others

    @property
    def without_path(self) -> frozenset[str]:
        """The addresses of the instances that reach no replica."""
        return self._without_path

    def set_without_path(self, addresses: Iterable[str]) -> None:
        """Set which instances reach no replica, as they reported."""
        self._without_path = frozenset(addresses)

    def record_report(self, address: str) -> None:
        """Record, as the controller, that an instance has reported.

        :raises ValueError: if the address is malformed.
        """
        _settings.parse_address(address)
        now = self._clock.now()
        if not self._is_controller(now):
            self._heard_at = dict.fromkeys(self._heard_at, now)
        self._last_report_at = now
        self._hear_of([address], now)

    def list_for(self, received_digest: str) -> list[str] | None:
        """Return all addresses; None if the instance has that list."""
        if not self._digest:
            self._digest = _compute_digest(self._heard_at)
        if received_digest == self._digest:
            return None
        return sorted(self._heard_at)

    def apply_list(self, addresses: list[str] | None) -> None:
        """Add the controller's list; None if it is the one received last.

        Others stay for a while: a new controller's list begins empty. The
        controller itself goes by the reports alone.

        :raises ValueError: if an address is malformed.
        """
        now = self._clock.now()
        if self._is_controller(now):
            return
        if addresses is not None:
            for address in addresses:
                _settings.parse_address(address)
            self._received = addresses
            self._received_digest = _compute_digest(addresses)
        self._hear_of(self._received, now)

    def _is_controller(self, now: int) -> bool:
        return now - self._last_report_at <= CONTROLLER_GAP_MS

    def _hear_of(self, addresses: list[str], now: int) -> None:
        """Set the time of some addresses, and drop those too old."""
        before = self._heard_at.keys()
        heard_at = self._heard_at | dict.fromkeys(addresses, now)
        self._heard_at = {
            address: time
            for address, time in heard_at.items()
            if now - time < FORGET_MS
        }
        if self._heard_at.keys() != before:
            self._digest = ""
            self._others = tuple(
                address
                for address in self._heard_at
                if address != self._own_address
            )
            _logs.event("instances_known", instances=len(self._heard_at))


def _compute_digest(addresses: Iterable[str]) -> str:
    text = ",".join(sorted(addresses))
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
