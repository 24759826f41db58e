"""Invalid requests and settings are refused.

No part of an invalid request may reach a replica. That guards against request
smuggling: if this process and a replica disagree about where a request ends,
the rest of its body is run as a second request.
"""

import json

import pytest

from geraniumlink import cli
from geraniumlink import platform
from tests import hosts

pytestmark = pytest.mark.anyio


async def _start_site(fleet):
    """Return a site with one replica, and its client port."""
    site = await hosts.Site(fleet).start(replicas=1)
    return site, site.instances[0].port


def _request_head(*header_lines):
    """Return the head of a request with the given headers, as bytes."""
    lines = ("POST /safe/x HTTP/1.1", f"Host: {hosts.HOST}", *header_lines)
    return "\r\n".join([*lines, "", ""]).encode()


# Ends a chunked body. The second request must not be run.
_SMUGGLED = b"0\r\n\r\nPOST /safe/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    (
        _request_head("Content-Length: 5", "Transfer-Encoding: chunked")
        + _SMUGGLED,
        _request_head("Content-Length: 5", "Content-Length: 6") + b"hello!",
        _request_head("Content-Length: -1"),
        _request_head("Content-Length: five") + b"hello",
        _request_head("Transfer-Encoding: chunked, identity") + _SMUGGLED,
        _request_head("Transfer-Encoding: chunked") + b"zz\r\nhello",
        b"GET\r\n\r\n",
        b"\x16\x03\x01 no HTTP at all\r\n\r\n",
    ),
    ids=(
        "two framings",
        "two lengths",
        "negative",
        "no number",
        "unknown coding",
        "bad chunk",
        "no request line",
        "no HTTP",
    ),
)
async def test_a_malformed_request_reaches_no_replica(fleet, data):
    site, port = await _start_site(fleet)
    answer = await hosts.send(port, data)
    assert answer.status in (0, 400)
    assert not (await site.runs())["r-1"]
    assert (await hosts.send_request(port, "/safe/x")).status == 200


async def test_heads_and_bodies_over_the_limits_are_refused(fleet):
    site, port = await _start_site(fleet)
    large = hosts.request_bytes("/safe/x", X_Large="x" * 5000)
    assert (await hosts.send(port, large)).status == 431
    larger = hosts.request_bytes("/safe/x", X_Large="x" * 50_000)
    assert (await hosts.send(port, larger)).status == 431
    body = hosts.request_bytes("/safe/x", b"x" * 100_001)
    assert (await hosts.send(port, body)).status == 413
    assert not (await site.runs())["r-1"]


async def test_an_incomplete_head_times_out(fleet):
    site, port = await _start_site(fleet)
    answer = await hosts.send(port, b"POST /safe/x HTTP/1.1\r\nHost: ")
    assert answer.status == 408
    assert not (await site.runs())["r-1"]


async def test_an_incomplete_body_times_out(fleet):
    site, port = await _start_site(fleet)
    answer = await hosts.send(
        port, _request_head("Content-Length: 10") + b"half"
    )
    assert answer.status == 408
    assert not (await site.runs())["r-1"]


def _settings(**changes):
    """Return valid settings of the platform, with some fields replaced."""
    settings = {
        "node_name": "i-1",
        "zone": "debark",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "internal_ports": [3, 4],
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
    return {**settings, **changes}


def _with_bounds(**bounds):
    return _settings(bounds=_settings()["bounds"] | bounds)


@pytest.mark.parametrize(
    ("settings", "field"),
    (
        (_settings(node_name=None), "node_name"),
        (_settings(listen={"front": "127.0.0.1:1"}), "ready"),
        (_settings(listen={"front": "here", "ready": "x"}), "front"),
        (_settings(internal_ports=[]), "internal_ports"),
        # A client's request would be served as one of an instance.
        (_settings(ip="127.0.0.2", internal_ports=[1]), "front has the port"),
        (_settings(internal_ports=[2]), "ready has the port"),
        (_settings(bounds={}), "grace_s"),
        (_settings(platform=[]), "platform"),
        (_with_bounds(quota_window_s=0), "quota_window_s"),
        (_with_bounds(quota_overshoot="much"), "quota_overshoot"),
        (_with_bounds(quota_slack=-1), "quota_slack"),
        (_settings(bootstrap=1), "bootstrap"),
        ([], "object"),
    ),
)
def test_an_error_names_the_invalid_settings_field(tmp_path, settings, field):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings))
    with pytest.raises(platform.FormatError, match=field):
        platform.read_settings(path)


def test_the_check_command_reports_every_invalid_settings_field(
    tmp_path, capsys
):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(_settings(zone=7, internal_ports=["x"])))
    assert cli.main(["check", str(path)]) == 2
    errors = capsys.readouterr().err
    assert "zone: zone is 7, not a string" in errors
    assert "internal_ports: internal_ports is ['x']" in errors
    path.write_text(json.dumps(_settings()))
    assert cli.main(["check", str(path)]) == 0
    assert "'i-1'" in capsys.readouterr().out


def test_errors_in_the_settings_have_line_numbers(tmp_path):
    path = tmp_path / "node.json"
    settings = _settings(zone=7)
    del settings["bounds"]["lease_ms"]
    settings["platform"]["address"] = "here"
    path.write_text(json.dumps(settings, indent=1))
    lines = path.read_text().splitlines()
    with pytest.raises(platform.FormatError) as raised:
        platform.read_settings(path)
    errors = [text.split(":") for text in str(raised.value).splitlines()]
    # A missing field is reported with the line of its section.
    assert [(lines[int(f[1]) - 1].strip(), f[2].strip()) for f in errors] == [
        ('"zone": 7,', "zone"),
        ('"address": "here"', "platform.address"),
        ('"bounds": {', "bounds.lease_ms"),
    ]


def test_settings_that_are_not_json_are_reported(tmp_path):
    path = tmp_path / "node.json"
    path.write_text("{")
    with pytest.raises(platform.FormatError, match=":1: not JSON"):
        platform.read_settings(path)


def test_unknown_settings_are_ignored(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(_settings(new_field={"a": 1})))
    assert platform.read_settings(path).instance == "i-1"
