"""A declaration is refused whole, with every fault and its place."""

from google.protobuf import json_format
import hypothesis
from hypothesis import strategies as st

from geraniumlink import _findings
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.configuration import _declarations
from tests import builders

ADDRESSES = ["127.0.0.1:9001", "127.0.0.1:9002"]


def places(declared: dict, others=()) -> list[str]:
    findings = _findings.Findings()
    deployment = json_format.ParseDict(declared, pb.Deployment())
    _declarations.validate_deployment(deployment, others, findings)
    return [found.place for found in findings.all()]


def test_a_good_declaration_has_no_findings():
    assert places(builders.engines(ADDRESSES)) == []
    assert places(builders.plain(ADDRESSES)) == []


def test_all_faults_are_found_at_once():
    declared = builders.engines(ADDRESSES, ["notes", "notes"])
    declared["replicas"][0]["address"] = "shop:9001"
    declared["replicas"][1]["max_in_flight"] = 0
    declared["adapters"] = [{"name": "guide", "model": "none"}]
    declared["attainment_weight"] = 7
    assert places(declared) == [
        "replicas[0].address",
        "replicas[1].max_in_flight",
        "models[1].name",
        "adapters[0].model",
        "adapters[0].version",
        "adapters[0].size_mb",
        "attainment_weight",
    ]


def test_what_does_not_fit_is_refused():
    # Two replicas of 900 MiB each hold one copy of 600 MiB each, and there
    # is no room to roll a version.
    declared = builders.engines(ADDRESSES, ["notes", "trails"], size_mb=600)
    assert places(declared) == ["models"]


def test_copies_that_fit_only_in_sum_are_refused():
    declared = builders.engines(ADDRESSES, list("abc"), size_mb=400)
    declared["replicas"].append(
        builders.replica("127.0.0.1:9003", 2, memory_mb=500, kv_cache_mb=101)
    )
    assert places(declared) == []
    declared["models"].append({"name": "d", "version": "1", "size_mb": 50})
    declared["models"][0]["size_mb"] = 901
    assert places(declared) == ["models"]


def test_a_model_of_another_deployment_is_refused():
    other = json_format.ParseDict(
        builders.engines(ADDRESSES, name="other"), pb.Deployment()
    )
    declared = builders.engines(ADDRESSES)
    assert places(declared, [other]) == ["models[0].name"]


@hypothesis.given(
    st.lists(st.integers(1, 1000), max_size=20),
    st.lists(st.integers(1, 2000), max_size=8),
)
def test_packing_never_accepts_more_than_there_is(sizes, capacity):
    if _declarations._packs(sizes, capacity):
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
