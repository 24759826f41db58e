"""How changes are accepted, for the model checker.

This is what ``_changes.ChangeStore.accept`` does: two operators race on one
deployment through any instance, which reads the object, checks the change id
and the expected version, and writes conditionally. Answers are lost after
the write took effect, instances are killed in between, the API has an
outage, and each request is sent twice, early or late. The object keeps its
latest change only, older ones are in the archive.

Abstracted: time, and the archive's own writes. A ``without`` names the
mechanism that is left out.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

# What an operator was last told.
NOTHING, UNKNOWN, ACCEPTED, ABORTED = range(4)
# Requests: two racing creations, a retirement of what the first made, and
# a new declaration after it.
CREATE, RIVAL, RETIRE, REDECLARE = range(4)
_NO_ATTEMPT = -1
_RECENT_CHANGES = 1


class Write(typing.NamedTuple):
    """A change in the API's log; its version is its place, from 1."""

    request: int
    base: int


class Asked(typing.NamedTuple):
    """One operator's request: what it was told, and two sendings of it.

    "Aborted" counts as told when it answers the latest sending: an earlier
    one may lose its race while the later one has still to be written.
    """

    told: int
    # Version read by the instance that handles it, if it is handled.
    first: int
    second: int
    sent: int


class Acceptance(typing.NamedTuple):
    """The state of ``acceptance``."""

    log: tuple[Write, ...]
    asked: tuple[Asked, ...]
    up: bool
    outages: int


Steps = Iterator[tuple[str, typing.Any]]


def acceptance(without: str = "") -> minicheck.Protocol:
    """Return the protocol, or a mutant of it.

    ``without`` is one of: condition, change_id, archive, unknown.
    """
    idle = Asked(NOTHING, _NO_ATTEMPT, _NO_ATTEMPT, 0)
    return minicheck.Protocol(
        name="acceptance",
        candidate=False,
        fields=Acceptance._fields,
        initial=Acceptance((), (idle,) * 4, True, 1),
        transitions=lambda state: list(
            _acceptance_steps(Acceptance(*state), without)
        ),
        invariants={
            "no_change_is_applied_twice": _applied_once,
            "changes_are_made_onto_what_they_were_checked_against": _on_base,
            "accepted_means_in_history": _accepted_is_logged,
            "aborted_means_not_in_history": _aborted_is_not_logged,
        },
    )


def _applied_once(state: dict) -> bool:
    requests = [write.request for write in state["log"]]
    return len(requests) == len(set(requests))


def _on_base(state: dict) -> bool:
    return all(write.base == place for place, write in enumerate(state["log"]))


def _accepted_is_logged(state: dict) -> bool:
    return _all_told(state, ACCEPTED, logged=True)


def _aborted_is_not_logged(state: dict) -> bool:
    return _all_told(state, ABORTED, logged=False)


def _all_told(state: dict, told: int, logged: bool) -> bool:
    requests = {write.request for write in state["log"]}
    return all(
        (number in requests) == logged
        for number, asked in enumerate(state["asked"])
        if asked.told == told
    )


def _acceptance_steps(state: Acceptance, without: str) -> Steps:
    if state.outages and state.up:
        yield "outage", state._replace(up=False, outages=0)
    if not state.up:
        yield "outage_over", state._replace(up=True)
    for number, asked in enumerate(state.asked):
        if asked.sent < 2 and _may_send(state, number):
            yield _send(state, number, without)
        for slot in ("first", "second"):
            if getattr(asked, slot) != _NO_ATTEMPT:
                yield from _handle(state, number, slot, without)


def _may_send(state: Acceptance, number: int) -> bool:
    match number:
        case 2:
            return state.asked[CREATE].told == ACCEPTED
        case 3:
            return state.asked[RETIRE].told == ACCEPTED
        case _:
            return True


def _expected(state: Acceptance, number: int) -> int:
    if number != RETIRE:
        return 0
    created = [write.request for write in state.log].index(CREATE)
    return created + 1


def _visible(state: Acceptance) -> int:
    if state.log and state.log[-1].request == RETIRE:
        return 0
    return len(state.log)


def _known(state: Acceptance, number: int, without: str) -> bool:
    """Whether the change id is found among the accepted ones."""
    if without == "change_id":
        return False
    searched = state.log
    if without == "archive":
        searched = state.log[-_RECENT_CHANGES:]
    return number in [write.request for write in searched]


def _send(
    state: Acceptance, number: int, without: str
) -> tuple[str, Acceptance]:
    asked = state.asked[number]
    slot = "second" if asked.sent else "first"
    told, base = NOTHING, _NO_ATTEMPT
    if not state.up:
        told = UNKNOWN
    elif _known(state, number, without):
        told = ACCEPTED
    elif _visible(state) != _expected(state, number):
        told = ABORTED
    else:
        base = len(state.log)
    asked = asked._replace(told=told, sent=asked.sent + 1, **{slot: base})
    return "change", _with_asked(state, number, asked)


def _handle(state: Acceptance, number: int, slot: str, without: str) -> Steps:
    """Write, with or without an answer; or be killed before."""
    asked = state.asked[number]
    base = getattr(asked, slot)
    ended = asked._replace(**{slot: _NO_ATTEMPT})
    unknown = ended._replace(told=UNKNOWN)
    yield "killed", _with_asked(state, number, unknown)
    if not state.up:
        yield "unavailable", _with_asked(state, number, unknown)
        return
    if base != len(state.log) and without != "condition":
        told = ABORTED
        if _known(state, number, without):
            told = ACCEPTED
        elif slot == "first" and asked.sent == 2:
            # The operator sent it again and waits for that answer.
            told = asked.told
        answered = ended._replace(told=told)
        yield "conflict", _with_asked(state, number, answered)
        return
    written = state._replace(log=(*state.log, Write(number, base)))
    accepted = ended._replace(told=ACCEPTED)
    yield "accepted", _with_asked(written, number, accepted)
    # The instance goes on to write again, or is killed.
    yield "answer_lost", _with_asked(written, number, asked)
    if without == "unknown":
        unknown = ended._replace(told=ABORTED)
    yield "answer_lost_and_killed", _with_asked(written, number, unknown)


def _with_asked(state: Acceptance, number: int, asked: Asked) -> Acceptance:
    changed = list(state.asked)
    changed[number] = asked
    return state._replace(asked=tuple(changed))
