"""What is in force moves only forward, whoever brings it."""

import hypothesis
from hypothesis import strategies
import pytest

from geraniumlink import _objects
from geraniumlink.configuration import _configuration
from tests import builders

KIND = _configuration.KIND


def stored(version, name="a", models=("m",), since=None, deployment=True):
    """Return an object as the object API holds it."""
    value = builders.engines(["127.0.0.1:9"], models, name)
    return _objects.Object(
        KIND,
        name,
        version,
        {
            "deployment": value if deployment else None,
            "models_since": since or {},
            "changes": [],
            "archives": 0,
        },
    )


def retired(version, name="a"):
    return stored(version, name, deployment=False)


def listing(*objects, revision=0):
    highest = max([entry.version for entry in objects], default=0)
    return _objects.Listing(revision or highest, list(objects))


def versions(configuration):
    page = configuration.page_after(0, 2**30)
    return {entry.name: entry.version for entry in page.objects}


def state_at(writes, revision):
    """Return the objects of an API in which these writes were made."""
    latest = {}
    for version, (name, kind) in enumerate(writes[:revision], start=1):
        if kind == "remove":
            latest[name] = _objects.Object(KIND, name, version, None)
        else:
            latest[name] = stored(version, name, deployment=kind == "declare")
    return latest


WRITES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abc"),
        strategies.sampled_from(["declare", "declare", "retire", "remove"]),
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.given(
    WRITES,
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["list", "watch", "peer"]),
            strategies.integers(0, 8),
        ),
        max_size=8,
    ),
)
def test_late_answers_in_any_order_never_bring_back_an_older_state(
    writes, deliveries
):
    """Each answer was true when it was made, and arrives at any time."""
    configuration = _configuration.Configuration()
    peer = _configuration.Configuration()
    for source, made_at in deliveries:
        before = versions(configuration)
        at = min(made_at, len(writes))
        objects = list(state_at(writes, at).values())
        live = [entry for entry in objects if entry.value is not None]
        match source:
            case "list":
                whole = _objects.Listing(at, live)
                configuration.apply_listing(whole, complete=True)
            case "watch":
                if at >= configuration.revision:
                    configuration.apply_listing(_objects.Listing(at, objects))
            case "peer":
                peer.apply_listing(_objects.Listing(at, objects))
                page = peer.page_after(configuration.revision)
                configuration.apply_peer_page(page)
        after = versions(configuration)
        assert all(after[name] >= before[name] for name in before)
        newest = state_at(writes, configuration.revision)
        for name, entry in newest.items():
            shown = configuration.get(name)
            live_now = entry.value is not None and bool(
                entry.value["deployment"]
            )
            assert (shown is not None) == live_now


def test_a_peers_answer_moves_the_revision_only_by_what_it_brings():
    configuration = _configuration.Configuration()
    configuration.apply_listing(listing(stored(3)))
    configuration.apply_peer_page(_configuration.Page([], 99, more=False))
    assert configuration.revision == 3
    configuration.apply_listing(listing(stored(7)))
    assert versions(configuration) == {"a": 7}


def test_a_written_change_does_not_hide_those_before_it():
    """Accepted here as version 9, while version 8 was accepted elsewhere."""
    writer = _configuration.Configuration()
    writer.apply_listing(listing(stored(3)))
    writer.apply_written(stored(9))
    assert (writer.revision, writer.highest_version) == (3, 9)
    other = _configuration.Configuration()
    other.apply_listing(listing(stored(3), stored(8, "b", ["n"])))
    writer.apply_peer_page(other.page_after(writer.revision))
    assert versions(writer) == {"a": 9, "b": 8}
    assert writer.revision == 8
    other.apply_peer_page(writer.page_after(other.revision))
    assert versions(other) == versions(writer)


def test_pages_are_bounded_and_together_whole():
    source = _configuration.Configuration()
    objects = [stored(n, f"d{n}") for n in range(1, 30)]
    source.apply_listing(listing(*objects))
    found, after = [], 0
    while True:
        page = source.page_after(after, max_bytes=2000)
        assert len(page.objects) < 29
        found += page.objects
        if not page.more:
            break
        after = found[-1].version
    assert found == objects


def test_what_a_complete_list_leaves_out_was_removed():
    configuration = _configuration.Configuration()
    configuration.apply_listing(listing(stored(1), stored(2, "b")))
    kept = listing(stored(2, "b"), revision=9)
    assert configuration.apply_listing(kept, complete=True) == ["a"]
    assert configuration.get("a") is None
    assert configuration.apply_listing(listing(stored(1))) == []


def test_tombstones_of_removed_objects_are_bounded():
    configuration = _configuration.Configuration()
    for version in range(1, _configuration.MAX_REMOVED + 50):
        gone = _objects.Object(KIND, f"d{version}", version, None)
        configuration.apply_listing(listing(gone))
    assert len(versions(configuration)) == _configuration.MAX_REMOVED


@pytest.mark.parametrize(
    "value",
    [
        17,
        {},
        {"deployment": {"name": "b"}, "models_since": {}},
        {"deployment": {"name": "a", "models": 3}, "models_since": {}},
        {"deployment": {"name": "a"}, "models_since": 4},
    ],
)
def test_an_unreadable_object_is_a_finding_and_the_last_good_one_stays(value):
    configuration = _configuration.Configuration()
    configuration.apply_listing(listing(stored(1)))
    bad = _objects.Object(KIND, "a", 2, value)
    configuration.apply_listing(listing(bad))
    assert configuration.get("a").deployment.models[0].name == "m"
    (finding,) = configuration.findings
    assert finding.place == "deployments[a]"
    # A peer that can read it must not get the old one as the new.
    assert configuration.page_after(1).objects == [bad]


@hypothesis.given(strategies.permutations([5, 6, 7, 8]))
def test_a_model_declared_twice_has_one_owner_in_any_order_of_arrival(order):
    """Accepted: a at 5 with m, b at 6 with m, both changed afterwards."""
    writes = {
        5: stored(5, "a"),
        6: stored(6, "b"),
        7: stored(7, "b", since={"m": 6}),
        8: stored(8, "a", since={"m": 5}),
    }
    configuration = _configuration.Configuration()
    for upto in order:
        latest = {}
        for version in range(5, upto + 1):
            latest[writes[version].name] = writes[version]
        configuration.apply_listing(listing(*latest.values()))
        assert configuration.find_model_owner("m").name == "a"
    (finding,) = configuration.findings
    assert finding.place == "deployments[b].models[m]"
    configuration.apply_listing(listing(retired(9, "a")))
    assert configuration.find_model_owner("m").name == "b"
    assert configuration.findings == ()
