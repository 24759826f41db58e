"""Ports of fleets that run side by side on one machine."""

import subprocess
import sys

import pytest

from standins import fleet as fleets

_PORTS = 40
# Ends when its input does. Process ids decide where a run begins.
_RUN = f"""
import os, sys
os.getpid = lambda: 7
from standins import fleet
print(*[fleet.free_port() for _ in range({_PORTS})], flush=True)
sys.stdin.read()
"""
# The tests of one run, each in a worker of its own.
_WORKERS_TESTS = f"""
import pathlib, time
from unittest import mock
import pytest
with mock.patch("os.getpid", return_value=7):
    from standins import fleet

@pytest.mark.parametrize("number", range(2))
def test_takes_ports(number, worker_id):
    folder = pathlib.Path(__file__).parent / "ports"
    ports = [str(fleet.free_port()) for _ in range({_PORTS})]
    (folder / worker_id).write_text(" ".join(ports))
    while len(list(folder.iterdir())) < 2:
        time.sleep(0.01)
"""


@pytest.fixture
def start_run():
    """Start a program that takes ports and has bound none of them yet."""
    started = []

    def start():
        run = subprocess.Popen(
            [sys.executable, "-c", _RUN],
            cwd=fleets.ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        started.append(run)
        return {int(port) for port in run.stdout.readline().split()}

    yield start
    for run in started:
        run.communicate()


def test_runs_side_by_side_do_not_take_the_same_ports(start_run):
    first, second = start_run(), start_run()
    assert len(first) == len(second) == _PORTS
    assert not first & second


def test_workers_of_one_run_do_not_take_the_same_ports(tmp_path):
    tests = tmp_path / "test_ports.py"
    tests.write_text(_WORKERS_TESTS)
    folder = tmp_path / "ports"
    folder.mkdir()
    subprocess.run(
        [sys.executable, "-m", "pytest", "-n", "2", str(tests)],
        cwd=fleets.ROOT,
        check=True,
        capture_output=True,
        timeout=fleets.WAIT_S,
    )
    first, second = (set(p.read_text().split()) for p in folder.iterdir())
    assert len(first) == len(second) == _PORTS
    assert not first & second
