"""How changes are accepted and how they spread, for the model checker.

``acceptance`` is what ``_changes.Changes.accept`` does: two operators race
on one deployment through any instance, which reads the object, checks the
change id and the expected version, and writes conditionally. Answers are
lost after the write took effect, instances are killed in between, the API
has an outage, and each request is sent twice, early or late. The object
keeps its latest change only, older ones are in the archive.

``spreading`` is what ``_sync`` and ``_configuration`` do: an instance
follows three writes to two deployments by list and watch, takes the pages
of another and of a third that lags, puts in force what it had accepted
itself, restarts, and gets each answer late. The other instance follows the
API without delay and accepts changes too.

Abstracted: time, the sizes of pages (a page is whole, as the code applies
pages only when it has them all), the spread of gossip (an instance reads
what its peers say of themselves at the step in which it uses it), and
removal of objects, which tests/test_configuration.py covers with
Hypothesis. A ``without`` names the mechanism that is left out.
"""

from __future__ import annotations

import typing
from collections.abc import Iterator

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


# The deployment that each write of ``spreading`` changes.
_WRITES = (0, 1, 0)
_DEPLOYMENTS = (0, 1)


class Page(typing.NamedTuple):
    """An answer on its way: versions of the deployments, and up to where."""

    versions: tuple[int, int]
    revision: int
    # Of the API's answers: a whole list, not a watch.
    is_list: bool = False


class Node(typing.NamedTuple):
    """An instance."""

    versions: tuple[int, int] = (0, 0)
    revision: int = 0
    loaded: bool = False
    # Where the watch goes on; -1 before a list was received.
    cursor: int = -1
    from_api: Page | None = None
    from_peer: Page | None = None


class Spreading(typing.NamedTuple):
    """The state of ``spreading``."""

    writes: int
    nodes: tuple[Node, Node]
    up: bool
    outages: int
    restarts: int
    # What went wrong, as seen by an observer of the last step.
    reverted: bool = False
    behind_when_ready: bool = False


# A third instance that was frozen after the first write and answers now.
_LAGGING = Node((1, 0), 1, True)


def spreading(without: str = "") -> minicheck.Protocol:
    """Return the protocol, or a mutant of it.

    ``without`` is one of: version_check, peer_revision (a page moves the
    revision to the newest version in it), own_write (as before, by a write
    of its own), whole_start (ready after any answer), whole_page (a part of
    a peer's page moves the revision as the whole does).
    """
    return minicheck.Protocol(
        name="spreading",
        candidate=False,
        fields=Spreading._fields,
        initial=Spreading(0, (Node(), Node()), True, 1, 1),
        transitions=lambda state: list(
            _spreading_steps(Spreading(*state), without)
        ),
        invariants={
            "no_instance_reverts": lambda state: not state["reverted"],
            "all_changes_up_to_the_revision_are_in_force": _complete,
            "ready_with_the_newest_that_peers_have": lambda state: (
                not state["behind_when_ready"]
            ),
        },
    )


def _complete(state: dict) -> bool:
    for node in state["nodes"]:
        needed = _versions_at(node.revision)
        if any(has < need for has, need in _pairs(node.versions, needed)):
            return False
    return True


def _pairs(
    left: tuple[int, int], right: tuple[int, int]
) -> Iterator[tuple[int, int]]:
    return zip(left, right, strict=True)


def _versions_at(revision: int) -> tuple[int, int]:
    """Return the version of each deployment when that many were written."""
    first, second = (
        max(
            (
                version
                for version, written in enumerate(_WRITES[:revision], 1)
                if written == deployment
            ),
            default=0,
        )
        for deployment in _DEPLOYMENTS
    )
    return first, second


def _spreading_steps(state: Spreading, without: str) -> Steps:
    if state.outages and state.up:
        yield "outage", state._replace(up=False, outages=0)
    if not state.up:
        yield "outage_over", state._replace(up=True)
    for number in (0, 1):
        if state.up and state.writes < len(_WRITES):
            yield from _write(state, number, without)
    yield from _ask(state, without)
    yield from _receive(state, without)
    if state.up and state.nodes[1].revision < state.writes:
        yield "watch", _follow(state)
    if state.restarts:
        emptied = _with_node(state, 0, Node())
        yield "restart", emptied._replace(restarts=0)


def _follow(state: Spreading) -> Spreading:
    versions = _versions_at(state.writes)
    return _with_node(state, 1, Node(versions, state.writes, True))


def _write(state: Spreading, number: int, without: str) -> Steps:
    """A change is accepted through an instance, which gets the answer."""
    version = state.writes + 1
    versions = [0, 0]
    versions[_WRITES[state.writes]] = version
    written = state._replace(writes=version)
    yield "answer_lost", written
    revision = version if without == "own_write" else 0
    page = Page((versions[0], versions[1]), revision)
    yield "accepted", _take(written, number, page, without)


def _ask(state: Spreading, without: str) -> Steps:
    node = state.nodes[0]
    if state.up and node.from_api is None and state.writes > node.cursor:
        asked = node._replace(from_api=_api_answer(state, node.cursor))
        yield "watch", _with_node(state, 0, asked)
    if node.from_peer is not None:
        return
    for peer in (state.nodes[1], _LAGGING):
        if _is_ahead(peer, node):
            revision = peer.revision
            if without == "peer_revision":
                revision = max(peer.versions)
            versions = peer.versions
            if without == "whole_page":
                versions = (versions[0], 0)
            page = Page(versions, revision)
            asked = node._replace(from_peer=page)
            yield "fetch", _with_node(state, 0, asked)


def _api_answer(state: Spreading, cursor: int) -> Page:
    """List everything at first, then what is newer than the cursor."""
    first, second = (
        version if version > cursor else 0
        for version in _versions_at(state.writes)
    )
    return Page((first, second), state.writes, is_list=cursor < 0)


def _is_ahead(peer: Node, node: Node) -> bool:
    newer = max(peer.versions) > max(node.versions)
    return newer or peer.revision > node.revision


def _receive(state: Spreading, without: str) -> Steps:
    node = state.nodes[0]
    if node.from_api is not None:
        answer = node.from_api
        heard = node._replace(
            from_api=None,
            cursor=answer.revision,
            loaded=node.loaded or answer.is_list,
        )
        received = _with_node(state, 0, heard)
        yield "configuration_in_force", _take(received, 0, answer, without)
    if node.from_peer is not None:
        received = _with_node(state, 0, node._replace(from_peer=None))
        taken = _take(received, 0, node.from_peer, without)
        yield "configuration_in_force", taken
    if not node.loaded and node.revision and _caught_up(state, without):
        ready = _with_node(state, 0, node._replace(loaded=True))
        yield (
            "configuration_loaded",
            ready._replace(behind_when_ready=_is_behind(state)),
        )


def _caught_up(state: Spreading, without: str) -> bool:
    return without == "whole_start" or not _is_behind(state)


def _is_behind(state: Spreading) -> bool:
    peers = (state.nodes[1], _LAGGING)
    return any(_is_ahead(peer, state.nodes[0]) for peer in peers)


def _take(
    state: Spreading, number: int, page: Page, without: str
) -> Spreading:
    node = state.nodes[number]
    first, second = (
        new if without == "version_check" and new else max(old, new)
        for old, new in _pairs(node.versions, page.versions)
    )
    versions = (first, second)
    reverted = any(new < old for old, new in _pairs(node.versions, versions))
    revision = max(node.revision, min(page.revision, max(versions)))
    node = node._replace(versions=versions, revision=revision)
    return _with_node(state, number, node)._replace(reverted=reverted)


def _with_node(state: Spreading, number: int, node: Node) -> Spreading:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(
        nodes=(nodes[0], nodes[1]), reverted=False, behind_when_ready=False
    )
