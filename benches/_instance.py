"""Runs an instance with one of the baseline routers in place of its own.

Usage: python -m benches._instance ROUTER SETTINGS
"""

from __future__ import annotations

import sys

from benches import _baselines
from geraniumlink import _cli
from geraniumlink import _routing


def main(router: str, settings: str) -> int:
    _routing.Router = _baselines.ROUTERS[router]  # type: ignore[misc]
    return _cli.main(["serve", settings])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
