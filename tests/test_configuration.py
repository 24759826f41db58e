"""The active configuration never reverts, whatever the source."""

import hypothesis
from hypothesis import strategies
import pytest

from geraniumlink import _objects
from geraniumlink.configuration import _configuration
from tests import builders

KIND = _configuration.KIND


def stored(version, name="a", models=("m",), since=None, deployment=True):
    """Return a deployment's object as the object API stores it."""
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
    """Return the API's objects by name after the first ``revision`` writes."""
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
def test_late_responses_in_any_order_never_revert_a_deployment(
    writes, deliveries
):
    """Each response was correct when it was sent; it may arrive late."""
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


def test_a_peers_page_advances_the_revision_only_up_to_what_it_sends():
    configuration = _configuration.Configuration()
    configuration.apply_listing(listing(stored(3)))
    configuration.apply_peer_page(_configuration.Page([], 99, more=False))
    assert configuration.revision == 3
    configuration.apply_listing(listing(stored(7)))
    assert versions(configuration) == {"a": 7}


def test_an_own_write_does_not_hide_earlier_changes_of_others():
    """Version 9 is accepted here, version 8 by another instance before."""
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


def test_pages_are_bounded_and_together_complete():
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


def test_an_object_missing_from_a_complete_list_is_removed():
    configuration = _configuration.Configuration()
    configuration.apply_listing(listing(stored(1), stored(2, "b")))
    kept = listing(stored(2, "b"), revision=9)
    assert configuration.apply_listing(kept, complete=True) == ["a"]
    assert configuration.get("a") is None
    assert configuration.apply_listing(listing(stored(1))) == []


def test_tombstones_of_removed_objects_are_bounded():
    configuration = _configuration.Configuration()
    for version in range(1, _configuration.MAX_TOMBSTONES + 50):
        gone = _objects.Object(KIND, f"d{version}", version, None)
        configuration.apply_listing(listing(gone))
    assert len(versions(configuration)) == _configuration.MAX_TOMBSTONES


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
def test_an_unreadable_object_is_a_finding_and_last_valid_version_stays(value):
    configuration = _configuration.Configuration()
    configuration.apply_listing(listing(stored(1)))
    bad = _objects.Object(KIND, "a", 2, value)
    configuration.apply_listing(listing(bad))
    assert configuration.get("a").deployment.models[0].name == "m"
    (finding,) = configuration.findings
    assert finding.place == "deployments[a]"
    # Peers get the object as it was received: one that can parse it must not
    # be sent the last valid value under the new version.
    assert configuration.page_after(1).objects == [bad]


@hypothesis.given(strategies.permutations([5, 6, 7, 8]))
def test_a_model_declared_twice_has_one_owner_in_any_order_of_arrival(order):
    """a gets model m at version 5, b at 6, and both change afterwards."""
    writes = {
        5: stored(5, "a"),
        6: stored(6, "b"),
        7: stored(7, "b", since={"m": 6}),
        8: stored(8, "a", since={"m": 5}),
    }
    configuration = _configuration.Configuration()
    for last_version in order:
        latest = {}
        for version in range(5, last_version + 1):
            latest[writes[version].name] = writes[version]
        configuration.apply_listing(listing(*latest.values()))
        assert configuration.find_model_owner("m").name == "a"
    (finding,) = configuration.findings
    assert finding.place == "deployments[b].models[m]"
    configuration.apply_listing(listing(retired(9, "a")))
    assert configuration.find_model_owner("m").name == "b"
    assert configuration.findings == ()
