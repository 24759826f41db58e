"""How the configuration spreads, for the model checker.

This is what ``_sync`` and ``_configuration`` do: an instance follows three
writes to two deployments by list and watch, takes the pages of another and
of a third that lags, puts in force what it had accepted itself, restarts,
and gets each answer late. The other instance follows the API without delay
and accepts changes too.

Abstracted: time, the sizes of pages (a page is whole, as the code applies
pages only when it has them all), the spread of gossip (an instance reads
what its peers say of themselves at the step in which it uses it), and
removal of objects, which tests/test_configuration.py covers with
Hypothesis. A ``without`` names the mechanism that is left out.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

Steps = Iterator[tuple[str, typing.Any]]
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
