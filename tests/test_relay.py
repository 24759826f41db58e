"""Instances learn of the store from the controller, or by themselves."""

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from tests import hosts


class _Table:
    """What a follower has handed over."""

    def __init__(self):
        self.names = {}

    def take_list(self, objects):
        self.names = {found.name: found.value for found in objects}

    def take_change(self, found):
        if found.value is None:
            self.names.pop(found.name, None)
        else:
            self.names[found.name] = found.value


class _Side:
    """A follower with its table and relay."""

    def __init__(self):
        self.table = _Table()
        self.clock = _clock.ManualClock()
        self.watcher = _object_watcher.ObjectWatcher(
            None,
            "servers",
            self.clock,
            on_list=self.table.take_list,
            on_change=self.table.take_change,
            batch_delay_ms=0,
        )
        self.relay = _relay.Relay([self.watcher])

    def learn_from(self, other):
        self.relay.apply_changes(
            other.relay.encode_changes(self.relay.known_revisions())
        )


def _object(name, version, value):
    return _objects.Object("servers", name, version, value)


def _apply(side, revision, changes):
    listing = _objects.Listing(revision, changes)
    if revision == 1:
        side.watcher._take_list(listing)
    else:
        side.watcher._take_changes(listing)


_names = st.sampled_from("abcde")
_steps = st.lists(
    st.tuples(_names, st.none() | st.integers(0, 9), st.booleans()),
    max_size=40,
)


@hypothesis.given(_steps)
def test_who_learns_from_another_knows_the_same(steps):
    leader, learner = _Side(), _Side()
    _apply(leader, 1, [])
    for revision, (name, value, asks) in enumerate(steps, start=2):
        # A removal carries the version of the object's last change.
        version = revision if value is not None else revision - 1
        _apply(leader, revision, [_object(name, version, value)])
        if asks:
            learner.learn_from(leader)
            assert learner.table.names == leader.table.names
    learner.learn_from(leader)
    assert learner.table.names == leader.table.names
    assert learner.watcher.revision == leader.watcher.revision


def test_a_leader_that_is_behind_teaches_nothing():
    leader, learner = _Side(), _Side()
    _apply(leader, 1, [_object("a", 1, {})])
    _apply(learner, 1, [_object("a", 1, {})])
    _apply(learner, 5, [_object("b", 5, {})])
    learner.learn_from(leader)
    assert set(learner.table.names) == {"a", "b"}
    assert learner.watcher.revision == 5


def test_a_leader_that_knows_nothing_teaches_nothing():
    leader, learner = _Side(), _Side()
    _apply(learner, 1, [_object("a", 1, {})])
    learner.learn_from(leader)
    assert set(learner.table.names) == {"a"}


@pytest.mark.parametrize("told", (None, {}, {"servers": [1]}, {"servers": 1}))
def test_what_makes_no_sense_changes_nothing(told):
    learner = _Side()
    _apply(learner, 1, [_object("a", 1, {})])
    learner.relay.apply_changes(told)
    assert set(learner.table.names) == {"a"}


async def _store_calls(fleet, site):
    return sum((await fleet.record(site.store))["calls"].values())


@pytest.mark.anyio
async def test_the_calls_to_the_store_dont_grow_with_the_instances(fleet):
    """Only the controller renews and watches; 5 s cost each other none."""
    site = await hosts.Site(fleet).start(instances=5)
    await hosts.anyio.sleep(3)
    before = await _store_calls(fleet, site)
    await hosts.anyio.sleep(5)
    calls = await _store_calls(fleet, site) - before
    # Two renewals a second, and two watches of 4 s with their answers.
    assert calls <= 5 * 2 + 2 * 2 * 2 + 4


@pytest.mark.anyio
async def test_a_change_reaches_all_and_also_after_the_leaders_end(fleet):
    site = await hosts.Site(fleet).start(instances=3)

    async def add(name, version):
        added = hosts.route(name, "safe")
        await site.configure(hosts.configuration(version, added))

        async def everywhere():
            answers = [
                await hosts.send_request(host.port, f"/{name}/x")
                for host in site.instances
                if host.running
            ]
            return all(answer.status == 200 for answer in answers)

        with hosts.anyio.fail_after(2 + 3):
            await fleet.until(everywhere, f"{name} is in force")

    await add("first", 2)
    leader = next(
        h for h in site.instances if hosts.find_log_lines(h, "lease_taken")
    )
    leader.kill()
    await add("second", 3)
    await fleet.faults(site.store, outage=True)
    await fleet.faults(site.store, outage=False)
    await add("third", 4)
