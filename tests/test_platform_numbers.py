"""Numbers that the platform states, as fractions and in any JSON form."""

import copy
import json
import math

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink import platform
from geraniumlink.platform import _replicas
from geraniumlink.serving import _types
from tests import hosts

_SETTINGS = {
    "node_name": "i-1",
    "zone": "debark",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internal_ports": [7380, 7395],
    "bounds": {
        "grace_s": 8,
        "drain_ms": 2000,
        "lease_ms": 1000,
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 56,
    },
    "platform": {"address": "127.0.0.1:5"},
}
# Bounds of the settings: where each is decoded to, its unit in the file, and
# how a fraction is rounded so that the platform's bound is kept.
_BOUNDS = {
    "grace_s": ("grace_ms", 1000, math.floor),
    "drain_ms": ("leaving_bound_ms", 1, math.floor),
    "lease_ms": ("handover_gap_ms", 1, math.ceil),
    "retry_window_s": ("retry_window_ms", 1000, math.ceil),
    "retry_slack": ("retry_constant", 1, math.floor),
}
# The same for a route.
_ROUTE_BOUNDS = {
    "timeout_ms": "timeout_ms",
    "target_latency_ms": "target_ms",
    "priority": "priority",
}
_LIMITS = {
    "max_header_bytes": math.floor,
    "max_body_bytes": math.floor,
    "header_timeout_ms": math.ceil,
    "idle_timeout_ms": math.ceil,
}
_NUMBERS = st.integers(1, 10**6) | st.floats(1, 10**6)


def _read(tmp_path, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    return platform.read_settings(path)


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("settings")


@pytest.mark.parametrize("name", _BOUNDS)
@hypothesis.given(value=_NUMBERS)
def test_a_fraction_in_a_bound_stops_the_start(folder, name, value):
    field, unit, round_safely = _BOUNDS[name]
    settings = copy.deepcopy(_SETTINGS)
    settings["bounds"][name] = value
    decoded = getattr(_read(folder, json.dumps(settings)), field)
    assert decoded == round_safely(value * unit)


@pytest.mark.parametrize("form", ("2e3", "2000.0", "2000", "20.0E+2"))
def test_another_json_form_of_a_number_stops_the_start(tmp_path, form):
    text = json.dumps(_SETTINGS).replace("2000", form)
    text = text.replace("[7380", "[7380.0").replace("7395]", "7.395e3]")
    settings = _read(tmp_path, text)
    assert settings.leaving_bound_ms == 2000
    assert settings.peer_address.port == 7380


@pytest.mark.parametrize("port", (7380.5, -1, 0, 70_000, "7380", True))
def test_a_port_that_is_no_whole_number_is_reported(tmp_path, port):
    text = json.dumps({**_SETTINGS, "internal_ports": [port, 7395]})
    with pytest.raises(platform.FormatError, match="internal_ports"):
        _read(tmp_path, text)


@hypothesis.given(value=_NUMBERS)
def test_a_fraction_makes_a_configuration_invalid(value):
    spec = hosts.configuration(1, hosts.route("x", "safe"))
    spec["routes"][-1].update(dict.fromkeys(_ROUTE_BOUNDS, value))
    spec["routes"][-1].update(gap_target_ms=value / 10**6, max_attempts=value)
    spec["limits"] = dict.fromkeys(_LIMITS, value)
    spec["services"][0]["max_connections"] = value
    spec["services"][0]["engine"]["kv_capacity_tokens"] = value
    decoded = platform.decode_configuration(spec)
    route, service = decoded.routes[-1], decoded.services["assistant"]
    for field in _ROUTE_BOUNDS.values():
        assert getattr(route, field) == math.floor(value)
    # A gap of 0 would mean that none is declared.
    assert route.gap_target_ms == 1
    assert route.max_attempts == math.floor(value)
    assert service.max_connections == math.floor(value)
    assert service.engine.kv_tokens == math.floor(value)
    for field, round_safely in _LIMITS.items():
        assert getattr(decoded.limits, field) == round_safely(value)


def test_a_count_of_things_must_be_whole():
    spec = hosts.configuration()
    spec["version"] = 3.0
    engine = spec["services"][0]["engine"]
    engine.update(slots=8.0, adapter_slots=2e0)
    decoded = platform.decode_configuration(spec)
    assert decoded.version == 3
    assert decoded.services["assistant"].engine.slots == 8
    for name in ("slots", "adapter_slots"):
        changed = copy.deepcopy(spec)
        changed["services"][0]["engine"][name] = 2.5
        with pytest.raises(platform.FormatError, match=name):
            platform.decode_configuration(changed)


def test_replicas_may_state_whole_numbers_as_fractions():
    entry = {"service": "a", "address": "127.0.0.1:1", "state": "ready"}
    decoded = platform.decode_replica_entry(
        "r-1", {**entry, "slots": 8.0, "born": 1.774e12}
    )
    assert (decoded.slots, decoded.started_at) == (8, 1_774_000_000_000)
    report = {"models": [], "sequence": 3.0, "born": 7.0}
    assert _replicas.decode_replica_report(report).order_count == 3
    with pytest.raises(platform.FormatError, match="sequence"):
        _replicas.decode_replica_report({**report, "sequence": 3.5})


@pytest.mark.parametrize(
    ("value", "expected"), ((b"1500.9", 1500), (b"0.5", 0), (b"4000", 4000))
)
def test_a_fraction_in_a_clients_deadline_is_ignored(value, expected):
    request = platform.decode_request_head(
        b"GET", b"/", [(b"x-deadline-ms", value)], 0
    )
    assert request.client_timeout_ms == expected


def test_a_fraction_in_a_replicas_headers_is_ignored():
    head = platform.decode_response_head(
        200,
        [(b"Keep-Alive", b"timeout=2.5"), (b"X-Server-Load", b"3.0, 0.5,8")],
    )
    assert head.keep_alive_ms == 2500
    assert head.load == _types.LoadReport(3, 1, 8)
