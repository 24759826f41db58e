"""Contents of the messages between instances and the controller."""

from __future__ import annotations

import typing

from geraniumlink.residency import _issuer_table
from geraniumlink.residency import _limit_exchange
from geraniumlink.serving import _warm_up
from geraniumlink.suspicion import _table_sync


class ReplicaLoad(typing.NamedTuple):
    """Load of requests on a replica."""

    in_flight: int
    # Prompt tokens that were sent and not yet followed by a first event, by
    # priority of their routes.
    prefill_tokens: dict[int, int]
    # Tokens of the requests, prompts and expected outputs; None if unknown,
    # as from instances of previous builds.
    kv_tokens: int | None = None

    def plus(self, other: ReplicaLoad) -> ReplicaLoad:
        """Return the sum of two loads."""
        prefill_tokens = dict(self.prefill_tokens)
        for priority, tokens in other.prefill_tokens.items():
            prefill_tokens[priority] = prefill_tokens.get(priority, 0) + tokens
        return ReplicaLoad(
            self.in_flight + other.in_flight,
            prefill_tokens,
            None
            if self.kv_tokens is None or other.kv_tokens is None
            else self.kv_tokens + other.kv_tokens,
        )

    def minus(self, other: ReplicaLoad) -> ReplicaLoad:
        """Return this load without a part of it."""
        prefill_tokens = dict(self.prefill_tokens)
        for priority, tokens in other.prefill_tokens.items():
            prefill_tokens[priority] = prefill_tokens.get(priority, 0) - tokens
        return ReplicaLoad(
            self.in_flight - other.in_flight,
            prefill_tokens,
            None
            if self.kv_tokens is None or other.kv_tokens is None
            else self.kv_tokens - other.kv_tokens,
        )


class LastReport(typing.NamedTuple):
    """When an instance last reported, and which replicas it can't reach."""

    received_at: int
    unreachable: frozenset[str]
    # Its address if it has no path to any replica, "" otherwise.
    without_path: str
    # Replicas that announced to it that they leave, and the starts of their
    # processes.
    leaving: frozenset[tuple[str, int]]
    # Until when each replica wants no requests from it.
    back_off_until: dict[str, int]


def loads_to_json(
    loads: dict[str, ReplicaLoad],
) -> dict[str, list[typing.Any]]:
    """Return loads as JSON values; what is zero is left out.

    Each is the number of requests in flight, a list of [priority, prompt
    tokens], and the tokens of the requests if they are known.
    """
    return {
        replica: [
            load.in_flight,
            [
                [priority, tokens]
                for priority, tokens in load.prefill_tokens.items()
                if tokens
            ],
            *([] if load.kv_tokens is None else [load.kv_tokens]),
        ]
        for replica, load in loads.items()
        if load.in_flight
    }


def load_from_json(values: list[typing.Any]) -> ReplicaLoad:
    """Return a load of those that ``loads_to_json`` returns.

    Further values are ignored.
    """
    return ReplicaLoad(
        int(values[0]),
        {int(priority): int(tokens) for priority, tokens in values[1]},
        int(values[2]) if len(values) > 2 else None,
    )


class Report(typing.TypedDict):
    """An instance's periodic report to the controller, as sent."""

    # Name of the reporting instance.
    instance: str
    # Its address for messages, and the digest of the list of instances that
    # it received last.
    address: str
    instance_list: str
    # Demand since the last report: [service, model, adapter, prompt tokens].
    uses: list[list[typing.Any]]
    # Revision of the store that the instance has, for each kind of object.
    known: dict[str, int]
    # Its load on each replica, as loads_to_json returns it.
    loads: dict[str, list[typing.Any]]
    # List of replicas that it knows, for the loads in the answer.
    load_order: str
    # Replicas that it recently failed to connect to.
    unreachable: list[str]
    # Whether it has no path to any replica; its list is empty then.
    path_lost: bool
    # Replicas that announced to it that they leave, each with the start of its
    # process, unless their entries in the store say so, too.
    leaving: list[tuple[str, int]]
    # For how long each replica wants no requests from it, in ms.
    back_off_ms: dict[str, int]
    # Limits that replicas stated to it.
    limits: _limit_exchange.News
    # The table of quotas' issuers; None if this instance doesn't use it.
    issuers: _issuer_table.ReportPart | None
    # Requests that may have crashed replicas.
    suspicions: _table_sync.News
    # Parts of prompts that may have crashed replicas.
    suspected_parts: _table_sync.News
    # How requests ended at replicas that state the time that work takes
    # there.
    warm_up: typing.NotRequired[_warm_up.Report]
