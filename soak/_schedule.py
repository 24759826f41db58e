"""Draws the faults of a run from its seed."""

from __future__ import annotations

import random
import typing

# Without a fault meanwhile, so that instances get in touch.
_CALM_S = (4.0, 8.0)
_CLOSE_S = (0.1, 1.5)
_CALM_SHARE = 0.3
_START_S = 3.0
_END_S = 6.0
# In place of an instance: the one that sent the last order.
LEADER = -1
_LEADER_SHARE = 0.5
# The age in s of a copy that has nothing.
EMPTY_COPY = -1.0

# By kind of fault: how long it lasts in s, and its parameter.
_STORE = {
    "down": ((0.5, 4), (0, 0)),
    "silent": ((0.5, 5), (0, 0)),
    "slow": ((1, 5), (200, 1500)),
    "unavailable": ((0.5, 4), (503, 503)),
    "too_many": ((0.5, 4), (429, 429)),
    "lost_answers": ((2, 2), (1, 4)),
    "late_writes": ((1, 5), (1000, 6000)),
    "old_reads": ((2, 6), (1000, 5000)),
    "forgets": ((1, 1), (0, 0)),
}
_RESTORE = {"restore": ((0.2, 2), (1, 10))}
_LINK = {
    "cut": ((0.5, 6), (0, 0)),
    "stalled": ((0.5, 6), (0, 0)),
    "refused": ((0.5, 6), (0, 0)),
    "turned_away": ((0.5, 6), (503, 503)),
    "limited": ((0.5, 6), (429, 429)),
}
_PROCESS = {
    "frozen": ((0.5, 6), (0, 0)),
    "killed": ((0.1, 6), (0, 0)),
    "terminated": ((0.1, 6), (0, 0)),
}


class Fault(typing.NamedTuple):
    """A fault from outside the instances.

    ``instance`` is the index of one, ``LEADER``, or None for the store.
    ``parameter`` is a status, a number or a time in ms, for a restored store
    the age of its copy in s.
    """

    at_s: float
    kind: str
    instance: int | None
    lasts_s: float
    parameter: float


def draw(
    source: random.Random, seconds: float, instances: int, *, restores: bool
) -> list[Fault]:
    """Return the faults of a run of that length, the first one first."""
    faults = []
    at_s = _START_S
    while at_s < seconds - _END_S:
        fault = _draw_fault(source, at_s, instances, restores)
        faults.append(fault)
        pause_s = source.uniform(*_CLOSE_S)
        if source.random() < _CALM_SHARE:
            pause_s = fault.lasts_s + source.uniform(*_CALM_S)
        at_s = round(at_s + pause_s, 3)
    return faults


def _draw_fault(
    source: random.Random, at_s: float, instances: int, restores: bool
) -> Fault:
    groups = [_STORE, _LINK, _PROCESS] + [_RESTORE] * restores
    kinds = source.choice(groups)
    kind = source.choice(sorted(kinds))
    lasts, (low, high) = kinds[kind]
    parameter = round(source.uniform(low, high), 3)
    if kind == "restore" and source.random() < 0.2:
        parameter = EMPTY_COPY
    instance = None
    if kinds in (_LINK, _PROCESS):
        instance = source.randrange(instances)
        if source.random() < _LEADER_SHARE:
            instance = LEADER
    return Fault(
        at_s, kind, instance, round(source.uniform(*lasts), 3), parameter
    )
