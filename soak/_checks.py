"""Checks of a run's record against the platform's rules ONE and CONFIG.

The record is what replicas, clients, the operator and the soak itself saw;
times are in s of the monotonic clock. How the rules are read:

An instance is in touch while a request is sent and answered if there was no
disruption of it, of its link or of the store from ``STABLE_S`` before the
sending to the answer. That spans a kill or stop to the new start, a freeze, a
link fault and a store fault, with the time for which late writes may follow.
A restored store is in disruption until the operator has written again.

A request that such an instance gets over ``APPLY_S`` after the store's
acknowledgement of a version must not be handled as only older ones allow. With
a store in disruption by nothing but old reads or a forgotten history the same
holds ``SKEW_S`` later; a store that was down, silent, slow, restored, refused
calls, lost answers or wrote late since ``STABLE_S`` before the acknowledgement
excuses it.

An instance that showed a version's effect must not handle a request, sent over
``ROLLBACK_S`` later (eight times that around a disruption), as only an older
one allows, until its process ends. Nothing else excuses that.

Orders count as those of two holders if two instances sent them. Orders that
arrive within ``THAW_S`` after their sender was thawed or its link healed don't
count, neither as the first nor as the second of two.
"""

from __future__ import annotations

from collections.abc import Iterable
import typing

STABLE_S = 3.0
APPLY_S = 2.0
SKEW_S = 5.0
ROLLBACK_S = 0.25
THAW_S = 0.3
LEASE_S = 3.0
STORE = "store"
LINK_FAULTS = ("cut", "stalled", "refused", "turned_away", "limited")
# Disruptions of the store that delay a configuration by ``SKEW_S`` at most.
_MILD = ("old_reads", "forgets")


class Order(typing.NamedTuple):
    """An order as a replica got it."""

    replica: str
    at: float
    holder: str
    token: int


class Disruption(typing.NamedTuple):
    """A fault of an instance, its link or the store, as it was in effect."""

    target: str
    kind: str
    began: float
    ended: float


class Version(typing.NamedTuple):
    """A version of the configuration, at its first acknowledgement."""

    number: int
    acknowledged: float


class Probe(typing.NamedTuple):
    """A request and which versions allow how it was handled.

    Its handling shows a version of ``oldest`` or newer, and of ``newest`` or
    older; ``start`` counts the processes of the instance.
    """

    instance: str
    start: int
    sent: float
    answered: float
    oldest: int
    newest: float
    text: str = ""


def find_order_conflicts(
    orders: Iterable[Order], disruptions: Iterable[Disruption]
) -> list[str]:
    """Return a line for each breach of ONE."""
    ends = [
        d for d in disruptions if d.kind == "frozen" or d.kind in LINK_FAULTS
    ]
    by_replica: dict[str, list[Order]] = {}
    for order in sorted(orders, key=lambda order: order.at):
        excused = any(
            d.target == order.holder and 0 <= order.at - d.ended <= THAW_S
            for d in ends
        )
        if not excused:
            by_replica.setdefault(order.replica, []).append(order)
    return [
        line
        for replica_orders in by_replica.values()
        for line in _conflicts(replica_orders)
    ]


def _conflicts(orders: list[Order]) -> list[str]:
    lines = []
    first_with: dict[int, Order] = {}
    highest = previous = None
    for order in orders:
        if previous and previous.holder != order.holder:
            if order.at - previous.at < LEASE_S:
                lines.append(_pair("turn within lease_ms", previous, order))
            first = first_with.setdefault(order.token, order)
            if first.holder != order.holder:
                lines.append(_pair("token of two holders", first, order))
        if highest and order.token < highest.token:
            if previous and order.token != previous.token:
                lines.append(_pair("lower token", highest, order))
        else:
            highest = order
        first_with.setdefault(order.token, order)
        previous = order
    return lines


def _pair(what: str, first: Order, second: Order) -> str:
    return (
        f"ONE {what}: {first.replica} got orders of {first.holder} (token"
        f" {first.token}) at {first.at:.3f} and of {second.holder} (token"
        f" {second.token}) at {second.at:.3f}"
    )


def find_late_configurations(
    probes: Iterable[Probe],
    versions: Iterable[Version],
    disruptions: list[Disruption],
) -> list[str]:
    """Return a line for each version that an instance applied too late."""
    versions = list(versions)
    late: dict[tuple[str, int, int], list[Probe]] = {}
    for probe in probes:
        for version in versions:
            if probe.newest < version.number and _is_late(
                probe, version, disruptions
            ):
                key = (probe.instance, probe.start, version.number)
                late.setdefault(key, []).append(probe)
                break
    at = {version.number: version.acknowledged for version in versions}
    return [
        f"CONFIG late: {name} handled {_span(found)} as only versions up to"
        f" {found[0].newest} allow; {number} was acknowledged at"
        f" {at[number]:.3f}"
        for (name, _, number), found in late.items()
    ]


def _span(probes: list[Probe]) -> str:
    first, last = probes[0], probes[-1]
    return (
        f"{len(probes)} requests, {first.text} sent at {first.sent:.3f} to"
        f" {last.text} sent at {last.sent:.3f},"
    )


def _is_late(
    probe: Probe, version: Version, disruptions: list[Disruption]
) -> bool:
    waited_s = probe.sent - version.acknowledged
    if waited_s <= APPLY_S or _disrupted(
        probe.instance, probe.sent, probe.answered, disruptions
    ):
        return False
    if not _disrupted(STORE, probe.sent, probe.answered, disruptions):
        return True
    harsh = [d for d in disruptions if d.kind not in _MILD]
    return waited_s > APPLY_S + SKEW_S and not _disrupted(
        STORE, version.acknowledged, probe.answered, harsh
    )


def _disrupted(
    target: str, since: float, until: float, disruptions: list[Disruption]
) -> bool:
    return any(
        d.target == target and d.began <= until and d.ended >= since - STABLE_S
        for d in disruptions
    )


def find_older_configurations(
    probes: Iterable[Probe], disruptions: list[Disruption]
) -> list[str]:
    """Return a line for each process that went back to an older version."""
    probes = list(probes)
    older: dict[tuple[str, int], list[Probe]] = {}
    shown: dict[tuple[str, int], Probe] = {}
    for probe in probes:
        for earlier in probes:
            if _is_older(probe, earlier, disruptions):
                key = (probe.instance, probe.start)
                older.setdefault(key, []).append(probe)
                shown.setdefault(key, earlier)
                break
    return [
        f"CONFIG older: {name} handled {_span(found)} as only versions up to"
        f" {found[0].newest} allow, after {shown[name, start].oldest} at"
        f" {shown[name, start].answered:.3f}"
        for (name, start), found in older.items()
    ]


def _is_older(
    probe: Probe, earlier: Probe, disruptions: list[Disruption]
) -> bool:
    """Whether a request was handled as before what was shown earlier."""
    return (
        earlier.oldest > probe.newest
        and earlier.instance == probe.instance
        and earlier.start == probe.start
        and probe.sent - earlier.answered > _slack_s(probe, disruptions)
    )


def _slack_s(probe: Probe, disruptions: list[Disruption]) -> float:
    around = _disrupted(
        probe.instance, probe.sent, probe.answered, disruptions
    )
    return ROLLBACK_S * (8 if around else 1)
