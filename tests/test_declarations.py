"""An invalid declaration is refused with all faults and their places."""

from google.protobuf import json_format
import hypothesis
from hypothesis import strategies as st

from geraniumlink import _findings
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.configuration import _declarations
from tests import builders

ADDRESSES = ["127.0.0.1:9001", "127.0.0.1:9002"]


def finding_places(declared: dict, others=()) -> list[str]:
    findings = _findings.Findings()
    deployment = json_format.ParseDict(declared, pb.Deployment())
    _declarations.validate_deployment(deployment, others, findings)
    return [found.place for found in findings.all()]


def test_a_valid_declaration_has_no_findings():
    assert finding_places(builders.engines(ADDRESSES)) == []
    assert finding_places(builders.plain(ADDRESSES)) == []


def test_all_faults_are_found_at_once():
    declared = builders.engines(ADDRESSES, ["notes", "notes"])
    declared["replicas"][0]["address"] = "shop:9001"
    declared["replicas"][1]["max_in_flight"] = 0
    declared["adapters"] = [{"name": "guide", "model": "none"}]
    declared["attainment_weight"] = 7
    assert finding_places(declared) == [
        "replicas[0].address",
        "replicas[1].max_in_flight",
        "models[1].name",
        "adapters[0].model",
        "adapters[0].version",
        "adapters[0].size_mb",
        "attainment_weight",
    ]


def test_no_memory_for_a_rolling_update_is_refused():
    # Each of two replicas of 900 MiB holds one copy of 600 MiB, which leaves
    # no memory for a third copy during a rolling update.
    declared = builders.engines(ADDRESSES, ["notes", "trails"], size_mb=600)
    assert finding_places(declared) == ["models"]


def test_a_copy_larger_than_every_replica_is_refused():
    declared = builders.engines(ADDRESSES, list("abc"), size_mb=400)
    declared["replicas"].append(
        builders.replica("127.0.0.1:9003", 2, memory_mb=500, kv_cache_mb=101)
    )
    assert finding_places(declared) == []
    declared["models"].append({"name": "d", "version": "1", "size_mb": 50})
    declared["models"][0]["size_mb"] = 901
    assert finding_places(declared) == ["models"]


def test_a_model_of_another_deployment_is_refused():
    other = json_format.ParseDict(
        builders.engines(ADDRESSES, name="other"), pb.Deployment()
    )
    declared = builders.engines(ADDRESSES)
    assert finding_places(declared, [other]) == ["models[0].name"]


@hypothesis.given(
    st.lists(st.integers(1, 1000), max_size=20),
    st.lists(st.integers(1, 2000), max_size=8),
)
def test_packing_never_exceeds_the_capacity(sizes, capacity):
    if _declarations._fits_first_fit_decreasing(sizes, capacity):
        assert sum(sizes) <= sum(capacity)
        assert max(sizes, default=0) <= max(capacity, default=0)


def test_a_diff_names_each_changed_field():
    before = json_format.ParseDict(
        builders.engines(ADDRESSES), pb.Deployment()
    )
    after = pb.Deployment()
    after.CopyFrom(before)
    after.models[0].version = "2"
    del after.replicas[1]
    lines = _declarations.diff_deployments(before, after)
    assert lines[0] == "models.notes.version: 1 -> 2"
    assert lines[1].startswith("replicas.r1: (name=r1")
    assert lines[1].endswith("-> (none)")
