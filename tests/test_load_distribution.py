"""All demand is distributed over holders, evenly where that is possible."""

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink.control import _load_distribution

CAPACITY = {"a": 10.0, "b": 20.0, "c": 5.0}
_HOLDERS = st.lists(st.sampled_from("abc"), min_size=1, unique=True)
_MODELS = st.dictionaries(
    st.sampled_from("klmn"), st.tuples(st.floats(0, 50), _HOLDERS)
)


@hypothesis.given(_MODELS)
def test_the_shares_of_a_model_add_up_to_its_demand(models):
    demand = {name: amount for name, (amount, _) in models.items()}
    holders = {name: names for name, (_, names) in models.items()}
    distribution = _load_distribution.distribute_load(
        demand, holders, CAPACITY
    )
    assert sum(distribution.load.values()) == pytest.approx(
        sum(demand.values())
    )
    for name, amount in demand.items():
        shares = [distribution.share[name, holder] for holder in holders[name]]
        assert sum(shares) == pytest.approx(amount)
        assert min(shares) >= 0


def test_holders_of_one_model_are_equally_utilised():
    distribution = _load_distribution.distribute_load(
        {"k": 14.0}, {"k": ["a", "b", "c"]}, CAPACITY
    )
    utilisation = [distribution.load[name] / CAPACITY[name] for name in "abc"]
    assert utilisation == pytest.approx([0.4] * 3)
