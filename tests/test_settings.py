"""Invalid settings are all reported at once, each with its line."""

import pathlib
import subprocess
import sys

import pytest

from geraniumlink import _settings

GOOD = """\
[instance]
name = i1
data_centre = debark
address = 127.0.0.1:7001
peer_address = 127.0.0.1:7101
[platform]
object_api = 127.0.0.1:7000
instance_list = [::1]:7002
"""


def read(folder: pathlib.Path, text: str):
    path = folder / "instance.ini"
    path.write_text(text)
    return _settings.read(path)


def findings(folder: pathlib.Path, text: str) -> list[str]:
    return [str(found) for found in read(folder, text).error.all()]


def test_good_settings_are_read_with_defaults(tmp_path):
    settings = read(tmp_path, GOOD).ok
    assert settings.address == _settings.Address("127.0.0.1", 7001)
    assert str(settings.instance_list) == "[::1]:7002"
    assert settings.drain_lag_ms == 5000


def test_every_wrong_line_is_reported_at_once(tmp_path):
    text = GOOD.replace("127.0.0.1:7001", "localhost:7001")
    text = text.replace("name = i1", "name = a b")
    text += "[timing]\nlease_ms = soon\nleese_ms = 4\n"
    found = findings(tmp_path, text)
    assert [line.split(":")[1] for line in found] == ["2", "4", "10", "11"]
    assert "not an IP number" in found[1]
    assert "whole number from 500" in found[2]
    assert "is not a setting" in found[3]


def test_a_missing_setting_names_its_section(tmp_path):
    text = GOOD.replace("data_centre = debark\n", "")
    assert "[instance] data_centre is missing" in findings(tmp_path, text)[0]


@pytest.mark.parametrize(
    "text", ["name = x", "[instance]\nname = a\nname = b\n", "[instance\n"]
)
def test_text_that_is_not_ini_is_reported_with_its_line(tmp_path, text):
    (found,) = findings(tmp_path, text)
    assert found.split(":")[1].isdigit()


@pytest.mark.parametrize("command", ["serve", "check"])
def test_bad_settings_exit_with_2_and_start_nothing(tmp_path, command):
    path = tmp_path / "bad.ini"
    path.write_text(GOOD.replace("7001", "seven"))
    done = subprocess.run(
        [sys.executable, "-m", "geraniumlink", command, str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert "bad.ini:4: address:" in done.stderr
    assert done.stdout == ""
