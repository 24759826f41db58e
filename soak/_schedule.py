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
_EMPTY_SHARE = 0.2
# Restarts in series, of one instance or several at once.
_SERIES_SHARE = 0.3
_ROUNDS = (1, 3)
_AT_ONCE_S = 0.3
_ABSENT_S = (0.1, 7.0)
# Long enough for another instance to take over, and to send orders.
_TAKEOVER_S = (5.0, 8.0)
# From the end of a round's absence to the next round.
_ROUND_PAUSE_S = (0.0, 2.0)
_RESTORE_SHARE = 0.5
# From a restore to the start of a process that was ended.
_RESTORE_BEFORE_START_S = (-0.5, 0.7)
# Shorter than a process takes to start.
_SHORT_OUTAGE_S = (0.1, 0.8)

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
    "terminated": ((0.1, 6), (1, 4)),
}
_KINDS = _STORE | _RESTORE | _LINK | _PROCESS


class Fault(typing.NamedTuple):
    """A fault from outside the instances.

    ``instance`` is the index of one, ``LEADER``, or None for the store.
    ``parameter`` is a status, a number or a time in ms, for a restored store
    the age of its copy in s, for an instance that is terminated the number of
    signals.
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
    faults: list[Fault] = []
    at_s, end_s = _START_S, seconds - _END_S
    while at_s < end_s:
        if source.random() < _SERIES_SHARE:
            drawn = _draw_restarts(source, at_s, instances, restores)
        else:
            drawn = [_draw_fault(source, at_s, instances, restores)]
        faults += drawn
        pause_s = source.uniform(*_CLOSE_S)
        over_s = max(fault.at_s + fault.lasts_s for fault in drawn)
        if source.random() < _CALM_SHARE:
            pause_s = over_s - at_s + source.uniform(*_CALM_S)
        elif len(drawn) > 1:
            pause_s += source.uniform(0, over_s - at_s)
        at_s = round(at_s + pause_s, 3)
    return sorted(
        (fault for fault in faults if fault.at_s < end_s),
        key=lambda fault: fault.at_s,
    )


def _draw_restarts(
    source: random.Random, at_s: float, instances: int, restores: bool
) -> list[Fault]:
    """Return rounds of restarts, perhaps with a restore beside the first.

    Then another instance has taken over from the controller before.
    """
    is_restored = restores and source.random() < _RESTORE_SHARE
    count = source.randint(1, instances - is_restored)
    targets = source.sample(range(instances), count)
    if is_restored or (count < instances and source.random() < _LEADER_SHARE):
        targets[0] = LEADER
    faults: list[Fault] = []
    round_s = at_s
    for _ in range(source.randint(*_ROUNDS)):
        kind = source.choice(("killed", "terminated"))
        is_first = not faults
        absences = _TAKEOVER_S if is_first and is_restored else _ABSENT_S
        absent_s = source.uniform(*absences)
        for target in targets:
            began_s = round_s + source.uniform(0, _AT_ONCE_S)
            faults.append(_fault(source, began_s, kind, target, absent_s))
        round_s += absent_s + source.uniform(*_ROUND_PAUSE_S)
    if is_restored:
        before_s = source.uniform(*_RESTORE_BEFORE_START_S)
        restored_s = faults[0].at_s + faults[0].lasts_s - before_s
        outage_s = source.uniform(*_SHORT_OUTAGE_S)
        faults.append(_fault(source, restored_s, "restore", None, outage_s))
    return faults


def _draw_fault(
    source: random.Random, at_s: float, instances: int, restores: bool
) -> Fault:
    groups = [_STORE, _LINK, _PROCESS] + [_RESTORE] * restores
    kinds = source.choice(groups)
    kind = source.choice(sorted(kinds))
    instance = None
    if kinds in (_LINK, _PROCESS):
        instance = source.randrange(instances)
        if source.random() < _LEADER_SHARE:
            instance = LEADER
    return _fault(source, at_s, kind, instance)


def _fault(
    source: random.Random,
    at_s: float,
    kind: str,
    instance: int | None = None,
    lasts_s: float | None = None,
) -> Fault:
    lasts, (low, high) = _KINDS[kind]
    parameter = round(source.uniform(low, high), 3)
    if kind == "restore" and source.random() < _EMPTY_SHARE:
        parameter = EMPTY_COPY
    if lasts_s is None:
        lasts_s = source.uniform(*lasts)
    return Fault(round(at_s, 3), kind, instance, round(lasts_s, 3), parameter)
