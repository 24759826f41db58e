"""Fixtures that all tests share."""

import hypothesis
import pytest

from standins import fleet as fleets

# The same verdict on every run: the same examples, and no timed limits.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    """Start the platform's stand-ins; what a test adds is ended after it."""
    async with fleets.start(tmp_path) as started:
        yield started
