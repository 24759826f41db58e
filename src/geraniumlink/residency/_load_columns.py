"""The loads on all replicas as columns of numbers.

Each instance gets the loads that all others put on the replicas, several
times a second. The names of the replicas, most of such a message, are sent
only when the list of replicas has changed.
"""

from __future__ import annotations

import hashlib
import typing

from geraniumlink.residency import _messages

# Prompt tokens are rounded up to multiples of this: a few ms of an engine's
# time.
TOKENS_UNIT = 100


class LoadColumns(typing.TypedDict):
    """Loads on replicas; all lists have the order of the same replicas."""

    # Identifies the list of replicas.
    order: str
    # Their names; None if the receiver knows the list.
    replicas: list[str] | None
    in_flight: list[int]
    # Prompt tokens that wait to be read, in TOKENS_UNIT, by priority.
    prefill: dict[str, list[int]]
    # Tokens of the requests in flight, in TOKENS_UNIT, None where unknown;
    # left out if all are.
    kv: typing.NotRequired[list[int | None]]


class LoadEncoder:
    """The controller's side: keeps the list of replicas."""

    def __init__(self) -> None:
        self._replicas: list[str] = []
        self._order = ""

    def encode(
        self, loads: dict[str, _messages.ReplicaLoad], known_order: str
    ) -> LoadColumns:
        """Return loads by name as columns.

        :param known_order: the list of replicas that the receiver knows.
        """
        self._update_order(loads)
        nothing = _messages.ReplicaLoad(0, {})
        row_loads = [loads.get(name, nothing) for name in self._replicas]
        priorities = {p for load in row_loads for p in load.prefill_tokens}
        columns = LoadColumns(
            order=self._order,
            replicas=(None if known_order == self._order else self._replicas),
            in_flight=[load.in_flight for load in row_loads],
            prefill={
                str(priority): [
                    -(-load.prefill_tokens.get(priority, 0) // TOKENS_UNIT)
                    for load in row_loads
                ]
                for priority in sorted(priorities)
            },
        )
        if any(load.kv_tokens is not None for load in row_loads):
            columns["kv"] = [
                None
                if load.kv_tokens is None
                else -(-load.kv_tokens // TOKENS_UNIT)
                for load in row_loads
            ]
        return columns

    def _update_order(self, loads: dict[str, _messages.ReplicaLoad]) -> None:
        """Add new replicas; drop those without a load once they are most."""
        has_new = not loads.keys() <= set(self._replicas)
        if not has_new and len(self._replicas) <= 2 * len(loads) + 1:
            return
        kept = self._replicas if has_new else []
        self._replicas = sorted(loads.keys() | set(kept))
        names = "\n".join(self._replicas).encode()
        self._order = hashlib.blake2b(names, digest_size=8).hexdigest()


class LoadDecoder:
    """An instance's side: keeps the list of replicas that it was sent."""

    def __init__(self) -> None:
        self._replicas: list[str] = []
        self._order = ""

    @property
    def order(self) -> str:
        """Identifies the list of replicas that is known here."""
        return self._order

    def decode(self, columns: LoadColumns) -> dict[str, _messages.ReplicaLoad]:
        """Return the loads by name of the replica.

        :raises ValueError: if the columns don't fit the list of replicas.
        """
        order = str(columns["order"])
        if columns["replicas"] is not None:
            self._replicas = [str(name) for name in columns["replicas"]]
            self._order = order
        elif order != self._order:
            raise ValueError(f"unknown list of replicas: {order}")
        prefill = {
            int(priority): column
            for priority, column in columns["prefill"].items()
        }
        lengths = {len(column) for column in prefill.values()}
        lengths.add(len(columns["in_flight"]))
        # Controllers of previous builds don't send it.
        kv = columns.get("kv", [None] * len(self._replicas))
        lengths.add(len(kv))
        if lengths != {len(self._replicas)}:
            raise ValueError("a column does not fit the list of replicas")
        return {
            name: _messages.ReplicaLoad(
                int(columns["in_flight"][row]),
                {
                    priority: int(column[row]) * TOKENS_UNIT
                    for priority, column in prefill.items()
                    if column[row]
                },
                None
                if (kv_units := kv[row]) is None
                else int(kv_units) * TOKENS_UNIT,
            )
            for row, name in enumerate(self._replicas)
        }
