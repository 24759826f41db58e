"""Each instance gets the load that the other instances put on replicas."""

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
def test_total_excludes_own_load(reports):
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
        result = totals.excluding(asking)
        for replica in ("r1", "r2", "r3"):
            nothing = _messages.ReplicaLoad(0, {})
            want = expected.get(replica, nothing)
            got = result.get(replica, nothing)
            assert got.in_flight == want.in_flight
            priorities = want.prefill_tokens.keys() | got.prefill_tokens.keys()
            for priority in priorities:
                assert got.prefill_tokens.get(
                    priority, 0
                ) == want.prefill_tokens.get(priority, 0)


def test_load_of_silent_instance_expires():
    clock = _clock.ManualClock()
    totals = _load_totals.LoadTotals(clock)
    totals.record("i1", {"r1": _messages.ReplicaLoad(3, {})})
    assert totals.excluding("i2")["r1"].in_flight == 3
    clock.advance(_load_totals.REPORT_EXPIRY_MS + 1)
    assert not totals.excluding("i2")


def test_cost_of_an_answer_does_not_grow_with_the_instances():
    """Summing all reports for each answer took too much of a processor.

    With 60 instances and 90 replicas one instance used 0.64 of a core.
    """
    clock = _clock.ManualClock()
    totals = _load_totals.LoadTotals(clock)
    counted = _CountedLoad(1, {})
    for number in range(60):
        totals.record(f"i{number}", {"r1": counted})
    for number in range(60):
        totals.excluding(f"i{number}")
    assert _CountedLoad.sums <= 60


class _CountedLoad(_messages.ReplicaLoad):
    sums = 0

    def plus(self, other):
        _CountedLoad.sums += 1
        return _CountedLoad(self.in_flight + other.in_flight, {})
