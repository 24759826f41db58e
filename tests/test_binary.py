"""The single-file binary runs without installation, in one process."""

import pathlib
import subprocess

import pytest

from standins import fleet as fleets

pytestmark = pytest.mark.anyio


async def test_the_binary_serves_in_one_process(fleet, tmp_path):
    binary = tmp_path / "geraniumlink"
    subprocess.run(
        [fleets.ROOT / "build-binary", binary],
        check=True,
        capture_output=True,
        timeout=600,
    )
    instance = fleet.instance(binary=str(binary))
    await fleet.ready()
    task = pathlib.Path(f"/proc/{instance.pid}/task/{instance.pid}")
    assert (task / "children").read_text() == ""
    instance.terminate()
    assert instance.wait() == 0
