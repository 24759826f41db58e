"""The example files are accepted as they stand."""

import json

from google.protobuf import json_format
import pytest

from geraniumlink import _findings
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings
from geraniumlink.configuration import _declarations
from standins import fleet as fleets

EXAMPLES = fleets.ROOT / "examples"
SIZES = {
    "assistant": (5, 18, 40),
    "booking": (3, 0, 0),
    "sommelier-llm": (9, 39, 95),
    "custody-app": (4, 0, 0),
}


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*.json")))
def test_declarations_fit_and_have_the_stated_sizes(path):
    deployment = json_format.ParseDict(
        json.loads(path.read_text()), pb.Deployment()
    )
    findings = _findings.Findings()
    _declarations.validate_deployment(deployment, [], findings)
    assert not findings.all()
    counts = (
        len(deployment.replicas),
        len(deployment.models),
        len(deployment.adapters),
    )
    assert counts == SIZES[deployment.name]


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*.ini")))
def test_settings_are_good(path):
    assert _settings.read(path).is_ok()
