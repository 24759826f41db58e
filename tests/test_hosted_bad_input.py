"""What is no proper request is refused, and nothing of it is passed on."""

import json

import pytest

from geraniumlink import cli
from geraniumlink import platform
from tests import hosts

pytestmark = pytest.mark.anyio


async def _site(fleet):
    site = await hosts.Site(fleet).start(replicas=1)
    return site, site.instances[0].port


def _head(*lines):
    named = ("POST /safe/x HTTP/1.1", f"Host: {hosts.HOST}", *lines)
    return "\r\n".join([*named, "", ""]).encode()


_SMUGGLED = b"0\r\n\r\nPOST /safe/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    (
        _head("Content-Length: 5", "Transfer-Encoding: chunked") + _SMUGGLED,
        _head("Content-Length: 5", "Content-Length: 6") + b"hello!",
        _head("Content-Length: -1"),
        _head("Content-Length: five") + b"hello",
        _head("Transfer-Encoding: chunked, identity") + _SMUGGLED,
        _head("Transfer-Encoding: chunked") + b"zz\r\nhello",
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
async def test_a_malformed_request_runs_nowhere(fleet, data):
    site, port = await _site(fleet)
    answer = await hosts.send(port, data)
    assert answer.status in (0, 400)
    assert not (await site.runs())["r-1"]
    assert (await hosts.send_request(port, "/safe/x")).status == 200


async def test_large_heads_and_bodies_are_refused(fleet):
    site, port = await _site(fleet)
    large = hosts.request_bytes("/safe/x", X_Large="x" * 5000)
    assert (await hosts.send(port, large)).status == 431
    larger = hosts.request_bytes("/safe/x", X_Large="x" * 50_000)
    assert (await hosts.send(port, larger)).status == 400
    body = hosts.request_bytes("/safe/x", b"x" * 100_001)
    assert (await hosts.send(port, body)).status == 413
    assert not (await site.runs())["r-1"]


async def test_a_head_that_takes_too_long_is_given_up(fleet):
    site, port = await _site(fleet)
    answer = await hosts.send(port, b"POST /safe/x HTTP/1.1\r\nHost: ")
    assert answer.status == 408
    assert not (await site.runs())["r-1"]


async def test_a_body_that_takes_too_long_is_given_up(fleet):
    site, port = await _site(fleet)
    answer = await hosts.send(port, _head("Content-Length: 10") + b"half")
    assert answer.status == 408
    assert not (await site.runs())["r-1"]


def _settings(**changes):
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


@pytest.mark.parametrize(
    ("settings", "named"),
    (
        (_settings(node_name=None), "node_name"),
        (_settings(listen={"front": "127.0.0.1:1"}), "ready"),
        (_settings(listen={"front": "here", "ready": "x"}), "front"),
        (_settings(internal_ports=[]), "internal_ports"),
        (_settings(bounds={}), "grace_s"),
        (_settings(platform=[]), "platform"),
        ([], "object"),
    ),
)
def test_settings_that_make_no_sense_name_the_field(tmp_path, settings, named):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings))
    with pytest.raises(platform.FormatError, match=named):
        platform.read_settings(path)


def test_check_reports_every_fault_of_the_platforms_settings(tmp_path, capsys):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(_settings(zone=7, internal_ports=["x"])))
    assert cli.main(["check", str(path)]) == 2
    told = capsys.readouterr().err
    assert "zone: zone is 7, not a text" in told
    assert "internal_ports: internal_ports is ['x']" in told
    path.write_text(json.dumps(_settings()))
    assert cli.main(["check", str(path)]) == 0
    assert "'i-1'" in capsys.readouterr().out


def test_faults_of_the_platforms_settings_come_with_their_lines(tmp_path):
    path = tmp_path / "node.json"
    settings = _settings(zone=7)
    del settings["bounds"]["lease_ms"]
    settings["platform"]["address"] = "here"
    path.write_text(json.dumps(settings, indent=1))
    lines = path.read_text().splitlines()
    with pytest.raises(platform.FormatError) as raised:
        platform.read_settings(path)
    found = [text.split(":") for text in str(raised.value).splitlines()]
    # What is missing is told with the line of the table around it.
    assert [(lines[int(f[1]) - 1].strip(), f[2].strip()) for f in found] == [
        ('"zone": 7,', "zone"),
        ('"address": "here"', "platform.address"),
        ('"bounds": {', "bounds.lease_ms"),
    ]


def test_settings_that_are_no_json_are_said_to_be_none(tmp_path):
    path = tmp_path / "node.json"
    path.write_text("{")
    with pytest.raises(platform.FormatError, match=":1: not JSON"):
        platform.read_settings(path)


def test_unknown_settings_are_ignored(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(_settings(new_field={"a": 1})))
    assert platform.read_settings(path).instance == "i-1"
