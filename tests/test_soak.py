"""The real programs keep their promises under faults of a fixed seed."""

import json
import subprocess
import sys

import pytest

from standins import fleet as fleets

_SECONDS = 40


@pytest.mark.serial
@pytest.mark.parametrize("seed", [34])
def test_a_soak_of_a_fixed_seed_breaks_no_rule(seed, tmp_path):
    command = [sys.executable, "-m", "soak", "run", "--out", str(tmp_path)]
    command += ["--seed", str(seed), "--seconds", str(_SECONDS)]
    ended = subprocess.run(
        command,
        cwd=fleets.ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    assert ended.returncode == 0, ended.stderr + ended.stdout
    record = json.loads((tmp_path / "record.json").read_text())
    # Without them, nothing was checked.
    assert len({order[2] for order in record["orders"]}) > 1
    assert record["probes"]
