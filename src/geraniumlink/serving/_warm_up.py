"""Paces what a replica gets that has just started or recovered.

Answers the load of all instances on a replica that seems empty to each of
them, and is slow. The controller sums how the requests at the replicas of a
service ended, and sets the share of the requests for which a new replica is
considered: more while it does about as well as the others, less while it does
worse, all of them while the others are overloaded. See docs/design/pace.md.
Source of the algorithm: multiplicative decrease (D. Chiu and R. Jain, Computer
Networks 1989) and the exponential increase of the slow start (V. Jacobson,
SIGCOMM 1988), as a warm-up is to end as soon as the answers allow.
"""

from __future__ import annotations

import collections
import random
import typing

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.serving import _answer_counts
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types

# Share at the start: enough to learn from, and few requests if it is slow.
FIRST_SHARE = 0.125
# With a lower share the end of the slowness would be seen late.
LEAST_SHARE = 0.0625
INCREASE_FACTOR = 2.0
DECREASE_FACTOR = 0.5
# Answers of the replica on which a change of the share is based.
MIN_ANSWERS = 3
# An answer in time that states at most this service time ends a warm-up soon.
USUAL_PERCENT = 120.0
USUAL_INCREASE_FACTOR = 8.0
# Part by which its requests may be in time less often than the others'.
MARGIN = 0.1
# If the others miss this part, they can't take what would be held back. With
# 0.15 fewer requests were in time in virtual time, as the others are in part
# late just because the new replica isn't in service yet.
OVERLOAD = 0.5
# Period of which the others' answers count.
WINDOW_MS = 1000
# After a change, answers to requests sent before it come for about this long.
SETTLE_MS = 300
# Without enough answers for this long the share is raised.
IDLE_MS = 750
# A replica that is slow for longer is no longer warming up.
MAX_MS = 15_000
# A replica warms up if others of its service were known for this long: while
# all replicas are new, none is held back.
ESTABLISHED_MS = 10_000
# A replica that this part of the instances couldn't reach has failed; one
# instance may be cut off.
UNREACHABLE_PART = 0.1
# Without the controller's word for this long, an instance goes by the answers
# that it got itself.
SILENCE_MS = 1000


class Evidence(typing.NamedTuple):
    """What a change of a share is based on."""

    answers: _answer_counts.AnswerCounts
    # The highest service time that the replica stated with these; None if
    # there were none.
    percent: float | None
    # Period of the answers.
    window_ms: int


class WarmUp:
    """The warm-up of one process of a replica."""

    def __init__(self, started_at: int, share: float, now: int) -> None:
        self.started_at = started_at
        # Share of the requests for which the replica is considered.
        self.share = share
        self._began_at = now
        # There are no answers to earlier requests.
        self._changed_at = now - SETTLE_MS
        self._answers = _answer_counts.NONE
        # The highest service time that it stated with these; None if none.
        self._percent: float | None = None
        self._is_confirmed = False

    def is_over(self, now: int) -> bool:
        """Whether it did well with a share of 1, or took too long."""
        return self._is_confirmed or self.age_ms(now) >= MAX_MS

    def age_ms(self, now: int) -> int:
        """Return for how long it has lasted."""
        return now - self._began_at

    def evidence(self, now: int) -> Evidence:
        """Return the answers since the share was set and has settled."""
        window_ms = max(0, now - self._changed_at - SETTLE_MS)
        return Evidence(self._answers, self._percent, window_ms)

    def note_answers(
        self,
        answers: _answer_counts.AnswerCounts,
        percent: float | None,
        now: int,
    ) -> None:
        """Record how further requests at the replica ended.

        :param percent: the service time that it stated since the last ones.
        """
        if now - self._changed_at >= SETTLE_MS:
            self._answers = self._answers.plus(answers)
            if percent is not None:
                self._percent = max(percent, self._percent or 0.0)

    def update(self, others: _answer_counts.AnswerCounts, now: int) -> None:
        """Change the share if the answers allow, or if there are too few.

        :param others: the answers of the other replicas in WINDOW_MS.
        """
        is_usual = (
            self._answers.total > 0
            and not self._answers.missed
            and self._percent is not None
            and self._percent <= USUAL_PERCENT
        )
        if _is_overloaded(others):
            self.set_share(1.0, now)
        elif (
            is_usual
            or self._answers.total >= MIN_ANSWERS
            or now - self._changed_at >= SETTLE_MS + IDLE_MS
        ):
            is_worse = self._answers.missed_part > MARGIN + others.missed_part
            self._is_confirmed = not is_worse and self.share >= 1
            if is_worse:
                factor = DECREASE_FACTOR
            elif is_usual:
                factor = USUAL_INCREASE_FACTOR
            else:
                factor = INCREASE_FACTOR
            share = min(1.0, max(LEAST_SHARE, factor * self.share))
            self.set_share(share, now)

    def set_share(self, share: float, now: int) -> None:
        """Set the share; answers to earlier requests no longer count."""
        self.share = share
        self._changed_at = now
        self._answers = _answer_counts.NONE
        self._percent = None


class Row(typing.NamedTuple):
    """How requests from one instance ended at a replica since its last report.

    Sent as a list, as JSON has no named tuples; further fields are ignored.
    """

    name: str
    # Tells apart successive processes of the replica.
    started_at: int
    in_time: int
    missed: int
    # The service time that it stated with the last answer; None if there was
    # none.
    percent: float | None


class Report(typing.TypedDict):
    """What an instance adds to its report to the controller."""

    # Rows as lists.
    answers: list[list[typing.Any]]


class Answer(typing.TypedDict):
    """What the controller adds to its answer to a report."""

    # Name of the replica, start of its process, and its share.
    shares: list[tuple[str, int, float]]
    # Services whose replicas are overloaded.
    overloaded: list[str]


class _Seen(typing.NamedTuple):
    """Since when a replica's process is known."""

    started_at: int
    seen_at: int


class WarmUps:
    """The warm-ups that an instance knows; as the controller it paces them."""

    def __init__(
        self, replicas: _replicas.Replicas, clock: _clock.Clock
    ) -> None:
        self._replicas = replicas
        self._clock = clock
        # Services whose replicas state the time that work takes there.
        self._services: set[str] = set()
        self._seen: dict[str, _Seen] = {}
        self._warm_ups: dict[str, WarmUp] = {}
        # The counts that were last reported, by name and start of process.
        self._reported: dict[tuple[str, int], _answer_counts.AnswerCounts] = {}
        # When answers were reported, and these by replica.
        self._recent: collections.deque[
            tuple[int, dict[str, _answer_counts.AnswerCounts]]
        ] = collections.deque()
        # When the controller last answered, and which services it said are
        # overloaded.
        self._told_at = -SILENCE_MS
        # Replicas that failed and haven't answered since.
        self._failed: set[str] = set()
        self._reported_at = 0
        self._overloaded: set[str] = set()

    def considered(
        self,
        replicas: list[_replicas.Replica],
        random_source: random.Random,
    ) -> list[_replicas.Replica]:
        """Return the replicas to choose from for a request.

        A replica that warms up is left out of some choices, unless there is
        no other. Without a warm-up no random number is drawn.
        """
        if not self._services:
            return replicas
        if any(self._is_new(replica.entry) for replica in replicas):
            self.observe()
        if not self._warm_ups:
            return replicas
        considered = [
            replica
            for replica in replicas
            if (share := self.share(replica.entry)) >= 1
            or random_source.random() < share
        ]
        return considered or replicas

    def share(self, entry: _types.ReplicaEntry) -> float:
        """Return the share of the requests for which it is considered."""
        warm_up = self._warm_ups.get(entry.name)
        if warm_up is None or warm_up.started_at != entry.started_at:
            return 1.0
        return warm_up.share

    def observe(self) -> None:
        """Begin the warm-ups of new replicas; forget those that are gone."""
        now = self._clock.now()
        entries = {r.entry.name: r.entry for r in self._replicas.all()}
        self._services = {
            replica.entry.service
            for replica in self._replicas.all()
            if replica.service_time.is_stated
        }
        for name in self._seen.keys() - entries.keys():
            del self._seen[name]
        self._failed &= entries.keys()
        new = [entry for entry in entries.values() if self._is_new(entry)]
        for entry in new:
            self._failed.discard(entry.name)
            self._seen[entry.name] = _Seen(entry.started_at, now)
        for entry in new:
            self._begin(entry, now)
        self._end_warm_ups(entries, now)

    def note_unreachable(self, votes: dict[str, int], instances: int) -> None:
        """Record, as the controller, which replicas instances can't reach.

        :param votes: by replica, how many instances can't.
        """
        needed = max(2.0, UNREACHABLE_PART * instances)
        self._failed |= {name for name, n in votes.items() if n >= needed}

    def make_report(self) -> Report | None:
        """Return how requests from here ended since the last report.

        :returns: None if no replica states the time that work takes there.
        """
        self.observe()
        if not self._services:
            return None
        now = self._clock.now()
        rows: list[list[typing.Any]] = []
        counts: dict[tuple[str, int], _answer_counts.AnswerCounts] = {}
        for replica in self._replicas.all():
            entry = replica.entry
            if entry.service not in self._services:
                continue
            key = (entry.name, entry.started_at)
            counts[key] = replica.answers
            before = self._reported.get(key, _answer_counts.NONE)
            news = replica.answers.minus(before)
            if not news.total:
                continue
            load = replica.load
            has_answered = replica.load_at >= self._reported_at
            percent = load.service_time_percent if load is not None else None
            row = Row(*key, *news, percent if has_answered else None)
            rows.append(list(row))
        self._reported = counts
        self._reported_at = now
        report = Report(answers=rows)
        if now - self._told_at >= SILENCE_MS:
            self._note_report(report, now)
        return report

    def answer_report(self, report: Report | None) -> Answer | None:
        """Record an instance's report as the controller.

        :param report: None from an instance of a build without warm-ups.
        :returns: None if there is nothing to tell.
        """
        now = self._clock.now()
        if report is not None:
            self._note_report(report, now)
        if not self._services:
            return None
        return Answer(
            shares=[
                (name, warm_up.started_at, warm_up.share)
                for name, warm_up in self._warm_ups.items()
            ],
            overloaded=sorted(
                service
                for service in self._services
                if _is_overloaded(self._service_answers(service, "", now))
            ),
        )

    def apply_answer(self, answer: Answer) -> None:
        """Take over what the controller says.

        :raises ValueError: if it is malformed.
        """
        now = self._told_at = self._clock.now()
        told = {
            str(name): (
                int(started_at),
                min(1.0, max(LEAST_SHARE, float(share))),
            )
            for name, started_at, share in answer["shares"]
        }
        self._overloaded = {str(name) for name in answer["overloaded"]}
        for name, (started_at, share) in told.items():
            warm_up = self._warm_ups.get(name)
            if warm_up is None or warm_up.started_at != started_at:
                self._warm_ups[name] = WarmUp(started_at, share, now)
            elif warm_up.share != share:
                warm_up.set_share(share, now)
        for name, warm_up in list(self._warm_ups.items()):
            # The controller may get to know a replica later.
            if name not in told and warm_up.age_ms(now) >= SILENCE_MS:
                self._end(name, now)

    def _note_report(self, report: Report, now: int) -> None:
        """Count answers, and update the shares of the replicas."""
        rows = {row.name: row for row in map(_decode, report["answers"])}
        self._recent.append(
            (
                now,
                {
                    row.name: _answer_counts.AnswerCounts(
                        row.in_time, row.missed
                    )
                    for row in rows.values()
                },
            )
        )
        while now - self._recent[0][0] > WINDOW_MS:
            self._recent.popleft()
        for name in self._failed & rows.keys():
            replica = self._replicas.get(name)
            if rows[name].percent is not None and replica is not None:
                self._failed.discard(name)
                self._begin(replica.entry, now)
        for name, warm_up in list(self._warm_ups.items()):
            replica = self._replicas.get(name)
            if replica is None:
                continue
            row = rows.get(name)
            if row is not None and row.started_at == warm_up.started_at:
                warm_up.note_answers(
                    _answer_counts.AnswerCounts(row.in_time, row.missed),
                    row.percent,
                    now,
                )
            self._update(replica.entry, warm_up, now)

    def _update(
        self, entry: _types.ReplicaEntry, warm_up: WarmUp, now: int
    ) -> None:
        """Update a replica's share, and end its warm-up if it is over."""
        others = self._recent_answers(entry, now)
        before = warm_up.share
        evidence = warm_up.evidence(now)
        warm_up.update(others, now)
        if warm_up.share != before:
            _logs.event(
                "warm_up_share",
                replica=entry.name,
                share=warm_up.share,
                previous=before,
                in_time=evidence.answers.in_time,
                missed=evidence.answers.missed,
                service_time_percent=evidence.percent,
                others_in_time=others.in_time,
                others_missed=others.missed,
                window_ms=evidence.window_ms,
            )
        if warm_up.is_over(now):
            self._end(entry.name, now)

    def _end(self, name: str, now: int) -> None:
        warm_up = self._warm_ups.pop(name)
        _logs.event(
            "warm_up_ended",
            replica=name,
            share=warm_up.share,
            took_ms=warm_up.age_ms(now),
        )

    def _begin(self, entry: _types.ReplicaEntry, now: int) -> None:
        """Begin a replica's warm-up, unless its service is new as well."""
        service = entry.service
        known = self._warm_ups.get(entry.name)
        if (
            service not in self._services
            or (known is not None and known.started_at == entry.started_at)
            or not self._is_established(service, now)
        ):
            return
        is_overloaded = service in self._overloaded or _is_overloaded(
            self._recent_answers(entry, now)
        )
        warm_up = WarmUp(
            entry.started_at, 1.0 if is_overloaded else FIRST_SHARE, now
        )
        self._warm_ups[entry.name] = warm_up
        _logs.event("warm_up_began", replica=entry.name, share=warm_up.share)

    def _recent_answers(
        self, entry: _types.ReplicaEntry, now: int
    ) -> _answer_counts.AnswerCounts:
        """Return the answers of the other replicas of its service."""
        return self._service_answers(entry.service, entry.name, now)

    def _service_answers(
        self, service: str, but: str, now: int
    ) -> _answer_counts.AnswerCounts:
        """Return the recent answers of a service's replicas but one."""
        names = {
            replica.entry.name
            for replica in self._replicas.all()
            if replica.entry.service == service
        }
        total = _answer_counts.NONE
        for at, counts in self._recent:
            if now - at <= WINDOW_MS:
                for name, count in counts.items():
                    if name in names and name != but:
                        total = total.plus(count)
        return total

    def _is_new(self, entry: _types.ReplicaEntry) -> bool:
        seen = self._seen.get(entry.name)
        return seen is None or seen.started_at != entry.started_at

    def _is_established(self, service: str, now: int) -> bool:
        """Whether at least half of a service's replicas aren't new."""
        ages_ms = [
            now - self._seen[replica.entry.name].seen_at
            for replica in self._replicas.all()
            if replica.entry.service == service
        ]
        old = sum(age_ms >= ESTABLISHED_MS for age_ms in ages_ms)
        return 2 * old >= len(ages_ms)

    def _end_warm_ups(
        self, entries: dict[str, _types.ReplicaEntry], now: int
    ) -> None:
        """End the warm-ups that took too long or whose replica is gone."""
        for name, warm_up in list(self._warm_ups.items()):
            if name not in entries or warm_up.is_over(now):
                self._end(name, now)


def _is_overloaded(others: _answer_counts.AnswerCounts) -> bool:
    return others.total >= MIN_ANSWERS and others.missed_part > OVERLOAD


def _decode(row: typing.Any) -> Row:
    """Decode a row of another instance's report.

    :raises ValueError: if it is malformed.
    """
    name, started_at, in_time, missed, percent, *_ = row
    return Row(
        str(name),
        int(started_at),
        int(in_time),
        int(missed),
        None if percent is None else float(percent),
    )
