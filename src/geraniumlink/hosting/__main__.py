"""Starts an instance; the platform names the settings file.

It is apart from the command line, whose commands need more libraries than
a small machine should hold in memory.
"""

import os
import pathlib
import sys

import anyio

from geraniumlink import hosting
from geraniumlink import platform


def main() -> int:
    """Run until SIGTERM; 2 when the settings can't be used."""
    path = os.environ.get(platform.PATH_VARIABLE, "")
    try:
        anyio.run(hosting.serve, pathlib.Path(path))
    except (platform.FormatError, OSError) as error:
        print(f"geraniumlink: {path}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
