"""Tests of the gossip membership table and of its messages."""

import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.members import _member_entries
from geraniumlink.members import _membership
from tests import builders

HEARTBEAT_MS = 1000


class OwnSettings(typing.NamedTuple):
    """The settings that membership reads."""

    name: str
    peer_address: _settings.Address
    data_centre: str = "debark"
    heartbeat_ms: int = HEARTBEAT_MS


class Group:
    """Membership tables in one process, exchanging at each heartbeat."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.clock = _clock.ManualClock()
        self._seed = seed
        self.tables: dict[str, _membership.Membership] = {}
        # Instances that neither send requests nor answer them.
        self.unresponsive: set[str] = set()
        for number in range(count):
            self.start_instance(f"i{number}")
        self.apply_instance_lists()

    def start_instance(
        self, name: str, port: int = 0
    ) -> _membership.Membership:
        port = port or 1000 + len(self.tables)
        self.tables[name] = _membership.Membership(
            OwnSettings(name, _settings.Address("127.0.0.1", port)),
            self.clock,
            random.Random(f"{self._seed} {name} {self.clock.wall()}"),
        )
        return self.tables[name]

    def apply_instance_lists(self) -> None:
        listed = {
            name: f"127.0.0.1:{1000 + number}"
            for number, name in enumerate(self.tables)
        }
        for table in self.tables.values():
            table.apply_instance_list(listed)

    def run(self, heartbeats: int) -> None:
        for _ in range(heartbeats):
            self.clock.advance(HEARTBEAT_MS)
            for name, table in self.tables.items():
                if name not in self.unresponsive:
                    self._exchange(table)

    def _exchange(self, table: _membership.Membership) -> None:
        peer = table.next_peer()
        if peer is None:
            return
        if peer.name in self.unresponsive or peer.name not in self.tables:
            table.record_failure(peer.name)
            return
        other = self.tables[peer.name]
        request, digest = table.select_request_entries(peer.name), table.digest
        other.merge(request)
        response = other.select_response_entries(request[0], digest)
        assert len(request) <= _membership.MAX_ENTRIES
        assert len(response) <= _membership.MAX_ENTRIES
        table.merge(response)
        table.record_answer(peer.name)

    def states_seen_by_others(self, name: str) -> list[str]:
        """Return an instance's state in each responsive instance's table.

        The state is "" in a table that does not have the instance.
        """
        found = []
        for other in sorted(self.tables.keys() - self.unresponsive - {name}):
            members = self.tables[other].members()
            states = {member.name: member.state for member in members}
            found.append(states.get(name, ""))
        return found

    def every_table_shows(self, name: str, **fields: object) -> bool:
        for other, table in self.tables.items():
            if other in self.unresponsive:
                continue
            known = {member.name: member for member in table.members()}
            if name not in known or any(
                getattr(known[name], field) != value
                for field, value in fields.items()
            ):
                return False
        return True


def test_every_entry_reaches_every_instance_of_a_large_group():
    group = Group(100)
    group.run(40)
    for name in group.tables:
        assert group.every_table_shows(name, state="live")


def test_a_group_without_changes_sends_only_own_entries():
    """Changes are passed on a limited number of times."""
    group = Group(30)
    group.run(120)
    for table in group.tables.values():
        assert len(table.select_request_entries()) == 1


def test_a_new_revision_becomes_known_everywhere():
    group = Group(50)
    group.run(60)
    group.tables["i3"].publish_versions(revision=7, newest=8)
    group.run(30)
    assert group.every_table_shows("i3", revision=7, newest=8)


def test_an_unresponsive_instance_is_suspected_everywhere_then_forgotten():
    group = Group(30)
    group.run(40)
    group.unresponsive.add("i3")
    group.run(20)
    assert set(group.states_seen_by_others("i3")) == {"suspect"}
    group.run(_membership.FORGET_AFTER_HEARTBEATS + 20)
    for table in group.tables.values():
        table.apply_instance_list({})
    group.run(_membership.FORGET_AFTER_HEARTBEATS)
    assert set(group.states_seen_by_others("i3")) == {""}


def test_an_instance_that_resumes_refutes_the_suspicion():
    group = Group(30)
    group.run(40)
    group.unresponsive.add("i3")
    group.run(20)
    group.unresponsive.clear()
    group.run(20)
    assert set(group.states_seen_by_others("i3")) == {"live"}


def test_nobody_is_suspected_while_all_answer():
    group = Group(60)
    group.run(100)
    for name in group.tables:
        assert "suspect" not in group.states_seen_by_others(name)


def test_an_isolated_instance_does_not_spread_suspicions():
    """Its own failed exchanges say nothing about its peers."""
    group = Group(20)
    group.run(40)
    isolated = group.tables["i3"]
    for _ in range(200):
        group.clock.advance(HEARTBEAT_MS)
        peer = isolated.next_peer()
        if peer is not None:
            isolated.record_failure(peer.name)
        for table in group.tables.values():
            if table is not isolated:
                table.merge(
                    [table.select_request_entries()[0]._replace(name="other")]
                )
    group.run(3)
    for name in group.tables.keys() - {"i3"}:
        assert "suspect" not in [
            state
            for other, state in zip(
                sorted(group.tables.keys() - {name}),
                group.states_seen_by_others(name),
                strict=True,
            )
            if other != "i3"
        ]


def test_leaving_is_known_everywhere_and_a_restart_replaces_it():
    group = Group(20)
    group.run(40)
    group.tables["i3"].announce_leaving()
    group.run(20)
    assert set(group.states_seen_by_others("i3")) == {"leaving"}
    group.start_instance("i3", port=1003)
    group.run(20)
    assert set(group.states_seen_by_others("i3")) == {"live"}


def test_a_restart_after_the_clock_was_set_back_is_accepted():
    """Peers know a higher incarnation, which would outdate the new one."""
    group = Group(10)
    group.run(30)
    early = _clock.ManualClock(wall=1_600_000_000_000)
    real, group.clock = group.clock, early
    group.start_instance("i3", port=1003)
    group.clock = real
    group.apply_instance_lists()
    group.tables["i3"].publish_versions(revision=5, newest=5)
    group.run(30)
    assert group.every_table_shows("i3", revision=5)


def test_two_instances_under_one_name_are_logged(monkeypatch):
    logged = []
    monkeypatch.setattr(
        _membership._logs,
        "event",
        lambda message, **fields: logged.append((message, fields)),
    )
    group = Group(3)
    group.run(5)
    other_group = Group(0)
    other_group.clock = group.clock
    duplicate = other_group.start_instance("i1", port=2001)
    for _ in range(3):
        group.tables["i1"].merge(duplicate.select_request_entries())
    assert [
        fields["other_address"]
        for message, fields in logged
        if message == "name_in_use"
    ] == ["127.0.0.1:2001"]


def test_known_peers_are_kept_when_the_instance_list_is_wrong():
    group = Group(10)
    group.run(30)
    for table in group.tables.values():
        table.apply_instance_list({"nobody": "127.0.0.1:9"})
    group.run(60)
    for name in group.tables:
        assert set(group.states_seen_by_others(name)) == {"live"}


ENTRIES = strategies.builds(
    _member_entries.Entry,
    strategies.sampled_from(["own", "x", "y"]),
    strategies.just("127.0.0.1:1"),
    strategies.just("debark"),
    strategies.integers(0, 2),
    strategies.integers(0, 2),
    strategies.integers(0, 2),
    strategies.integers(0, 2),
    strategies.booleans(),
    strategies.booleans(),
)


@hypothesis.given(strategies.lists(ENTRIES, min_size=1), strategies.randoms())
def test_order_and_repetition_of_messages_do_not_matter(
    entries, random_source
):
    """Merging entries in any order, or twice, gives the same table.

    An instance never sends two different entries of equal precedence, so one
    of each is kept.
    """
    unique = {(entry.name, entry.precedence): entry for entry in entries}
    seen = [entry for entry in unique.values() if not entry.suspect]
    hypothesis.assume(seen)

    def final(order):
        table = Group(0).start_instance("own")
        for entry in order:
            table.merge([entry])
        return {
            member.name: member.revision
            for member in table.members()
            if member.name != "own"
        }, table.digest if all(e.name != "own" for e in order) else ""

    shuffled = seen * 2
    random_source.shuffle(shuffled)
    assert final(seen) == final(shuffled)


@hypothesis.given(
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.text(max_size=5),
        lambda inner: strategies.lists(inner, max_size=10),
    )
)
def test_a_malformed_message_is_rejected(message):
    with pytest.raises(ValueError):
        _membership.from_json(message)


@pytest.mark.anyio
async def test_a_killed_instance_is_suspected_and_live_after_restart(
    fleet,
):
    for number in range(4):
        fleet.instance(f"i{number}", heartbeat_ms=100)
    await fleet.ready()

    async def all_see(name, state):
        for instance in fleet.instances:
            if instance.name == name or not instance.running:
                continue
            status = await fleet.call(instance, "Operator/Status")
            states = {
                entry["name"]: entry["state"]
                for entry in status.body["instances"]
            }
            if states.get(name) != state:
                return False
        return True

    await fleet.until(lambda: all_see("i3", "live"), "i3 is live")
    fleet.instances[3].kill()
    await fleet.until(lambda: all_see("i3", "suspect"), "i3 is suspected")
    fleet.instances[3].start()
    await fleet.until(lambda: all_see("i3", "live"), "i3 is live again")
    version = await builders.declare(
        fleet, fleet.instances[0], builders.services(1)
    )
    status = await fleet.call(fleet.instances[3], "Operator/Status")
    assert int(status.body["version"]) >= version
