"""Fixtures of all tests, and the list of known failures."""

import gc
import pathlib

import eliot
import hypothesis
import pytest

from standins import fleet as fleets
from tests import log_validation

# Reproducible results: the same examples on every run, and no time limits.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")

# Without a destination, eliot would keep the lines of one test and pass them
# to the first destination that another test adds.
eliot.add_destinations(lambda _line: None)

# One line for each entry: test id | command and seed | what was seen | issue
_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red():
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip()]


def pytest_collection_modifyitems(items):
    known = {line.split("|")[0].strip(): line for line in _known_red()}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter, config):
    if config.option.markexpr == "not serial":
        # The other part of ./check follows, and prints the list.
        return
    for line in _known_red():
        test, issue = line.partition("|")[0], line.rpartition("|")[2]
        terminalreporter.write_line(
            f"known red: {test.strip()} ({issue.strip()})"
        )


@pytest.fixture
def log_lines():
    """The log lines that are written during a test."""
    lines = []
    eliot.add_destinations(lines.append)
    yield lines
    eliot.remove_destination(lines.append)


@pytest.fixture(autouse=True)
def _collect_garbage():
    """Report what a test left open as that test's failure.

    Objects in reference cycles would be collected during a later test.
    """
    yield
    gc.collect()


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    """Start the platform's stand-ins; stop all processes after the test.

    Then check that all log lines agree with the tables.
    """
    async with fleets.start(tmp_path) as started:
        yield started
    assert not log_validation.find_errors(tmp_path.glob("*.log"))
