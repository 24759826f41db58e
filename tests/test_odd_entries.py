"""One entry of the store that can't be read or used costs no other entry."""

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import _http
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.control import _leases
from geraniumlink import platform
from geraniumlink.residency import _origin_archive
from geraniumlink.residency import _version_history
from tests import builders


_ADDRESS = _settings.Address("127.0.0.1", 9)


def _nested(levels):
    return b"[" * levels + b"]" * levels


_json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"])),
    lambda inner: (
        st.lists(inner)
        | st.dictionaries(
            st.text(st.characters(exclude_categories=["Cs"])), inner
        )
    ),
    max_leaves=20,
)


@pytest.mark.anyio
async def test_a_deeply_nested_report_ends_the_controllers_work():
    client = builders.HttpClient(200, [], _nested(100_000))
    calls = platform.OrderClient(client, lambda *_: None)
    with pytest.raises(_http.BrokenError):
        await calls.fetch_report("r-1", _ADDRESS)


@pytest.mark.parametrize("field", ("epoch", "renewals"))
def test_a_lease_with_a_number_too_large_cant_be_taken(field):
    lease = _leases.Lease("i-1", "a", 1, 1000)._asdict()
    found = _objects.Object("leases", "l", 7, {**lease, field: 1e308})
    assert _leases.parse(found) is None


@hypothesis.given(_json_values)
def test_an_odd_record_ends_the_reading_of_records(value):
    found = _objects.Object("k", "1", 1, value)
    _leases.parse(found)
    _origin_archive._decode_slot(found)
    _version_history._decode(value)


def test_a_version_record_with_a_number_too_large_is_written_on():
    services = {"s": {"v1": 1e308}}
    record = {"since": None, "services": services}
    assert _version_history._decode(record) is None
    assert _version_history._decode({"since": 1e308, "services": {}}) is None
