"""Suspicion tables become equal through a controller, and cost little then."""

import hypothesis
from hypothesis import strategies as st
import orjson

from geraniumlink import _clock
from geraniumlink.suspicion import _suspicions
from geraniumlink.suspicion import _table_sync

_INSTANCES = 4


class _Fleet:
    """Instances that exchange their tables, each as a controller would."""

    def __init__(self):
        self.clock = _clock.ManualClock()
        self.tables = []
        self.syncs = []
        for _ in range(_INSTANCES):
            self.tables.append(_suspicions.SuspicionTable(self.clock))
            self.syncs.append(_table_sync.TableSync(self.tables[-1]))

    def restart(self, number):
        self.tables[number] = _suspicions.SuspicionTable(self.clock)
        self.syncs[number] = _table_sync.TableSync(self.tables[number])

    def report(self, sender, controller, is_answered=True):
        """Exchange one message; return the size of both parts in bytes."""
        report = orjson.dumps(self.syncs[sender].make_report())
        answer = orjson.dumps(
            self.syncs[controller].answer_report(orjson.loads(report))
        )
        if is_answered:
            self.syncs[sender].apply_answer(orjson.loads(answer))
        return len(report) + len(answer)

    def round(self, controller):
        return [
            self.report(sender, controller) for sender in range(_INSTANCES)
        ]

    def state(self, number):
        return {
            entry.fingerprint: (entry.crashes, entry.cleared)
            for entry in self.tables[number].entries()
        }


def _crash(number):
    return _suspicions.ServerProcess(f"10.0.0.{number}:80", "1")


_instances = st.integers(0, _INSTANCES - 1)
_fingerprints = st.sampled_from(("a", "b", "c"))
_steps = st.one_of(
    st.tuples(st.just("crash"), _instances, _fingerprints, st.integers(0, 3)),
    st.tuples(st.just("clear"), _instances, _fingerprints),
    st.tuples(st.just("report"), _instances, _instances, st.booleans()),
)


@hypothesis.given(st.lists(_steps, max_size=40), _instances)
def test_tables_become_equal_after_lost_answers_and_other_controllers(
    steps, controller
):
    fleet = _Fleet()
    for step in steps:
        match step:
            case ("crash", number, fingerprint, process):
                fleet.tables[number].add_crash(fingerprint, _crash(process))
            case ("clear", number, fingerprint):
                fleet.tables[number].clear_crashes(fingerprint)
            case ("report", sender, receiver, is_answered):
                fleet.report(sender, receiver, is_answered)
    for _ in range(4):
        fleet.round(controller)
    states = [fleet.state(number) for number in range(_INSTANCES)]
    assert all(state == states[0] for state in states)
    assert not any(table.unreported() for table in fleet.tables)


def _fill(table, count):
    for number in range(count):
        table.add_crash(f"{number:032}", _crash(number))


def test_known_suspicions_add_nothing_to_later_reports():
    fleet = _Fleet()
    for _ in range(3):
        fleet.round(controller=0)
    before = max(fleet.round(controller=0))
    _fill(fleet.tables[1], 2 * _suspicions.MAX_ENTRIES_PER_MESSAGE)
    for _ in range(4):
        fleet.round(controller=0)
    assert len(fleet.state(3)) == 2 * _suspicions.MAX_ENTRIES_PER_MESSAGE
    # The number of the last change may have more digits.
    assert max(fleet.round(controller=0)) <= before + 10


def test_equal_tables_are_not_sent_to_a_new_controller():
    fleet = _Fleet()
    _fill(fleet.tables[1], 64)
    for _ in range(3):
        fleet.round(controller=0)
    assert max(fleet.round(controller=2)) < 500


def test_restarted_instance_learns_the_whole_table():
    fleet = _Fleet()
    _fill(fleet.tables[1], 100)
    for _ in range(3):
        fleet.round(controller=0)
    fleet.restart(1)
    for _ in range(3):
        fleet.round(controller=0)
    assert fleet.state(1) == fleet.state(0)


def test_what_died_with_a_controller_is_reported_to_the_next():
    fleet = _Fleet()
    fleet.round(controller=0)
    _fill(fleet.tables[1], 1)
    fleet.report(1, 0)
    fleet.restart(0)
    for _ in range(2):
        fleet.round(controller=2)
    assert fleet.state(3) == fleet.state(1) != {}
