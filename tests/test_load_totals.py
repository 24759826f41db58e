"""Each instance is told what the others put on replicas."""

import hypothesis
from hypothesis import strategies as st

from geraniumlink import _clock
from geraniumlink.residency import _load_totals
from geraniumlink.residency import _messages

_load = st.builds(
    _messages.ReplicaLoad,
    st.integers(1, 20),
    st.dictionaries(st.integers(0, 2), st.integers(1, 5000), max_size=3),
)
_loads = st.dictionaries(st.sampled_from(("r1", "r2", "r3")), _load)
_reports = st.dictionaries(st.sampled_from(("i1", "i2", "i3", "i4")), _loads)


@hypothesis.given(_reports)
def test_it_is_the_sum_of_all_but_the_own(reports):
    totals = _load_totals.LoadTotals(_clock.ManualClock())
    for instance, loads in reports.items():
        totals.record(instance, loads)
    for asking in ("i1", "i4", "i5"):
        expected = {}
        for instance, loads in reports.items():
            if instance == asking:
                continue
            for replica, load in loads.items():
                known = expected.get(replica, _messages.ReplicaLoad(0, {}))
                expected[replica] = known.plus(load)
        told = totals.excluding(asking)
        for replica in ("r1", "r2", "r3"):
            nothing = _messages.ReplicaLoad(0, {})
            want = expected.get(replica, nothing)
            got = told.get(replica, nothing)
            assert got.in_flight == want.in_flight
            ranks = want.prefilling.keys() | got.prefilling.keys()
            for rank in ranks:
                assert got.prefilling.get(rank, 0) == want.prefilling.get(
                    rank, 0
                )


def test_a_silent_instances_load_is_forgotten():
    clock = _clock.ManualClock()
    totals = _load_totals.LoadTotals(clock)
    totals.record("i1", {"r1": _messages.ReplicaLoad(3, {})})
    assert totals.excluding("i2")["r1"].in_flight == 3
    clock.advance(_load_totals.REPORT_EXPIRY_MS + 1)
    assert not totals.excluding("i2")


def test_the_work_of_an_answer_doesnt_grow_with_the_instances():
    """With 60 instances and 90 replicas one had 0.64 of a core to itself."""
    clock = _clock.ManualClock()
    totals = _load_totals.LoadTotals(clock)
    counted = _Counted(1, {})
    for number in range(60):
        totals.record(f"i{number}", {"r1": counted})
    for number in range(60):
        totals.excluding(f"i{number}")
    assert _Counted.sums <= 60


class _Counted(_messages.ReplicaLoad):
    sums = 0

    def plus(self, other):
        _Counted.sums += 1
        return _Counted(self.in_flight + other.in_flight, {})
