"""Specification: configuration reaches each instance and never goes back.

This models ``_sync`` and ``_configuration``. Three writes are made to two
deployments. The first instance follows them by list and watch, fetches
configuration from a second instance and from a lagging third one, applies the
changes that it accepted itself, and may restart. Each answer to it may be
late. The second instance follows the API without delay and accepts changes
too.

Not modelled: time; the size of pages (the code applies the pages of an answer
only when it has all, so an answer is one step here); the delay of gossip (an
instance reads the current revision of its peers); and the removal of objects,
which tests/test_configuration.py covers with Hypothesis.

The argument ``omitted`` names one mechanism that is left out, so that tests
can show that it is needed.
"""

from __future__ import annotations

from collections.abc import Iterator
import typing

import minicheck

Steps = Iterator[tuple[str, typing.Any]]
# The deployment that each write changes, in the order of the writes. A
# write's revision, and the version that it gives, is its position, from 1.
_WRITTEN_DEPLOYMENTS = (0, 1, 0)
_DEPLOYMENTS = (0, 1)


class Update(typing.NamedTuple):
    """Configuration that an instance is about to receive or apply."""

    # Version of each deployment; 0 for one that is not included.
    versions: tuple[int, int]
    # All changes up to this revision are included; 0 promises none.
    revision: int
    # Whether the API sent a list of all objects, and not a watch's changes.
    is_list: bool = False


class Instance(typing.NamedTuple):
    """The configuration of an instance, and the answers on their way to it."""

    # Version of each deployment in force; 0 for one that is not known.
    versions: tuple[int, int] = (0, 0)
    # All changes up to this revision are in force.
    revision: int = 0
    # Whether the instance is ready: it has a complete configuration.
    is_loaded: bool = False
    # Revision after which the watch continues; -1 before the first list.
    watch_revision: int = -1
    from_api: Update | None = None
    from_peer: Update | None = None


class State(typing.NamedTuple):
    """The state of the object API and of two instances."""

    # How many writes were made.
    writes: int
    instances: tuple[Instance, Instance]
    # Whether the object API can be reached.
    api_up: bool
    # How many more outages and restarts may happen.
    outages_left: int
    restarts_left: int
    # Whether the last step moved a deployment to an older version.
    reverted: bool = False
    # Whether it made an instance ready that was behind a peer.
    behind_when_ready: bool = False


# A third instance, which was paused after the first write and still answers
# with that state.
_LAGGING_PEER = Instance((1, 0), 1, True)


def propagation(omitted: str = "") -> minicheck.Protocol:
    """Return the protocol, or a mutant that lacks one mechanism.

    ``omitted`` is empty or one of: version_check (an older version replaces
    a newer one), peer_revision (a peer's answer moves the revision to the
    newest version in it), own_write (an accepted change moves the revision
    to its version), whole_start (ready after any answer), whole_page (a part
    of a peer's answer moves the revision as the whole would).
    """
    return minicheck.Protocol(
        name="propagation",
        candidate=False,
        fields=State._fields,
        initial=State(0, (Instance(), Instance()), True, 1, 1),
        transitions=lambda state: list(
            _possible_steps(State(*state), omitted)
        ),
        invariants={
            "no_instance_reverts": lambda state: not state["reverted"],
            "all_changes_up_to_the_revision_are_in_force": _has_all_changes,
            "ready_with_the_newest_that_peers_have": lambda state: (
                not state["behind_when_ready"]
            ),
        },
    )


def _has_all_changes(state: dict) -> bool:
    """Return whether instances have all changes up to their revisions."""
    for instance in state["instances"]:
        needed = _versions_at(instance.revision)
        if any(
            version < needed_version
            for version, needed_version in _pairs(instance.versions, needed)
        ):
            return False
    return True


def _pairs(
    left: tuple[int, int], right: tuple[int, int]
) -> Iterator[tuple[int, int]]:
    return zip(left, right, strict=True)


def _versions_at(revision: int) -> tuple[int, int]:
    """Return the version of each deployment at a revision."""
    first, second = (
        max(
            (
                version
                for version, written in enumerate(
                    _WRITTEN_DEPLOYMENTS[:revision], 1
                )
                if written == deployment
            ),
            default=0,
        )
        for deployment in _DEPLOYMENTS
    )
    return first, second


def _possible_steps(state: State, omitted: str) -> Steps:
    if state.outages_left and state.api_up:
        yield "outage", state._replace(api_up=False, outages_left=0)
    if not state.api_up:
        yield "outage_over", state._replace(api_up=True)
    for number in (0, 1):
        if state.api_up and state.writes < len(_WRITTEN_DEPLOYMENTS):
            yield from _write(state, number, omitted)
    yield from _fetch(state, omitted)
    yield from _receive(state, omitted)
    if state.api_up and state.instances[1].revision < state.writes:
        yield "watch", _update_other_instance(state)
    if state.restarts_left:
        restarted = _with_instance(state, 0, Instance())
        yield "restart", restarted._replace(restarts_left=0)


def _update_other_instance(state: State) -> State:
    """Give the second instance everything that was written."""
    versions = _versions_at(state.writes)
    return _with_instance(state, 1, Instance(versions, state.writes, True))


def _write(state: State, number: int, omitted: str) -> Steps:
    """Write a change through an instance, with its answer or without."""
    version = state.writes + 1
    versions = [0, 0]
    versions[_WRITTEN_DEPLOYMENTS[state.writes]] = version
    written = state._replace(writes=version)
    yield "answer_lost", written
    revision = version if omitted == "own_write" else 0
    update = Update((versions[0], versions[1]), revision)
    yield "accepted", _apply(written, number, update, omitted)


def _fetch(state: State, omitted: str) -> Steps:
    """Prepare the answers of the API and of peers to the first instance."""
    instance = state.instances[0]
    if (
        state.api_up
        and instance.from_api is None
        and state.writes > instance.watch_revision
    ):
        fetching = instance._replace(
            from_api=_api_answer(state, instance.watch_revision)
        )
        yield "watch", _with_instance(state, 0, fetching)
    if instance.from_peer is not None:
        return
    for peer in (state.instances[1], _LAGGING_PEER):
        if _is_ahead(peer, instance):
            revision = peer.revision
            if omitted == "peer_revision":
                revision = max(peer.versions)
            versions = peer.versions
            if omitted == "whole_page":
                versions = (versions[0], 0)
            update = Update(versions, revision)
            fetching = instance._replace(from_peer=update)
            yield "fetch", _with_instance(state, 0, fetching)


def _api_answer(state: State, watch_revision: int) -> Update:
    """Return a list of all objects at first, then what changed since."""
    first, second = (
        version if version > watch_revision else 0
        for version in _versions_at(state.writes)
    )
    return Update((first, second), state.writes, is_list=watch_revision < 0)


def _is_ahead(peer: Instance, instance: Instance) -> bool:
    """Return whether the peer has a newer version or revision."""
    newer = max(peer.versions) > max(instance.versions)
    return newer or peer.revision > instance.revision


def _receive(state: State, omitted: str) -> Steps:
    """Deliver answers to the first instance, or make it ready."""
    instance = state.instances[0]
    if instance.from_api is not None:
        answer = instance.from_api
        updated = instance._replace(
            from_api=None,
            watch_revision=answer.revision,
            is_loaded=instance.is_loaded or answer.is_list,
        )
        received = _with_instance(state, 0, updated)
        yield "configuration_in_force", _apply(received, 0, answer, omitted)
    if instance.from_peer is not None:
        received = _with_instance(state, 0, instance._replace(from_peer=None))
        applied = _apply(received, 0, instance.from_peer, omitted)
        yield "configuration_in_force", applied
    if (
        not instance.is_loaded
        and instance.revision
        and _may_become_ready(state, omitted)
    ):
        ready = _with_instance(state, 0, instance._replace(is_loaded=True))
        yield (
            "configuration_loaded",
            ready._replace(behind_when_ready=_is_behind(state)),
        )


def _may_become_ready(state: State, omitted: str) -> bool:
    return omitted == "whole_start" or not _is_behind(state)


def _is_behind(state: State) -> bool:
    """Return whether any peer is ahead of the first instance."""
    peers = (state.instances[1], _LAGGING_PEER)
    return any(_is_ahead(peer, state.instances[0]) for peer in peers)


def _apply(state: State, number: int, update: Update, omitted: str) -> State:
    """Apply an update to the configuration of an instance."""
    instance = state.instances[number]
    first, second = (
        new if omitted == "version_check" and new else max(old, new)
        for old, new in _pairs(instance.versions, update.versions)
    )
    versions = (first, second)
    reverted = any(
        new < old for old, new in _pairs(instance.versions, versions)
    )
    revision = max(instance.revision, min(update.revision, max(versions)))
    instance = instance._replace(versions=versions, revision=revision)
    return _with_instance(state, number, instance)._replace(reverted=reverted)


def _with_instance(state: State, number: int, instance: Instance) -> State:
    instances = list(state.instances)
    instances[number] = instance
    return state._replace(
        instances=(instances[0], instances[1]),
        reverted=False,
        behind_when_ready=False,
    )
