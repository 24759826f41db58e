"""Finds parts of prompts that crash replicas, and refuses requests with them.

Requests that share a part of their prompts may crash each replica that
begins to generate on it, although no two of them are alike. When a replica
crashes, all parts of the prompts that were in flight there are suspected. A
part is cleared when a request with it completes; parts in common use are
cleared within moments.

Crashes are attributed to as few parts as possible: first those of the part
that was in flight at most of them, then the rest. So parts which came along
in the same prompts aren't blamed with it.
Source: V. Chvatal, "A Greedy Heuristic for the Set-Covering Problem",
Mathematics of Operations Research, 1979.

Parts that were in flight at the very same crashes form a group. A request
with the whole group is refused. Requests with only some of its parts go on,
so that innocent parts are cleared: one at a time after further crashes.

When many replicas crash together, no request may be left that could clear
the parts in common use. So a part that completed here shortly before is
cleared, too.

A refused group is tried again by a single request after a pause, which
doubles with each further crash.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
import enum
import random
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.suspicion import _suspicions

# Requests with a group are refused after this many crashes. Two may be by
# chance: a request that is retried after an unrelated crash meets another
# one while several replicas fail.
BLOCKING_CRASHES = 3
# After this many crashes, requests with only some parts of a group run one
# at a time.
MAX_FREE_CRASHES = 5
# A part that completed within this time is cleared of crashes. Shorter than
# the time in which a part that begins to crash replicas ends several.
RECENT_COMPLETION_MS = 2000
# Parts whose last completion is remembered.
MAX_COMPLETIONS = 4096
# Pause before a refused group is tried again; each further crash doubles it.
# A random factor from 1 to 2 applies to all pauses, so that instances don't
# all try at the same time.
FIRST_PAUSE_MS = 30_000
MAX_PAUSE_MS = _suspicions.SUSPICION_TTL_MS
# Pause between two requests with only some parts of a group.
SOME_PARTS_PAUSE_MS = 1000


class Admission(enum.Enum):
    """Whether a request may run, given the parts of its prompt."""

    FREE = "like any other request"
    TRIAL = "once, to see whether a part still crashes replicas"
    BLOCKED = "not now"


class _Group(typing.NamedTuple):
    """Parts that were in flight at the same crashes."""

    parts: frozenset[str]
    # Crashes that are attributed to them.
    crashes: int


def part_fingerprint(key: str) -> str:
    """Return the fingerprint of a prompt's part, given the part's key."""
    return _suspicions.compute_fingerprint("prompt part", key)


class PromptParts:
    """Suspicions of prompt parts, in a table that instances share.

    Parts are given by their fingerprints.
    """

    def __init__(
        self, clock: _clock.Clock, random_source: random.Random
    ) -> None:
        self._table = _suspicions.SuspicionTable(clock, logs_changes=False)
        self._clock = clock
        self._random = random_source
        # When requests with a part last completed, the latest last.
        self._completed_at: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # The groups of a change of the table, and that change's number.
        self._groups: list[_Group] = []
        self._groups_as_of = 0
        # When a request with a group, or with some of its parts, may run.
        self._next_whole_at: dict[_Group, int] = {}
        self._next_some_at: dict[_Group, int] = {}

    @property
    def table(self) -> _suspicions.SuspicionTable:
        """The suspicions, to be exchanged with other instances."""
        return self._table

    def admit(self, parts: Collection[str]) -> Admission:
        """Decide whether a request with these parts may run.

        After a trial, requests with the same group are refused for a pause.
        """
        if self.is_blocked(parts):
            return Admission.BLOCKED
        now = self._clock.now()
        admission = Admission.FREE
        for group in self._groups:
            if group.parts <= set(parts):
                _logs.event("part_tried", parts=sorted(group.parts))
                self._next_whole_at[group] = now + self._pause_ms(group)
                admission = Admission.TRIAL
            elif self._limits_some(group, parts):
                pause_ms = SOME_PARTS_PAUSE_MS * self._random.uniform(1, 2)
                self._next_some_at[group] = now + int(pause_ms)
                admission = Admission.TRIAL
        return admission

    def is_blocked(self, parts: Collection[str]) -> bool:
        """Whether a request with these parts must not run now."""
        self._update_groups()
        now = self._clock.now()
        return any(now < self._next_at(group, parts) for group in self._groups)

    def note_crash(
        self, parts: Iterable[str], crash: _suspicions.ServerProcess
    ) -> None:
        """Record a crash while a request with these parts was starting."""
        for part in parts:
            self._table.add_crash(part, crash)

    def note_completion(self, parts: Iterable[str]) -> None:
        """Clear the parts of a request that completed."""
        for part in parts:
            self._table.clear_crashes(part)
            self._completed_at[part] = self._clock.now()
            self._completed_at.move_to_end(part)
        while len(self._completed_at) > MAX_COMPLETIONS:
            self._completed_at.popitem(last=False)

    def _next_at(self, group: _Group, parts: Collection[str]) -> int:
        """Return when a request with these parts may run, given a group."""
        if group.parts <= set(parts):
            return self._next_whole_at[group]
        if self._limits_some(group, parts):
            return self._next_some_at.get(group, 0)
        return 0

    def _limits_some(self, group: _Group, parts: Collection[str]) -> bool:
        """Whether requests with these of a group's parts run one at a time."""
        return (
            group.crashes >= MAX_FREE_CRASHES
            and not group.parts.isdisjoint(parts)
        )

    def _update_groups(self) -> None:
        """Attribute the crashes anew if the table has changed."""
        if self._groups_as_of == self._table.last_change:
            return
        self._clear_recently_completed()
        self._groups_as_of = self._table.last_change
        before, self._groups = self._groups, self._attribute_crashes()
        for group in self._groups:
            if group not in before:
                _logs.event(
                    "part_blocked",
                    parts=sorted(group.parts),
                    crashes=group.crashes,
                )
                pause_ms = self._pause_ms(group)
                self._next_whole_at[group] = self._clock.now() + pause_ms
        for group in before:
            if group not in self._groups:
                _logs.event(
                    "part_unblocked",
                    parts=sorted(group.parts),
                    crashes=group.crashes,
                )
                del self._next_whole_at[group]
                self._next_some_at.pop(group, None)

    def _clear_recently_completed(self) -> None:
        """Clear suspected parts that completed shortly before."""
        earliest = self._clock.now() - RECENT_COMPLETION_MS
        for entry in self._table.entries():
            completed_at = self._completed_at.get(entry.fingerprint)
            if (
                entry.uncleared
                and completed_at is not None
                and completed_at >= earliest
            ):
                self._table.clear_crashes(entry.fingerprint)

    def _attribute_crashes(self) -> list[_Group]:
        """Return the groups to which enough crashes are attributed."""
        groups: list[_Group] = []
        suspects = {
            entry.fingerprint: entry.uncleared
            for entry in self._table.entries()
        }
        while True:
            suspects = {
                part: crashes
                for part, crashes in suspects.items()
                if len(crashes) >= BLOCKING_CRASHES
            }
            if not suspects:
                return groups
            explained = max(suspects.values(), key=_by_size_and_names)
            parts = frozenset(
                part
                for part, crashes in suspects.items()
                if crashes == explained
            )
            groups.append(_Group(parts, len(explained)))
            suspects = {
                part: crashes - explained for part, crashes in suspects.items()
            }

    def _pause_ms(self, group: _Group) -> int:
        doublings = group.crashes - BLOCKING_CRASHES
        pause_ms = FIRST_PAUSE_MS * 2.0**doublings
        return int(min(MAX_PAUSE_MS, pause_ms * self._random.uniform(1, 2)))


def _by_size_and_names(
    crashes: frozenset[_suspicions.ServerProcess],
) -> tuple[int, list[_suspicions.ServerProcess]]:
    """Order sets of crashes, in the same way at all instances."""
    return len(crashes), sorted(crashes)
