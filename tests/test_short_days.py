"""Days that miss the gate are found in the journal, whatever the verdict."""

import orjson
import pytest

from benches import short_days


def _write(path, **fields):
    entry = path / "20261207T014706-bc63f91c.json"
    entry.write_bytes(orjson.dumps(fields))
    return entry


def test_day_of_a_hunt_misses_the_gate_unread(tmp_path):
    days = [
        {"name": "a", "seed": 3, "rules": {}, "short": [], "gate": True},
        {"name": "b", "seed": 4, "rules": {}, "short": ["34 of 233 models"]},
        {"name": "c", "seed": 5, "rules": {"LOST": 1}, "short": []},
        {"name": "d", "seed": 6, "fault": "no request was served"},
    ]
    entry = _write(tmp_path, cmd="hunt", site="site-1", days=days)
    found = list(short_days.missed_days(entry))
    assert [(each.day, each.seed, *each.reasons) for each in found] == [
        ("b", 4, "34 of 233 models"),
        ("c", 5, "LOST"),
        ("d", 6, "no request was served"),
    ]


def test_entry_without_days_has_none(tmp_path):
    entry = _write(tmp_path, cmd="build", days=None)
    assert not list(short_days.missed_days(entry))


def test_entry_of_another_shape_is_an_error(tmp_path):
    entry = tmp_path / "x.json"
    entry.write_bytes(b"[]")
    with pytest.raises(ValueError, match="not an entry"):
        list(short_days.missed_days(entry))
