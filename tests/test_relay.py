"""Changes in the store reach instances by the controller or directly."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _clock
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher
from geraniumlink.hosting import _relay
from tests import hosts


class _ReceivedObjects:
    """The objects that a watcher has passed to its callbacks."""

    def __init__(self):
        self.values_by_name = {}

    def apply_list(self, objects):
        self.values_by_name = {item.name: item.value for item in objects}

    def apply_change(self, item):
        if item.value is None:
            self.values_by_name.pop(item.name, None)
        else:
            self.values_by_name[item.name] = item.value


class _WatchedCopy:
    """One instance's watcher and relay, and what the watcher passed on."""

    def __init__(self):
        self.received = _ReceivedObjects()
        self.clock = _clock.ManualClock()
        self.watcher = _object_watcher.ObjectWatcher(
            None,
            "servers",
            self.clock,
            on_list=self.received.apply_list,
            on_change=self.received.apply_change,
            batch_delay_ms=0,
        )
        self.relay = _relay.Relay([self.watcher])

    def relay_from(self, other):
        self.relay.apply_changes(
            other.relay.encode_changes(self.relay.known_revisions())
        )


def _object(name, version, value):
    return _objects.Object("servers", name, version, value)


def _apply(copy, revision, changes):
    listing = _objects.Listing(revision, changes)
    if revision == 1:
        copy.watcher._apply_list(listing)
    else:
        copy.watcher._apply_changes(listing)


_names = st.sampled_from("abcde")
_steps = st.lists(
    st.tuples(_names, st.none() | st.integers(0, 9), st.booleans()),
    max_size=40,
)


@hypothesis.given(_steps)
def test_relayed_objects_equal_the_senders(steps):
    sender, receiver = _WatchedCopy(), _WatchedCopy()
    _apply(sender, 1, [])
    for revision, (name, value, relays) in enumerate(steps, start=2):
        # The store returns a removal with the version of the last write.
        version = revision if value is not None else revision - 1
        _apply(sender, revision, [_object(name, version, value)])
        if relays:
            receiver.relay_from(sender)
            assert (
                receiver.received.values_by_name
                == sender.received.values_by_name
            )
    receiver.relay_from(sender)
    assert receiver.received.values_by_name == sender.received.values_by_name
    assert receiver.watcher.revision == sender.watcher.revision


def test_a_sender_that_is_behind_changes_nothing():
    sender, receiver = _WatchedCopy(), _WatchedCopy()
    _apply(sender, 1, [_object("a", 1, {})])
    _apply(receiver, 1, [_object("a", 1, {})])
    _apply(receiver, 5, [_object("b", 5, {})])
    receiver.relay_from(sender)
    assert set(receiver.received.values_by_name) == {"a", "b"}
    assert receiver.watcher.revision == 5


def test_a_sender_without_a_list_changes_nothing():
    sender, receiver = _WatchedCopy(), _WatchedCopy()
    _apply(receiver, 1, [_object("a", 1, {})])
    receiver.relay_from(sender)
    assert set(receiver.received.values_by_name) == {"a"}


@pytest.mark.parametrize(
    "encoded", (None, {}, {"servers": [1]}, {"servers": 1})
)
def test_malformed_changes_change_nothing(encoded):
    receiver = _WatchedCopy()
    _apply(receiver, 1, [_object("a", 1, {})])
    receiver.relay.apply_changes(encoded)
    assert set(receiver.received.values_by_name) == {"a"}


async def _count_store_calls(fleet, site):
    return sum((await fleet.record(site.store))["calls"].values())


@pytest.mark.anyio
@pytest.mark.serial
async def test_store_calls_dont_grow_with_the_instances(fleet):
    """Only the controller's instance renews its lease and watches."""
    site = await hosts.Site(fleet).start(instances=5)

    async def others_have_stopped():
        calls = (await fleet.record(site.store))["calls"]
        return calls["watch"] - calls.get("watch answer", 0) <= 2

    # Each instance watches until the controller passes changes on to it.
    await fleet.until(others_have_stopped, "only the controller watches")
    before = await _count_store_calls(fleet, site)
    await hosts.anyio.sleep(5)
    calls = await _count_store_calls(fleet, site) - before
    # In 5 s: two lease renewals a second, the watches on two kinds of object
    # with their responses, and 4 calls more.
    watches = 5000 // _object_watcher.WATCH_TIMEOUT_MS + 1
    assert calls <= 5 * 2 + watches * 2 * 2 + 4


@pytest.mark.anyio
@pytest.mark.serial
async def test_changes_reach_all_instances_after_the_controller_ends(fleet):
    site = await hosts.Site(fleet).start(instances=3)

    async def add(name, version):
        added = hosts.route(name, "safe")
        await site.configure(hosts.configuration(version, added))

        async def in_force_everywhere():
            answers = [
                await hosts.send_request(instance.port, f"/{name}/x")
                for instance in site.instances
                if instance.running
            ]
            return all(answer.status == 200 for answer in answers)

        with hosts.anyio.fail_after(2 + 3):
            await fleet.until(in_force_everywhere, f"{name} is in force")

    await add("first", 2)
    controller = next(
        instance
        for instance in site.instances
        if hosts.find_log_lines(instance, "lease_taken")
    )
    controller.kill()
    await add("second", 3)
    await fleet.faults(site.store, outage=True)
    await fleet.faults(site.store, outage=False)
    await add("third", 4)


def test_changes_for_many_instances_are_encoded_once(monkeypatch):
    sender = _WatchedCopy()
    _apply(sender, 1, [_object("a", 1, {})])
    _apply(sender, 2, [_object("b", 2, {})])
    encoded = []
    encode = _relay._encode
    monkeypatch.setattr(
        _relay, "_encode", lambda changes: encoded.append(1) or encode(changes)
    )
    first = [sender.relay.encode_changes({"servers": 1}) for _ in range(80)]
    assert len(encoded) == 1
    _apply(sender, 3, [_object("c", 3, {})])
    assert sender.relay.encode_changes({"servers": 1}) != first[0]


def test_an_instance_without_new_changes_is_sent_none():
    sender = _WatchedCopy()
    _apply(sender, 1, [_object("a", 1, {"x": "y" * 10_000})])
    assert sender.relay.encode_changes({"servers": 1}) == {"servers": ""}


def test_a_configuration_with_many_accounts_is_relayed_whole():
    """Left out, it would never be in force at instances without a watch."""
    source = random.Random(1)
    accounts = [
        {
            "name": f"account-{number:05d}",
            "api_keys": [f"{source.getrandbits(256):064x}" for _ in range(2)],
            "priority": number % 4,
            "rate_per_s": source.randrange(4200, 270_000),
            "burst": source.randrange(4200, 270_000),
            "unit": "tokens",
            "plain_tokens": 500,
        }
        for number in range(10_000)
    ]
    sender, receiver = _WatchedCopy(), _WatchedCopy()
    _apply(sender, 1, [_object("a", 1, {"tenants": accounts})])
    receiver.relay_from(sender)
    assert receiver.received.values_by_name == {"a": {"tenants": accounts}}


def test_changes_of_a_controller_of_an_older_build_are_passed_over():
    sender, older, receiver = _WatchedCopy(), _WatchedCopy(), _WatchedCopy()
    for copy in (sender, older):
        _apply(copy, 1, [_object("r-1", 1, {"slots": 1})])
    receiver.relay_from(sender)
    _apply(older, 2, [_object("r-1", 2, {"slots": 2})])
    encoded = older.relay.encode_changes({"servers": 1})
    assert "source" not in encoded
    receiver.relay.apply_changes(encoded)
    assert receiver.received.values_by_name == {"r-1": {"slots": 2}}
