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
