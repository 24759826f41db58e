"""Runs an instance with one of the baseline routers in place of its own.

Usage: python -m benches._instance ROUTER TIME_SCALE SETTINGS
"""

from __future__ import annotations

import sys

from benches import _baselines
from geraniumlink.interface import _cli
from geraniumlink.requests import _admission
from geraniumlink.requests import _first_token_times
from geraniumlink.requests import _replica_limits
from geraniumlink.requests import _routing


def main(router: str, time_scale: str, settings: str) -> int:
    scale = float(time_scale)
    _admission.FIRST_TOKEN_TARGET_MS *= scale  # type: ignore[assignment]
    _replica_limits.FULL_BACKOFF_MS *= scale  # type: ignore[assignment]
    _first_token_times.NO_QUEUE_MS *= scale  # type: ignore[assignment]
    _routing.Router = _baselines.ROUTERS[router]  # type: ignore[misc]
    return _cli.main(["serve", settings])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
