"""Specification: a change is accepted at most once, and answered truly.

This models ``_changes.ChangeStore.accept``. Two operators race to change one
deployment through any instances. An instance reads the object, checks the
change id and the expected version, and writes conditionally.

The faults: an answer is lost although the write took effect, an instance is
killed between its read and its write, the object API has an outage, and each
request is sent a second time, before or after the first one ends.

The object holds the latest change only; older ones are in the archive. Time
and the writes of the archive are not modelled. The argument ``omitted`` names
one mechanism that is left out, so that tests can show that it is needed.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

# The latest answer that an operator has for a request.
NO_ANSWER, UNKNOWN, ACCEPTED, ABORTED = range(4)
# The requests: two racing creations of the deployment, a retirement of what
# CREATE made, and a new creation after the retirement.
CREATE, COMPETING_CREATE, RETIRE, RECREATE = range(4)
# In place of a version: no instance handles this sending.
_NO_ATTEMPT = -1
# Number of latest changes that are found without the archive.
_CHANGES_IN_OBJECT = 1


class Write(typing.NamedTuple):
    """An accepted change. Its version is its position in the log, from 1."""

    request: int
    # Version of the object that the change was checked against.
    base: int


class Submission(typing.NamedTuple):
    """The state of one request, which its operator sends up to twice.

    ABORTED is recorded only if it answers the latest sending: the earlier
    one may lose its race before the later one is written.
    """

    answer: int
    # For each sending, the version that the instance which handles it read;
    # _NO_ATTEMPT if none handles it.
    first: int
    second: int
    times_sent: int


class State(typing.NamedTuple):
    """The state of the object API and of all requests."""

    # The accepted changes, oldest first.
    log: tuple[Write, ...]
    # One for each request, by its number.
    submissions: tuple[Submission, ...]
    # Whether the object API can be reached.
    api_up: bool
    # How many more outages may begin.
    outages_left: int


Steps = Iterator[tuple[str, typing.Any]]


def acceptance(omitted: str = "") -> minicheck.Protocol:
    """Return the protocol, or a mutant that lacks one mechanism.

    ``omitted`` is empty or one of: condition (the write is unconditional),
    change_id (accepted change ids are not looked up), archive (only the
    latest change id is looked up), unknown (a lost answer is reported as
    ABORTED).
    """
    unsent = Submission(NO_ANSWER, _NO_ATTEMPT, _NO_ATTEMPT, 0)
    return minicheck.Protocol(
        name="acceptance",
        candidate=False,
        fields=State._fields,
        initial=State((), (unsent,) * 4, True, 1),
        transitions=lambda state: list(
            _possible_steps(State(*state), omitted)
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
    """Return whether each write follows the version it was checked against."""
    return all(write.base == place for place, write in enumerate(state["log"]))


def _accepted_is_logged(state: dict) -> bool:
    return _answers_match_log(state, ACCEPTED, logged=True)


def _aborted_is_not_logged(state: dict) -> bool:
    return _answers_match_log(state, ABORTED, logged=False)


def _answers_match_log(state: dict, answer: int, logged: bool) -> bool:
    """Return whether all requests with this answer are, or aren't, logged."""
    requests = {write.request for write in state["log"]}
    return all(
        (number in requests) == logged
        for number, submission in enumerate(state["submissions"])
        if submission.answer == answer
    )


def _possible_steps(state: State, omitted: str) -> Steps:
    if state.outages_left and state.api_up:
        yield "outage", state._replace(api_up=False, outages_left=0)
    if not state.api_up:
        yield "outage_over", state._replace(api_up=True)
    for number, submission in enumerate(state.submissions):
        if submission.times_sent < 2 and _may_submit(state, number):
            yield _submit(state, number, omitted)
        for slot in ("first", "second"):
            if getattr(submission, slot) != _NO_ATTEMPT:
                yield from _finish_attempt(state, number, slot, omitted)


def _may_submit(state: State, number: int) -> bool:
    """Return whether the request that this one depends on was accepted."""
    match number:
        case 2:  # RETIRE
            return state.submissions[CREATE].answer == ACCEPTED
        case 3:  # RECREATE
            return state.submissions[RETIRE].answer == ACCEPTED
        case _:
            return True


def _expected_version(state: State, number: int) -> int:
    """Return the version that the request expects; 0 for no deployment."""
    if number != RETIRE:
        return 0
    created = [write.request for write in state.log].index(CREATE)
    return created + 1


def _visible_version(state: State) -> int:
    """Return the version of the deployment; 0 if there is none."""
    if state.log and state.log[-1].request == RETIRE:
        return 0
    return len(state.log)


def _finds_change_id(state: State, number: int, omitted: str) -> bool:
    """Return whether the change id is found among the accepted ones."""
    if omitted == "change_id":
        return False
    searched = state.log
    if omitted == "archive":
        searched = state.log[-_CHANGES_IN_OBJECT:]
    return number in [write.request for write in searched]


def _submit(state: State, number: int, omitted: str) -> tuple[str, State]:
    """Send a request; an instance reads the object and checks it."""
    submission = state.submissions[number]
    slot = "second" if submission.times_sent else "first"
    answer, base = NO_ANSWER, _NO_ATTEMPT
    if not state.api_up:
        answer = UNKNOWN
    elif _finds_change_id(state, number, omitted):
        answer = ACCEPTED
    elif _visible_version(state) != _expected_version(state, number):
        answer = ABORTED
    else:
        base = len(state.log)
    submission = submission._replace(
        answer=answer, times_sent=submission.times_sent + 1, **{slot: base}
    )
    return "change", _with_submission(state, number, submission)


def _finish_attempt(
    state: State, number: int, slot: str, omitted: str
) -> Steps:
    """Yield each way in which an attempt that read the object can go on."""
    submission = state.submissions[number]
    base = getattr(submission, slot)
    finished = submission._replace(**{slot: _NO_ATTEMPT})
    unknown = finished._replace(answer=UNKNOWN)
    yield "killed", _with_submission(state, number, unknown)
    if not state.api_up:
        yield "unavailable", _with_submission(state, number, unknown)
        return
    if base != len(state.log) and omitted != "condition":
        answer = ABORTED
        if _finds_change_id(state, number, omitted):
            answer = ACCEPTED
        elif slot == "first" and submission.times_sent == 2:
            # The operator has sent it again and waits for that answer.
            answer = submission.answer
        answered = finished._replace(answer=answer)
        yield "conflict", _with_submission(state, number, answered)
        return
    written = state._replace(log=(*state.log, Write(number, base)))
    accepted = finished._replace(answer=ACCEPTED)
    yield "accepted", _with_submission(written, number, accepted)
    # The write took effect. The instance tries it again, or is killed.
    yield "answer_lost", _with_submission(written, number, submission)
    if omitted == "unknown":
        unknown = finished._replace(answer=ABORTED)
    yield "answer_lost_and_killed", _with_submission(written, number, unknown)


def _with_submission(
    state: State, number: int, submission: Submission
) -> State:
    changed = list(state.submissions)
    changed[number] = submission
    return state._replace(submissions=tuple(changed))
